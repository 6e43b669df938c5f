//===- DrainTracker.h - Acknowledgements of drained instances ---*- C++ -*-===//
//
// An instance is drained when every entry instance of its data centre has, in
// two rounds one after the other, acknowledged the row's epoch with nothing in
// flight. The second round covers entry instances that restart: one that starts
// after its word in the second round can learn only of rows that all the others
// had seen by the end of the first, even if it has to ask its peers because the
// platform is away.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_DRAINTRACKER_H
#define POLLENSPOOL_FLEET_DRAINTRACKER_H

#include "fleet/FleetActions.h"
#include "fleet/FleetView.h"
#include <map>

namespace pollenspool {

/// Not thread safe.
class DrainTracker {
public:
  /// \p Settings has to outlive the tracker.
  explicit DrainTracker(const FleetSettings &Settings) : m_Settings(Settings) {}

  /// Watches the drain of \p Id at \p Epoch; a new epoch starts over.
  void watch(const InstanceId &Id, std::uint64_t Epoch, const FleetView &View,
             TimePoint Now);
  void forgetAll() { m_Drains.clear(); }

  void onAck(const DrainAck &Ack);
  /// Ends rounds, asks what is due, and drops drains that are over.
  void tick(const FleetView &View, TimePoint Now,
            std::vector<FleetAction> &Out);

  bool isDrained(const InstanceId &Id) const;
  /// What the drain waits for; empty if it is drained or not watched.
  std::string waitsFor(const InstanceId &Id) const;
  /// Drains that are not complete.
  std::size_t waiting() const;

private:
  struct EntryWord {
    bool m_Settled = false;
    bool m_HasAnswered = false;
    std::uint64_t m_Epoch = 0;
    std::uint32_t m_InFlight = 0;
    TimePoint m_NextAsk;
    Duration m_Interval{0};
  };
  struct Drain {
    std::uint64_t m_Epoch = 0;
    int m_Round = 1;
    TimePoint m_RoundStart;
    /// Answers to earlier questions do not count in this round.
    std::uint64_t m_FirstAsk = 0;
    std::map<EntryId, EntryWord> m_Entries;

    bool isSettled() const;
  };

  void startRound(Drain &D, int Round, TimePoint Now);
  void settleGone(Drain &D, const FleetView &View) const;
  void ask(const InstanceId &Id, Drain &D, TimePoint Now,
           std::vector<FleetAction> &Out);
  std::vector<EntryId> entriesFor(const InstanceId &Id,
                                  const FleetView &View) const;

  const FleetSettings &m_Settings;
  std::uint64_t m_NextAsk = 1;
  std::map<InstanceId, Drain> m_Drains;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_DRAINTRACKER_H
