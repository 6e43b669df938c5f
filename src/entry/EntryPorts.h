//===- EntryPorts.h - What an entry instance is connected to ----*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_ENTRYPORTS_H
#define POLLENSPOOL_ENTRY_ENTRYPORTS_H

#include "instances/InstanceControl.h"
#include "scheduling/Messages.h"
#include "serving/ServingConfig.h"
#include "store/MetadataStore.h"
#include <functional>
#include <memory>

namespace pollenspool {

/// How long one call of the platform may take. It answers in a few
/// milliseconds, and 70 times that when slow.
inline constexpr Duration PlatformCallTimeout = std::chrono::milliseconds(800);

/// Results of the scheduler's orders. \see SchedulerOrders.
class OrderResults {
public:
  virtual ~OrderResults() = default;
  virtual void onStartResult(const StartOrder &Order,
                             const StartReply &Reply) = 0;
  virtual void onStopResult(const StopOrder &Order, OrderResult R) = 0;
  virtual void onLookReply(const LookOrder &Order, const LookReply &Reply) = 0;
  virtual void onLookFailed(const LookOrder &Order, OrderResult R) = 0;
  virtual void onAdvice(const AdviceOrder &Order,
                        const Result<AdviceReply> &Reply) = 0;
};

/// Orders to backend servers, with a place for their results.
class BackendPort : public SchedulerOrders {
public:
  /// Results of orders given from now on go to \p To; those of earlier orders
  /// are dropped. Null drops all.
  virtual void sendResultsTo(OrderResults *To) = 0;
};

/// What operators and backend servers write for all instances to read.
struct FleetNews {
  std::function<void(std::shared_ptr<const ServingConfig>)> m_OnConfig;
  std::function<void(const WaveRequest &)> m_OnWave;
  std::function<void(const ServerRegistration &)> m_OnServer;
  std::function<void(const ServerId &)> m_OnServerGone;
  /// All registrations of the moment have been reported.
  std::function<void()> m_OnServersRead;
};

class FleetFeed {
public:
  virtual ~FleetFeed() = default;
  /// Reports the configuration in force and the waves asked for, from now on.
  virtual void followOperators(FleetNews News) = 0;
  /// Reports the registered backend servers, all of them first. Replaces an
  /// earlier call.
  virtual void followServers(FleetNews News) = 0;
  virtual void stopServers() = 0;
  /// Tells the operators how far a wave is.
  virtual RowPut waveStatus(const WaveId &Id, bool IsComplete) const = 0;
};

/// All that an entry instance is connected to; each outlives it.
struct EntryPorts {
  MetadataStore &m_Store;
  BackendPort &m_Backend;
  InstanceControl &m_Instances;
  FleetFeed &m_Feed;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_ENTRYPORTS_H
