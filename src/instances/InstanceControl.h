//===- InstanceControl.h - Orders to the platform for instances -*- C++ -*-===//

#ifndef POLLENSPOOL_INSTANCES_INSTANCECONTROL_H
#define POLLENSPOOL_INSTANCES_INSTANCECONTROL_H

#include "base/Error.h"
#include "base/Time.h"
#include "scheduling/Messages.h"
#include <functional>

namespace pollenspool {

/// A maintenance wave as operators ask for it.
struct WaveRequest {
  WaveId m_Id;
  std::vector<InstanceId> m_Instances;
  /// How long after the request all must have had their upkeep.
  std::chrono::milliseconds m_CompleteWithin{0};
  /// Instances that may be down for it at once.
  std::uint32_t m_AtOnce = 1;
};

enum class InstanceOrderResult : std::uint8_t {
  /// Carried out, now or by an earlier order.
  Done,
  Fenced,
  /// Not up, or leaving.
  Busy,
  /// Not an instance of that wave.
  NotOfWave,
  /// No such instance, or the pool takes other instances.
  Invalid,
  /// Too many calls; nothing was done.
  Refused,
  /// No answer; it may have been carried out.
  Unknown,
};

/// Who gives an order. A later order for the same instance needs a term at
/// least as high.
struct OrderAuthority {
  std::string m_Leader;
  Term m_Term = 0;
};

/// The platform's calls on instances. Continuations are called once, never
/// before the call returns.
class InstanceControl {
public:
  virtual ~InstanceControl() = default;
  virtual void
  list(Duration Timeout,
       std::function<void(Result<std::vector<InstanceListing>>)> Then) = 0;
  virtual void move(const InstanceId &Id, const PoolName &To,
                    const OrderAuthority &By, Duration Timeout,
                    std::function<void(InstanceOrderResult)> Then) = 0;
  virtual void upkeep(const InstanceId &Id, const WaveId &Wave,
                      const OrderAuthority &By, Duration Timeout,
                      std::function<void(InstanceOrderResult)> Then) = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_INSTANCES_INSTANCECONTROL_H
