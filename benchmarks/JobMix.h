//===- JobMix.h - Random jobs of a benchmark --------------------*- C++ -*-===//

#ifndef POLLENSPOOL_BENCHMARKS_JOBMIX_H
#define POLLENSPOOL_BENCHMARKS_JOBMIX_H

#include "base/Time.h"
#include "jobs/JobSpec.h"
#include <algorithm>
#include <random>

namespace pollenspool {

/// Mean values of the jobs of a queue.
struct JobKind {
  double m_Steps;
  double m_TasksPerStep;
  double m_MilliCores;
  double m_MemoryMb;
  double m_TaskMs;
};

/// The jobs of a queue, and how many arrive on average per second for each
/// server of the site.
struct ArrivalLoad {
  JobKind m_Kind;
  double m_Rate;
};

/// Peaks of several queues in turns. The mean factor of each queue is 1.
struct PeaksByTurns {
  std::size_t m_Queues;
  Duration m_PeakLength;
  double m_PeakFactor;
  /// The peak relative to the load in between.
  double m_Ratio;

  /// Time from the start of one queue's peak to the start of the next one's.
  Duration turnLength() const {
    double Low = m_PeakFactor / m_Ratio;
    return std::chrono::duration_cast<Duration>(
        m_PeakLength * ((m_PeakFactor - Low) / (1 - Low)) /
        static_cast<double>(m_Queues));
  }
  /// The arrival rate of \p Queue relative to its mean.
  double factor(std::size_t Queue, Duration SinceStart) const {
    Duration Turn = turnLength();
    auto Cycle = Turn * static_cast<int>(m_Queues);
    Duration At = (SinceStart + Cycle - Turn * static_cast<int>(Queue)) % Cycle;
    return At < m_PeakLength ? m_PeakFactor : m_PeakFactor / m_Ratio;
  }
};

/// The steps of a job, each of which waits for the one before, and what its
/// tasks really take.
struct JobPlan {
  std::vector<StepSpec> m_Steps;
  /// By step and task.
  std::vector<std::vector<Duration>> m_TaskLengths;
  Duration m_CriticalPath{0};
};

/// Draws the values of a job evenly between half and one and a half times their
/// means.
inline JobPlan drawJob(const JobKind &Kind, std::mt19937_64 &Random) {
  auto Around = [&](double Mean) {
    return Mean * std::uniform_real_distribution<>(0.5, 1.5)(Random);
  };
  JobPlan Plan;
  // The integer part of a number in [mean, mean + 1) has that mean.
  double Steps = Kind.m_Steps + std::uniform_real_distribution<>(0, 1)(Random);
  for (std::uint32_t N = 0; N < static_cast<std::uint32_t>(Steps); ++N) {
    StepSpec Step;
    Step.m_Count = std::max(
        1U, static_cast<std::uint32_t>(Around(Kind.m_TasksPerStep) + 0.5));
    Step.m_RequiredResources = {
        static_cast<std::int64_t>(Around(Kind.m_MilliCores)),
        static_cast<std::int64_t>(Around(Kind.m_MemoryMb)), 0};
    Step.m_Estimate =
        std::chrono::milliseconds(static_cast<int>(Kind.m_TaskMs));
    if (N > 0)
      Step.m_After = {N - 1};
    std::vector<Duration> Lengths;
    for (std::uint32_t I = 0; I < Step.m_Count; ++I)
      Lengths.push_back(std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(Around(Kind.m_TaskMs))));
    Plan.m_CriticalPath += *std::max_element(Lengths.begin(), Lengths.end());
    Plan.m_TaskLengths.push_back(std::move(Lengths));
    Plan.m_Steps.push_back(std::move(Step));
  }
  return Plan;
}

/// Length of job IDs in production; longer than what std::string holds inline.
constexpr std::size_t JobIdLength = 16;

/// The ID of the job with that number.
inline JobId jobId(std::uint64_t Number) {
  std::string Digits = std::to_string(Number);
  return JobId("job-" + std::string(JobIdLength - 4 - Digits.size(), '0') +
               Digits);
}

} // namespace pollenspool

#endif // POLLENSPOOL_BENCHMARKS_JOBMIX_H
