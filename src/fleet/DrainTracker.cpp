//===- DrainTracker.cpp - Acknowledgements of drained instances -----------===//

#include "fleet/DrainTracker.h"
#include <algorithm>

namespace pollenspool {

namespace {

constexpr int LastRound = 2;

} // namespace

bool DrainTracker::Drain::isSettled() const {
  return std::all_of(m_Entries.begin(), m_Entries.end(),
                     [](const auto &E) { return E.second.m_Settled; });
}

std::vector<EntryId> DrainTracker::entriesFor(const InstanceId &Id,
                                              const FleetView &View) const {
  const ListedInstance *Listed = View.findListed(Id);
  std::vector<EntryId> Entries;
  for (const DataCentreEntries &D : m_Settings.m_DataCentres) {
    // Where an unlisted instance stands is not known: everyone has to answer.
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
  D.m_FirstAsk = m_NextAsk;
  for (auto &[Entry, Word] : D.m_Entries) {
    Word = {};
    Word.m_NextAsk = Now;
    Word.m_Interval = m_Settings.m_AskInterval;
  }
}

void DrainTracker::onAck(const DrainAck &Ack) {
  auto It = m_Drains.find(Ack.m_Instance);
  if (It == m_Drains.end() || Ack.m_Ask < It->second.m_FirstAsk)
    return;
  auto Word = It->second.m_Entries.find(Ack.m_Entry);
  if (Word == It->second.m_Entries.end())
    return;
  Word->second.m_HasAnswered = true;
  Word->second.m_Epoch = Ack.m_Epoch;
  Word->second.m_InFlight = Ack.m_InFlight;
  if (Ack.m_Epoch == It->second.m_Epoch && Ack.m_InFlight == 0)
    Word->second.m_Settled = true;
}

/// A list tells of the time m_ListLag ago at worst. Only one that arrived that
/// long after the round's start proves that the entry instance's process was
/// gone within the round; an older one may mean a process whose successor is
/// already at work with the row as it was before the drain.
void DrainTracker::settleGone(Drain &D, const FleetView &View) const {
  if (!View.listTime() ||
      *View.listTime() < D.m_RoundStart + m_Settings.m_ListLag)
    return;
  for (auto &[Entry, Word] : D.m_Entries) {
    const ListedInstance *Listed = View.findListedEntry(Entry);
    if (Listed && Listed->m_State == InstanceState::Gone)
      Word.m_Settled = true;
  }
}

void DrainTracker::ask(const InstanceId &Id, Drain &D, TimePoint Now,
                       std::vector<FleetAction> &Out) {
  for (auto &[Entry, Word] : D.m_Entries) {
    if (Word.m_Settled || Word.m_NextAsk > Now)
      continue;
    Out.emplace_back(AskDrainStatus{Entry, Id, D.m_Epoch, m_NextAsk++});
    Word.m_NextAsk = Now + Word.m_Interval;
    Word.m_Interval =
        std::min(Word.m_Interval * 2, m_Settings.m_AskIntervalMax);
  }
}

void DrainTracker::tick(const FleetView &View, TimePoint Now,
                        std::vector<FleetAction> &Out) {
  for (auto It = m_Drains.begin(); It != m_Drains.end();) {
    const InstanceRow *Instance = View.findInstance(It->first);
    bool IsOver = !Instance || Instance->m_Epoch != It->second.m_Epoch;
    It = IsOver ? m_Drains.erase(It) : std::next(It);
  }
  for (auto &[Id, D] : m_Drains) {
    settleGone(D, View);
    if (D.isSettled() && D.m_Round < LastRound)
      startRound(D, D.m_Round + 1, Now);
    ask(Id, D, Now, Out);
  }
}

bool DrainTracker::isDrained(const InstanceId &Id) const {
  auto It = m_Drains.find(Id);
  return It != m_Drains.end() && It->second.m_Round == LastRound &&
         It->second.isSettled();
}

std::string DrainTracker::waitsFor(const InstanceId &Id) const {
  auto It = m_Drains.find(Id);
  if (It == m_Drains.end())
    return {};
  std::string Text;
  for (const auto &[Entry, Word] : It->second.m_Entries) {
    if (Word.m_Settled)
      continue;
    Text += Text.empty() ? "" : "; ";
    Text += "entry instance " + Entry.m_Text;
    if (!Word.m_HasAnswered)
      Text += " has not answered";
    else if (Word.m_Epoch != It->second.m_Epoch)
      Text += " sees epoch " + std::to_string(Word.m_Epoch) + " instead of " +
              std::to_string(It->second.m_Epoch);
    else
      Text += " has " + std::to_string(Word.m_InFlight) + " in flight";
  }
  return Text;
}

std::size_t DrainTracker::waiting() const {
  return static_cast<std::size_t>(
      std::count_if(m_Drains.begin(), m_Drains.end(), [](const auto &D) {
        return D.second.m_Round < LastRound || !D.second.isSettled();
      }));
}

} // namespace pollenspool
