//===- ServiceTime.h - Learned run time of a service ------------*- C++ -*-===//
//
// Declared run times are far from the truth, so the time from the start of a
// try to its answer is learned, with outliers clipped.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ADMISSION_SERVICETIME_H
#define POLLENSPOOL_ADMISSION_SERVICETIME_H

#include "base/Time.h"
#include <array>

namespace pollenspool {

/// A smoothed mean and deviation that fade while nothing is learned, so that a
/// wrong estimate cannot refuse all work for ever. Not thread safe.
class ServiceTime {
public:
  /// Learns from a try that took \p Sample, or at least so long if it was
  /// given up.
  void add(Duration Sample, TimePoint Now);

  /// The expected time; zero while nothing is known.
  Duration mean(TimePoint Now) const;

  /// A time that most tries keep to: mean and one deviation.
  Duration typical(TimePoint Now) const;

  /// A time that all but a few tries keep to: mean and three deviations.
  Duration safe(TimePoint Now) const;

  /// The lowest mean over the recent past: the time without contention.
  Duration baseline() const { return Duration(static_cast<long>(m_Baseline)); }

private:
  /// One interval's mean. The baseline is the lowest of the kept ones.
  struct Bucket {
    double m_Sum = 0;
    unsigned m_Count = 0;
  };

  double fade(TimePoint Now) const;
  Duration withDeviations(double Count, TimePoint Now) const;
  void addToBaseline(double Sample);

  static constexpr std::size_t KeptMeans = 32;

  double m_Mean = 0;
  double m_Deviation = 0;
  double m_Baseline = 0;
  TimePoint m_LastSample;
  Bucket m_Current;
  std::array<double, KeptMeans> m_Means{};
  std::size_t m_NextMean = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ADMISSION_SERVICETIME_H
