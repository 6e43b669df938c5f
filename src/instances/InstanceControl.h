//===- InstanceControl.h - The platform's instance interface ----*- C++ -*-===//

#ifndef POLLENSPOOL_INSTANCES_INSTANCECONTROL_H
#define POLLENSPOOL_INSTANCES_INSTANCECONTROL_H

#include "base/Error.h"
#include "base/Time.h"
#include "scheduling/Messages.h"
#include <functional>

namespace pollenspool {

/// A maintenance wave requested by operators.
struct WaveRequest {
  WaveId m_Id;
  std::vector<InstanceId> m_Instances;
  /// Time after the request by which all instances must have been maintained.
  std::chrono::milliseconds m_CompleteWithin{0};
  /// Maximum number of instances in maintenance at the same time.
  std::uint32_t m_MaxConcurrent = 1;
};

/// Result of an order for one instance.
enum class InstanceOrderResult : std::uint8_t {
  /// Carried out, now or by an earlier order.
  Done,
  /// The platform has seen an order of a higher term.
  Fenced,
  /// The instance is not up, or is about to go down.
  Busy,
  /// The instance is not part of the wave.
  NotInWave,
  /// The instance does not exist, or the pool does not accept it.
  Invalid,
  /// The rate limit was exceeded; nothing was done.
  Refused,
  /// There was no answer; the order may have been carried out.
  Unknown,
};

/// The leader that issues an order. The platform rejects an order whose term is
/// lower than that of an earlier order for the same instance.
struct OrderIssuer {
  std::string m_Leader;
  Term m_Term = 0;
};

/// Asynchronous calls to the platform's instance service. Each calls its
/// continuation exactly once, never before the call returns.
class InstanceControl {
public:
  virtual ~InstanceControl() = default;
  virtual void
  list(Duration Timeout,
       std::function<void(Result<std::vector<InstanceListing>>)> Callback) = 0;
  virtual void move(const InstanceId &Id, const PoolName &To,
                    const OrderIssuer &By, Duration Timeout,
                    std::function<void(InstanceOrderResult)> Callback) = 0;
  virtual void
  startMaintenance(const InstanceId &Id, const WaveId &Wave,
                   const OrderIssuer &By, Duration Timeout,
                   std::function<void(InstanceOrderResult)> Callback) = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_INSTANCES_INSTANCECONTROL_H
