//===- PeerLoop.cpp - The loop thread of the peer transport ---------------===//

#include "peer/PeerLoop.h"
#include "peer/ServerConnection.h"
#include <algorithm>
#include <array>
#include <cerrno>
#include <future>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace pollenspool {

namespace {

constexpr ConnectionId ListenerId = 0;
constexpr ConnectionId WakeEventId = 1;
constexpr int EventsPerWait = 256;
constexpr std::chrono::milliseconds HealthCheckInterval{50};
// Time that stop() allows for writing answers that are already produced.
constexpr std::chrono::milliseconds StopFlushTimeout{200};

} // namespace

Result<std::unique_ptr<PeerLoop>>
PeerLoop::create(PeerSettings Settings, std::vector<PeerRoute> Routes) {
  constexpr const char *Step = "start peer transport";
  if (Settings.m_Workers == 0 || Settings.m_QuickWorkers == 0)
    return makeError(ErrorCode::InvalidSettings, Step, {},
                     "a lane has no workers");
  BOOST_OUTCOME_TRY(Listener, listenOn(Settings.m_Listen));
  Settings.m_Listen = boundAddress(Listener);
  if (Settings.m_Self.empty())
    Settings.m_Self = EntryId(Settings.m_Listen);
  FileDescriptor Epoll(::epoll_create1(EPOLL_CLOEXEC));
  FileDescriptor WakeEvent(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!Epoll.isOpen() || !WakeEvent.isOpen())
    return makeError(ErrorCode::Internal, Step, {}, systemMessage(errno));
  std::unique_ptr<PeerLoop> Loop(
      new PeerLoop(std::move(Settings), std::move(Routes), std::move(Listener),
                   std::move(Epoll), std::move(WakeEvent)));
  if (!Loop->watch(Loop->m_Listener, ListenerId) ||
      !Loop->watch(Loop->m_WakeEvent, WakeEventId))
    return makeError(ErrorCode::Internal, Step, {}, systemMessage(errno));
  Loop->m_Thread = std::thread([Raw = Loop.get()] { Raw->run(); });
  return Loop;
}

PeerLoop::PeerLoop(PeerSettings Settings, std::vector<PeerRoute> Routes,
                   FileDescriptor Listener, FileDescriptor Epoll,
                   FileDescriptor WakeEvent)
    : m_Settings(std::move(Settings)), m_Context{m_Settings, m_Traffic, {}},
      m_Listener(std::move(Listener)), m_Epoll(std::move(Epoll)),
      m_WakeEvent(std::move(WakeEvent)), m_Connections(m_Epoll.get()),
      m_Calls(m_Context, m_Connections),
      m_Dispatcher(m_Settings, std::move(Routes),
                   [this](ReplyAddress To, Result<std::string> Answer) {
                     post([this, To, Answer = std::move(Answer)](TimePoint) {
                       auto *Server = static_cast<ServerConnection *>(
                           m_Connections.find(To.m_Connection));
                       if (!Server)
                         return m_Traffic.add(&PeerTraffic::m_LateAnswers);
                       Server->answer(To.m_Stream, Answer);
                       m_Connections.scheduleFlush(To.m_Connection);
                     });
                   }) {}

bool PeerLoop::watch(const FileDescriptor &Socket, ConnectionId Id) {
  epoll_event Interest{};
  Interest.events = EPOLLIN;
  Interest.data.u64 = Id;
  return ::epoll_ctl(m_Epoll.get(), EPOLL_CTL_ADD, Socket.get(), &Interest) ==
         0;
}

bool PeerLoop::post(Command Next) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_Ended)
    return false;
  m_Commands.push_back(std::move(Next));
  if (m_Commands.size() > 1)
    return true;
  std::uint64_t One = 1;
  // Fails only if the counter is at its maximum, and then the loop will wake.
  [[maybe_unused]] ssize_t Written =
      ::write(m_WakeEvent.get(), &One, sizeof(One));
  return true;
}

void PeerLoop::start(CallPtr Call) {
  bool Posted = post([this, Call](TimePoint Now) {
    Call->m_Number = ++m_LastCallNumber;
    m_Calls.start(Call, Now);
  });
  if (!Posted)
    Call->m_Done(makeError(ErrorCode::ShuttingDown, "start call",
                           Call->m_Peer.m_Text, "the transport has stopped"));
}

void PeerLoop::drain() {
  auto Done = std::make_shared<std::promise<void>>();
  bool Posted = post([this, Done](TimePoint) {
    drainServers();
    Done->set_value();
  });
  if (Posted && !isLoopThread())
    Done->get_future().wait();
}

void PeerLoop::drainServers() {
  m_Draining = true;
  m_Connections.forEach([](PeerConnection &Connection) {
    if (auto *Server = dynamic_cast<ServerConnection *>(&Connection))
      Server->drain();
  });
}

void PeerLoop::stop() {
  std::lock_guard<std::mutex> Lock(m_StopMutex);
  if (!m_Thread.joinable())
    return;
  post([this](TimePoint Now) { beginStop(Now); });
  m_Thread.join();
  m_Dispatcher.stop();
}

void PeerLoop::beginStop(TimePoint Now) {
  m_Stopping = true;
  m_StopDeadline = Now + StopFlushTimeout;
  m_Calls.stop();
  drainServers();
  m_Connections.forEach([](PeerConnection &Connection) {
    if (auto *Server = dynamic_cast<ServerConnection *>(&Connection))
      Server->refuseQueuedCalls();
  });
}

bool PeerLoop::isFinished(TimePoint Now) const {
  return m_Stopping &&
         (Now >= m_StopDeadline || !m_Connections.hasUnsentBytes());
}

void PeerLoop::run() {
  while (!isFinished(steadyNow()))
    runOnce();
  m_Connections.clear();
  std::vector<Command> Last;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Ended = true;
    Last.swap(m_Commands);
  }
  for (Command &Next : Last)
    Next(steadyNow());
}

void PeerLoop::runOnce() {
  std::array<epoll_event, EventsPerWait> Ready;
  int Count = ::epoll_wait(m_Epoll.get(), Ready.data(), EventsPerWait,
                           waitMilliseconds(steadyNow()));
  TimePoint Now = steadyNow();
  m_Calls.setNow(Now);
  // Received bytes are read before timeouts are checked. Otherwise a process
  // that was paused would close connections to responsive peers.
  for (int I = 0; I < Count; ++I)
    handleReady(Ready[static_cast<std::size_t>(I)].data.u64, Now);
  runCommands(Now);
  m_Calls.expire(Now);
  if (Now >= m_NextCheck) {
    m_Connections.checkHealth(Now);
    m_NextCheck = Now + HealthCheckInterval;
    if (m_AcceptPaused)
      setAcceptPaused(false);
  }
  m_Connections.flush(Now);
}

int PeerLoop::waitMilliseconds(TimePoint Now) const {
  std::optional<TimePoint> Until = m_Calls.nextDeadline();
  if (!m_Connections.empty() || m_AcceptPaused)
    Until = std::min(Until.value_or(m_NextCheck), m_NextCheck);
  if (m_Stopping)
    Until = std::min(Until.value_or(m_StopDeadline), m_StopDeadline);
  if (!Until)
    return -1;
  if (*Until <= Now)
    return 0;
  auto Wait = std::chrono::ceil<std::chrono::milliseconds>(*Until - Now);
  return static_cast<int>(
      std::min<std::chrono::milliseconds>(Wait, std::chrono::minutes(1))
          .count());
}

void PeerLoop::handleReady(ConnectionId Id, TimePoint Now) {
  if (Id == ListenerId)
    return acceptAll(Now);
  if (Id == WakeEventId) {
    std::uint64_t Count = 0;
    [[maybe_unused]] ssize_t Read =
        ::read(m_WakeEvent.get(), &Count, sizeof(Count));
    return;
  }
  PeerConnection *Connection = m_Connections.find(Id);
  if (!Connection)
    return;
  Connection->onReady(Now);
  m_Connections.scheduleFlush(Id);
}

void PeerLoop::acceptAll(TimePoint Now) {
  while (true) {
    Result<FileDescriptor> Socket = acceptFrom(m_Listener);
    if (!Socket)
      return setAcceptPaused(true);
    if (!Socket.value().isOpen())
      return;
    auto Server = std::make_unique<ServerConnection>(std::move(Socket.value()),
                                                     m_Context, m_Dispatcher);
    if (!Server->open(Now))
      return;
    if (m_Draining)
      Server->drain();
    m_Connections.add(std::move(Server));
  }
}

void PeerLoop::setAcceptPaused(bool Paused) {
  epoll_event Interest{};
  if (!Paused)
    Interest.events = EPOLLIN;
  Interest.data.u64 = ListenerId;
  ::epoll_ctl(m_Epoll.get(), EPOLL_CTL_MOD, m_Listener.get(), &Interest);
  m_AcceptPaused = Paused;
}

void PeerLoop::runCommands(TimePoint Now) {
  std::vector<Command> Batch;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    Batch.swap(m_Commands);
  }
  for (Command &Next : Batch)
    Next(Now);
}

} // namespace pollenspool
