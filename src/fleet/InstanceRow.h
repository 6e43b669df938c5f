//===- InstanceRow.h - The table row of one instance ------------*- C++ -*-===//
//
// Key "instance/ID". The row alone decides to which pool the instance belongs.
// It is changed only by compare-and-set, and its epoch rises with each change.
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
  /// Accepts requests of its pool.
  Serving,
  /// Completes its requests in flight and accepts no new ones.
  Draining,
  /// Out of service: being rebooted or checked, or failed to return.
  Away,
};

/// The value of an instance's row.
struct InstanceRow {
  InstanceId m_Id;
  PoolName m_Pool;
  ServingState m_State = ServingState::Serving;
  std::uint64_t m_Epoch = 0;
  /// The move or wave that holds the instance; empty in state Serving.
  std::string m_Holder;
};

/// "serving", "draining" or "away". Thread safe.
std::string_view servingStateName(ServingState State);

/// The key of the instance's row. Thread safe.
std::string instanceRowKey(const InstanceId &Id);

/// Encodes \p Row as JSON. Thread safe.
std::string encodeInstanceRow(const InstanceRow &Row);

/// Decodes the output of encodeInstanceRow(). Errors: InvalidMessage. Thread
/// safe.
Result<InstanceRow> decodeInstanceRow(const std::string &Value);

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_INSTANCEROW_H
