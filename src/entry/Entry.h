//===- Entry.h - An entry instance ------------------------------*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_ENTRY_H
#define POLLENSPOOL_ENTRY_ENTRY_H

#include "entry/Leader.h"
#include "jobs/JobStore.h"
#include "lead/DelayMonitor.h"
#include "net/HttpServer.h"
#include <random>

namespace pollenspool {

/// Accepts jobs from callers, follows the configuration, takes part in the
/// election, and schedules jobs while it leads. To be used on the event loop's
/// thread.
class Entry {
public:
  /// \p Loop, \p Settings and what \p Ports refers to must outlive the entry.
  static std::unique_ptr<Entry> create(EventLoop &Loop, EntryPorts Ports,
                                       const EntrySettings &Settings);
  ~Entry();
  void start();
  /// Releases the term and makes isReady() false. Requests are still served.
  void drain();
  bool isDraining() const { return m_Draining; }

  /// Whether the load balancer should send callers to this instance.
  bool isReady() const;
  /// The configuration in effect; null until the first one has been read.
  const ServingConfig *config() const { return m_Config.get(); }
  /// How current config() is. Not outdated shortly after the start, also
  /// without a configuration.
  ConfigFreshness configFreshness() const;
  const AuthorizationPolicy &authorizationPolicy() const {
    return m_Settings.m_Authorization;
  }
  JobStore &jobStore() { return *m_JobStore; }
  const JobStoreCounters &jobStoreCounters() const {
    return m_JobStore->counters();
  }
  /// Number of accepted jobs of \p Queue of which no task has started, as last
  /// published by a leader. Fails with NotFound until one has done so, and with
  /// Unavailable if a job that callers expect to be counted may be missing.
  Result<std::uint32_t> waiting(const QueueName &Queue) const;

  const Leadership &leadership() const { return m_Leadership; }
  /// Null while another instance leads.
  Leader *leader() const { return m_Leader.get(); }
  /// Whether the store has not answered for so long that a call would probably
  /// time out.
  bool isStoreUnresponsive() const;
  /// The processor time that the process has used lately.
  const LoadMonitor &load() const { return m_Load; }

private:
  Entry(EventLoop &Loop, EntryPorts Ports, const EntrySettings &Settings);
  void tick(TimePoint Due);
  void followLeaderTable();
  void useFollowerBatchDelay();
  void tryBecomeLeader();
  void renew();
  void offerHandover();
  void stopLeading(const char *Why);
  void releaseTerm(const char *Why);
  void measureLoad(TimePoint Now);
  void checkConfigAge();

  EventLoop &m_Loop;
  EntryPorts m_Ports;
  const EntrySettings &m_Settings;
  Leadership m_Leadership;
  std::shared_ptr<JobStore> m_JobStore;
  std::shared_ptr<TableMirror> m_LeaderTable;
  LoadMonitor m_Load;
  std::shared_ptr<Leader> m_Leader;
  /// Delays of the timer that calls tick().
  DelayMonitor m_TimerDelay;
  std::shared_ptr<const ServingConfig> m_Config;
  /// When the instance started, until the first configuration has been read.
  TimePoint m_ConfigConfirmedAt;
  /// Set while the configuration is outdated.
  std::optional<TimePoint> m_ConfigUnconfirmedSince;
  std::map<WaveId, WaveRequest> m_Waves;
  TimePoint m_LastStoreAnswerAt{};
  bool m_IsStoreAnswering = false;
  bool m_Draining = false;
  Term m_LastLoggedTerm = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_ENTRY_H
