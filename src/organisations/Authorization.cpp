//===- Authorization.cpp - Which organisation a call is made for ----------===//

#include "organisations/Authorization.h"

namespace pollenspool {

namespace {

/// Part of the revocation time that is left for calls in progress, which are
/// answered after the check.
constexpr Duration RevocationMargin = std::chrono::seconds(1);

} // namespace

AuthorizedCall authorize(const ServingConfig &Config, const QueuePolicy &Queue,
                         std::string_view ApiKey,
                         const ConfigFreshness &Freshness,
                         const AuthorizationPolicy &Policy) {
  if (Queue.m_IsOpen ||
      (Config.organisations().empty() && !Policy.m_RequiresKeys))
    return {};
  const OrganisationPolicy *Owner = Config.organisationOfKey(ApiKey);
  if (!Owner) {
    // A later version may hold the key, or open the queue, and the caller would
    // take the refusal for final.
    if (Freshness.m_IsOutdated)
      return {Authorization::OutdatedConfig, {}};
    return {ApiKey.empty() ? Authorization::MissingKey
                           : Authorization::InvalidKey,
            {}};
  }
  if (Policy.m_IsRevocationStrict &&
      Freshness.m_Age >= Policy.m_MaxRevocationTime - RevocationMargin)
    return {Authorization::OutdatedConfig, {}};
  return {Authorization::Granted, Owner->m_Name};
}

bool mayAccessJob(const OrganisationName &Caller,
                  const OrganisationName &Owner) {
  return Owner.empty() || Owner == Caller;
}

} // namespace pollenspool
