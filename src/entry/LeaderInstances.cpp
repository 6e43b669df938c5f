//===- LeaderInstances.cpp - Instance management by the leader ------------===//

#include "base/Log.h"
#include "entry/Leader.h"
#include "instances/WaveRows.h"

namespace pollenspool {

namespace {

/// Waves of which one transaction records the progress. Each takes two entries,
/// and the condition on the term one.
constexpr std::size_t MaxWavesPerTransaction =
    (StoreLimits().m_TransactionEntries - 1) / 2;
/// Interval between two plans. Planning more often gains little, because an
/// order takes seconds to have an effect.
constexpr Duration PlanInterval = std::chrono::milliseconds(100);

/// Fraction of the platform's rate limit that is used. An order that exceeds
/// the limit is refused, which delays it by more than the lower rate does.
constexpr double OrderRateShare = 0.8;

const char *resultName(InstanceOrderResult R) {
  static constexpr const char *Names[] = {
      "done", "fenced", "busy", "no_wave", "invalid", "refused", "unknown"};
  return Names[static_cast<std::size_t>(R)];
}

} // namespace

void Leader::readWaves(const RowAddress &From) {
  readWithRetry(From, MaxPageRows, [this](RowPage &Page) {
    for (const StoredRow &Row : Page.m_Rows)
      if (auto P = decodeWaveProgress(Row.m_Value))
        m_RecordedWaves[WaveId(Row.m_At.m_Key)] = P.value();
      else
        logEvent(Event::RecordUnreadable,
                 {{"row", Row.m_At.m_Key}, {"error", P.error().describe()}});
    if (Page.m_HasMore && !Page.m_Rows.empty()) {
      RowAddress Next = Page.m_Rows.back().m_At;
      Next.m_Key += '\0';
      return readWaves(Next);
    }
    m_WavesLoaded = true;
    for (const WaveRequest &Wave : m_DeferredWaves)
      addWave(Wave);
    m_DeferredWaves.clear();
  });
}

void Leader::onWave(const WaveRequest &Wave) {
  if (m_WavesLoaded)
    addWave(Wave);
  else
    m_DeferredWaves.push_back(Wave);
}

void Leader::addWave(const WaveRequest &Wave) {
  if (m_Planner->hasWave(Wave.m_Id))
    return m_Planner->onWaveRewritten(Wave);
  WaveProgress Progress = m_RecordedWaves[Wave.m_Id];
  if (Progress.m_SeenAt.count() == 0)
    Progress.m_SeenAt = wallNow();
  m_Planner->onWave(Wave, Progress, m_Leadership.term() > 1);
}

void Leader::readRecentOrders() {
  readWithRetry({RecentOrdersTable, RecentOrdersKey, LeaderPartition}, 1,
                [this](RowPage &Page) {
                  m_StoreClock.update(Page.m_StoreTime, m_Loop.now());
                  for (const StoredRow &Row : Page.m_Rows)
                    if (Row.m_At.m_Key == RecentOrdersKey)
                      applyRecentOrders(Row, Page.m_StoreTime);
                  m_RecentOrdersLoaded = true;
                });
}

std::size_t Leader::maxOrdersPerPlan() const {
  double IntervalSeconds = std::chrono::duration<double>(PlanInterval).count();
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(m_Settings.m_InstanceOrdersPerSecond *
                                  IntervalSeconds * OrderRateShare));
}

void Leader::planInstanceOrders() {
  TimePoint Now = m_Loop.now();
  if (Now < m_NextPlanAt || !m_WavesLoaded || !m_RecentOrdersLoaded ||
      m_AnnouncementPending || !m_Leadership.isValid(Now))
    return;
  m_NextPlanAt = Now + PlanInterval;
  auto Orders = m_Planner->plan(Now, wallNow(), maxOrdersPerPlan());
  if (!Orders.empty())
    announceOrders(std::move(Orders));
}

void Leader::applyRecentOrders(const StoredRow &Row,
                               std::chrono::milliseconds StoreTime) {
  auto Orders = RecentOrders::decode(Row.m_Value);
  if (!Orders) {
    logEvent(Event::RecordUnreadable,
             {{"row", Row.m_At.m_Key}, {"error", Orders.error().describe()}});
    return;
  }
  m_RecentOrders = std::move(Orders.value());
  m_RecentOrders.removeExpired(m_Settings.m_MinInstanceOrderInterval,
                               StoreTime);
  TimePoint Now = m_Loop.now();
  for (const auto &[Id, Announcement] : m_RecentOrders.all()) {
    Duration Wait = RecentOrders::remainingWait(
        Announcement, m_Settings.m_Name, m_Settings.m_MinInstanceOrderInterval,
        StoreTime);
    // Deferring also marks the instance as possibly ordered already, which
    // matters even if no wait is needed.
    m_Planner->deferOrders(Id, Now + Wait);
  }
}

void Leader::announceOrders(std::vector<InstanceOrder> Orders) {
  TimePoint Now = m_Loop.now();
  auto StoreTime = m_StoreClock.at(Now).value_or(std::chrono::milliseconds(0));
  m_RecentOrders.removeExpired(m_Settings.m_MinInstanceOrderInterval,
                               StoreTime);
  for (const InstanceOrder &Order : Orders)
    m_RecentOrders.add(Order.m_Instance, StoreTime, m_Settings.m_Name);
  RowTransaction Txn;
  Txn.m_Conditions.push_back(m_Leadership.termCondition());
  Txn.m_Puts.push_back({{RecentOrdersTable, RecentOrdersKey, LeaderPartition},
                        m_RecentOrders.encode()});
  m_AnnouncementPending = true;
  m_Ports.m_Store.commit(
      Txn, PlatformCallTimeout,
      whileLeading([this, Orders, Now](const Result<CommitOutcome> &Outcome) {
        m_AnnouncementPending = false;
        TimePoint After = m_Loop.now();
        if (Outcome)
          m_StoreClock.update(Outcome.value().m_StoreTime, After);
        bool Allowed = After < Now + MaxAnnouncementAge && Outcome &&
                       Outcome.value().m_Committed &&
                       m_Leadership.isValid(After);
        for (const InstanceOrder &Order : Orders)
          if (Allowed)
            sendOrder(Order);
          else
            m_Planner->onOrderResult(Order, InstanceOrderResult::Refused,
                                     After);
      }));
}

void Leader::sendOrder(const InstanceOrder &Order) {
  auto Callback = whileLeading([this, Order](InstanceOrderResult R) {
    Event Id = R != InstanceOrderResult::Done ? Event::InstanceOrderFailed
               : Order.isMove()               ? Event::InstanceMoved
                                              : Event::UpkeepStarted;
    logEvent(Id, {{"instance", Order.m_Instance.m_Text},
                  {"to", Order.m_To.m_Text},
                  {"wave", Order.m_Wave.m_Text},
                  {"result", resultName(R)}});
    m_Planner->onOrderResult(Order, R, m_Loop.now());
    scheduleTick();
  });
  OrderIssuer By{m_Settings.m_Name, m_Leadership.term()};
  if (Order.isMove())
    m_Ports.m_Instances.move(Order.m_Instance, Order.m_To, By,
                             PlatformCallTimeout, Callback);
  else
    m_Ports.m_Instances.startMaintenance(Order.m_Instance, Order.m_Wave, By,
                                         PlatformCallTimeout, Callback);
}

void Leader::recordWaves() {
  if (m_WaveRecordPending || !m_WavesLoaded)
    return;
  std::vector<WaveId> Changed =
      m_Planner->takeChangedWaves(MaxWavesPerTransaction);
  if (Changed.empty())
    return;
  RowTransaction Txn;
  Txn.m_Conditions.push_back(m_Leadership.termCondition());
  for (const WaveId &Id : Changed) {
    const WaveProgress &Progress = m_Planner->progress(Id);
    Txn.m_Puts.push_back({{WavesTable, Id.m_Text, LeaderPartition},
                          encodeWaveProgress(Progress)});
    Txn.m_Puts.push_back(m_Ports.m_Feed.waveStatusRow(Id, Progress.m_Complete));
  }
  m_WaveRecordPending = true;
  m_Ports.m_Store.commit(
      Txn, PlatformCallTimeout,
      whileLeading([this, Changed](const Result<CommitOutcome> &Outcome) {
        m_WaveRecordPending = false;
        if (Outcome && Outcome.value().m_Committed)
          return;
        logEvent(
            Event::RecordFailed,
            {{"waves", std::to_string(Changed.size())},
             {"error",
              Outcome ? "the store rejected the term: a later one has begun"
                      : Outcome.error().describe()}});
        for (const WaveId &Id : Changed)
          m_Planner->markChanged(Id);
      }));
}

} // namespace pollenspool
