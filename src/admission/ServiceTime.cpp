//===- ServiceTime.cpp - Measured service time of a service ---------------===//

#include "admission/ServiceTime.h"
#include <algorithm>
#include <cmath>

namespace pollenspool {

namespace {

constexpr double MeanSmoothing = 0.05;
constexpr double ConservativeDeviations = 3;
constexpr double DeviationSmoothing = 0.1;
/// Samples are clipped to this multiple of the mean.
constexpr double OutlierFactor = 8;
/// Time without a sample after which an estimate has decayed to half.
constexpr double DecayHalfLifeUs = 5e6;
constexpr unsigned SamplesPerBucket = 64;

} // namespace

void ServiceTime::add(Duration Sample, TimePoint Now) {
  double Value = std::max<double>(static_cast<double>(Sample.count()), 1);
  // The weight of the old estimate decays while no samples arrive.
  double Smoothing = std::max(MeanSmoothing, 1 - decayFactor(Now));
  m_LastSample = Now;
  if (m_Mean == 0) {
    m_Mean = Value;
    m_Baseline = Value;
    m_Deviation = Value / 2;
    return;
  }
  Value = std::min(Value, m_Mean * OutlierFactor);
  m_Deviation += DeviationSmoothing * (std::abs(Value - m_Mean) - m_Deviation);
  m_Mean += Smoothing * (Value - m_Mean);
  addToBaseline(Value);
}

Duration ServiceTime::mean(TimePoint Now) const {
  return meanPlusDeviations(0, Now);
}

Duration ServiceTime::typical(TimePoint Now) const {
  return meanPlusDeviations(1, Now);
}

Duration ServiceTime::conservative(TimePoint Now) const {
  return meanPlusDeviations(ConservativeDeviations, Now);
}

Duration ServiceTime::meanPlusDeviations(double Count, TimePoint Now) const {
  double Time = (m_Mean + Count * m_Deviation) * decayFactor(Now);
  return Duration(static_cast<long>(Time));
}

double ServiceTime::decayFactor(TimePoint Now) const {
  double IdleUs = static_cast<double>((Now - m_LastSample).count());
  return std::exp2(-std::max(IdleUs, 0.0) / DecayHalfLifeUs);
}

void ServiceTime::addToBaseline(double Sample) {
  m_CurrentBucket.m_Sum += Sample;
  if (++m_CurrentBucket.m_Count < SamplesPerBucket)
    return;
  m_BucketMeans[m_NextBucket] = m_CurrentBucket.m_Sum / m_CurrentBucket.m_Count;
  m_NextBucket = (m_NextBucket + 1) % BaselineBuckets;
  m_CurrentBucket = Bucket{};
  m_Baseline = 0;
  for (double Mean : m_BucketMeans)
    if (Mean > 0 && (m_Baseline == 0 || Mean < m_Baseline))
      m_Baseline = Mean;
}

} // namespace pollenspool
