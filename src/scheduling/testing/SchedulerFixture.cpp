//===- SchedulerFixture.cpp - Test fixture of the scheduler ---------------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <cstdlib>

namespace pollenspool {

SchedulerFixture::SchedulerFixture(Term T) {
  SchedulerOptions Options;
  Options.m_Term = T;
  Options.m_TermVersion = 100;
  m_Core = Scheduler::create(Options, m_Orders, m_Now);
  m_Writer = ProgressWriter::create(*m_Core, termCondition());
  QueuePolicy Queue;
  Queue.m_Name = QueueName("asks");
  Queue.m_Pool = PoolName("desk");
  Queue.m_Attempts = 2;
  Queue.m_DurationFactor = 1.5;
  Queue.m_Slack = std::chrono::milliseconds(600);
  m_Queues.push_back(Queue);
  applyConfig();
}

void SchedulerFixture::applyConfig() {
  auto Config = ServingConfig::create(++m_ConfigVersion, m_Queues, m_Pools);
  if (!m_Queues.empty())
    m_AcceptedRules = Config->queues().front();
  m_Core->onConfig(std::move(Config));
}

void SchedulerFixture::setRules(const QueueRules &Rules) {
  m_Queues.resize(1);
  m_Queues.front().m_Name = QueueName("asks");
  static_cast<QueueRules &>(m_Queues.front()) = Rules;
  applyConfig();
}

void SchedulerFixture::setAdvicePolicy(const AdvicePolicy &Policy) {
  m_Queues.front().m_Advice = Policy;
  applyConfig();
}

void SchedulerFixture::moveQueue(const std::string &Pool) {
  m_Queues.front().m_Pool = PoolName(Pool);
  m_Pools.push_back({PoolName(Pool), false, true});
  applyConfig();
}

void SchedulerFixture::removeQueue() {
  m_Queues.clear();
  applyConfig();
}

std::chrono::milliseconds SchedulerFixture::wall() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      m_Now.time_since_epoch());
}

void SchedulerFixture::registerServer(const std::string &Id, int Cores,
                                      const std::string &Pool) {
  ServerRegistration R;
  R.m_Id = ServerId(Id);
  R.m_Instance = InstanceId("on-" + Id);
  R.m_Pool = PoolName(Pool);
  R.m_Address = Id;
  R.m_Capacity = {Cores * 1000, 64000, 0};
  R.m_StartTimeMs = m_StartTimeMs;
  m_Core->onServer(R, m_Now);
}

void SchedulerFixture::addServer(const std::string &Id, int Cores,
                                 const std::string &Pool) {
  registerServer(Id, Cores, Pool);
  tick();
  answerPoll(Id);
}

const PollOrder &SchedulerFixture::lastPoll(const std::string &Id) const {
  for (auto It = m_Orders.m_Polls.rbegin(); It != m_Orders.m_Polls.rend(); ++It)
    if (It->m_Server.m_Id.m_Text == Id)
      return *It;
  std::abort();
}

void SchedulerFixture::answerPoll(const std::string &Id,
                                  std::vector<RunReport> Running,
                                  std::vector<EndReport> Ended,
                                  bool HasMoreEnds) {
  PollReply Reply;
  Reply.m_ClockMs = wall().count();
  Reply.m_StartTimeMs = m_StartTimeMs;
  Reply.m_Running = std::move(Running);
  Reply.m_Ended = std::move(Ended);
  Reply.m_HasMoreEnds = HasMoreEnds;
  PollOrder Order = lastPoll(Id);
  advance(std::chrono::milliseconds(1));
  m_Core->onPollReply(Order, Reply, m_Now);
}

void SchedulerFixture::failPoll(const std::string &Id, OrderResult R) {
  PollOrder Order = lastPoll(Id);
  m_Core->onPollFailed(Order, R, m_Now);
}

void SchedulerFixture::answerStart(std::size_t Index, OrderResult R) {
  StartOrder Order = m_Orders.m_Starts.at(Index);
  advance(std::chrono::milliseconds(1));
  m_Core->onStartResult(Order, {R, 0}, m_Now);
}

void SchedulerFixture::record() {
  advance(std::chrono::seconds(1));
  while (auto Next = m_Writer->next(m_Now, wall())) {
    CommitOutcome Outcome;
    Outcome.m_Committed = true;
    Outcome.m_Version = ++m_StoreVersion;
    m_Writer->onResult(Next->m_Number, Outcome, m_Now);
    advance(std::chrono::seconds(1));
  }
}

StepSpec SchedulerFixture::step(std::uint32_t Count,
                                std::vector<std::uint32_t> After) {
  StepSpec S;
  S.m_Count = Count;
  S.m_RequiredResources = {1000, 1000, 0};
  S.m_Estimate = std::chrono::milliseconds(1000);
  S.m_After = std::move(After);
  return S;
}

RunId SchedulerFixture::run(const std::string &Job, std::uint32_t Step,
                            std::uint32_t Index, std::uint32_t Number) {
  return {{JobId(Job), 0, Step, Index}, Number};
}

void SchedulerFixture::addJob(const std::string &Id,
                              std::vector<StepSpec> Steps, JobProgress Progress,
                              RowVersion Accepted) {
  JobSpec Job;
  Job.m_Id = JobId(Id);
  Job.m_Queue = QueueName("asks");
  Job.m_Pool = PoolName("desk");
  Job.m_Rules = m_AcceptedRules;
  Job.m_Steps = std::move(Steps);
  Job.m_AcceptedAt = wall();
  m_Core->onJob(std::move(Job), std::move(Progress), Accepted, Accepted, m_Now,
                wall());
}

LiveJob &SchedulerFixture::job(const std::string &Id) {
  return *m_Core->jobs().find(JobId(Id));
}

} // namespace pollenspool
