//===- FleetView.cpp - Local view of the fleet ----------------------------===//

#include "fleet/FleetView.h"
#include <algorithm>

namespace pollenspool {

namespace {

template <typename Map, typename Key>
const typename Map::mapped_type *findIn(const Map &In, const Key &Wanted) {
  auto It = In.find(Wanted);
  return It == In.end() ? nullptr : &It->second;
}

bool startsWith(const std::string &Text, std::string_view Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

bool isSameState(const ListedInstance &A, const ListedInstance &B) {
  return A.m_State == B.m_State && A.m_Epoch == B.m_Epoch && A.m_Id == B.m_Id;
}

std::string suffixOf(const std::string &Key, const char *Prefix) {
  return Key.substr(std::string_view(Prefix).size());
}

} // namespace

const FleetView::RowKind FleetView::RowKinds[] = {
    {InstanceRowPrefix, &FleetView::applyInstance},
    {PoolRowPrefix, &FleetView::applyBudget},
    {MoveRowPrefix, &FleetView::applyMove},
    {WaveRowPrefix, &FleetView::applyWave},
    {WaveMemberRowPrefix, &FleetView::applyMember},
    {WaveBatchRowPrefix, &FleetView::applyBatch},
    {RunnerRowKey, &FleetView::applyRunner},
};

void FleetView::setDocument(const Document &Doc) {
  ++m_ChangeCount;
  m_Pools.clear();
  for (const Pool &P : Doc.m_Pools)
    m_Pools[P.m_Name] = P;
}

void FleetView::applyRows(const RowSet &Rows) {
  for (const Row &Changed : Rows.m_Rows)
    applyRow(Changed);
  m_Revision = std::max(m_Revision, Rows.m_Revision);
}

void FleetView::applyCommit(const Transaction &Txn, Revision Committed) {
  for (const RowWrite &W : Txn.m_Writes)
    applyRow({W.m_Key, W.m_Value, Committed, W.m_Delete});
}

void FleetView::applyRow(const Row &Changed) {
  Revision &Held = m_Revisions[Changed.m_Key];
  if (Changed.m_Revision <= Held)
    return;
  Held = Changed.m_Revision;
  // The runner row changes with each renewal, but no decision about an instance
  // depends on it.
  m_ChangeCount += Changed.m_Key == RunnerRowKey ? 0 : 1;
  if (Changed.m_Deleted)
    m_Deleted.insert(Changed.m_Key);
  else
    m_Deleted.erase(Changed.m_Key);
  for (const RowKind &Kind : RowKinds) {
    if (!startsWith(Changed.m_Key, Kind.m_Prefix))
      continue;
    (this->*Kind.m_Apply)(Changed);
    return;
  }
}

void FleetView::applyInstance(const Row &Changed) {
  InstanceId Id(suffixOf(Changed.m_Key, InstanceRowPrefix));
  auto Old = m_Instances.find(Id);
  if (Old != m_Instances.end()) {
    m_PoolMembers[Old->second.m_Pool].erase(Id);
    m_Instances.erase(Old);
  }
  if (Changed.m_Deleted)
    return;
  auto Decoded = decodeInstanceRow(Changed.m_Value);
  if (!Decoded)
    return;
  m_PoolMembers[Decoded.value().m_Pool].insert(Id);
  m_Instances.emplace(Id, Decoded.value());
}

void FleetView::applyBudget(const Row &Changed) {
  auto Decoded = decodeBudgetRow(Changed.m_Value);
  if (!Changed.m_Deleted && Decoded)
    m_Budgets[Decoded.value().m_Pool] = Decoded.value();
}

void FleetView::applyMove(const Row &Changed) {
  InstanceId Id(suffixOf(Changed.m_Key, MoveRowPrefix));
  m_Moves.erase(Id);
  auto Decoded = decodeMoveRow(Changed.m_Value);
  if (!Changed.m_Deleted && Decoded)
    m_Moves.emplace(Id, Decoded.value());
}

void FleetView::applyWave(const Row &Changed) {
  WaveId Id(suffixOf(Changed.m_Key, WaveRowPrefix));
  m_Waves.erase(Id);
  auto Decoded = decodeWaveRow(Changed.m_Value);
  if (!Changed.m_Deleted && Decoded)
    m_Waves.emplace(Id, Decoded.value());
}

void FleetView::applyMember(const Row &Changed) {
  std::string Name = suffixOf(Changed.m_Key, WaveMemberRowPrefix);
  auto Slash = Name.find('/');
  if (Slash == std::string::npos)
    return;
  InstanceId Id(Name.substr(Slash + 1));
  auto &Members = m_Members[WaveId(Name.substr(0, Slash))];
  Members.erase(Id);
  auto Decoded = decodeWaveMemberRow(Changed.m_Value);
  if (!Changed.m_Deleted && Decoded)
    Members.emplace(Id, Decoded.value());
}

void FleetView::applyBatch(const Row &Changed) {
  WaveId Id(suffixOf(Changed.m_Key, WaveBatchRowPrefix));
  m_Batches.erase(Id);
  auto Decoded = decodeWaveBatchRow(Changed.m_Value);
  if (!Changed.m_Deleted && Decoded)
    m_Batches.emplace(Id, Decoded.value().m_Held);
}

void FleetView::applyRunner(const Row &Changed) {
  m_Runner.reset();
  auto Decoded = decodeRunnerRow(Changed.m_Value);
  if (!Changed.m_Deleted && Decoded)
    m_Runner = Decoded.value();
}

void FleetView::applyList(const std::vector<ListedInstance> &List,
                          TimePoint Now) {
  m_ListTime = Now;
  if (std::equal(List.begin(), List.end(), m_List.begin(), m_List.end(),
                 isSameState))
    return;
  ++m_ChangeCount;
  m_List = List;
  m_ListIndex.clear();
  m_EntryIndex.clear();
  for (std::size_t I = 0; I < m_List.size(); ++I) {
    if (m_List[I].m_Kind == InstanceKind::Backend)
      m_ListIndex[m_List[I].m_Id] = I;
    else
      m_EntryIndex[EntryId(m_List[I].m_Address)] = I;
  }
}

void FleetView::setUnhealthy(const InstanceId &Id, bool IsUnhealthy) {
  ++m_ChangeCount;
  if (IsUnhealthy)
    m_Unhealthy.insert(Id);
  else
    m_Unhealthy.erase(Id);
}

Revision FleetView::revisionOf(const std::string &Key) const {
  const Revision *Held = findIn(m_Revisions, Key);
  return Held && m_Deleted.count(Key) == 0 ? *Held : 0;
}

const InstanceRow *FleetView::findInstance(const InstanceId &Id) const {
  return findIn(m_Instances, Id);
}

const MoveRow *FleetView::findMove(const InstanceId &Id) const {
  return findIn(m_Moves, Id);
}

const MoveRow *FleetView::findMove(const MoveId &Id) const {
  for (const auto &[Instance, Move] : m_Moves)
    if (Move.m_Id == Id)
      return &Move;
  return nullptr;
}

const WaveRow *FleetView::findWave(const WaveId &Id) const {
  return findIn(m_Waves, Id);
}

const WaveMemberRow *FleetView::findMember(const WaveId &Wave,
                                           const InstanceId &Id) const {
  return findIn(membersOf(Wave), Id);
}

const ListedInstance *FleetView::findListed(const InstanceId &Id) const {
  const std::size_t *Index = findIn(m_ListIndex, Id);
  return Index ? &m_List[*Index] : nullptr;
}

const ListedInstance *FleetView::findListedEntry(const EntryId &Id) const {
  const std::size_t *Index = findIn(m_EntryIndex, Id);
  return Index ? &m_List[*Index] : nullptr;
}

const Pool *FleetView::findPool(const PoolName &Name) const {
  return findIn(m_Pools, Name);
}

BudgetRow FleetView::budget(const PoolName &Name) const {
  const BudgetRow *Held = findIn(m_Budgets, Name);
  return Held ? *Held : BudgetRow{Name, {}};
}

const std::set<InstanceId> &FleetView::membersOf(const PoolName &Name) const {
  static const std::set<InstanceId> None;
  const auto *Members = findIn(m_PoolMembers, Name);
  return Members ? *Members : None;
}

const std::map<InstanceId, WaveMemberRow> &
FleetView::membersOf(const WaveId &Wave) const {
  static const std::map<InstanceId, WaveMemberRow> None;
  const auto *Members = findIn(m_Members, Wave);
  return Members ? *Members : None;
}

const std::vector<InstanceId> &FleetView::heldBy(const WaveId &Wave) const {
  static const std::vector<InstanceId> None;
  const auto *Held = findIn(m_Batches, Wave);
  return Held ? *Held : None;
}

bool FleetView::isUnavailable(const InstanceId &Id) const {
  if (m_Unhealthy.count(Id) != 0)
    return true;
  const ListedInstance *Listed = findListed(Id);
  return Listed && Listed->m_State != InstanceState::Live;
}

PoolMemberCounts FleetView::memberCounts(const PoolName &Name) const {
  PoolMemberCounts MemberCounts;
  for (const InstanceId &Id : membersOf(Name)) {
    ++MemberCounts.m_Members;
    if (m_Instances.at(Id).m_State != ServingState::Serving)
      ++MemberCounts.m_Held;
    else if (isUnavailable(Id))
      ++MemberCounts.m_Unavailable;
    else
      ++MemberCounts.m_Serving;
  }
  return MemberCounts;
}

bool FleetView::canDrainAny(const PoolName &Name) const {
  const Pool *P = findPool(Name);
  if (!P)
    return false;
  PoolMemberCounts MemberCounts = memberCounts(Name);
  std::uint32_t OutOfService = MemberCounts.m_Held + MemberCounts.m_Unavailable;
  // The drain of an unavailable instance does not reduce the number of serving
  // instances.
  return (MemberCounts.m_Unavailable > 0 &&
          OutOfService <= P->m_AvailabilityBudget) ||
         (MemberCounts.m_Serving > P->m_MinServing &&
          OutOfService < P->m_AvailabilityBudget);
}

std::optional<std::string>
FleetView::budgetBlockReason(const PoolName &Name, const InstanceId &Id) const {
  const Pool *P = findPool(Name);
  if (!P)
    return "pool " + Name.m_Text + " is not in the configuration document";
  PoolMemberCounts MemberCounts = memberCounts(Name);
  // The drain of an unavailable instance leaves the pool's number of serving
  // instances as it is.
  bool IsUnavailable = isUnavailable(Id);
  std::uint32_t Serving = MemberCounts.m_Serving - (IsUnavailable ? 0 : 1);
  if (Serving < P->m_MinServing)
    return "pool " + Name.m_Text + " would have " + std::to_string(Serving) +
           " serving instances of " + std::to_string(P->m_MinServing) +
           " promised (" + std::to_string(MemberCounts.m_Held) + " held, " +
           std::to_string(MemberCounts.m_Unavailable) + " lost or unhealthy)";
  std::uint32_t OutOfService = MemberCounts.m_Held +
                               MemberCounts.m_Unavailable +
                               (IsUnavailable ? 0 : 1);
  if (OutOfService > P->m_AvailabilityBudget)
    return "pool " + Name.m_Text + " has its availability budget of " +
           std::to_string(P->m_AvailabilityBudget) + " spent (" +
           std::to_string(MemberCounts.m_Held) + " held, " +
           std::to_string(MemberCounts.m_Unavailable) + " lost or unhealthy)";
  return std::nullopt;
}

std::optional<std::string>
FleetView::drainBlockReason(const InstanceId &Id) const {
  const InstanceRow *Instance = findInstance(Id);
  if (!Instance)
    return "instance " + Id.m_Text + " has no row";
  if (Instance->m_State != ServingState::Serving)
    return "instance " + Id.m_Text + " is held by " + Instance->m_Holder;
  return budgetBlockReason(Instance->m_Pool, Id);
}

} // namespace pollenspool
