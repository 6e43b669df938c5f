//===- SchedulerInvariants.cpp - Consistency of a scheduler's state -------===//

#include "scheduling/testing/SchedulerInvariants.h"
#include <algorithm>

namespace pollenspool {

namespace {

struct Planned {
  Resources m_Sum;
  std::uint32_t m_Count = 0;
  std::uint32_t m_Isolated = 0;
};

bool isEqual(const Resources &A, const Resources &B) {
  return A.fitsIn(B) && B.fitsIn(A);
}

std::string describe(const JobId &Job, const ReadyTask &T) {
  return Job.m_Text + "." + std::to_string(T.m_Occurrence) + "." +
         std::to_string(T.m_Step) + "." + std::to_string(T.m_Index);
}

/// Checks the state of one scheduler.
class Checker {
public:
  explicit Checker(Scheduler &Core) : m_Core(Core) {}

  std::string run() {
    for (auto &[Id, Job] : m_Core.jobs().all())
      checkJob(*Job);
    for (auto &[Id, S] : m_Core.servers().all())
      checkServer(S);
    return m_First;
  }

private:
  void expect(bool Holds, const std::string &Subject, const char *What) {
    if (!Holds && m_First.empty())
      m_First = Subject + ": " + What;
  }

  void checkJob(LiveJob &Job) {
    const std::string &Id = Job.m_Spec.m_Id.m_Text;
    for (const PlannedStart &P : Job.m_PlannedStarts) {
      Planned &Sum = m_Planned[P.m_Server];
      Sum.m_Sum += P.m_Need;
      ++Sum.m_Count;
      Sum.m_Isolated += P.m_IsIsolated;
    }
    // Tasks of a job that has ended are not started, so their places are not
    // kept up to date.
    if (isFinal(Job.m_State))
      return;
    for (const auto &[Number, O] : Job.m_Occurrences)
      for (std::uint32_t N = 0; N < O.m_Steps.size(); ++N)
        checkStep(Job, Number, N, O.m_Steps[N]);
    checkQueue(Job);
    bool IsListedAsDirty = std::count(m_Core.jobs().dirty().begin(),
                                      m_Core.jobs().dirty().end(), &Job) == 1;
    expect(Job.m_Dirty == IsListedAsDirty, Id,
           "its state row is out of date, but it is not listed once for it");
  }

  void checkQueue(LiveJob &Job) {
    const std::string &Id = Job.m_Spec.m_Id.m_Text;
    PlacementQueue *Queue = Job.m_PlacementQueue;
    expect(Job.m_Ready.empty() || Queue || Job.m_IsNewlyReady, Id,
           "it has ready tasks and waits in no placement queue");
    if (!Queue)
      return;
    auto Entries = std::count_if(
        Queue->entries().begin(), Queue->entries().end(),
        [&](const PlacementQueue::Entry &E) { return E.m_Job == &Job; });
    expect(Entries == 1, Id, "its placement queue does not hold it once");
  }

  void checkStep(LiveJob &Job, std::uint32_t Occurrence, std::uint32_t Number,
                 const StepState &Step) {
    for (std::uint32_t I = 0; I < Step.m_Tasks.size(); ++I)
      checkTask(Job, {Occurrence, Number, I}, Step);
  }

  void checkTask(LiveJob &Job, const ReadyTask &At, const StepState &Step) {
    const TaskState &T = Step.m_Tasks[At.m_Index];
    const std::string Name = describe(Job.m_Spec.m_Id, At);
    auto IsTask = [&](const ReadyTask &R) {
      return R.m_Occurrence == At.m_Occurrence && R.m_Step == At.m_Step &&
             R.m_Index == At.m_Index;
    };
    auto Ready = std::count_if(Job.m_Ready.begin(), Job.m_Ready.end(), IsTask);
    auto Starts =
        std::count_if(Job.m_PlannedStarts.begin(), Job.m_PlannedStarts.end(),
                      [&](const PlannedStart &P) { return IsTask(P.m_Task); });
    expect(!T.m_Ready || Ready + Starts == 1, Name,
           "it is ready, and not in exactly one of ready list and plan");
    expect(T.m_Ready || Ready == 0, Name, "it is listed as ready and is not");
    expect(T.m_Ready || T.m_Done || !T.m_Runs.empty() || !Step.m_Released, Name,
           "it is neither done, running nor ready");
    expect(!T.m_Ready || T.m_Runs.empty(), Name, "it is ready and has a run");
    expect(Starts == 0 || Step.m_StartWanted || Step.m_StartRecorded, Name,
           "its start waits for a record that was not asked for");
    for (const RunLocation &R : T.m_Runs) {
      const ServerState *S = m_Core.servers().find(R.m_Server);
      expect(S && S->m_Runs.count({{Job.m_Spec.m_Id, At.m_Occurrence, At.m_Step,
                                    At.m_Index},
                                   R.m_Number}),
             Name, "its run is not known at the server");
    }
  }

  void checkServer(const ServerState &S) {
    const std::string &Id = S.m_Registration.m_Id.m_Text;
    Resources Used;
    for (const auto &[Run, State] : S.m_Runs) {
      Used += State.m_Allocation;
      checkRun(S, Run);
    }
    expect(isEqual(Used, S.m_Used), Id, "its runs do not add up to its use");
    const Planned &Sum = m_Planned[&S];
    expect(isEqual(Sum.m_Sum, S.m_Planned) && Sum.m_Count == S.m_PlannedStarts,
           Id, "its planned starts do not add up to its reservations");
    expect(Sum.m_Isolated == S.m_PlannedSuspects, Id,
           "its planned starts of suspects do not add up");
    bool HasSuspect =
        S.m_PlannedSuspects > 0 ||
        std::any_of(S.m_Runs.begin(), S.m_Runs.end(),
                    [](const auto &E) { return E.second.m_IsSuspect; });
    expect(S.m_IsolatedFor.m_Text.empty() || HasSuspect, Id,
           "it is kept for suspected tasks and has none");
    const ServersByFreeCores &Pool =
        m_Core.servers().inPool(S.m_Registration.m_Pool);
    expect(S.m_IndexedMilliCores == S.freeResources().m_MilliCores &&
               Pool.count(const_cast<ServerState *>(&S)) == 1,
           Id, "it is not in its place among the servers of its pool");
    expect(m_Core.servers().find(S.m_Registration.m_Id) == &S, Id,
           "it is not found by its ID");
    expect(m_Core.servers().due().isAwaited(S), Id,
           "no pass will check it when that is due");
  }

  void checkRun(const ServerState &S, const RunId &Run) {
    LiveJob *Job = m_Core.jobs().find(Run.m_Task.m_Job);
    const TaskState *T = Job ? Job->task(Run.m_Task) : nullptr;
    if (!T || isFinal(Job->m_State))
      return;
    expect(std::count_if(T->m_Runs.begin(), T->m_Runs.end(),
                         [&](const RunLocation &R) {
                           return R.m_Server == S.m_Registration.m_Id &&
                                  R.m_Number == Run.m_Number;
                         }) == 1,
           S.m_Registration.m_Id.m_Text,
           "the task of one of its runs does not know the run");
  }

  Scheduler &m_Core;
  std::map<const ServerState *, Planned> m_Planned;
  std::string m_First;
};

} // namespace

std::string describeTasks(const LiveJob &Job) {
  std::string Text = Job.m_Spec.m_Id.m_Text + ": state " +
                     std::to_string(static_cast<int>(Job.m_State)) + ", " +
                     std::to_string(Job.m_Ready.size()) + " ready";
  for (const auto &[Number, O] : Job.m_Occurrences)
    for (std::size_t N = 0; N < O.m_Steps.size(); ++N)
      for (std::size_t I = 0; I < O.m_Steps[N].m_Tasks.size(); ++I) {
        const TaskState &T = O.m_Steps[N].m_Tasks[I];
        if (!T.m_Done)
          Text +=
              "\n  step " + std::to_string(N) + " task " + std::to_string(I) +
              (T.m_Ready ? " ready" : "") + ", " +
              std::to_string(T.m_Runs.size()) + " runs" +
              (T.m_Runs.empty() ? "" : " on " + T.m_Runs[0].m_Server.m_Text);
      }
  return Text;
}

std::string findInconsistency(Scheduler &Core) { return Checker(Core).run(); }

} // namespace pollenspool
