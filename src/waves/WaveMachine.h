//===- WaveMachine.h - Carries maintenance waves out ------------*- C++ -*-===//
//
// Each step looks at the rows and does what they lack, so that any entry
// instance can go on where another stopped. A member's way:
//
//   pending -> Draining    the budget allows it: epoch + 1, one unit spent
//   Draining -> Rebooting  drained: Away, epoch + 1; then the reboot is asked
//   Rebooting -> Done      back and healthy: Serving, epoch + 1, unit given
//   back Rebooting -> Failed    not back in time: stays Away and keeps its unit
//   Failed -> Done         recovered later, also after the wave's end
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_WAVES_WAVEMACHINE_H
#define POLLENSPOOL_WAVES_WAVEMACHINE_H

#include "fleet/FleetContext.h"
#include <map>

namespace pollenspool {

/// A wave's members by phase.
struct WaveStatus {
  WaveId m_Id;
  WaveState m_State = WaveState::Running;
  std::uint32_t m_Pending = 0;
  std::uint32_t m_Draining = 0;
  std::uint32_t m_Rebooting = 0;
  std::uint32_t m_Done = 0;
  std::uint32_t m_Failed = 0;
  /// Why a running wave takes no instance now; empty if it does or need not.
  std::string m_Waits;

  std::uint32_t held() const { return m_Draining + m_Rebooting; }
};

/// Not thread safe. Its own state is timers and health checks only, which
/// another runner starts over.
class WaveMachine {
public:
  /// Does what is due for each wave.
  void step(const FleetContext &Context);
  void onRebootReply(const InstanceId &Id, const std::string &Token,
                     bool IsAccepted, TimePoint Now);
  void onHealth(const InstanceId &Id, bool IsOk);
  /// Drops all timers, when another entry instance is the runner.
  void forgetAll() { m_Progress.clear(); }

  WaveStatus status(const FleetContext &Context, const WaveRow &Wave) const;
  /// What the instance waits for in the waves that it is a member of; empty if
  /// there are none.
  std::string explain(const FleetContext &Context, const InstanceId &Id) const;
  /// True if the wave has rows that still need a runner.
  static bool needsRunner(const FleetView &View, const WaveRow &Wave);

private:
  /// What the runner knows about one member beyond the rows.
  struct Progress {
    WaveId m_Wave;
    MemberPhase m_Phase = MemberPhase::Draining;
    TimePoint m_Since;
    std::string m_Token;
    /// When the platform accepted the reboot.
    std::optional<TimePoint> m_AcceptedAt;
    TimePoint m_NextReboot;
    TimePoint m_NextHealth;
    std::uint32_t m_Passes = 0;
    bool m_HasFailedCheck = false;
  };
  /// One pool's members whose turn is still to come, in the order of racks.
  struct PendingPool {
    PoolName m_Pool;
    std::vector<InstanceId> m_Members;
    /// Rounds of the availability budget that they need.
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
  void askReboot(const FleetContext &Context, const WaveMemberRow &Member,
                 Progress &P);
  bool isBack(const FleetContext &Context, const WaveMemberRow &Member,
              const Progress &P) const;
  bool hasReturned(const FleetContext &Context, const WaveMemberRow &Member,
                   Progress &P, Duration HealthInterval);
  void dropProgress(const WaveMemberRow &Member);
  void returnMember(const FleetContext &Context, const WaveRow &Wave,
                    const WaveMemberRow &Member);
  void failMember(const FleetContext &Context, const WaveRow &Wave,
                  WaveMemberRow Member, const std::string &Reason);

  void startMembers(const FleetContext &Context, const WaveRow &Wave);
  std::vector<PendingPool> pendingPools(const FleetContext &Context,
                                        const WaveRow &Wave) const;
  void takeMember(const FleetContext &Context, const WaveRow &Wave,
                  const InstanceId &Id);
  void failStuck(const FleetContext &Context, const WaveRow &Wave);
  void endWave(const FleetContext &Context, const WaveRow &Wave);
  void removeMemberRows(const FleetContext &Context, const WaveRow &Wave);
  std::optional<std::string> whyNotStart(const FleetContext &Context,
                                         const WaveRow &Wave,
                                         const InstanceId &Id) const;
  static WaveStatus countMembers(const FleetView &View, const WaveRow &Wave);
  std::string explainIn(const FleetContext &Context, const WaveRow &Wave,
                        const InstanceId &Id) const;
  std::string explainReboot(const FleetContext &Context,
                            const WaveMemberRow &Member) const;

  std::map<InstanceId, Progress> m_Progress;
  /// The view's change count at which a wave found nothing to take.
  std::map<WaveId, std::uint64_t> m_NothingToTakeAt;
  /// Since when a wave has had nothing but members that cannot be taken.
  std::map<WaveId, TimePoint> m_StuckSince;
};

} // namespace pollenspool

#endif // POLLENSPOOL_WAVES_WAVEMACHINE_H
