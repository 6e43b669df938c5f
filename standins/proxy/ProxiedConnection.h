//===- ProxiedConnection.h - One proxied connection -------------*- C++ -*-===//

#ifndef STANDIN_PROXY_PROXIEDCONNECTION_H
#define STANDIN_PROXY_PROXIEDCONNECTION_H

#include "common/TcpStream.h"
#include "proxy/Faults.h"
#include <array>
#include <deque>

namespace standin {

/// A client's connection and the connection to the target, with the bytes in
/// transit between them. Not thread safe.
class ProxiedConnection
    : public std::enable_shared_from_this<ProxiedConnection> {
public:
  /// \p RouteFaults are the current faults of the route, which must outlive the
  /// connection. \p OnClosed is called once, when the connection is closed.
  static std::shared_ptr<ProxiedConnection>
  create(EventLoop &Loop, int ClientSocket, const Address &Target,
         const Faults &RouteFaults,
         std::function<void(ProxiedConnection *)> OnClosed);
  /// Applies changed faults of the route; \p Old are the previous ones.
  void onFaultsChanged(const Faults &Old);
  /// Resets both connections.
  void reset();

private:
  enum Direction { Upstream = 0, Downstream = 1 };

  /// Bytes read at once, or the end of the stream.
  struct Chunk {
    std::string m_Bytes;
    bool m_IsEnd = false;
    /// Time from which the chunk may be forwarded.
    SteadyClock::time_point m_Due;
  };

  /// The bytes in transit in one direction, from m_Source to m_Sink.
  struct Flow {
    std::shared_ptr<TcpStream> m_Source;
    std::shared_ptr<TcpStream> m_Sink;
    std::deque<Chunk> m_Chunks;
    EventLoop::TimerId m_Timer = 0;
    /// Bytes, an end of stream or an error were discarded.
    bool m_LostData = false;
    /// The end of the stream was forwarded.
    bool m_Ended = false;
  };

  ProxiedConnection(EventLoop &Loop, const Address &Target,
                    const Faults &RouteFaults,
                    std::function<void(ProxiedConnection *)> OnClosed);
  void openTarget();
  void setStreamHandlers(Direction Towards);
  void enqueue(Direction Towards, std::string_view Bytes, bool IsEnd);
  void forwardDue(Direction Towards);
  void forward(Direction Towards, const Chunk &Next);
  void forwardDownstream(const Chunk &Next);
  void onStreamFailed(Direction Towards);
  void updatePauses();
  bool isDropping(Direction Towards) const;
  void close(bool WithReset);

  EventLoop &m_Loop;
  Address m_Target;
  const Faults &m_Faults;
  std::function<void(ProxiedConnection *)> m_OnClosed;
  std::shared_ptr<TcpStream> m_ClientStream;
  std::shared_ptr<TcpStream> m_TargetStream;
  std::array<Flow, 2> m_Flows;
  std::uint64_t m_DownstreamBytes = 0;
  /// A connection failed while the route was frozen; the other one is reset
  /// when the freeze ends.
  bool m_ResetDeferred = false;
  bool m_Closed = false;
};

} // namespace standin

#endif // STANDIN_PROXY_PROXIEDCONNECTION_H
