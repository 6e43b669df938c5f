//===- ServerRegistry.h - Backend servers and what runs on them -----*- C++
//-*-===//

#ifndef POLLENSPOOL_SCHEDULING_SERVERREGISTRY_H
#define POLLENSPOOL_SCHEDULING_SERVERREGISTRY_H

#include "scheduling/Messages.h"
#include <deque>
#include <map>

namespace pollenspool {

enum class RunPhase : std::uint8_t {
  /// Ordered, not yet answered.
  Starting,
  Running,
  /// The order was not answered; it may be carried out now or later.
  Doubtful,
  /// Ordered to stop.
  Stopping,
};

/// A run that a server has, may have or may yet get.
struct ActiveRun {
  RunPhase m_Phase = RunPhase::Starting;
  /// What it takes of the server's room.
  Resources m_Charge;
  bool m_Lasting = false;
  bool m_Fills = false;
  /// When the server's answer to the last order arrived; a look sent later has
  /// to show the run.
  TimePoint m_ConfirmedAt = TimePoint::max();
  bool m_StopPending = false;
  /// Its first report, its newest, and when that last changed.
  TimePoint m_WatchedSince = TimePoint::max();
  int m_FirstPercent = 0;
  int m_Percent = 0;
  TimePoint m_PercentAt{};
  std::string m_Saved;
  /// \see RunReport::m_Measure.
  double m_Measure = 0;
  /// Bound on the tail of a serving task, in milliseconds; 0: none.
  double m_TailTarget = 0;
  /// Share of its pace that a filling task was last given.
  std::uint32_t m_Pace = 100;
  TimePoint m_PacedAt{};
};

/// An end that its server must not forget yet.
struct UnrecordedEnd {
  std::uint64_t m_Number = 0;
  /// The job, and the change of it that records the end.
  JobId m_Job;
  std::uint64_t m_Change = 0;
};

/// One life of a backend server, as this term knows it.
struct ServerState {
  ServerRegistration m_Registration;
  bool m_Registered = true;
  TimePoint m_UnregisteredAt{};
  /// It has answered this term, so it refuses orders of earlier ones.
  bool m_Vetted = false;
  bool m_Reachable = true;
  std::uint32_t m_FailedLooks = 0;

  bool m_ClockKnown = false;
  std::int64_t m_ClockMs = 0;
  TimePoint m_ClockAt{};
  /// By then every lease that was granted has run out.
  TimePoint m_LeasesEnd{};

  bool m_LookPending = false;
  TimePoint m_LookSentAt{};
  TimePoint m_NextLook{};

  std::uint64_t m_EndsSeen = 0;
  /// Ends that are not yet recorded, in their order.
  std::deque<UnrecordedEnd> m_Unrecorded;
  std::uint64_t m_EndsRecorded = 0;
  std::uint64_t m_EndsAcknowledged = 0;

  Resources m_Used;
  std::map<RunId, ActiveRun> m_Runs;

  /// Failed runs since the last that was done.
  std::uint32_t m_FailuresInRow = 0;
  TimePoint m_SuspendedUntil{};
  /// Its tasks stood still or failed: it gets one task at a time until one has
  /// ended well.
  bool m_OnProbation = false;
  /// About to be moved or taken down for upkeep: nothing new is started.
  bool m_Reserved = false;

  ServerAddress address() const {
    return {m_Registration.m_Id, m_Registration.m_Address};
  }
  Resources room() const {
    Resources R = m_Registration.m_Capacity;
    R -= m_Used;
    return R;
  }
  /// Whether anything runs here that ends by itself.
  bool hasPassingRuns() const;
  /// The server's clock, at the least, at \p Now.
  std::int64_t clockAtLeast(TimePoint Now) const;
};

/// Whether \p Labels hold \p Required; an empty one is always held.
bool hasLabel(const std::vector<std::string> &Labels,
              const std::string &Required);

/// How long an unregistered server counts as present: entries that lapsed with
/// the store are back within two seconds of its return.
constexpr Duration RegistrationGrace = std::chrono::seconds(2);

/// Slowest rate of a backend server's clock against ours (2% slow, by the
/// platform's promise).
constexpr double SlowestServerClock = 0.98;

/// The servers of this term, by ID. One thread.
class ServerRegistry {
public:
  ServerState *find(const ServerId &Id);
  const ServerState *find(const ServerId &Id) const;
  std::map<ServerId, ServerState> &all() { return m_Servers; }
  const std::map<ServerId, ServerState> &all() const { return m_Servers; }
  ServerState &upsert(const ServerRegistration &R);
  void erase(const ServerId &Id) { m_Servers.erase(Id); }

  /// Notes that \p S was promised a lease of \p Length from \p Now on.
  static void noteLease(ServerState &S, TimePoint Now, Duration Length);
  static ActiveRun &addRun(ServerState &S, const RunId &Id, ActiveRun Run);
  static void removeRun(ServerState &S, const RunId &Id);

private:
  std::map<ServerId, ServerState> m_Servers;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_SERVERREGISTRY_H
