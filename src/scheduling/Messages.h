//===- Messages.h - What the scheduler is told and what it orders *- C++
//-*-===//

#ifndef POLLENSPOOL_SCHEDULING_MESSAGES_H
#define POLLENSPOOL_SCHEDULING_MESSAGES_H

#include "base/Error.h"
#include "base/Time.h"
#include "jobs/JobSpec.h"
#include <map>
#include <optional>

namespace pollenspool {

/// One life of a backend server; a restarted one under the same ID differs in
/// m_BornMs.
using ServerId = Name<struct ServerTag>;

/// The number of a leader's term; also the fence of all its orders.
using Term = std::uint64_t;

/// What a backend server says of itself where all can read it.
struct ServerRegistration {
  ServerId m_Id;
  InstanceId m_Instance;
  PoolName m_Pool;
  std::string m_Address;
  bool m_Draining = false;
  Resources m_Capacity;
  std::vector<std::string> m_Labels;
  RackName m_Rack;
  /// Start of this life, in milliseconds since the Unix epoch; 0: not told.
  std::int64_t m_BornMs = 0;
};

enum class InstanceCondition : std::uint8_t { Up, Moving, Upkeep, Down };

/// An instance as the platform lists it.
struct InstanceListing {
  InstanceId m_Id;
  PoolName m_Pool;
  InstanceCondition m_Condition = InstanceCondition::Up;
  Resources m_Capacity;
  std::vector<std::string> m_Labels;
  RackName m_Rack;
  /// The backend server that runs there; empty if none does.
  ServerId m_Server;
};

/// A run of a task: the unit that backend servers know.
struct RunId {
  TaskId m_Task;
  std::uint32_t m_Number = 0;

  friend bool operator<(const RunId &A, const RunId &B) {
    return std::tie(A.m_Task, A.m_Number) < std::tie(B.m_Task, B.m_Number);
  }
  friend bool operator==(const RunId &A, const RunId &B) {
    return A.m_Task == B.m_Task && A.m_Number == B.m_Number;
  }
};

/// A backend server as orders address it.
struct ServerAddress {
  ServerId m_Id;
  std::string m_Address;
};

struct StartOrder {
  ServerAddress m_Server;
  RunId m_Run;
  std::string m_Text;
  std::string m_Saved;
  /// On the server's own clock, in milliseconds.
  std::int64_t m_LeaseUntilMs = 0;
  Term m_Term = 0;
  std::string m_Ticket;
  /// On our clock.
  TimePoint m_OrderedAt{};
};

struct StopOrder {
  ServerAddress m_Server;
  RunId m_Run;
  Term m_Term = 0;
};

/// Extends the lease of all runs of one server, acknowledges its ends and asks
/// for its lists.
struct LookOrder {
  ServerAddress m_Server;
  Term m_Term = 0;
  /// On the server's own clock; 0: the lease is left as it is.
  std::int64_t m_LeaseUntilMs = 0;
  /// Ends up to this number may be forgotten.
  std::uint64_t m_EndsRecorded = 0;
  /// How long the server may wait for an end.
  std::chrono::milliseconds m_Wait{0};
  std::chrono::milliseconds m_Timeout{0};
};

/// One step of one occurrence of a job.
struct StepId {
  JobId m_Job;
  std::uint32_t m_Occurrence = 0;
  std::uint32_t m_Step = 0;

  friend bool operator<(const StepId &A, const StepId &B) {
    return std::tie(A.m_Job, A.m_Occurrence, A.m_Step) <
           std::tie(B.m_Job, B.m_Occurrence, B.m_Step);
  }
};

/// Asks the adviser which of these servers may run a step.
struct AdviceOrder {
  StepId m_Step;
  std::vector<ServerId> m_Servers;
  Duration m_Timeout{0};
};

struct AdviceReply {
  /// Tickets of the servers that may.
  std::map<ServerId, std::string> m_Tickets;
  /// How long the tickets are good.
  std::chrono::milliseconds m_Valid{0};
};

struct PaceOrder {
  ServerAddress m_Server;
  RunId m_Run;
  std::uint32_t m_Percent = 100;
  Term m_Term = 0;
};

/// How a server took an order.
enum class OrderResult : std::uint8_t {
  Done,
  /// The server has seen a higher term.
  Fenced,
  /// A run at least as high was stopped or has ended there.
  StaleRun,
  /// The lease had run out on arrival.
  Late,
  NoRoom,
  /// The placement ticket is missing or has run out.
  BadTicket,
  Invalid,
  /// The server refuses for now and has done nothing.
  Refusing,
  /// Another life of the server answered.
  OtherLife,
  /// Nothing was sent.
  NotSent,
  /// No answer; the order may be carried out, now or later.
  Unknown,
};

std::string_view orderResultName(OrderResult R);

/// A server's answer to a start.
struct StartReply {
  OrderResult m_Result = OrderResult::Unknown;
  /// The server's clock in milliseconds; 0: not told.
  std::int64_t m_ClockMs = 0;
};

/// Why a run is over.
enum class EndKind : std::uint8_t {
  Done,
  Failed,
  Stopped,
  Lapsed,
  /// Another member of the gang ended.
  Broken,
  /// The other members of the gang did not come in time.
  Alone,
};

std::string_view endKindName(EndKind K);

struct RunReport {
  RunId m_Run;
  std::string m_Saved;
  /// Share of the work done; for a lasting task 100 means at work.
  int m_Percent = 0;
  /// Over the last half second: a serving task's tail in milliseconds, any
  /// other task's cores in thousandths.
  double m_Measure = 0;
};

struct EndReport {
  /// Rises by one with each end of one life of the server.
  std::uint64_t m_Number = 0;
  RunId m_Run;
  EndKind m_Kind = EndKind::Done;
  std::string m_Saved;
};

struct LookReply {
  std::int64_t m_ClockMs = 0;
  std::int64_t m_BornMs = 0;
  std::vector<RunReport> m_Running;
  std::vector<EndReport> m_Ended;
};

/// Carries the scheduler's orders out. Results come back by the scheduler's
/// on...() members, never before the call here has returned.
class SchedulerOrders {
public:
  virtual ~SchedulerOrders() = default;
  virtual void start(const StartOrder &Order) = 0;
  virtual void stop(const StopOrder &Order) = 0;
  virtual void look(const LookOrder &Order) = 0;
  virtual void pace(const PaceOrder &Order) = 0;
  virtual void advise(const AdviceOrder &Order) = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_MESSAGES_H
