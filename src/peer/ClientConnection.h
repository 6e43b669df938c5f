//===- ClientConnection.h - Calls to a peer ---------------------*- C++ -*-===//
//
// Sends calls as streams of one connection and matches answers by stream and
// call number. When the connection dies it tells calls of which nothing was
// written from calls that may have arrived.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_CLIENTCONNECTION_H
#define POLLENSPOOL_PEER_CLIENTCONNECTION_H

#include "peer/PeerConnection.h"
#include <map>
#include <optional>
#include <unordered_map>

namespace pollenspool {

/// A call to a peer, from its start until it is finished.
struct OutgoingCall {
  std::uint64_t m_Number = 0;
  EntryId m_Peer;
  std::string m_Path;
  std::string m_Body;
  TimePoint m_Deadline;
  PeerTransport::Callback m_Done;
  /// Where the call is; connection 0 while it waits.
  ConnectionId m_Connection = 0;
  StreamId m_Stream = 0;
};

using CallPtr = std::shared_ptr<OutgoingCall>;

/// Takes the results and the ends of connections. Loop thread only.
class CallSink {
public:
  virtual ~CallSink() = default;
  virtual void finish(const CallPtr &Call, Result<std::string> Answer) = 0;
  virtual void connected(ConnectionId Connection, const EntryId &Peer) = 0;
  /// No new calls may go on the connection.
  virtual void unusable(ConnectionId Connection, const EntryId &Peer,
                        const std::string &Reason) = 0;
};

/// Loop thread only.
class ClientConnection : public PeerConnection {
public:
  ClientConnection(FileDescriptor Socket, ConnectionContext &Context,
                   EntryId Peer, CallSink &Sink, TimePoint Now);

  /// Sends \p Call; the connection is open.
  void start(CallPtr Call, TimePoint Now);

  /// Gives a call up. True if nothing of it was or will be written.
  bool cancel(StreamId Stream);

  void onReady(TimePoint Now) override;
  bool waitsForWrite() const override;
  void checkHealth(TimePoint Now) override;
  void onDeath() override;
  std::size_t streamCount() const override { return m_Streams.size(); }

protected:
  void onHeader(StreamId Stream, std::string_view Name,
                std::string_view Value) override;
  void onData(StreamId Stream, std::string_view Data) override;
  void onEnd(StreamId Stream) override;
  void onClosed(StreamId Stream, std::uint32_t Code) override;
  bool onRequestStarts(StreamId Stream) override;
  void onGoAway() override;
  std::string_view pathOf(StreamId Stream) const override;
  OutgoingBody *bodyToSend(StreamId Stream) override;

private:
  struct Stream {
    CallPtr m_Call;
    OutgoingBody m_Request;
    /// Bytes of the connection before the call's first; unset until then.
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
  Error lossOf(const Stream &Lost) const;

  const EntryId m_Peer;
  CallSink &m_Sink;
  StreamMap m_Streams;
  bool m_Connected = false;
  const TimePoint m_ConnectDeadline;
  TimePoint m_LastCall;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_CLIENTCONNECTION_H
