//===- DrainTracker.h - Acknowledgements of drained instances ---*- C++ -*-===//
//
// An instance is drained when every entry instance of its data centre has, in
// two consecutive rounds, acknowledged the row's epoch with no request in
// flight. The second round covers restarts: an entry instance that restarts
// after its acknowledgement of the second round can load only rows that all
// other entry instances had seen by the end of the first round, even if it
// copies them from its peers because the platform is unreachable.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_DRAINTRACKER_H
#define POLLENSPOOL_FLEET_DRAINTRACKER_H

#include "fleet/FleetActions.h"
#include "fleet/FleetView.h"
#include <map>

namespace pollenspool {

/// Collects the acknowledgements for each draining instance. Not thread safe.
class DrainTracker {
public:
  /// \p Settings must outlive the tracker.
  explicit DrainTracker(const FleetSettings &Settings) : m_Settings(Settings) {}

  /// Tracks the drain of \p Id at \p Epoch. A call with another epoch discards
  /// the acknowledgements and starts with the first round.
  void watch(const InstanceId &Id, std::uint64_t Epoch, const FleetView &View,
             TimePoint Now);
  /// Discards all drains and their acknowledgements.
  void forgetAll() { m_Drains.clear(); }

  void onAck(const DrainAck &Ack);
  /// Completes rounds, sends the status queries that are due, and removes
  /// drains whose instance row has another epoch or was deleted.
  void tick(const FleetView &View, TimePoint Now,
            std::vector<FleetAction> &Actions);

  bool isDrained(const InstanceId &Id) const;
  /// Why the drain of \p Id is not complete; empty if it is complete or not
  /// tracked.
  std::string pendingReason(const InstanceId &Id) const;
  /// Number of drains that are not complete.
  std::size_t pendingCount() const;

private:
  /// The state of one entry instance in the current round.
  struct EntryState {
    bool m_HasConfirmed = false;
    bool m_HasAnswered = false;
    std::uint64_t m_Epoch = 0;
    std::uint32_t m_InFlight = 0;
    TimePoint m_NextQueryTime;
    Duration m_Interval{0};
  };
  struct Drain {
    std::uint64_t m_Epoch = 0;
    int m_Round = 1;
    TimePoint m_RoundStart;
    /// Answers to queries with a lower number belong to an earlier round and
    /// are ignored.
    std::uint64_t m_FirstQueryNumber = 0;
    std::map<EntryId, EntryState> m_Entries;

    bool haveAllConfirmed() const;
  };

  void startRound(Drain &D, int Round, TimePoint Now);
  void confirmGoneEntries(Drain &D, const FleetView &View) const;
  void sendQueries(const InstanceId &Id, Drain &D, TimePoint Now,
                   std::vector<FleetAction> &Actions);
  std::vector<EntryId> entriesFor(const InstanceId &Id,
                                  const FleetView &View) const;

  const FleetSettings &m_Settings;
  std::uint64_t m_NextQueryNumber = 1;
  std::map<InstanceId, Drain> m_Drains;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_DRAINTRACKER_H
