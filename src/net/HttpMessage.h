//===- HttpMessage.h - HTTP requests and replies ----------------*- C++ -*-===//

#ifndef POLLENSPOOL_NET_HTTPMESSAGE_H
#define POLLENSPOOL_NET_HTTPMESSAGE_H

#include "base/Time.h"
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pollenspool {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// The value of the first header \p Name, compared without regard to case;
/// empty if there is none. It points into \p Headers. Thread safe.
std::string_view findHeader(const HttpHeaders &Headers, std::string_view Name);

/// An HTTP request that is sent or was received.
struct HttpRequest {
  std::string m_Method;
  /// Path and query.
  std::string m_Target;
  HttpHeaders m_Headers;
  std::string m_Body;
};

/// The bytes of \p Request on an HTTP/1.1 connection to \p Peer ("ip:port"). A
/// Host header of the request's own takes the place of the peer; the length is
/// set from the body. Precondition: method, target and headers have no line
/// breaks. Thread safe.
std::string serializeRequest(const HttpRequest &Request, std::string_view Peer);

/// An HTTP reply that is sent or was received.
struct HttpReply {
  unsigned m_Status = 200;
  HttpHeaders m_Headers;
  std::string m_Body;
  /// Of a reply that was received: from the call until it began to arrive.
  Duration m_BeganAfter{0};
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_HTTPMESSAGE_H
