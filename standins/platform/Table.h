//===- Table.h - Transactional table of the simulated platform --*- C++ -*-===//
//
// Stores rows with revisions, tombstones of deleted rows, and the outcomes of
// transactions by their idempotency token, in memory (docs/PLATFORM.md). Not
// thread safe.
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

/// Number of a transaction that took effect, counted from 1.
using Revision = std::uint64_t;

struct TableRow {
  std::string m_Key;
  std::string m_Value;
  /// Revision of the last write; 0 in a conflict if the row does not exist.
  Revision m_Revision = 0;
  /// True for a tombstone.
  bool m_Deleted = false;
};

struct TableCheck {
  std::string m_Key;
  /// Revision that the row must have; 0 if the row must not exist.
  Revision m_Revision = 0;
};

struct TableWrite {
  std::string m_Key;
  std::string m_Value;
  bool m_Delete = false;
};

struct TableTransaction {
  /// Idempotency token; if it is empty, the outcome isn't stored.
  std::string m_Token;
  std::vector<TableCheck> m_Checks;
  std::vector<TableWrite> m_Writes;
};

/// Revision of the transaction; or 0 and the rows whose check failed, if
/// nothing was written.
struct TableOutcome {
  Revision m_Revision = 0;
  std::vector<TableRow> m_Conflicts;
};

class Table {
public:
  /// Number of tokens whose outcome is stored; the oldest is dropped first.
  static constexpr std::size_t MaxStoredTokens = 65536;

  /// Applies all writes if all checks hold, otherwise none. Returns the stored
  /// outcome if the token has been used before.
  TableOutcome transact(const TableTransaction &Transaction);
  Revision revision() const { return m_Revision; }
  /// Returns the existing rows among \p Keys.
  std::vector<TableRow> read(const std::vector<std::string> &Keys) const;
  /// Returns the existing rows whose key has \p Prefix, ordered by key.
  std::vector<TableRow> scan(const std::string &Prefix) const;
  /// Returns the rows and tombstones with a revision above \p Since whose key
  /// has any of \p Prefixes, ordered by revision.
  std::vector<TableRow> changes(Revision Since,
                                const std::vector<std::string> &Prefixes) const;

private:
  std::vector<TableRow>
  findConflicts(const TableTransaction &Transaction) const;
  void write(const TableWrite &Write);
  void storeOutcome(const std::string &Token, const TableOutcome &Outcome);

  Revision m_Revision = 0;
  std::map<std::string, TableRow> m_Rows;
  /// Keys by the revision of their last write.
  std::multimap<Revision, std::string> m_KeysByRevision;
  std::unordered_map<std::string, TableOutcome> m_OutcomeByToken;
  /// Tokens of m_OutcomeByToken, oldest first.
  std::deque<std::string> m_Tokens;
};

} // namespace standin

#endif // STANDIN_PLATFORM_TABLE_H
