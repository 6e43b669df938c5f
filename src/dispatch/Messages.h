//===- Messages.h - Actions and statistics of the dispatcher ----*- C++ -*-===//
//
// Actions that the I/O driver carries out for the dispatcher, and the
// statistics of the dispatcher.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DISPATCH_MESSAGES_H
#define POLLENSPOOL_DISPATCH_MESSAGES_H

#include "admission/Ticket.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "request/Request.h"
#include <array>
#include <cstdint>
#include <string>

namespace pollenspool {

enum class ActionKind : std::uint8_t {
  /// Claim the request ID and report claimGranted() or claimDenied().
  Claim,
  /// Open a connection to m_Address, send the request once and report
  /// finishTry().
  StartTry,
  /// Send the request to an entry instance of m_DataCentre and report
  /// finishForward().
  Forward,
  /// Close the connection of the try or forward m_Try. No report is needed.
  AbortTry,
  /// Send m_Outcome to the caller. This is the last action of its ticket.
  Finish,
};

/// An action for the I/O driver. Members that its kind does not use are empty.
struct Action {
  ActionKind m_Kind = ActionKind::Finish;
  Ticket m_Ticket = 0;
  InstanceId m_Instance;
  std::string m_Address;
  DataCentreName m_DataCentre;
  /// Time left until the deadline.
  Duration m_Remaining{0};
  Outcome m_Outcome;
  /// Number of the try or forward within its ticket, counted from 1.
  std::uint32_t m_Try = 0;
};

/// Result of a forward. After NotRun the request may be tried elsewhere.
struct ForwardResult {
  std::uint32_t m_Try = 0;
  Outcome m_Outcome;
};

/// Settings of a dispatcher. They do not change during its lifetime.
struct DispatcherSettings {
  /// The data centre of this entry instance.
  DataCentreName m_DataCentre;
  /// Number of entry instances in the own data centre, this one included.
  std::uint32_t m_EntryInstances = 1;
  /// Seed of the random number generator.
  std::uint64_t m_Seed = 1;
  /// Name of a strategy from routingStrategies(), or empty for the default.
  std::string m_Strategy;
};

/// Counters since the start of the process and current gauges.
struct DispatcherStats {
  using ByReason = std::array<std::uint64_t, ReasonCount>;
  using ByClass = std::array<std::uint64_t, UrgencyClassCount>;

  /// Requests that finished without an answer, by reason.
  ByReason m_NotRun{};
  ByReason m_Unknown{};
  /// Retries by the reason of the try before them.
  ByReason m_Retries{};
  ByClass m_Submitted{};
  ByClass m_Answered{};
  ByClass m_Refused{};
  std::uint64_t m_Tries = 0;
  std::uint64_t m_Forwards = 0;
  /// Results of tries or forwards that had already ended or been aborted.
  std::uint64_t m_LateResults = 0;
  std::uint64_t m_Ejections = 0;
  std::uint64_t m_Probes = 0;

  ByClass m_Queued{};
  std::uint64_t m_InFlight = 0;
  std::uint64_t m_Ejected = 0;
  /// Requests that have not finished.
  std::uint64_t m_Open = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DISPATCH_MESSAGES_H
