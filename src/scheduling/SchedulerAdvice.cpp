//===- SchedulerAdvice.cpp - Asking where steps may run -------------------===//

#include "base/Log.h"
#include "scheduling/Scheduler.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Tasks of \p Need that fit into \p Room; at least one counts.
std::size_t tasksThatFit(const Resources &Room, const Resources &Need) {
  std::int64_t Fit = INT64_MAX;
  for (auto [Has, Wants] : {std::pair(Room.m_MilliCores, Need.m_MilliCores),
                            std::pair(Room.m_MemoryMb, Need.m_MemoryMb),
                            std::pair(Room.m_Gpus, Need.m_Gpus)})
    if (Wants > 0)
      Fit = std::min(Fit, Has / Wants);
  return static_cast<std::size_t>(std::max<std::int64_t>(Fit, 1));
}

} // namespace

const AdvicePolicy *Scheduler::advicePolicy(const LiveJob &Job) const {
  const QueuePolicy *Q = policyOf(Job);
  return Q && Q->m_Advice ? &*Q->m_Advice : nullptr;
}

void Scheduler::askAdvice(LiveJob &Job, const PoolRoom &Room, TimePoint Now) {
  const AdvicePolicy *Policy = advicePolicy(Job);
  if (!Policy || Job.m_Ready.empty())
    return;
  const ReadyTask &First = Job.m_Ready.front();
  StepId Step = Job.stepId(First);
  if (!m_Advice.mayAsk(Step, Now))
    return;
  auto Tasks = static_cast<std::size_t>(std::count_if(
      Job.m_Ready.begin(), Job.m_Ready.end(), [&](const ReadyTask &R) {
        return R.m_Occurrence == First.m_Occurrence && R.m_Step == First.m_Step;
      }));
  Resources Need = chargeOf(Job.m_Spec.m_Steps[First.m_Step]);
  std::vector<std::pair<Placement, ServerState *>> Order;
  for (ServerState *S : Room.m_Servers)
    if (canTake(*S, Job, First, Need, {}))
      Order.emplace_back(rate(*S, Job, First, {}), S);
  std::sort(Order.begin(), Order.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<ServerState *> Candidates;
  for (const auto &[Rating, S] : Order)
    Candidates.push_back(S);
  if (Candidates.empty())
    return;
  AdviceOrder Ask;
  Ask.m_Step = Step;
  Ask.m_Servers =
      m_Advice.choose(Step, Candidates, Tasks,
                      tasksThatFit(Candidates.front()->room(), Need), Now);
  if (Ask.m_Servers.empty())
    return;
  Ask.m_Timeout = m_Advice.noteAsked(Ask, *Policy, Now);
  ++m_Counters.m_AdviceCalls;
  m_Orders.advise(Ask);
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
