//===- DrainTracker.cpp - Acknowledgements of drained instances -----------===//

#include "fleet/DrainTracker.h"
#include <algorithm>

namespace pollenspool {

namespace {

constexpr int LastRound = 2;

} // namespace

bool DrainTracker::Drain::haveAllConfirmed() const {
  return std::all_of(m_Entries.begin(), m_Entries.end(),
                     [](const auto &E) { return E.second.m_HasConfirmed; });
}

std::vector<EntryId> DrainTracker::entriesFor(const InstanceId &Id,
                                              const FleetView &View) const {
  const ListedInstance *Listed = View.findListed(Id);
  std::vector<EntryId> Entries;
  for (const DataCentreEntries &D : m_Settings.m_DataCentres) {
    // The data centre of an unlisted instance is unknown, so all entry
    // instances have to acknowledge.
    if (Listed && !(D.m_DataCentre == Listed->m_DataCentre))
      continue;
    Entries.insert(Entries.end(), D.m_Entries.begin(), D.m_Entries.end());
  }
  return Entries;
}

void DrainTracker::watch(const InstanceId &Id, std::uint64_t Epoch,
                         const FleetView &View, TimePoint Now) {
  auto It = m_Drains.find(Id);
  if (It != m_Drains.end() && It->second.m_Epoch == Epoch)
    return;
  Drain D;
  D.m_Epoch = Epoch;
  for (const EntryId &E : entriesFor(Id, View))
    D.m_Entries[E] = {};
  startRound(D, 1, Now);
  m_Drains[Id] = std::move(D);
}

void DrainTracker::startRound(Drain &D, int Round, TimePoint Now) {
  D.m_Round = Round;
  D.m_RoundStart = Now;
  D.m_FirstQueryNumber = m_NextQueryNumber;
  for (auto &[Entry, State] : D.m_Entries) {
    State = {};
    State.m_NextQueryTime = Now;
    State.m_Interval = m_Settings.m_QueryInterval;
  }
}

void DrainTracker::onAck(const DrainAck &Ack) {
  auto It = m_Drains.find(Ack.m_Instance);
  if (It == m_Drains.end() || Ack.m_QueryNumber < It->second.m_FirstQueryNumber)
    return;
  auto State = It->second.m_Entries.find(Ack.m_Entry);
  if (State == It->second.m_Entries.end())
    return;
  State->second.m_HasAnswered = true;
  State->second.m_Epoch = Ack.m_Epoch;
  State->second.m_InFlight = Ack.m_InFlight;
  if (Ack.m_Epoch == It->second.m_Epoch && Ack.m_InFlight == 0)
    State->second.m_HasConfirmed = true;
}

/// Confirms entry instances that the platform lists as Gone. A list may be up
/// to m_ListLag out of date, so only a list requested at least that long after
/// the start of the round proves that the process had ended within the round.
/// An older list may refer to an earlier process of an entry instance that has
/// already restarted and still uses the row from before the drain.
void DrainTracker::confirmGoneEntries(Drain &D, const FleetView &View) const {
  if (!View.listTime() ||
      *View.listTime() < D.m_RoundStart + m_Settings.m_ListLag)
    return;
  for (auto &[Entry, State] : D.m_Entries) {
    const ListedInstance *Listed = View.findListedEntry(Entry);
    if (Listed && Listed->m_State == InstanceState::Gone)
      State.m_HasConfirmed = true;
  }
}

void DrainTracker::sendQueries(const InstanceId &Id, Drain &D, TimePoint Now,
                               std::vector<FleetAction> &Actions) {
  for (auto &[Entry, State] : D.m_Entries) {
    if (State.m_HasConfirmed || State.m_NextQueryTime > Now)
      continue;
    Actions.emplace_back(
        DrainStatusQuery{Entry, Id, D.m_Epoch, m_NextQueryNumber++});
    State.m_NextQueryTime = Now + State.m_Interval;
    State.m_Interval =
        std::min(State.m_Interval * 2, m_Settings.m_MaxQueryInterval);
  }
}

void DrainTracker::tick(const FleetView &View, TimePoint Now,
                        std::vector<FleetAction> &Actions) {
  for (auto It = m_Drains.begin(); It != m_Drains.end();) {
    const InstanceRow *Instance = View.findInstance(It->first);
    bool IsOver = !Instance || Instance->m_Epoch != It->second.m_Epoch;
    It = IsOver ? m_Drains.erase(It) : std::next(It);
  }
  for (auto &[Id, D] : m_Drains) {
    confirmGoneEntries(D, View);
    if (D.haveAllConfirmed() && D.m_Round < LastRound)
      startRound(D, D.m_Round + 1, Now);
    sendQueries(Id, D, Now, Actions);
  }
}

bool DrainTracker::isDrained(const InstanceId &Id) const {
  auto It = m_Drains.find(Id);
  return It != m_Drains.end() && It->second.m_Round == LastRound &&
         It->second.haveAllConfirmed();
}

std::string DrainTracker::pendingReason(const InstanceId &Id) const {
  auto It = m_Drains.find(Id);
  if (It == m_Drains.end())
    return {};
  std::string Text;
  for (const auto &[Entry, State] : It->second.m_Entries) {
    if (State.m_HasConfirmed)
      continue;
    Text += Text.empty() ? "" : "; ";
    Text += "entry instance " + Entry.m_Text;
    if (!State.m_HasAnswered)
      Text += " has not answered";
    else if (State.m_Epoch != It->second.m_Epoch)
      Text += " has epoch " + std::to_string(State.m_Epoch) + " instead of " +
              std::to_string(It->second.m_Epoch);
    else
      Text +=
          " has " + std::to_string(State.m_InFlight) + " requests in flight";
  }
  return Text;
}

std::size_t DrainTracker::pendingCount() const {
  return static_cast<std::size_t>(
      std::count_if(m_Drains.begin(), m_Drains.end(), [](const auto &D) {
        return D.second.m_Round < LastRound || !D.second.haveAllConfirmed();
      }));
}

} // namespace pollenspool
