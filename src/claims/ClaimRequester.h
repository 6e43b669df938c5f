//===- ClaimRequester.h - Requests claims from owners -----------*- C++ -*-===//
// Sends each claim of this entry instance to the owner of its key, once, and
// decides whether the reply is still valid. Completions and releases are
// repeated until the owner has acknowledged them. Deterministic.
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMREQUESTER_H
#define POLLENSPOOL_CLAIMS_CLAIMREQUESTER_H

#include "claims/ClaimOutbox.h"
#include "claims/Ownership.h"
#include "claims/WitnessStore.h"
#include <unordered_map>

namespace pollenspool::claims {

/// Not thread safe. Invariant: a grant that arrives after its claim was
/// abandoned is not used, and is released.
class ClaimRequester {
public:
  /// Precondition: the references outlive the requester.
  ClaimRequester(const ClaimSettings &Settings, const Ownership &Owners,
                 WitnessStore &Witness, Outbox &Out)
      : m_Settings(Settings), m_Owners(Owners), m_Witness(Witness), m_Out(Out) {
  }

  /// Starts a claim. A ReportDecision with the returned token follows.
  ClaimToken claim(const RequestId &Key, std::chrono::milliseconds Timeout,
                   TimePoint Now);
  /// Notifies the owner that a granted request has run and what it answered.
  void complete(const RequestId &Key, const ClaimToken &Token,
                const Answer &Recorded, TimePoint Now);
  /// Notifies the owner that a granted request has not run and will not.
  void release(const RequestId &Key, const ClaimToken &Token, TimePoint Now);

  /// Handles the reply to a call; \p R is null if the call failed. False if
  /// this requester did not make the call.
  bool onReply(CallId Call, const Reply *R, TimePoint Now);
  void tick(TimePoint Now);

  /// Number of completions and releases that their owners have not
  /// acknowledged.
  std::size_t pendingNotifications() const { return m_Notifications.size(); }
  const ClaimStats &stats() const { return m_Stats; }

private:
  struct OpenClaim {
    ClaimToken m_Token;
    RequestId m_Key;
    TimePoint m_Deadline;
  };
  /// A completion or release that the owner has not acknowledged.
  struct Notification {
    EntryId m_Owner;
    Request m_Request;
    CallId m_Call = 0;
    TimePoint m_NextAttempt;
    TimePoint m_ExpiresAt;
  };

  void onAnswer(const OpenClaim &Claim, const ClaimAnswer &Answer,
                TimePoint Now);
  bool ensureWitnessed(const OpenClaim &Claim, const ClaimAnswer &Answer,
                       TimePoint Now);
  void reportDecision(const OpenClaim &Claim, ClaimReply Decision);
  void abandonClaim(const OpenClaim &Claim, Reason Why, TimePoint Now);
  void addNotification(const RequestId &Key, Request R, TimePoint Now);
  void sendNotification(Notification &N);

  const ClaimSettings &m_Settings;
  const Ownership &m_Owners;
  WitnessStore &m_Witness;
  Outbox &m_Out;
  std::uint64_t m_LastToken = 0;
  std::unordered_map<CallId, OpenClaim> m_Claims;
  std::vector<Notification> m_Notifications;
  ClaimStats m_Stats;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_CLAIMREQUESTER_H
