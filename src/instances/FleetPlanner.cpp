//===- FleetPlanner.cpp - Sizes of pools ----------------------------------===//

#include "instances/FleetPlanner.h"
#include "base/Log.h"
#include <algorithm>
#include <cmath>

namespace pollenspool {

namespace {

/// Half-life of a pool's held demand: as long as two moves take, so that a
/// short lull sends nobody away who is needed again before a move pays off.
constexpr Duration DemandHalfLife = std::chrono::milliseconds(1500);
/// Share of the cores of steps that still wait for others which is counted as
/// demand: by the time an instance has moved, about half can start.
constexpr double BlockedShare = 0.5;
/// Room beyond the demand, since tasks do not fill servers to the last core.
constexpr double Headroom = 1.15;
/// Pause before an instance that refused an order is asked again.
constexpr Duration RefusedPause = std::chrono::milliseconds(700);

bool suits(const InstanceListing &L, const UnservedNeed &Need) {
  return hasLabel(L.m_Labels, Need.m_Label) && Need.m_Need.fitsIn(L.m_Capacity);
}

} // namespace

std::unique_ptr<FleetPlanner>
FleetPlanner::create(const FleetPlannerOptions &Options, Scheduler &Core) {
  return std::unique_ptr<FleetPlanner>(new FleetPlanner(Options, Core));
}

void FleetPlanner::index() {
  m_Listed.clear();
  m_ServerAt.clear();
  for (auto &[Id, S] : m_Core.servers().all())
    if (S.m_Registered)
      m_ServerAt[S.m_Registration.m_Instance] = &S;
  for (const InstanceListing &L : m_Core.instances()) {
    m_Listed[L.m_Id] = &L;
    if (ServerState *S = m_Core.servers().find(L.m_Server))
      m_ServerAt[L.m_Id] = S;
  }
}

const InstanceListing *FleetPlanner::listing(const InstanceId &Id) const {
  auto It = m_Listed.find(Id);
  return It == m_Listed.end() ? nullptr : It->second;
}

ServerState *FleetPlanner::serverOf(const InstanceListing &L) {
  auto It = m_ServerAt.find(L.m_Id);
  return It == m_ServerAt.end() ? nullptr : It->second;
}

void FleetPlanner::onInstances(TimePoint Asked) {
  for (auto &[Id, State] : m_State)
    if (State.m_Ordered && !State.m_Pending && Asked > State.m_OrderedAt)
      State.m_Ordered = false;
}

bool FleetPlanner::mayOrder(const InstanceListing &L, TimePoint Now) const {
  if (L.m_Condition != InstanceCondition::Up)
    return false;
  auto It = m_State.find(L.m_Id);
  if (It == m_State.end())
    return true;
  const Instance &I = It->second;
  return !I.m_Pending && !I.m_Ordered && Now >= I.m_RetryAt;
}

bool FleetPlanner::isKnown(const ServerState &S) {
  return S.m_Vetted && S.m_Reachable;
}

FleetPlanner::Pools FleetPlanner::survey() {
  Pools All;
  if (const ServingConfig *C = m_Core.config())
    for (const PoolPolicy &P : C->pools())
      All[P.m_Name].m_Spare = P.m_Spare;
  for (const InstanceListing &L : m_Core.instances()) {
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

std::uint32_t FleetPlanner::spreadOf(const PoolName &Pool) {
  std::uint32_t Most = 0;
  for (auto &[Id, Job] : m_Core.jobs().all()) {
    if (m_Core.poolOf(*Job) != Pool)
      continue;
    for (const StepSpec &Step : Job->m_Spec.m_Steps)
      if (Step.m_Lasting && Step.m_MaxPerServer > 0)
        Most = std::max(Most, (Step.m_Count + Step.m_MaxPerServer - 1) /
                                  Step.m_MaxPerServer);
  }
  return Most;
}

void FleetPlanner::estimateWanted(Pools &All, TimePoint Now) {
  double Halvings =
      std::chrono::duration<double>(Now - m_HeldAt) / DemandHalfLife;
  double Decay = m_HeldAt == TimePoint{} ? 0.0 : std::exp2(-Halvings);
  m_HeldAt = Now;
  auto Demand = m_Core.demand();
  for (auto &[Name, P] : All) {
    if (P.m_Spare)
      continue;
    const PoolDemand &D = Demand[Name];
    double Cores = static_cast<double>(D.m_RunningMilliCores) +
                   static_cast<double>(D.m_ReadyMilliCores) +
                   static_cast<double>(D.m_BlockedMilliCores) * BlockedShare;
    double &Held = m_HeldDemand[Name];
    Held = std::max(Cores, Held * Decay);
    std::int64_t Largest = 1, Emptying = 0;
    for (const InstanceListing *L : P.m_Instances) {
      Largest = std::max(Largest, L->m_Capacity.m_MilliCores);
      Emptying += m_State[L->m_Id].m_EmptyingSince.has_value();
    }
    double Instances = Held * Headroom / static_cast<double>(Largest);
    P.m_Wanted = std::max<std::int64_t>(
        {1, static_cast<std::int64_t>(std::ceil(Instances)),
         spreadOf(Name) + std::int64_t(1)});
    // What is being emptied for a wave takes nothing new, and tasks that have
    // to leave it need another place.
    P.m_Wanted += Emptying;
  }
}

const InstanceListing *FleetPlanner::takeFree(PoolView &From, bool OnlyEmpty,
                                              const UnservedNeed *Need) {
  for (auto It = From.m_Instances.begin(); It != From.m_Instances.end(); ++It) {
    const InstanceListing *L = *It;
    if (!mayOrder(*L, m_HeldAt) || m_State[L->m_Id].m_EmptyingSince ||
        (Need && !suits(*L, *Need)))
      continue;
    ServerState *S = serverOf(*L);
    if (OnlyEmpty && (!S || !isKnown(*S) || !S->m_Runs.empty()))
      continue;
    From.m_Instances.erase(It);
    return L;
  }
  return nullptr;
}

void FleetPlanner::orderMove(const InstanceListing &L, const PoolName &To,
                             Pools &All, std::vector<InstanceOrder> &Out) {
  Out.push_back({L.m_Id, To, {}});
  noteOrdered(Out.back());
  All[To].m_Instances.push_back(&L);
}

void FleetPlanner::planMissing(Pools &All, std::vector<InstanceOrder> &Out) {
  for (const UnservedNeed &Need : m_Core.unservedNeeds()) {
    auto Pool = All.find(Need.m_Pool);
    if (Pool == All.end() || Out.size() >= m_AtOnce)
      continue;
    PoolView &P = Pool->second;
    bool OnItsWay =
        std::any_of(P.m_Instances.begin(), P.m_Instances.end(),
                    [&](const InstanceListing *L) {
                      ServerState *S = serverOf(*L);
                      return suits(*L, Need) &&
                             (!S || S->m_Registration.m_Pool != Need.m_Pool);
                    });
    const InstanceListing *L = nullptr;
    for (auto &[Name, From] : All)
      if (!OnItsWay && !L && &From != &P &&
          (From.m_Spare || From.surplus() > 0))
        L = takeFree(From, !From.m_Spare, &Need);
    if (L)
      orderMove(*L, Need.m_Pool, All, Out);
    // Nothing is sent away before the need is met.
    P.m_Wanted =
        std::max(P.m_Wanted, static_cast<std::int64_t>(P.m_Instances.size()));
  }
}

void FleetPlanner::planMoves(Pools &All, std::vector<InstanceOrder> &Out) {
  PoolName Spare;
  for (auto &[Name, P] : All)
    if (P.m_Spare)
      Spare = Name;
  // The pool that lacks most is served first, one instance at a time.
  while (Out.size() < m_AtOnce) {
    PoolName Neediest;
    std::int64_t Lack = 0;
    for (auto &[Name, P] : All)
      if (!P.m_Spare && -P.surplus() > Lack) {
        Lack = -P.surplus();
        Neediest = Name;
      }
    if (Neediest.empty())
      break;
    const InstanceListing *L =
        Spare.empty() ? nullptr : takeFree(All[Spare], false);
    for (auto &[Name, P] : All)
      if (!L && !P.m_Spare && P.surplus() > 0)
        L = takeFree(P, true);
    if (!L)
      break;
    orderMove(*L, Neediest, All, Out);
  }
  if (Spare.empty())
    return;
  for (auto &[Name, P] : All) {
    if (P.m_Spare)
      continue;
    while (Out.size() < m_AtOnce && P.surplus() > 0) {
      const InstanceListing *L = takeFree(P, true);
      if (!L)
        break;
      orderMove(*L, Spare, All, Out);
    }
  }
}

std::vector<InstanceOrder> FleetPlanner::plan(TimePoint Now,
                                              std::chrono::milliseconds Wall,
                                              std::size_t AtOnce) {
  m_AtOnce = AtOnce;
  std::vector<InstanceOrder> Out;
  if (!m_Core.config() || m_Core.instances().empty())
    return Out;
  index();
  Pools All = survey();
  estimateWanted(All, Now);
  planWaves(All, Now, Wall, Out);
  planMissing(All, Out);
  planMoves(All, Out);
  return Out;
}

void FleetPlanner::noteOrdered(InstanceOrder &Order) {
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

bool FleetPlanner::endsServer(const InstanceOrder &Order) {
  if (m_State[Order.m_Instance].m_MaybeDone)
    return false;
  return Order.isMove() || !m_Waves[Order.m_Wave].m_Inherited;
}

void FleetPlanner::onOrderResult(const InstanceOrder &Order,
                                 InstanceOrderResult R, TimePoint Now) {
  Instance &I = m_State[Order.m_Instance];
  I.m_Pending = false;
  ServerState *S = m_Core.servers().find(Order.m_Server);
  if (R == InstanceOrderResult::Done) {
    I.m_Ordered = true;
    I.m_OrderedAt = Now;
    I.m_EmptyingSince.reset();
    I.m_BackAt =
        Now + (Order.isMove() ? m_Options.m_MoveTime : m_Options.m_UpkeepTime);
    if (S && endsServer(Order)) {
      m_Core.onServerEnded(Order.m_Server, Now);
    } else if (S) {
      // An earlier order may have done it; then this server came later and runs
      // on. A look, or the next list, tells.
      S->m_Reserved = false;
      m_Core.suspect(Order.m_Server, Now);
    }
    if (!Order.isMove()) {
      m_Waves[Order.m_Wave].m_Progress.m_Done.insert(Order.m_Instance);
      m_Changed.insert(Order.m_Wave);
    }
    return;
  }
  I.m_RetryAt = Now + RefusedPause;
  if (R == InstanceOrderResult::NotOfWave) {
    // The wave no longer has the instance.
    m_Waves[Order.m_Wave].m_Progress.m_Done.insert(Order.m_Instance);
    m_Changed.insert(Order.m_Wave);
  }
  if (R == InstanceOrderResult::Unknown) {
    // It may be down now or soon; it keeps its place until the list tells.
    I.m_MaybeDone = true;
    I.m_Ordered = true;
    I.m_OrderedAt = Now;
    return;
  }
  I.m_EmptyingSince.reset();
  if (S)
    S->m_Reserved = false;
}

} // namespace pollenspool
