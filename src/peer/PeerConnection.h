//===- PeerConnection.h - One HTTP/2 connection -----------------*- C++ -*-===//
//
// A socket with its nghttp2 session: reading, bounded writing, PING and the
// detection of dead peers. The two ends derive from it.
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
/// Names one connection of a transport; never used twice.
using ConnectionId = std::uint64_t;

/// One header as it is sent; the texts must live until the call returns.
struct StreamHeader {
  std::string_view m_Name;
  std::string_view m_Value;
};

/// A message and how much of it the session has taken.
struct OutgoingBody {
  std::string m_Text;
  std::size_t m_Taken = 0;
};

constexpr std::string_view CallNumberHeader = "pollenspool-call";
constexpr std::string_view FromHeader = "pollenspool-from";

/// What every connection of a transport shares.
struct ConnectionContext {
  const PeerSettings &m_Settings;
  TrafficCounters &m_Traffic;
  /// Streams of peers' calls that are open.
  std::atomic<std::size_t> m_TakenCalls{0};
};

/// Loop thread only.
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

  /// Starts the session; the socket is connected.
  bool open(TimePoint Now);
  bool isOpen() const { return m_Session != nullptr; }

  /// The socket can be read or written, or has failed.
  virtual void onReady(TimePoint Now);
  /// Writes what the session and the socket allow.
  void flush(TimePoint Now);
  /// PINGs a silent peer and closes a dead one.
  virtual void checkHealth(TimePoint Now);

  /// True if the loop has to wait until the socket can be written.
  virtual bool waitsForWrite() const { return isWriteBlocked(); }

  /// Marks the connection for removal. The first reason stays.
  void kill(std::string Reason);
  bool isDead() const { return m_Dead; }
  const std::string &deathReason() const { return m_DeathReason; }
  /// Ends what the connection carries. Called once, before its removal.
  virtual void onDeath() = 0;
  virtual std::size_t streamCount() const = 0;

protected:
  virtual void onHeader(StreamId Stream, std::string_view Name,
                        std::string_view Value) = 0;
  virtual void onData(StreamId Stream, std::string_view Data) = 0;
  /// The peer has sent the last byte of the stream.
  virtual void onEnd(StreamId Stream) = 0;
  virtual void onClosed(StreamId Stream, std::uint32_t Code) = 0;
  /// A request's headers are about to be written. False: leave them out.
  virtual bool onRequestStarts(StreamId Stream);
  virtual void onGoAway();
  /// The path that a stream's traffic is counted under; empty if unknown.
  virtual std::string_view pathOf(StreamId Stream) const = 0;
  /// The message that a stream sends; null if it is given up.
  virtual OutgoingBody *bodyToSend(StreamId Stream) = 0;

  /// Sends a request; its number or a negative nghttp2 error.
  StreamId submitRequest(const std::vector<StreamHeader> &Headers);
  void submitResponse(StreamId Stream,
                      const std::vector<StreamHeader> &Headers);
  void resetStream(StreamId Stream, std::uint32_t Code);
  /// Tells the peer which stream is the last that is processed.
  StreamId submitGoAway();

  ConnectionContext &context() { return m_Context; }
  const FileDescriptor &descriptor() const { return m_Socket; }
  bool isWriteBlocked() const { return m_WrittenEnd < m_Buffer.size(); }

  /// Bytes that were handed to the write buffer and to the socket so far.
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
  std::size_t m_WrittenEnd = 0;
  std::uint64_t m_BytesProduced = 0;
  std::uint64_t m_BytesWritten = 0;

  TimePoint m_LastRead;
  TimePoint m_LastWrite;
  TimePoint m_PingSent;
  bool m_PingWaits = false;

  bool m_Dead = false;
  std::string m_DeathReason;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_PEERCONNECTION_H
