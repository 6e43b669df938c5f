//===- Dispatcher.cpp - Decision core of the request path -----------------===//

#include "dispatch/Dispatcher.h"
#include "dispatch/DispatchCore.h"

namespace pollenspool {

namespace {

constexpr const char *CreateStep = "create dispatcher";

} // namespace

Result<Dispatcher> Dispatcher::create(DispatcherSettings Settings) {
  if (Settings.m_EntryInstances == 0)
    return makeError(ErrorCode::InvalidSettings, CreateStep, {},
                     "no entry instance");
  std::unique_ptr<RoutingStrategy> Strategy = makeStrategy(Settings.m_Strategy);
  if (!Strategy)
    return makeError(ErrorCode::InvalidSettings, CreateStep, {},
                     "unknown routing strategy " + Settings.m_Strategy);
  return Dispatcher(
      std::make_unique<DispatchCore>(Settings, std::move(Strategy)));
}

Dispatcher::Dispatcher(std::unique_ptr<DispatchCore> Core)
    : m_Core(std::move(Core)) {}
Dispatcher::Dispatcher(Dispatcher &&) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&) noexcept = default;
Dispatcher::~Dispatcher() = default;

void Dispatcher::setDocument(std::shared_ptr<const Document> Doc) {
  m_Core->setDocument(std::move(Doc));
}

void Dispatcher::setInstances(std::vector<InstanceTarget> Targets,
                              TimePoint Now) {
  m_Core->setInstances(std::move(Targets), Now);
}

void Dispatcher::setEntryInstances(std::uint32_t Count) {
  m_Core->setEntryInstances(Count);
}

void Dispatcher::setRemoteCapacity(std::vector<RemoteCapacity> Capacity) {
  m_Core->setRemoteCapacity(std::move(Capacity));
}

void Dispatcher::onPeerLoads(const PeerLoadReport &Loads) {
  m_Core->onPeerLoads(Loads);
}

void Dispatcher::forgetPeer(const EntryId &Peer) { m_Core->forgetPeer(Peer); }

Ticket Dispatcher::submit(const RequestInfo &Info, TimePoint Now) {
  return m_Core->submit(Info, Now);
}

bool Dispatcher::claimGranted(Ticket Id, TimePoint Now) {
  return m_Core->claimGranted(Id, Now);
}

void Dispatcher::claimDenied(Ticket Id, Outcome Final, TimePoint Now) {
  m_Core->claimDenied(Id, std::move(Final), Now);
}

void Dispatcher::finishTry(Ticket Id, std::uint32_t Try, TryResult Result,
                           Reason Why, Answer ServerAnswer, TimePoint Now) {
  m_Core->finishTry(Id, Try, Result, Why, std::move(ServerAnswer), Now);
}

void Dispatcher::finishForward(Ticket Id, ForwardResult Result, TimePoint Now) {
  m_Core->finishForward(Id, std::move(Result), Now);
}

std::size_t Dispatcher::cancel(const std::vector<RequestId> &Ids,
                               TimePoint Now) {
  return m_Core->cancel(Ids, Now);
}

void Dispatcher::setDraining(bool Draining, TimePoint Now) {
  m_Core->setDraining(Draining, Now);
}

void Dispatcher::tick(TimePoint Now) { m_Core->tick(Now); }

std::optional<TimePoint> Dispatcher::nextTick() const {
  return m_Core->nextTick();
}

std::vector<Action> Dispatcher::takeActions() { return m_Core->takeActions(); }

LoadReport Dispatcher::loadReport() const { return m_Core->loadReport(); }

std::uint32_t Dispatcher::inFlight(const InstanceId &Instance) const {
  return m_Core->inFlight(Instance);
}

DispatcherStats Dispatcher::stats() const { return m_Core->stats(); }

} // namespace pollenspool
