//===- LoadRun.h - Sends requests and records their outcomes ----*- C++ -*-===//

#ifndef STANDIN_LOAD_LOADRUN_H
#define STANDIN_LOAD_LOADRUN_H

#include "load/ArrivalGenerator.h"
#include "load/Balancer.h"
#include <deque>

namespace standin {

/// Sends the requests of one load test on an event loop and records their
/// outcomes. Not thread safe.
class LoadRun {
public:
  /// \p Loop and \p Options must outlive the load run.
  LoadRun(EventLoop &Loop, const LoadOptions &Options);
  LoadRun(const LoadRun &) = delete;
  LoadRun &operator=(const LoadRun &) = delete;

  /// Waits for a healthy entry instance, sends the requests, and calls
  /// \p OnDone with true once every request has its final outcome. Calls it
  /// with false if no entry became healthy in time.
  void start(std::function<void(bool Sent)> OnDone);

  /// All requests sent so far. References to them stay valid because requests
  /// are never removed.
  const std::deque<LoadRequest> &requests() const { return m_Requests; }
  /// Number of requests that were not sent because too many were in flight.
  std::uint64_t overMaxInFlight() const { return m_OverMaxInFlight; }
  std::uint64_t attempts() const { return m_AttemptCount; }
  /// The longest delay between the arrival time of a request and its sending.
  Milliseconds maxSendLag() const { return m_MaxSendLag; }
  /// Wall-clock time of the start of the load, since the Unix epoch.
  Milliseconds startWallTime() const { return m_StartWallTime; }

private:
  void waitForEntry();
  void beginLoad(SteadyClock::time_point Now);
  void sendDue();
  void scheduleNext();
  void sendAttempt(LoadRequest &Request, std::vector<std::size_t> Unreachable);
  void onResult(LoadRequest &Request, std::vector<std::size_t> Unreachable,
                std::size_t Entry, const HttpResult &Result);
  void recordOutcome(LoadRequest &Request, AttemptOutcome Outcome);
  bool shouldRetry(const LoadRequest &Request) const;
  void finishIfDone();

  EventLoop &m_Loop;
  const LoadOptions &m_Options;
  ArrivalGenerator m_ArrivalGenerator;
  Balancer m_Balancer;
  std::mt19937_64 m_Random;
  std::function<void(bool)> m_OnDone;
  SteadyClock::time_point m_StartTime;
  SteadyClock::time_point m_EntryWaitDeadline;
  Milliseconds m_StartWallTime{0};
  std::deque<LoadRequest> m_Requests;
  std::size_t m_InFlight = 0;
  bool m_AllArrived = false;
  std::uint64_t m_OverMaxInFlight = 0;
  std::uint64_t m_AttemptCount = 0;
  Milliseconds m_MaxSendLag{0};
};

} // namespace standin

#endif // STANDIN_LOAD_LOADRUN_H
