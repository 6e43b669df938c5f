//===- Messages.h - Inputs and orders of the scheduler ----------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_MESSAGES_H
#define POLLENSPOOL_SCHEDULING_MESSAGES_H

#include "base/Error.h"
#include "base/Time.h"
#include "jobs/JobSpec.h"
#include <map>
#include <optional>

namespace pollenspool {

/// Identifies a backend server. A restarted server keeps its ID and differs in
/// m_StartTimeMs; each such process lifetime is called an incarnation.
using ServerId = Name<struct ServerTag>;

/// The number of a leader's term, which is also the fencing token of all its
/// orders.
using Term = std::uint64_t;

/// The registration that a backend server publishes.
struct ServerRegistration {
  ServerId m_Id;
  InstanceId m_Instance;
  PoolName m_Pool;
  std::string m_Address;
  bool m_Draining = false;
  Resources m_Capacity;
  std::vector<std::string> m_Labels;
  RackName m_Rack;
  /// Start time of this incarnation, in milliseconds since the Unix epoch; 0 if
  /// unknown.
  std::int64_t m_StartTimeMs = 0;
};

/// The condition of an instance according to the platform.
enum class InstanceCondition : std::uint8_t { Up, Moving, Maintenance, Down };

/// An instance as listed by the platform.
struct InstanceListing {
  InstanceId m_Id;
  PoolName m_Pool;
  InstanceCondition m_Condition = InstanceCondition::Up;
  Resources m_Capacity;
  std::vector<std::string> m_Labels;
  RackName m_Rack;
  /// The backend server on this instance; empty if there is none.
  ServerId m_Server;
};

/// Identifies a run, which is one attempt to execute a task. Backend servers
/// know tasks only by their runs.
struct RunId {
  TaskId m_Task;
  std::uint32_t m_Number = 0;

  friend bool operator<(const RunId &A, const RunId &B) {
    const int Order = A.m_Task.m_Job.compare(B.m_Task.m_Job);
    return Order < 0 ||
           (Order == 0 && std::make_pair(A.m_Task.numbers(), A.m_Number) <
                              std::make_pair(B.m_Task.numbers(), B.m_Number));
  }
  friend bool operator==(const RunId &A, const RunId &B) {
    return A.m_Number == B.m_Number && A.m_Task == B.m_Task;
  }
};

/// The name of \p Id in logs. Thread safe.
std::string taskName(const TaskId &Id);
/// The name of \p Id in logs. Thread safe.
std::string runName(const RunId &Id);

/// ID and network address of a backend server.
struct ServerAddress {
  ServerId m_Id;
  std::string m_Address;
};

/// Starts a run on a server.
struct StartOrder {
  ServerAddress m_Server;
  RunId m_Run;
  /// The text of the job, which is handed to each of its tasks.
  std::string m_Text;
  /// Checkpoint from which the run resumes; empty if there is none.
  std::string m_Checkpoint;
  /// On the server's own clock, in milliseconds.
  std::int64_t m_LeaseUntilMs = 0;
  Term m_Term = 0;
  /// The adviser's ticket; empty if the queue needs none.
  std::string m_Ticket;
  /// When the order was issued, on the local clock.
  TimePoint m_OrderedAt{};
};

/// Stops a run, and prevents its start if the start has not arrived yet.
struct StopOrder {
  ServerAddress m_Server;
  RunId m_Run;
  Term m_Term = 0;
};

/// Polls a server: extends the lease of all its runs, acknowledges run ends,
/// and requests the lists of running and ended runs.
struct PollOrder {
  ServerAddress m_Server;
  Term m_Term = 0;
  /// On the server's own clock, in milliseconds; 0 leaves the lease unchanged.
  std::int64_t m_LeaseUntilMs = 0;
  /// The server may forget run ends up to this number.
  std::uint64_t m_AcknowledgedEndNumber = 0;
  /// How long the server may delay its answer until a run ends.
  std::chrono::milliseconds m_Wait{0};
  std::chrono::milliseconds m_Timeout{0};
};

/// Identifies one step of one occurrence of a job.
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

/// The adviser's answer. Servers without a ticket are denied.
struct AdviceReply {
  /// Tickets of the allowed servers.
  std::map<ServerId, std::string> m_Tickets;
  /// How long the tickets are valid.
  std::chrono::milliseconds m_TicketLifetime{0};
};

/// Sets the pace of a best-effort run.
struct PaceOrder {
  ServerAddress m_Server;
  RunId m_Run;
  /// In percent of full speed; 0 suspends the run.
  std::uint32_t m_Percent = 100;
  Term m_Term = 0;
};

/// The result of an order.
enum class OrderResult : std::uint8_t {
  Done,
  /// The server has seen a higher term.
  Fenced,
  /// A run of the task with the same or a higher number was stopped or has
  /// ended on the server.
  StaleRun,
  /// The lease had expired when the order arrived.
  LeaseExpiredOnArrival,
  /// The server lacks free resources for the run.
  NoCapacity,
  /// The placement ticket is missing or has expired.
  BadTicket,
  /// The server considers the order malformed.
  Invalid,
  /// The server rejects orders for the time being and has not carried out this
  /// one.
  Refusing,
  /// Another incarnation of the server answered.
  OtherIncarnation,
  /// The server did not accept a connection, so the order was not sent.
  NotSent,
  /// This process had no connection free or lacked a resource, so the order was
  /// not sent. Says nothing about the server.
  NotAttempted,
  /// No answer arrived; the order may be carried out, now or later.
  Unknown,
};

/// The name of \p R in logs. Thread safe.
std::string_view orderResultName(OrderResult R);

/// A server's answer to a start order.
struct StartReply {
  OrderResult m_Result = OrderResult::Unknown;
  /// The server's clock in milliseconds; 0 if unknown.
  std::int64_t m_ClockMs = 0;
};

/// The reason for the end of a run.
enum class EndKind : std::uint8_t {
  Done,
  Failed,
  Stopped,
  /// The server's lease expired.
  LeaseExpired,
  /// Another member of the gang ended.
  GangMemberEnded,
  /// The other members of the gang did not start in time.
  GangIncomplete,
};

/// The name of \p K in logs. Thread safe.
std::string_view endKindName(EndKind K);

/// Why a run is over although its server has not listed its end.
enum class RunLoss : std::uint8_t {
  /// The server, in the same incarnation, does not list the run.
  NotListed,
  /// The start order was not carried out.
  NotStarted,
  /// The server did not answer until its lease had expired.
  LeaseExpired,
  /// The server has ended unexpectedly.
  ServerCrashed,
  /// The server has ended as planned: it was draining, or its instance was
  /// moved or shut down.
  ServerEnded,
};

/// The name of \p L in logs. Thread safe.
std::string_view runLossName(RunLoss L);

/// The state of a run, as listed by its server.
struct RunReport {
  RunId m_Run;
  /// The latest checkpoint; empty if there is none.
  std::string m_Checkpoint;
  /// Percentage of the work done; for a long-running task, 100 means that it is
  /// serving.
  int m_Percent = 0;
  /// Measured over the last half second: the tail latency in milliseconds for a
  /// serving task, the CPU use in thousandths of a core for any other task.
  double m_LoadMeasurement = 0;
};

/// The end of a run. A server lists it until it is acknowledged.
struct EndReport {
  /// Increases by one with each run end of one incarnation of the server.
  std::uint64_t m_Number = 0;
  RunId m_Run;
  EndKind m_Kind = EndKind::Done;
  /// The last checkpoint; empty if there is none.
  std::string m_Checkpoint;
};

/// A server's answer to a poll.
struct PollReply {
  /// The server's own clock in milliseconds.
  std::int64_t m_ClockMs = 0;
  /// Start time of the incarnation that answers, in milliseconds since the Unix
  /// epoch; 0 if unknown.
  std::int64_t m_StartTimeMs = 0;
  std::vector<RunReport> m_Running;
  std::vector<EndReport> m_Ended;
  /// Whether the server may have more ends to report than it has listed, since
  /// one list holds a limited number of them. It lists the next ones once it
  /// has been told to forget these. A run that is missing from an incomplete
  /// list may have ended in any way.
  bool m_HasMoreEnds = false;
};

/// Sends the scheduler's orders. Results are reported through the scheduler's
/// on...() members, always after the call here has returned.
class SchedulerOrders {
public:
  virtual ~SchedulerOrders() = default;
  virtual void start(const StartOrder &Order) = 0;
  virtual void stop(const StopOrder &Order) = 0;
  virtual void poll(const PollOrder &Order) = 0;
  virtual void pace(const PaceOrder &Order) = 0;
  virtual void advise(const AdviceOrder &Order) = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_MESSAGES_H
