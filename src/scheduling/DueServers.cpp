//===- DueServers.cpp - Servers that a pass has to look at ----------------===//

#include "scheduling/DueServers.h"
#include "scheduling/ServerRegistry.h"
#include <algorithm>
#include <utility>

namespace pollenspool {

bool DueServers::isLater(const Check &A, const Check &B) {
  return A.m_At > B.m_At;
}

void DueServers::add(ServerState &S) {
  if (!std::exchange(S.m_IsDue, true))
    m_Due.push_back(&S);
}

std::vector<ServerState *> DueServers::collect(TimePoint Now) {
  while (!m_Checks.empty() && m_Checks.front().m_At <= Now) {
    const Check Next = m_Checks.front();
    std::pop_heap(m_Checks.begin(), m_Checks.end(), isLater);
    m_Checks.pop_back();
    if (Next.m_At != Next.m_Server->m_CheckAt)
      continue;
    Next.m_Server->m_CheckAt = TimePoint::max();
    add(*Next.m_Server);
  }
  std::sort(m_Due.begin(), m_Due.end(),
            [](const ServerState *A, const ServerState *B) {
              return A->m_Registration.m_Id < B->m_Registration.m_Id;
            });
  return m_Due;
}

void DueServers::finish() {
  for (ServerState *S : m_Due) {
    S->m_IsDue = false;
    const TimePoint At = S->nextCheck();
    if (At >= S->m_CheckAt)
      continue;
    S->m_CheckAt = At;
    m_Checks.push_back({At, S});
    std::push_heap(m_Checks.begin(), m_Checks.end(), isLater);
  }
  m_Due.clear();
}

void DueServers::remove(const ServerState &S) {
  m_Due.erase(std::remove(m_Due.begin(), m_Due.end(), &S), m_Due.end());
  m_Checks.erase(
      std::remove_if(m_Checks.begin(), m_Checks.end(),
                     [&](const Check &C) { return C.m_Server == &S; }),
      m_Checks.end());
  std::make_heap(m_Checks.begin(), m_Checks.end(), isLater);
}

bool DueServers::isAwaited(const ServerState &S) const {
  auto IsCheck = [&](const Check &C) {
    return C.m_Server == &S && C.m_At == S.m_CheckAt;
  };
  if (S.m_IsDue)
    return std::count(m_Due.begin(), m_Due.end(), &S) == 1;
  return S.m_CheckAt <= S.nextCheck() &&
         (S.m_CheckAt == TimePoint::max() ||
          std::any_of(m_Checks.begin(), m_Checks.end(), IsCheck));
}

} // namespace pollenspool
