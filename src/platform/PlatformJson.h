//===- PlatformJson.h - JSON of the platform's calls ------------*- C++ -*-===//
//
// Bodies of docs/PLATFORM.md as typed messages. Internal to this folder.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PLATFORM_PLATFORMJSON_H
#define POLLENSPOOL_PLATFORM_PLATFORMJSON_H

#include "platform/Platform.h"

namespace pollenspool {

/// The body of a transaction. Errors: InvalidArgument if a key or a value is
/// not UTF-8. Thread safe.
Result<std::string> encodeTransaction(const Transaction &Txn);

/// The body of a read. Errors: InvalidArgument as above. Thread safe.
Result<std::string> encodeRead(const std::vector<std::string> &Keys);

/// The body of a reboot. Thread safe.
std::string encodeReboot(const std::string &Token);

/// Reads the answer 200 of a transaction. Errors: InvalidMessage. Thread safe.
Result<CommitResult> decodeCommit(const std::string &Body);

/// Reads the answer 409 of a transaction. Errors: InvalidMessage. Thread safe.
Result<CommitResult> decodeConflicts(const std::string &Body);

/// Reads the answer of read, scan and changes. Errors: InvalidMessage. Thread
/// safe.
Result<RowSet> decodeRows(const std::string &Body);

/// Reads the list of instances. Errors: InvalidMessage. Thread safe.
Result<std::vector<ListedInstance>> decodeInstances(const std::string &Body);

} // namespace pollenspool

#endif // POLLENSPOOL_PLATFORM_PLATFORMJSON_H
