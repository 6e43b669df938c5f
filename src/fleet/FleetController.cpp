//===- FleetController.cpp - Decision core of moves and waves -------------===//

#include "fleet/FleetController.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Number of renewals of the runner row within its lease, so that one lost
/// renewal does not end the lease.
constexpr int RenewalsPerLease = 3;

bool isKnownEntry(const FleetSettings &Settings, const EntryId &Id) {
  for (const DataCentreEntries &D : Settings.m_DataCentres)
    for (const EntryId &E : D.m_Entries)
      if (E == Id)
        return true;
  return false;
}

Error invalidSettings(std::string Detail) {
  return makeError(ErrorCode::InvalidSettings, "create fleet controller", {},
                   std::move(Detail));
}

} // namespace

FleetController::Parts::Parts(FleetSettings InitialSettings)
    : m_Settings(std::move(InitialSettings)), m_Drains(m_Settings),
      m_Ledger(m_Settings.m_ProcessToken) {}

Result<FleetController> FleetController::create(FleetSettings Settings) {
  if (!isKnownEntry(Settings, Settings.m_Self))
    return invalidSettings("entry instance " + Settings.m_Self.m_Text +
                           " is in no data centre of the settings");
  if (Settings.m_ProcessToken.empty())
    return invalidSettings("the process token is empty");
  if (Settings.m_MaxListAge <= Duration::zero() ||
      Settings.m_QueryInterval <= Duration::zero() ||
      Settings.m_RequiredHealthChecks == 0)
    return invalidSettings("an interval or a count is not positive");
  return FleetController(std::make_unique<Parts>(std::move(Settings)));
}

const std::vector<std::string> &FleetController::rowPrefixes() {
  static const std::vector<std::string> Prefixes = {
      InstanceRowPrefix,   PoolRowPrefix,      MoveRowPrefix, WaveRowPrefix,
      WaveMemberRowPrefix, WaveBatchRowPrefix, RunnerRowKey};
  return Prefixes;
}

FleetContext FleetController::context() const {
  Parts &P = *m_Parts;
  return {P.m_Settings, P.m_View, P.m_Drains, P.m_Ledger, P.m_Actions, P.m_Now};
}

void FleetController::onDocument(const Document &Doc) {
  m_Parts->m_View.setDocument(Doc);
}

void FleetController::onRows(const RowSet &Rows, TimePoint Now) {
  m_Parts->m_View.applyRows(Rows);
  m_Parts->m_Ledger.onRows(m_Parts->m_View);
  step(Now);
}

void FleetController::onListedInstances(const std::vector<ListedInstance> &List,
                                        TimePoint Now) {
  m_Parts->m_View.applyList(List, Now);
  step(Now);
}

void FleetController::onTransactionResult(const std::string &Token,
                                          const Result<CommitResult> &Outcome,
                                          TimePoint Now) {
  m_Parts->m_Ledger.onResult(Token, Outcome, m_Parts->m_View,
                             m_Parts->m_Actions);
  step(Now);
}

void FleetController::onDrainAck(const DrainAck &Ack, TimePoint Now) {
  m_Parts->m_Drains.onAck(Ack);
  m_Parts->m_Drains.tick(m_Parts->m_View, Now, m_Parts->m_Actions);
  if (m_Parts->m_Drains.isDrained(Ack.m_Instance))
    step(Now);
}

void FleetController::onRebootReply(const InstanceId &Id,
                                    const std::string &Token, bool IsAccepted,
                                    TimePoint Now) {
  m_Parts->m_Waves.onRebootReply(Id, Token, IsAccepted, Now);
}

void FleetController::onHealth(const InstanceId &Id, bool IsOk, TimePoint Now) {
  m_Parts->m_Waves.onHealth(Id, IsOk);
  step(Now);
}

void FleetController::onInstanceUnhealthy(const InstanceId &Id,
                                          bool IsUnhealthy) {
  m_Parts->m_View.setUnhealthy(Id, IsUnhealthy);
}

void FleetController::tick(TimePoint Now) { step(Now); }

std::vector<FleetAction> FleetController::takeActions() {
  std::vector<FleetAction> Actions;
  Actions.swap(m_Parts->m_Actions);
  return Actions;
}

bool FleetController::isRunner() const {
  const auto &Runner = m_Parts->m_View.runner();
  return Runner && Runner->m_Holder == m_Parts->m_Settings.m_Self;
}

bool FleetController::hasWork() const {
  const FleetView &View = m_Parts->m_View;
  bool HasMoves =
      std::any_of(View.moves().begin(), View.moves().end(),
                  [](const auto &M) { return M.second.isActive(); });
  return HasMoves ||
         std::any_of(View.waves().begin(), View.waves().end(),
                     [&View](const auto &W) {
                       return WaveMachine::needsRunner(View, W.second);
                     });
}

void FleetController::step(TimePoint Now) {
  Parts &P = *m_Parts;
  P.m_Now = std::max(P.m_Now, Now);
  stepRunner();
  if (!isRunner()) {
    P.m_Drains.forgetAll();
    P.m_Waves.forgetAll();
    return;
  }
  FleetContext Context = context();
  P.m_Moves.step(Context);
  P.m_Waves.step(Context);
  P.m_Drains.tick(P.m_View, P.m_Now, P.m_Actions);
}

/// Renews the runner row, or takes it over if its holder has not renewed it for
/// the length of the lease. The time is measured by this process's steady clock
/// from the arrival of the last renewal, so that no clocks of two machines are
/// compared.
void FleetController::stepRunner() {
  Parts &P = *m_Parts;
  Revision Held = P.m_View.revisionOf(RunnerRowKey);
  if (Held != P.m_RunnerRevision) {
    P.m_RunnerRevision = Held;
    P.m_RunnerRenewedAt = P.m_Now;
  }
  if (!hasWork() || P.m_NextRenewal > P.m_Now)
    return;
  bool IsFree = !P.m_View.runner() ||
                P.m_Now - P.m_RunnerRenewedAt >= P.m_Settings.m_RunnerLease;
  if (isRunner() || IsFree)
    writeRunner();
}

void FleetController::writeRunner() {
  Parts &P = *m_Parts;
  RunnerRow Next;
  Next.m_Holder = P.m_Settings.m_Self;
  Next.m_RenewalCount =
      P.m_View.runner() ? P.m_View.runner()->m_RenewalCount + 1 : 1;
  TransactionBuilder Builder(P.m_View);
  Builder.write(RunnerRowKey, encodeRow(Next));
  if (!P.m_Ledger.submit(Builder.build(), P.m_Actions))
    return;
  P.m_NextRenewal = P.m_Now + P.m_Settings.m_RunnerLease / RenewalsPerLease;
  if (!isRunner())
    context().log(Event::RunnerChanged, {{"entry", Next.m_Holder.m_Text}});
}

std::string FleetController::explain(const InstanceId &Id) const {
  const InstanceRow *Instance = view().findInstance(Id);
  if (!Instance)
    return "instance " + Id.m_Text + " has no row";
  FleetContext Context = context();
  std::string Text = std::string(servingStateName(Instance->m_State)) +
                     " in pool " + Instance->m_Pool.m_Text;
  for (const std::string &Reason : {m_Parts->m_Moves.explain(Context, Id),
                                    m_Parts->m_Waves.explain(Context, Id)})
    if (!Reason.empty())
      Text += "; " + Reason;
  const auto &Runner = view().runner();
  if (!isRunner() && Runner && hasWork())
    Text += "; the runner is entry instance " + Runner->m_Holder.m_Text;
  return Text;
}

FleetStatus FleetController::status() const {
  FleetContext Context = context();
  FleetStatus Status;
  if (view().runner())
    Status.m_Runner = view().runner()->m_Holder;
  Status.m_IsRunner = isRunner();
  for (const auto &[Id, Move] : view().moves())
    Status.m_Moves.push_back({Move, m_Parts->m_Moves.explain(Context, Id)});
  for (const auto &[Id, Wave] : view().waves())
    Status.m_Waves.push_back(m_Parts->m_Waves.status(Context, Wave));
  Status.m_PendingDrains = m_Parts->m_Drains.pendingCount();
  Status.m_PendingTransactions = m_Parts->m_Ledger.pendingCount();
  Status.m_Conflicts = m_Parts->m_Ledger.conflicts();
  return Status;
}

} // namespace pollenspool
