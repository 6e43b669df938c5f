//===- Messages.h - Actions and statistics of the dispatcher ----*- C++ -*-===//
//
// What the dispatcher asks of the shell, and the counters that it keeps.
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
  /// Claim the request's ID; report claimGranted or claimDenied.
  Claim,
  /// Open one connection to m_Address, send once, report finishTry.
  StartTry,
  /// Send the request to an entry instance of m_DataCentre; report
  /// finishForward.
  Forward,
  /// Close the connection of the try or forward m_Try; it needs no report.
  AbortTry,
  /// Give the caller m_Outcome. The last action of its ticket.
  Finish,
};

/// One thing for the shell to do. Members that a kind does not name are empty.
struct Action {
  ActionKind m_Kind = ActionKind::Finish;
  Ticket m_Ticket = 0;
  InstanceId m_Instance;
  std::string m_Address;
  DataCentreName m_DataCentre;
  /// What is left of the deadline.
  Duration m_Remaining{0};
  Outcome m_Outcome;
  /// Counts the tries and forwards of a ticket from 1.
  std::uint32_t m_Try = 0;
};

/// What came of a forward. NotRun lets the ticket be tried elsewhere.
struct ForwardResult {
  std::uint32_t m_Try = 0;
  Outcome m_Outcome;
};

/// Settings of one dispatcher, fixed for its lifetime.
struct DispatcherSettings {
  /// The data centre of this entry instance.
  DataCentreName m_DataCentre;
  /// Entry instances in the own data centre, this one included.
  std::uint32_t m_EntryInstances = 1;
  /// Seed of the dispatcher's random numbers.
  std::uint64_t m_Seed = 1;
  /// A name of routingStrategies(); empty for the default.
  std::string m_Strategy;
};

/// Counters since the start and gauges of the moment.
struct DispatcherStats {
  using ByReason = std::array<std::uint64_t, ReasonCount>;
  using ByClass = std::array<std::uint64_t, UrgencyClassCount>;

  /// Finished without an answer, by reason.
  ByReason m_NotRun{};
  ByReason m_Unknown{};
  /// Retries by the reason of the try before.
  ByReason m_Retries{};
  ByClass m_Submitted{};
  ByClass m_Answered{};
  ByClass m_Refused{};
  std::uint64_t m_Tries = 0;
  std::uint64_t m_Forwards = 0;
  /// Reports of tries that had been given up on, or came twice.
  std::uint64_t m_LateResults = 0;
  std::uint64_t m_Ejections = 0;
  std::uint64_t m_Probes = 0;

  ByClass m_Queued{};
  std::uint64_t m_InFlight = 0;
  std::uint64_t m_Ejected = 0;
  /// Requests that are not finished.
  std::uint64_t m_Open = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DISPATCH_MESSAGES_H
