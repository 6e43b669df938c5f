//===- SchedulerWorld.cpp - Test fixture of the scheduler -----------------===//

#include "scheduling/testing/SchedulerWorld.h"
#include <cstdlib>

namespace pollenspool {

SchedulerWorld::SchedulerWorld(Term T) {
  SchedulerOptions Options;
  Options.m_Term = T;
  Options.m_TermVersion = 100;
  m_Core = Scheduler::create(Options, m_Orders, m_Now);
  m_Writer = ProgressWriter::create(*m_Core);
  QueuePolicy Queue;
  Queue.m_Name = QueueName("asks");
  Queue.m_Pool = PoolName("desk");
  Queue.m_Attempts = 2;
  Queue.m_Stretch = 1.5;
  Queue.m_Slack = std::chrono::milliseconds(600);
  m_Queues.push_back(Queue);
  applyConfig();
}

void SchedulerWorld::applyConfig() {
  m_Core->onConfig(
      ServingConfig::create(1, m_Queues, {{PoolName("desk"), false, true}}));
}

void SchedulerWorld::useAdvice(const AdvicePolicy &Policy) {
  m_Queues.front().m_Advice = Policy;
  applyConfig();
}

std::chrono::milliseconds SchedulerWorld::wall() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      m_Now.time_since_epoch());
}

void SchedulerWorld::addServer(const std::string &Id, int Cores) {
  ServerRegistration R;
  R.m_Id = ServerId(Id);
  R.m_Instance = InstanceId("on-" + Id);
  R.m_Pool = PoolName("desk");
  R.m_Address = Id;
  R.m_Capacity = {Cores * 1000, 64000, 0};
  R.m_BornMs = 1;
  m_Core->onServer(R, m_Now);
  tick();
  answerLook(Id);
}

const LookOrder &SchedulerWorld::lastLook(const std::string &Id) const {
  for (auto It = m_Orders.m_Looks.rbegin(); It != m_Orders.m_Looks.rend(); ++It)
    if (It->m_Server.m_Id.m_Text == Id)
      return *It;
  std::abort();
}

void SchedulerWorld::answerLook(const std::string &Id,
                                std::vector<RunReport> Running,
                                std::vector<EndReport> Ended) {
  LookReply Reply;
  Reply.m_ClockMs = wall().count();
  Reply.m_BornMs = 1;
  Reply.m_Running = std::move(Running);
  Reply.m_Ended = std::move(Ended);
  LookOrder Order = lastLook(Id);
  advance(std::chrono::milliseconds(1));
  m_Core->onLookReply(Order, Reply, m_Now);
}

void SchedulerWorld::failLook(const std::string &Id, OrderResult R) {
  LookOrder Order = lastLook(Id);
  m_Core->onLookFailed(Order, R, m_Now);
}

void SchedulerWorld::answerStart(std::size_t Index, OrderResult R) {
  StartOrder Order = m_Orders.m_Starts.at(Index);
  advance(std::chrono::milliseconds(1));
  m_Core->onStartResult(Order, {R, 0}, m_Now);
}

void SchedulerWorld::record() {
  advance(std::chrono::seconds(1));
  while (auto Txn = m_Writer->next(m_Now, wall())) {
    CommitOutcome Outcome;
    Outcome.m_Committed = true;
    Outcome.m_Version = ++m_StoreVersion;
    m_Writer->onResult(Outcome, m_Now);
    advance(std::chrono::seconds(1));
  }
}

StepSpec SchedulerWorld::step(std::uint32_t Count,
                              std::vector<std::uint32_t> After) {
  StepSpec S;
  S.m_Count = Count;
  S.m_Need = {1000, 1000, 0};
  S.m_Estimate = std::chrono::milliseconds(1000);
  S.m_After = std::move(After);
  return S;
}

RunId SchedulerWorld::run(const std::string &Job, std::uint32_t Step,
                          std::uint32_t Index, std::uint32_t Number) {
  return {{JobId(Job), 0, Step, Index}, Number};
}

void SchedulerWorld::addJob(const std::string &Id, std::vector<StepSpec> Steps,
                            JobProgress Progress, RowVersion Accepted) {
  JobSpec Job;
  Job.m_Id = JobId(Id);
  Job.m_Queue = QueueName("asks");
  Job.m_Pool = PoolName("desk");
  Job.m_Steps = std::move(Steps);
  Job.m_AcceptedAt = wall();
  m_Core->onJob(std::move(Job), std::move(Progress), Accepted, Accepted, m_Now,
                wall());
}

LiveJob &SchedulerWorld::job(const std::string &Id) {
  return *m_Core->jobs().find(JobId(Id));
}

} // namespace pollenspool
