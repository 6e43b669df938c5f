//===- QueueRules.h - Rules for scheduling the jobs of a queue --*- C++ -*-===//

#ifndef POLLENSPOOL_JOBS_QUEUERULES_H
#define POLLENSPOOL_JOBS_QUEUERULES_H

#include "base/Ids.h"
#include "base/JsonWriter.h"
#include "base/ReadJson.h"
#include <chrono>
#include <cstdint>
#include <optional>

namespace pollenspool {

/// Expected durations of a call to the placement adviser of a queue, and the
/// lifetime of its answers.
struct AdvicePolicy {
  /// Duration of a call, besides m_TimePerServer.
  std::chrono::milliseconds m_TimePerCall{0};
  /// Additional duration for each server that the call asks about.
  std::chrono::milliseconds m_TimePerServer{0};
  /// How long the tickets of an answer are valid.
  std::chrono::milliseconds m_TicketLifetime{0};
};

/// The rules for scheduling the jobs of a queue, as one version of the
/// operators' configuration has them.
struct QueueRules {
  std::uint64_t m_ConfigVersion = 0;
  PoolName m_Pool;
  /// 0 is the highest priority; its jobs may preempt others.
  std::uint32_t m_Priority = 0;
  /// Failed runs of one task after which its job fails.
  std::uint32_t m_Attempts = 1;
  /// The latency objective of a job is the length of its critical path times
  /// m_DurationFactor, plus m_Slack.
  double m_DurationFactor = 1.0;
  std::chrono::milliseconds m_Slack{0};
  /// Present if the placement adviser decides where the queue's tasks may run.
  std::optional<AdvicePolicy> m_Advice;
};

/// Whether \p A and \p B are the same apart from the version. Thread safe.
bool haveSameEffect(const QueueRules &A, const QueueRules &B);

/// Writes \p Rules as an array. Later versions may only append elements.
void writeQueueRules(JsonWriter &Row, const QueueRules &Rules);

/// Reads what writeQueueRules() has written from a JSON value of either
/// library. Thread safe.
template <typename V> QueueRules queueRulesFrom(const V &J) {
  using std::chrono::milliseconds;
  QueueRules Rules;
  Rules.m_ConfigVersion = as<std::uint64_t>(J.at(0));
  Rules.m_Pool = PoolName(as<std::string>(J.at(1)));
  Rules.m_Priority = as<std::uint32_t>(J.at(2));
  Rules.m_Attempts = as<std::uint32_t>(J.at(3));
  Rules.m_DurationFactor = as<double>(J.at(4));
  Rules.m_Slack = milliseconds(as<std::int64_t>(J.at(5)));
  const auto &Advice = J.at(6);
  if (Advice.size() != 0)
    Rules.m_Advice = AdvicePolicy{milliseconds(as<std::int64_t>(Advice.at(0))),
                                  milliseconds(as<std::int64_t>(Advice.at(1))),
                                  milliseconds(as<std::int64_t>(Advice.at(2)))};
  return Rules;
}

} // namespace pollenspool

#endif // POLLENSPOOL_JOBS_QUEUERULES_H
