//===- ClaimPort.cpp - Claims as the gateway takes them -------------------===//

#include "daemon/ClaimPort.h"
#include <thread>

namespace pollenspool {

void PeerPort::callAsync(const EntryId &Peer, const std::string &Path,
                         std::string Body, std::chrono::milliseconds Timeout,
                         PeerCallback Callback) {
  PeerTransport *Transport = m_Transport;
  if (Transport) {
    Transport->callAsync(Peer, Path, std::move(Body), Timeout,
                         std::move(Callback));
    return;
  }
  // The interface forbids calling back from the caller's thread.
  std::thread([Peer, Path, Back = std::move(Callback)] {
    Back(makeError(ErrorCode::ConnectFailed, "call " + Path, Peer.m_Text,
                   "the peer transport has not started"));
  }).detach();
}

ClaimReply ClaimPort::claim(const RequestId &Id, Duration Timeout) {
  return m_Shell.claim(Id,
                       std::chrono::ceil<std::chrono::milliseconds>(Timeout));
}

void ClaimPort::complete(const RequestId &Id, const ClaimToken &Token,
                         const Answer &Recorded) {
  m_Shell.complete(Id, Token, Recorded);
}

void ClaimPort::release(const RequestId &Id, const ClaimToken &Token) {
  m_Shell.release(Id, Token);
}

} // namespace pollenspool
