//===- ClaimTypes.h - Settings and replies of claims ------------*- C++ -*-===//
// A claim is the right to run one request that carries a key chosen by its
// caller (idempotency key). These types are the public interface of the claim
// component.
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMTYPES_H
#define POLLENSPOOL_CLAIMS_CLAIMTYPES_H

#include "base/Ids.h"
#include "base/Time.h"
#include "request/Request.h"
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace pollenspool {

/// Identifies one call for a claim; unique over all entry instances and
/// restarts.
using ClaimToken = Name<struct ClaimTokenTag>;

/// One line of the static list of entry instances.
struct EntryInstance {
  EntryId m_Id;
  DataCentreName m_DataCentre;
};

struct ClaimSettings {
  EntryId m_Self;
  /// All entry instances of all data centres, this one included; the same list
  /// on each of them.
  std::vector<EntryInstance> m_Entries;
  /// Claim lifetime: a caller must not send a key again later than this after
  /// its first use.
  std::chrono::milliseconds m_ClaimLifetime{std::chrono::minutes(15)};
  /// Time beyond the lifetime for which a claim is still remembered, so that
  /// requests delayed in transit are recognised.
  std::chrono::milliseconds m_Margin{std::chrono::minutes(2)};
  /// Minimum time between the starts of two batch transactions.
  std::chrono::milliseconds m_MinBatchInterval{20};
  /// Time after which a platform that fails or does not respond counts as down.
  std::chrono::milliseconds m_PlatformDownTimeout{300};
  /// Delay before a failed platform call is repeated.
  std::chrono::milliseconds m_PlatformRetryDelay{200};
  /// Time-out of one message to a peer.
  std::chrono::milliseconds m_PeerTimeout{1000};
  /// Distinguishes this process from earlier ones under the same address;
  /// chosen at random.
  std::uint64_t m_Nonce = 0;

  /// How long a claim is remembered.
  Duration retention() const { return m_ClaimLifetime + m_Margin; }
};

enum class ClaimVerdict : std::uint8_t {
  /// The caller of claim() may run the request, once.
  Granted,
  /// The request has run; the recorded answer is attached.
  Recorded,
  /// The request may or may not have run; m_Reason says why it must not run
  /// now.
  Denied,
};

struct ClaimReply {
  ClaimVerdict m_Verdict = ClaimVerdict::Denied;
  Reason m_Reason = Reason::None;
  /// Set if granted; to be passed to complete() or release().
  ClaimToken m_Token;
  /// The recorded answer, if the verdict is Recorded.
  Answer m_Answer;
};

struct ClaimStats {
  std::uint64_t m_Granted = 0;
  /// The part of m_Granted that was granted from memory: at the time of the
  /// grant, only the owner and one witness held it.
  std::uint64_t m_GrantedFromMemory = 0;
  std::uint64_t m_Recorded = 0;
  /// Number of denials for each reason.
  std::array<std::uint64_t, ReasonCount> m_Denied{};
  std::uint64_t m_Transactions = 0;
  std::uint64_t m_RowsWritten = 0;
  /// Number of keys whose claims this entry instance holds in memory as their
  /// owner.
  std::uint64_t m_Held = 0;
  /// Number of grants from memory that are not in the table yet.
  std::uint64_t m_Unsynced = 0;
  /// Number of grants from memory recorded here as a witness for other owners.
  std::uint64_t m_Witnessed = 0;
  /// True if grants without the platform would be safe now.
  bool m_MayGrantFromMemory = false;
};

} // namespace pollenspool

#endif // POLLENSPOOL_CLAIMS_CLAIMTYPES_H
