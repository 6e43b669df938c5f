//===- Link.cpp - One proxied connection ----------------------------------===//

#include "proxy/Link.h"

namespace standin {

namespace {
/// A source is paused while this much waits for its sink.
constexpr std::size_t MaxQueuedBytes = 1024 * 1024;
} // namespace

Link::Link(EventLoop &Loop, const Address &Target, const Faults &InForce,
           std::function<void(Link *)> OnClosed)
    : m_Loop(Loop), m_Target(Target), m_Faults(InForce),
      m_OnClosed(std::move(OnClosed)) {}

std::shared_ptr<Link> Link::create(EventLoop &Loop, int ClientSocket,
                                   const Address &Target, const Faults &InForce,
                                   std::function<void(Link *)> OnClosed) {
  std::shared_ptr<Link> Created(
      new Link(Loop, Target, InForce, std::move(OnClosed)));
  Created->m_Client = TcpStream::adopt(Loop, ClientSocket);
  Created->m_Client->setPaused(true);
  if (!InForce.m_Freeze)
    Created->openTarget();
  return Created;
}

void Link::openTarget() {
  Expected<std::shared_ptr<TcpStream>> Opened =
      TcpStream::connect(m_Loop, m_Target);
  if (!Opened) {
    reset();
    return;
  }
  m_Upstream = Opened.value();
  m_Flows[Up].m_Source = m_Flows[Down].m_Sink = m_Client;
  m_Flows[Up].m_Sink = m_Flows[Down].m_Source = m_Upstream;
  listenTo(Up);
  listenTo(Down);
  updatePauses();
}

void Link::listenTo(Direction Towards) {
  const std::weak_ptr<Link> Weak = weak_from_this();
  TcpStream::Handlers Handlers;
  Handlers.m_OnData = [Weak, Towards](std::string_view Bytes) {
    if (const std::shared_ptr<Link> Self = Weak.lock())
      Self->push(Towards, Bytes, false);
  };
  Handlers.m_OnEnd = [Weak, Towards] {
    if (const std::shared_ptr<Link> Self = Weak.lock())
      Self->push(Towards, {}, true);
  };
  Handlers.m_OnDrained = [Weak] {
    if (const std::shared_ptr<Link> Self = Weak.lock())
      Self->updatePauses();
  };
  Handlers.m_OnConnected = [Weak] {
    if (const std::shared_ptr<Link> Self = Weak.lock())
      Self->updatePauses();
  };
  Handlers.m_OnError = [Weak, Towards](int) {
    if (const std::shared_ptr<Link> Self = Weak.lock())
      Self->onStreamFailed(Towards);
  };
  m_Flows[Towards].m_Source->setHandlers(std::move(Handlers));
}

void Link::push(Direction Towards, std::string_view Bytes, bool IsEnd) {
  Flow &Used = m_Flows[Towards];
  if (isDropping(Towards)) {
    Used.m_Swallowed = true;
    return;
  }
  Chunk Added;
  Added.m_Bytes = std::string(Bytes);
  Added.m_IsEnd = IsEnd;
  Added.m_Due = SteadyClock::now() + m_Faults.m_Delay;
  Used.m_Chunks.push_back(std::move(Added));
  deliverDue(Towards);
}

void Link::deliverDue(Direction Towards) {
  Flow &Used = m_Flows[Towards];
  const std::shared_ptr<Link> Self = shared_from_this();
  m_Loop.cancel(Used.m_Timer);
  Used.m_Timer = 0;
  while (!m_Closed && !m_Faults.m_Freeze && !Used.m_Chunks.empty()) {
    const auto Left = Used.m_Chunks.front().m_Due - SteadyClock::now();
    if (Left > SteadyClock::duration::zero()) {
      Used.m_Timer = m_Loop.after(Left, [Weak = weak_from_this(), Towards] {
        if (const std::shared_ptr<Link> Held = Weak.lock())
          Held->deliverDue(Towards);
      });
      return;
    }
    const Chunk Next = std::move(Used.m_Chunks.front());
    Used.m_Chunks.pop_front();
    deliver(Towards, Next);
  }
  if (!m_Closed)
    updatePauses();
}

void Link::deliver(Direction Towards, const Chunk &Next) {
  Flow &Used = m_Flows[Towards];
  if (!Next.m_IsEnd) {
    if (Towards == Down)
      deliverDown(Next);
    else
      Used.m_Sink->send(Next.m_Bytes);
    return;
  }
  Used.m_Ended = true;
  Used.m_Sink->endAfterSending();
  if (m_Flows[Up].m_Ended && m_Flows[Down].m_Ended)
    close(false);
}

void Link::deliverDown(const Chunk &Next) {
  std::string Bytes = Next.m_Bytes;
  if (m_Faults.m_Duplicate)
    Bytes += Next.m_Bytes;
  const std::uint64_t Limit = m_Faults.m_TruncateAfter;
  const bool IsCut = Limit != 0 && m_BytesDown + Bytes.size() >= Limit;
  if (IsCut)
    Bytes.resize(Limit > m_BytesDown ? Limit - m_BytesDown : 0);
  m_BytesDown += Bytes.size();
  m_Client->send(Bytes);
  if (IsCut)
    reset();
}

void Link::onStreamFailed(Direction Towards) {
  if (isDropping(Towards))
    m_Flows[Towards].m_Swallowed = true;
  else if (m_Faults.m_Freeze)
    m_ResetHeld = true;
  else
    reset();
}

void Link::updatePauses() {
  if (m_Closed || !m_Upstream)
    return;
  for (Flow &Used : m_Flows)
    Used.m_Source->setPaused(m_Faults.m_Freeze ||
                             Used.m_Sink->queuedBytes() > MaxQueuedBytes);
}

bool Link::isDropping(Direction Towards) const {
  return Towards == Up ? m_Faults.m_DropUp : m_Faults.m_DropDown;
}

void Link::onFaultsChanged(const Faults &Old) {
  const std::shared_ptr<Link> Self = shared_from_this();
  if (m_Faults.m_TruncateAfter != Old.m_TruncateAfter)
    m_BytesDown = 0;
  // TCP has no holes: what lost bytes can't go on once bytes pass again.
  for (const Direction Towards : {Up, Down})
    if (m_Flows[Towards].m_Swallowed && !isDropping(Towards))
      reset();
  if (m_ResetHeld && !m_Faults.m_Freeze)
    reset();
  updatePauses();
  if (m_Closed || m_Faults.m_Freeze)
    return;
  if (!m_Upstream) {
    openTarget();
    return;
  }
  deliverDue(Up);
  if (!m_Closed)
    deliverDue(Down);
}

void Link::reset() { close(true); }

void Link::close(bool WithReset) {
  if (m_Closed)
    return;
  m_Closed = true;
  const std::shared_ptr<Link> Self = shared_from_this();
  for (Flow &Used : m_Flows)
    m_Loop.cancel(Used.m_Timer);
  for (const std::shared_ptr<TcpStream> &Stream : {m_Client, m_Upstream}) {
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
