//===- ProgressPages.cpp - Records jobs whose tasks are kept in pages -----===//

#include "scheduling/ProgressWriter.h"

namespace pollenspool {

namespace {

/// Entries of a transaction beside the pages: the state row, the conditions on
/// it and on the term.
constexpr std::size_t OtherEntries = 3;

/// The state row that holds the tasks as they were last recorded.
std::string rowWithTasks(const LiveJob &Job) {
  if (!Job.m_RecordedRow.empty())
    return Job.m_RecordedRow;
  JobProgress Recorded = Job.m_RestoredProgress;
  Recorded.m_Organisation = Job.m_Spec.m_Organisation;
  return encodeProgress(Recorded);
}

} // namespace

std::size_t ProgressWriter::pagesPerTransaction() const {
  return m_Limits.m_TransactionEntries - OtherEntries;
}

bool ProgressWriter::addChangedPages(const LiveJob &Job,
                                     const PagedTasks &Tasks,
                                     Draft &Out) const {
  const RecordedPages &Rows = *Job.m_Pages;
  Pending &P = Out.m_Jobs.back();
  for (const auto &[Page, Content] : Tasks.m_Pages) {
    std::string Value = encodePage(Content);
    const std::uint64_t Hash = pageHash(Value);
    auto Known = Rows.m_Hashes.find(Page);
    if (Known != Rows.m_Hashes.end() && Known->second == Hash)
      continue;
    if (P.m_Pages.size() == pagesPerTransaction() ||
        (!P.m_Pages.empty() &&
         Out.m_ValueBytes + Value.size() > m_Limits.m_ValueBytes))
      return false;
    Out.m_ValueBytes += Value.size();
    Out.m_Txn.m_Puts.push_back(
        {pageAddress(Job.m_Spec.m_Id, Rows.m_Generation, Page),
         std::move(Value)});
    P.m_Pages[Page] = Hash;
  }
  return true;
}

void ProgressWriter::addDeletedPages(const LiveJob &Job,
                                     const PagedTasks &Tasks,
                                     Draft &Out) const {
  const RecordedPages &Rows = *Job.m_Pages;
  Pending &P = Out.m_Jobs.back();
  for (const auto &[Page, Hash] : Rows.m_Hashes) {
    if (Tasks.m_Pages.count(Page) != 0)
      continue;
    if (P.m_Pages.size() == pagesPerTransaction())
      return;
    Out.m_Txn.m_Deletes.push_back(
        pageAddress(Job.m_Spec.m_Id, Rows.m_Generation, Page));
    P.m_Pages[Page] = 0;
  }
}

void ProgressWriter::addPages(LiveJob &Job, std::chrono::milliseconds Wall,
                              Draft &Out) const {
  const RecordedPages &Rows = *Job.m_Pages;
  const RowAddress At = jobStateAddress(Job.m_Spec.m_Id);
  PagedTasks Tasks = pagedTasksOf(Job, Rows.m_Layout, Out.m_Steps);
  JobProgress State = JobRegistry::stateOf(Job, Wall);
  if (!Tasks.m_StartedSteps.empty())
    State.m_State = JobState::Running;
  State.m_PageSize = Rows.m_Layout.pageSize();
  State.m_PageGeneration = Rows.m_Generation;
  State.m_DonePages = Tasks.m_DonePages;
  Out.m_DependsOnTerm = Out.m_IsFull = true;
  Out.m_Jobs.push_back({Job.m_Spec.m_Id, Job.m_Partition, Job.m_State,
                        Job.m_ChangeNumber, State.m_State != JobState::Queued,
                        Tasks.m_StartedSteps,
                        Tasks.m_HasCrashes || Tasks.m_HasSuspectStarts ||
                            !State.m_OtherPools.empty()});
  Out.m_Txn.m_Conditions.push_back({At, Job.m_StateVersion});
  // The state row does not refer to pages before all of them are written, but
  // done tasks need no page of theirs.
  const std::string Row = encodeProgress(State);
  Out.m_ValueBytes = Row.size();
  Pending &P = Out.m_Jobs.back();
  P.m_IsPartial = !addChangedPages(Job, Tasks, Out);
  P.m_UsesPages = Rows.m_IsInUse || !P.m_IsPartial;
  Out.m_Txn.m_Puts.push_back({At, P.m_UsesPages ? Row : rowWithTasks(Job)});
  if (!P.m_IsPartial)
    addDeletedPages(Job, Tasks, Out);
}

void ProgressWriter::markPagesWritten(LiveJob &Job, const Pending &P) {
  if (!Job.m_Pages || isFinal(P.m_State))
    return;
  Job.m_Pages->m_IsInUse |= P.m_UsesPages;
  for (const auto &[Page, Hash] : P.m_Pages)
    if (Hash == 0)
      Job.m_Pages->m_Hashes.erase(Page);
    else
      Job.m_Pages->m_Hashes[Page] = Hash;
}

} // namespace pollenspool
