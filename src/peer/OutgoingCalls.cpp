//===- OutgoingCalls.cpp - Outgoing calls and their connections -----------===//

#include "peer/OutgoingCalls.h"
#include <algorithm>

namespace pollenspool {

namespace {

constexpr const char *StartStep = "start call";
constexpr std::uint32_t MaxBackoffDoublings = 16;

} // namespace

OutgoingCalls::OutgoingCalls(ConnectionContext &Context,
                             ConnectionTable &Connections)
    : m_Context(Context), m_Connections(Connections),
      m_Random(std::hash<EntryId>()(Context.m_Settings.m_Self)) {}

void OutgoingCalls::start(CallPtr Call, TimePoint Now) {
  m_Now = Now;
  m_Deadlines.emplace(std::pair(Call->m_Deadline, Call->m_Number), Call);
  if (m_Stopped)
    return finish(Call, makeError(ErrorCode::ShuttingDown, StartStep,
                                  Call->m_Peer.m_Text));
  std::size_t Limit = m_Context.m_Settings.m_MaxMessageBytes;
  if (Call->m_Body.size() > Limit) {
    m_Context.m_Traffic.add(&PeerTraffic::m_OversizedMessages);
    return finish(
        Call,
        makeError(ErrorCode::InvalidArgument, StartStep, Call->m_Peer.m_Text,
                  "message of " + std::to_string(Call->m_Body.size()) +
                      " bytes, limit " + std::to_string(Limit)));
  }
  m_Context.m_Traffic.add(Call->m_Path, &PathTraffic::m_MessagesOut);
  Peer &Target = m_Peers[Call->m_Peer];
  if (!Target.m_Connected)
    return startWaiting(Target, Call);
  m_Connections.scheduleFlush(Target.m_Connection);
  auto *Connection =
      static_cast<ClientConnection *>(m_Connections.find(Target.m_Connection));
  Connection->start(Call, Now);
}

void OutgoingCalls::startWaiting(Peer &Target, const CallPtr &Call) {
  if (Target.m_Connection == 0 && m_Now < Target.m_RetryAt)
    return finish(
        Call,
        makeError(ErrorCode::ConnectFailed, StartStep, Call->m_Peer.m_Text,
                  "waits for the backoff after: " + Target.m_LastFailure));
  if (Target.m_Waiting.size() >= m_Context.m_Settings.m_MaxPendingCalls) {
    m_Context.m_Traffic.add(&PeerTraffic::m_RefusedCalls);
    return finish(Call,
                  makeError(ErrorCode::Refused, StartStep, Call->m_Peer.m_Text,
                            "too many calls are waiting for the connection"));
  }
  Target.m_Waiting.emplace(Call->m_Number, Call);
  if (Target.m_Connection == 0)
    connect(Target, Call->m_Peer);
}

void OutgoingCalls::connect(Peer &Target, const EntryId &Id) {
  Result<FileDescriptor> Socket = startConnect(Id.m_Text);
  if (!Socket) {
    Error Failure = std::move(Socket.error());
    backOff(Target, Failure.m_Detail);
    return failWaiting(Target, Failure.m_Code, Failure.m_Detail);
  }
  Target.m_Connection = m_Connections.add(std::make_unique<ClientConnection>(
      std::move(Socket.value()), m_Context, Id, *this, m_Now));
}

void OutgoingCalls::onConnected(ConnectionId Connection, const EntryId &Id) {
  Peer &Target = m_Peers[Id];
  if (Target.m_Connection != Connection)
    return;
  Target.m_Connected = true;
  Target.m_Failures = 0;
  auto *Open = static_cast<ClientConnection *>(m_Connections.find(Connection));
  std::map<std::uint64_t, CallPtr> Waiting;
  Waiting.swap(Target.m_Waiting);
  for (auto &[Number, Call] : Waiting)
    Open->start(Call, m_Now);
}

void OutgoingCalls::onUnusable(ConnectionId Connection, const EntryId &Id,
                               const std::string &Reason) {
  Peer &Target = m_Peers[Id];
  if (Target.m_Connection != Connection)
    return;
  bool NeverOpened = !Target.m_Connected;
  Target.m_Connection = 0;
  Target.m_Connected = false;
  if (NeverOpened)
    m_Context.m_Traffic.add(&PeerTraffic::m_ConnectFailures);
  backOff(Target, Reason);
  failWaiting(Target, ErrorCode::ConnectFailed, Reason);
}

void OutgoingCalls::backOff(Peer &Target, const std::string &Reason) {
  const PeerTiming &Timing = m_Context.m_Settings.m_Timing;
  std::uint32_t Doublings = std::min(Target.m_Failures, MaxBackoffDoublings);
  auto Wait = std::min(Timing.m_InitialBackoff * (std::int64_t{1} << Doublings),
                       Timing.m_MaxBackoff);
  // Jitter: the actual wait is 0.5 to 1.0 of the backoff, so that entry
  // instances do not reconnect simultaneously.
  std::uniform_real_distribution<double> Share(0.5, 1.0);
  Target.m_RetryAt =
      m_Now + std::chrono::duration_cast<Duration>(Wait * Share(m_Random));
  Target.m_LastFailure = Reason;
  ++Target.m_Failures;
}

void OutgoingCalls::failWaiting(Peer &Target, ErrorCode Code,
                                const std::string &Detail) {
  std::map<std::uint64_t, CallPtr> Waiting;
  Waiting.swap(Target.m_Waiting);
  for (auto &[Number, Call] : Waiting)
    finish(Call, makeError(Code, StartStep, Call->m_Peer.m_Text, Detail));
}

void OutgoingCalls::finish(const CallPtr &Call, Result<std::string> Answer) {
  m_Deadlines.erase(std::pair(Call->m_Deadline, Call->m_Number));
  PeerTransport::Callback Done = std::move(Call->m_Done);
  if (Done)
    Done(std::move(Answer));
}

std::optional<TimePoint> OutgoingCalls::nextDeadline() const {
  if (m_Deadlines.empty())
    return std::nullopt;
  return m_Deadlines.begin()->first.first;
}

void OutgoingCalls::expire(TimePoint Now) {
  while (!m_Deadlines.empty() && m_Deadlines.begin()->first.first <= Now) {
    CallPtr Call = m_Deadlines.begin()->second;
    timeOut(Call);
  }
}

ClientConnection *OutgoingCalls::connectionOf(const OutgoingCall &Call) {
  if (Call.m_Connection == 0)
    return nullptr;
  return static_cast<ClientConnection *>(m_Connections.find(Call.m_Connection));
}

void OutgoingCalls::timeOut(const CallPtr &Call) {
  m_Peers[Call->m_Peer].m_Waiting.erase(Call->m_Number);
  bool Unsent = Call->m_Connection == 0;
  if (ClientConnection *Connection = connectionOf(*Call)) {
    Unsent = Connection->cancel(Call->m_Stream);
    m_Connections.scheduleFlush(Call->m_Connection);
  }
  // A call of which nothing was written cannot have run, so it ends with
  // ConnectFailed and not with Timeout.
  finish(Call, Unsent ? makeError(ErrorCode::ConnectFailed, StartStep,
                                  Call->m_Peer.m_Text,
                                  "timed out before the request was sent")
                      : makeError(ErrorCode::Timeout, "wait for answer",
                                  Call->m_Peer.m_Text));
}

void OutgoingCalls::stop() {
  m_Stopped = true;
  for (auto &[Id, Target] : m_Peers)
    failWaiting(Target, ErrorCode::ShuttingDown, "the transport is stopping");
}

} // namespace pollenspool
