//===- WaveMachine.h - State machine of maintenance waves -------*- C++ -*-===//
//
// Each step depends on the rows, so that any entry instance can continue where
// another stopped. Phases of a member:
//
//   pending -> Draining    when the availability budget allows it; uses one
//                          unit of the budget, epoch + 1
//   Draining -> Rebooting  when the instance is drained; state Away, epoch + 1;
//                          then the platform is asked to reboot the instance
//   Rebooting -> Done      when the instance has returned and is healthy; state
//                          Serving, epoch + 1, the unit is released
//   Rebooting -> Failed    when it does not return in time; it stays Away and
//                          its unit stays in use
//   Failed -> Done         when it recovers, also after the end of the wave
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_WAVES_WAVEMACHINE_H
#define POLLENSPOOL_WAVES_WAVEMACHINE_H

#include "fleet/FleetContext.h"
#include <map>

namespace pollenspool {

/// Number of a wave's members by phase.
struct WaveStatus {
  WaveId m_Id;
  WaveState m_State = WaveState::Running;
  std::uint32_t m_Pending = 0;
  std::uint32_t m_Draining = 0;
  std::uint32_t m_Rebooting = 0;
  std::uint32_t m_Done = 0;
  std::uint32_t m_Failed = 0;
  /// Why a running wave starts no drain now; empty if it can start one or has
  /// no pending members.
  std::string m_PendingReason;

  /// Number of members that the wave holds now.
  std::uint32_t held() const { return m_Draining + m_Rebooting; }
};

/// Apart from the rows it keeps only timers and results of health checks, which
/// another runner starts again. Not thread safe.
class WaveMachine {
public:
  /// Submits the transitions and requests the calls that are due for the waves.
  void step(const FleetContext &Context);
  void onRebootReply(const InstanceId &Id, const std::string &Token,
                     bool IsAccepted, TimePoint Now);
  void onHealth(const InstanceId &Id, bool IsOk);
  /// Discards all timers and results of health checks. Called while another
  /// entry instance is the runner.
  void forgetAll() { m_Progress.clear(); }

  WaveStatus status(const FleetContext &Context, const WaveRow &Wave) const;
  /// Describes for each wave that the instance is a member of why it makes no
  /// progress; empty if there is no such wave.
  std::string explain(const FleetContext &Context, const InstanceId &Id) const;
  /// True if the wave is active or has member rows that the runner still has to
  /// process.
  static bool needsRunner(const FleetView &View, const WaveRow &Wave);

private:
  /// What the runner knows about one member in addition to the rows.
  struct Progress {
    WaveId m_Wave;
    MemberPhase m_Phase = MemberPhase::Draining;
    TimePoint m_Since;
    std::string m_Token;
    /// When the reply arrived that the platform accepted the reboot.
    std::optional<TimePoint> m_AcceptedAt;
    TimePoint m_NextReboot;
    TimePoint m_NextHealth;
    std::uint32_t m_PassedChecks = 0;
    bool m_HasFailedCheck = false;
  };
  /// The pending members of one pool, ordered by rack.
  struct PendingPool {
    PoolName m_Pool;
    std::vector<InstanceId> m_Members;
    /// Number of members divided by the pool's availability budget.
    double m_Rounds = 0;
  };

  using PhaseStep = void (WaveMachine::*)(const FleetContext &, const WaveRow &,
                                          const WaveMemberRow &);
  static const PhaseStep PhaseSteps[];

  void stepMembers(const FleetContext &Context, const WaveRow &Wave);
  void stepDraining(const FleetContext &Context, const WaveRow &Wave,
                    const WaveMemberRow &Member);
  void stepRebooting(const FleetContext &Context, const WaveRow &Wave,
                     const WaveMemberRow &Member);
  void stepDone(const FleetContext &Context, const WaveRow &Wave,
                const WaveMemberRow &Member);
  void stepFailed(const FleetContext &Context, const WaveRow &Wave,
                  const WaveMemberRow &Member);

  Progress &progressOf(const FleetContext &Context,
                       const WaveMemberRow &Member);
  void requestReboot(const FleetContext &Context, const WaveMemberRow &Member,
                     Progress &P);
  bool isListedAsReturned(const FleetContext &Context,
                          const WaveMemberRow &Member, const Progress &P) const;
  bool hasReturned(const FleetContext &Context, const WaveMemberRow &Member,
                   Progress &P, Duration HealthInterval);
  void dropProgress(const WaveMemberRow &Member);
  void returnMember(const FleetContext &Context, const WaveRow &Wave,
                    const WaveMemberRow &Member);
  void failMember(const FleetContext &Context, const WaveRow &Wave,
                  WaveMemberRow Member, const std::string &Reason);

  void startNextMember(const FleetContext &Context, const WaveRow &Wave);
  std::vector<PendingPool> pendingPools(const FleetContext &Context,
                                        const WaveRow &Wave) const;
  void drainMember(const FleetContext &Context, const WaveRow &Wave,
                   const InstanceId &Id);
  void failBlockedMembers(const FleetContext &Context, const WaveRow &Wave);
  void endWave(const FleetContext &Context, const WaveRow &Wave);
  void removeMemberRows(const FleetContext &Context, const WaveRow &Wave);
  std::optional<std::string> startBlockReason(const FleetContext &Context,
                                              const WaveRow &Wave,
                                              const InstanceId &Id) const;
  static WaveStatus countMembers(const FleetView &View, const WaveRow &Wave);
  std::string explainInWave(const FleetContext &Context, const WaveRow &Wave,
                            const InstanceId &Id) const;
  std::string explainReboot(const FleetContext &Context,
                            const WaveMemberRow &Member) const;

  std::map<InstanceId, Progress> m_Progress;
  /// The view's change count at which no member of a wave could be drained.
  std::map<WaveId, std::uint64_t> m_NoCandidateAt;
  /// Since when all pending members of a wave have been blocked.
  std::map<WaveId, TimePoint> m_BlockedSince;
};

} // namespace pollenspool

#endif // POLLENSPOOL_WAVES_WAVEMACHINE_H
