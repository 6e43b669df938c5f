//===- ClientConnection.h - Calls to a peer ---------------------*- C++ -*-===//
//
// Sends calls as streams of one connection and matches answers by stream and
// call number. When the connection closes, calls of which no byte was written
// end with ConnectFailed, and calls that may have reached the peer end with
// ConnectionLost.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_CLIENTCONNECTION_H
#define POLLENSPOOL_PEER_CLIENTCONNECTION_H

#include "peer/PeerConnection.h"
#include <map>
#include <optional>
#include <unordered_map>

namespace pollenspool {

/// A call to a peer that has not finished.
struct OutgoingCall {
  std::uint64_t m_Number = 0;
  EntryId m_Peer;
  std::string m_Path;
  std::string m_Body;
  TimePoint m_Deadline;
  PeerTransport::Callback m_Done;
  /// The connection and stream that carry the call; the connection is 0 while
  /// the call waits for one to open.
  ConnectionId m_Connection = 0;
  StreamId m_Stream = 0;
};

using CallPtr = std::shared_ptr<OutgoingCall>;

/// Receives the results of calls and the state changes of connections. Called
/// on the loop thread only.
class CallObserver {
public:
  virtual ~CallObserver() = default;
  virtual void finish(const CallPtr &Call, Result<std::string> Answer) = 0;
  virtual void onConnected(ConnectionId Connection, const EntryId &Peer) = 0;
  /// The connection accepts no new calls.
  virtual void onUnusable(ConnectionId Connection, const EntryId &Peer,
                          const std::string &Reason) = 0;
};

/// The connection to one peer. Must be used on the loop thread only.
class ClientConnection : public PeerConnection {
public:
  ClientConnection(FileDescriptor Socket, ConnectionContext &Context,
                   EntryId Peer, CallObserver &Observer, TimePoint Now);

  /// Sends \p Call. The connection must be open.
  void start(CallPtr Call, TimePoint Now);

  /// Cancels a call. Returns true if none of its bytes were or will be written.
  bool cancel(StreamId Stream);

  void onReady(TimePoint Now) override;
  bool waitsForWrite() const override;
  void checkHealth(TimePoint Now) override;
  void onConnectionClosed() override;
  std::size_t streamCount() const override { return m_Streams.size(); }

protected:
  void onHeader(StreamId Stream, std::string_view Name,
                std::string_view Value) override;
  void onData(StreamId Stream, std::string_view Data) override;
  void onStreamEnd(StreamId Stream) override;
  void onStreamClosed(StreamId Stream, std::uint32_t Code) override;
  bool beforeRequestSent(StreamId Stream) override;
  void onGoAway() override;
  std::string_view pathOf(StreamId Stream) const override;
  OutgoingBody *bodyToSend(StreamId Stream) override;

private:
  struct Stream {
    CallPtr m_Call;
    OutgoingBody m_Request;
    /// Offset of the call's first byte in the connection's output; unset until
    /// its headers are produced.
    std::optional<std::uint64_t> m_FirstByte;
    std::string m_Status;
    std::string m_CallNumber;
    std::string m_Answer;
  };

  using StreamMap = std::map<StreamId, Stream>;

  void finishConnect(TimePoint Now);
  void finish(StreamMap::iterator It, Result<std::string> Answer);
  Error makeCallError(ErrorCode Code, const char *Step,
                      std::string Detail) const;
  Error makeLossError(const Stream &Lost) const;

  const EntryId m_Peer;
  CallObserver &m_Observer;
  StreamMap m_Streams;
  bool m_Connected = false;
  const TimePoint m_ConnectDeadline;
  TimePoint m_LastCall;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_CLIENTCONNECTION_H
