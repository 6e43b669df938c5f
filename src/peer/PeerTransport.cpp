//===- PeerTransport.cpp - Calls between entry instances ------------------===//

#include "peer/PeerTransport.h"
#include "peer/PeerLoop.h"
#include <future>

namespace pollenspool {

Result<std::unique_ptr<PeerTransport>>
PeerTransport::create(PeerSettings Settings, std::vector<PeerRoute> Routes) {
  BOOST_OUTCOME_TRY(Loop,
                    PeerLoop::create(std::move(Settings), std::move(Routes)));
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(Loop)));
}

PeerTransport::PeerTransport(std::unique_ptr<PeerLoop> Loop)
    : m_Loop(std::move(Loop)) {}

PeerTransport::~PeerTransport() { stop(); }

std::string PeerTransport::listenAddress() const {
  return m_Loop->listenAddress();
}

Result<std::string> PeerTransport::call(const EntryId &Peer,
                                        std::string_view Path, std::string Body,
                                        std::chrono::milliseconds Timeout) {
  if (m_Loop->isLoopThread())
    return makeError(ErrorCode::InvalidArgument, "start call", Peer.m_Text,
                     "a blocking call from a callback is not allowed");
  auto Answer = std::make_shared<std::promise<Result<std::string>>>();
  callAsync(Peer, Path, std::move(Body), Timeout,
            [Answer](Result<std::string> Value) {
              Answer->set_value(std::move(Value));
            });
  return Answer->get_future().get();
}

void PeerTransport::callAsync(const EntryId &Peer, std::string_view Path,
                              std::string Body,
                              std::chrono::milliseconds Timeout,
                              Callback Done) {
  auto Call = std::make_shared<OutgoingCall>();
  Call->m_Peer = Peer;
  Call->m_Path = Path;
  Call->m_Body = std::move(Body);
  Call->m_Deadline = steadyNow() + Timeout;
  Call->m_Done = std::move(Done);
  m_Loop->start(std::move(Call));
}

void PeerTransport::drain() { m_Loop->drain(); }

std::size_t PeerTransport::inFlight() const { return m_Loop->inFlight(); }

void PeerTransport::stop() { m_Loop->stop(); }

PeerTraffic PeerTransport::traffic() const { return m_Loop->traffic(); }

} // namespace pollenspool
