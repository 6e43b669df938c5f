//===- ConnectionBudget.cpp - Shares of the descriptor limit --------------===//

#include "entry/ConnectionBudget.h"
#include "base/Log.h"
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <sys/resource.h>

namespace pollenspool {

namespace {

/// Connections to one address of the platform. Each request of a caller needs
/// one for some milliseconds, or for half a second while the store is slow, and
/// each change feed one at all times. A new leader reads 128 partitions of
/// tables at the same time.
constexpr std::size_t PlatformConnectionsPerPeer = 64;
/// The platform has a store, an instance service and an adviser.
constexpr std::size_t PlatformPeers = 3;
/// Connections to one backend server: one for a poll that the server holds, the
/// other for orders, which are answered within milliseconds. A server accepts
/// 64 in all, and keeps those of a leader whose machine is lost for as long as
/// it lives. \see docs/CAPACITY.md.
constexpr std::size_t BackendConnectionsPerPeer = 2;
/// A server without runs is not called, so that soon no connection to it is
/// left that the loss of this machine would leave behind. One with runs is
/// called at least once a second.
constexpr Duration BackendIdleTime = std::chrono::seconds(2);
/// Most calls to the platform recur within a second.
constexpr Duration PlatformIdleTime = std::chrono::seconds(10);
/// The store's largest reply has 1 MB of rows; Base64 and JSON increase this by
/// about half. A reply of the change feed has no stated limit.
constexpr std::size_t PlatformReplyBytes = 8u << 20;
/// All connections to the store may bring its largest reply at the same time.
constexpr std::size_t PlatformArrivingBytes = 96u << 20;
/// A backend server's largest reply lists its runs and 500 ends.
constexpr std::size_t BackendReplyBytes = 2u << 20;
/// Usual replies of backend servers arrive at once and don't count.
constexpr std::size_t BackendArrivingBytes = 16u << 20;
/// Descriptors of listeners, the event loop and the log.
constexpr std::size_t OwnDescriptors = 32;
constexpr std::size_t CallersShareDivisor = 4;
/// The part of a small limit that calls to the platform have at most.
constexpr std::size_t PlatformShareDivisor = 4;
/// Connections of the readiness checks, and of operators.
constexpr std::size_t ProbeConnections = 16;
constexpr std::size_t MinDescriptorLimit = 256;

} // namespace

ConnectionBudget divideDescriptors(std::size_t DescriptorLimit) {
  std::size_t Limit = std::max(DescriptorLimit, MinDescriptorLimit);
  ConnectionBudget Budget;
  Budget.m_Platform = {PlatformConnectionsPerPeer,
                       std::min(PlatformConnectionsPerPeer * PlatformPeers,
                                Limit / PlatformShareDivisor),
                       PlatformReplyBytes, PlatformArrivingBytes,
                       PlatformIdleTime};
  Budget.m_Callers = Limit / CallersShareDivisor;
  Budget.m_Readiness = Budget.m_Operators = ProbeConnections;
  const std::size_t Taken = Budget.m_Callers + Budget.m_Readiness +
                            Budget.m_Operators + OwnDescriptors +
                            Budget.m_Platform.m_Total;
  Budget.m_Backends = {BackendConnectionsPerPeer, Limit - Taken,
                       BackendReplyBytes, BackendArrivingBytes,
                       BackendIdleTime};
  return Budget;
}

std::size_t descriptorLimit() {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0) {
    logEvent(Event::DescriptorLimitUnknown, {{"error", std::strerror(errno)}});
    return MinDescriptorLimit;
  }
  return static_cast<std::size_t>(Limit.rlim_cur);
}

} // namespace pollenspool
