//===- PlatformClaims.h - One table transaction per claim -------*- C++ -*-===//
//
// The simplest claim: a row for each request ID, written only where none is.
// Kept as the baseline that the batching owner is measured against.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_PLATFORMCLAIMS_H
#define POLLENSPOOL_CLAIMS_PLATFORMCLAIMS_H

#include "gateway/Collaborators.h"
#include "platform/Platform.h"
#include <atomic>

namespace pollenspool {

/// Thread safe. \p Service has to outlive it.
class PlatformClaims final : public Claims {
public:
  PlatformClaims(Platform &Service, std::string ProcessToken)
      : m_Platform(Service), m_ProcessToken(std::move(ProcessToken)) {}

  ClaimVerdict claim(const RequestId &Id, Duration Timeout) override;
  void complete(const RequestId &Id, const Outcome &Final) override;
  void release(const RequestId &Id) override;

private:
  std::string nextToken();

  Platform &m_Platform;
  const std::string m_ProcessToken;
  std::atomic<std::uint64_t> m_Tokens{0};
};

} // namespace pollenspool

#endif // POLLENSPOOL_CLAIMS_PLATFORMCLAIMS_H
