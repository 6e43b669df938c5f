//===- OrganisationLedger.h - What organisations have running ---*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_ORGANISATIONLEDGER_H
#define POLLENSPOOL_SCHEDULING_ORGANISATIONLEDGER_H

#include "base/Time.h"
#include "serving/ServingConfig.h"
#include <map>

namespace pollenspool {

struct LiveJob;

/// What one organisation has running on all servers, and what it may have.
struct OrganisationAccount {
  OrganisationName m_Name;
  /// The cap in effect. An amount of 0 is unlimited.
  Resources m_Cap;
  /// \see OrganisationPolicy::m_Weight.
  double m_Weight = 0;
  /// Required resources of all runs that servers have or may have, and of
  /// planned starts.
  Resources m_Charged;
  /// Required resources of the tasks that an earlier leader may have started on
  /// servers that have not answered yet.
  Resources m_Reserved;
  /// Runs of jobs that had ended before this leader knew them, so that it does
  /// not know what they require. Nothing starts until they have been stopped.
  std::uint32_t m_RunsOfUnknownSize = 0;
  /// The job that has waited longest for room under the cap, since when, and
  /// when that was last found out. Only compared, since the job may have ended.
  const LiveJob *m_BlockedJob = nullptr;
  Resources m_BlockedNeed;
  TimePoint m_BlockedSince{};
  TimePoint m_BlockedSeenAt{};

  bool hasCap() const {
    return m_Cap.m_MilliCores > 0 || m_Cap.m_MemoryMb > 0 || m_Cap.m_Gpus > 0;
  }
  /// Whether the cap leaves room for \p Need.
  bool hasRoomFor(const Resources &Need) const;
  /// Whether the cap would leave room for \p Need if nothing ran.
  bool canEverHold(const Resources &Need) const;
  /// Whether \p Need includes a resource that m_BlockedJob waits for.
  bool competesWithBlocked(const Resources &Need) const;
  /// Cores that the cap leaves; INT64_MAX if it does not limit them.
  std::int64_t freeMilliCores() const;
  void charge(const Resources &Need) { m_Charged += Need; }
  void release(const Resources &Need) { m_Charged -= Need; }
};

/// The accounts of all organisations, for one term. Does no I/O. Not thread
/// safe.
class OrganisationLedger {
public:
  /// Applies caps and weights. Accounts of organisations that no longer exist
  /// are kept without a cap, since their jobs still run.
  void onConfig(const ServingConfig &Config);
  /// The account of \p Name, which stays at its address; null for the empty
  /// name.
  OrganisationAccount *account(const OrganisationName &Name);
  const std::map<OrganisationName, OrganisationAccount> &all() const {
    return m_Accounts;
  }
  /// Forgets all reservations.
  void clearReservations();
  bool hasCaps() const { return m_HasCaps; }

  /// Whether \p Job may start tasks that require \p Need. A job that has waited
  /// for long for room under the cap of its organisation is not overtaken by
  /// the organisation's other jobs, which would starve large tasks.
  /// \see isWithoutRoom(), which does not count as an attempt of \p Job.
  static bool mayCharge(OrganisationAccount *Account, const LiveJob &Job,
                        const Resources &Need, TimePoint Now);

  /// Whether mayCharge() would say no.
  static bool isWithoutRoom(const OrganisationAccount *Account,
                            const LiveJob &Job, const Resources &Need,
                            TimePoint Now);

private:
  std::map<OrganisationName, OrganisationAccount> m_Accounts;
  bool m_HasCaps = false;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_ORGANISATIONLEDGER_H
