//===- ClaimAdapter.cpp - Adapters of claims and peers --------------------===//

#include "daemon/ClaimAdapter.h"
#include <thread>

namespace pollenspool {

void PeerSenderAdapter::callAsync(const EntryId &Peer, const std::string &Path,
                                  std::string Body,
                                  std::chrono::milliseconds Timeout,
                                  PeerCallback Callback) {
  PeerTransport *Transport = m_Transport;
  if (Transport) {
    Transport->callAsync(Peer, Path, std::move(Body), Timeout,
                         std::move(Callback));
    return;
  }
  // PeerSender::callAsync() must not run the callback on the caller's thread.
  std::thread([Peer, Path, Back = std::move(Callback)] {
    Back(makeError(ErrorCode::ConnectFailed, "call " + Path, Peer.m_Text,
                   "the peer transport has not started"));
  }).detach();
}

ClaimReply ClaimAdapter::claim(const RequestId &Id, Duration Timeout) {
  return m_Driver.claim(Id,
                        std::chrono::ceil<std::chrono::milliseconds>(Timeout));
}

void ClaimAdapter::complete(const RequestId &Id, const ClaimToken &Token,
                            const Answer &Recorded) {
  m_Driver.complete(Id, Token, Recorded);
}

void ClaimAdapter::release(const RequestId &Id, const ClaimToken &Token) {
  m_Driver.release(Id, Token);
}

} // namespace pollenspool
