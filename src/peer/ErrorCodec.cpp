//===- ErrorCodec.cpp - Encodes errors for peers --------------------------===//

#include "peer/ErrorCodec.h"
#include <array>
#include <msgpack.hpp>

namespace pollenspool {

namespace {

struct ErrorMessage {
  std::string m_Code;
  std::string m_Step;
  std::string m_Peer;
  std::string m_Detail;
  MSGPACK_DEFINE(m_Code, m_Step, m_Peer, m_Detail)
};

constexpr std::array<ErrorCode, 15> AllCodes = {
    ErrorCode::InvalidArgument, ErrorCode::InvalidSettings,
    ErrorCode::InvalidDocument, ErrorCode::InvalidMessage,
    ErrorCode::ConnectFailed,   ErrorCode::Timeout,
    ErrorCode::ConnectionLost,  ErrorCode::Refused,
    ErrorCode::Conflict,        ErrorCode::NotFound,
    ErrorCode::Unavailable,     ErrorCode::RateLimited,
    ErrorCode::ShuttingDown,    ErrorCode::ResourceExhausted,
    ErrorCode::Internal};

ErrorCode codeByName(std::string_view Name) {
  for (ErrorCode Code : AllCodes)
    if (errorMessage(Code) == Name)
      return Code;
  return ErrorCode::Internal;
}

} // namespace

std::string encodeError(const Error &Failure) {
  ErrorMessage Message{std::string(errorMessage(Failure.m_Code)),
                       Failure.m_Step, Failure.m_Peer, Failure.m_Detail};
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Message);
  return {Buffer.data(), Buffer.size()};
}

Error decodeError(std::string_view Message, const std::string &Peer) {
  try {
    ErrorMessage Read;
    msgpack::unpack(Message.data(), Message.size()).get().convert(Read);
    return Error{codeByName(Read.m_Code), Read.m_Step,
                 Read.m_Peer.empty() ? Peer : Read.m_Peer, Read.m_Detail};
  } catch (const std::exception &Failure) {
    return makeError(ErrorCode::Internal, "read peer's error", Peer,
                     Failure.what());
  }
}

} // namespace pollenspool
