//===- HttpMessage.h - Requests and replies ---------------------*- C++ -*-===//

#ifndef POLLENSPOOL_NET_HTTPMESSAGE_H
#define POLLENSPOOL_NET_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pollenspool {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// The value of header \p Wanted, whose case does not matter; empty if absent.
/// Thread safe.
std::string_view findHeader(const HttpHeaders &Headers,
                            std::string_view Wanted);

/// A request, sent or received.
struct HttpRequest {
  std::string m_Method;
  /// Path and query.
  std::string m_Target;
  HttpHeaders m_Headers;
  std::string m_Body;
};

/// A reply, sent or received.
struct HttpReply {
  unsigned m_Status = 200;
  HttpHeaders m_Headers;
  std::string m_Body;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_HTTPMESSAGE_H
