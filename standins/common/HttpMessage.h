//===- HttpMessage.h - HTTP/1.1 messages and their parser -------*- C++ -*-===//
//
// cpp-httplib can neither truncate a reply nor send it twice, and uses a thread
// for each connection. The stand-ins therefore implement the small subset of
// HTTP/1.1 that they need.
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

/// A request or a reply. Requests use m_Method and m_Target, replies m_Status.
struct HttpMessage {
  std::string m_Method;
  /// Path and query as sent.
  std::string m_Target;
  int m_Status = 0;
  std::vector<HttpHeader> m_Headers;
  std::string m_Body;
  /// False for a reply that is delimited only by the end of the stream.
  bool m_Framed = true;

  /// Value of the first header called \p Name, ignoring case, or an empty
  /// string.
  std::string_view header(std::string_view Name) const;
  bool hasHeader(std::string_view Name) const;
  void addHeader(std::string Name, std::string Value);
  /// The target without the query.
  std::string_view path() const;
  /// Percent-decoded values of all query parameters called \p Name.
  std::vector<std::string> queryValues(std::string_view Name) const;
  /// True unless the message has the header "Connection: close".
  bool wantsKeepAlive() const;
};

/// Serializes a request; adds Host and Content-Length.
std::string writeRequest(const HttpMessage &Request, const std::string &Host);

/// Serializes a reply; adds Content-Length.
std::string writeReply(const HttpMessage &Reply);

/// Makes a reply with a JSON body.
HttpMessage jsonReply(int Status, std::string Json);

/// Incremental parser of a stream of requests or replies. Not thread safe.
class HttpParser {
public:
  enum class Kind { Request, Reply };
  enum class State { NeedsMore, Complete, Malformed };

  explicit HttpParser(Kind Expected) : m_Kind(Expected) {}

  /// Appends bytes and parses until one message is complete.
  State feed(std::string_view Bytes);
  /// Call at the end of the stream. Completes a reply that is delimited by the
  /// end of the stream.
  State finish();
  /// Returns the complete message and resets the parser for the next one. Call
  /// feed({}) afterwards to parse bytes that are already buffered.
  HttpMessage take();
  /// True if unparsed bytes are buffered.
  bool hasBytes() const { return !m_Buffer.empty(); }
  /// True if a message has been read in part.
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
  bool m_Malformed = false;
  Framing m_Framing = Framing::Length;
  std::size_t m_Length = 0;
};

} // namespace standin

#endif // STANDIN_COMMON_HTTPMESSAGE_H
