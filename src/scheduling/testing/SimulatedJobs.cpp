//===- SimulatedJobs.cpp - Jobs of a simulation ---------------------------===//

#include "scheduling/testing/JobSimulation.h"
#include "scheduling/testing/SchedulerInvariants.h"
#include <algorithm>

namespace pollenspool {

using std::chrono::milliseconds;

bool JobSimulation::chance(double Share) {
  return Share > 0 && std::uniform_real_distribution<>(0, 1)(m_Random) < Share;
}

Duration JobSimulation::workOf(const TaskId &Task) {
  // Every run of a task takes the same time, independent of server and time.
  std::uint64_t Seed = m_Settings.m_Seed;
  for (char C : Task.m_Job.m_Text)
    Seed = Seed * 31 + static_cast<unsigned char>(C);
  std::mt19937_64 TaskRandom(Seed * 1000003 + Task.m_Step * 1009 +
                             Task.m_Index);
  std::lognormal_distribution<> Factor(0, 0.5);
  return std::chrono::duration_cast<Duration>(m_Settings.m_MedianWork *
                                              Factor(TaskRandom));
}

bool JobSimulation::isDeadly(const TaskId &Task) const {
  if (m_Settings.m_DeadlyJobShare <= 0 || Task.m_Step != 0 || Task.m_Index != 0)
    return false;
  std::seed_seq Seed(Task.m_Job.m_Text.begin(), Task.m_Job.m_Text.end());
  std::mt19937_64 JobRandom(Seed);
  return std::uniform_real_distribution<>(0, 1)(JobRandom) <
         m_Settings.m_DeadlyJobShare;
}

Duration JobSimulation::criticalPathOf(const JobSpec &Job) {
  Duration Path{0};
  for (std::uint32_t N = 0; N < Job.m_Steps.size(); ++N) {
    Duration Longest{0};
    for (std::uint32_t I = 0; I < Job.m_Steps[N].m_Count; ++I)
      Longest = std::max(Longest, workOf({Job.m_Id, 0, N, I}));
    Path += Longest;
  }
  return Path;
}

std::vector<StepSpec> JobSimulation::makeSteps() {
  std::vector<StepSpec> Made;
  std::uint32_t Steps = 1 + m_Random() % m_Settings.m_MaxSteps;
  for (std::uint32_t N = 0; N < Steps; ++N) {
    StepSpec S;
    S.m_Count = 1 + m_Random() % m_Settings.m_MaxTasksPerStep;
    S.m_RequiredResources = {
        m_Settings.m_MeanMilliCores / 2 +
            static_cast<std::int64_t>(m_Random() % m_Settings.m_MeanMilliCores),
        1000, 0};
    S.m_Estimate =
        std::chrono::duration_cast<milliseconds>(m_Settings.m_MedianWork);
    if (N > 0)
      S.m_After = {N - 1};
    Made.push_back(S);
  }
  return Made;
}

std::vector<StepSpec> JobSimulation::makeLongRunningStep() {
  StepSpec Step = makeSteps().front();
  Step.m_Count = 1 + m_Random() % 2;
  Step.m_IsLongRunning = true;
  return {Step};
}

std::vector<JobId> JobSimulation::longRunningJobs() const {
  std::vector<JobId> Jobs;
  for (const auto &[Id, Row] : m_LiveRows)
    if (Row.m_Spec.m_Steps.front().m_IsLongRunning)
      Jobs.emplace_back(Id);
  return Jobs;
}

std::string JobSimulation::findIdleLongRunningTasks() {
  for (const JobId &Id : longRunningJobs())
    if (!core().jobs().find(Id))
      return Id.m_Text + ": the leader does not know it";
  std::map<TaskId, std::string> Idle;
  auto ForEachTask = [this](auto Visit) {
    for (const JobId &Id : longRunningJobs())
      if (LiveJob *Job = core().jobs().find(Id))
        for (std::uint32_t I = 0; I < Job->m_Spec.m_Steps[0].m_Count; ++I)
          Visit(*Job, TaskId{Id, 0, 0, I});
  };
  ForEachTask([&](LiveJob &Job, const TaskId &Id) {
    Idle[Id] = describeTasks(Job) + "\n";
  });
  TimePoint End = m_Clock.m_Now + std::chrono::seconds(3);
  while (m_Clock.m_Now < End) {
    run(milliseconds(20), false);
    ForEachTask([&](LiveJob &Job, const TaskId &Id) {
      if (!Job.task(Id)->m_Runs.empty())
        Idle.erase(Id);
    });
  }
  std::string Text;
  for (const auto &[Id, Description] : Idle)
    Text += Description;
  return Text;
}

std::string JobSimulation::describeFirstLiveJob() {
  if (m_LiveRows.empty())
    return "none";
  JobId Id(m_LiveRows.begin()->first);
  LiveJob *Job = core().jobs().find(Id);
  if (!Job)
    return Id.m_Text + ": the leader does not know it";
  std::string Text = describeTasks(*Job);
  for (const auto &[Server, S] : core().servers().all())
    for (const auto &[Run, State] : S.m_Runs)
      if (Run.m_Task.m_Job == Id)
        Text += "\n  " + runName(Run) + " on " + Server.m_Text + ": start " +
                std::string(startEvidenceName(State.m_StartEvidence)) +
                ", phase " + std::to_string(static_cast<int>(State.m_Phase)) +
                (State.m_LostBy ? ", lost" : "") +
                (S.m_Reachable ? ", reachable" : ", unreachable");
  return Text;
}

void JobSimulation::setCaps(const std::vector<std::int64_t> &MilliCores) {
  for (std::size_t N = 0; N < m_Settings.m_Organisations.size(); ++N) {
    OrganisationPolicy &O = m_Settings.m_Organisations[N];
    O.m_Cap.m_MilliCores = MilliCores.at(N);
    m_Oracle.onCap(O.m_Name, O.m_Cap);
  }
  applyConfig();
}

Duration JobSimulation::registrationDelay() {
  const Duration Spread =
      m_Settings.m_MaxRegistrationDelay - m_Settings.m_MinRegistrationDelay;
  if (Spread == Duration(0))
    return m_Settings.m_MinRegistrationDelay;
  return m_Settings.m_MinRegistrationDelay +
         Duration(m_Random() % Spread.count());
}

void JobSimulation::cancelRandomJob() {
  if (m_LiveRows.empty())
    return;
  auto It = m_LiveRows.begin();
  std::advance(It, static_cast<long>(m_Random() % m_LiveRows.size()));
  cancel(JobId(It->first));
}

void JobSimulation::cancelLongRunningJobs() {
  for (const JobId &Id : longRunningJobs())
    cancel(Id);
}

void JobSimulation::submit() {
  JobSpec Job;
  Job.m_Id = JobId("job" + std::to_string(++m_Figures.m_Submitted));
  Job.m_Queue = QueueName("asks");
  Job.m_Pool = poolName(m_QueuePool);
  if (!chance(m_Settings.m_RowWithoutRulesShare))
    Job.m_Rules = m_LastRules;
  bool IsLongRunning =
      chance(m_Settings.m_LongRunningShare) && longRunningJobs().size() < 2;
  Job.m_Steps = IsLongRunning ? makeLongRunningStep() : makeSteps();
  Job.m_AcceptedAt = wall();
  if (m_Settings.m_ShapeJob && !IsLongRunning)
    m_Settings.m_ShapeJob(Job);
  const auto &Organisations = m_Settings.m_Organisations;
  if (!Organisations.empty() && !IsLongRunning)
    Job.m_Organisation =
        Organisations[m_Figures.m_Submitted % Organisations.size()].m_Name;
  m_Oracle.onJob(Job);
  m_Figures.m_Deadly += isDeadly({Job.m_Id, 0, 0, 0});
  LiveRow Row{
      Job, ++m_Version, m_Clock.m_Now,
      m_Clock.m_Now + milliseconds(600) +
          std::chrono::duration_cast<Duration>(criticalPathOf(Job) * 1.6)};
  m_LiveRows[Job.m_Id.m_Text] = Row;
  m_StateRows[Job.m_Id.m_Text] = {{}, m_Version};
  m_Clock.after(milliseconds(5), [this, Row] {
    if (m_LiveRows.count(Row.m_Spec.m_Id.m_Text) != 0)
      forEachLeader([&](Scheduler &Core) {
        Core.onJob(Row.m_Spec, {}, Row.m_Version, Row.m_Version, m_Clock.m_Now,
                   wall());
      });
  });
}

void JobSimulation::scheduleSubmit() {
  std::exponential_distribution<> Interarrival(m_Settings.m_Rate);
  m_Clock.after(std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(Interarrival(m_Random))),
                [this] {
                  if (!m_HasDemand)
                    return;
                  if (m_HasQueue)
                    submit();
                  scheduleSubmit();
                });
}

void JobSimulation::cancel(const JobId &Id) {
  OrganisationName Owner = m_LiveRows[Id.m_Text].m_Spec.m_Organisation;
  m_LiveRows.erase(Id.m_Text);
  StateRow &Row = m_StateRows[Id.m_Text];
  Row.m_Progress = {};
  Row.m_Progress.m_Organisation = Owner;
  Row.m_Progress.m_State = JobState::Cancelled;
  Row.m_Version = ++m_Version;
  m_Oracle.onCancelled(Id, m_Clock.m_Now);
  ++m_Figures.m_Failed;
  m_Clock.after(milliseconds(5), [this, Id] {
    forEachLeader([&](Scheduler &Core) { Core.onJobEnded(Id); });
  });
}

} // namespace pollenspool
