//===- EntryPorts.h - External interfaces of an entry instance --*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_ENTRYPORTS_H
#define POLLENSPOOL_ENTRY_ENTRYPORTS_H

#include "instances/InstanceControl.h"
#include "scheduling/Messages.h"
#include "serving/ServingConfig.h"
#include "store/MetadataStore.h"
#include <functional>
#include <memory>

namespace pollenspool {

/// Timeout of a call to the platform. It answers in a few milliseconds; a slow
/// platform takes 70 times as long.
inline constexpr Duration PlatformCallTimeout = std::chrono::milliseconds(800);

/// Receives the results of the scheduler's orders. \see SchedulerOrders.
class OrderResultListener {
public:
  virtual ~OrderResultListener() = default;
  virtual void onStartResult(const StartOrder &Order,
                             const StartReply &Reply) = 0;
  virtual void onStopResult(const StopOrder &Order, OrderResult R) = 0;
  virtual void onPollReply(const PollOrder &Order, const PollReply &Reply) = 0;
  virtual void onPollFailed(const PollOrder &Order, OrderResult R) = 0;
  virtual void onAdvice(const AdviceOrder &Order,
                        const Result<AdviceReply> &Reply) = 0;
};

/// Sends orders to backend servers and reports their results.
class BackendPort : public SchedulerOrders {
public:
  /// Reports the results of later orders to \p Listener and drops the results
  /// of earlier orders. If \p Listener is null, drops all results.
  virtual void setResultListener(OrderResultListener *Listener) = 0;
};

/// Callbacks for the configuration, waves and registrations of backend servers.
/// Those that a call of FleetWatcher does not use may be empty.
struct FleetListener {
  std::function<void(std::shared_ptr<const ServingConfig>)> m_OnConfig;
  std::function<void(const WaveRequest &)> m_OnWave;
  /// The reported configuration and waves are the latest as of that time.
  std::function<void(TimePoint)> m_OnConfigConfirmed;
  std::function<void(const ServerRegistration &)> m_OnServer;
  std::function<void(const ServerId &)> m_OnServerUnregistered;
  /// Called once the registrations that existed at the start have been
  /// reported.
  std::function<void()> m_OnServersListed;
};

/// Source of the configuration, waves and registrations of backend servers. To
/// be used on the event loop's thread.
class FleetWatcher {
public:
  virtual ~FleetWatcher() = default;
  /// Reports the configuration in effect and the requested waves, and their
  /// changes.
  virtual void watchConfigAndWaves(FleetListener Callbacks) = 0;
  /// Reports all registered backend servers, then the changes. Replaces an
  /// earlier call.
  virtual void watchServers(FleetListener Callbacks) = 0;
  /// Ends watchServers().
  virtual void stopWatchingServers() = 0;
  /// Returns the row that shows operators the status of a wave.
  virtual RowPut waveStatusRow(const WaveId &Id, bool IsComplete) const = 0;
};

/// External interfaces of an entry instance, all of which must outlive it.
struct EntryPorts {
  MetadataStore &m_Store;
  BackendPort &m_Backend;
  InstanceControl &m_Instances;
  FleetWatcher &m_Feed;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_ENTRYPORTS_H
