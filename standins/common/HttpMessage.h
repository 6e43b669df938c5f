//===- HttpMessage.h - HTTP/1.1 messages and their parser -------*- C++ -*-===//
//
// cpp-httplib can neither cut an answer half way nor send it twice, and uses a
// thread for each connection. The stand-ins therefore read and write the small
// part of HTTP/1.1 that they need themselves.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_COMMON_HTTPMESSAGE_H
#define STANDIN_COMMON_HTTPMESSAGE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace standin {

struct HttpHeader {
  std::string m_Name;
  std::string m_Value;
};

/// A request or a reply.
struct HttpMessage {
  std::string m_Method;
  /// Path and query as sent.
  std::string m_Target;
  int m_Status = 0;
  std::vector<HttpHeader> m_Headers;
  std::string m_Body;
  /// False for a reply whose end only the end of the stream tells.
  bool m_Framed = true;

  /// The first header of that name in any case, or an empty string.
  std::string_view header(std::string_view Name) const;
  bool hasHeader(std::string_view Name) const;
  void addHeader(std::string Name, std::string Value);
  /// The target without its query.
  std::string_view path() const;
  /// All values of a query parameter, percent-decoded.
  std::vector<std::string> queryValues(std::string_view Name) const;
  /// True unless the message says "Connection: close".
  bool wantsKeepAlive() const;
};

/// The bytes of a request; adds Host and Content-Length.
std::string writeRequest(const HttpMessage &Request, const std::string &Host);

/// The bytes of a reply; adds Content-Length.
std::string writeReply(const HttpMessage &Reply);

/// A JSON reply with a status.
HttpMessage jsonReply(int Status, std::string Json);

/// Reads messages from a stream of bytes.
class HttpParser {
public:
  enum class Kind { Request, Reply };
  enum class State { NeedsMore, Complete, Broken };

  explicit HttpParser(Kind Expected) : m_Kind(Expected) {}

  /// Adds bytes and parses as far as one message.
  State feed(std::string_view Bytes);
  /// The stream has ended; completes an unframed reply.
  State finish();
  /// Hands out a complete message and starts on the next one, for which
  /// feed({}) has to be called.
  HttpMessage take();
  /// True if bytes wait that belong to no message handed out.
  bool hasBytes() const { return !m_Buffer.empty(); }
  /// True if a part of a message has been read.
  bool isWithinMessage() const { return m_HeadDone || hasBytes(); }

private:
  enum class Framing { Length, Chunked, UntilEnd };

  State advance();
  bool parseHead();
  bool parseStartLine(std::string_view Line);
  bool chooseFraming();
  State readChunks();

  Kind m_Kind;
  std::string m_Buffer;
  HttpMessage m_Message;
  bool m_HeadDone = false;
  bool m_BodyDone = false;
  bool m_Broken = false;
  Framing m_Framing = Framing::Length;
  std::size_t m_Length = 0;
};

} // namespace standin

#endif // STANDIN_COMMON_HTTPMESSAGE_H
