//===- ServerConnection.cpp - Calls from a peer ---------------------------===//

#include "peer/ServerConnection.h"
#include "peer/ErrorCodec.h"

namespace pollenspool {

ServerConnection::ServerConnection(FileDescriptor Socket,
                                   ConnectionContext &Context,
                                   CallDispatcher &Calls)
    : PeerConnection(std::move(Socket), Role::Server, Context), m_Calls(Calls) {
}

void ServerConnection::onHeader(StreamId Id, std::string_view Name,
                                std::string_view Value) {
  auto [It, IsNew] = m_Streams.try_emplace(Id);
  Stream &Target = It->second;
  if (IsNew)
    ++context().m_OpenIncomingCalls;
  if (Name == ":path")
    Target.m_Call.m_Path = Value;
  else if (Name == FromHeader)
    Target.m_Call.m_From = EntryId(std::string(Value));
  else if (Name == CallNumberHeader)
    Target.m_CallNumber = Value;
}

void ServerConnection::onData(StreamId Id, std::string_view Data) {
  auto It = m_Streams.find(Id);
  if (It == m_Streams.end() || It->second.m_Oversized)
    return;
  std::string &Body = It->second.m_Call.m_Body;
  if (Body.size() + Data.size() <= context().m_Settings.m_MaxMessageBytes) {
    Body.append(Data);
    return;
  }
  It->second.m_Oversized = true;
  Body = {};
  context().m_Traffic.add(&PeerTraffic::m_OversizedMessages);
}

void ServerConnection::onStreamEnd(StreamId Id) {
  auto It = m_Streams.find(Id);
  if (It == m_Streams.end() || It->second.m_Refused)
    return;
  Stream &Target = It->second;
  // The peer opened the stream before it received the GOAWAY.
  if (m_Draining && Id > m_LastAcceptedStream)
    return refuse(Id, Target);
  context().m_Traffic.add(Target.m_Call.m_Path, &PathTraffic::m_MessagesIn);
  if (!Target.m_Oversized)
    return dispatch(Id, Target);
  std::string Limit = std::to_string(context().m_Settings.m_MaxMessageBytes);
  sendAnswer(Id, Target,
             makeError(ErrorCode::Refused, "receive call", {},
                       "request exceeds " + Limit + " bytes"));
}

void ServerConnection::dispatch(StreamId Id, Stream &Target) {
  std::string Path = Target.m_Call.m_Path;
  Result<QueuedCallHandle> Queued =
      m_Calls.dispatch(std::move(Target.m_Call), {id(), Id});
  Target.m_Call = PeerCall{{}, std::move(Path), {}};
  if (Queued) {
    Target.m_QueuedCall = Queued.value();
    return;
  }
  if (Queued.error().m_Code == ErrorCode::Refused)
    return refuse(Id, Target);
  sendAnswer(Id, Target, Queued.error());
}

void ServerConnection::refuse(StreamId Id, Stream &Target) {
  context().m_Traffic.add(&PeerTraffic::m_RefusedCalls);
  Target.m_Refused = true;
  Target.m_QueuedCall.reset();
  resetStream(Id, NGHTTP2_REFUSED_STREAM);
}

void ServerConnection::answer(StreamId Id, Result<std::string> Answer) {
  auto It = m_Streams.find(Id);
  if (It == m_Streams.end() || It->second.m_Refused) {
    context().m_Traffic.add(&PeerTraffic::m_LateAnswers);
    return;
  }
  It->second.m_QueuedCall.reset();
  sendAnswer(Id, It->second, std::move(Answer));
}

void ServerConnection::sendAnswer(StreamId Id, Stream &Target,
                                  Result<std::string> Answer) {
  std::size_t Limit = context().m_Settings.m_MaxMessageBytes;
  if (Answer && Answer.value().size() > Limit) {
    context().m_Traffic.add(&PeerTraffic::m_OversizedMessages);
    Answer = makeError(ErrorCode::InvalidMessage, "send answer", {},
                       "answer exceeds " + std::to_string(Limit) + " bytes");
  }
  bool Failed = !Answer;
  Target.m_Answer.m_Text =
      Failed ? encodeError(Answer.error()) : std::move(Answer.value());
  context().m_Traffic.add(Target.m_Call.m_Path, &PathTraffic::m_MessagesOut);
  submitResponse(Id, {{":status", Failed ? "500" : "200"},
                      {CallNumberHeader, Target.m_CallNumber}});
}

void ServerConnection::onStreamClosed(StreamId Id, std::uint32_t) {
  auto It = m_Streams.find(Id);
  if (It == m_Streams.end())
    return;
  if (It->second.m_QueuedCall)
    m_Calls.cancel(*It->second.m_QueuedCall);
  m_Streams.erase(It);
  --context().m_OpenIncomingCalls;
}

void ServerConnection::drain() {
  if (m_Draining)
    return;
  m_Draining = true;
  m_LastAcceptedStream = submitGoAway();
}

void ServerConnection::refuseQueuedCalls() {
  for (auto &[Id, Target] : m_Streams)
    if (Target.m_QueuedCall && m_Calls.cancel(*Target.m_QueuedCall))
      refuse(Id, Target);
}

void ServerConnection::onConnectionClosed() {
  for (auto &[Id, Target] : m_Streams)
    if (Target.m_QueuedCall)
      m_Calls.cancel(*Target.m_QueuedCall);
  context().m_OpenIncomingCalls -= m_Streams.size();
  m_Streams.clear();
}

std::string_view ServerConnection::pathOf(StreamId Id) const {
  auto It = m_Streams.find(Id);
  return It == m_Streams.end() ? std::string_view()
                               : std::string_view(It->second.m_Call.m_Path);
}

OutgoingBody *ServerConnection::bodyToSend(StreamId Id) {
  auto It = m_Streams.find(Id);
  return It == m_Streams.end() ? nullptr : &It->second.m_Answer;
}

} // namespace pollenspool
