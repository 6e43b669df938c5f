//===- LightServer.h - Backend server of a benchmark ------------*- C++ -*-===//

#ifndef POLLENSPOOL_BENCHMARKS_LIGHTSERVER_H
#define POLLENSPOOL_BENCHMARKS_LIGHTSERVER_H

#include "scheduling/testing/SimServers.h"
#include <algorithm>

namespace pollenspool {

/// A simulated backend server without leases, faults and checks, so that it
/// needs little processor time. Not thread safe; must not be destroyed before
/// its clock.
class LightServer {
public:
  using PollCallback = std::function<void(OrderResult, PollReply)>;

  /// \p Time must outlive the server.
  LightServer(VirtualClock &Time, ServerRegistration R)
      : m_Registration(std::move(R)), m_Clock(Time) {}

  ServerRegistration m_Registration;
  InstanceCondition m_Condition = InstanceCondition::Up;

  bool isUp() const { return m_Condition == InstanceCondition::Up; }

  /// Starts a run of a task that takes \p Length and uses \p MilliCores.
  StartReply start(const RunId &Id, Duration Length, std::int64_t MilliCores) {
    if (!isUp())
      return {OrderResult::NotSent, 0};
    m_Runs.push_back({Id, m_Clock.m_Now, Length, MilliCores});
    m_Clock.after(Length, [this, Id] { endRun(Id, EndKind::Done); });
    return {OrderResult::Done, clockMs()};
  }

  void stop(const RunId &Id) { endRun(Id, EndKind::Stopped); }

  /// Calls \p Callback at once if there are ends to report or the order does
  /// not wait, else when a run ends or the wait time is up.
  void poll(const PollOrder &Order, PollCallback Callback) {
    auto IsNew = [&](const EndReport &End) {
      return End.m_Number > Order.m_AcknowledgedEndNumber;
    };
    m_Ends.erase(m_Ends.begin(),
                 std::find_if(m_Ends.begin(), m_Ends.end(), IsNew));
    m_WaitingPoll = std::move(Callback);
    ++m_PollNumber;
    if (!isUp() || Order.m_Wait.count() == 0 || !m_Ends.empty())
      return answerPoll();
    m_Clock.after(Order.m_Wait, [this, Number = m_PollNumber] {
      if (m_PollNumber == Number)
        answerPoll();
    });
  }

  /// Ends the server without a report of its runs.
  void shutDown() {
    m_Condition = InstanceCondition::Moving;
    m_Runs.clear();
    m_Ends.clear();
    answerPoll();
  }

  /// Starts a new incarnation after shutDown().
  void restart() {
    m_Condition = InstanceCondition::Up;
    m_LastEnd = 0;
    ++m_Registration.m_StartTimeMs;
  }

private:
  struct Run {
    RunId m_Id;
    TimePoint m_StartedAt;
    Duration m_Length;
    std::int64_t m_MilliCores;
  };

  std::int64_t clockMs() const {
    return m_Clock.m_Now.time_since_epoch() / std::chrono::milliseconds(1);
  }

  void endRun(const RunId &Id, EndKind Kind) {
    auto It = std::find_if(m_Runs.begin(), m_Runs.end(),
                           [&](const Run &R) { return R.m_Id == Id; });
    if (It == m_Runs.end())
      return;
    m_Runs.erase(It);
    m_Ends.push_back({++m_LastEnd, Id, Kind, ""});
    answerPoll();
  }

  void answerPoll() {
    if (!m_WaitingPoll)
      return;
    PollReply Reply;
    Reply.m_ClockMs = clockMs();
    Reply.m_StartTimeMs = m_Registration.m_StartTimeMs;
    for (const Run &R : m_Runs)
      Reply.m_Running.push_back(
          {R.m_Id, "",
           static_cast<int>((m_Clock.m_Now - R.m_StartedAt) * 100 /
                            std::max(Duration(1), R.m_Length)),
           static_cast<double>(R.m_MilliCores)});
    Reply.m_Ended = m_Ends;
    std::exchange(m_WaitingPoll, nullptr)(
        isUp() ? OrderResult::Done : OrderResult::NotSent, std::move(Reply));
  }

  VirtualClock &m_Clock;
  std::vector<Run> m_Runs;
  /// Ends that are not acknowledged.
  std::vector<EndReport> m_Ends;
  std::uint64_t m_LastEnd = 0;
  /// Empty if no poll waits.
  PollCallback m_WaitingPoll;
  /// Number of polls received; identifies the waiting one.
  std::uint64_t m_PollNumber = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_BENCHMARKS_LIGHTSERVER_H
