//===- Authorization.cpp - Which organisation a call is made for ----------===//

#include "organisations/Authorization.h"

namespace pollenspool {

namespace {

/// Part of the revocation time that is left for calls in progress, which are
/// answered after the check.
constexpr Duration RevocationMargin = std::chrono::seconds(1);

} // namespace

AuthorizedCall authorize(const ServingConfig &Config, const QueuePolicy &Queue,
                         std::string_view ApiKey, Duration ConfigAge,
                         const AuthorizationPolicy &Policy) {
  if (Queue.m_IsOpen ||
      (Config.organisations().empty() && !Policy.m_RequiresKeys))
    return {};
  if (ApiKey.empty())
    return {Authorization::MissingKey, {}};
  const OrganisationPolicy *Owner = Config.organisationOfKey(ApiKey);
  if (!Owner)
    return {Authorization::InvalidKey, {}};
  if (Policy.m_IsRevocationStrict &&
      ConfigAge >= Policy.m_MaxRevocationTime - RevocationMargin)
    return {Authorization::OutdatedConfig, {}};
  return {Authorization::Granted, Owner->m_Name};
}

bool mayAccessJob(const OrganisationName &Caller,
                  const OrganisationName &Owner) {
  return Owner.empty() || Owner == Caller;
}

} // namespace pollenspool
