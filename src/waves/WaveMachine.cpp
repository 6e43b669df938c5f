//===- WaveMachine.cpp - State machine of maintenance waves ---------------===//

#include "waves/WaveMachine.h"
#include <algorithm>
#include <tuple>

namespace pollenspool {

namespace {

std::vector<LogField> memberFields(const WaveRow &Wave, const InstanceId &Id) {
  return {{"wave", Wave.m_Id.m_Text}, {"instance", Id.m_Text}};
}

/// Removes \p Id from the wave's batch row if it is in it.
void removeFromBatch(TransactionBuilder &Builder, const FleetView &View,
                     const WaveRow &Wave, const InstanceId &Id) {
  WaveBatchRow Batch{Wave.m_Id, View.heldBy(Wave.m_Id)};
  auto &Held = Batch.m_Held;
  auto It = std::find(Held.begin(), Held.end(), Id);
  if (It == Held.end())
    return;
  Held.erase(It);
  Builder.write(waveBatchRowKey(Wave.m_Id), encodeRow(Batch));
}

} // namespace

const WaveMachine::PhaseStep WaveMachine::PhaseSteps[] = {
    &WaveMachine::stepDraining, &WaveMachine::stepRebooting,
    &WaveMachine::stepDone, &WaveMachine::stepFailed};

bool WaveMachine::needsRunner(const FleetView &View, const WaveRow &Wave) {
  return Wave.isActive() || !View.membersOf(Wave.m_Id).empty();
}

void WaveMachine::step(const FleetContext &Context) {
  for (const auto &[Id, Wave] : Context.m_View.waves()) {
    if (!needsRunner(Context.m_View, Wave))
      continue;
    stepMembers(Context, Wave);
    if (Wave.m_State == WaveState::Running) {
      startNextMember(Context, Wave);
      failBlockedMembers(Context, Wave);
    }
    if (Wave.isActive())
      endWave(Context, Wave);
    else
      removeMemberRows(Context, Wave);
  }
}

void WaveMachine::stepMembers(const FleetContext &Context,
                              const WaveRow &Wave) {
  for (const auto &[Id, Member] : Context.m_View.membersOf(Wave.m_Id)) {
    auto Step = PhaseSteps[static_cast<std::size_t>(Member.m_Phase)];
    (this->*Step)(Context, Wave, Member);
  }
}

WaveMachine::Progress &WaveMachine::progressOf(const FleetContext &Context,
                                               const WaveMemberRow &Member) {
  Progress &P = m_Progress[Member.m_Instance];
  if (P.m_Wave == Member.m_Wave && P.m_Phase == Member.m_Phase &&
      P.m_Token == Member.m_RebootToken)
    return P;
  P = {};
  P.m_Wave = Member.m_Wave;
  P.m_Phase = Member.m_Phase;
  P.m_Token = Member.m_RebootToken;
  P.m_Since = Context.m_Now;
  P.m_NextReboot = Context.m_Now;
  P.m_NextHealth = Context.m_Now;
  return P;
}

/// Removes the progress of the member, unless it belongs to another wave:
/// several waves may have the instance as a member, but only one of them holds
/// it.
void WaveMachine::dropProgress(const WaveMemberRow &Member) {
  auto It = m_Progress.find(Member.m_Instance);
  if (It != m_Progress.end() && It->second.m_Wave == Member.m_Wave)
    m_Progress.erase(It);
}

void WaveMachine::stepDraining(const FleetContext &Context, const WaveRow &Wave,
                               const WaveMemberRow &Member) {
  const InstanceRow *Instance = Context.m_View.findInstance(Member.m_Instance);
  if (!Instance)
    return failMember(Context, Wave, Member,
                      "the instance's row is gone from the table");
  if (Wave.m_State == WaveState::Cancelling) {
    TransactionBuilder Builder(Context.m_View);
    Builder.remove(waveMemberRowKey(Wave.m_Id, Member.m_Instance));
    removeFromBatch(Builder, Context.m_View, Wave, Member.m_Instance);
    Builder.returnToService(*Instance, Instance->m_Pool);
    Context.m_Ledger.submit(Builder.build(), Context.m_Actions);
    return;
  }
  Context.m_Drains.watch(Member.m_Instance, Instance->m_Epoch, Context.m_View,
                         Context.m_Now);
  if (!Context.m_Drains.isDrained(Member.m_Instance))
    return;
  const ListedInstance *Listed = Context.m_View.findListed(Member.m_Instance);
  WaveMemberRow Next = Member;
  Next.m_Phase = MemberPhase::Rebooting;
  Next.m_ListEpoch = Listed ? Listed->m_Epoch : 0;
  Next.m_RebootToken = Wave.m_Id.m_Text + "." + Member.m_Instance.m_Text + "." +
                       std::to_string(Instance->m_Epoch);
  TransactionBuilder Builder(Context.m_View);
  Builder.write(waveMemberRowKey(Wave.m_Id, Member.m_Instance),
                encodeRow(Next));
  Builder.setAway(*Instance);
  if (Context.m_Ledger.submit(Builder.build(), Context.m_Actions))
    Context.log(Event::WaveMemberRebooting,
                memberFields(Wave, Member.m_Instance));
}

void WaveMachine::requestReboot(const FleetContext &Context,
                                const WaveMemberRow &Member, Progress &P) {
  if (P.m_AcceptedAt || P.m_NextReboot > Context.m_Now)
    return;
  P.m_NextReboot = Context.m_Now + Context.m_Settings.m_RebootRetry;
  Context.m_Actions.emplace_back(
      RebootInstance{Member.m_Instance, Member.m_RebootToken});
}

/// The instance is Leaving from the time at which the platform accepts its
/// reboot. A list requested m_ListLag after that shows a later state, so an
/// instance that is Live in it has returned. A higher epoch alone does not
/// prove this: an unplanned restart just before the reboot raises the epoch as
/// well.
bool WaveMachine::isListedAsReturned(const FleetContext &Context,
                                     const WaveMemberRow &Member,
                                     const Progress &P) const {
  const ListedInstance *Listed = Context.m_View.findListed(Member.m_Instance);
  return P.m_AcceptedAt && Listed && Listed->m_State == InstanceState::Live &&
         Listed->m_Epoch > Member.m_ListEpoch &&
         *Context.m_View.listTime() >=
             *P.m_AcceptedAt + Context.m_Settings.m_ListLag;
}

/// Requests the reboot and the health checks that are due, and returns whether
/// the instance has returned and passed enough health checks.
bool WaveMachine::hasReturned(const FleetContext &Context,
                              const WaveMemberRow &Member, Progress &P,
                              Duration HealthInterval) {
  requestReboot(Context, Member, P);
  if (!isListedAsReturned(Context, Member, P)) {
    P.m_PassedChecks = 0;
    return false;
  }
  if (P.m_PassedChecks >= Context.m_Settings.m_RequiredHealthChecks)
    return true;
  if (P.m_NextHealth <= Context.m_Now) {
    P.m_NextHealth = Context.m_Now + HealthInterval;
    Context.m_Actions.emplace_back(CheckHealth{Member.m_Instance});
  }
  return false;
}

void WaveMachine::stepRebooting(const FleetContext &Context,
                                const WaveRow &Wave,
                                const WaveMemberRow &Member) {
  Progress &P = progressOf(Context, Member);
  // While the platform is unreachable the return of the instance cannot be
  // observed, so the time limit starts again.
  if (!Context.isListRecent())
    P.m_Since = Context.m_Now;
  if (hasReturned(Context, Member, P, Context.m_Settings.m_HealthInterval))
    return returnMember(Context, Wave, Member);
  if (Context.m_Now < P.m_Since + Context.m_Settings.m_ReturnTimeout)
    return;
  failMember(Context, Wave, Member,
             P.m_HasFailedCheck
                 ? "returned from its reboot but fails its health checks"
                 : "did not return from its reboot in time");
}

void WaveMachine::returnMember(const FleetContext &Context, const WaveRow &Wave,
                               const WaveMemberRow &Member) {
  const InstanceRow *Instance = Context.m_View.findInstance(Member.m_Instance);
  std::string Key = waveMemberRowKey(Wave.m_Id, Member.m_Instance);
  TransactionBuilder Builder(Context.m_View);
  if (Wave.isActive()) {
    WaveMemberRow Next = Member;
    Next.m_Phase = MemberPhase::Done;
    Next.m_Reason.clear();
    Builder.write(Key, encodeRow(Next));
  } else {
    Builder.remove(Key);
  }
  removeFromBatch(Builder, Context.m_View, Wave, Member.m_Instance);
  if (Instance && Instance->m_Holder == holderOf(Wave.m_Id))
    Builder.returnToService(*Instance, Instance->m_Pool);
  if (Context.m_Ledger.submit(Builder.build(), Context.m_Actions))
    Context.log(Event::WaveMemberReturned,
                memberFields(Wave, Member.m_Instance));
}

void WaveMachine::failMember(const FleetContext &Context, const WaveRow &Wave,
                             WaveMemberRow Member, const std::string &Reason) {
  std::string Key = waveMemberRowKey(Wave.m_Id, Member.m_Instance);
  Member.m_Phase = MemberPhase::Failed;
  Member.m_Reason = Reason;
  TransactionBuilder Builder(Context.m_View);
  Builder.write(Key, encodeRow(Member));
  Builder.check(waveRowKey(Wave.m_Id));
  removeFromBatch(Builder, Context.m_View, Wave, Member.m_Instance);
  if (!Context.m_Ledger.submit(Builder.build(), Context.m_Actions))
    return;
  std::vector<LogField> Fields = memberFields(Wave, Member.m_Instance);
  Fields.push_back({"reason", Reason});
  Context.log(Event::WaveMemberFailed, std::move(Fields));
}

void WaveMachine::stepDone(const FleetContext &, const WaveRow &,
                           const WaveMemberRow &Member) {
  dropProgress(Member);
}

void WaveMachine::stepFailed(const FleetContext &Context, const WaveRow &Wave,
                             const WaveMemberRow &Member) {
  const InstanceRow *Instance = Context.m_View.findInstance(Member.m_Instance);
  bool IsHeld = Instance && Instance->m_Holder == holderOf(Wave.m_Id);
  if (!IsHeld) {
    dropProgress(Member);
    return;
  }
  Progress &P = progressOf(Context, Member);
  if (hasReturned(Context, Member, P,
                  Context.m_Settings.m_FailedHealthInterval))
    returnMember(Context, Wave, Member);
}

void WaveMachine::onRebootReply(const InstanceId &Id, const std::string &Token,
                                bool IsAccepted, TimePoint Now) {
  auto It = m_Progress.find(Id);
  if (It == m_Progress.end() || It->second.m_Token != Token || !IsAccepted)
    return;
  if (!It->second.m_AcceptedAt)
    It->second.m_AcceptedAt = Now;
}

void WaveMachine::onHealth(const InstanceId &Id, bool IsOk) {
  auto It = m_Progress.find(Id);
  if (It == m_Progress.end())
    return;
  It->second.m_PassedChecks = IsOk ? It->second.m_PassedChecks + 1 : 0;
  It->second.m_HasFailedCheck |= !IsOk;
}

} // namespace pollenspool
