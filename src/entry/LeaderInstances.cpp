//===- LeaderInstances.cpp - The leader's orders for instances ------------===//

#include "base/Log.h"
#include "entry/Leader.h"
#include "instances/WaveRows.h"

namespace pollenspool {

namespace {

constexpr Duration CallTimeout = std::chrono::milliseconds(800);
constexpr Duration RetryPause = std::chrono::milliseconds(200);
/// Waves that are kept in the store; one of each three weeks.
constexpr std::size_t MaxWaves = 500;
/// Between two plans for instances: an order takes seconds to have an effect.
constexpr Duration PlanEvery = std::chrono::milliseconds(100);

const char *resultName(InstanceOrderResult R) {
  static constexpr const char *Names[] = {
      "done", "fenced", "busy", "no_wave", "invalid", "refused", "unknown"};
  return Names[static_cast<std::size_t>(R)];
}

} // namespace

void Leader::readWaves() {
  m_Ports.m_Store.read(
      WavesTable, {}, MaxWaves, CallTimeout,
      [Weak = weak_from_this()](Result<RowPage> Page) {
        auto Self = Weak.lock();
        if (!Self || Self->m_Stopped)
          return;
        if (!Page) {
          Self->m_Loop.after(RetryPause, [Weak] {
            if (auto Again = Weak.lock(); Again && !Again->m_Stopped)
              Again->readWaves();
          });
          return;
        }
        for (const StoredRow &Row : Page.value().m_Rows)
          if (auto P = decodeWaveProgress(Row.m_Value))
            Self->m_RecordedWaves[WaveId(Row.m_At.m_Key)] = P.value();
        Self->m_WavesRead = true;
        for (const WaveRequest &Wave : Self->m_WavesToTake)
          Self->takeWave(Wave);
        Self->m_WavesToTake.clear();
      });
}

void Leader::onWave(const WaveRequest &Wave) {
  if (m_WavesRead)
    takeWave(Wave);
  else
    m_WavesToTake.push_back(Wave);
}

void Leader::takeWave(const WaveRequest &Wave) {
  if (m_Planner->knows(Wave.m_Id))
    return;
  WaveProgress Progress = m_RecordedWaves[Wave.m_Id];
  if (Progress.m_SeenAt.count() == 0)
    Progress.m_SeenAt = wallNow();
  m_Planner->onWave(Wave, Progress);
}

void Leader::orderInstances() {
  TimePoint Now = m_Loop.now();
  if (Now < m_NextPlan || !m_WavesRead || !m_Lead.isValid(Now))
    return;
  m_NextPlan = Now + PlanEvery;
  for (const InstanceOrder &Order : m_Planner->plan(Now, wallNow()))
    giveOrder(Order);
}

void Leader::giveOrder(const InstanceOrder &Order) {
  auto Then = [Weak = weak_from_this(), Order](InstanceOrderResult R) {
    auto Self = Weak.lock();
    if (!Self || Self->m_Stopped)
      return;
    Event Id = R != InstanceOrderResult::Done ? Event::InstanceOrderFailed
               : Order.isMove()               ? Event::InstanceMoved
                                              : Event::UpkeepStarted;
    logEvent(Id, {{"instance", Order.m_Instance.m_Text},
                  {"to", Order.m_To.m_Text},
                  {"wave", Order.m_Wave.m_Text},
                  {"result", resultName(R)}});
    Self->m_Planner->onOrderResult(Order, R, Self->m_Loop.now());
    Self->tickSoon();
  };
  OrderAuthority By{m_Settings.m_Name, m_Lead.term()};
  if (Order.isMove())
    m_Ports.m_Instances.move(Order.m_Instance, Order.m_To, By, CallTimeout,
                             Then);
  else
    m_Ports.m_Instances.upkeep(Order.m_Instance, Order.m_Wave, By, CallTimeout,
                               Then);
}

void Leader::recordWaves() {
  if (m_WavesPending || !m_WavesRead)
    return;
  std::vector<WaveId> Changed = m_Planner->takeChangedWaves();
  if (Changed.empty())
    return;
  RowTransaction Txn;
  Txn.m_Conditions.push_back(m_Lead.termCondition());
  for (const WaveId &Id : Changed) {
    const WaveProgress &Progress = m_Planner->progress(Id);
    Txn.m_Puts.push_back(
        {{WavesTable, Id.m_Text}, encodeWaveProgress(Progress)});
    Txn.m_Puts.push_back(m_Ports.m_Feed.waveStatus(Id, Progress.m_Complete));
  }
  m_WavesPending = true;
  m_Ports.m_Store.commit(
      Txn, CallTimeout,
      [Weak = weak_from_this(), Changed](Result<CommitOutcome> Outcome) {
        auto Self = Weak.lock();
        if (!Self || Self->m_Stopped)
          return;
        Self->m_WavesPending = false;
        if (Outcome && Outcome.value().m_Committed)
          return;
        logEvent(Event::RecordFailed,
                 {{"waves", std::to_string(Changed.size())},
                  {"error", Outcome ? "a later term has begun"
                                    : Outcome.error().describe()}});
        for (const WaveId &Id : Changed)
          Self->m_Planner->markChanged(Id);
      });
}

} // namespace pollenspool
