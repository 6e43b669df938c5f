//===- Leader.h - One term of a leading entry instance ----------*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_LEADER_H
#define POLLENSPOOL_ENTRY_LEADER_H

#include "entry/EntryPorts.h"
#include "entry/EntrySettings.h"
#include "entry/LoadMonitor.h"
#include "instances/FleetPlanner.h"
#include "instances/RecentOrders.h"
#include "jobs/CancellationMarks.h"
#include "lead/DelayMonitor.h"
#include "lead/IdleServers.h"
#include "lead/Leadership.h"
#include "lead/StartRecords.h"
#include "net/EventLoop.h"
#include "scheduling/ProgressWriter.h"
#include "scheduling/QueueRecords.h"
#include "scheduling/WaitMonitor.h"
#include "store/StoreClock.h"
#include "store/TableMirror.h"
#include <map>
#include <set>

namespace pollenspool {

/// The work of a leader during one term: reads the state from the store, then
/// schedules jobs, records their progress and manages instances until it is
/// stopped. To be used on the event loop's thread.
class Leader : public OrderResultListener,
               public std::enable_shared_from_this<Leader> {
public:
  /// \p Loop, \p Settings, \p Lead, \p Load and what \p Ports refers to must
  /// outlive the leader. \p Lead must be leading. Each run of the decisions is
  /// added to \p Load.
  static std::shared_ptr<Leader> create(EventLoop &Loop, EntryPorts Ports,
                                        const EntrySettings &Settings,
                                        Leadership &Lead, LoadMonitor &Load);
  void start();
  /// Sends no more orders. The object may then be destroyed.
  void stop();

  void onConfig(std::shared_ptr<const ServingConfig> Config);
  void onWave(const WaveRequest &Wave);
  /// Runs the scheduler and the fleet planner. To be called every few
  /// milliseconds. \p Lag is the mean delay of the event loop's timer.
  void tick(Duration Lag);
  /// Whether a backend server has reported a later term.
  bool isSuperseded() const;
  /// Whether answers of backend servers to start orders have been late for
  /// several seconds.
  bool areAnswersLate() const;
  /// The queue loads that the next renewal publishes.
  RenewalRow renewal();
  const SchedulerCounters &counters() const { return m_Scheduler->counters(); }
  const ProgressWriter::Counters &recordCounters() const {
    return m_ProgressWriter->counters();
  }
  /// For the operators' status page.
  Scheduler &scheduler() { return *m_Scheduler; }
  const FleetPlanner &planner() const { return *m_Planner; }
  const WaitMonitor &waits() const { return *m_Waits; }

  void onStartResult(const StartOrder &Order, const StartReply &Reply) override;
  void onStopResult(const StopOrder &Order, OrderResult R) override;
  void onPollReply(const PollOrder &Order, const PollReply &Reply) override;
  void onPollFailed(const PollOrder &Order, OrderResult R) override;
  void onAdvice(const AdviceOrder &Order,
                const Result<AdviceReply> &Reply) override;

private:
  /// Wraps \p Callback so that it does nothing once this leader has been
  /// stopped or destroyed.
  template <typename F> auto whileLeading(F Callback) {
    return [Weak = weak_from_this(),
            Callback = std::move(Callback)](auto &&...Args) {
      auto Self = Weak.lock();
      if (Self && !Self->m_Stopped)
        Callback(std::forward<decltype(Args)>(Args)...);
    };
  }

  Leader(EventLoop &Loop, EntryPorts Ports, const EntrySettings &Settings,
         Leadership &Lead, LoadMonitor &Load);
  /// Rows per page: the store's limit.
  static constexpr std::size_t MaxPageRows = 500;
  /// Reads a page of rows; repeats a failed read until it succeeds.
  void readWithRetry(const RowAddress &From, std::size_t Limit,
                     std::function<void(RowPage &)> Callback);
  /// How long the final state of a job is kept.
  static Duration finalStateRetention(const EntrySettings &Settings);

  // Rows of jobs (LeaderJobs.cpp).
  void readJobStates();
  void readJobStates(const RowAddress &From);
  /// Reads the pages of \p Id below \p Prefix, from \p From on.
  void readPages(const JobId &Id, const RowAddress &Prefix,
                 const RowAddress &From);
  /// Adds the pages that were read to \p Progress of \p Job. Returns whether
  /// all could be decoded.
  bool addPages(const JobSpec &Job, JobProgress &Progress);
  /// Removes some of the pages of a job that has ended.
  void removePages(const JobId &Id);
  /// Whether all that live jobs depend on has been read.
  bool areStatesRead() const {
    return m_StateReadsLeft == 0 && m_QueueRulesRead;
  }
  /// Adds the jobs that arrived before areStatesRead().
  void onStatesRead();
  void followJobs();
  void finishLoadingJobs();
  void onLiveJobRow(const StoredRow &Row);
  void removeOldStates();
  void removeMarks();

  void readQueueRules(const RowAddress &From);
  void recordQueueRules();
  bool isListDue(TimePoint Now) const;
  void listInstances();
  void recordProgress();
  void readStartRecords();
  void updateStartRecords();
  void readIdleServers();
  void updateIdleServers();
  void runDecisions();
  void logDecisionsSuspended(bool IsSuspended);
  void scheduleTick();
  void planInstanceOrders();
  std::size_t maxOrdersPerPlan() const;
  void announceOrders(std::vector<InstanceOrder> Orders);
  void sendOrder(const InstanceOrder &Order);
  void readRecentOrders();
  void applyRecentOrders(const StoredRow &Row,
                         std::chrono::milliseconds StoreTime);
  void readWaves(const RowAddress &From);
  void addWave(const WaveRequest &Wave);
  void recordWaves();

  EventLoop &m_Loop;
  EntryPorts m_Ports;
  const EntrySettings &m_Settings;
  Leadership &m_Leadership;
  LoadMonitor &m_Load;
  std::unique_ptr<Scheduler> m_Scheduler;
  std::unique_ptr<ProgressWriter> m_ProgressWriter;
  std::unique_ptr<QueueRecords> m_QueueRecords;
  std::unique_ptr<WaitMonitor> m_Waits;
  std::unique_ptr<FleetPlanner> m_Planner;
  StartRecords m_StartRecords;
  IdleServers m_IdleServers;
  TimePoint m_NextIdleServersAt{};
  std::unique_ptr<CancellationMarks> m_Marks;
  /// Progress of waves that earlier leaders recorded.
  std::map<WaveId, WaveProgress> m_RecordedWaves;
  /// Waves requested before the recorded progress was loaded.
  std::vector<WaveRequest> m_DeferredWaves;
  bool m_WavesLoaded = false;
  bool m_WaveRecordPending = false;
  RecentOrders m_RecentOrders;
  StoreClock m_StoreClock;
  bool m_RecentOrdersLoaded = false;
  bool m_AnnouncementPending = false;
  TimePoint m_NextPlanAt{};
  /// Delays of the answers to start orders.
  DelayMonitor m_AnswerDelay;
  std::shared_ptr<TableMirror> m_LiveJobs;
  TimePoint m_StartedAt{};
  /// Rows of live jobs that arrived before areStatesRead().
  std::vector<StoredRow> m_LiveRowsAtStart;
  /// Job state rows as read at the start, until the live jobs have been loaded.
  std::map<std::string, StoredRow> m_StatesAtStart;
  /// Wall time at which each job ended, for the removal of its state.
  std::map<std::string, std::chrono::milliseconds> m_EndedAt;
  /// The pages of each job as read at the start.
  std::map<std::string, std::vector<StoredRow>> m_PagesAtStart;
  /// Ended jobs whose pages have to be removed before their state.
  std::set<std::string> m_EndedWithPages;
  bool m_PageRemovalPending = false;
  /// Partitions of state rows, and jobs with pages, that have not been read.
  std::size_t m_StateReadsLeft = 0;
  bool m_QueueRulesRead = false;
  bool m_ServersLoaded = false;
  bool m_JobsLoaded = false;
  bool m_Stopped = false;
  bool m_DecisionsSuspended = false;
  bool m_TickScheduled = false;
  /// How long the latest decisions took.
  Duration m_DecisionTime{0};
  bool m_ListPending = false;
  TimePoint m_NextListAt{};
  TimePoint m_ListAskedAt{};
  TimePoint m_NextRemovalAt{};
};

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_LEADER_H
