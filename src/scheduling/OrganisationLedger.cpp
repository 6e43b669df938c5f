//===- OrganisationLedger.cpp - What organisations have running -----------===//

#include "scheduling/OrganisationLedger.h"
#include <algorithm>
#include <limits>

namespace pollenspool {

namespace {

/// How long a job waits for room under the cap before the organisation's other
/// jobs may not overtake it any more.
constexpr Duration OvertakingTime = std::chrono::milliseconds(500);
/// A job that has not been tried for this time no longer holds the others back.
/// It waits for something else, for example for a server.
constexpr Duration BlockedJobLifetime = std::chrono::milliseconds(200);

/// How long the others are held back at the most. Long-running tasks may keep
/// the room for good.
constexpr Duration MaxHoldTime = std::chrono::seconds(3);

bool isWithin(std::int64_t Used, std::int64_t Need, std::int64_t Cap) {
  return Cap <= 0 || Need == 0 || Used + Need <= Cap;
}

/// Whether a job waits for room under the cap of \p Account, which has been
/// tried lately and not for too long.
bool hasBlockedJob(const OrganisationAccount &Account, TimePoint Now) {
  return Account.m_BlockedJob &&
         Now < Account.m_BlockedSeenAt + BlockedJobLifetime &&
         Now < Account.m_BlockedSince + OvertakingTime + MaxHoldTime;
}

} // namespace

bool OrganisationAccount::hasRoomFor(const Resources &Need) const {
  if (hasCap() && m_RunsOfUnknownSize > 0)
    return false;
  Resources Used = m_Charged;
  Used += m_Reserved;
  return isWithin(Used.m_MilliCores, Need.m_MilliCores, m_Cap.m_MilliCores) &&
         isWithin(Used.m_MemoryMb, Need.m_MemoryMb, m_Cap.m_MemoryMb) &&
         isWithin(Used.m_Gpus, Need.m_Gpus, m_Cap.m_Gpus);
}

bool OrganisationAccount::canEverHold(const Resources &Need) const {
  return isWithin(0, Need.m_MilliCores, m_Cap.m_MilliCores) &&
         isWithin(0, Need.m_MemoryMb, m_Cap.m_MemoryMb) &&
         isWithin(0, Need.m_Gpus, m_Cap.m_Gpus);
}

bool OrganisationAccount::competesWithBlocked(const Resources &Need) const {
  Resources Used = m_Charged;
  Used += m_Reserved;
  auto Competes = [&](std::int64_t Resources::*R) {
    return Need.*R > 0 && !isWithin(Used.*R, m_BlockedNeed.*R, m_Cap.*R);
  };
  return Competes(&Resources::m_MilliCores) ||
         Competes(&Resources::m_MemoryMb) || Competes(&Resources::m_Gpus);
}

std::int64_t OrganisationAccount::freeMilliCores() const {
  if (m_Cap.m_MilliCores <= 0)
    return std::numeric_limits<std::int64_t>::max();
  return std::max<std::int64_t>(0, m_Cap.m_MilliCores - m_Charged.m_MilliCores -
                                       m_Reserved.m_MilliCores);
}

void OrganisationLedger::onConfig(const ServingConfig &Config) {
  m_HasCaps = false;
  for (auto &[Name, Account] : m_Accounts) {
    Account.m_Cap = {};
    Account.m_Weight = 0;
  }
  for (const OrganisationPolicy &O : Config.organisations()) {
    OrganisationAccount &Account = *account(O.m_Name);
    Account.m_Cap = O.m_Cap;
    Account.m_Weight = O.m_Weight;
    m_HasCaps |= Account.hasCap();
  }
}

OrganisationAccount *OrganisationLedger::account(const OrganisationName &Name) {
  if (Name.empty())
    return nullptr;
  OrganisationAccount &Account = m_Accounts[Name];
  Account.m_Name = Name;
  return &Account;
}

void OrganisationLedger::clearReservations() {
  for (auto &[Name, Account] : m_Accounts)
    Account.m_Reserved = {};
}

bool OrganisationLedger::isWithoutRoom(const OrganisationAccount *Account,
                                       const LiveJob &Job,
                                       const Resources &Need, TimePoint Now) {
  if (!Account || !Account->hasCap())
    return false;
  return !Account->hasRoomFor(Need) ||
         (hasBlockedJob(*Account, Now) && Account->m_BlockedJob != &Job &&
          Now >= Account->m_BlockedSince + OvertakingTime &&
          Account->competesWithBlocked(Need));
}

bool OrganisationLedger::mayCharge(OrganisationAccount *Account,
                                   const LiveJob &Job, const Resources &Need,
                                   TimePoint Now) {
  if (!Account || !Account->hasCap())
    return true;
  bool IsHeld = hasBlockedJob(*Account, Now);
  if (IsHeld && Account->m_BlockedJob != &Job &&
      Now >= Account->m_BlockedSince + OvertakingTime &&
      Account->competesWithBlocked(Need))
    return false;
  if (Account->hasRoomFor(Need)) {
    if (Account->m_BlockedJob == &Job)
      Account->m_BlockedJob = nullptr;
    return true;
  }
  // A cap that was lowered may never leave room for the job.
  if (!Account->canEverHold(Need))
    return false;
  if (!IsHeld) {
    Account->m_BlockedJob = &Job;
    Account->m_BlockedNeed = Need;
    Account->m_BlockedSince = Now;
  }
  if (Account->m_BlockedJob == &Job)
    Account->m_BlockedSeenAt = Now;
  return false;
}

} // namespace pollenspool
