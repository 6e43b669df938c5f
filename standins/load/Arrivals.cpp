//===- Arrivals.cpp - When which request arrives --------------------------===//

#include "load/Arrivals.h"
#include "common/Hash.h"
#include <algorithm>
#include <cmath>

namespace standin {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr std::size_t MinBodyBytes = 16;
constexpr std::size_t MaxBodyBytes = 400;
/// Share of the repeatable requests that are sent by GET without a body.
constexpr double GetShare = 0.5;
constexpr double WorkSigma = 0.5;

double sumOfWeights(const std::vector<Weighted> &Choices) {
  double Sum = 0;
  for (const Weighted &Choice : Choices)
    Sum += Choice.m_Weight;
  return Sum;
}

} // namespace

Arrivals::Arrivals(const LoadOptions &Options)
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

double Arrivals::rateAt(const Service &Asked, Microseconds Time) const {
  if (m_Options.m_Profile == Profile::Flat)
    return Asked.m_Rate;
  const auto Turn = Time / Microseconds(m_Options.m_PeakLength);
  const bool IsPeak =
      static_cast<std::size_t>(Turn) % m_Options.m_Services.size() ==
      Asked.m_Index;
  return Asked.m_Rate *
         (IsPeak ? m_Options.m_PeakFactor : m_Options.m_TroughFactor);
}

void Arrivals::drawNext(Service &Drawn) {
  // The rate is constant between ends of peaks; arrivals are memoryless, so
  // that a gap that crosses an end is drawn again from there.
  const Microseconds Step(m_Options.m_PeakLength);
  Microseconds From = Drawn.m_Next;
  while (From < m_Options.m_Length) {
    const Microseconds End = (From / Step + 1) * Step;
    const double Rate = rateAt(Drawn, From);
    if (Rate > 0) {
      std::exponential_distribution<double> Gap(Rate / MicrosecondsPerSecond);
      const Microseconds Next =
          From + Microseconds(std::llround(std::min(Gap(m_Random), 1e12)));
      if (Next < End) {
        Drawn.m_Next = Next;
        return;
      }
    }
    From = End;
  }
  Drawn.m_Next = Microseconds::max();
}

const Arrivals::Service &Arrivals::earliest() const {
  return *std::min_element(m_Services.begin(), m_Services.end(),
                           [](const Service &Left, const Service &Right) {
                             return Left.m_Next < Right.m_Next;
                           });
}

std::optional<Arrivals::Microseconds> Arrivals::nextDue() const {
  const Microseconds Next = earliest().m_Next;
  if (Next >= m_Options.m_Length)
    return std::nullopt;
  return Next;
}

LoadRequest Arrivals::take() {
  Service &Due = m_Services[earliest().m_Index];
  LoadRequest Made;
  Made.m_Due = std::chrono::duration_cast<Milliseconds>(Due.m_Next);
  Made.m_Id = m_Options.m_IdPrefix + "-" + std::to_string(++m_Count);
  Made.m_Service = m_Options.m_Services[Due.m_Index].m_Name;
  Made.m_Team = m_Options.m_Teams[drawWeighted(m_Options.m_Teams)].m_Name;
  std::discrete_distribution<int> Class(m_Options.m_ClassMix.begin(),
                                        m_Options.m_ClassMix.end());
  Made.m_Class = static_cast<WorkClass>(Class(m_Random));
  Made.m_Repeatable =
      std::bernoulli_distribution(m_Options.m_RepeatableShare)(m_Random);
  const bool ByGet =
      Made.m_Repeatable && std::bernoulli_distribution(GetShare)(m_Random);
  Made.m_Method = ByGet ? "GET" : "POST";
  if (!ByGet)
    Made.m_Body = drawBody();
  Made.m_BodyHash = echoHash(Made.m_Body);
  if (m_Options.m_Work > Milliseconds::zero()) {
    // The mean of this distribution is the mean asked for.
    std::lognormal_distribution<double> Draw(-WorkSigma * WorkSigma / 2,
                                             WorkSigma);
    Made.m_WorkMs = std::llround(static_cast<double>(m_Options.m_Work.count()) *
                                 Draw(m_Random));
  }
  drawNext(Due);
  return Made;
}

std::size_t Arrivals::drawWeighted(const std::vector<Weighted> &Choices) {
  double Left = std::uniform_real_distribution<double>(
      0, sumOfWeights(Choices))(m_Random);
  for (std::size_t I = 0; I + 1 < Choices.size(); ++I) {
    Left -= Choices[I].m_Weight;
    if (Left < 0)
      return I;
  }
  return Choices.size() - 1;
}

std::string Arrivals::drawBody() {
  std::uniform_int_distribution<std::size_t> Size(MinBodyBytes, MaxBodyBytes);
  std::uniform_int_distribution<int> Letter('a', 'z');
  std::string Body(Size(m_Random), ' ');
  for (char &Byte : Body)
    Byte = static_cast<char>(Letter(m_Random));
  return Body;
}

} // namespace standin
