//===- ServiceTime.h - Measured service time of a service -------*- C++ -*-===//
//
// Run times that services declare are far from the real ones. The time from the
// start of a try to its answer is therefore measured, and outliers are clipped.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ADMISSION_SERVICETIME_H
#define POLLENSPOOL_ADMISSION_SERVICETIME_H

#include "base/Time.h"
#include <array>

namespace pollenspool {

/// An exponentially weighted mean and deviation that decay while no samples
/// arrive, so that an estimate that is too high does not refuse all requests
/// for ever. Not thread safe.
class ServiceTime {
public:
  /// Adds the duration of a try. For a try that ended without an answer,
  /// \p Sample is a lower bound of its duration.
  void add(Duration Sample, TimePoint Now);

  /// The mean, or 0 if there are no samples.
  Duration mean(TimePoint Now) const;

  /// A time that most tries do not exceed: the mean plus one deviation.
  Duration typical(TimePoint Now) const;

  /// A time that all but a few tries do not exceed: the mean plus three
  /// deviations.
  Duration conservative(TimePoint Now) const;

  /// The lowest bucket mean of the recent past, which estimates the service
  /// time without contention.
  Duration baseline() const { return Duration(static_cast<long>(m_Baseline)); }

private:
  /// A fixed number of samples. The baseline is the lowest mean of the last
  /// BaselineBuckets buckets.
  struct Bucket {
    double m_Sum = 0;
    unsigned m_Count = 0;
  };

  double decayFactor(TimePoint Now) const;
  Duration meanPlusDeviations(double Count, TimePoint Now) const;
  void addToBaseline(double Sample);

  static constexpr std::size_t BaselineBuckets = 32;

  double m_Mean = 0;
  double m_Deviation = 0;
  double m_Baseline = 0;
  TimePoint m_LastSample;
  Bucket m_CurrentBucket;
  std::array<double, BaselineBuckets> m_BucketMeans{};
  std::size_t m_NextBucket = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ADMISSION_SERVICETIME_H
