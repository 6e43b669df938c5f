//===- Link.h - One proxied connection --------------------------*- C++ -*-===//

#ifndef STANDIN_PROXY_LINK_H
#define STANDIN_PROXY_LINK_H

#include "common/TcpStream.h"
#include "proxy/Faults.h"
#include <array>
#include <deque>

namespace standin {

/// A client's connection and the one to the target. Not thread safe.
class Link : public std::enable_shared_from_this<Link> {
public:
  /// \p Now in force are the route's faults, which must outlive the link;
  /// \p OnClosed runs once.
  static std::shared_ptr<Link> create(EventLoop &Loop, int ClientSocket,
                                      const Address &Target,
                                      const Faults &InForce,
                                      std::function<void(Link *)> OnClosed);
  /// Takes over changed faults; \p Old are those until now.
  void onFaultsChanged(const Faults &Old);
  /// Resets both connections.
  void reset();

private:
  enum Direction { Up = 0, Down = 1 };

  struct Chunk {
    std::string m_Bytes;
    bool m_IsEnd = false;
    SteadyClock::time_point m_Due;
  };

  /// What goes in one direction, from m_Source to m_Sink.
  struct Flow {
    std::shared_ptr<TcpStream> m_Source;
    std::shared_ptr<TcpStream> m_Sink;
    std::deque<Chunk> m_Chunks;
    EventLoop::TimerId m_Timer = 0;
    bool m_Swallowed = false;
    bool m_Ended = false;
  };

  Link(EventLoop &Loop, const Address &Target, const Faults &InForce,
       std::function<void(Link *)> OnClosed);
  void openTarget();
  void listenTo(Direction Towards);
  void push(Direction Towards, std::string_view Bytes, bool IsEnd);
  void deliverDue(Direction Towards);
  void deliver(Direction Towards, const Chunk &Next);
  void deliverDown(const Chunk &Next);
  void onStreamFailed(Direction Towards);
  void updatePauses();
  bool isDropping(Direction Towards) const;
  void close(bool WithReset);

  EventLoop &m_Loop;
  Address m_Target;
  const Faults &m_Faults;
  std::function<void(Link *)> m_OnClosed;
  std::shared_ptr<TcpStream> m_Client;
  std::shared_ptr<TcpStream> m_Upstream;
  std::array<Flow, 2> m_Flows;
  std::uint64_t m_BytesDown = 0;
  /// A connection failed while frozen; the other learns it afterwards.
  bool m_ResetHeld = false;
  bool m_Closed = false;
};

} // namespace standin

#endif // STANDIN_PROXY_LINK_H
