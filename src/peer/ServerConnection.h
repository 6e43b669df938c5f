//===- ServerConnection.h - Calls that a peer makes -------------*- C++ -*-===//
//
// Gathers each request whole, hands it to the dispatcher and sends the answer
// back with the call's number. A call that is refused was never dispatched.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_SERVERCONNECTION_H
#define POLLENSPOOL_PEER_SERVERCONNECTION_H

#include "peer/CallDispatcher.h"
#include "peer/PeerConnection.h"
#include <unordered_map>

namespace pollenspool {

/// Loop thread only.
class ServerConnection : public PeerConnection {
public:
  ServerConnection(FileDescriptor Socket, ConnectionContext &Context,
                   CallDispatcher &Calls);

  /// Sends a handler's result; a late one is dropped and counted.
  void answer(StreamId Stream, Result<std::string> Answer);

  /// Takes no new calls; those that are being received still count as taken.
  void drain();

  /// Refuses the calls that wait for a worker.
  void refuseWaiting();

  void onDeath() override;
  std::size_t streamCount() const override { return m_Streams.size(); }

protected:
  void onHeader(StreamId Stream, std::string_view Name,
                std::string_view Value) override;
  void onData(StreamId Stream, std::string_view Data) override;
  void onEnd(StreamId Stream) override;
  void onClosed(StreamId Stream, std::uint32_t Code) override;
  std::string_view pathOf(StreamId Stream) const override;
  OutgoingBody *bodyToSend(StreamId Stream) override;

private:
  struct Stream {
    PeerCall m_Call;
    std::string m_CallNumber;
    bool m_Oversized = false;
    bool m_Refused = false;
    /// Set while a worker has the call or it waits for one.
    std::optional<DispatchTicket> m_Ticket;
    OutgoingBody m_Answer;
  };

  void refuse(StreamId Id, Stream &Target);
  void dispatch(StreamId Id, Stream &Target);
  void sendAnswer(StreamId Id, Stream &Target, Result<std::string> Answer);

  CallDispatcher &m_Calls;
  std::unordered_map<StreamId, Stream> m_Streams;
  bool m_Draining = false;
  /// The last stream that is processed once the connection drains.
  StreamId m_LastTaken = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_SERVERCONNECTION_H
