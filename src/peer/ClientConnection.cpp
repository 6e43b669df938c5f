//===- ClientConnection.cpp - Calls to a peer -----------------------------===//

#include "peer/ClientConnection.h"
#include "peer/ErrorCodec.h"

namespace pollenspool {

ClientConnection::ClientConnection(FileDescriptor Socket,
                                   ConnectionContext &Context, EntryId Peer,
                                   CallObserver &Observer, TimePoint Now)
    : PeerConnection(std::move(Socket), Role::Client, Context),
      m_Peer(std::move(Peer)), m_Observer(Observer),
      m_ConnectDeadline(Now + Context.m_Settings.m_ConnectTimeout),
      m_LastCall(Now) {}

bool ClientConnection::waitsForWrite() const {
  return !m_Connected || PeerConnection::waitsForWrite();
}

void ClientConnection::onReady(TimePoint Now) {
  if (m_Connected)
    PeerConnection::onReady(Now);
  else
    finishConnect(Now);
}

void ClientConnection::finishConnect(TimePoint Now) {
  int Failure = connectError(descriptor());
  if (Failure != 0)
    return markClosed(systemMessage(Failure));
  if (!open(Now))
    return markClosed("cannot create an HTTP/2 session");
  m_Connected = true;
  m_Observer.onConnected(id(), m_Peer);
}

void ClientConnection::checkHealth(TimePoint Now) {
  if (!m_Connected) {
    if (Now >= m_ConnectDeadline)
      markClosed("connect timed out");
    return;
  }
  if (!m_Streams.empty())
    m_LastCall = Now;
  if (Now - m_LastCall > context().m_Settings.m_Timing.m_IdleTimeout)
    return markClosed("no calls within the idle timeout");
  PeerConnection::checkHealth(Now);
}

void ClientConnection::start(CallPtr Call, TimePoint Now) {
  m_LastCall = Now;
  std::string Number = std::to_string(Call->m_Number);
  StreamId Id = submitRequest({{":method", "POST"},
                               {":scheme", "http"},
                               {":path", Call->m_Path},
                               {":authority", m_Peer.m_Text},
                               {FromHeader, context().m_Settings.m_Self.m_Text},
                               {CallNumberHeader, Number}});
  if (Id < 0) {
    // The stream IDs are exhausted, or the peer has sent a GOAWAY.
    m_Observer.onUnusable(id(), m_Peer, nghttp2_strerror(Id));
    m_Observer.finish(Call, makeCallError(ErrorCode::ConnectFailed,
                                          "start call", nghttp2_strerror(Id)));
    return;
  }
  Call->m_Connection = id();
  Call->m_Stream = Id;
  Stream &Target = m_Streams[Id];
  Target.m_Request.m_Text = std::move(Call->m_Body);
  Target.m_Call = std::move(Call);
}

bool ClientConnection::cancel(StreamId Id) {
  auto It = m_Streams.find(Id);
  if (It == m_Streams.end())
    return false;
  bool Unsent = !It->second.m_FirstByte;
  m_Streams.erase(It);
  resetStream(Id, NGHTTP2_CANCEL);
  return Unsent;
}

bool ClientConnection::beforeRequestSent(StreamId Id) {
  auto It = m_Streams.find(Id);
  if (It == m_Streams.end())
    return false;
  It->second.m_FirstByte = bytesProduced();
  return true;
}

void ClientConnection::onHeader(StreamId Id, std::string_view Name,
                                std::string_view Value) {
  auto It = m_Streams.find(Id);
  if (It == m_Streams.end())
    return;
  if (Name == ":status")
    It->second.m_Status = Value;
  else if (Name == CallNumberHeader)
    It->second.m_CallNumber = Value;
}

void ClientConnection::onData(StreamId Id, std::string_view Data) {
  auto It = m_Streams.find(Id);
  if (It == m_Streams.end())
    return;
  std::size_t Limit = context().m_Settings.m_MaxMessageBytes;
  std::string &Answer = It->second.m_Answer;
  if (Answer.size() + Data.size() <= Limit) {
    Answer.append(Data);
    return;
  }
  context().m_Traffic.add(&PeerTraffic::m_OversizedMessages);
  finish(It,
         makeCallError(ErrorCode::InvalidMessage, "receive answer",
                       "answer exceeds " + std::to_string(Limit) + " bytes"));
  resetStream(Id, NGHTTP2_CANCEL);
}

void ClientConnection::onStreamEnd(StreamId Id) {
  auto It = m_Streams.find(Id);
  if (It == m_Streams.end()) {
    context().m_Traffic.add(&PeerTraffic::m_LateAnswers);
    return;
  }
  Stream &Done = It->second;
  if (Done.m_CallNumber != std::to_string(Done.m_Call->m_Number)) {
    context().m_Traffic.add(&PeerTraffic::m_MismatchedAnswers);
    return markClosed("answer carries another call's number");
  }
  context().m_Traffic.add(Done.m_Call->m_Path, &PathTraffic::m_MessagesIn);
  if (Done.m_Status == "200")
    return finish(It, std::move(Done.m_Answer));
  finish(It, decodeError(Done.m_Answer, m_Peer.m_Text));
}

void ClientConnection::onStreamClosed(StreamId Id, std::uint32_t Code) {
  auto It = m_Streams.find(Id);
  if (It == m_Streams.end() || isClosed())
    return;
  if (Code == NGHTTP2_REFUSED_STREAM)
    return finish(It, makeCallError(ErrorCode::Refused, "call peer",
                                    "the peer refused the stream"));
  finish(It, makeCallError(ErrorCode::Internal, "call peer",
                           nghttp2_http2_strerror(Code)));
}

void ClientConnection::onGoAway() {
  m_Observer.onUnusable(id(), m_Peer, "the peer is going away");
}

std::string_view ClientConnection::pathOf(StreamId Id) const {
  auto It = m_Streams.find(Id);
  return It == m_Streams.end() ? std::string_view()
                               : std::string_view(It->second.m_Call->m_Path);
}

OutgoingBody *ClientConnection::bodyToSend(StreamId Id) {
  auto It = m_Streams.find(Id);
  return It == m_Streams.end() ? nullptr : &It->second.m_Request;
}

void ClientConnection::finish(StreamMap::iterator It,
                              Result<std::string> Answer) {
  CallPtr Call = std::move(It->second.m_Call);
  m_Streams.erase(It);
  m_Observer.finish(Call, std::move(Answer));
}

Error ClientConnection::makeCallError(ErrorCode Code, const char *Step,
                                      std::string Detail) const {
  return makeError(Code, Step, m_Peer.m_Text, std::move(Detail));
}

Error ClientConnection::makeLossError(const Stream &Lost) const {
  bool Unsent = !Lost.m_FirstByte || bytesWritten() <= *Lost.m_FirstByte;
  return makeCallError(Unsent ? ErrorCode::ConnectFailed
                              : ErrorCode::ConnectionLost,
                       "call peer", closeReason());
}

void ClientConnection::onConnectionClosed() {
  m_Observer.onUnusable(id(), m_Peer, closeReason());
  while (!m_Streams.empty()) {
    auto First = m_Streams.begin();
    Error Loss = makeLossError(First->second);
    finish(First, std::move(Loss));
  }
}

} // namespace pollenspool
