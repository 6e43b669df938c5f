//===- WaveSchedule.cpp - Which members a wave takes, and when it ends ----===//
//
// A wave takes as many members as the budgets and its batch allow at any time.
// Pools that need the most rounds of their budget go first, since they decide
// when the wave ends; within a pool the order is by rack.
//
//===----------------------------------------------------------------------===//

#include "waves/WaveMachine.h"
#include <algorithm>
#include <tuple>

namespace pollenspool {

namespace {

/// Rows of finished members that one transaction removes.
constexpr std::size_t RemovedAtOnce = 64;

/// The failure domain of an instance that \p Rule names; empty if unknown.
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

/// True if a failed member of the wave holds a unit of the pool.
bool holdsFailed(const FleetView &View, const WaveRow &Wave,
                 const PoolName &Pool) {
  for (const auto &[Id, Member] : View.membersOf(Wave.m_Id)) {
    const InstanceRow *Instance = View.findInstance(Id);
    if (Member.m_Phase == MemberPhase::Failed && Instance &&
        Instance->m_Pool == Pool && Instance->m_Holder == holderOf(Wave.m_Id))
      return true;
  }
  return false;
}

/// Why the member can never be taken as things stand; empty if it may wait.
std::string whyStuck(const FleetView &View, const WaveRow &Wave,
                     const InstanceId &Id) {
  const InstanceRow *Instance = View.findInstance(Id);
  if (!Instance)
    return "the instance's row is gone";
  const ListedInstance *Listed = View.findListed(Id);
  if (!Listed || Listed->m_State != InstanceState::Live)
    return "the platform does not list the instance as live";
  if (View.whyNotTake(Id) && holdsFailed(View, Wave, Instance->m_Pool))
    return "failed members hold the budget of pool " + Instance->m_Pool.m_Text;
  PoolLoad Load = View.load(Instance->m_Pool);
  if (View.whyNotTake(Id) && Load.m_Held + Load.m_Lost == 0)
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
    if (!Context.m_View.maySpare(Name))
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
WaveMachine::whyNotStart(const FleetContext &Context, const WaveRow &Wave,
                         const InstanceId &Id) const {
  const ListedInstance *Listed = Context.m_View.findListed(Id);
  if (!Listed || Listed->m_State != InstanceState::Live)
    return "the platform does not list the instance as live";
  const MoveRow *Move = Context.m_View.findMove(Id);
  if (Move && Move->isActive())
    return "move " + Move->m_Id.m_Text + " comes first";
  const std::vector<InstanceId> &Held = Context.m_View.heldBy(Wave.m_Id);
  if (Held.size() >= Wave.m_MaxBatch)
    return "the wave's batch of " + std::to_string(Wave.m_MaxBatch) +
           " is full";
  if (!Held.empty() && domainOf(Context.m_View, Id, Wave.m_Rule) !=
                           domainOf(Context.m_View, Held[0], Wave.m_Rule))
    return "the wave is at " + domainOf(Context.m_View, Held[0], Wave.m_Rule);
  return Context.whyNotTake(Id);
}

void WaveMachine::takeMember(const FleetContext &Context, const WaveRow &Wave,
                             const InstanceId &Id) {
  WaveMemberRow Member;
  Member.m_Wave = Wave.m_Id;
  Member.m_Instance = Id;
  TransactionBuilder Builder(Context.m_View);
  // A wave that has been paused or cancelled meanwhile takes nothing.
  Builder.check(waveRowKey(Wave.m_Id));
  Builder.write(waveMemberRowKey(Wave.m_Id, Id), encodeRow(Member));
  WaveBatchRow Batch{Wave.m_Id, Context.m_View.heldBy(Wave.m_Id)};
  Batch.m_Held.push_back(Id);
  Builder.write(waveBatchRowKey(Wave.m_Id), encodeRow(Batch));
  Builder.take(*Context.m_View.findInstance(Id), holderOf(Wave.m_Id));
  if (Context.m_Ledger.submit(Builder.build(), Context.m_Out))
    Context.log(Event::WaveMemberDraining,
                {{"wave", Wave.m_Id.m_Text}, {"instance", Id.m_Text}});
}

void WaveMachine::startMembers(const FleetContext &Context,
                               const WaveRow &Wave) {
  if (Context.m_View.heldBy(Wave.m_Id).size() >= Wave.m_MaxBatch ||
      !Context.isListRecent())
    return;
  std::uint64_t &NothingAt = m_NothingToTakeAt[Wave.m_Id];
  if (NothingAt == Context.m_View.changeCount())
    return;
  for (const PendingPool &P : pendingPools(Context, Wave))
    for (const InstanceId &Id : P.m_Members) {
      if (whyNotStart(Context, Wave, Id))
        continue;
      // The next take needs the outcome of this one.
      takeMember(Context, Wave, Id);
      return;
    }
  NothingAt = Context.m_View.changeCount();
}

/// Gives up members that nothing but an operator or a recovery can help, once
/// there is nothing else left to do, so that the wave ends.
void WaveMachine::failStuck(const FleetContext &Context, const WaveRow &Wave) {
  std::vector<std::pair<InstanceId, std::string>> Stuck;
  bool IsStuck =
      Context.isListRecent() && Context.m_View.heldBy(Wave.m_Id).empty();
  for (const InstanceId &Id : Wave.m_Members) {
    if (!IsStuck)
      break;
    if (Context.m_View.findMember(Wave.m_Id, Id))
      continue;
    std::string Reason = whyStuck(Context.m_View, Wave, Id);
    IsStuck = !Reason.empty();
    Stuck.emplace_back(Id, Reason);
  }
  if (!IsStuck || Stuck.empty()) {
    m_StuckSince.erase(Wave.m_Id);
    return;
  }
  TimePoint Since =
      m_StuckSince.emplace(Wave.m_Id, Context.m_Now).first->second;
  if (Context.m_Now < Since + Context.m_Settings.m_StarveTimeout)
    return;
  for (const auto &[Id, Reason] : Stuck) {
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
  // A member that another runner has just taken shows in the batch.
  Builder.remove(waveBatchRowKey(Wave.m_Id));
  if (Context.m_Ledger.submit(Builder.build(), Context.m_Out))
    Context.log(Event::WaveEnding,
                {{"wave", Wave.m_Id.m_Text},
                 {"done", std::to_string(Status.m_Done)},
                 {"failed", std::to_string(Status.m_Failed)}});
}

/// Removes what an ended wave leaves behind, but for failed members that the
/// wave still holds: they are returned when they recover.
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
    Context.m_Ledger.submit(Builder.build(), Context.m_Out);
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
    auto Cause = whyNotStart(Context, Wave, Id);
    Status.m_Waits = Cause.value_or("");
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
    std::string Word = explainIn(Context, Wave, Id);
    if (Word.empty())
      continue;
    Text += (Text.empty() ? "wave " : "; wave ") + Name.m_Text + ": " + Word;
  }
  return Text;
}

std::string WaveMachine::explainIn(const FleetContext &Context,
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
    return "pending, waits because " +
           whyNotStart(Context, Wave, Id).value_or("others go first");
  }
  std::string Phase(memberPhaseName(Member->m_Phase));
  if (Member->m_Phase == MemberPhase::Failed)
    return Phase + ", " + Member->m_Reason;
  if (Member->m_Phase == MemberPhase::Rebooting)
    return Phase + ", " + explainReboot(Context, *Member);
  std::string Waits = Context.m_Drains.waitsFor(Id);
  return Waits.empty() ? Phase : Phase + ", waits because " + Waits;
}

std::string WaveMachine::explainReboot(const FleetContext &Context,
                                       const WaveMemberRow &Member) const {
  auto It = m_Progress.find(Member.m_Instance);
  if (It == m_Progress.end())
    return "the runner knows more";
  if (!It->second.m_AcceptedAt)
    return "waits because the platform has not accepted the reboot";
  if (!isBack(Context, Member, It->second))
    return "waits because the platform does not list it as back";
  return "waits for good health checks";
}

} // namespace pollenspool
