//===- JobPages.h - Pages of the tasks of a live job ------------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_JOBPAGES_H
#define POLLENSPOOL_SCHEDULING_JOBPAGES_H

#include "scheduling/JobRegistry.h"

namespace pollenspool {

/// The tasks of a job, divided into pages.
struct PagedTasks {
  /// The pages that need a row: tasks of theirs have a history, and not all
  /// tasks are done.
  std::map<std::uint32_t, TaskPage> m_Pages;
  std::vector<bool> m_DonePages;
  /// All steps that the pages show as started.
  std::set<std::pair<std::uint32_t, std::uint32_t>> m_StartedSteps;
  /// Whether the pages hold crashes or starts of suspected tasks.
  bool m_HasCrashes = false;
  bool m_HasSuspectStarts = false;
};

/// Divides the tasks of \p Job by \p Layout. Takes time in proportion to the
/// tasks of the unfinished occurrences and the number of pages. Thread safe.
PagedTasks pagedTasksOf(const LiveJob &Job, const PageLayout &Layout,
                        JobRegistry::StartedSteps Steps);

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_JOBPAGES_H
