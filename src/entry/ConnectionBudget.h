//===- ConnectionBudget.h - Shares of the descriptor limit ------*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_CONNECTIONBUDGET_H
#define POLLENSPOOL_ENTRY_CONNECTIONBUDGET_H

#include "net/ConnectionSlots.h"

namespace pollenspool {

/// How a process divides its file descriptors. Calls to the platform have a
/// share of their own, so that a leader with thousands of calls to backend
/// servers still reaches the store.
struct ConnectionBudget {
  ConnectionLimits m_Platform;
  ConnectionLimits m_Backends;
  /// Connections that the servers for callers, readiness checks and operators
  /// accept.
  std::size_t m_Callers = 0;
  std::size_t m_Readiness = 0;
  std::size_t m_Operators = 0;
};

/// Divides \p DescriptorLimit descriptors. A quarter is for callers. Thread
/// safe.
ConnectionBudget divideDescriptors(std::size_t DescriptorLimit);

/// The number of descriptors that this process may have open; the smallest
/// supported number if the system does not tell. Thread safe.
std::size_t descriptorLimit();

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_CONNECTIONBUDGET_H
