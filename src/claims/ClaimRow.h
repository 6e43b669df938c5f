//===- ClaimRow.h - Table rows of claims and their owners -------*- C++ -*-===//
// The row "claim/KEY" holds a claim, the row "owner/ENTRY" the state of an
// entry instance as an owner of claims. Values are JSON.
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMROW_H
#define POLLENSPOOL_CLAIMS_CLAIMROW_H

#include "base/Error.h"
#include "claims/ClaimTypes.h"
#include "platform/Platform.h"
#include <optional>

namespace pollenspool {

/// Maximum size of a recorded answer in bytes, headers and body together.
constexpr std::size_t MaxRecordedBytes = 16 * 1024;

/// A claim as stored in the table.
struct ClaimRow {
  /// Token of the holder of the claim; empty if the holder is unknown.
  ClaimToken m_Token;
  bool m_Completed = false;
  /// Set for a completed claim whose answer was not larger than
  /// MaxRecordedBytes.
  std::optional<Answer> m_Answer;
};

/// Whether the owner may have made grants from memory that are not in the
/// table.
enum class OwnerMode : std::uint8_t { TableOnly, MemoryAllowed };

struct OwnerRow {
  /// Increases with each start of the owner.
  std::uint64_t m_Incarnation = 0;
  /// Identifies the process that wrote the row.
  std::uint64_t m_Nonce = 0;
  OwnerMode m_Mode = OwnerMode::TableOnly;
  /// The revision up to which every grant is in the table; 0 stands for the
  /// row's own revision.
  Revision m_SyncedUpTo = 0;
};

/// Return the row keys. Bytes outside printable ASCII, spaces and percent signs
/// are percent-encoded, because callers choose the keys. Thread safe.
std::string claimRowKey(const RequestId &Key);
std::string ownerRowKey(const EntryId &Owner);

/// Encode and decode the JSON values. Errors: InvalidMessage. Thread safe.
std::string encodeClaimRow(const ClaimRow &Row);
Result<ClaimRow> decodeClaimRow(const std::string &Value);
std::string encodeOwnerRow(const OwnerRow &Row);
Result<OwnerRow> decodeOwnerRow(const std::string &Value);

/// True if \p A is not larger than MaxRecordedBytes. Thread safe.
bool isRecordable(const Answer &A);

} // namespace pollenspool

#endif // POLLENSPOOL_CLAIMS_CLAIMROW_H
