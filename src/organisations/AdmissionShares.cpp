//===- AdmissionShares.cpp - Admission control by organisation ------------===//

#include "organisations/AdmissionShares.h"
#include <cmath>
#include <cstdint>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pollenspool {

namespace {

constexpr std::int64_t MaxRetryDelaySeconds = 8;

/// A number in [0, 1) that is the same in all instances. \p Seed tells
/// independent numbers of one job apart.
double hashOf(const JobId &Id, std::uint64_t Seed) {
  constexpr int MantissaBits = 53;
  std::uint64_t Hash = XXH64(Id.m_Text.data(), Id.m_Text.size(), Seed);
  return std::ldexp(static_cast<double>(Hash >> (64 - MantissaBits)),
                    -MantissaBits);
}

constexpr std::uint64_t AdmissionSeed = 1;
constexpr std::uint64_t RetrySeed = 2;

} // namespace

bool admits(const AdmissionShares &Shares, Duration Age, const JobId &Id,
            const OrganisationName &Organisation, const PoolName &Pool) {
  auto It = Shares.m_Fractions.find(Organisation);
  return It == Shares.m_Fractions.end() || Age >= MaxAdmissionSharesAge ||
         Shares.m_FullPools.count(Pool) == 0 ||
         hashOf(Id, AdmissionSeed) < It->second;
}

std::chrono::seconds retryDelay(const AdmissionShares &Shares, const JobId &Id,
                                const OrganisationName &Organisation) {
  auto It = Shares.m_Fractions.find(Organisation);
  double Fraction = It == Shares.m_Fractions.end() ? 1.0 : It->second;
  double Spread = std::min(static_cast<double>(MaxRetryDelaySeconds),
                           std::ceil(1 / std::max(Fraction, 0.01)));
  return std::chrono::seconds(
      1 + static_cast<std::int64_t>(hashOf(Id, RetrySeed) * Spread));
}

} // namespace pollenspool
