//===- FleetPlanner.cpp - Pool sizing -------------------------------------===//

#include "instances/FleetPlanner.h"
#include "base/Log.h"
#include <algorithm>
#include <cmath>

namespace pollenspool {

namespace {

/// Half-life of a pool's recorded peak demand: the duration of two moves, so
/// that a short dip in demand does not release instances that are needed again
/// before the move has paid off.
constexpr Duration DemandHalfLife = std::chrono::milliseconds(1500);
/// Weight of the demand of steps that still wait for other steps: by the time
/// an instance has moved, about half of it can start.
constexpr double BlockedDemandWeight = 0.5;
/// Target capacity relative to demand: tasks do not pack servers completely.
constexpr double HeadroomFactor = 1.15;
/// Delay before an instance gets another order after a refused one.
constexpr Duration RefusedRetryDelay = std::chrono::milliseconds(700);
/// Interval between two log lines about the sizes of the pools.
constexpr Duration ShortageLogInterval = std::chrono::seconds(1);

bool suits(const InstanceListing &L, const UnschedulableTask &Need) {
  return hasLabel(L.m_Labels, Need.m_Label) &&
         Need.m_RequiredResources.fitsIn(L.m_Capacity);
}

/// The resources whose demand is compared with the capacity of instances.
constexpr std::array<std::int64_t Resources::*, ResourceKinds> AllResources = {
    &Resources::m_MilliCores, &Resources::m_MemoryMb, &Resources::m_Gpus};

/// Raises \p Peak, of which \p Decay is left, to the demand \p D.
const PeakDemand &updatePeak(PeakDemand &Peak, const PoolDemand &D,
                             double Decay) {
  for (std::size_t N = 0; N < ResourceKinds; ++N) {
    auto Kind = AllResources[N];
    double Demand =
        static_cast<double>(D.m_Running.*Kind + D.m_Ready.*Kind) +
        static_cast<double>(D.m_Blocked.*Kind) * BlockedDemandWeight;
    Peak[N] = std::max(Demand, Peak[N] * Decay);
  }
  return Peak;
}

/// How many instances of \p Capacity hold \p Demand. Resources that they lack
/// do not count.
double instancesNeeded(const PeakDemand &Demand, const Resources &Capacity) {
  double Needed = 0;
  for (std::size_t N = 0; N < ResourceKinds; ++N)
    if (std::int64_t Amount = Capacity.*AllResources[N]; Amount > 0)
      Needed = std::max(Needed, Demand[N] / static_cast<double>(Amount));
  return Needed;
}

} // namespace

std::unique_ptr<FleetPlanner>
FleetPlanner::create(const FleetPlannerOptions &Options, Scheduler &Sched) {
  return std::unique_ptr<FleetPlanner>(new FleetPlanner(Options, Sched));
}

void FleetPlanner::updateIndex() {
  const std::uint64_t Changes = m_Scheduler.servers().registrationChanges();
  if (!m_ListChanged && m_IndexedChanges == Changes)
    return;
  if (m_ListChanged)
    indexInstances();
  indexServers();
  m_ListChanged = false;
  m_IndexedChanges = Changes;
}

void FleetPlanner::indexInstances() {
  m_Views.clear();
  m_ViewById.clear();
  m_Views.reserve(m_Scheduler.instances().size());
  for (const InstanceListing &L : m_Scheduler.instances()) {
    m_Views.push_back({&L, nullptr, &m_State[L.m_Id]});
    m_ViewById[L.m_Id] = &m_Views.back();
  }
  m_Counters.m_IndexEntries += m_Views.size();
}

void FleetPlanner::indexServers() {
  m_ServerByInstance.clear();
  for (auto &[Id, S] : m_Scheduler.servers().all())
    if (S.m_Registered)
      m_ServerByInstance[S.m_Registration.m_Instance] = &S;
  for (InstanceView &V : m_Views) {
    const InstanceListing &L = *V.m_Listing;
    auto Server = m_ServerByInstance.find(L.m_Id);
    V.m_Server = Server == m_ServerByInstance.end() ? nullptr : Server->second;
    // The list and the registrations name the same server as a rule.
    if (V.m_Server && V.m_Server->m_Registration.m_Id == L.m_Server)
      continue;
    if (ServerState *S = m_Scheduler.servers().find(L.m_Server))
      V.m_Server = m_ServerByInstance[L.m_Id] = S;
  }
  m_Counters.m_IndexEntries += m_Scheduler.servers().all().size();
}

const FleetPlanner::InstanceView *
FleetPlanner::view(const InstanceId &Id) const {
  auto It = m_ViewById.find(Id);
  return It == m_ViewById.end() ? nullptr : It->second;
}

void FleetPlanner::endOrders(TimePoint Asked) {
  for (auto &[Id, State] : m_State)
    if (State.m_Ordered && !State.m_Pending && Asked > State.m_OrderedAt)
      State.m_Ordered = false;
}

void FleetPlanner::onInstances(TimePoint Asked) {
  m_ListChanged = true;
  endOrders(Asked);
  updateReservations();
  // An empty list tells nothing about single instances.
  if (m_Scheduler.instances().empty())
    return;
  m_ListRequestedAt = Asked;
  std::set<InstanceId> Listed;
  for (const InstanceListing &L : m_Scheduler.instances())
    Listed.insert(L.m_Id);
  for (const auto &[Wave, W] : m_Waves)
    for (const InstanceId &Id : W.m_Request.m_Instances) {
      auto &Since = m_State[Id].m_UnlistedSince;
      if (Listed.count(Id))
        Since.reset();
      else if (!Since)
        Since = Asked;
    }
}

bool FleetPlanner::canOrder(const InstanceView &V, TimePoint Now) {
  return V.m_Listing->m_Condition == InstanceCondition::Up &&
         !V.m_State->m_Pending && !V.m_State->m_Ordered &&
         Now >= V.m_State->m_RetryAt;
}

bool FleetPlanner::hasKnownRuns(const ServerState &S) {
  return S.m_HasListedAllRuns && S.m_Reachable;
}

bool FleetPlanner::isOutOfReach(const InstanceView &V) {
  return V.m_Server && V.m_Server->isUnreachableForLong() &&
         V.m_Server->isIdle() && !V.m_State->m_Pending && !V.m_State->m_Ordered;
}

FleetPlanner::Pools FleetPlanner::collectPools() {
  Pools All;
  if (const ServingConfig *C = m_Scheduler.config())
    for (const PoolPolicy &P : C->pools())
      All[P.m_Name].m_Spare = P.m_Spare;
  m_Counters.m_InstancesExamined += m_Views.size();
  for (const InstanceView &V : m_Views) {
    if (V.m_Listing->m_Condition == InstanceCondition::Down)
      continue;
    bool Expected = (V.m_State->m_Pending || V.m_State->m_Ordered) &&
                    !V.m_State->m_ExpectedPool.empty();
    auto Pool =
        All.find(Expected ? V.m_State->m_ExpectedPool : V.m_Listing->m_Pool);
    if (Pool == All.end())
      continue;
    PoolView &P = Pool->second;
    P.m_LargestCapacity = P.m_LargestCapacity.most(V.m_Listing->m_Capacity);
    if (!isOutOfReach(V))
      P.m_Instances.push_back(&V);
  }
  return All;
}

void FleetPlanner::updateTargetSizes(Pools &All, TimePoint Now) {
  double Halvings =
      std::chrono::duration<double>(Now - m_PlannedAt) / DemandHalfLife;
  double Decay = m_PlannedAt == TimePoint{} ? 0.0 : std::exp2(-Halvings);
  m_PlannedAt = Now;
  auto Demand = m_Scheduler.demand();
  for (auto &[Name, P] : All) {
    if (P.m_Spare)
      continue;
    const PoolDemand &D = P.m_Demand = Demand[Name];
    std::int64_t Draining = 0;
    m_Counters.m_InstancesExamined += P.m_Instances.size();
    for (const InstanceView *V : P.m_Instances) {
      Draining += V->m_State->m_DrainingSince.has_value();
      P.m_Arrived += hasArrived(Name, *V);
    }
    double Instances = HeadroomFactor *
                       instancesNeeded(updatePeak(m_PeakDemand[Name], D, Decay),
                                       P.m_LargestCapacity);
    P.m_MinSize = D.m_ServersForSpread + std::int64_t(1);
    P.m_TargetSize =
        std::max(P.m_MinSize, static_cast<std::int64_t>(std::ceil(Instances)));
    // Instances that drain for a wave take no new tasks, and the tasks that
    // leave them need capacity elsewhere.
    P.m_TargetSize += Draining;
  }
}

void FleetPlanner::shareInstances(Pools &All) {
  std::int64_t Left = 0;
  std::vector<PoolView *> ByTarget;
  for (auto &[Name, P] : All) {
    Left += static_cast<std::int64_t>(P.m_Instances.size());
    if (!P.m_Spare)
      ByTarget.push_back(&P);
  }
  std::sort(ByTarget.begin(), ByTarget.end(),
            [](const PoolView *A, const PoolView *B) {
              return A->m_TargetSize < B->m_TargetSize;
            });
  auto PoolsLeft = static_cast<std::int64_t>(ByTarget.size());
  for (PoolView *P : ByTarget) {
    std::int64_t Share = std::max(P->m_MinSize, Left / PoolsLeft--);
    P->m_TargetSize = std::min(P->m_TargetSize, Share);
    Left -= P->m_TargetSize;
  }
}

bool FleetPlanner::isMovable(const InstanceView &V, bool OnlyEmpty) {
  ++m_Counters.m_InstancesExamined;
  if (!canOrder(V, m_PlannedAt) || V.m_State->m_DrainingSince)
    return false;
  return !OnlyEmpty ||
         (V.m_Server && hasKnownRuns(*V.m_Server) && V.m_Server->isIdle());
}

const FleetPlanner::InstanceView *FleetPlanner::takeMovable(PoolView &From,
                                                            bool OnlyEmpty) {
  while (From.m_NextCandidate < From.m_Instances.size()) {
    auto It = From.m_Instances.begin() +
              static_cast<std::ptrdiff_t>(From.m_NextCandidate);
    const InstanceView *V = *It;
    if (isMovable(*V, OnlyEmpty)) {
      From.m_Instances.erase(It);
      --From.m_Arrived;
      return V;
    }
    ++From.m_NextCandidate;
  }
  return nullptr;
}

const FleetPlanner::InstanceView *
FleetPlanner::takeSuitable(PoolView &From, bool OnlyEmpty,
                           const UnschedulableTask &Need) {
  auto It = std::find_if(From.m_Instances.begin(), From.m_Instances.end(),
                         [&](const InstanceView *V) {
                           return suits(*V->m_Listing, Need) &&
                                  isMovable(*V, OnlyEmpty);
                         });
  if (It == From.m_Instances.end())
    return nullptr;
  const InstanceView *V = *It;
  From.m_Instances.erase(It);
  --From.m_Arrived;
  return V;
}

void FleetPlanner::orderMove(const InstanceView &V, const PoolName &To,
                             Pools &All, std::vector<InstanceOrder> &Out) {
  Out.push_back({V.m_Listing->m_Id, To, {}});
  markOrdered(Out.back());
  All[To].m_Instances.push_back(&V);
}

void FleetPlanner::planUnschedulableTasks(Pools &All,
                                          std::vector<InstanceOrder> &Out) {
  for (const UnschedulableTask &Need : m_Scheduler.unschedulableTasks()) {
    auto Pool = All.find(Need.m_Pool);
    if (Pool == All.end() || Out.size() >= m_MaxOrders)
      continue;
    PoolView &P = Pool->second;
    bool IsArriving = std::any_of(
        P.m_Instances.begin(), P.m_Instances.end(), [&](const InstanceView *V) {
          const ServerState *S = V->m_Server;
          return suits(*V->m_Listing, Need) &&
                 (!S || S->m_Registration.m_Pool != Need.m_Pool);
        });
    const InstanceView *V = nullptr;
    for (auto &[Name, From] : All)
      if (!IsArriving && !V && &From != &P && (From.m_Spare || From.canGive()))
        V = takeSuitable(From, !From.m_Spare, Need);
    if (V)
      orderMove(*V, Need.m_Pool, All, Out);
    // The pool keeps all its instances until the need is met.
    P.m_TargetSize = std::max(P.m_TargetSize,
                              static_cast<std::int64_t>(P.m_Instances.size()));
  }
}

void FleetPlanner::planMoves(Pools &All, std::vector<InstanceOrder> &Out) {
  PoolName Spare;
  for (auto &[Name, P] : All)
    if (P.m_Spare)
      Spare = Name;
  // The pool with the smallest fraction of its target size is served first,
  // one instance at a time.
  while (Out.size() < m_MaxOrders) {
    PoolName MostShort;
    double LeastFraction = 1;
    for (auto &[Name, P] : All) {
      double Fraction = P.m_Spare ? 1
                                  : static_cast<double>(P.m_Instances.size()) /
                                        static_cast<double>(P.m_TargetSize);
      if (Fraction < LeastFraction) {
        LeastFraction = Fraction;
        MostShort = Name;
      }
    }
    if (MostShort.empty())
      break;
    const InstanceView *V =
        Spare.empty() ? nullptr : takeMovable(All[Spare], false);
    for (auto &[Name, P] : All)
      if (!V && !P.m_Spare && P.canGive())
        V = takeMovable(P, true);
    if (!V)
      break;
    orderMove(*V, MostShort, All, Out);
  }
  if (Spare.empty())
    return;
  for (auto &[Name, P] : All) {
    if (P.m_Spare)
      continue;
    while (Out.size() < m_MaxOrders && P.canGive()) {
      const InstanceView *V = takeMovable(P, true);
      if (!V)
        break;
      orderMove(*V, Spare, All, Out);
    }
  }
}

bool FleetPlanner::hasArrived(const PoolName &Pool, const InstanceView &V) {
  return V.m_Server && V.m_Server->m_Registration.m_Pool == Pool &&
         !V.m_State->m_Pending && !V.m_State->m_Ordered &&
         !V.m_State->m_DrainingSince;
}

bool FleetPlanner::hasArrivedUnaffected(const PoolName &Pool,
                                        const InstanceView &V) {
  ++m_Counters.m_InstancesExamined;
  return hasArrived(Pool, V) && hasKnownRuns(*V.m_Server) &&
         canOrder(V, m_PlannedAt);
}

void FleetPlanner::logShortage(const Pools &All, TimePoint Now) {
  if (Now < m_NextShortageLog ||
      std::none_of(All.begin(), All.end(), [](const auto &Entry) {
        return Entry.second.surplus() < 0;
      }))
    return;
  m_NextShortageLog = Now + ShortageLogInterval;
  for (const auto &[Name, P] : All)
    logEvent(
        Event::PoolSized,
        {{"pool", Name.m_Text},
         {"instances", std::to_string(P.m_Instances.size())},
         {"target", std::to_string(P.m_TargetSize)},
         {"running_mcores", std::to_string(P.m_Demand.m_Running.m_MilliCores)},
         {"ready_mcores", std::to_string(P.m_Demand.m_Ready.m_MilliCores)},
         {"blocked_mcores", std::to_string(P.m_Demand.m_Blocked.m_MilliCores)},
         {"running_mb", std::to_string(P.m_Demand.m_Running.m_MemoryMb)},
         {"ready_mb", std::to_string(P.m_Demand.m_Ready.m_MemoryMb)}});
}

std::vector<InstanceOrder> FleetPlanner::plan(TimePoint Now,
                                              std::chrono::milliseconds Wall,
                                              std::size_t MaxOrders) {
  m_MaxOrders = MaxOrders;
  std::vector<InstanceOrder> Out;
  if (!m_Scheduler.config() || m_Scheduler.instances().empty()) {
    m_Freed.clear();
    updateReservations();
    return Out;
  }
  updateIndex();
  Pools All = collectPools();
  updateTargetSizes(All, Now);
  logShortage(All, Now);
  planWaves(All, Now, Wall, Out);
  shareInstances(All);
  planUnschedulableTasks(All, Out);
  planMoves(All, Out);
  freeSurplus(All);
  updateReservations();
  return Out;
}

void FleetPlanner::markOrdered(InstanceOrder &Order) {
  Instance &I = m_State[Order.m_Instance];
  I.m_Pending = true;
  I.m_ExpectedPool = Order.m_To;
  I.m_Wave = Order.m_Wave;
  const InstanceView *V = view(Order.m_Instance);
  if (!V || !V->m_Server)
    return;
  reserve(*V).m_IsOrdered = true;
  Order.m_Server = V->m_Server->m_Registration.m_Id;
}

bool FleetPlanner::provesServerShutdown(const InstanceOrder &Order) {
  if (m_State[Order.m_Instance].m_MayHaveExecuted)
    return false;
  return Order.isMove() || !m_Waves[Order.m_Wave].m_Inherited;
}

void FleetPlanner::onOrderResult(const InstanceOrder &Order,
                                 InstanceOrderResult R, TimePoint Now) {
  Instance &I = m_State[Order.m_Instance];
  I.m_Pending = false;
  ServerState *S = m_Scheduler.servers().find(Order.m_Server);
  if (R == InstanceOrderResult::Done) {
    I.m_Ordered = true;
    I.m_OrderedAt = Now;
    I.m_DrainingSince.reset();
    I.m_ExpectedUpAt = Now + (Order.isMove() ? m_Options.m_MoveTime
                                             : m_Options.m_MaintenanceTime);
    if (S && provesServerShutdown(Order)) {
      m_Scheduler.onServerTerminated(Order.m_Server, Now);
    } else if (S) {
      // An earlier order may have been the one that took effect. This server
      // then registered afterwards and still runs. A status poll or the next
      // instance list tells which is the case.
      m_Reservations.erase(Order.m_Server);
      S->m_Reserved = false;
      m_Scheduler.markSuspected(Order.m_Server, Now);
    }
    if (!Order.isMove()) {
      m_Waves[Order.m_Wave].m_Progress.m_Done.insert(Order.m_Instance);
      m_ChangedWaves.insert(Order.m_Wave);
    }
    return updateReservation(Order.m_Server);
  }
  I.m_RetryAt = Now + RefusedRetryDelay;
  if (R == InstanceOrderResult::NotInWave)
    onNotInWave(m_Waves[Order.m_Wave], Order.m_Instance, Now);
  if (R == InstanceOrderResult::Unknown) {
    // The instance may be down now or soon; it counts towards the expected pool
    // until a newer instance list shows its state.
    I.m_MayHaveExecuted = true;
    I.m_Ordered = true;
    I.m_OrderedAt = Now;
  } else {
    I.m_DrainingSince.reset();
  }
  updateReservation(Order.m_Server);
}

} // namespace pollenspool
