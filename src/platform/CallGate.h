//===- CallGate.h - Budget and circuit breaker of platform calls -*- C++
//-*-===//
//
// Decides whether a call may go to the platform now. A token bucket limits the
// rate; each priority keeps a share of it. A circuit breaker stops calls while
// the platform fails and lets single probes through until one succeeds.
// Deterministic: time comes with each event, random numbers are seeded.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PLATFORM_CALLGATE_H
#define POLLENSPOOL_PLATFORM_CALLGATE_H

#include "base/Time.h"
#include "platform/Platform.h"
#include <array>
#include <cstdint>
#include <random>

namespace pollenspool {

constexpr std::size_t CallPriorityCount = 4;

struct CallGateSettings {
  /// Calls a second, all priorities together.
  double m_CallsPerSecond = 200;
  /// Time for which unused tokens are kept.
  std::chrono::milliseconds m_BurstTime{500};
  /// The part of the rate that each priority has for itself; sums up to 1.
  std::array<double, CallPriorityCount> m_Shares = {0.5, 0.2, 0.2, 0.1};
  /// Consecutive failures that open the breaker.
  std::uint32_t m_FailuresToOpen = 5;
  /// Wait before the first probe; doubles with each failed one.
  std::chrono::milliseconds m_FirstBackoff{200};
  std::chrono::milliseconds m_LongestBackoff{5000};
  /// A probe without a result is given up after this time.
  std::chrono::milliseconds m_ProbeTimeout{10000};
  std::uint64_t m_Seed = 1;
};

enum class Verdict : std::uint8_t { Allowed, OverBudget, Open };

/// The answer to one request for a call. Hand it back with the call's result.
struct Admission {
  Verdict m_Verdict = Verdict::Allowed;
  /// The breaker's period in which the call was admitted; results of earlier
  /// periods do not count.
  std::uint64_t m_Period = 0;

  bool isAllowed() const { return m_Verdict == Verdict::Allowed; }
};

/// The gate in front of one platform. Not thread safe.
class CallGate {
public:
  /// Precondition: \p Settings has a positive rate and shares that sum up to
  /// at most 1.
  explicit CallGate(const CallGateSettings &Settings);

  /// Asks for one call. Precondition: \p Now never goes back.
  Admission admit(CallPriority Priority, TimePoint Now);

  /// Reports what came of an allowed call; \p Ok if the platform answered.
  void onResult(const Admission &Admitted, bool Ok, TimePoint Now);

  /// True unless the breaker is closed.
  bool isOpen() const { return m_State != BreakerState::Closed; }

private:
  enum class BreakerState : std::uint8_t { Closed, Open, Probing };

  void refill(TimePoint Now);
  bool takeToken(CallPriority Priority);
  bool mayProbe(TimePoint Now) const;
  void open(TimePoint Now);
  void enter(BreakerState State);

  CallGateSettings m_Settings;
  std::mt19937_64 m_Random;
  /// Tokens of each priority; what overflows goes to the common bucket.
  std::array<double, CallPriorityCount> m_Tokens{};
  double m_CommonTokens = 0;
  TimePoint m_LastRefill{};
  bool m_Started = false;
  BreakerState m_State = BreakerState::Closed;
  std::uint64_t m_Period = 0;
  std::uint32_t m_Failures = 0;
  Duration m_Backoff{0};
  /// Open: when to probe. Probing: when to give the probe up.
  TimePoint m_NextProbe{};
};

} // namespace pollenspool

#endif // POLLENSPOOL_PLATFORM_CALLGATE_H
