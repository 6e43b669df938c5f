//===- CallLimiter.h - Rate limiter and circuit breaker ---------*- C++ -*-===//
//
// Decides whether a call may be sent to the platform now. Token buckets limit
// the call rate; each priority has a bucket with a reserved share of the rate,
// and tokens that overflow it go to a common bucket. A circuit breaker blocks
// calls while the platform fails and admits single probes until one succeeds.
// Deterministic: the time is a parameter and the random generator is seeded.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PLATFORM_CALLLIMITER_H
#define POLLENSPOOL_PLATFORM_CALLLIMITER_H

#include "base/Time.h"
#include "platform/Platform.h"
#include <array>
#include <cstdint>
#include <random>

namespace pollenspool {

constexpr std::size_t CallPriorityCount = 4;

struct CallLimiterSettings {
  /// Calls per second, summed over all priorities.
  double m_CallsPerSecond = 200;
  /// Bucket capacity, as the time in which a bucket fills at its rate.
  std::chrono::milliseconds m_BurstTime{500};
  /// The fraction of the rate that is reserved for each priority, in the order
  /// of CallPriority. The sum is at most 1.
  std::array<double, CallPriorityCount> m_Shares = {0.5, 0.2, 0.2, 0.1};
  /// Consecutive failures that open the breaker.
  std::uint32_t m_FailuresToOpen = 5;
  /// Wait before the first probe; doubles with each failed probe up to the
  /// maximum. The actual wait is 50 to 100 % of it.
  std::chrono::milliseconds m_InitialBackoff{200};
  std::chrono::milliseconds m_MaxBackoff{5000};
  /// A probe without a result is replaced by a new one after this time.
  std::chrono::milliseconds m_ProbeTimeout{10000};
  std::uint64_t m_Seed = 1;
};

enum class AdmitDecision : std::uint8_t { Allowed, RateLimited, BreakerOpen };

/// The decision on one call. Pass it to onResult() with the call's result.
struct CallPermit {
  AdmitDecision m_Decision = AdmitDecision::Allowed;
  /// Number of state transitions of the breaker up to the call's admission. The
  /// result is ignored if another transition has followed.
  std::uint64_t m_Generation = 0;

  bool isAllowed() const { return m_Decision == AdmitDecision::Allowed; }
};

/// Rate limiter and circuit breaker of one platform. Not thread safe.
class CallLimiter {
public:
  /// Precondition: the rate is positive and the shares sum to at most 1.
  explicit CallLimiter(const CallLimiterSettings &Settings);

  /// Decides on one call and takes a token if it is allowed. Precondition:
  /// \p Now never decreases.
  CallPermit admit(CallPriority Priority, TimePoint Now);

  /// Reports the result of an allowed call; \p Ok is true if the platform
  /// answered.
  void onResult(const CallPermit &Permit, bool Ok, TimePoint Now);

  /// Returns true unless the breaker is closed; true while it is probing, too.
  bool isOpen() const { return m_State != BreakerState::Closed; }

private:
  enum class BreakerState : std::uint8_t { Closed, Open, Probing };

  void refill(TimePoint Now);
  bool takeToken(CallPriority Priority);
  bool mayProbe(TimePoint Now) const;
  void open(TimePoint Now);
  void transitionTo(BreakerState State);

  CallLimiterSettings m_Settings;
  std::mt19937_64 m_Random;
  /// Tokens of each priority; the overflow goes to the common bucket.
  std::array<double, CallPriorityCount> m_Tokens{};
  double m_CommonTokens = 0;
  TimePoint m_LastRefill{};
  bool m_IsInitialized = false;
  BreakerState m_State = BreakerState::Closed;
  std::uint64_t m_Generation = 0;
  std::uint32_t m_Failures = 0;
  Duration m_Backoff{0};
  /// While open, the time of the next probe; while probing, the time at which
  /// the probe is replaced.
  TimePoint m_NextProbe{};
};

} // namespace pollenspool

#endif // POLLENSPOOL_PLATFORM_CALLLIMITER_H
