//===- Leader.h - The duties of the leading instance ------------*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_LEADER_H
#define POLLENSPOOL_ENTRY_LEADER_H

#include "entry/EntryPorts.h"
#include "entry/EntrySettings.h"
#include "instances/FleetPlanner.h"
#include "instances/RecentOrders.h"
#include "lead/DelayMonitor.h"
#include "lead/Leadership.h"
#include "net/EventLoop.h"
#include "scheduling/ProgressWriter.h"
#include "store/StoreClock.h"
#include "store/TableMirror.h"
#include <map>

namespace pollenspool {

/// One term of leading: reads what is in the store, then schedules, records and
/// looks after instances until it is stopped. One thread: the event loop's.
class Leader : public OrderResults,
               public std::enable_shared_from_this<Leader> {
public:
  /// All arguments must outlive the leader. \p Lead must be leading.
  static std::shared_ptr<Leader> create(EventLoop &Loop, EntryPorts Ports,
                                        const EntrySettings &Settings,
                                        Leadership &Lead);
  void start();
  /// Gives no more orders. The object may then be destroyed.
  void stop();

  void onConfig(std::shared_ptr<const ServingConfig> Config);
  void onWave(const WaveRequest &Wave);
  /// Runs the decision cores; to be called every few milliseconds. \p Lag is
  /// how late the event loop is.
  void tick(Duration Lag);
  /// Whether the term has ended without our doing.
  bool isDeposed() const;
  /// Whether backend servers' answers have been late for seconds.
  bool areOrdersLate() const;
  /// What the other instances are told.
  RenewalRow renewal();
  const SchedulerCounters &counters() const { return m_Core->counters(); }
  /// For showing their state to operators.
  Scheduler &core() { return *m_Core; }
  const FleetPlanner &planner() const { return *m_Planner; }

  void onStartResult(const StartOrder &Order, const StartReply &Reply) override;
  void onStopResult(const StopOrder &Order, OrderResult R) override;
  void onLookReply(const LookOrder &Order, const LookReply &Reply) override;
  void onLookFailed(const LookOrder &Order, OrderResult R) override;
  void onAdvice(const AdviceOrder &Order,
                const Result<AdviceReply> &Reply) override;

private:
  /// \p Then, but nothing happens any more once this term has been stopped.
  template <typename F> auto whileLeading(F Then) {
    return [Weak = weak_from_this(), Then = std::move(Then)](auto &&...Args) {
      auto Self = Weak.lock();
      if (Self && !Self->m_Stopped)
        Then(std::forward<decltype(Args)>(Args)...);
    };
  }

  Leader(EventLoop &Loop, EntryPorts Ports, const EntrySettings &Settings,
         Leadership &Lead);
  /// Reads a page of rows, again and again until the store answers.
  void readUntilAnswered(const RowAddress &From, std::size_t Limit,
                         std::function<void(RowPage &)> Then);
  void readStates(const RowAddress &From);
  void followJobs();
  void onLiveRow(const StoredRow &Row);
  void listInstances();
  void record();
  void decide();
  void tickSoon();
  void removeOldStates();
  void orderInstances();
  std::size_t ordersAtOnce() const;
  void announceOrders(std::vector<InstanceOrder> Orders);
  void giveOrder(const InstanceOrder &Order);
  void readRecentOrders();
  void takeRecentOrders(const StoredRow &Row,
                        std::chrono::milliseconds StoreTime);
  void readWaves();
  void takeWave(const WaveRequest &Wave);
  void recordWaves();

  EventLoop &m_Loop;
  EntryPorts m_Ports;
  const EntrySettings &m_Settings;
  Leadership &m_Lead;
  std::unique_ptr<Scheduler> m_Core;
  std::unique_ptr<ProgressWriter> m_Writer;
  std::unique_ptr<FleetPlanner> m_Planner;
  /// Progress of waves as earlier leaders recorded it.
  std::map<WaveId, WaveProgress> m_RecordedWaves;
  std::vector<WaveRequest> m_WavesToTake;
  bool m_WavesRead = false;
  bool m_WavesPending = false;
  RecentOrders m_RecentOrders;
  StoreClock m_StoreClock;
  bool m_OrdersRead = false;
  bool m_OrdersPending = false;
  TimePoint m_NextPlan{};
  /// Of answers to starts.
  DelayMonitor m_OrderDelay;
  std::shared_ptr<TableMirror> m_Jobs;
  /// State rows as read at the start, for the live jobs among them.
  std::map<std::string, StoredRow> m_States;
  /// Wall time of each last state, for removal.
  std::map<std::string, std::chrono::milliseconds> m_OverSince;
  std::size_t m_StatePartsLeft = 0;
  bool m_ServersRead = false;
  bool m_Running = false;
  bool m_Stopped = false;
  bool m_Ticking = false;
  bool m_ListPending = false;
  TimePoint m_NextList{};
  TimePoint m_NextRemoval{};
};

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_LEADER_H
