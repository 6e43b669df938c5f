//===- JobPages.cpp - Pages of the tasks of a live job --------------------===//

#include "scheduling/JobPages.h"
#include <algorithm>

namespace pollenspool {

namespace {

bool isFinished(const Occurrence &O) {
  return O.m_StepsDone == O.m_Steps.size();
}

/// Finds the pages of which all tasks are done.
std::vector<bool> findDonePages(const LiveJob &Job, const PageLayout &Layout) {
  std::vector<std::uint32_t> DoneTasks(Layout.count());
  auto Add = [&](std::uint64_t Begin, std::uint64_t End) {
    while (Begin < End) {
      const std::uint32_t Page = Layout.pageOf(Begin);
      const std::uint64_t Next = std::min(End, Layout.end(Page));
      DoneTasks[Page] += static_cast<std::uint32_t>(Next - Begin);
      Begin = Next;
    }
  };
  Add(0, Job.m_FirstUnfinished * Layout.occurrenceSize());
  for (auto It = Job.m_Occurrences.lower_bound(Job.m_FirstUnfinished);
       It != Job.m_Occurrences.end(); ++It) {
    const Occurrence &O = It->second;
    const std::uint64_t Begin = Layout.position({O.m_Number, 0, 0});
    if (isFinished(O)) {
      Add(Begin, Begin + Layout.occurrenceSize());
      continue;
    }
    std::uint64_t Position = Begin;
    for (const StepState &S : O.m_Steps) {
      for (std::size_t I = 0; S.m_DoneCount > 0 && I < S.m_Tasks.size(); ++I)
        if (S.m_Tasks[I].m_Done)
          Add(Position + I, Position + I + 1);
      Position += S.m_Tasks.size();
    }
  }
  std::vector<bool> Done(Layout.count());
  for (std::uint32_t Page = 0; Page < Done.size(); ++Page)
    Done[Page] = DoneTasks[Page] == Layout.end(Page) - Layout.begin(Page);
  return Done;
}

/// Adds what has happened to the task \p Key to its page.
void addTask(const TaskKey &Key, const TaskState &T, bool IsLongRunning,
             TaskPage &Page, PagedTasks &Out) {
  if (!T.m_FailedRuns.empty() && !IsLongRunning)
    Page.m_Failures[Key] = T.m_FailedRuns;
  if (const CrashHistory *H = T.m_Crashes.get()) {
    Page.m_Crashes[Key] = H->m_Runs;
    Out.m_HasCrashes = true;
    if (H->m_Start) {
      Page.m_SuspectStarts[Key] = *H->m_Start;
      Out.m_HasSuspectStarts = true;
    }
  }
}

/// Adds the tasks of one step to the pages that are not done.
void addStep(const LiveJob &Job, const Occurrence &O, std::uint32_t Step,
             const PageLayout &Layout, PagedTasks &Out) {
  const std::vector<TaskState> &Tasks = O.m_Steps[Step].m_Tasks;
  const std::uint64_t First = Layout.position({O.m_Number, Step, 0});
  for (std::uint32_t I = 0; I < Tasks.size();) {
    const std::uint32_t Page = Layout.pageOf(First + I);
    const auto End = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(Tasks.size(), Layout.end(Page) - First));
    if (Out.m_DonePages[Page]) {
      I = End;
      continue;
    }
    const std::uint32_t Begin = I;
    std::vector<bool> Bits;
    for (; I < End; ++I) {
      const TaskState &T = Tasks[I];
      Bits.push_back(T.m_Done);
      if (!T.m_Done && (!T.m_FailedRuns.empty() || T.m_Crashes))
        addTask({O.m_Number, Step, I}, T,
                Job.m_Spec.m_Steps[Step].m_IsLongRunning, Out.m_Pages[Page],
                Out);
    }
    if (std::find(Bits.begin(), Bits.end(), true) != Bits.end())
      Out.m_Pages[Page].m_Done[{O.m_Number, Step, Begin}] = std::move(Bits);
  }
}

} // namespace

PagedTasks pagedTasksOf(const LiveJob &Job, const PageLayout &Layout,
                        JobRegistry::StartedSteps Steps) {
  PagedTasks Out;
  Out.m_DonePages = findDonePages(Job, Layout);
  const auto FirstPage = static_cast<std::uint32_t>(
      std::find(Out.m_DonePages.begin(), Out.m_DonePages.end(), false) -
      Out.m_DonePages.begin());
  const auto FirstOccurrence = static_cast<std::uint32_t>(
      Layout.begin(FirstPage) / Layout.occurrenceSize());
  for (auto It = Job.m_Occurrences.lower_bound(FirstOccurrence);
       It != Job.m_Occurrences.end(); ++It) {
    const Occurrence &O = It->second;
    for (std::uint32_t N = 0; N < O.m_Steps.size(); ++N) {
      const std::uint32_t Page =
          Layout.pageOf(Layout.position({O.m_Number, N, 0}));
      if (!isFinished(O) && JobRegistry::showsStart(Job, O, N, Steps)) {
        Out.m_StartedSteps.insert({O.m_Number, N});
        Out.m_Pages[Page].m_StartedSteps.insert({O.m_Number, N});
      }
      addStep(Job, O, N, Layout, Out);
    }
  }
  return Out;
}

} // namespace pollenspool
