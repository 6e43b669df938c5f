//===- FleetPlanner.h - Pool sizing and maintenance waves -------*- C++ -*-===//
//
// Sizes the pools by their demand and carries out maintenance waves. Does no
// I/O: it reads the scheduler's state and returns orders.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_INSTANCES_FLEETPLANNER_H
#define POLLENSPOOL_INSTANCES_FLEETPLANNER_H

#include "instances/InstanceControl.h"
#include "scheduling/Scheduler.h"
#include <array>
#include <string_view>
#include <unordered_map>

namespace pollenspool {

/// Expected durations, used to plan further orders.
struct FleetPlannerOptions {
  Duration m_MoveTime = std::chrono::milliseconds(1500);
  Duration m_MaintenanceTime = std::chrono::seconds(2);
};

/// An order for one instance: a move to another pool, or maintenance in a wave.
struct InstanceOrder {
  InstanceId m_Instance;
  /// Target pool of a move; empty for maintenance.
  PoolName m_To;
  WaveId m_Wave;
  /// The backend server that the order shuts down; empty if none runs there.
  ServerId m_Server{};

  bool isMove() const { return !m_To.empty(); }
};

/// Progress of a wave that is stored so that the next leader can continue it.
struct WaveProgress {
  /// Wall time since the epoch at which a leader first saw the wave.
  std::chrono::milliseconds m_SeenAt{0};
  std::set<InstanceId> m_Done;
  bool m_Complete = false;
};

/// Summary of a wave for the operators' status page.
struct WaveOverview {
  WaveId m_Id;
  std::size_t m_Instances = 0;
  std::size_t m_Done = 0;
  bool m_Complete = false;
};

/// Totals of one planner since it was created.
struct PlannerCounters {
  /// Instances examined, counted once for each examination.
  std::uint64_t m_InstancesExamined = 0;
  /// Entries added to the indexes of the instances and their servers.
  std::uint64_t m_IndexEntries = 0;
};

/// Number of kinds of resources.
inline constexpr std::size_t ResourceKinds = 3;
/// Demand by resource: thousandths of a core, MB of memory, GPUs.
using PeakDemand = std::array<double, ResourceKinds>;

/// Decides which instances move between pools and when instances of a wave go
/// into maintenance. Not thread safe.
class FleetPlanner {
public:
  /// \p Sched must outlive the planner.
  static std::unique_ptr<FleetPlanner>
  create(const FleetPlannerOptions &Options, Scheduler &Sched);

  /// Adds a requested wave. \p Progress is what earlier leaders recorded.
  /// \p Inherited tells whether an earlier leader may have sent orders for it.
  void onWave(const WaveRequest &Wave, const WaveProgress &Progress,
              bool Inherited);
  bool hasWave(const WaveId &Id) const { return m_Waves.count(Id) != 0; }
  /// The operators have replaced the request of a known wave. What is done
  /// stays done.
  void onWaveRewritten(const WaveRequest &Wave);
  /// Plans no order for \p Id before \p Until, because an earlier leader may
  /// have sent one.
  void deferOrders(const InstanceId &Id, TimePoint Until) {
    m_State[Id].m_RetryAt = Until;
    m_State[Id].m_MayHaveExecuted = true;
  }
  /// To be called after the scheduler got a new instance list, which was
  /// requested at \p Asked.
  void onInstances(TimePoint Asked);
  /// Returns the orders that are due now, at most \p MaxOrders. \p Wall is the
  /// wall time since the epoch. Each order counts as pending until its result
  /// is given to onOrderResult().
  std::vector<InstanceOrder> plan(TimePoint Now, std::chrono::milliseconds Wall,
                                  std::size_t MaxOrders);
  void onOrderResult(const InstanceOrder &Order, InstanceOrderResult R,
                     TimePoint Now);
  /// Returns at most \p Max of the waves whose progress has changed since they
  /// were last returned.
  std::vector<WaveId> takeChangedWaves(std::size_t Max);
  /// Returns \p Id from the next takeChangedWaves() again, because its progress
  /// could not be stored.
  void markChanged(const WaveId &Id) { m_ChangedWaves.insert(Id); }
  /// \p Id must have been added with onWave().
  const WaveProgress &progress(const WaveId &Id) const;
  std::vector<WaveOverview> waves() const;
  /// Why the server \p Id is kept from taking tasks; empty if the planner does
  /// not do so. Valid after a plan, until the next event.
  std::string_view reservationReason(const ServerId &Id) const;
  const PlannerCounters &counters() const { return m_Counters; }

private:
  struct WaveState {
    WaveRequest m_Request;
    WaveProgress m_Progress;
    /// Whether earlier leaders may have carried out more of the wave than they
    /// recorded.
    bool m_Inherited = false;
    /// When the platform first said that an instance is not part of the wave.
    std::map<InstanceId, TimePoint> m_RejectedSince;
  };
  /// State of the orders for one instance.
  struct Instance {
    bool m_Pending = false;
    /// Time of the last answered order. Only an instance list that was
    /// requested later shows its effect.
    TimePoint m_OrderedAt{};
    bool m_Ordered = false;
    PoolName m_ExpectedPool;
    TimePoint m_ExpectedUpAt{};
    /// When the instance began to drain for a wave.
    std::optional<TimePoint> m_DrainingSince;
    /// The wave and the server of that drain.
    WaveId m_DrainingFor;
    ServerId m_DrainingServer;
    WaveId m_Wave;
    TimePoint m_RetryAt{};
    TimePoint m_WaitLoggedAt{};
    /// When the first of the latest instance lists without the instance was
    /// requested. Empty if the latest list has it.
    std::optional<TimePoint> m_UnlistedSince;
    /// Whether an earlier order may have been carried out unnoticed. A later
    /// success then does not show that the later order shut anything down.
    bool m_MayHaveExecuted = false;
  };
  /// An instance of the latest list.
  struct InstanceView {
    const InstanceListing *m_Listing = nullptr;
    /// Null if no server of the instance is registered.
    ServerState *m_Server = nullptr;
    Instance *m_State = nullptr;
  };
  /// A server that is kept from taking tasks while there is a reason for it.
  struct Reservation {
    InstanceId m_Instance;
    /// ServerState::m_IndexNumber and ServerState::m_Incarnation.
    std::uint64_t m_Number = 0;
    std::uint64_t m_Incarnation = 0;
    /// Whether an order for the instance may have shut the server down.
    bool m_IsOrdered = false;
  };
  /// A pool during one planning pass.
  struct PoolView {
    /// Those that count as capacity.
    std::vector<const InstanceView *> m_Instances;
    /// The most of each resource that an instance of the pool has.
    Resources m_LargestCapacity{1, 0, 0};
    /// The instances before this index are not movable in this pass.
    std::size_t m_NextCandidate = 0;
    std::int64_t m_TargetSize = 0;
    /// The target size is not lowered below this.
    std::int64_t m_MinSize = 0;
    PoolDemand m_Demand;
    /// Instances whose servers have arrived and take tasks.
    std::int64_t m_Arrived = 0;
    bool m_Spare = false;

    std::int64_t surplus() const {
      return static_cast<std::int64_t>(m_Instances.size()) - m_TargetSize;
    }
    /// Whether an instance may leave. Those on their way do not count yet.
    bool canGive() const { return surplus() > 0 && m_Arrived > m_TargetSize; }
  };
  using Pools = std::map<PoolName, PoolView>;

  FleetPlanner(const FleetPlannerOptions &Options, Scheduler &Sched)
      : m_Options(Options), m_Scheduler(Sched) {}

  // Pool sizing (FleetPlanner.cpp).
  Pools collectPools();
  /// Whether no task can start on \p V although the platform lists it as up:
  /// its server has not answered for long, and its runs are over. An
  /// instance with an order under way counts where it is ordered to.
  static bool isOutOfReach(const InstanceView &V);
  /// Ends the orders whose effect an instance list requested at \p Asked shows.
  void endOrders(TimePoint Asked);
  void updateTargetSizes(Pools &All, TimePoint Now);
  /// Lowers target sizes to max-min fair shares if there are too few instances
  /// for all pools, so that the backlog of one pool does not starve the others.
  static void shareInstances(Pools &All);
  void planMoves(Pools &All, std::vector<InstanceOrder> &Out);
  /// Whether the server of \p V has arrived in \p Pool and is to stay.
  static bool hasArrived(const PoolName &Pool, const InstanceView &V);
  /// Whether \p V has arrived in \p Pool, its runs are known, and no order or
  /// wave affects it.
  bool hasArrivedUnaffected(const PoolName &Pool, const InstanceView &V);
  /// Logs the sizes of all pools, at most once per second, while some pool has
  /// fewer instances than its target size.
  void logShortage(const Pools &All, TimePoint Now);
  /// Moves an instance into each pool where no instance satisfies the
  /// requirements of a task.
  void planUnschedulableTasks(Pools &All, std::vector<InstanceOrder> &Out);
  void orderMove(const InstanceView &V, const PoolName &To, Pools &All,
                 std::vector<InstanceOrder> &Out);
  /// Whether \p V may be moved. With \p OnlyEmpty it must run no tasks.
  bool isMovable(const InstanceView &V, bool OnlyEmpty);
  /// Removes an instance that may be moved from \p From and returns it; null if
  /// there is none. Continues the search of the previous call for \p From,
  /// which must have had the same \p OnlyEmpty.
  const InstanceView *takeMovable(PoolView &From, bool OnlyEmpty);
  /// The same for an instance that satisfies \p Need. Searches all of \p From.
  const InstanceView *takeSuitable(PoolView &From, bool OnlyEmpty,
                                   const UnschedulableTask &Need);

  // Waves (WavePlanning.cpp).
  void planWaves(Pools &All, TimePoint Now, std::chrono::milliseconds Wall,
                 std::vector<InstanceOrder> &Out);
  void planWave(WaveState &W, Pools &All, TimePoint Now,
                std::chrono::milliseconds Wall,
                std::vector<InstanceOrder> &Out);
  bool isDown(const InstanceId &Id, TimePoint Now) const;
  void onNotInWave(WaveState &W, const InstanceId &Id, TimePoint Now);
  /// Whether the platform has no instance \p Id any more.
  bool hasLeft(const InstanceId &Id) const;
  /// Drains \p V for \p Wave. Returns why its maintenance cannot begin yet;
  /// empty if it can.
  std::string drainForMaintenance(const InstanceView &V, const WaveId &Wave,
                                  bool IsUrgent, TimePoint Now);
  void logWait(const InstanceView &V, const std::string &Why, TimePoint Now);
  /// A long-running task that must not be stopped now.
  struct BlockingTask {
    /// The reason, for the log; empty if no task blocks the maintenance.
    std::string m_Why;
    /// A run that may be stopped now and started on another server.
    std::optional<RunId> m_ToRelocate;
  };
  BlockingTask findBlockingTask(const ServerState &S);
  bool isAvailable(const RunLocation &Place, const TaskId &Task);
  void finishWave(WaveState &W);
  /// Continues a wave that was complete if instances of it are not done.
  void reopenIfUndone(WaveState &W);

  // Servers kept from taking tasks (Reservations.cpp).
  /// Frees instances of pools that are too large while others are too small:
  /// they get no new tasks, so that they can move once their tasks have ended.
  void freeSurplus(Pools &All);
  /// The instances of \p P that may be freed: first those in \p FreedBefore,
  /// then those with the fewest runs.
  std::vector<const InstanceView *>
  freeableInstances(const PoolName &Name, const PoolView &P,
                    const std::set<InstanceId> &FreedBefore);
  /// Whether hasArrivedUnaffected() holds for \p V and it only has runs that
  /// end by themselves.
  bool isFreeable(const PoolName &Pool, const InstanceView &V);
  /// Keeps the server of \p V from taking tasks.
  Reservation &reserve(const InstanceView &V);
  static bool isSameIncarnation(const Reservation &R, const ServerState &S);
  /// Whether the wave for which \p Id drains still waits for its maintenance.
  bool isDrainWanted(const InstanceId &Id, const Instance &I) const;
  /// Why \p S is kept from taking tasks; empty if there is no reason any more.
  std::string_view reasonFor(const Reservation &R, const ServerState &S) const;
  /// Returns whether there still is a reason for \p R, the reservation of \p
  /// Id. If there is none, the server may take tasks.
  bool refresh(const ServerId &Id, Reservation &R);
  /// Ends the reservations for which there is no reason any more.
  void updateReservation(const ServerId &Id);
  void updateReservations();

  /// Brings the index up to date with the instance list and the servers, if
  /// they have changed since the last call.
  void updateIndex();
  void indexInstances();
  void indexServers();
  /// Returns null if \p Id is not listed.
  const InstanceView *view(const InstanceId &Id) const;
  /// Whether the scheduler knows all runs on \p S. After a change of leader it
  /// does so only once the server has answered.
  static bool hasKnownRuns(const ServerState &S);
  static bool canOrder(const InstanceView &V, TimePoint Now);
  /// Whether the success of \p Order proves that it shut down its server.
  bool provesServerShutdown(const InstanceOrder &Order);
  void markOrdered(InstanceOrder &Order);

  FleetPlannerOptions m_Options;
  Scheduler &m_Scheduler;
  std::map<InstanceId, Instance> m_State;
  std::map<WaveId, WaveState> m_Waves;
  std::set<WaveId> m_ChangedWaves;
  /// Instances whose servers get no new tasks, because another pool needs them.
  std::set<InstanceId> m_Freed;
  std::map<ServerId, Reservation> m_Reservations;
  /// The index of the instances and their servers; see updateIndex().
  std::vector<InstanceView> m_Views;
  std::unordered_map<InstanceId, const InstanceView *> m_ViewById;
  std::unordered_map<InstanceId, ServerState *> m_ServerByInstance;
  bool m_ListChanged = true;
  /// ServerRegistry::registrationChanges() when the servers were indexed.
  std::uint64_t m_IndexedChanges = 0;
  /// Recent peak demand of each pool. Decays with DemandHalfLife.
  std::map<PoolName, PeakDemand> m_PeakDemand;
  /// Time of the latest plan.
  TimePoint m_PlannedAt{};
  TimePoint m_NextShortageLog{};
  /// When the latest instance list was requested.
  TimePoint m_ListRequestedAt{};
  /// Maximum number of orders of the current plan.
  std::size_t m_MaxOrders = 0;
  PlannerCounters m_Counters;
};

} // namespace pollenspool

#endif // POLLENSPOOL_INSTANCES_FLEETPLANNER_H
