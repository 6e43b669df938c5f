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

} // namespace

std::unique_ptr<FleetPlanner>
FleetPlanner::create(const FleetPlannerOptions &Options, Scheduler &Sched) {
  return std::unique_ptr<FleetPlanner>(new FleetPlanner(Options, Sched));
}

void FleetPlanner::buildIndex() {
  m_ListingById.clear();
  m_ServerByInstance.clear();
  for (auto &[Id, S] : m_Scheduler.servers().all())
    if (S.m_Registered)
      m_ServerByInstance[S.m_Registration.m_Instance] = &S;
  for (const InstanceListing &L : m_Scheduler.instances()) {
    m_ListingById[L.m_Id] = &L;
    if (ServerState *S = m_Scheduler.servers().find(L.m_Server))
      m_ServerByInstance[L.m_Id] = S;
  }
}

const InstanceListing *FleetPlanner::listing(const InstanceId &Id) const {
  auto It = m_ListingById.find(Id);
  return It == m_ListingById.end() ? nullptr : It->second;
}

ServerState *FleetPlanner::serverOf(const InstanceListing &L) {
  auto It = m_ServerByInstance.find(L.m_Id);
  return It == m_ServerByInstance.end() ? nullptr : It->second;
}

void FleetPlanner::endOrders(TimePoint Asked) {
  std::set<InstanceId> Ended;
  for (auto &[Id, State] : m_State)
    if (State.m_Ordered && !State.m_Pending && Asked > State.m_OrderedAt) {
      State.m_Ordered = false;
      if (!State.m_DrainingSince)
        Ended.insert(Id);
    }
  for (const InstanceListing &L : m_Scheduler.instances()) {
    ServerState *S = m_Scheduler.servers().find(L.m_Server);
    if (S && Ended.count(L.m_Id) && L.m_Condition == InstanceCondition::Up &&
        S->m_Registration.m_Instance == L.m_Id)
      S->m_Reserved = false;
  }
}

void FleetPlanner::onInstances(TimePoint Asked) {
  endOrders(Asked);
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

bool FleetPlanner::canOrder(const InstanceListing &L, TimePoint Now) const {
  if (L.m_Condition != InstanceCondition::Up)
    return false;
  auto It = m_State.find(L.m_Id);
  if (It == m_State.end())
    return true;
  const Instance &I = It->second;
  return !I.m_Pending && !I.m_Ordered && Now >= I.m_RetryAt;
}

bool FleetPlanner::hasKnownRuns(const ServerState &S) {
  return S.m_HasAcknowledgedTerm && S.m_Reachable;
}

FleetPlanner::Pools FleetPlanner::collectPools() {
  Pools All;
  if (const ServingConfig *C = m_Scheduler.config())
    for (const PoolPolicy &P : C->pools())
      All[P.m_Name].m_Spare = P.m_Spare;
  for (const InstanceListing &L : m_Scheduler.instances()) {
    if (L.m_Condition == InstanceCondition::Down)
      continue;
    auto It = m_State.find(L.m_Id);
    bool Expected = It != m_State.end() &&
                    (It->second.m_Pending || It->second.m_Ordered) &&
                    !It->second.m_ExpectedPool.empty();
    auto Pool = All.find(Expected ? It->second.m_ExpectedPool : L.m_Pool);
    if (Pool != All.end())
      Pool->second.m_Instances.push_back(&L);
  }
  return All;
}

std::uint32_t FleetPlanner::minInstancesForSpread(const PoolName &Pool) {
  std::uint32_t MinInstances = 0;
  for (auto &[Id, Job] : m_Scheduler.jobs().all()) {
    if (m_Scheduler.poolOf(*Job) != Pool)
      continue;
    for (const StepSpec &Step : Job->m_Spec.m_Steps)
      if (Step.m_IsLongRunning && Step.m_MaxPerServer > 0)
        MinInstances =
            std::max(MinInstances, (Step.m_Count + Step.m_MaxPerServer - 1) /
                                       Step.m_MaxPerServer);
  }
  return MinInstances;
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
    double MilliCores =
        static_cast<double>(D.m_RunningMilliCores) +
        static_cast<double>(D.m_ReadyMilliCores) +
        static_cast<double>(D.m_BlockedMilliCores) * BlockedDemandWeight;
    double &Peak = m_PeakDemand[Name];
    Peak = std::max(MilliCores, Peak * Decay);
    std::int64_t Largest = 1, Draining = 0;
    for (const InstanceListing *L : P.m_Instances) {
      Largest = std::max(Largest, L->m_Capacity.m_MilliCores);
      Draining += m_State[L->m_Id].m_DrainingSince.has_value();
    }
    double Instances = Peak * HeadroomFactor / static_cast<double>(Largest);
    P.m_MinSize = minInstancesForSpread(Name) + std::int64_t(1);
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

const InstanceListing *
FleetPlanner::takeMovable(PoolView &From, bool OnlyEmpty,
                          const UnschedulableTask *Need) {
  for (auto It = From.m_Instances.begin(); It != From.m_Instances.end(); ++It) {
    const InstanceListing *L = *It;
    if (!canOrder(*L, m_PlannedAt) || m_State[L->m_Id].m_DrainingSince ||
        (Need && !suits(*L, *Need)))
      continue;
    ServerState *S = serverOf(*L);
    if (OnlyEmpty && (!S || !hasKnownRuns(*S) || !S->isIdle()))
      continue;
    From.m_Instances.erase(It);
    return L;
  }
  return nullptr;
}

void FleetPlanner::orderMove(const InstanceListing &L, const PoolName &To,
                             Pools &All, std::vector<InstanceOrder> &Out) {
  Out.push_back({L.m_Id, To, {}});
  markOrdered(Out.back());
  All[To].m_Instances.push_back(&L);
}

void FleetPlanner::planUnschedulableTasks(Pools &All,
                                          std::vector<InstanceOrder> &Out) {
  for (const UnschedulableTask &Need : m_Scheduler.unschedulableTasks()) {
    auto Pool = All.find(Need.m_Pool);
    if (Pool == All.end() || Out.size() >= m_MaxOrders)
      continue;
    PoolView &P = Pool->second;
    bool IsArriving =
        std::any_of(P.m_Instances.begin(), P.m_Instances.end(),
                    [&](const InstanceListing *L) {
                      ServerState *S = serverOf(*L);
                      return suits(*L, Need) &&
                             (!S || S->m_Registration.m_Pool != Need.m_Pool);
                    });
    const InstanceListing *L = nullptr;
    for (auto &[Name, From] : All)
      if (!IsArriving && !L && &From != &P &&
          (From.m_Spare || From.surplus() > 0))
        L = takeMovable(From, !From.m_Spare, &Need);
    if (L)
      orderMove(*L, Need.m_Pool, All, Out);
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
    const InstanceListing *L =
        Spare.empty() ? nullptr : takeMovable(All[Spare], false);
    for (auto &[Name, P] : All)
      if (!L && !P.m_Spare && P.surplus() > 0)
        L = takeMovable(P, true);
    if (!L)
      break;
    orderMove(*L, MostShort, All, Out);
  }
  if (Spare.empty())
    return;
  for (auto &[Name, P] : All) {
    if (P.m_Spare)
      continue;
    while (Out.size() < m_MaxOrders && P.surplus() > 0) {
      const InstanceListing *L = takeMovable(P, true);
      if (!L)
        break;
      orderMove(*L, Spare, All, Out);
    }
  }
}

bool FleetPlanner::hasArrivedUnaffected(const PoolName &Pool,
                                        const InstanceListing &L) {
  const ServerState *S = serverOf(L);
  return S && S->m_Registration.m_Pool == Pool && hasKnownRuns(*S) &&
         canOrder(L, m_PlannedAt) && !m_State[L.m_Id].m_DrainingSince;
}

bool FleetPlanner::isFreeable(const PoolName &Pool, const InstanceListing &L) {
  if (!hasArrivedUnaffected(Pool, L))
    return false;
  const auto &Runs = serverOf(L)->m_Runs;
  return std::none_of(Runs.begin(), Runs.end(), [](const auto &Run) {
    return Run.second.m_IsLongRunning || Run.second.m_IsBestEffort;
  });
}

std::set<InstanceId> FleetPlanner::takeBackFreed() {
  std::set<InstanceId> Freed;
  for (auto &[Id, I] : m_State) {
    auto Server = m_ServerByInstance.find(Id);
    if (!I.m_IsFreed || Server == m_ServerByInstance.end())
      continue;
    I.m_IsFreed = false;
    Freed.insert(Id);
    if (!I.m_Pending && !I.m_Ordered && !I.m_DrainingSince)
      Server->second->m_Reserved = false;
  }
  return Freed;
}

std::vector<const InstanceListing *>
FleetPlanner::freeableInstances(const PoolName &Name, const PoolView &P,
                                const std::set<InstanceId> &FreedBefore) {
  std::vector<std::tuple<bool, std::size_t, const InstanceListing *>> Order;
  for (const InstanceListing *L : P.m_Instances)
    if (isFreeable(Name, *L))
      Order.emplace_back(FreedBefore.count(L->m_Id) == 0,
                         serverOf(*L)->m_Runs.size(), L);
  std::stable_sort(Order.begin(), Order.end(),
                   [](const auto &A, const auto &B) {
                     return std::tie(std::get<0>(A), std::get<1>(A)) <
                            std::tie(std::get<0>(B), std::get<1>(B));
                   });
  std::vector<const InstanceListing *> Sorted;
  for (const auto &[IsNew, Runs, L] : Order)
    Sorted.push_back(L);
  return Sorted;
}

void FleetPlanner::freeSurplus(Pools &All) {
  const std::set<InstanceId> FreedBefore = takeBackFreed();
  std::int64_t Missing = 0;
  for (const auto &[Name, P] : All)
    Missing += P.m_Spare ? -static_cast<std::int64_t>(P.m_Instances.size())
                         : std::max<std::int64_t>(0, -P.surplus());
  for (auto &[Name, P] : All) {
    // Instances that have not arrived yet run no tasks.
    auto Usable =
        std::count_if(P.m_Instances.begin(), P.m_Instances.end(),
                      [&, &PoolName = Name](const InstanceListing *L) {
                        return hasArrivedUnaffected(PoolName, *L);
                      });
    std::int64_t Count =
        P.m_Spare ? 0
                  : std::min({P.surplus(), Missing, Usable - P.m_TargetSize});
    if (Count <= 0)
      continue;
    for (const InstanceListing *L : freeableInstances(Name, P, FreedBefore)) {
      if (Count-- <= 0)
        break;
      m_State[L->m_Id].m_IsFreed = true;
      serverOf(*L)->m_Reserved = true;
      --Missing;
    }
  }
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
         {"running_mcores", std::to_string(P.m_Demand.m_RunningMilliCores)},
         {"ready_mcores", std::to_string(P.m_Demand.m_ReadyMilliCores)},
         {"blocked_mcores", std::to_string(P.m_Demand.m_BlockedMilliCores)}});
}

std::vector<InstanceOrder> FleetPlanner::plan(TimePoint Now,
                                              std::chrono::milliseconds Wall,
                                              std::size_t MaxOrders) {
  m_MaxOrders = MaxOrders;
  std::vector<InstanceOrder> Out;
  if (!m_Scheduler.config() || m_Scheduler.instances().empty())
    return Out;
  buildIndex();
  Pools All = collectPools();
  updateTargetSizes(All, Now);
  logShortage(All, Now);
  planWaves(All, Now, Wall, Out);
  shareInstances(All);
  planUnschedulableTasks(All, Out);
  planMoves(All, Out);
  freeSurplus(All);
  return Out;
}

void FleetPlanner::markOrdered(InstanceOrder &Order) {
  Instance &I = m_State[Order.m_Instance];
  I.m_Pending = true;
  I.m_ExpectedPool = Order.m_To;
  I.m_Wave = Order.m_Wave;
  if (const InstanceListing *L = listing(Order.m_Instance))
    if (ServerState *S = serverOf(*L)) {
      S->m_Reserved = true;
      Order.m_Server = S->m_Registration.m_Id;
    }
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
      S->m_Reserved = false;
      m_Scheduler.markSuspected(Order.m_Server, Now);
    }
    if (!Order.isMove()) {
      m_Waves[Order.m_Wave].m_Progress.m_Done.insert(Order.m_Instance);
      m_ChangedWaves.insert(Order.m_Wave);
    }
    return;
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
    return;
  }
  I.m_DrainingSince.reset();
  if (S)
    S->m_Reserved = false;
}

} // namespace pollenspool
