//===- PlatformClaims.cpp - One table transaction per claim ---------------===//

#include "claims/PlatformClaims.h"

namespace pollenspool {

namespace {

constexpr std::chrono::milliseconds ClaimRetryAfter{1000};

std::string claimKey(const RequestId &Id) { return "claim/" + Id.m_Text; }

ClaimVerdict denied(Reason Why) {
  Outcome Final;
  Final.m_Kind = OutcomeKind::Unknown;
  Final.m_Reason = Why;
  Final.m_RetryAfter = ClaimRetryAfter;
  return ClaimVerdict{Final};
}

} // namespace

std::string PlatformClaims::nextToken() {
  return m_ProcessToken + "-claim-" + std::to_string(++m_Tokens);
}

ClaimVerdict PlatformClaims::claim(const RequestId &Id, Duration) {
  Transaction Txn;
  Txn.m_Token = nextToken();
  Txn.m_Checks.push_back(RowCheck{claimKey(Id), 0});
  Txn.m_Writes.push_back(RowWrite{claimKey(Id), Txn.m_Token, false});
  auto Done = m_Platform.transact(Txn, CallPriority::Claim);
  if (!Done)
    return denied(Reason::ClaimUnavailable);
  if (!Done.value().isCommitted())
    return denied(Reason::ClaimedElsewhere);
  return ClaimVerdict{};
}

void PlatformClaims::complete(const RequestId &, const Outcome &) {}

void PlatformClaims::release(const RequestId &Id) {
  Transaction Txn;
  Txn.m_Token = nextToken();
  Txn.m_Writes.push_back(RowWrite{claimKey(Id), "", true});
  (void)m_Platform.transact(Txn, CallPriority::Claim);
}

} // namespace pollenspool
