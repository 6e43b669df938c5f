//===- HttpClientConnection.cpp - One connection of HttpClient ------------===//

#include "net/HttpClientConnection.h"
#include "base/Log.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

namespace pollenspool {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Longest part of a reply that the parser takes only as a whole, in bytes: a
/// chunk's header or the trailers. The parser limits the header to 8 KB.
constexpr std::size_t MaxUnparsedBytes = 16 * 1024;
/// Bytes on the wire for each byte of a body that a reply may take.
constexpr std::size_t MaxWireFactor = 2;
/// Bytes that are read at a time before the loop serves others.
constexpr std::size_t MaxTurnBytes = 256 * 1024;
/// Bytes that a connection keeps for the start of a reply.
constexpr std::size_t FirstReadBytes = 1024;
/// Bytes of a further read of a reply that is longer.
constexpr std::size_t FurtherReadBytes = 16 * 1024;
/// For this time after a reply the loop may not have reported yet that the peer
/// closed the connection together with the reply.
constexpr Duration FreshIdleTime = std::chrono::milliseconds(2);
/// Peers are expected to close connections that are idle for longer, so that a
/// close may be on its way through the loop.
constexpr Duration LongIdleTime = std::chrono::seconds(1);

} // namespace

bool isLocalFailure(const boost::system::error_code &Failed) {
  namespace errc = boost::system::errc;
  return Failed == errc::too_many_files_open ||
         Failed == errc::too_many_files_open_in_system ||
         Failed == errc::no_buffer_space || Failed == errc::not_enough_memory ||
         Failed == errc::address_not_available;
}

bool isUnreadable(const boost::system::error_code &Failed) {
  namespace http = boost::beast::http;
  return Failed.category() ==
             http::make_error_code(http::error::bad_value).category() &&
         Failed != http::error::end_of_stream &&
         Failed != http::error::partial_message;
}

std::shared_ptr<HttpClientConnection>
HttpClientConnection::create(asio::io_context &Context, Listener &Events,
                             ConnectionNumber Number,
                             std::size_t MaxReplyBytes) {
  return std::shared_ptr<HttpClientConnection>(
      new HttpClientConnection(Context, Events, Number, MaxReplyBytes));
}

/// Asio's socket would turn the option of setOptions() off in its destructor,
/// and send what is left in the background.
HttpClientConnection::~HttpClientConnection() {
  ErrorCode Failed;
  m_Socket.close(Failed);
  if (Failed)
    logEvent(Event::SocketOptionFailed, {{"error", Failed.message()}});
}

void HttpClientConnection::open(const asio::ip::tcp::endpoint &Peer) {
  m_Socket.async_connect(
      Peer, [Weak = weak_from_this()](const ErrorCode &Failed) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (Failed)
          return Self->m_Events.onConnectFailed(*Self, Failed);
        Self->setOptions();
        Self->receive();
        Self->m_Events.onConnected(*Self);
      });
}

/// Closing the connection discards what has not been sent: a request that was
/// given up must not be delivered later, when a network that dropped it works
/// again.
void HttpClientConnection::setOptions() {
  ErrorCode Failed;
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Failed);
  if (!Failed)
    m_Socket.set_option(asio::socket_base::linger(true, 0), Failed);
  if (!Failed)
    m_Socket.non_blocking(true, Failed);
  if (Failed)
    logEvent(Event::SocketOptionFailed, {{"error", Failed.message()}});
}

void HttpClientConnection::send(std::string Request) {
  m_Parser.emplace(m_MaxReplyBytes);
  m_BytesReceived = 0;
  ErrorCode Failed;
  std::size_t Sent = m_Socket.send(asio::buffer(Request), 0, Failed);
  if (Failed == asio::error::would_block)
    Failed = {};
  if (Failed) {
    m_HasFailedToSend = true;
    return asio::post(m_Socket.get_executor(),
                      [Weak = weak_from_this(), Failed] {
                        if (auto Self = Weak.lock())
                          Self->fail(Failed);
                      });
  }
  if (Sent == Request.size())
    return;
  m_Output = std::move(Request);
  sendRest(Sent);
}

void HttpClientConnection::sendRest(std::size_t Sent) {
  asio::async_write(
      m_Socket, asio::buffer(m_Output) + Sent,
      [Weak = weak_from_this()](const ErrorCode &Failed, std::size_t) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (Failed)
          return Self->fail(Failed);
        Self->m_Output.clear();
      });
}

bool HttpClientConnection::isStale(TimePoint Now) {
  Duration Idle = Now - m_IdleSince;
  if (Idle > FreshIdleTime && Idle < LongIdleTime)
    return false;
  char Byte = 0;
  auto N = ::recv(m_Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return N >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpClientConnection::receive() {
  bool IsContinued = m_Parser && m_Parser->got_some();
  m_Socket.async_receive(
      m_Input.prepare(IsContinued ? FurtherReadBytes : FirstReadBytes),
      [Weak = weak_from_this()](const ErrorCode &Failed, std::size_t Bytes) {
        if (auto Self = Weak.lock())
          Self->onReceived(Failed, Bytes);
      });
}

void HttpClientConnection::onReceived(ErrorCode Failed, std::size_t Bytes) {
  // What has arrived cannot be the reply to a request that was not sent.
  if (m_HasFailedToSend)
    return;
  if (!m_Parser)
    return m_Events.onIdleEnd(*this);
  std::size_t Wanted = m_Parser->got_some() ? FurtherReadBytes : FirstReadBytes;
  const std::size_t TurnEnd = m_BytesReceived + MaxTurnBytes;
  while (!Failed || Failed == asio::error::eof) {
    m_Input.commit(Bytes);
    m_BytesReceived += Bytes;
    if (!parse(Failed == asio::error::eof))
      return;
    if (isTooLong())
      return fail(http::make_error_code(http::error::buffer_overflow));
    if (Bytes < Wanted || m_BytesReceived >= TurnEnd)
      return receiveRest();
    Wanted = FurtherReadBytes;
    Bytes = m_Socket.receive(m_Input.prepare(Wanted), 0, Failed);
    if (Failed == asio::error::would_block)
      return receiveRest();
  }
  fail(Failed);
}

void HttpClientConnection::receiveRest() {
  m_Events.onProgress(*this);
  receive();
}

bool HttpClientConnection::parse(bool IsClosed) {
  ErrorCode Failed;
  if (!IsClosed)
    m_Input.consume(m_Parser->put(m_Input.data(), Failed));
  else if (m_Parser->got_some())
    m_Parser->put_eof(Failed);
  else
    Failed = http::error::end_of_stream;
  if (Failed == http::error::need_more)
    return true;
  if (Failed)
    fail(Failed);
  else if (m_Parser->is_done())
    finish(IsClosed);
  else
    return true;
  return false;
}

bool HttpClientConnection::isTooLong() const {
  return m_Input.size() > MaxUnparsedBytes ||
         m_BytesReceived > MaxWireFactor * m_MaxReplyBytes;
}

std::size_t HttpClientConnection::bytesExpected() const {
  if (!m_Parser)
    return 0;
  auto Announced =
      m_Parser->is_header_done() ? m_Parser->content_length() : boost::none;
  return std::max<std::size_t>(m_BytesReceived, Announced.value_or(0));
}

void HttpClientConnection::finish(bool IsClosed) {
  bool IsReusable = m_Parser->keep_alive() && !IsClosed &&
                    m_Input.size() == 0 && m_Output.empty();
  HttpReply Reply = m_Parser->take();
  m_Parser.reset();
  if (m_Input.capacity() > FirstReadBytes)
    m_Input = {};
  if (IsReusable)
    receive();
  m_Events.onReply(*this, std::move(Reply), IsReusable);
}

void HttpClientConnection::fail(const ErrorCode &Failed) {
  m_Events.onExchangeFailed(*this, Failed);
}

} // namespace pollenspool
