//===- LoadMonitor.cpp - Processor time of an entry instance --------------===//

#include "entry/LoadMonitor.h"
#include <algorithm>

namespace pollenspool {

namespace {

constexpr Duration MinWindow = std::chrono::seconds(1);
constexpr double SaturatedShare = 0.9;

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

} // namespace

bool LoadWindow::isSaturated() const { return m_ShareUsed > SaturatedShare; }

void LoadMonitor::addDecisions(Duration Used) {
  const auto &Bounds = DecisionTimes::Bounds;
  auto Bucket = std::lower_bound(Bounds.begin(), Bounds.end(), seconds(Used));
  ++m_Decisions.m_Counts[static_cast<std::size_t>(Bucket - Bounds.begin())];
  ++m_Decisions.m_Count;
  m_Decisions.m_Sum += Used;
}

std::optional<LoadWindow> LoadMonitor::update(Duration Used,
                                              const SchedulerCounters &Counters,
                                              TimePoint Now) {
  if (Now < m_StartedAt + MinWindow)
    return std::nullopt;
  const SchedulerCounters &Before = m_CountersAtStart;
  LoadWindow W;
  W.m_Length = Now - m_StartedAt;
  if (m_CpuShare > 0)
    W.m_ShareUsed =
        seconds(Used - m_UsedAtStart) / seconds(W.m_Length) / m_CpuShare;
  W.m_DecisionTime = m_Decisions.m_Sum - m_DecisionTimeAtStart;
  W.m_Decisions = m_Decisions.m_Count - m_DecisionsAtStart;
  W.m_Passes = Counters.m_Passes - Before.m_Passes;
  W.m_JobsExamined = Counters.m_JobsExamined - Before.m_JobsExamined;
  W.m_ServersExamined = Counters.m_ServersExamined - Before.m_ServersExamined;
  W.m_Starts = Counters.m_Starts - Before.m_Starts;
  W.m_Polls = Counters.m_Polls - Before.m_Polls;
  m_ShareUsed = W.m_ShareUsed;
  m_StartedAt = Now;
  m_UsedAtStart = Used;
  m_DecisionTimeAtStart = m_Decisions.m_Sum;
  m_DecisionsAtStart = m_Decisions.m_Count;
  m_CountersAtStart = Counters;
  return W;
}

} // namespace pollenspool
