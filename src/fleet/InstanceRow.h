//===- InstanceRow.h - The table row of one instance ------------*- C++ -*-===//
//
// Key "instance/ID". The row is the only truth about the instance's pool; it
// changes by compare-and-set alone, and its epoch rises with each change.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_INSTANCEROW_H
#define POLLENSPOOL_FLEET_INSTANCEROW_H

#include "base/Error.h"
#include "base/Ids.h"
#include <cstdint>
#include <string>

namespace pollenspool {

constexpr const char *InstanceRowPrefix = "instance/";

/// Whether entry instances may send an instance new work.
enum class ServingState : std::uint8_t {
  /// Takes work of its pool.
  Serving,
  /// Finishes what it has and takes no new work.
  Draining,
  /// Taken away: being rebooted or checked.
  Away,
};

/// The value of an instance's row.
struct InstanceRow {
  InstanceId m_Id;
  PoolName m_Pool;
  ServingState m_State = ServingState::Serving;
  std::uint64_t m_Epoch = 0;
  /// The move or wave that holds the instance; empty while it serves.
  std::string m_Holder;
};

/// "serving", "draining" or "away". Thread safe.
std::string_view servingStateName(ServingState State);

/// The row's key. Thread safe.
std::string instanceRowKey(const InstanceId &Id);

/// The JSON value of \p Row. Thread safe.
std::string encodeInstanceRow(const InstanceRow &Row);

/// Reads a JSON value. Errors: InvalidMessage. Thread safe.
Result<InstanceRow> decodeInstanceRow(const std::string &Value);

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_INSTANCEROW_H
