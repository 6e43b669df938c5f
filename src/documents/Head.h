//===- Head.h - The committed configuration version -------------*- C++ -*-===//
//
// Row "config/head" names the document in force by version and content hash;
// the document itself is an immutable object of that name. One compare-and-set
// on the row commits a document everywhere or not at all.
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
  /// Who committed it, as the operator said.
  std::string m_Author;
};

/// The head and the row's revision; version 0 if nothing was committed yet.
struct HeadRow {
  Head m_Head;
  Revision m_Revision = 0;
};

/// The JSON value of \p H. Thread safe.
std::string encodeHead(const Head &H);

/// Reads encodeHead's form. Errors: InvalidMessage. Thread safe.
Result<Head> decodeHead(const std::string &Value);

/// Reads the head row. Errors: the platform's; InvalidMessage. Thread safe.
Result<HeadRow> readHead(Platform &Service);

/// What came of a commit.
struct DocumentCommit {
  /// The version in force: the new one, or the one that stood in the way.
  Head m_Head;
  bool m_Committed = false;
};

/// Commits the valid document \p Text on top of version \p BaseVersion by one
/// compare-and-set. If another commit came first, says which. A lost reply is
/// resolved by repeating the transaction with its \p Token. Errors: the
/// platform's; after Timeout and ConnectionLost the commit may stand. Thread
/// safe.
Result<DocumentCommit> commitDocument(Platform &Service,
                                      const std::string &Text,
                                      std::uint64_t BaseVersion,
                                      const std::string &Author,
                                      const std::string &Token);

} // namespace pollenspool

#endif // POLLENSPOOL_DOCUMENTS_HEAD_H
