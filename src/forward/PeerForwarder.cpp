//===- PeerForwarder.cpp - Forwards requests between data centres ---------===//

#include "forward/PeerForwarder.h"
#include "forward/Messages.h"

namespace pollenspool {

namespace {

/// Peers tried for one forward: only those that did not process it count.
constexpr std::size_t MaxPeersTried = 2;
/// The peer's own deadline comes first, so that its outcome still arrives.
constexpr std::chrono::milliseconds AnswerSlack{100};
constexpr std::chrono::milliseconds CancelTimeout{2000};
constexpr std::chrono::milliseconds PeerRetryAfter{500};

Outcome without(OutcomeKind Kind, Reason Why) {
  Outcome Final;
  Final.m_Kind = Kind;
  Final.m_Reason = Why;
  Final.m_RetryAfter = PeerRetryAfter;
  return Final;
}

} // namespace

bool provesNotProcessed(const Error &Fault) {
  return Fault.m_Code == ErrorCode::ConnectFailed ||
         Fault.m_Code == ErrorCode::Refused ||
         Fault.m_Code == ErrorCode::ShuttingDown ||
         Fault.m_Code == ErrorCode::InvalidArgument;
}

Outcome PeerForwarder::forward(const DataCentreName &To,
                               const CallerRequest &Request,
                               Duration Remaining) {
  Outcome Final = sendOn(To, Request, Remaining);
  m_Hooks.m_OnOutcome(To, Request.m_Info.m_Service, Final);
  return Final;
}

Outcome PeerForwarder::sendOn(const DataCentreName &To,
                              const CallerRequest &Request,
                              Duration Remaining) {
  std::string Body = encodeRequest(Request, Remaining);
  auto Timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(Remaining) +
      AnswerSlack;
  std::size_t Tried = 0;
  for (const EntryId &Peer : m_Directory->usable(To)) {
    if (++Tried > MaxPeersTried)
      break;
    auto Reply = m_Transport->call(Peer, ForwardPath, Body, Timeout);
    if (!Reply && Reply.error().m_Code == ErrorCode::ConnectFailed)
      m_Hooks.m_OnUnreachable(Peer);
    if (!Reply && provesNotProcessed(Reply.error()))
      continue;
    if (!Reply)
      return without(OutcomeKind::Unknown, Reason::PeerConnectionLost);
    auto Final = decodeOutcome(Reply.value());
    if (!Final)
      return without(OutcomeKind::Unknown, Reason::PeerConnectionLost);
    return std::move(Final).value();
  }
  return without(OutcomeKind::NotRun, Reason::PeerUnreachable);
}

void PeerForwarder::forwardCancel(const std::vector<RequestId> &Ids) {
  std::string Body = encodeIds(Ids);
  for (const EntryId &Peer : m_Directory->all())
    m_Transport->callAsync(Peer, ForwardCancelPath, Body, CancelTimeout,
                           [](const Result<std::string> &) {});
}

} // namespace pollenspool
