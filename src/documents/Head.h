//===- Head.h - The committed configuration version -------------*- C++ -*-===//
//
// The row "config/head" holds the version and content hash of the newest
// committed document. The document itself is an immutable object named by that
// hash. A commit is one compare-and-set on the row, which makes it atomic.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DOCUMENTS_HEAD_H
#define POLLENSPOOL_DOCUMENTS_HEAD_H

#include "platform/Platform.h"
#include <cstdint>

namespace pollenspool {

constexpr const char *ConfigRowPrefix = "config/";
constexpr const char *HeadRowKey = "config/head";

/// The value of the head row.
struct Head {
  std::uint64_t m_Version = 0;
  std::string m_Hash;
  /// Name of the committer as given by the operator.
  std::string m_Author;
};

/// The head and the row's revision; version 0 if nothing has been committed.
struct HeadRow {
  Head m_Head;
  Revision m_Revision = 0;
};

/// Encodes \p H as the JSON value of the head row. Thread safe.
std::string encodeHead(const Head &H);

/// Decodes a value that encodeHead() wrote. Errors: InvalidMessage. Thread
/// safe.
Result<Head> decodeHead(const std::string &Value);

/// Reads the head row. Errors: those of Platform::read; InvalidMessage. Thread
/// safe.
Result<HeadRow> readHead(Platform &Service);

/// The outcome of a commit.
struct DocumentCommit {
  /// The newest committed version: the new one, or the one that it conflicted
  /// with.
  Head m_Head;
  bool m_Committed = false;
};

/// Commits \p Text as the version after \p BaseVersion by one compare-and-set.
/// If another commit came first, returns its head and does not commit. If a
/// reply is lost, the transaction is repeated with the same \p Token.
/// Precondition: \p Text is a valid document. Errors: those of Platform;
/// InvalidMessage; after Timeout and ConnectionLost the commit may have taken
/// effect. Thread safe.
Result<DocumentCommit> commitDocument(Platform &Service,
                                      const std::string &Text,
                                      std::uint64_t BaseVersion,
                                      const std::string &Author,
                                      const std::string &Token);

} // namespace pollenspool

#endif // POLLENSPOOL_DOCUMENTS_HEAD_H
