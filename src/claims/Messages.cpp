//===- Messages.cpp - Messages of the claim protocol ----------------------===//

#include "claims/Messages.h"
#include <array>

namespace pollenspool::claims {

namespace {

template <typename T> std::string encodeMsgpack(const T &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

template <typename Variant, typename T>
Result<Variant> decodeAs(const std::string &Body) {
  try {
    auto Handle = msgpack::unpack(Body.data(), Body.size());
    return Variant(Handle.get().as<T>());
  } catch (const std::exception &Bad) {
    return makeError(ErrorCode::InvalidMessage, "read claim message", {},
                     Bad.what());
  }
}

/// Decoders for the messages of one path. The array below is in the order of
/// the alternatives of Request.
struct PathInfo {
  std::string_view m_Path;
  Result<Request> (*m_ReadRequest)(const std::string &);
  Result<Reply> (*m_ReadReply)(const std::string &);
};

constexpr std::array<PathInfo, std::variant_size_v<Request>> Paths = {{
    {"/claims/claim", decodeAs<Request, ClaimRequest>,
     decodeAs<Reply, ClaimAnswer>},
    {"/claims/witness", decodeAs<Request, WitnessRequest>,
     decodeAs<Reply, Ack>},
    {"/claims/recover", decodeAs<Request, RecoverRequest>,
     decodeAs<Reply, RecoverAnswer>},
    {"/claims/complete", decodeAs<Request, CompleteRequest>,
     decodeAs<Reply, Ack>},
    {"/claims/release", decodeAs<Request, ReleaseRequest>,
     decodeAs<Reply, Ack>},
    {"/claims/forget", decodeAs<Request, ForgetRequest>, decodeAs<Reply, Ack>},
    {"/claims/started", decodeAs<Request, StartedNotice>, decodeAs<Reply, Ack>},
}};

Result<const PathInfo *> find(const std::string &Path) {
  for (const PathInfo &Info : Paths)
    if (Info.m_Path == Path)
      return &Info;
  return makeError(ErrorCode::NotFound, "read claim message", {}, Path);
}

} // namespace

std::vector<std::string> messagePaths() {
  std::vector<std::string> All;
  for (const PathInfo &Info : Paths)
    All.emplace_back(Info.m_Path);
  return All;
}

std::string pathOf(const Request &R) {
  return std::string(Paths[R.index()].m_Path);
}

std::string encodeRequest(const Request &R) {
  return std::visit([](const auto &M) { return encodeMsgpack(M); }, R);
}

Result<Request> decodeRequest(const std::string &Path,
                              const std::string &Body) {
  BOOST_OUTCOME_TRY(Info, find(Path));
  return Info->m_ReadRequest(Body);
}

std::string encodeReply(const Reply &R) {
  return std::visit([](const auto &M) { return encodeMsgpack(M); }, R);
}

Result<Reply> decodeReply(const std::string &Path, const std::string &Body) {
  BOOST_OUTCOME_TRY(Info, find(Path));
  return Info->m_ReadReply(Body);
}

} // namespace pollenspool::claims
