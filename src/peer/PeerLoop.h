//===- PeerLoop.h - The loop thread of the peer transport -------*- C++ -*-===//
//
// Waits for sockets, deadlines and commands from other threads. All work on
// connections is done on this thread.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_PEERLOOP_H
#define POLLENSPOOL_PEER_PEERLOOP_H

#include "peer/CallDispatcher.h"
#include "peer/OutgoingCalls.h"
#include <thread>

namespace pollenspool {

/// The public functions are thread safe.
class PeerLoop {
public:
  static Result<std::unique_ptr<PeerLoop>>
  create(PeerSettings Settings, std::vector<PeerRoute> Routes);
  ~PeerLoop() { stop(); }

  PeerLoop(const PeerLoop &) = delete;
  PeerLoop &operator=(const PeerLoop &) = delete;

  const std::string &listenAddress() const { return m_Settings.m_Listen; }
  void start(CallPtr Call);
  void drain();
  void stop();
  std::size_t inFlight() const { return m_Context.m_OpenIncomingCalls; }
  PeerTraffic traffic() const { return m_Traffic.snapshot(); }
  bool isLoopThread() const {
    return std::this_thread::get_id() == m_Thread.get_id();
  }

private:
  using Command = std::function<void(TimePoint)>;

  PeerLoop(PeerSettings Settings, std::vector<PeerRoute> Routes,
           FileDescriptor Listener, FileDescriptor Epoll,
           FileDescriptor WakeEvent);

  bool watch(const FileDescriptor &Socket, ConnectionId Id);
  /// Queues a command for the loop thread. Returns false, without running the
  /// command, once the loop has ended.
  bool post(Command Next);
  void run();
  void runOnce();
  int waitMilliseconds(TimePoint Now) const;
  void handleReady(ConnectionId Id, TimePoint Now);
  void acceptAll(TimePoint Now);
  /// Accepting pauses while the process is out of descriptors; otherwise a
  /// pending connection would make epoll_wait() return at once every time.
  void setAcceptPaused(bool Paused);
  void runCommands(TimePoint Now);
  void drainServers();
  void beginStop(TimePoint Now);
  bool isFinished(TimePoint Now) const;

  PeerSettings m_Settings;
  TrafficCounters m_Traffic;
  ConnectionContext m_Context;
  FileDescriptor m_Listener;
  FileDescriptor m_Epoll;
  FileDescriptor m_WakeEvent;
  ConnectionTable m_Connections;
  OutgoingCalls m_Calls;
  TimePoint m_NextCheck;
  std::uint64_t m_LastCallNumber = 0;
  bool m_AcceptPaused = false;
  bool m_Draining = false;
  bool m_Stopping = false;
  TimePoint m_StopDeadline;

  std::mutex m_Mutex;
  std::vector<Command> m_Commands;
  bool m_Ended = false;

  std::mutex m_StopMutex;
  CallDispatcher m_Dispatcher;
  std::thread m_Thread;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_PEERLOOP_H
