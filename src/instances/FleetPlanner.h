//===- FleetPlanner.h - Which instance goes where, and when -----*- C++ -*-===//
//
// Sizes the pools by their demand and carries maintenance waves out. A decision
// core: it reads the scheduler's books and gives orders.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_INSTANCES_FLEETPLANNER_H
#define POLLENSPOOL_INSTANCES_FLEETPLANNER_H

#include "instances/InstanceControl.h"
#include "scheduling/Scheduler.h"

namespace pollenspool {

struct FleetPlannerOptions {
  Duration m_MoveTime = std::chrono::milliseconds(1500);
  Duration m_UpkeepTime = std::chrono::seconds(2);
};

/// An order for one instance: to another pool, or for a wave's upkeep.
struct InstanceOrder {
  InstanceId m_Instance;
  /// Empty: an upkeep.
  PoolName m_To;
  WaveId m_Wave;
  /// The server that the order ends; empty if none runs there.
  ServerId m_Server{};

  bool isMove() const { return !m_To.empty(); }
};

/// What must survive a change of leader about a wave.
struct WaveProgress {
  /// Wall time at which a leader first saw the wave.
  std::chrono::milliseconds m_SeenAt{0};
  std::set<InstanceId> m_Done;
  bool m_Complete = false;
};

/// A wave as operators are shown it.
struct WaveOverview {
  WaveId m_Id;
  std::size_t m_Instances = 0;
  std::size_t m_Done = 0;
  bool m_Complete = false;
};

/// One thread.
class FleetPlanner {
public:
  /// \p Core must outlive the planner.
  static std::unique_ptr<FleetPlanner>
  create(const FleetPlannerOptions &Options, Scheduler &Core);

  /// A wave is asked for; \p Progress is what earlier leaders recorded.
  /// \p Inherited: whether an earlier leader may have ordered for it.
  void onWave(const WaveRequest &Wave, const WaveProgress &Progress,
              bool Inherited);
  bool knows(const WaveId &Id) const { return m_Waves.count(Id) != 0; }
  /// An earlier leader may have given an order for \p Id; none is given before
  /// \p Until.
  void holdBack(const InstanceId &Id, TimePoint Until) {
    m_State[Id].m_RetryAt = Until;
    m_State[Id].m_MaybeDone = true;
  }
  /// A new list was given to the scheduler; it was asked for at \p Asked.
  void onInstances(TimePoint Asked);
  /// The orders that are due now, at most \p AtOnce.
  std::vector<InstanceOrder> plan(TimePoint Now, std::chrono::milliseconds Wall,
                                  std::size_t AtOnce);
  void onOrderResult(const InstanceOrder &Order, InstanceOrderResult R,
                     TimePoint Now);
  /// Waves whose progress is not recorded yet.
  std::vector<WaveId> takeChangedWaves();
  /// Progress could not be recorded; it is given again.
  void markChanged(const WaveId &Id) { m_Changed.insert(Id); }
  const WaveProgress &progress(const WaveId &Id) const;
  std::vector<WaveOverview> waves() const;

private:
  struct WaveState {
    WaveRequest m_Request;
    WaveProgress m_Progress;
    /// Earlier leaders may have carried out more of it than they recorded.
    bool m_Inherited = false;
  };
  /// An instance as far as orders go.
  struct Instance {
    bool m_Pending = false;
    /// The last answered order; the list is believed again once it is newer.
    TimePoint m_OrderedAt{};
    bool m_Ordered = false;
    PoolName m_ExpectedPool;
    TimePoint m_BackAt{};
    /// Being emptied for a wave since.
    std::optional<TimePoint> m_EmptyingSince;
    WaveId m_Wave;
    TimePoint m_RetryAt{};
    TimePoint m_WaitNoted{};
    /// An order whose outcome is unknown may have been carried out, so the
    /// next success does not show that anything was ended by it.
    bool m_MaybeDone = false;
  };
  /// A pool as one planning pass sees it.
  struct PoolView {
    std::vector<const InstanceListing *> m_Instances;
    std::int64_t m_Wanted = 0;
    bool m_Spare = false;

    std::int64_t surplus() const {
      return static_cast<std::int64_t>(m_Instances.size()) - m_Wanted;
    }
  };
  using Pools = std::map<PoolName, PoolView>;

  FleetPlanner(const FleetPlannerOptions &Options, Scheduler &Core)
      : m_Options(Options), m_Core(Core) {}

  // Sizes of pools (FleetPlanner.cpp).
  Pools survey();
  void estimateWanted(Pools &All, TimePoint Now);
  void planMoves(Pools &All, std::vector<InstanceOrder> &Out);
  /// Calls instances of the kinds that a pool lacks altogether.
  void planMissing(Pools &All, std::vector<InstanceOrder> &Out);
  void orderMove(const InstanceListing &L, const PoolName &To, Pools &All,
                 std::vector<InstanceOrder> &Out);
  /// An instance of \p From that may be moved, and that suits \p Need if it is
  /// given; null if there is none.
  const InstanceListing *takeFree(PoolView &From, bool OnlyEmpty,
                                  const UnservedNeed *Need = nullptr);
  std::uint32_t spreadOf(const PoolName &Pool);

  // Waves (WavePlanning.cpp).
  void planWaves(Pools &All, TimePoint Now, std::chrono::milliseconds Wall,
                 std::vector<InstanceOrder> &Out);
  void planWave(WaveState &W, Pools &All, TimePoint Now,
                std::chrono::milliseconds Wall,
                std::vector<InstanceOrder> &Out);
  bool isDown(const InstanceId &Id, TimePoint Now) const;
  /// Why the upkeep of \p L cannot begin yet; empty if it can.
  std::string emptyForUpkeep(const InstanceListing &L, bool Pressed,
                             TimePoint Now);
  void noteWait(const InstanceListing &L, const std::string &Why,
                TimePoint Now);
  /// A lasting task that must not be ended now.
  struct KeptTask {
    /// Empty: there is none.
    std::string m_Why;
    /// A run that may end now, and begin elsewhere.
    std::optional<RunId> m_ToRelocate;
  };
  KeptTask keptTask(const ServerState &S);
  bool isAtWork(const RunPlace &Place, const TaskId &Task);
  void finishWave(WaveState &W);

  void index();
  const InstanceListing *listing(const InstanceId &Id) const;
  ServerState *serverOf(const InstanceListing &L);
  /// Whether the books show all that runs on \p S: a new leader's do so only
  /// once the server has answered.
  static bool isKnown(const ServerState &S);
  bool mayOrder(const InstanceListing &L, TimePoint Now) const;
  /// Whether the order's success shows that it ended its server.
  bool endsServer(const InstanceOrder &Order);
  void noteOrdered(InstanceOrder &Order);

  FleetPlannerOptions m_Options;
  Scheduler &m_Core;
  std::map<InstanceId, Instance> m_State;
  std::map<WaveId, WaveState> m_Waves;
  std::set<WaveId> m_Changed;
  /// The list and the servers by instance, made anew for each plan.
  std::map<InstanceId, const InstanceListing *> m_Listed;
  std::map<InstanceId, ServerState *> m_ServerAt;
  /// Demand of each pool in thousandths of a core, held at its recent peak.
  std::map<PoolName, double> m_HeldDemand;
  TimePoint m_HeldAt{};
  /// Orders that this plan may still give.
  std::size_t m_AtOnce = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_INSTANCES_FLEETPLANNER_H
