//===- Messages.h - Messages between claim owners and askers ----*- C++ -*-===//
//
// Requests and replies of the claim protocol (docs/design/claims.md), encoded
// by MessagePack. m_ListHash is the hash of the sender's list of entry
// instances; two with different lists do not work together.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_MESSAGES_H
#define POLLENSPOOL_CLAIMS_MESSAGES_H

#include "base/Error.h"
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

namespace pollenspool::claims {

/// An answer as it travels.
struct WireHeader {
  std::string m_Name;
  std::string m_Value;
  MSGPACK_DEFINE(m_Name, m_Value)
};
struct WireAnswer {
  int m_Status = 0;
  std::vector<WireHeader> m_Headers;
  std::string m_Body;
  MSGPACK_DEFINE(m_Status, m_Headers, m_Body)
};

/// Asker to owner: the right to run a key.
struct ClaimRequest {
  std::string m_Key;
  std::string m_Token;
  std::uint64_t m_ListHash = 0;
  /// How long the asker waits.
  std::uint32_t m_TimeoutMs = 0;
  /// True if the asker can witness a grant from memory.
  bool m_CanWitness = false;
  MSGPACK_DEFINE(m_Key, m_Token, m_ListHash, m_TimeoutMs, m_CanWitness)
};

struct ClaimAnswer {
  /// A ClaimVerdict and a Reason by number.
  std::uint8_t m_Verdict = 0;
  std::uint8_t m_Reason = 0;
  /// True if the grant is not in the table.
  bool m_FromMemory = false;
  /// True if the grant counts only once the asker has recorded it.
  bool m_AskerWitnesses = false;
  std::uint64_t m_Incarnation = 0;
  WireAnswer m_Answer;
  MSGPACK_DEFINE(m_Verdict, m_Reason, m_FromMemory, m_AskerWitnesses,
                 m_Incarnation, m_Answer)
};

/// Owner to a peer of its group: record a grant from memory.
struct WitnessRequest {
  std::string m_Owner;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_ListHash = 0;
  std::string m_Key;
  std::string m_Token;
  MSGPACK_DEFINE(m_Owner, m_Incarnation, m_ListHash, m_Key, m_Token)
};

/// Restarted owner to the peers of its group: what have you witnessed for me?
/// Also ends the right of earlier incarnations to be witnessed.
struct RecoverRequest {
  std::string m_Owner;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_ListHash = 0;
  /// Records with a token above this one; the pages are in token order.
  std::string m_AfterToken;
  MSGPACK_DEFINE(m_Owner, m_Incarnation, m_ListHash, m_AfterToken)
};

struct WireRecord {
  std::string m_Key;
  std::string m_Token;
  MSGPACK_DEFINE(m_Key, m_Token)
};

struct RecoverAnswer {
  /// False if the lists differ or a later incarnation is known.
  bool m_Accepted = false;
  /// The latest incarnation of the owner that the witness knows of.
  std::uint64_t m_LatestIncarnation = 0;
  /// The table revision of the witness's own start; 0 if it has not joined.
  std::uint64_t m_StartRevision = 0;
  /// How long the witness has kept its records.
  std::uint64_t m_UptimeMs = 0;
  std::vector<WireRecord> m_Records;
  bool m_More = false;
  MSGPACK_DEFINE(m_Accepted, m_LatestIncarnation, m_StartRevision, m_UptimeMs,
                 m_Records, m_More)
};

/// Asker to owner: a granted request ran.
struct CompleteRequest {
  std::string m_Key;
  std::string m_Token;
  bool m_HasAnswer = false;
  WireAnswer m_Answer;
  MSGPACK_DEFINE(m_Key, m_Token, m_HasAnswer, m_Answer)
};

/// Asker to owner: a granted request provably did not run.
struct ReleaseRequest {
  std::string m_Key;
  std::string m_Token;
  MSGPACK_DEFINE(m_Key, m_Token)
};

/// Owner to witness: these are in the table.
struct ForgetRequest {
  std::string m_Owner;
  std::vector<std::string> m_Tokens;
  MSGPACK_DEFINE(m_Owner, m_Tokens)
};

/// A peer of the group to owner: I have started at this table revision, what I
/// witnessed before is lost.
struct StartedNotice {
  std::uint64_t m_StartRevision = 0;
  MSGPACK_DEFINE(m_StartRevision)
};

/// The reply to all requests but claims and recoveries.
struct Ack {
  bool m_Accepted = false;
  MSGPACK_DEFINE(m_Accepted)
};

using Request =
    std::variant<ClaimRequest, WitnessRequest, RecoverRequest, CompleteRequest,
                 ReleaseRequest, ForgetRequest, StartedNotice>;
using Reply = std::variant<ClaimAnswer, RecoverAnswer, Ack>;

/// All paths of the slice's messages. Thread safe.
std::vector<std::string> messagePaths();

/// The path that a request is sent to. Thread safe.
std::string pathOf(const Request &R);

/// Encoding and decoding. Errors: NotFound for an unknown path, InvalidMessage.
/// Thread safe.
std::string encodeRequest(const Request &R);
Result<Request> decodeRequest(const std::string &Path, const std::string &Body);
std::string encodeReply(const Reply &R);
/// Precondition: \p Body answers a request of \p Path.
Result<Reply> decodeReply(const std::string &Path, const std::string &Body);

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_MESSAGES_H
