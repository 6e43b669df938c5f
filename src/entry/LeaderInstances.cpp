//===- LeaderInstances.cpp - The leader's orders for instances ------------===//

#include "base/Log.h"
#include "entry/Leader.h"
#include "instances/WaveRows.h"

namespace pollenspool {

namespace {

/// Waves that are kept in the store; one of each three weeks.
constexpr std::size_t MaxWaves = 500;
/// Between two plans for instances: an order takes seconds to have an effect.
constexpr Duration PlanEvery = std::chrono::milliseconds(100);

/// Share of the platform's rate of orders that is used: what it refuses is
/// delayed by more than this.
constexpr double OrderRateShare = 0.8;

const char *resultName(InstanceOrderResult R) {
  static constexpr const char *Names[] = {
      "done", "fenced", "busy", "no_wave", "invalid", "refused", "unknown"};
  return Names[static_cast<std::size_t>(R)];
}

} // namespace

void Leader::readWaves() {
  readUntilAnswered({WavesTable, {}, LeadPart}, MaxWaves,
                    [this](RowPage &Page) {
                      for (const StoredRow &Row : Page.m_Rows)
                        if (auto P = decodeWaveProgress(Row.m_Value))
                          m_RecordedWaves[WaveId(Row.m_At.m_Key)] = P.value();
                        else
                          logEvent(Event::RecordUnreadable,
                                   {{"row", Row.m_At.m_Key},
                                    {"error", P.error().describe()}});
                      m_WavesRead = true;
                      for (const WaveRequest &Wave : m_WavesToTake)
                        takeWave(Wave);
                      m_WavesToTake.clear();
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
  m_Planner->onWave(Wave, Progress, m_Lead.term() > 1);
}

void Leader::readRecentOrders() {
  readUntilAnswered({OrdersTable, OrdersKey, LeadPart}, 1,
                    [this](RowPage &Page) {
                      m_StoreClock.note(Page.m_StoreTime, m_Loop.now());
                      for (const StoredRow &Row : Page.m_Rows)
                        if (Row.m_At.m_Key == OrdersKey)
                          takeRecentOrders(Row, Page.m_StoreTime);
                      m_OrdersRead = true;
                    });
}

std::size_t Leader::ordersAtOnce() const {
  double Share = std::chrono::duration<double>(PlanEvery).count();
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(m_Settings.m_InstanceOrdersPerSecond * Share *
                                  OrderRateShare));
}

void Leader::orderInstances() {
  TimePoint Now = m_Loop.now();
  if (Now < m_NextPlan || !m_WavesRead || !m_OrdersRead || m_OrdersPending ||
      !m_Lead.isValid(Now))
    return;
  m_NextPlan = Now + PlanEvery;
  auto Orders = m_Planner->plan(Now, wallNow(), ordersAtOnce());
  if (!Orders.empty())
    announceOrders(std::move(Orders));
}

void Leader::takeRecentOrders(const StoredRow &Row,
                              std::chrono::milliseconds StoreTime) {
  auto Orders = RecentOrders::decode(Row.m_Value);
  if (!Orders) {
    logEvent(Event::RecordUnreadable,
             {{"row", Row.m_At.m_Key}, {"error", Orders.error().describe()}});
    return;
  }
  m_RecentOrders = std::move(Orders.value());
  m_RecentOrders.forgetOlder(m_Settings.m_InstanceOrderGap, StoreTime);
  TimePoint Now = m_Loop.now();
  for (const auto &[Id, Entry] : m_RecentOrders.all()) {
    Duration Wait = RecentOrders::waitAfter(
        Entry, m_Settings.m_Name, m_Settings.m_InstanceOrderGap, StoreTime);
    // Also an order that needs no gap may have been carried out.
    m_Planner->holdBack(Id, Now + Wait);
  }
}

void Leader::announceOrders(std::vector<InstanceOrder> Orders) {
  TimePoint Now = m_Loop.now();
  auto StoreTime = m_StoreClock.at(Now).value_or(std::chrono::milliseconds(0));
  m_RecentOrders.forgetOlder(m_Settings.m_InstanceOrderGap, StoreTime);
  for (const InstanceOrder &Order : Orders)
    m_RecentOrders.note(Order.m_Instance, StoreTime, m_Settings.m_Name);
  RowTransaction Txn;
  Txn.m_Conditions.push_back(m_Lead.termCondition());
  Txn.m_Puts.push_back(
      {{OrdersTable, OrdersKey, LeadPart}, m_RecentOrders.encode()});
  m_OrdersPending = true;
  m_Ports.m_Store.commit(
      Txn, PlatformCallTimeout,
      whileLeading([this, Orders, Now](const Result<CommitOutcome> &Outcome) {
        m_OrdersPending = false;
        TimePoint After = m_Loop.now();
        if (Outcome)
          m_StoreClock.note(Outcome.value().m_StoreTime, After);
        bool May = After < Now + GiveWithin && Outcome &&
                   Outcome.value().m_Committed && m_Lead.isValid(After);
        for (const InstanceOrder &Order : Orders)
          if (May)
            giveOrder(Order);
          else
            m_Planner->onOrderResult(Order, InstanceOrderResult::Refused,
                                     After);
      }));
}

void Leader::giveOrder(const InstanceOrder &Order) {
  auto Then = whileLeading([this, Order](InstanceOrderResult R) {
    Event Id = R != InstanceOrderResult::Done ? Event::InstanceOrderFailed
               : Order.isMove()               ? Event::InstanceMoved
                                              : Event::UpkeepStarted;
    logEvent(Id, {{"instance", Order.m_Instance.m_Text},
                  {"to", Order.m_To.m_Text},
                  {"wave", Order.m_Wave.m_Text},
                  {"result", resultName(R)}});
    m_Planner->onOrderResult(Order, R, m_Loop.now());
    tickSoon();
  });
  OrderAuthority By{m_Settings.m_Name, m_Lead.term()};
  if (Order.isMove())
    m_Ports.m_Instances.move(Order.m_Instance, Order.m_To, By,
                             PlatformCallTimeout, Then);
  else
    m_Ports.m_Instances.upkeep(Order.m_Instance, Order.m_Wave, By,
                               PlatformCallTimeout, Then);
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
        {{WavesTable, Id.m_Text, LeadPart}, encodeWaveProgress(Progress)});
    Txn.m_Puts.push_back(m_Ports.m_Feed.waveStatus(Id, Progress.m_Complete));
  }
  m_WavesPending = true;
  m_Ports.m_Store.commit(
      Txn, PlatformCallTimeout,
      whileLeading([this, Changed](const Result<CommitOutcome> &Outcome) {
        m_WavesPending = false;
        if (Outcome && Outcome.value().m_Committed)
          return;
        logEvent(Event::RecordFailed,
                 {{"waves", std::to_string(Changed.size())},
                  {"error", Outcome ? "a later term has begun"
                                    : Outcome.error().describe()}});
        for (const WaveId &Id : Changed)
          m_Planner->markChanged(Id);
      }));
}

} // namespace pollenspool
