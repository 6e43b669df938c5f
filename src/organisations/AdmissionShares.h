//===- AdmissionShares.h - Admission control by organisation ----*- C++ -*-===//

#ifndef POLLENSPOOL_ORGANISATIONS_ADMISSIONSHARES_H
#define POLLENSPOOL_ORGANISATIONS_ADMISSIONSHARES_H

#include "base/Ids.h"
#include "base/Time.h"
#include "jobs/JobSpec.h"
#include <map>
#include <set>

namespace pollenspool {

/// What entry instances admit of the organisations that exceed their share. The
/// leader publishes it with each renewal.
struct AdmissionShares {
  /// The fraction of the submitted jobs to admit, by organisation. All jobs of
  /// the other organisations are admitted.
  std::map<OrganisationName, double> m_Fractions;
  /// The pools that have no room. Jobs for other pools are admitted.
  std::set<PoolName> m_FullPools;
};

/// Shares older than this are not applied, since the leader may have stopped.
constexpr Duration MaxAdmissionSharesAge = std::chrono::seconds(2);

/// Whether to admit a job. All instances give the same answer for one job and
/// the same shares. Thread safe.
bool admits(const AdmissionShares &Shares, Duration Age, const JobId &Id,
            const OrganisationName &Organisation, const PoolName &Pool);

/// When the caller of a job that was not admitted should come back. Jobs of one
/// organisation are spread over the more time, the fewer of them are admitted.
/// Thread safe.
std::chrono::seconds retryDelay(const AdmissionShares &Shares, const JobId &Id,
                                const OrganisationName &Organisation);

} // namespace pollenspool

#endif // POLLENSPOOL_ORGANISATIONS_ADMISSIONSHARES_H
