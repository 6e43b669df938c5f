//===- ArrivalGenerator.cpp - Arrival times of requests -------------------===//
//--------------------------===//

#include "load/ArrivalGenerator.h"
#include "common/Hash.h"
#include <algorithm>
#include <cmath>

namespace standin {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr std::size_t MinBodyBytes = 16;
constexpr std::size_t MaxBodyBytes = 400;
/// Share of the repeatable requests that are sent as a GET without a body.
constexpr double GetShare = 0.5;
/// Standard deviation of the logarithm of the run times.
constexpr double RunTimeSigma = 0.5;

double sumOfWeights(const std::vector<WeightedName> &Choices) {
  double Sum = 0;
  for (const WeightedName &Choice : Choices)
    Sum += Choice.m_Weight;
  return Sum;
}

} // namespace

ArrivalGenerator::ArrivalGenerator(const LoadOptions &Options)
    : m_Options(Options), m_Random(Options.m_Seed) {
  const double Sum = sumOfWeights(Options.m_Services);
  for (std::size_t I = 0; I < Options.m_Services.size(); ++I) {
    Service Added;
    Added.m_Index = I;
    Added.m_Rate = Options.m_Rate * Options.m_Services[I].m_Weight / Sum;
    drawNext(Added);
    m_Services.push_back(Added);
  }
}

double ArrivalGenerator::rateAt(const Service &Target,
                                Microseconds Time) const {
  if (m_Options.m_Profile == Profile::Flat)
    return Target.m_Rate;
  const auto PeriodIndex = Time / Microseconds(m_Options.m_PeakDuration);
  const bool IsPeak =
      static_cast<std::size_t>(PeriodIndex) % m_Options.m_Services.size() ==
      Target.m_Index;
  return Target.m_Rate *
         (IsPeak ? m_Options.m_PeakFactor : m_Options.m_TroughFactor);
}

void ArrivalGenerator::drawNext(Service &Target) {
  // The rate is constant within a period. Because exponential gaps are
  // memoryless, a gap that crosses the end of a period can be redrawn from
  // that end with the rate of the next period.
  const Microseconds Period(m_Options.m_PeakDuration);
  Microseconds From = Target.m_NextArrival;
  while (From < m_Options.m_Duration) {
    const Microseconds End = (From / Period + 1) * Period;
    const double Rate = rateAt(Target, From);
    if (Rate > 0) {
      std::exponential_distribution<double> Gap(Rate / MicrosecondsPerSecond);
      const Microseconds Next =
          From + Microseconds(std::llround(std::min(Gap(m_Random), 1e12)));
      if (Next < End) {
        Target.m_NextArrival = Next;
        return;
      }
    }
    From = End;
  }
  Target.m_NextArrival = Microseconds::max();
}

const ArrivalGenerator::Service &ArrivalGenerator::earliest() const {
  return *std::min_element(m_Services.begin(), m_Services.end(),
                           [](const Service &Left, const Service &Right) {
                             return Left.m_NextArrival < Right.m_NextArrival;
                           });
}

std::optional<ArrivalGenerator::Microseconds>
ArrivalGenerator::nextDue() const {
  const Microseconds Next = earliest().m_NextArrival;
  if (Next >= m_Options.m_Duration)
    return std::nullopt;
  return Next;
}

LoadRequest ArrivalGenerator::take() {
  Service &Due = m_Services[earliest().m_Index];
  LoadRequest Request;
  Request.m_DueOffset =
      std::chrono::duration_cast<Milliseconds>(Due.m_NextArrival);
  Request.m_Id = m_Options.m_IdPrefix + "-" + std::to_string(++m_Count);
  Request.m_Service = m_Options.m_Services[Due.m_Index].m_Name;
  Request.m_Team = m_Options.m_Teams[drawIndex(m_Options.m_Teams)].m_Name;
  std::discrete_distribution<int> Class(m_Options.m_ClassMix.begin(),
                                        m_Options.m_ClassMix.end());
  Request.m_Class = static_cast<WorkClass>(Class(m_Random));
  Request.m_IsRepeatable =
      std::bernoulli_distribution(m_Options.m_RepeatableShare)(m_Random);
  const bool ByGet =
      Request.m_IsRepeatable && std::bernoulli_distribution(GetShare)(m_Random);
  Request.m_Method = ByGet ? "GET" : "POST";
  if (!ByGet)
    Request.m_Body = drawBody();
  Request.m_BodyHash = echoHash(Request.m_Body);
  if (m_Options.m_MeanRunTime > Milliseconds::zero()) {
    // A log-normal distribution with the location -sigma^2/2 has the mean 1, so
    // that the mean run time is the requested one.
    std::lognormal_distribution<double> Draw(-RunTimeSigma * RunTimeSigma / 2,
                                             RunTimeSigma);
    Request.m_RunTimeMs = std::llround(
        static_cast<double>(m_Options.m_MeanRunTime.count()) * Draw(m_Random));
  }
  drawNext(Due);
  return Request;
}

std::size_t
ArrivalGenerator::drawIndex(const std::vector<WeightedName> &Choices) {
  double Remaining = std::uniform_real_distribution<double>(
      0, sumOfWeights(Choices))(m_Random);
  for (std::size_t I = 0; I + 1 < Choices.size(); ++I) {
    Remaining -= Choices[I].m_Weight;
    if (Remaining < 0)
      return I;
  }
  return Choices.size() - 1;
}

std::string ArrivalGenerator::drawBody() {
  std::uniform_int_distribution<std::size_t> Size(MinBodyBytes, MaxBodyBytes);
  std::uniform_int_distribution<int> Letter('a', 'z');
  std::string Body(Size(m_Random), ' ');
  for (char &Byte : Body)
    Byte = static_cast<char>(Letter(m_Random));
  return Body;
}

} // namespace standin
