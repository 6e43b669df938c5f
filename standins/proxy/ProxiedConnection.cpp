//===- ProxiedConnection.cpp - One proxied connection ---------------------===//

#include "proxy/ProxiedConnection.h"

namespace standin {

namespace {
/// Reading from a source pauses while more bytes than this are queued for its
/// sink.
constexpr std::size_t MaxQueuedBytes = 1024 * 1024;
} // namespace

ProxiedConnection::ProxiedConnection(
    EventLoop &Loop, const Address &Target, const Faults &RouteFaults,
    std::function<void(ProxiedConnection *)> OnClosed)
    : m_Loop(Loop), m_Target(Target), m_Faults(RouteFaults),
      m_OnClosed(std::move(OnClosed)) {}

std::shared_ptr<ProxiedConnection>
ProxiedConnection::create(EventLoop &Loop, int ClientSocket,
                          const Address &Target, const Faults &RouteFaults,
                          std::function<void(ProxiedConnection *)> OnClosed) {
  std::shared_ptr<ProxiedConnection> Created(
      new ProxiedConnection(Loop, Target, RouteFaults, std::move(OnClosed)));
  Created->m_ClientStream = TcpStream::adopt(Loop, ClientSocket);
  Created->m_ClientStream->setPaused(true);
  if (!RouteFaults.m_Freeze)
    Created->openTarget();
  return Created;
}

void ProxiedConnection::openTarget() {
  Expected<std::shared_ptr<TcpStream>> Opened =
      TcpStream::connect(m_Loop, m_Target);
  if (!Opened) {
    reset();
    return;
  }
  m_TargetStream = Opened.value();
  m_Flows[Upstream].m_Source = m_Flows[Downstream].m_Sink = m_ClientStream;
  m_Flows[Upstream].m_Sink = m_Flows[Downstream].m_Source = m_TargetStream;
  setStreamHandlers(Upstream);
  setStreamHandlers(Downstream);
  updatePauses();
}

void ProxiedConnection::setStreamHandlers(Direction Towards) {
  const std::weak_ptr<ProxiedConnection> Weak = weak_from_this();
  TcpStream::Handlers Handlers;
  Handlers.m_OnData = [Weak, Towards](std::string_view Bytes) {
    if (const std::shared_ptr<ProxiedConnection> Self = Weak.lock())
      Self->enqueue(Towards, Bytes, false);
  };
  Handlers.m_OnEnd = [Weak, Towards] {
    if (const std::shared_ptr<ProxiedConnection> Self = Weak.lock())
      Self->enqueue(Towards, {}, true);
  };
  Handlers.m_OnDrained = [Weak] {
    if (const std::shared_ptr<ProxiedConnection> Self = Weak.lock())
      Self->updatePauses();
  };
  Handlers.m_OnConnected = [Weak] {
    if (const std::shared_ptr<ProxiedConnection> Self = Weak.lock())
      Self->updatePauses();
  };
  Handlers.m_OnError = [Weak, Towards](int) {
    if (const std::shared_ptr<ProxiedConnection> Self = Weak.lock())
      Self->onStreamFailed(Towards);
  };
  m_Flows[Towards].m_Source->setHandlers(std::move(Handlers));
}

void ProxiedConnection::enqueue(Direction Towards, std::string_view Bytes,
                                bool IsEnd) {
  Flow &Used = m_Flows[Towards];
  if (isDropping(Towards)) {
    Used.m_LostData = true;
    return;
  }
  Chunk Added;
  Added.m_Bytes = std::string(Bytes);
  Added.m_IsEnd = IsEnd;
  Added.m_Due = SteadyClock::now() + m_Faults.m_Delay;
  Used.m_Chunks.push_back(std::move(Added));
  forwardDue(Towards);
}

void ProxiedConnection::forwardDue(Direction Towards) {
  Flow &Used = m_Flows[Towards];
  const std::shared_ptr<ProxiedConnection> Self = shared_from_this();
  m_Loop.cancel(Used.m_Timer);
  Used.m_Timer = 0;
  while (!m_Closed && !m_Faults.m_Freeze && !Used.m_Chunks.empty()) {
    const auto Left = Used.m_Chunks.front().m_Due - SteadyClock::now();
    if (Left > SteadyClock::duration::zero()) {
      Used.m_Timer = m_Loop.after(Left, [Weak = weak_from_this(), Towards] {
        if (const std::shared_ptr<ProxiedConnection> Held = Weak.lock())
          Held->forwardDue(Towards);
      });
      return;
    }
    const Chunk Next = std::move(Used.m_Chunks.front());
    Used.m_Chunks.pop_front();
    forward(Towards, Next);
  }
  if (!m_Closed)
    updatePauses();
}

void ProxiedConnection::forward(Direction Towards, const Chunk &Next) {
  Flow &Used = m_Flows[Towards];
  if (!Next.m_IsEnd) {
    if (Towards == Downstream)
      forwardDownstream(Next);
    else
      Used.m_Sink->send(Next.m_Bytes);
    return;
  }
  Used.m_Ended = true;
  Used.m_Sink->endAfterSending();
  if (m_Flows[Upstream].m_Ended && m_Flows[Downstream].m_Ended)
    close(false);
}

void ProxiedConnection::forwardDownstream(const Chunk &Next) {
  std::string Bytes = Next.m_Bytes;
  if (m_Faults.m_Duplicate)
    Bytes += Next.m_Bytes;
  const std::uint64_t Limit = m_Faults.m_TruncateAfter;
  const bool IsTruncated =
      Limit != 0 && m_DownstreamBytes + Bytes.size() >= Limit;
  if (IsTruncated)
    Bytes.resize(Limit > m_DownstreamBytes ? Limit - m_DownstreamBytes : 0);
  m_DownstreamBytes += Bytes.size();
  m_ClientStream->send(Bytes);
  if (IsTruncated)
    reset();
}

void ProxiedConnection::onStreamFailed(Direction Towards) {
  if (isDropping(Towards))
    m_Flows[Towards].m_LostData = true;
  else if (m_Faults.m_Freeze)
    m_ResetDeferred = true;
  else
    reset();
}

void ProxiedConnection::updatePauses() {
  if (m_Closed || !m_TargetStream)
    return;
  for (Flow &Used : m_Flows)
    Used.m_Source->setPaused(m_Faults.m_Freeze ||
                             Used.m_Sink->queuedBytes() > MaxQueuedBytes);
}

bool ProxiedConnection::isDropping(Direction Towards) const {
  return Towards == Upstream ? m_Faults.m_DropUpstream
                             : m_Faults.m_DropDownstream;
}

void ProxiedConnection::onFaultsChanged(const Faults &Old) {
  const std::shared_ptr<ProxiedConnection> Self = shared_from_this();
  if (m_Faults.m_TruncateAfter != Old.m_TruncateAfter)
    m_DownstreamBytes = 0;
  // A TCP stream can't have gaps, so a connection that lost bytes is reset
  // as soon as its bytes would be forwarded again.
  for (const Direction Towards : {Upstream, Downstream})
    if (m_Flows[Towards].m_LostData && !isDropping(Towards))
      reset();
  if (m_ResetDeferred && !m_Faults.m_Freeze)
    reset();
  updatePauses();
  if (m_Closed || m_Faults.m_Freeze)
    return;
  if (!m_TargetStream) {
    openTarget();
    return;
  }
  forwardDue(Upstream);
  if (!m_Closed)
    forwardDue(Downstream);
}

void ProxiedConnection::reset() { close(true); }

void ProxiedConnection::close(bool WithReset) {
  if (m_Closed)
    return;
  m_Closed = true;
  const std::shared_ptr<ProxiedConnection> Self = shared_from_this();
  for (Flow &Used : m_Flows)
    m_Loop.cancel(Used.m_Timer);
  for (const std::shared_ptr<TcpStream> &Stream :
       {m_ClientStream, m_TargetStream}) {
    if (!Stream)
      continue;
    if (WithReset)
      Stream->reset();
    else
      Stream->closeAfterSending();
  }
  m_OnClosed(this);
}

} // namespace standin
