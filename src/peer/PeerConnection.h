//===- PeerConnection.h - One HTTP/2 connection -----------------*- C++ -*-===//
//
// A socket with its nghttp2 session: reads, bounded writes, PING frames and
// detection of unresponsive peers. The client and the server end derive from
// it.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_PEERCONNECTION_H
#define POLLENSPOOL_PEER_PEERCONNECTION_H

#include "base/Time.h"
#include "peer/Socket.h"
#include "peer/TrafficCounters.h"
#include <atomic>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>

namespace pollenspool {

using StreamId = std::int32_t;
/// Identifies a connection of a transport. Never reused.
using ConnectionId = std::uint64_t;

/// A header to send. The texts must live until the submitting call returns.
struct StreamHeader {
  std::string_view m_Name;
  std::string_view m_Value;
};

/// A message and the number of its bytes passed to the session.
struct OutgoingBody {
  std::string m_Text;
  std::size_t m_BytesSubmitted = 0;
};

constexpr std::string_view CallNumberHeader = "pollenspool-call";
constexpr std::string_view FromHeader = "pollenspool-from";

/// State that all connections of a transport share.
struct ConnectionContext {
  const PeerSettings &m_Settings;
  TrafficCounters &m_Traffic;
  /// Open streams of calls from peers.
  std::atomic<std::size_t> m_OpenIncomingCalls{0};
};

/// Must be used on the loop thread only.
class PeerConnection {
public:
  enum class Role { Client, Server };

  PeerConnection(FileDescriptor Socket, Role End, ConnectionContext &Context);
  virtual ~PeerConnection() = default;

  PeerConnection(const PeerConnection &) = delete;
  PeerConnection &operator=(const PeerConnection &) = delete;

  int socket() const { return m_Socket.get(); }
  ConnectionId id() const { return m_Id; }
  void setId(ConnectionId Id) { m_Id = Id; }

  /// Starts the session. The socket must be connected.
  bool open(TimePoint Now);
  bool isOpen() const { return m_Session != nullptr; }

  /// Called when the socket is readable or writable or has failed.
  virtual void onReady(TimePoint Now);
  /// Writes as much as the session and the socket allow without blocking.
  void flush(TimePoint Now);
  /// Sends a PING if nothing was received for some time, and closes the
  /// connection if the peer is unresponsive.
  virtual void checkHealth(TimePoint Now);

  /// True if the loop has to poll the socket for writability.
  virtual bool waitsForWrite() const { return isWriteBlocked(); }

  /// Marks the connection for removal. Later calls do not change the reason.
  void markClosed(std::string Reason);
  bool isClosed() const { return m_IsClosed; }
  const std::string &closeReason() const { return m_CloseReason; }
  /// Ends all calls of the connection. Called once, before its removal.
  virtual void onConnectionClosed() = 0;
  virtual std::size_t streamCount() const = 0;

protected:
  virtual void onHeader(StreamId Stream, std::string_view Name,
                        std::string_view Value) = 0;
  virtual void onData(StreamId Stream, std::string_view Data) = 0;
  /// The peer has ended its side of the stream.
  virtual void onStreamEnd(StreamId Stream) = 0;
  virtual void onStreamClosed(StreamId Stream, std::uint32_t Code) = 0;
  /// Called before a request's headers are written. Returning false cancels the
  /// request.
  virtual bool beforeRequestSent(StreamId Stream);
  virtual void onGoAway();
  /// Returns the path that a stream's traffic is counted under; empty if the
  /// stream is unknown.
  virtual std::string_view pathOf(StreamId Stream) const = 0;
  /// Returns the message that a stream sends; null if the stream was cancelled.
  virtual OutgoingBody *bodyToSend(StreamId Stream) = 0;

  /// Submits a request. Returns its stream ID or a negative nghttp2 error.
  StreamId submitRequest(const std::vector<StreamHeader> &Headers);
  void submitResponse(StreamId Stream,
                      const std::vector<StreamHeader> &Headers);
  void resetStream(StreamId Stream, std::uint32_t Code);
  /// Sends a GOAWAY. Returns the last stream that will be processed.
  StreamId submitGoAway();

  ConnectionContext &context() { return m_Context; }
  const FileDescriptor &descriptor() const { return m_Socket; }
  bool isWriteBlocked() const { return m_BufferOffset < m_Buffer.size(); }

  /// Total bytes that were added to the write buffer (produced) and written to
  /// the socket.
  std::uint64_t bytesProduced() const { return m_BytesProduced; }
  std::uint64_t bytesWritten() const { return m_BytesWritten; }

private:
  struct SessionDeleter {
    void operator()(nghttp2_session *Session) const {
      nghttp2_session_del(Session);
    }
  };
  struct Callbacks;

  bool submitSettings();
  void read(TimePoint Now);
  bool fillBuffer();
  bool writeBuffer(TimePoint Now);
  void countFrame(const nghttp2_frame &Frame, PathCounter Counter);

  const Role m_Role;
  ConnectionContext &m_Context;
  FileDescriptor m_Socket;
  ConnectionId m_Id = 0;
  std::unique_ptr<nghttp2_session, SessionDeleter> m_Session;

  std::string m_Buffer;
  std::size_t m_BufferOffset = 0;
  std::uint64_t m_BytesProduced = 0;
  std::uint64_t m_BytesWritten = 0;

  TimePoint m_LastRead;
  TimePoint m_LastWrite;
  TimePoint m_PingSent;
  bool m_AwaitsPingReply = false;

  bool m_IsClosed = false;
  std::string m_CloseReason;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_PEERCONNECTION_H
