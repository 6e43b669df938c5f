//===- ClaimRow.h - Table rows of claims and their owners -------*- C++ -*-===//
//
// "claim/KEY" holds a claim, "owner/ENTRY" the state of an entry instance as an
// owner of claims. Values are JSON.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMROW_H
#define POLLENSPOOL_CLAIMS_CLAIMROW_H

#include "base/Error.h"
#include "claims/ClaimTypes.h"
#include "platform/Platform.h"
#include <optional>

namespace pollenspool {

/// Longest recorded answer, headers and body together.
constexpr std::size_t MaxRecordedBytes = 16 * 1024;

/// A claim as the table holds it.
struct ClaimRow {
  /// Whose claim it is; empty if that cannot be told any more.
  ClaimToken m_Token;
  bool m_Completed = false;
  /// Set for a completed claim whose answer was small enough.
  std::optional<Answer> m_Answer;
};

/// Whether an owner may have given grants that only memories hold.
enum class OwnerMode : std::uint8_t { TableOnly, MemoryAllowed };

struct OwnerRow {
  /// Rises with each start.
  std::uint64_t m_Incarnation = 0;
  /// The process that wrote the row.
  std::uint64_t m_Nonce = 0;
  OwnerMode m_Mode = OwnerMode::TableOnly;
  /// The revision up to which every grant is in the table; 0 stands for the
  /// row's own revision.
  Revision m_SyncedUpTo = 0;
};

/// The row keys; bytes outside printable ASCII are percent-encoded, as keys
/// come from callers. Thread safe.
std::string claimRowKey(const RequestId &Key);
std::string ownerRowKey(const EntryId &Owner);

/// The JSON values and their readers. Errors: InvalidMessage. Thread safe.
std::string encodeClaimRow(const ClaimRow &Row);
Result<ClaimRow> decodeClaimRow(const std::string &Value);
std::string encodeOwnerRow(const OwnerRow &Row);
Result<OwnerRow> decodeOwnerRow(const std::string &Value);

/// True if \p A is small enough to be recorded. Thread safe.
bool isRecordable(const Answer &A);

} // namespace pollenspool

#endif // POLLENSPOOL_CLAIMS_CLAIMROW_H
