//===- HttpCall.h - One HTTP call on a connection of its own ----*- C++ -*-===//

#ifndef STANDIN_COMMON_HTTPCALL_H
#define STANDIN_COMMON_HTTPCALL_H

#include "common/HttpMessage.h"
#include "common/TcpStream.h"

namespace standin {

/// What came of a call.
struct HttpResult {
  enum class Kind {
    Reply,
    /// The connection was not made, so nothing was sent.
    NotSent,
    /// Bytes may have arrived, but no whole reply came.
    Lost,
    TimedOut,
  };
  Kind m_Kind = Kind::NotSent;
  HttpMessage m_Reply;
};

/// Sends \p Request to \p Where over a new connection and calls \p OnResult
/// once, never before it returns.
void callOnce(EventLoop &Loop, const Address &Where, HttpMessage Request,
              Milliseconds Timeout, std::function<void(HttpResult)> OnResult);

} // namespace standin

#endif // STANDIN_COMMON_HTTPCALL_H
