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

bool isWithin(std::int64_t Used, std::int64_t Need, std::int64_t Cap) {
  return Cap <= 0 || Need == 0 || Used + Need <= Cap;
}

} // namespace

bool OrganisationAccount::hasRoomFor(const Resources &Need) const {
  Resources Used = m_Charged;
  Used += m_Reserved;
  return isWithin(Used.m_MilliCores, Need.m_MilliCores, m_Cap.m_MilliCores) &&
         isWithin(Used.m_MemoryMb, Need.m_MemoryMb, m_Cap.m_MemoryMb) &&
         isWithin(Used.m_Gpus, Need.m_Gpus, m_Cap.m_Gpus);
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

bool OrganisationLedger::mayCharge(OrganisationAccount *Account,
                                   const LiveJob &Job, const Resources &Need,
                                   TimePoint Now) {
  if (!Account || !Account->hasCap())
    return true;
  bool IsHeld = Account->m_BlockedJob &&
                Now < Account->m_BlockedSeenAt + BlockedJobLifetime;
  if (IsHeld && Account->m_BlockedJob != &Job &&
      Now >= Account->m_BlockedSince + OvertakingTime)
    return false;
  if (Account->hasRoomFor(Need)) {
    if (Account->m_BlockedJob == &Job)
      Account->m_BlockedJob = nullptr;
    return true;
  }
  if (!IsHeld) {
    Account->m_BlockedJob = &Job;
    Account->m_BlockedSince = Now;
  }
  if (Account->m_BlockedJob == &Job)
    Account->m_BlockedSeenAt = Now;
  return false;
}

} // namespace pollenspool
