//===- Entry.h - One entry instance -----------------------------*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_ENTRY_H
#define POLLENSPOOL_ENTRY_ENTRY_H

#include "entry/Leader.h"
#include "jobs/JobIntake.h"
#include "lead/DelayMonitor.h"
#include "net/HttpServer.h"
#include <random>

namespace pollenspool {

/// Takes callers' jobs, follows the configuration, and leads when it is its
/// turn. One thread: the event loop's.
class Entry {
public:
  /// All arguments must outlive the entry.
  static std::unique_ptr<Entry> create(EventLoop &Loop, EntryPorts Ports,
                                       const EntrySettings &Settings);
  ~Entry();
  void start();
  /// Stops leading and reports itself as not ready; callers are served on.
  void drain();
  bool isDraining() const { return m_Draining; }

  /// Whether callers should be sent here.
  bool isReady() const;
  /// The configuration in force; null before the first is known.
  const ServingConfig *config() const { return m_Config.get(); }
  JobIntake &intake() { return *m_Intake; }
  const JobIntakeCounters &intakeCounters() const {
    return m_Intake->counters();
  }
  /// Accepted jobs of the queue of which no task has started; nothing while no
  /// leader has told.
  std::optional<std::uint32_t> waiting(const QueueName &Queue) const;

  const Leadership &leadership() const { return m_Lead; }
  /// Null while another instance leads.
  Leader *leader() const { return m_Leader.get(); }
  /// Whether a call of the store would most likely wait in vain.
  bool isStoreSilent() const;

private:
  Entry(EventLoop &Loop, EntryPorts Ports, const EntrySettings &Settings);
  void tick(TimePoint Due);
  void followLead();
  void followLeadAtEase();
  void tryLead();
  void renew();
  void offerRelief();
  void stopLeading(const char *Why);
  void releaseTerm(const char *Why);

  EventLoop &m_Loop;
  EntryPorts m_Ports;
  const EntrySettings &m_Settings;
  Leadership m_Lead;
  std::shared_ptr<JobIntake> m_Intake;
  std::shared_ptr<TableMirror> m_LeadRows;
  std::shared_ptr<Leader> m_Leader;
  /// Of the regular timer.
  DelayMonitor m_TimerDelay;
  std::shared_ptr<const ServingConfig> m_Config;
  std::map<WaveId, WaveRequest> m_Waves;
  TimePoint m_StoreAnswered{};
  bool m_StoreAnswering = false;
  bool m_Draining = false;
  Term m_LoggedTerm = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_ENTRY_H
