//===- TaskPages.h - Job progress that spans several rows -------*- C++ -*-===//
//
// The state row of a job holds what has happened to its tasks until it would
// become larger than the store accepts. From then on the tasks are kept in
// pages: rows of JobPagesTable, each with the same number of tasks, in the
// order of occurrence, step and index. The state row then tells which pages
// hold done tasks only; these need no row. A page has a bounded size, as each
// of its tasks has, so that a job fits however many tasks and occurrences it
// has and whatever happens to them.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_JOBS_TASKPAGES_H
#define POLLENSPOOL_JOBS_TASKPAGES_H

#include "jobs/JobRows.h"

namespace pollenspool {

inline constexpr char JobPagesTable[] = "job-pages";

/// Tasks of a page, unless the state row of the job says otherwise.
inline constexpr std::uint32_t DefaultPageSize = 64;

/// What the row of one page holds.
struct TaskPage {
  /// By occurrence, step and index of the first task: whether that task and
  /// those after it are done.
  std::map<TaskKey, std::vector<bool>> m_Done;
  /// \see JobProgress.
  std::map<TaskKey, std::vector<std::uint32_t>> m_Failures;
  std::map<TaskKey, std::vector<CrashedRun>> m_Crashes;
  std::map<TaskKey, SuspectStart> m_SuspectStarts;
  /// Steps whose first task is in the page.
  std::set<std::pair<std::uint32_t, std::uint32_t>> m_StartedSteps;
};

/// Conversion to and from the value of a page's row. Thread safe. Decoding
/// errors: InvalidMessage.
std::string encodePage(const TaskPage &Page);
Result<TaskPage> decodePage(const std::string &Text);

/// The division of the tasks of one job into pages. Immutable.
class PageLayout {
public:
  /// \p PageSize: tasks of a page, at least 1.
  PageLayout(const JobSpec &Job, std::uint32_t PageSize);

  std::uint32_t pageSize() const { return m_PageSize; }
  /// The number of pages.
  std::uint32_t count() const;
  /// The position of a task among all tasks of the job. The task must exist.
  std::uint64_t position(const TaskKey &Task) const;
  std::uint32_t pageOf(std::uint64_t Position) const {
    return static_cast<std::uint32_t>(Position / m_PageSize);
  }
  /// Position of the first task of \p Page, and of the first one after it.
  std::uint64_t begin(std::uint32_t Page) const {
    return std::uint64_t(Page) * m_PageSize;
  }
  std::uint64_t end(std::uint32_t Page) const;
  /// Number of tasks of an occurrence.
  std::uint64_t occurrenceSize() const { return m_FirstOfStep.back(); }
  /// The occurrence of the last task of \p Page.
  std::uint32_t lastOccurrenceOf(std::uint32_t Page) const;

private:
  std::uint32_t m_PageSize;
  std::uint32_t m_Occurrences;
  /// Position of the first task of each step in its occurrence, and at the end
  /// the number of tasks of an occurrence.
  std::vector<std::uint64_t> m_FirstOfStep;
};

/// The address of the row of \p Page. \p Generation: \see
/// JobProgress::m_PageGeneration. Thread safe.
RowAddress pageAddress(const JobId &Id, std::uint64_t Generation,
                       std::uint32_t Page);
/// The addresses of all pages of a job, and of those of one generation, begin
/// like this. Thread safe.
RowAddress pagePrefix(const JobId &Id);
RowAddress pagePrefix(const JobId &Id, std::uint64_t Generation);
/// Whether \p At begins like \p Prefix. Thread safe.
bool hasPrefix(const RowAddress &At, const RowAddress &Prefix);
/// The number of the page whose row is at \p At, which has \p Prefix;
/// std::nullopt if there is no number. Thread safe.
std::optional<std::uint32_t> pageNumber(const RowAddress &At,
                                        const RowAddress &Prefix);

/// Identifies the content of a page's row. Never 0. Thread safe.
std::uint64_t pageHash(const std::string &Value);

/// Adds the content of the row of \p Page, which is \p Value, to \p Progress,
/// which was read from the state row of \p Job. Errors: InvalidMessage.
Result<void> addPage(JobProgress &Progress, const JobSpec &Job,
                     std::uint32_t Page, const std::string &Value);

} // namespace pollenspool

#endif // POLLENSPOOL_JOBS_TASKPAGES_H
