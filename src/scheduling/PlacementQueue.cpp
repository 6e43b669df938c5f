//===- PlacementQueue.cpp - Jobs that wait for placement ------------------===//

#include "scheduling/PlacementQueue.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Whether \p Job completes before \p End if its ready tasks start now and take
/// as long as estimated.
bool canCompleteBy(const LiveJob &Job, TimePoint End, TimePoint Now) {
  std::chrono::milliseconds Remaining{0};
  for (const ReadyTask &R : Job.m_Ready)
    Remaining = std::max(Remaining, Job.m_RemainingPaths[R.m_Step]);
  return Now + Remaining < End;
}

/// Rank of jobs whose result is of no use any more.
constexpr int RankOfUselessJobs = 3;

/// Long-running tasks come first, because they are few and have to run at all
/// times. Then come jobs that can still be on time, then jobs whose result can
/// still be of use.
int rankOf(const LiveJob &Job, TimePoint Now) {
  if (Job.m_Spec.m_Steps[Job.m_Ready.front().m_Step].m_IsLongRunning)
    return 0;
  if (canCompleteBy(Job, Job.m_Objective, Now))
    return 1;
  return canCompleteBy(Job, Job.m_Deadline, Now) ? 2 : RankOfUselessJobs;
}

std::int64_t leastMilliCores(const LiveJob &Job) {
  std::int64_t Least = INT64_MAX;
  for (const ReadyTask &R : Job.m_Ready) {
    const StepSpec &Step = Job.m_Spec.m_Steps[R.m_Step];
    Least = std::min(
        Least, Step.m_IsBestEffort ? 0 : Step.m_RequiredResources.m_MilliCores);
  }
  return Least;
}

} // namespace

PlacementQueue::Entry PlacementQueue::makeEntry(LiveJob &Job, TimePoint Now) {
  int Rank = rankOf(Job, Now);
  // Jobs whose result is of no use any more are not ordered by shares, so that
  // none waits for ever.
  bool IsBeyondShare = Job.m_IsBeyondShare && Rank < RankOfUselessJobs;
  return {Rank, IsBeyondShare,       Job.m_Priority, Job.m_Objective,
          &Job, leastMilliCores(Job)};
}

bool PlacementQueue::isBefore(const Entry &A, const Entry &B) {
  auto Key = [](const Entry &E) {
    return std::tie(E.m_Rank, E.m_IsBeyondShare, E.m_Priority, E.m_Objective,
                    E.m_Job->m_Spec.m_Id);
  };
  return Key(A) < Key(B);
}

void PlacementQueue::add(LiveJob &Job) {
  if (!Job.m_PlacementQueue) {
    Job.m_PlacementQueue = this;
    m_Entries.push_back({0, false, 0, {}, &Job, 0});
    return;
  }
  auto It = std::find_if(m_Entries.begin(), m_Entries.end(),
                         [&](const Entry &E) { return E.m_Job == &Job; });
  It->m_LeastMilliCores = leastMilliCores(Job);
}

void PlacementQueue::remove(LiveJob &Job) {
  if (Job.m_PlacementQueue != this)
    return;
  Job.m_PlacementQueue = nullptr;
  auto It = std::find_if(m_Entries.begin(), m_Entries.end(),
                         [&](const Entry &E) { return E.m_Job == &Job; });
  if (static_cast<std::size_t>(It - m_Entries.begin()) < m_Sorted)
    --m_Sorted;
  m_Entries.erase(It);
}

void PlacementQueue::sort(TimePoint Now) {
  std::size_t First = m_Sorted;
  if (Now >= m_ReorderAt) {
    m_ReorderAt = Now + ReorderInterval;
    First = 0;
  }
  // Jobs may have lost their ready tasks since they were added.
  auto IsDone = [](const Entry &E) { return E.m_Job->m_Ready.empty(); };
  auto Begin = m_Entries.begin() + static_cast<std::ptrdiff_t>(First);
  for (auto It = Begin; It != m_Entries.end(); ++It)
    if (IsDone(*It))
      It->m_Job->m_PlacementQueue = nullptr;
  m_Entries.erase(std::remove_if(Begin, m_Entries.end(), IsDone),
                  m_Entries.end());
  Begin = m_Entries.begin() + static_cast<std::ptrdiff_t>(First);
  for (auto It = Begin; It != m_Entries.end(); ++It)
    *It = makeEntry(*It->m_Job, Now);
  std::sort(Begin, m_Entries.end(), isBefore);
  std::inplace_merge(m_Entries.begin(), Begin, m_Entries.end(), isBefore);
  m_Sorted = m_Entries.size();
}

} // namespace pollenspool
