//===- LoadRun.h - Sends the load and keeps what came of it -----*- C++ -*-===//

#ifndef STANDIN_LOAD_LOADRUN_H
#define STANDIN_LOAD_LOADRUN_H

#include "load/Arrivals.h"
#include "load/Balancer.h"
#include <deque>

namespace standin {

/// Runs on one event loop; not thread safe.
class LoadRun {
public:
  /// \p Options must outlive this.
  LoadRun(EventLoop &Loop, const LoadOptions &Options);
  LoadRun(const LoadRun &) = delete;
  LoadRun &operator=(const LoadRun &) = delete;

  /// Waits for a healthy entry, sends the load, and calls \p OnDone when every
  /// request has its outcome; with false if no entry became healthy.
  void start(std::function<void(bool Sent)> OnDone);

  /// References stay valid: requests are never removed.
  const std::deque<LoadRequest> &requests() const { return m_Requests; }
  std::uint64_t overMaxInFlight() const { return m_OverMaxInFlight; }
  std::uint64_t attempts() const { return m_AttemptCount; }
  /// The longest time between when a request was due and when it was sent.
  Milliseconds maxSendLag() const { return m_MaxSendLag; }
  /// Wall clock of the start.
  Milliseconds begin() const { return m_BeginWall; }

private:
  void waitForEntry();
  void begin(SteadyClock::time_point Now);
  void sendDue();
  void scheduleNext();
  void sendAttempt(LoadRequest &Request, std::vector<std::size_t> Refusing);
  void onResult(LoadRequest &Request, std::vector<std::size_t> Refusing,
                std::size_t Entry, const HttpResult &Result);
  void noteOutcome(LoadRequest &Request, AttemptOutcome Outcome);
  bool repeatsAfter(const LoadRequest &Request) const;
  void finishIfDone();

  EventLoop &m_Loop;
  const LoadOptions &m_Options;
  Arrivals m_Arrivals;
  Balancer m_Balancer;
  std::mt19937_64 m_Random;
  std::function<void(bool)> m_OnDone;
  SteadyClock::time_point m_Begin;
  SteadyClock::time_point m_GiveUpWaiting;
  Milliseconds m_BeginWall{0};
  std::deque<LoadRequest> m_Requests;
  std::size_t m_InFlight = 0;
  bool m_AllArrived = false;
  std::uint64_t m_OverMaxInFlight = 0;
  std::uint64_t m_AttemptCount = 0;
  Milliseconds m_MaxSendLag{0};
};

} // namespace standin

#endif // STANDIN_LOAD_LOADRUN_H
