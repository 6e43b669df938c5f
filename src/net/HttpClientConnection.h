//===- HttpClientConnection.h - One connection of HttpClient -- -*- C++ -*-===//

#ifndef POLLENSPOOL_NET_HTTPCLIENTCONNECTION_H
#define POLLENSPOOL_NET_HTTPCLIENTCONNECTION_H

#include "base/Error.h"
#include "base/Time.h"
#include "net/ConnectionSlots.h"
#include "net/HttpMessage.h"
#include "net/ReplyParser.h"
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>
#include <string>

namespace pollenspool {

/// Whether an attempt to connect failed for lack of a resource of this process
/// or system, which says nothing about the peer. Thread safe.
bool isLocalFailure(const boost::system::error_code &Failed);
/// Whether a reply arrived that cannot be read: it is malformed or too long.
/// Thread safe.
bool isUnreadable(const boost::system::error_code &Failed);

/// A connection that exchanges one request and reply at a time. It waits for
/// data all the time, also between two exchanges, so that a close by the peer
/// is seen without a system call of its own. Destroying it closes the socket
/// and discards what has not been sent; no callback comes after that. It knows
/// no time limits. To be used on the event loop's thread only.
class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
public:
  /// Receives a connection's events, never from within open() or send().
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onConnected(HttpClientConnection &Connection) = 0;
    /// The peer did not accept the connection.
    virtual void onConnectFailed(HttpClientConnection &Connection,
                                 const boost::system::error_code &Failed) = 0;
    /// A part of the reply has arrived. The connection may be destroyed.
    virtual void onProgress(HttpClientConnection &Connection) = 0;
    /// The exchange is complete. \p IsReusable: the connection may carry
    /// another one.
    virtual void onReply(HttpClientConnection &Connection, HttpReply Reply,
                         bool IsReusable) = 0;
    /// The exchange cannot be completed. The peer may have the request. An
    /// error of Beast's HTTP parser says that the reply cannot be read.
    virtual void onExchangeFailed(HttpClientConnection &Connection,
                                  const boost::system::error_code &Failed) = 0;
    /// The peer closed the connection between two exchanges, or sent data that
    /// no request asked for.
    virtual void onIdleEnd(HttpClientConnection &Connection) = 0;
  };

  /// \p Context and \p Events must outlive the connection. A reply whose body
  /// has more than \p MaxReplyBytes fails, as does one whose header, chunk
  /// headers or trailers are too long.
  static std::shared_ptr<HttpClientConnection>
  create(boost::asio::io_context &Context, Listener &Events,
         ConnectionNumber Number, std::size_t MaxReplyBytes);
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection &) = delete;
  HttpClientConnection &operator=(const HttpClientConnection &) = delete;

  ConnectionNumber number() const { return m_Number; }
  /// Connects to \p Peer. Precondition: not called before.
  void open(const boost::asio::ip::tcp::endpoint &Peer);
  /// Sends \p Request and waits for its reply. Precondition: connected, no
  /// exchange in progress.
  void send(std::string Request);
  /// Bytes of the current or last exchange's reply that have arrived.
  std::size_t bytesReceived() const { return m_BytesReceived; }
  /// Bytes that the current exchange's reply has at least, as far as known:
  /// those that have arrived, or its announced length. 0 without an exchange.
  std::size_t bytesExpected() const;
  /// Notes that the exchange has ended at \p Now.
  void setIdleSince(TimePoint Now) { m_IdleSince = Now; }
  /// When the last exchange ended, which proves that the connection worked.
  TimePoint idleSince() const { return m_IdleSince; }
  /// Returns whether the peer has closed the idle connection or sent
  /// unsolicited data on it, so that it must not be reused at \p Now.
  bool isStale(TimePoint Now);

private:
  using Socket =
      boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                       boost::asio::io_context::executor_type>;
  using ErrorCode = boost::system::error_code;

  HttpClientConnection(boost::asio::io_context &Context, Listener &Events,
                       ConnectionNumber Number, std::size_t MaxReplyBytes)
      : m_Socket(Context.get_executor()), m_Events(Events), m_Number(Number),
        m_MaxReplyBytes(MaxReplyBytes) {}

  void setOptions();
  void receive();
  /// Reports what has arrived of a reply, and waits for more.
  void receiveRest();
  void onReceived(ErrorCode Failed, std::size_t Bytes);
  /// Parses what has been received, and the end of the stream if \p IsClosed.
  /// Returns whether the reply needs more.
  bool parse(bool IsClosed);
  /// Whether the reply that is arriving takes more than any reply within the
  /// limits.
  bool isTooLong() const;
  void finish(bool IsClosed);
  void fail(const ErrorCode &Failed);
  void sendRest(std::size_t Sent);

  Socket m_Socket;
  Listener &m_Events;
  ConnectionNumber m_Number;
  std::size_t m_MaxReplyBytes;
  /// What the parser has not taken yet.
  boost::beast::flat_buffer m_Input;
  /// Set during an exchange.
  std::optional<ReplyParser> m_Parser;
  /// The request, while a part of it waits for the network.
  std::string m_Output;
  std::size_t m_BytesReceived = 0;
  TimePoint m_IdleSince{};
  /// The exchange ends with an error that is on its way through the loop.
  bool m_HasFailedToSend = false;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_HTTPCLIENTCONNECTION_H
