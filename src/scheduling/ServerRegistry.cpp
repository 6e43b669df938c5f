//===- ServerRegistry.cpp - Backend servers and their runs ----------------===//

#include "scheduling/ServerRegistry.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Added to the end of a lease for rounding to whole milliseconds and for the
/// time that a server takes to terminate its runs.
constexpr Duration LeaseMargin = std::chrono::milliseconds(100);

} // namespace

std::int64_t ServerState::minClockMs(TimePoint Now) const {
  auto Since =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - m_ClockAt);
  return m_ClockMs +
         static_cast<std::int64_t>(static_cast<double>(Since.count()) *
                                   MinServerClockRate);
}

bool hasLabel(const std::vector<std::string> &Labels,
              const std::string &Required) {
  return Required.empty() ||
         std::find(Labels.begin(), Labels.end(), Required) != Labels.end();
}

bool ServerState::hasFiniteRuns() const {
  return std::any_of(m_Runs.begin(), m_Runs.end(),
                     [](const auto &E) { return !E.second.m_IsLongRunning; });
}

ServerState *ServerRegistry::find(const ServerId &Id) {
  auto It = m_Servers.find(Id);
  return It == m_Servers.end() ? nullptr : &It->second;
}

const ServerState *ServerRegistry::find(const ServerId &Id) const {
  auto It = m_Servers.find(Id);
  return It == m_Servers.end() ? nullptr : &It->second;
}

ServerState &ServerRegistry::upsert(const ServerRegistration &R) {
  ServerState &S = m_Servers[R.m_Id];
  S.m_Registration = R;
  S.m_Registered = true;
  return S;
}

void ServerRegistry::recordLease(ServerState &S, TimePoint Now,
                                 Duration Length) {
  auto Longest =
      std::chrono::duration_cast<Duration>(Length / MinServerClockRate);
  S.m_LeasesEnd = std::max(S.m_LeasesEnd, Now + Longest + LeaseMargin);
}

ActiveRun &ServerRegistry::addRun(ServerState &S, const RunId &Id,
                                  ActiveRun Run) {
  S.m_Used += Run.m_Allocation;
  return S.m_Runs[Id] = std::move(Run);
}

void ServerRegistry::removeRun(ServerState &S, const RunId &Id) {
  auto It = S.m_Runs.find(Id);
  if (It == S.m_Runs.end())
    return;
  S.m_Used -= It->second.m_Allocation;
  S.m_Runs.erase(It);
}

} // namespace pollenspool
