//===- ServiceTime.cpp - Learned run time of a service --------------------===//

#include "admission/ServiceTime.h"
#include <algorithm>
#include <cmath>

namespace pollenspool {

namespace {

constexpr double MeanGain = 0.05;
constexpr double SafeDeviations = 3;
constexpr double DeviationGain = 0.1;
/// A sample counts for at most this many times the mean.
constexpr double OutlierFactor = 8;
/// Idle time after which an estimate counts for half.
constexpr double FadeHalfLifeUs = 5e6;
constexpr unsigned SamplesPerBucket = 64;

} // namespace

void ServiceTime::add(Duration Sample, TimePoint Now) {
  double Value = std::max<double>(static_cast<double>(Sample.count()), 1);
  // After idle time the old estimate counts for less.
  double Gain = std::max(MeanGain, 1 - fade(Now));
  m_LastSample = Now;
  if (m_Mean == 0) {
    m_Mean = Value;
    m_Baseline = Value;
    m_Deviation = Value / 2;
    return;
  }
  Value = std::min(Value, m_Mean * OutlierFactor);
  m_Deviation += DeviationGain * (std::abs(Value - m_Mean) - m_Deviation);
  m_Mean += Gain * (Value - m_Mean);
  addToBaseline(Value);
}

Duration ServiceTime::mean(TimePoint Now) const {
  return withDeviations(0, Now);
}

Duration ServiceTime::typical(TimePoint Now) const {
  return withDeviations(1, Now);
}

Duration ServiceTime::safe(TimePoint Now) const {
  return withDeviations(SafeDeviations, Now);
}

Duration ServiceTime::withDeviations(double Count, TimePoint Now) const {
  double Time = (m_Mean + Count * m_Deviation) * fade(Now);
  return Duration(static_cast<long>(Time));
}

double ServiceTime::fade(TimePoint Now) const {
  double IdleUs = static_cast<double>((Now - m_LastSample).count());
  return std::exp2(-std::max(IdleUs, 0.0) / FadeHalfLifeUs);
}

void ServiceTime::addToBaseline(double Sample) {
  m_Current.m_Sum += Sample;
  if (++m_Current.m_Count < SamplesPerBucket)
    return;
  m_Means[m_NextMean] = m_Current.m_Sum / m_Current.m_Count;
  m_NextMean = (m_NextMean + 1) % KeptMeans;
  m_Current = Bucket{};
  m_Baseline = 0;
  for (double Mean : m_Means)
    if (Mean > 0 && (m_Baseline == 0 || Mean < m_Baseline))
      m_Baseline = Mean;
}

} // namespace pollenspool
