//===- ServerConnection.h - Calls from a peer -------------------*- C++ -*-===//
//
// Buffers each request until it is complete, passes it to the dispatcher and
// sends the answer with the call's number. The handler of a refused call never
// runs.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_SERVERCONNECTION_H
#define POLLENSPOOL_PEER_SERVERCONNECTION_H

#include "peer/CallDispatcher.h"
#include "peer/PeerConnection.h"
#include <unordered_map>

namespace pollenspool {

/// A connection that a peer has opened. Must be used on the loop thread only.
class ServerConnection : public PeerConnection {
public:
  ServerConnection(FileDescriptor Socket, ConnectionContext &Context,
                   CallDispatcher &Calls);

  /// Sends a handler's result. If the stream is closed or refused, the result
  /// is dropped and counted as a late answer.
  void answer(StreamId Stream, Result<std::string> Answer);

  /// Sends a GOAWAY and accepts no new calls. Calls whose request is being
  /// received are still processed.
  void drain();

  /// Refuses the calls that are queued for a worker.
  void refuseQueuedCalls();

  void onConnectionClosed() override;
  std::size_t streamCount() const override { return m_Streams.size(); }

protected:
  void onHeader(StreamId Stream, std::string_view Name,
                std::string_view Value) override;
  void onData(StreamId Stream, std::string_view Data) override;
  void onStreamEnd(StreamId Stream) override;
  void onStreamClosed(StreamId Stream, std::uint32_t Code) override;
  std::string_view pathOf(StreamId Stream) const override;
  OutgoingBody *bodyToSend(StreamId Stream) override;

private:
  struct Stream {
    PeerCall m_Call;
    std::string m_CallNumber;
    bool m_Oversized = false;
    bool m_Refused = false;
    /// Set while the call is queued or its handler runs.
    std::optional<QueuedCallHandle> m_QueuedCall;
    OutgoingBody m_Answer;
  };

  void refuse(StreamId Id, Stream &Target);
  void dispatch(StreamId Id, Stream &Target);
  void sendAnswer(StreamId Id, Stream &Target, Result<std::string> Answer);

  CallDispatcher &m_Calls;
  std::unordered_map<StreamId, Stream> m_Streams;
  bool m_Draining = false;
  /// The last stream that is processed; valid while draining.
  StreamId m_LastAcceptedStream = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_SERVERCONNECTION_H
