//===- PlatformJson.h - JSON messages of the platform's calls ---*- C++ -*-===//
//
// Encodes and decodes the message bodies that docs/PLATFORM.md specifies. Not
// for use outside this folder.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PLATFORM_PLATFORMJSON_H
#define POLLENSPOOL_PLATFORM_PLATFORMJSON_H

#include "platform/Platform.h"

namespace pollenspool {

/// Encodes the body of a transaction. Errors: InvalidArgument if a key or a
/// value is not valid UTF-8. Thread safe.
Result<std::string> encodeTransaction(const Transaction &Txn);

/// Encodes the body of a read. Errors: InvalidArgument if a key is not valid
/// UTF-8. Thread safe.
Result<std::string> encodeRead(const std::vector<std::string> &Keys);

/// Encodes the body of a reboot. Precondition: \p Token is valid UTF-8.
/// Thread safe.
std::string encodeReboot(const std::string &Token);

/// Decodes the answer to a transaction with status 200. Errors: InvalidMessage.
/// Thread safe.
Result<CommitResult> decodeCommit(const std::string &Body);

/// Decodes the answer to a transaction with status 409. Errors: InvalidMessage.
/// Thread safe.
Result<CommitResult> decodeConflicts(const std::string &Body);

/// Decodes the answer to read, scan and changes. Errors: InvalidMessage. Thread
/// safe.
Result<RowSet> decodeRows(const std::string &Body);

/// Decodes the list of instances. Errors: InvalidMessage. Thread safe.
Result<std::vector<ListedInstance>> decodeInstances(const std::string &Body);

} // namespace pollenspool

#endif // POLLENSPOOL_PLATFORM_PLATFORMJSON_H
