//===- PeerForwarder.cpp - Forwards requests between data centres ---------===//

#include "forward/PeerForwarder.h"
#include "forward/Messages.h"

namespace pollenspool {

namespace {

/// Maximum number of peers tried for one request. The next peer is tried only
/// if the one before provably did not process the request.
constexpr std::size_t MaxPeersTried = 2;
/// Added to the call's time limit, so that the peer's outcome still arrives
/// when the peer uses the whole deadline.
constexpr std::chrono::milliseconds ReplyMargin{100};
constexpr std::chrono::milliseconds CancelTimeout{2000};
constexpr std::chrono::milliseconds PeerRetryAfter{500};

Outcome failedOutcome(OutcomeKind Kind, Reason Why) {
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
  Outcome Final = sendToPeers(To, Request, Remaining);
  m_Hooks.m_OnOutcome(To, Request.m_Info.m_Service, Final);
  return Final;
}

Outcome PeerForwarder::sendToPeers(const DataCentreName &To,
                                   const CallerRequest &Request,
                                   Duration Remaining) {
  std::string Body = encodeRequest(Request, Remaining);
  auto Timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(Remaining) +
      ReplyMargin;
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
      return failedOutcome(OutcomeKind::Unknown, Reason::PeerConnectionLost);
    auto Final = decodeOutcome(Reply.value());
    if (!Final)
      return failedOutcome(OutcomeKind::Unknown, Reason::PeerConnectionLost);
    return std::move(Final).value();
  }
  return failedOutcome(OutcomeKind::NotRun, Reason::PeerUnreachable);
}

void PeerForwarder::forwardCancel(const std::vector<RequestId> &Ids) {
  std::string Body = encodeIds(Ids);
  for (const EntryId &Peer : m_Directory->all())
    m_Transport->callAsync(Peer, ForwardCancelPath, Body, CancelTimeout,
                           [](const Result<std::string> &) {});
}

} // namespace pollenspool
