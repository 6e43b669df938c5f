//===- Messages.h - Messages of the claim protocol --------------*- C++ -*-===//
// Requests and replies of the claim protocol (docs/design/claims.md), encoded
// with MessagePack. m_ListHash is the hash of the sender's list of entry
// instances; a request from a sender with another list is rejected.
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

/// A header of an answer as it is encoded in messages.
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

/// Requester to owner: asks for the right to run a key.
struct ClaimRequest {
  std::string m_Key;
  std::string m_Token;
  std::uint64_t m_ListHash = 0;
  /// How long the requester waits for the reply, in milliseconds.
  std::uint32_t m_TimeoutMs = 0;
  /// True if the requester can witness a grant from memory.
  bool m_CanWitness = false;
  MSGPACK_DEFINE(m_Key, m_Token, m_ListHash, m_TimeoutMs, m_CanWitness)
};

struct ClaimAnswer {
  /// Numeric values of ClaimVerdict and Reason.
  std::uint8_t m_Verdict = 0;
  std::uint8_t m_Reason = 0;
  /// True if the grant is not in the table.
  bool m_FromMemory = false;
  /// True if the grant is valid only once the requester has recorded it as its
  /// witness.
  bool m_RequesterWitnesses = false;
  std::uint64_t m_Incarnation = 0;
  WireAnswer m_Answer;
  MSGPACK_DEFINE(m_Verdict, m_Reason, m_FromMemory, m_RequesterWitnesses,
                 m_Incarnation, m_Answer)
};

/// Owner to a peer of its witness group: record a grant from memory.
struct WitnessRequest {
  std::string m_Owner;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_ListHash = 0;
  std::string m_Key;
  std::string m_Token;
  MSGPACK_DEFINE(m_Owner, m_Incarnation, m_ListHash, m_Key, m_Token)
};

/// Restarted owner to the peers of its witness group: return the grants
/// recorded for earlier incarnations. From then on the peer records no grants
/// of earlier incarnations.
struct RecoverRequest {
  std::string m_Owner;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_ListHash = 0;
  /// Only records with a token greater than this one are returned; pages are in
  /// token order.
  std::string m_AfterToken;
  MSGPACK_DEFINE(m_Owner, m_Incarnation, m_ListHash, m_AfterToken)
};

struct WireRecord {
  std::string m_Key;
  std::string m_Token;
  MSGPACK_DEFINE(m_Key, m_Token)
};

struct RecoverAnswer {
  /// False if the lists of entry instances differ or a later incarnation is
  /// known.
  bool m_Accepted = false;
  /// The latest incarnation of the owner that the witness knows of.
  std::uint64_t m_LatestIncarnation = 0;
  /// The table revision at which the witness joined; 0 if it has not joined.
  std::uint64_t m_StartRevision = 0;
  /// How long the witness has kept its records, in milliseconds.
  std::uint64_t m_UptimeMs = 0;
  std::vector<WireRecord> m_Records;
  bool m_More = false;
  MSGPACK_DEFINE(m_Accepted, m_LatestIncarnation, m_StartRevision, m_UptimeMs,
                 m_Records, m_More)
};

/// Requester to owner: a granted request has run.
struct CompleteRequest {
  std::string m_Key;
  std::string m_Token;
  bool m_HasAnswer = false;
  WireAnswer m_Answer;
  MSGPACK_DEFINE(m_Key, m_Token, m_HasAnswer, m_Answer)
};

/// Requester to owner: a granted request has provably not run.
struct ReleaseRequest {
  std::string m_Key;
  std::string m_Token;
  MSGPACK_DEFINE(m_Key, m_Token)
};

/// Owner to witness: the grants with these tokens are in the table; their
/// records can be deleted.
struct ForgetRequest {
  std::string m_Owner;
  std::vector<std::string> m_Tokens;
  MSGPACK_DEFINE(m_Owner, m_Tokens)
};

/// Peer of the witness group to owner: the peer has started at this table
/// revision and has lost what it recorded before.
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

/// Returns the paths of all claim messages. Thread safe.
std::vector<std::string> messagePaths();

/// Returns the path that a request is sent to. Thread safe.
std::string pathOf(const Request &R);

/// Encodes and decodes requests and replies. Errors: NotFound for an unknown
/// path, InvalidMessage for a body that cannot be decoded. Thread safe.
std::string encodeRequest(const Request &R);
Result<Request> decodeRequest(const std::string &Path, const std::string &Body);
std::string encodeReply(const Reply &R);
/// Precondition: \p Body is the reply to a request sent to \p Path.
Result<Reply> decodeReply(const std::string &Path, const std::string &Body);

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_MESSAGES_H
