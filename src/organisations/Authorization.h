//===- Authorization.h - Which organisation a call is made for --*- C++ -*-===//

#ifndef POLLENSPOOL_ORGANISATIONS_AUTHORIZATION_H
#define POLLENSPOOL_ORGANISATIONS_AUTHORIZATION_H

#include "base/Time.h"
#include "serving/ServingConfig.h"

namespace pollenspool {

/// How an instance checks API keys.
struct AuthorizationPolicy {
  /// Keys are required even if the configuration has no organisation.
  bool m_RequiresKeys = false;
  /// A revoked key must not be accepted for longer than m_MaxRevocationTime,
  /// even by an instance that does not receive new configurations.
  bool m_IsRevocationStrict = false;
  Duration m_MaxRevocationTime = std::chrono::seconds(5);
};

/// How current an instance's configuration is.
struct ConfigFreshness {
  /// Time for which it has not been confirmed to be the latest version.
  Duration m_Age{0};
  /// A later version may already be due on this instance.
  bool m_IsOutdated = false;
};

/// Outcome of the check of a call.
enum class Authorization : std::uint8_t {
  /// The call may be served. It belongs to an organisation unless the queue is
  /// open or no keys are required.
  Granted,
  MissingKey,
  /// The key is not in force, or no longer.
  InvalidKey,
  /// The configuration is too old to tell whether the key is in force.
  OutdatedConfig,
};

/// The outcome and, if the call was granted on a key, its organisation.
struct AuthorizedCall {
  Authorization m_Result = Authorization::Granted;
  OrganisationName m_Organisation;
};

/// Checks a call with \p ApiKey, which is empty if the caller sent none, to
/// \p Queue of \p Config. Thread safe.
AuthorizedCall authorize(const ServingConfig &Config, const QueuePolicy &Queue,
                         std::string_view ApiKey,
                         const ConfigFreshness &Freshness,
                         const AuthorizationPolicy &Policy);

/// Whether a call of \p Caller may see and cancel a job of \p Owner. Jobs of no
/// organisation may be seen by every caller. Thread safe.
bool mayAccessJob(const OrganisationName &Caller,
                  const OrganisationName &Owner);

} // namespace pollenspool

#endif // POLLENSPOOL_ORGANISATIONS_AUTHORIZATION_H
