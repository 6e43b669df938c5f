//===- Table.h - The transactional table of the platform --------*- C++ -*-===//
//
// Rows with revisions, tombstones and the outcomes of past tokens, in memory
// (docs/PLATFORM.md). Not thread safe.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_PLATFORM_TABLE_H
#define STANDIN_PLATFORM_TABLE_H

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace standin {

using Revision = std::uint64_t;

struct TableRow {
  std::string m_Key;
  std::string m_Value;
  /// 0 for a row that never existed.
  Revision m_Revision = 0;
  bool m_Deleted = false;
};

struct TableCheck {
  std::string m_Key;
  /// The revision that the row must have; 0 means that it must not exist.
  Revision m_Revision = 0;
};

struct TableWrite {
  std::string m_Key;
  std::string m_Value;
  bool m_Delete = false;
};

struct TableTransaction {
  /// Empty if the transaction is not to be remembered.
  std::string m_Token;
  std::vector<TableCheck> m_Checks;
  std::vector<TableWrite> m_Writes;
};

/// Revision 0 with conflicts if nothing was written.
struct TableOutcome {
  Revision m_Revision = 0;
  std::vector<TableRow> m_Conflicts;
};

class Table {
public:
  /// Number of past tokens whose outcome is remembered.
  static constexpr std::size_t RememberedTokens = 65536;

  /// Writes all or nothing; a known token gives its first outcome again.
  TableOutcome transact(const TableTransaction &Transaction);
  Revision revision() const { return m_Revision; }
  /// The rows that exist among \p Keys.
  std::vector<TableRow> read(const std::vector<std::string> &Keys) const;
  /// The rows that exist under \p Prefix, by key.
  std::vector<TableRow> scan(const std::string &Prefix) const;
  /// Rows and tombstones above \p Since under any of \p Prefixes, by revision.
  std::vector<TableRow> changes(Revision Since,
                                const std::vector<std::string> &Prefixes) const;

private:
  std::vector<TableRow> findConflicts(const TableTransaction &Txn) const;
  void write(const TableWrite &Write);
  void remember(const std::string &Token, const TableOutcome &Outcome);

  Revision m_Revision = 0;
  std::map<std::string, TableRow> m_Rows;
  /// The keys whose last write was at a revision.
  std::multimap<Revision, std::string> m_KeysByRevision;
  std::unordered_map<std::string, TableOutcome> m_Outcomes;
  std::deque<std::string> m_Tokens;
};

} // namespace standin

#endif // STANDIN_PLATFORM_TABLE_H
