//===- Reservations.cpp - Servers kept from taking tasks ------------------===//

#include "instances/FleetPlanner.h"
#include <algorithm>
#include <utility>

namespace pollenspool {

FleetPlanner::Reservation &FleetPlanner::reserve(const InstanceView &V) {
  ServerState &S = *V.m_Server;
  S.m_Reserved = true;
  return m_Reservations[S.m_Registration.m_Id] = {
             V.m_Listing->m_Id, S.m_IndexNumber, S.m_Incarnation};
}

bool FleetPlanner::isSameIncarnation(const Reservation &R,
                                     const ServerState &S) {
  return S.m_IndexNumber == R.m_Number && S.m_Incarnation == R.m_Incarnation;
}

bool FleetPlanner::isDrainWanted(const InstanceId &Id,
                                 const Instance &I) const {
  auto Wave = m_Waves.find(I.m_DrainingFor);
  return Wave != m_Waves.end() && !Wave->second.m_Progress.m_Complete &&
         !Wave->second.m_Progress.m_Done.count(Id);
}

std::string_view FleetPlanner::reasonFor(const Reservation &R,
                                         const ServerState &S) const {
  auto State = m_State.find(R.m_Instance);
  if (State == m_State.end())
    return {};
  const Instance &I = State->second;
  // The order shuts down whatever incarnation runs when it is carried out.
  if (I.m_Pending)
    return "an order for its instance is not answered";
  if (!isSameIncarnation(R, S))
    return {};
  if (R.m_IsOrdered && I.m_Ordered)
    return "no later list shows the effect of an order for its instance";
  if (R.m_IsOrdered && S.m_IsListedAsGone)
    return "it is listed as gone after an order for its instance";
  if (I.m_DrainingSince && I.m_DrainingServer == S.m_Registration.m_Id &&
      isDrainWanted(R.m_Instance, I))
    return "it drains for a wave";
  return m_Freed.count(R.m_Instance) ? "another pool needs its instance" : "";
}

std::string_view FleetPlanner::reservationReason(const ServerId &Id) const {
  auto It = m_Reservations.find(Id);
  const ServerState *S = m_Scheduler.servers().find(Id);
  return It == m_Reservations.end() || !S ? "" : reasonFor(It->second, *S);
}

bool FleetPlanner::refresh(const ServerId &Id, Reservation &R) {
  ServerState *S = m_Scheduler.servers().find(Id);
  if (S && !reasonFor(R, *S).empty()) {
    S->m_Reserved = true;
    R.m_Number = S->m_IndexNumber;
    R.m_Incarnation = S->m_Incarnation;
    return true;
  }
  if (S)
    S->m_Reserved = false;
  Instance &I = m_State[R.m_Instance];
  if (I.m_DrainingServer == Id)
    I.m_DrainingSince.reset();
  return false;
}

void FleetPlanner::updateReservation(const ServerId &Id) {
  auto It = m_Reservations.find(Id);
  if (It != m_Reservations.end() && !refresh(Id, It->second))
    m_Reservations.erase(It);
}

void FleetPlanner::updateReservations() {
  for (auto It = m_Reservations.begin(); It != m_Reservations.end();)
    if (refresh(It->first, It->second))
      ++It;
    else
      It = m_Reservations.erase(It);
}

bool FleetPlanner::isFreeable(const PoolName &Pool, const InstanceView &V) {
  if (!hasArrivedUnaffected(Pool, V))
    return false;
  const auto &Runs = V.m_Server->m_Runs;
  return std::none_of(Runs.begin(), Runs.end(), [](const auto &Run) {
    return Run.second.m_IsLongRunning || Run.second.m_IsBestEffort;
  });
}

std::vector<const FleetPlanner::InstanceView *>
FleetPlanner::freeableInstances(const PoolName &Name, const PoolView &P,
                                const std::set<InstanceId> &FreedBefore) {
  std::vector<std::tuple<bool, std::size_t, const InstanceView *>> Order;
  for (const InstanceView *V : P.m_Instances)
    if (isFreeable(Name, *V))
      Order.emplace_back(FreedBefore.count(V->m_Listing->m_Id) == 0,
                         V->m_Server->m_Runs.size(), V);
  std::stable_sort(Order.begin(), Order.end(),
                   [](const auto &A, const auto &B) {
                     return std::tie(std::get<0>(A), std::get<1>(A)) <
                            std::tie(std::get<0>(B), std::get<1>(B));
                   });
  std::vector<const InstanceView *> Sorted;
  for (const auto &[IsNew, Runs, V] : Order)
    Sorted.push_back(V);
  return Sorted;
}

void FleetPlanner::freeSurplus(Pools &All) {
  const std::set<InstanceId> FreedBefore = std::exchange(m_Freed, {});
  std::int64_t Missing = 0;
  for (const auto &[Name, P] : All)
    Missing += P.m_Spare ? -static_cast<std::int64_t>(P.m_Instances.size())
                         : std::max<std::int64_t>(0, -P.surplus());
  for (auto &[Name, P] : All) {
    if (P.m_Spare || std::min(P.surplus(), Missing) <= 0)
      continue;
    // Instances that have not arrived yet run no tasks.
    auto Usable = std::count_if(P.m_Instances.begin(), P.m_Instances.end(),
                                [&, &PoolName = Name](const InstanceView *V) {
                                  return hasArrivedUnaffected(PoolName, *V);
                                });
    std::int64_t Count =
        std::min({P.surplus(), Missing, Usable - P.m_TargetSize});
    if (Count <= 0)
      continue;
    for (const InstanceView *V : freeableInstances(Name, P, FreedBefore)) {
      if (Count-- <= 0)
        break;
      m_Freed.insert(V->m_Listing->m_Id);
      reserve(*V);
      --Missing;
    }
  }
}

} // namespace pollenspool
