//===- SimServers.h - Backend servers on a virtual clock --------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_TESTING_SIMSERVERS_H
#define POLLENSPOOL_SCHEDULING_TESTING_SIMSERVERS_H

#include "scheduling/Scheduler.h"
#include <functional>
#include <queue>
#include <random>
#include <string>

namespace pollenspool {

/// Events in the order of their virtual time.
class VirtualClock {
public:
  TimePoint m_Now{std::chrono::hours(1)};

  void after(Duration Wait, std::function<void()> What) {
    m_Events.push({m_Now + Wait, m_Next++, std::move(What)});
  }
  bool runUntil(TimePoint End);

private:
  struct Event {
    TimePoint m_At;
    std::uint64_t m_Number;
    std::function<void()> m_What;
    bool operator<(const Event &B) const {
      return std::tie(m_At, m_Number) > std::tie(B.m_At, B.m_Number);
    }
  };
  std::priority_queue<Event> m_Events;
  std::uint64_t m_Next = 0;
};

/// Faults that the servers and their links have, as shares of all orders.
struct SimFaults {
  /// Orders that are carried out and not answered.
  double m_LostAnswers = 0;
  /// Orders that are not answered and carried out 2 to 6 s later.
  double m_LateOrders = 0;
  /// Runs that fail.
  double m_FailedRuns = 0;
};

/// Keeps what the rules of running tasks say, whatever a scheduler does. Throws
/// std::runtime_error at the first breach.
class RunOracle {
public:
  void onJob(const JobSpec &Job, std::uint32_t Attempts);
  void onCancelled(const JobId &Id, TimePoint Now);
  void onStart(const ServerId &Server, const RunId &Run, TimePoint Now);
  void onEnd(const ServerId &Server, const RunId &Run, EndKind Kind);
  /// The server was told to forget the end.
  void onForgotten(const ServerId &Server, const RunId &Run, EndKind Kind);
  explicit RunOracle(const VirtualClock &Time) : m_Clock(Time) {}

private:
  struct Task {
    std::set<ServerId> m_RunningOn;
    bool m_Done = false;
    bool m_DoneForgotten = false;
    std::set<std::uint32_t> m_FailedForgotten;
    /// What happened to it, for the message of a breach.
    std::string m_History;
  };
  [[noreturn]] void breach(const char *Rule, const RunId &Run);
  void note(const RunId &Run, const ServerId &Server, std::string_view What);

  struct Job {
    JobSpec m_Spec;
    std::uint32_t m_Attempts = 1;
  };
  std::map<JobId, Job> m_Jobs;
  std::map<TaskId, Task> m_Tasks;
  std::map<JobId, TimePoint> m_Cancelled;
  const VirtualClock &m_Clock;
};

/// One backend server: runs tasks under leases, for the highest term it has
/// seen.
class SimServer {
public:
  SimServer(VirtualClock &Time, std::mt19937_64 &Random, RunOracle &Oracle,
            ServerRegistration R);

  ServerRegistration m_Registration;
  bool m_Up = true;
  /// Instances whose orders do not reach it, by their number.
  std::set<int> m_CutFrom;

  OrderResult start(const StartOrder &Order, Duration Work, bool Fails);
  OrderResult stop(const StopOrder &Order);
  /// Calls \p Then at once, or when a run ends, or when the wait is over.
  void look(const LookOrder &Order,
            std::function<void(OrderResult, LookReply)> Then);
  /// What runs and is started takes this many times as long from now on.
  void setSlowness(double Factor);
  /// Everything on it is gone; a new life begins.
  void crash();
  std::int64_t clockMs() const;
  std::size_t runs() const { return m_Runs.size(); }

private:
  struct Run {
    Duration m_Work;
    /// Work done by m_Since, in the server's normal time.
    Duration m_Done{0};
    TimePoint m_Since;
    bool m_Fails = false;
    std::uint64_t m_Token = 0;
  };
  struct Waiter {
    LookOrder m_Order;
    std::function<void(OrderResult, LookReply)> m_Then;
    std::uint64_t m_Token;
  };
  void end(const RunId &Id, EndKind Kind);
  void scheduleEnd(const RunId &Id);
  Duration workDone(const Run &R) const;
  void answerWaiters();
  LookReply lists() const;
  void extend(std::int64_t UntilMs);
  void checkLease();

  VirtualClock &m_Clock;
  std::mt19937_64 &m_Random;
  RunOracle &m_Oracle;
  std::map<RunId, Run> m_Runs;
  std::map<TaskId, std::uint32_t> m_HighestOver;
  std::vector<EndReport> m_Ends;
  std::vector<Waiter> m_Waiters;
  Resources m_Used;
  Term m_Fence = 0;
  std::int64_t m_LeaseUntilMs = 0;
  std::uint64_t m_NextEnd = 1;
  std::uint64_t m_NextToken = 1;
  double m_Slowness = 1;
  TimePoint m_BornAt;
  std::map<TaskId, Resources> m_Needs;

public:
  /// What a task needs; the order does not say.
  void noteNeed(const TaskId &Task, const Resources &Need) {
    m_Needs[Task] = Need;
  }
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_TESTING_SIMSERVERS_H
