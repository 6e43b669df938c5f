//===- Error.cpp - Errors as values ---------------------------------------===//

#include "base/Error.h"

namespace pollenspool {

std::string_view errorMessage(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidArgument:
    return "invalid argument";
  case ErrorCode::InvalidSettings:
    return "invalid settings";
  case ErrorCode::InvalidDocument:
    return "invalid document";
  case ErrorCode::InvalidMessage:
    return "invalid message";
  case ErrorCode::ConnectFailed:
    return "cannot connect";
  case ErrorCode::Timeout:
    return "timed out";
  case ErrorCode::ConnectionLost:
    return "connection lost";
  case ErrorCode::Refused:
    return "refused";
  case ErrorCode::Conflict:
    return "conflicting change";
  case ErrorCode::NotFound:
    return "not found";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::RateLimited:
    return "over budget";
  case ErrorCode::ResourceExhausted:
    return "out of a resource of this process";
  case ErrorCode::ShuttingDown:
    return "shutting down";
  case ErrorCode::Internal:
    return "internal error";
  }
  return "unknown error";
}

std::string Error::describe() const {
  std::string Line = m_Step;
  if (!m_Peer.empty())
    Line += " (" + m_Peer + ")";
  Line += ": ";
  Line += errorMessage(m_Code);
  if (!m_Detail.empty())
    Line += ": " + m_Detail;
  return Line;
}

} // namespace pollenspool
