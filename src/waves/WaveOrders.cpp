//===- WaveOrders.cpp - Operators' orders for maintenance waves -----------===//

#include "waves/WaveOrders.h"
#include "fleet/FleetContext.h"

namespace pollenspool {

namespace {

bool isInSet(const FleetView &View, const WaveSet &Set,
             const InstanceRow &Instance) {
  const ListedInstance *Listed = View.findListed(Instance.m_Id);
  switch (Set.m_Kind) {
  case WaveSetKind::All:
    return true;
  case WaveSetKind::Pool:
    return Instance.m_Pool.m_Text == Set.m_Name;
  case WaveSetKind::Rack:
    return Listed && Listed->m_Rack.m_Text == Set.m_Name;
  case WaveSetKind::DataCentre:
    return Listed && Listed->m_DataCentre.m_Text == Set.m_Name;
  }
  return false;
}

Error conflictWith(const char *Step, const WaveRow &Wave) {
  return makeError(ErrorCode::Conflict, Step, Wave.m_Id.m_Text,
                   "the wave by " + Wave.m_Operator + " is " +
                       std::string(waveStateName(Wave.m_State)));
}

Result<Transaction> changeState(const FleetView &View, const WaveId &Id,
                                const char *Step, WaveState Next) {
  const WaveRow *Wave = View.findWave(Id);
  if (!Wave)
    return makeError(ErrorCode::NotFound, Step, Id.m_Text, "no such wave");
  if (!Wave->isActive() || Wave->m_State == WaveState::Cancelling ||
      Wave->m_State == Next)
    return conflictWith(Step, *Wave);
  WaveRow Changed = *Wave;
  Changed.m_State = Next;
  TransactionBuilder Builder(View);
  Builder.write(waveRowKey(Id), encodeRow(Changed));
  return Builder.build();
}

} // namespace

Result<Transaction> startWave(const FleetView &View, const WaveOrder &Order) {
  constexpr const char *Step = "start wave";
  if (Order.m_Id.empty() || Order.m_Id.m_Text.find('/') != std::string::npos)
    return makeError(
        ErrorCode::InvalidArgument, Step, Order.m_Id.m_Text,
        "the ID of a wave must not be empty and must contain no slash");
  if (Order.m_MaxBatch == 0)
    return makeError(ErrorCode::InvalidArgument, Step, Order.m_Id.m_Text,
                     "the largest batch must be at least 1");
  if (const WaveRow *Wave = View.findWave(Order.m_Id))
    return conflictWith(Step, *Wave);
  WaveRow Wave;
  Wave.m_Id = Order.m_Id;
  Wave.m_Set = Order.m_Set;
  Wave.m_MaxBatch = Order.m_MaxBatch;
  Wave.m_Rule = Order.m_Rule;
  Wave.m_Operator = Order.m_Operator;
  for (const auto &[Id, Instance] : View.instances())
    if (isInSet(View, Order.m_Set, Instance))
      Wave.m_Members.push_back(Id);
  if (Wave.m_Members.empty())
    return makeError(ErrorCode::NotFound, Step, Order.m_Id.m_Text,
                     "no instances in " +
                         std::string(waveSetKindName(Order.m_Set.m_Kind)) +
                         " " + Order.m_Set.m_Name);
  TransactionBuilder Builder(View);
  Builder.write(waveRowKey(Order.m_Id), encodeRow(Wave));
  return Builder.build();
}

Result<Transaction> pauseWave(const FleetView &View, const WaveId &Id) {
  return changeState(View, Id, "pause wave", WaveState::Paused);
}

Result<Transaction> resumeWave(const FleetView &View, const WaveId &Id) {
  return changeState(View, Id, "resume wave", WaveState::Running);
}

Result<Transaction> cancelWave(const FleetView &View, const WaveId &Id) {
  return changeState(View, Id, "cancel wave", WaveState::Cancelling);
}

Error waveConflict(const std::vector<Row> &Conflicts) {
  for (const Row &R : Conflicts) {
    auto Wave = decodeWaveRow(R.m_Value);
    if (Wave)
      return conflictWith("order wave", Wave.value());
  }
  return makeError(ErrorCode::Conflict, "order wave", {},
                   "the wave has changed since the order was checked");
}

} // namespace pollenspool
