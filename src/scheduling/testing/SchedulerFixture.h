//===- SchedulerFixture.h - Test fixture of the scheduler -------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_TESTING_SCHEDULERFIXTURE_H
#define POLLENSPOOL_SCHEDULING_TESTING_SCHEDULERFIXTURE_H

#include "scheduling/ProgressWriter.h"
#include "scheduling/Scheduler.h"

namespace pollenspool {

/// Records the orders of a scheduler without carrying them out.
class FakeOrders : public SchedulerOrders {
public:
  std::vector<StartOrder> m_Starts;
  std::vector<StopOrder> m_Stops;
  std::vector<PollOrder> m_Polls;
  std::vector<PaceOrder> m_Paces;
  std::vector<AdviceOrder> m_Advice;

  void start(const StartOrder &Order) override { m_Starts.push_back(Order); }
  void stop(const StopOrder &Order) override { m_Stops.push_back(Order); }
  void poll(const PollOrder &Order) override { m_Polls.push_back(Order); }
  void pace(const PaceOrder &Order) override { m_Paces.push_back(Order); }
  void advise(const AdviceOrder &Order) override { m_Advice.push_back(Order); }
};

/// Test fixture: a scheduler with one pool "desk" and one queue "asks". The
/// test advances the time and answers the orders. Not thread safe.
class SchedulerFixture {
public:
  explicit SchedulerFixture(Term T = 1);

  FakeOrders m_Orders;
  std::unique_ptr<Scheduler> m_Core;
  std::unique_ptr<ProgressWriter> m_Writer;
  TimePoint m_Now{std::chrono::hours(1)};
  /// The rules that the rows of added jobs hold: those of the queue when the
  /// configuration last had it.
  std::optional<QueueRules> m_AcceptedRules;
  /// Start time of the servers in registrations and answers to polls.
  std::int64_t m_StartTimeMs = 1;

  void advance(Duration By) { m_Now += By; }
  void tick() { m_Core->tick(m_Now, wall()); }
  std::chrono::milliseconds wall() const;

  /// Puts the next version of the configuration in force, in which the queue
  /// has these rules.
  void setRules(const QueueRules &Rules);
  /// Makes the queue use the placement adviser from now on.
  void setAdvicePolicy(const AdvicePolicy &Policy);
  /// Makes the tasks of the queue run in \p Pool from now on.
  void moveQueue(const std::string &Pool);
  /// Removes the queue from the configuration, in the next version.
  void removeQueue();
  /// Registers a server of \p Pool with \p Cores cores.
  void registerServer(const std::string &Id, int Cores = 4,
                      const std::string &Pool = "desk");
  /// The same, and the server answers its first poll.
  void addServer(const std::string &Id, int Cores = 4,
                 const std::string &Pool = "desk");
  /// Answers the latest poll of the server \p Id with these lists, of which
  /// that of ends is incomplete if \p HasMoreEnds is set. Aborts if there is
  /// none.
  void answerPoll(const std::string &Id, std::vector<RunReport> Running = {},
                  std::vector<EndReport> Ended = {}, bool HasMoreEnds = false);
  /// Makes the latest poll of the server \p Id fail. Aborts if there is none.
  void failPoll(const std::string &Id, OrderResult R = OrderResult::Unknown);
  /// Answers the start order at \p Index of m_Orders.m_Starts.
  void answerStart(std::size_t Index, OrderResult R = OrderResult::Done);

  /// The condition that the writer adds to transactions that record starts.
  static RowCondition termCondition() {
    return {{"lead", "term", "lead"}, 100};
  }
  /// Commits all changes of job state, one transaction per second.
  void record();

  /// A step of \p Count tasks of one core, estimated at 1 s each.
  static StepSpec step(std::uint32_t Count,
                       std::vector<std::uint32_t> After = {});
  static RunId run(const std::string &Job, std::uint32_t Step,
                   std::uint32_t Index, std::uint32_t Number);
  /// Adds a job that was accepted now, as store version \p Accepted.
  void addJob(const std::string &Id, std::vector<StepSpec> Steps,
              JobProgress Progress = {}, RowVersion Accepted = 1);
  /// The job with that ID, which must be live.
  LiveJob &job(const std::string &Id);

private:
  std::vector<QueuePolicy> m_Queues;
  std::uint64_t m_ConfigVersion = 0;
  std::vector<PoolPolicy> m_Pools{{PoolName("desk"), false, true}};
  void applyConfig();
  RowVersion m_StoreVersion = 1000;
  const PollOrder &lastPoll(const std::string &Id) const;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_TESTING_SCHEDULERFIXTURE_H
