//===- WaveSchedule.cpp - Order of a wave's members, and its end ----------===//
//
// A wave holds as many members as the availability budgets and its batch allow.
// Pools with the most pending members per budget unit go first, since they
// determine when the wave ends; within a pool the order is by rack.
//
//===----------------------------------------------------------------------===//

#include "waves/WaveMachine.h"
#include <algorithm>
#include <tuple>

namespace pollenspool {

namespace {

/// Largest number of member rows that one transaction removes.
constexpr std::size_t RemovedAtOnce = 64;

/// Returns the instance's failure domain of the kind that \p Rule names; empty
/// if it is unknown or the rule is None.
std::string domainOf(const FleetView &View, const InstanceId &Id,
                     DomainRule Rule) {
  const ListedInstance *Listed = View.findListed(Id);
  if (!Listed || Rule == DomainRule::None)
    return {};
  std::string Domain = Listed->m_DataCentre.m_Text;
  if (Rule == DomainRule::Rack)
    Domain += "/" + Listed->m_Rack.m_Text;
  return Domain;
}

void sortByRack(const FleetView &View, std::vector<InstanceId> &Ids) {
  using Place = std::tuple<std::string, InstanceId>;
  std::vector<Place> Places;
  for (const InstanceId &Id : Ids)
    Places.emplace_back(domainOf(View, Id, DomainRule::Rack), Id);
  std::sort(Places.begin(), Places.end());
  for (std::size_t I = 0; I < Ids.size(); ++I)
    Ids[I] = std::get<InstanceId>(Places[I]);
}

/// True if a failed member of the wave uses a budget unit of the pool.
bool failedMemberUsesBudget(const FleetView &View, const WaveRow &Wave,
                            const PoolName &Pool) {
  for (const auto &[Id, Member] : View.membersOf(Wave.m_Id)) {
    const InstanceRow *Instance = View.findInstance(Id);
    if (Member.m_Phase == MemberPhase::Failed && Instance &&
        Instance->m_Pool == Pool && Instance->m_Holder == holderOf(Wave.m_Id))
      return true;
  }
  return false;
}

/// Why the member cannot be drained without an operator or a recovery; empty if
/// it only has to wait.
std::string blockedReason(const FleetView &View, const WaveRow &Wave,
                          const InstanceId &Id) {
  const InstanceRow *Instance = View.findInstance(Id);
  if (!Instance)
    return "the instance's row is gone from the table";
  const ListedInstance *Listed = View.findListed(Id);
  if (!Listed || Listed->m_State != InstanceState::Live)
    return "the platform does not list the instance as live";
  if (View.drainBlockReason(Id) &&
      failedMemberUsesBudget(View, Wave, Instance->m_Pool))
    return "failed members use up the availability budget of pool " +
           Instance->m_Pool.m_Text;
  PoolMemberCounts MemberCounts = View.memberCounts(Instance->m_Pool);
  if (View.drainBlockReason(Id) &&
      MemberCounts.m_Held + MemberCounts.m_Unavailable == 0)
    return "pool " + Instance->m_Pool.m_Text + " has no instance to spare";
  return {};
}

} // namespace

std::vector<WaveMachine::PendingPool>
WaveMachine::pendingPools(const FleetContext &Context,
                          const WaveRow &Wave) const {
  std::map<PoolName, PendingPool> ByPool;
  for (const InstanceId &Id : Wave.m_Members) {
    const InstanceRow *Instance = Context.m_View.findInstance(Id);
    if (!Instance || Context.m_View.findMember(Wave.m_Id, Id))
      continue;
    PendingPool &P = ByPool[Instance->m_Pool];
    P.m_Pool = Instance->m_Pool;
    P.m_Members.push_back(Id);
  }
  std::vector<PendingPool> Sorted;
  for (auto &[Name, P] : ByPool) {
    const Pool *Declared = Context.m_View.findPool(Name);
    if (!Context.m_View.canDrainAny(Name))
      continue;
    double Budget = Declared ? Declared->m_AvailabilityBudget : 0;
    P.m_Rounds =
        static_cast<double>(P.m_Members.size()) / std::max(1.0, Budget);
    sortByRack(Context.m_View, P.m_Members);
    Sorted.push_back(std::move(P));
  }
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const PendingPool &A, const PendingPool &B) {
                     return A.m_Rounds > B.m_Rounds;
                   });
  return Sorted;
}

std::optional<std::string>
WaveMachine::startBlockReason(const FleetContext &Context, const WaveRow &Wave,
                              const InstanceId &Id) const {
  const ListedInstance *Listed = Context.m_View.findListed(Id);
  if (!Listed || Listed->m_State != InstanceState::Live)
    return "the platform does not list the instance as live";
  const MoveRow *Move = Context.m_View.findMove(Id);
  if (Move && Move->isActive())
    return "move " + Move->m_Id.m_Text +
           " of the instance has to complete first";
  const std::vector<InstanceId> &Held = Context.m_View.heldBy(Wave.m_Id);
  if (Held.size() >= Wave.m_MaxBatch)
    return "the wave's batch of " + std::to_string(Wave.m_MaxBatch) +
           " instances is full";
  if (!Held.empty() && domainOf(Context.m_View, Id, Wave.m_Rule) !=
                           domainOf(Context.m_View, Held[0], Wave.m_Rule))
    return "the wave holds instances at " +
           domainOf(Context.m_View, Held[0], Wave.m_Rule);
  return Context.drainBlockReason(Id);
}

void WaveMachine::drainMember(const FleetContext &Context, const WaveRow &Wave,
                              const InstanceId &Id) {
  WaveMemberRow Member;
  Member.m_Wave = Wave.m_Id;
  Member.m_Instance = Id;
  TransactionBuilder Builder(Context.m_View);
  // The transaction fails if the wave has been paused or cancelled meanwhile.
  Builder.check(waveRowKey(Wave.m_Id));
  Builder.write(waveMemberRowKey(Wave.m_Id, Id), encodeRow(Member));
  WaveBatchRow Batch{Wave.m_Id, Context.m_View.heldBy(Wave.m_Id)};
  Batch.m_Held.push_back(Id);
  Builder.write(waveBatchRowKey(Wave.m_Id), encodeRow(Batch));
  Builder.startDrain(*Context.m_View.findInstance(Id), holderOf(Wave.m_Id));
  if (Context.m_Ledger.submit(Builder.build(), Context.m_Actions))
    Context.log(Event::WaveMemberDraining,
                {{"wave", Wave.m_Id.m_Text}, {"instance", Id.m_Text}});
}

void WaveMachine::startNextMember(const FleetContext &Context,
                                  const WaveRow &Wave) {
  if (Context.m_View.heldBy(Wave.m_Id).size() >= Wave.m_MaxBatch ||
      !Context.isListRecent())
    return;
  std::uint64_t &NoCandidateAt = m_NoCandidateAt[Wave.m_Id];
  if (NoCandidateAt == Context.m_View.changeCount())
    return;
  for (const PendingPool &P : pendingPools(Context, Wave))
    for (const InstanceId &Id : P.m_Members) {
      if (startBlockReason(Context, Wave, Id))
        continue;
      // The next decision depends on the outcome of this transaction.
      drainMember(Context, Wave, Id);
      return;
    }
  NoCandidateAt = Context.m_View.changeCount();
}

/// Marks the pending members as failed if all of them have been blocked for
/// m_BlockedTimeout and the wave holds no instance, so that the wave ends.
void WaveMachine::failBlockedMembers(const FleetContext &Context,
                                     const WaveRow &Wave) {
  std::vector<std::pair<InstanceId, std::string>> Blocked;
  bool IsBlocked =
      Context.isListRecent() && Context.m_View.heldBy(Wave.m_Id).empty();
  for (const InstanceId &Id : Wave.m_Members) {
    if (!IsBlocked)
      break;
    if (Context.m_View.findMember(Wave.m_Id, Id))
      continue;
    std::string Reason = blockedReason(Context.m_View, Wave, Id);
    IsBlocked = !Reason.empty();
    Blocked.emplace_back(Id, Reason);
  }
  if (!IsBlocked || Blocked.empty()) {
    m_BlockedSince.erase(Wave.m_Id);
    return;
  }
  TimePoint Since =
      m_BlockedSince.emplace(Wave.m_Id, Context.m_Now).first->second;
  if (Context.m_Now < Since + Context.m_Settings.m_BlockedTimeout)
    return;
  for (const auto &[Id, Reason] : Blocked) {
    WaveMemberRow Member;
    Member.m_Wave = Wave.m_Id;
    Member.m_Instance = Id;
    failMember(Context, Wave, Member, Reason);
  }
}

void WaveMachine::endWave(const FleetContext &Context, const WaveRow &Wave) {
  bool IsCancelling = Wave.m_State == WaveState::Cancelling;
  WaveStatus Status = countMembers(Context.m_View, Wave);
  if (Status.held() > 0 || (Status.m_Pending > 0 && !IsCancelling))
    return;
  WaveRow Ended = Wave;
  Ended.m_State = IsCancelling ? WaveState::Cancelled : WaveState::Done;
  Ended.m_Done = Status.m_Done;
  for (const auto &[Id, Member] : Context.m_View.membersOf(Wave.m_Id))
    if (Member.m_Phase == MemberPhase::Failed)
      Ended.m_Failed.push_back({Id, Member.m_Reason});
  TransactionBuilder Builder(Context.m_View);
  Builder.write(waveRowKey(Wave.m_Id), encodeRow(Ended));
  // If another runner has just drained a member, it has changed the batch row,
  // and this transaction fails.
  Builder.remove(waveBatchRowKey(Wave.m_Id));
  if (Context.m_Ledger.submit(Builder.build(), Context.m_Actions))
    Context.log(Event::WaveEnding,
                {{"wave", Wave.m_Id.m_Text},
                 {"done", std::to_string(Status.m_Done)},
                 {"failed", std::to_string(Status.m_Failed)}});
}

/// Removes the member rows of an ended wave, except those of failed members
/// that the wave still holds: these return to service when they recover.
void WaveMachine::removeMemberRows(const FleetContext &Context,
                                   const WaveRow &Wave) {
  TransactionBuilder Builder(Context.m_View);
  std::size_t Count = 0;
  for (const auto &[Id, Member] : Context.m_View.membersOf(Wave.m_Id)) {
    const InstanceRow *Instance = Context.m_View.findInstance(Id);
    if (Instance && Instance->m_Holder == holderOf(Wave.m_Id))
      continue;
    if (Count++ == RemovedAtOnce)
      break;
    Builder.remove(waveMemberRowKey(Wave.m_Id, Id));
  }
  if (Count > 0)
    Context.m_Ledger.submit(Builder.build(), Context.m_Actions);
}

WaveStatus WaveMachine::countMembers(const FleetView &View,
                                     const WaveRow &Wave) {
  WaveStatus Status;
  Status.m_Id = Wave.m_Id;
  Status.m_State = Wave.m_State;
  std::uint32_t *const Counts[] = {&Status.m_Draining, &Status.m_Rebooting,
                                   &Status.m_Done, &Status.m_Failed};
  const auto &Members = View.membersOf(Wave.m_Id);
  for (const auto &[Id, Member] : Members)
    ++*Counts[static_cast<std::size_t>(Member.m_Phase)];
  Status.m_Pending =
      static_cast<std::uint32_t>(Wave.m_Members.size() - Members.size());
  return Status;
}

WaveStatus WaveMachine::status(const FleetContext &Context,
                               const WaveRow &Wave) const {
  WaveStatus Status = countMembers(Context.m_View, Wave);
  if (!Wave.isActive()) {
    Status.m_Pending = 0;
    Status.m_Done = Wave.m_Done;
    Status.m_Failed = static_cast<std::uint32_t>(Wave.m_Failed.size());
    return Status;
  }
  if (Wave.m_State != WaveState::Running)
    return Status;
  for (const InstanceId &Id : Wave.m_Members) {
    if (Context.m_View.findMember(Wave.m_Id, Id))
      continue;
    auto Cause = startBlockReason(Context, Wave, Id);
    Status.m_PendingReason = Cause.value_or("");
    if (!Cause)
      break;
  }
  return Status;
}

std::string WaveMachine::explain(const FleetContext &Context,
                                 const InstanceId &Id) const {
  std::string Text;
  for (const auto &[Name, Wave] : Context.m_View.waves()) {
    if (!needsRunner(Context.m_View, Wave))
      continue;
    std::string Description = explainInWave(Context, Wave, Id);
    if (Description.empty())
      continue;
    Text +=
        (Text.empty() ? "wave " : "; wave ") + Name.m_Text + ": " + Description;
  }
  return Text;
}

std::string WaveMachine::explainInWave(const FleetContext &Context,
                                       const WaveRow &Wave,
                                       const InstanceId &Id) const {
  const WaveMemberRow *Member = Context.m_View.findMember(Wave.m_Id, Id);
  if (!Member) {
    bool IsMember = std::find(Wave.m_Members.begin(), Wave.m_Members.end(),
                              Id) != Wave.m_Members.end();
    if (!IsMember || !Wave.isActive())
      return {};
    if (Wave.m_State != WaveState::Running)
      return "pending, the wave is " + std::string(waveStateName(Wave.m_State));
    return "pending, waits because " + startBlockReason(Context, Wave, Id)
                                           .value_or("other members go first");
  }
  std::string Phase(memberPhaseName(Member->m_Phase));
  if (Member->m_Phase == MemberPhase::Failed)
    return Phase + ", " + Member->m_Reason;
  if (Member->m_Phase == MemberPhase::Rebooting)
    return Phase + ", " + explainReboot(Context, *Member);
  std::string Waits = Context.m_Drains.pendingReason(Id);
  return Waits.empty() ? Phase : Phase + ", waits because " + Waits;
}

std::string WaveMachine::explainReboot(const FleetContext &Context,
                                       const WaveMemberRow &Member) const {
  auto It = m_Progress.find(Member.m_Instance);
  if (It == m_Progress.end())
    return "only the runner knows the state of the reboot";
  if (!It->second.m_AcceptedAt)
    return "waits because the platform has not accepted the reboot";
  if (!isListedAsReturned(Context, Member, It->second))
    return "waits because the platform does not list the instance as live "
           "again";
  return "waits until enough health checks are good";
}

} // namespace pollenspool
