//===- SchedulerAdvice.cpp - Requests for placement advice ----------------===//

#include "base/Log.h"
#include "scheduling/Scheduler.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Number of tasks of \p Need that fit into \p Available, at least one.
std::size_t tasksThatFit(const Resources &Available, const Resources &Need) {
  std::int64_t Fit = INT64_MAX;
  for (auto [Offered, Needed] :
       {std::pair(Available.m_MilliCores, Need.m_MilliCores),
        std::pair(Available.m_MemoryMb, Need.m_MemoryMb),
        std::pair(Available.m_Gpus, Need.m_Gpus)})
    if (Needed > 0)
      Fit = std::min(Fit, Offered / Needed);
  return static_cast<std::size_t>(std::max<std::int64_t>(Fit, 1));
}

} // namespace

const AdvicePolicy *Scheduler::advicePolicy(const LiveJob &Job) {
  const std::optional<AdvicePolicy> &Advice = Job.m_Queue->m_Rules.m_Advice;
  return Advice ? &*Advice : nullptr;
}

void Scheduler::requestAdvice(LiveJob &Job, const PoolPass &Pass) {
  const TimePoint Now = Pass.m_Now;
  const AdvicePolicy *Policy = advicePolicy(Job);
  if (!Policy || Job.m_Ready.empty())
    return;
  const ReadyTask &First = Job.m_Ready.front();
  StepId Step = Job.stepId(First);
  if (!m_Advice.mayCall(Step, Now))
    return;
  auto Tasks = static_cast<std::size_t>(std::count_if(
      Job.m_Ready.begin(), Job.m_Ready.end(), [&](const ReadyTask &R) {
        return R.m_Occurrence == First.m_Occurrence && R.m_Step == First.m_Step;
      }));
  const StepNeeds Needs = needsOf(Job, First);
  std::vector<std::pair<PlacementScore, ServerState *>> Order;
  for (auto It = Pass.m_Servers.lower_bound(Needs.m_Need.m_MilliCores);
       It != Pass.m_Servers.end(); ++It)
    if (isUsable(**It, Now) && canHost(**It, Job, First, Needs, {}))
      Order.emplace_back(score(**It, Job, First, Needs), *It);
  std::sort(Order.begin(), Order.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<ServerState *> Candidates;
  for (const auto &[Score, S] : Order)
    Candidates.push_back(S);
  if (Candidates.empty())
    return;
  AdviceOrder Request;
  Request.m_Step = Step;
  Request.m_Servers = m_Advice.selectServers(
      Step, Candidates, Tasks,
      tasksThatFit(Candidates.front()->freeResources(), Needs.m_Need), Now);
  if (Request.m_Servers.empty())
    return;
  Request.m_Timeout = m_Advice.recordCall(Request, *Policy, Now);
  ++m_Counters.m_AdviceCalls;
  m_Orders.advise(Request);
}

void Scheduler::onAdvice(const AdviceOrder &Order,
                         const Result<AdviceReply> &Reply, TimePoint Now) {
  logEvent(Event::AdviceAnswered,
           {{"job", Order.m_Step.m_Job.m_Text},
            {"step", std::to_string(Order.m_Step.m_Step)},
            {"servers", std::to_string(Order.m_Servers.size())},
            {"result",
             Reply ? std::to_string(Reply.value().m_Tickets.size()) + " allowed"
                   : Reply.error().describe()}});
  if (Reply)
    m_Advice.onReply(Order, Reply.value(), m_Servers, Now);
  else
    m_Advice.onFailure(Order, Now);
}

} // namespace pollenspool
