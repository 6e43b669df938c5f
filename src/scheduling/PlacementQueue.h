//===- PlacementQueue.h - Jobs that wait for placement ----------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_PLACEMENTQUEUE_H
#define POLLENSPOOL_SCHEDULING_PLACEMENTQUEUE_H

#include "scheduling/JobRegistry.h"

namespace pollenspool {

/// The jobs with ready tasks of one pool, in the order in which they are
/// placed. Keeps the order between passes, so that a pass does not sort
/// thousands of waiting jobs. Not thread safe.
class PlacementQueue {
public:
  /// A job that waits. The least demand and the rank are as of the last sort.
  struct Entry {
    int m_Rank = 0;
    /// \see LiveJob::m_IsBeyondShare.
    bool m_IsBeyondShare = false;
    std::uint32_t m_Priority = 0;
    TimePoint m_Objective{};
    LiveJob *m_Job = nullptr;
    /// Cores that the smallest of its ready tasks needs.
    std::int64_t m_LeastMilliCores = 0;
  };

  /// Adds \p Job, or updates its entry. It must have ready tasks and must not
  /// wait in another queue.
  void add(LiveJob &Job);
  /// Has no effect if \p Job does not wait in this queue.
  void remove(LiveJob &Job);
  /// Brings the entries into order. Ranks change with time and are updated
  /// every ReorderInterval.
  void sort(TimePoint Now);
  /// Calls \p Visit for each job in order, with the cores that its smallest
  /// ready task needs at the least. Removes the job if \p Visit returns true.
  template <typename F> void removeIf(F Visit);
  /// All waiting jobs, in no particular order if sort() has not been called.
  const std::vector<Entry> &entries() const { return m_Entries; }

private:
  static constexpr Duration ReorderInterval = std::chrono::milliseconds(50);

  static Entry makeEntry(LiveJob &Job, TimePoint Now);
  static bool isBefore(const Entry &A, const Entry &B);

  std::vector<Entry> m_Entries;
  /// Number of entries at the front of m_Entries that are in order.
  std::size_t m_Sorted = 0;
  TimePoint m_ReorderAt{};
};

template <typename F> void PlacementQueue::removeIf(F Visit) {
  std::size_t Kept = 0;
  for (std::size_t N = 0; N < m_Entries.size(); ++N) {
    LiveJob *Job = m_Entries[N].m_Job;
    if (Visit(*Job, m_Entries[N].m_LeastMilliCores)) {
      Job->m_PlacementQueue = nullptr;
      continue;
    }
    if (Kept != N)
      m_Entries[Kept] = m_Entries[N];
    ++Kept;
  }
  m_Entries.resize(Kept);
  m_Sorted = Kept;
}

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_PLACEMENTQUEUE_H
