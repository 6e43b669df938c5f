//===- Table.cpp - Transactional table of the simulated platform ----------===//

#include "platform/Table.h"
#include <algorithm>

namespace standin {

namespace {

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

} // namespace

TableOutcome Table::transact(const TableTransaction &Transaction) {
  const auto StoredOutcome = m_OutcomeByToken.find(Transaction.m_Token);
  if (!Transaction.m_Token.empty() && StoredOutcome != m_OutcomeByToken.end())
    return StoredOutcome->second;
  TableOutcome Outcome;
  Outcome.m_Conflicts = findConflicts(Transaction);
  if (Outcome.m_Conflicts.empty()) {
    Outcome.m_Revision = ++m_Revision;
    for (const TableWrite &Write : Transaction.m_Writes)
      write(Write);
  }
  storeOutcome(Transaction.m_Token, Outcome);
  return Outcome;
}

std::vector<TableRow>
Table::findConflicts(const TableTransaction &Transaction) const {
  std::vector<TableRow> Conflicts;
  for (const TableCheck &Check : Transaction.m_Checks) {
    TableRow Current;
    Current.m_Key = Check.m_Key;
    const auto Found = m_Rows.find(Check.m_Key);
    if (Found != m_Rows.end() && !Found->second.m_Deleted)
      Current = Found->second;
    if (Current.m_Revision != Check.m_Revision)
      Conflicts.push_back(std::move(Current));
  }
  return Conflicts;
}

void Table::write(const TableWrite &Write) {
  TableRow &Row = m_Rows[Write.m_Key];
  const auto Range = m_KeysByRevision.equal_range(Row.m_Revision);
  const auto Old =
      std::find_if(Range.first, Range.second, [&Write](const auto &Entry) {
        return Entry.second == Write.m_Key;
      });
  if (Old != Range.second)
    m_KeysByRevision.erase(Old);
  Row.m_Key = Write.m_Key;
  Row.m_Value = Write.m_Delete ? std::string() : Write.m_Value;
  Row.m_Deleted = Write.m_Delete;
  Row.m_Revision = m_Revision;
  m_KeysByRevision.emplace(m_Revision, Write.m_Key);
}

void Table::storeOutcome(const std::string &Token,
                         const TableOutcome &Outcome) {
  if (Token.empty())
    return;
  m_OutcomeByToken.emplace(Token, Outcome);
  m_Tokens.push_back(Token);
  if (m_Tokens.size() <= MaxStoredTokens)
    return;
  m_OutcomeByToken.erase(m_Tokens.front());
  m_Tokens.pop_front();
}

std::vector<TableRow> Table::read(const std::vector<std::string> &Keys) const {
  std::vector<TableRow> Rows;
  for (const std::string &Key : Keys) {
    const auto Found = m_Rows.find(Key);
    if (Found != m_Rows.end() && !Found->second.m_Deleted)
      Rows.push_back(Found->second);
  }
  return Rows;
}

std::vector<TableRow> Table::scan(const std::string &Prefix) const {
  std::vector<TableRow> Rows;
  for (auto It = m_Rows.lower_bound(Prefix);
       It != m_Rows.end() && startsWith(It->first, Prefix); ++It)
    if (!It->second.m_Deleted)
      Rows.push_back(It->second);
  return Rows;
}

std::vector<TableRow>
Table::changes(Revision Since, const std::vector<std::string> &Prefixes) const {
  std::vector<TableRow> Rows;
  for (auto It = m_KeysByRevision.upper_bound(Since);
       It != m_KeysByRevision.end(); ++It) {
    const std::string &Key = It->second;
    const bool Wanted = std::any_of(
        Prefixes.begin(), Prefixes.end(),
        [&Key](const std::string &Prefix) { return startsWith(Key, Prefix); });
    if (Wanted)
      Rows.push_back(m_Rows.at(Key));
  }
  return Rows;
}

} // namespace standin
