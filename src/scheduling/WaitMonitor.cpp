//===- WaitMonitor.cpp - Reports jobs that wait ---------------------------===//

#include "scheduling/WaitMonitor.h"
#include "base/Log.h"
#include <algorithm>

namespace pollenspool {

namespace {

constexpr Duration SearchInterval = std::chrono::seconds(1);
/// How long nothing of a job has run when it is reported.
constexpr Duration MinWait = std::chrono::seconds(2);
constexpr std::size_t MaxLines = 20;
/// Servers compared in one search, after which the reasons of further jobs are
/// not determined.
constexpr std::uint64_t MaxServersCompared = 20000;

bool waitsLonger(const LiveJob *A, const LiveJob *B) {
  return std::tie(A->m_IdleSince, A->m_Spec.m_Id) <
         std::tie(B->m_IdleSince, B->m_Spec.m_Id);
}

} // namespace

std::unique_ptr<WaitMonitor> WaitMonitor::create(Scheduler &Core,
                                                 const ProgressWriter &Writer) {
  return std::unique_ptr<WaitMonitor>(new WaitMonitor(Core, Writer));
}

std::vector<LiveJob *> WaitMonitor::findWaitingJobs(TimePoint Now) const {
  std::vector<LiveJob *> Waiting;
  for (auto &[Id, Job] : m_Core.jobs().all()) {
    if (Now < Job->m_IdleSince + MinWait)
      continue;
    // The next occurrence waits only from when it is due.
    if (!isFinal(Job->m_State) && Job->areReleasedTasksDone())
      Job->m_IdleSince = Now;
    else if (!Job->hasRuns())
      Waiting.push_back(Job.get());
  }
  std::sort(Waiting.begin(), Waiting.end(), waitsLonger);
  return Waiting;
}

void WaitMonitor::update(TimePoint Now) {
  if (Now < m_NextSearchAt)
    return;
  m_NextSearchAt = Now + SearchInterval;
  m_Report = {};
  const std::uint64_t &Compared = m_Core.counters().m_ServersSearched;
  const std::uint64_t Before = Compared;
  for (const LiveJob *Job : findWaitingJobs(Now)) {
    WaitReason Reason = Compared - Before < MaxServersCompared
                            ? m_Core.waitReason(*Job, Now)
                            : WaitReason::NotExamined;
    ++m_Report.m_Jobs;
    ++m_Report.m_Counts[static_cast<std::size_t>(Reason)];
    if (m_Report.m_Longest.size() < MaxLines)
      m_Report.m_Longest.push_back(describe(*Job, Reason, Now));
  }
  log();
}

WaitMonitor::Wait WaitMonitor::describe(const LiveJob &Job, WaitReason Reason,
                                        TimePoint Now) const {
  Wait W;
  W.m_Job = Job.m_Spec.m_Id;
  if (auto Task = Job.firstWaitingTask())
    W.m_Task =
        taskName({W.m_Job, Task->m_Occurrence, Task->m_Step, Task->m_Index});
  W.m_Tasks = Job.m_Ready.size() + Job.m_PlannedStarts.size();
  W.m_Waited = Now - Job.m_IdleSince;
  W.m_Reason = Reason;
  W.m_Description =
      m_Core.describeWait(Job, Reason, Now) + describeRecord(Job, Reason, Now);
  return W;
}

std::string WaitMonitor::describeRecord(const LiveJob &Job, WaitReason Reason,
                                        TimePoint Now) const {
  if (Reason != WaitReason::StartBeingRecorded &&
      Reason != WaitReason::StartPlannedAgain &&
      Reason != WaitReason::EndBeingRecorded)
    return {};
  return "; " + m_Writer.describeWait(Job, Now);
}

std::string WaitMonitor::explain(const JobId &Id, TimePoint Now) const {
  const LiveJob *Job = m_Core.jobs().find(Id);
  if (!Job)
    return m_Core.pendingReason(Id, Now);
  WaitReason Reason = m_Core.waitReason(*Job, Now);
  return m_Core.describeWait(*Job, Reason, Now) +
         describeRecord(*Job, Reason, Now);
}

void WaitMonitor::log() const {
  const std::string Omitted =
      std::to_string(m_Report.m_Jobs - m_Report.m_Longest.size());
  for (const Wait &W : m_Report.m_Longest)
    logEvent(Event::JobWaits,
             {{"job", W.m_Job.m_Text},
              {"task", W.m_Task},
              {"tasks", std::to_string(W.m_Tasks)},
              {"waited_ms",
               std::to_string(W.m_Waited / std::chrono::milliseconds(1))},
              {"reason", std::string(waitReasonName(W.m_Reason))},
              {"detail", W.m_Description},
              {"jobs_left_out", Omitted}});
}

} // namespace pollenspool
