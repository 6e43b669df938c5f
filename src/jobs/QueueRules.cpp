//===- QueueRules.cpp - Rules for scheduling the jobs of a queue ----------===//

#include "jobs/QueueRules.h"
#include <tuple>

namespace pollenspool {

namespace {

bool isSameAdvice(const std::optional<AdvicePolicy> &A,
                  const std::optional<AdvicePolicy> &B) {
  if (!A || !B)
    return !A && !B;
  return A->m_TimePerCall == B->m_TimePerCall &&
         A->m_TimePerServer == B->m_TimePerServer &&
         A->m_TicketLifetime == B->m_TicketLifetime;
}

} // namespace

bool haveSameEffect(const QueueRules &A, const QueueRules &B) {
  return std::tie(A.m_Pool, A.m_Priority, A.m_Attempts, A.m_DurationFactor,
                  A.m_Slack) == std::tie(B.m_Pool, B.m_Priority, B.m_Attempts,
                                         B.m_DurationFactor, B.m_Slack) &&
         isSameAdvice(A.m_Advice, B.m_Advice);
}

void writeQueueRules(JsonWriter &Row, const QueueRules &Rules) {
  Row.beginArray()
      .add(Rules.m_ConfigVersion)
      .add(Rules.m_Pool.m_Text)
      .add(Rules.m_Priority)
      .add(Rules.m_Attempts)
      .add(Rules.m_DurationFactor)
      .add(Rules.m_Slack.count())
      .beginArray();
  if (Rules.m_Advice)
    Row.add(Rules.m_Advice->m_TimePerCall.count())
        .add(Rules.m_Advice->m_TimePerServer.count())
        .add(Rules.m_Advice->m_TicketLifetime.count());
  Row.endArray().endArray();
}

} // namespace pollenspool
