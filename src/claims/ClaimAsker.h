//===- ClaimAsker.h - Asks the owners of keys for claims --------*- C++ -*-===//
//
// Sends each claim of this entry instance to the key's owner, once, and decides
// whether the reply still counts. Completions and releases are sent until the
// owner has them. Deterministic.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMASKER_H
#define POLLENSPOOL_CLAIMS_CLAIMASKER_H

#include "claims/ClaimOutbox.h"
#include "claims/Ownership.h"
#include "claims/WitnessStore.h"
#include <unordered_map>

namespace pollenspool::claims {

/// Not thread safe. Invariant: a grant that comes after its claim was given up
/// is not used and is released.
class ClaimAsker {
public:
  /// Precondition: the references outlive the asker.
  ClaimAsker(const ClaimSettings &Settings, const Ownership &Owners,
             WitnessStore &Witness, Outbox &Out)
      : m_Settings(Settings), m_Owners(Owners), m_Witness(Witness), m_Out(Out) {
  }

  /// Begins a claim; a Decide with the token returned follows.
  ClaimToken claim(const RequestId &Key, std::chrono::milliseconds Timeout,
                   TimePoint Now);
  void complete(const RequestId &Key, const ClaimToken &Token,
                const Answer &Recorded, TimePoint Now);
  void release(const RequestId &Key, const ClaimToken &Token, TimePoint Now);

  /// Takes the reply to a call, null if it failed. False if it was not a call
  /// of this asker.
  bool onReply(CallId Call, const Reply *R, TimePoint Now);
  void tick(TimePoint Now);

  /// Completions and releases that their owners have not taken yet.
  std::size_t unsentNotes() const { return m_Notes.size(); }
  const ClaimStats &stats() const { return m_Stats; }

private:
  struct OpenClaim {
    ClaimToken m_Token;
    RequestId m_Key;
    TimePoint m_End;
  };
  /// A completion or release that is to reach the owner.
  struct Note {
    EntryId m_Owner;
    Request m_Request;
    CallId m_Call = 0;
    TimePoint m_NextTry;
    TimePoint m_ExpiresAt;
  };

  void onAnswer(const OpenClaim &Claim, const ClaimAnswer &Answer,
                TimePoint Now);
  bool isRecorded(const OpenClaim &Claim, const ClaimAnswer &Answer,
                  TimePoint Now);
  void decide(const OpenClaim &Claim, ClaimReply Decision);
  void giveUp(const OpenClaim &Claim, Reason Why, TimePoint Now);
  void addNote(const RequestId &Key, Request R, TimePoint Now);
  void sendNote(Note &N);

  const ClaimSettings &m_Settings;
  const Ownership &m_Owners;
  WitnessStore &m_Witness;
  Outbox &m_Out;
  std::uint64_t m_LastToken = 0;
  std::unordered_map<CallId, OpenClaim> m_Claims;
  std::vector<Note> m_Notes;
  ClaimStats m_Stats;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_CLAIMASKER_H
