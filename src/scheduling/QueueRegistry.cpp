//===- QueueRegistry.cpp - The rules in force for queues with jobs --------===//

#include "scheduling/QueueRegistry.h"
#include "base/Log.h"
#include <algorithm>
#include <limits>

namespace pollenspool {

namespace {

/// Failed runs of one task after which a job of an unknown queue fails.
constexpr std::uint32_t AttemptsIfUnknown = 3;

} // namespace

QueueRules rulesOfUnknownQueue() {
  QueueRules Rules;
  Rules.m_Attempts = AttemptsIfUnknown;
  // Jobs of a queue that no operator has ranked must not go before others.
  Rules.m_Priority = std::numeric_limits<std::uint32_t>::max();
  return Rules;
}

bool LiveQueue::needsRow() const {
  if (m_LiveJobs == 0 || !m_AreRulesKnown ||
      !(m_HasJobsWithOtherRules || m_Stored))
    return false;
  return !m_Stored || !haveSameEffect(*m_Stored, m_Rules) ||
         m_Stored->m_ConfigVersion < m_NewestOtherVersion;
}

LiveQueue &QueueRegistry::queue(const QueueName &Name) {
  auto [It, IsNew] = m_Queues.try_emplace(Name);
  LiveQueue &Q = It->second;
  if (!IsNew)
    return Q;
  Q.m_Name = Name;
  if (const QueuePolicy *Policy = m_Config ? m_Config->queue(Name) : nullptr) {
    Q.m_IsConfigured = true;
    adopt(Q, *Policy);
  }
  return Q;
}

bool QueueRegistry::adopt(LiveQueue &Q, const QueueRules &Rules) {
  const bool IsChange = !Q.m_AreRulesKnown || !haveSameEffect(Q.m_Rules, Rules);
  if (Q.m_AreRulesKnown && IsChange) {
    const std::uint64_t Older =
        std::min(Q.m_Rules.m_ConfigVersion, Rules.m_ConfigVersion);
    Q.m_NewestOtherVersion = std::max(Q.m_NewestOtherVersion, Older);
    Q.m_HasJobsWithOtherRules |= Q.m_LiveJobs > 0;
  }
  if (Q.m_AreRulesKnown && Rules.m_ConfigVersion < Q.m_Rules.m_ConfigVersion)
    return false;
  Q.m_Rules = Rules;
  Q.m_AreRulesKnown = true;
  return IsChange;
}

std::pair<const LiveQueue *, bool>
QueueRegistry::addJob(const QueueName &Name,
                      const std::optional<QueueRules> &Accepted) {
  LiveQueue &Q = queue(Name);
  const bool HadJobs = Q.m_LiveJobs++ > 0;
  Q.m_UnusedSince.reset();
  if (!Accepted) {
    Q.m_HasJobsWithOtherRules = true;
    return {&Q, false};
  }
  const bool IsChange = adopt(Q, *Accepted);
  return {&Q, IsChange && HadJobs};
}

void QueueRegistry::removeJob(const QueueName &Name) {
  auto It = m_Queues.find(Name);
  if (It == m_Queues.end() || --It->second.m_LiveJobs > 0)
    return;
  It->second.m_HasJobsWithOtherRules = false;
}

void QueueRegistry::onConfig(std::shared_ptr<const ServingConfig> Config) {
  m_Config = std::move(Config);
  for (auto &[Name, Q] : m_Queues) {
    const QueuePolicy *Policy = m_Config->queue(Name);
    if (Policy)
      adopt(Q, *Policy);
    const bool WasConfigured = std::exchange(Q.m_IsConfigured, Policy);
    if (WasConfigured && !Policy && Q.m_LiveJobs > 0)
      logEvent(Event::QueueRemoved,
               {{"queue", Name.m_Text},
                {"version", std::to_string(m_Config->version())},
                {"live_jobs", std::to_string(Q.m_LiveJobs)},
                {"rules_of_version", std::to_string(Q.m_Rules.m_ConfigVersion)},
                {"pool", Q.m_Rules.m_Pool.m_Text},
                {"attempts", std::to_string(Q.m_Rules.m_Attempts)},
                {"priority", std::to_string(Q.m_Rules.m_Priority)}});
  }
}

void QueueRegistry::onStored(const QueueName &Name, const QueueRules &Rules,
                             RowVersion Version) {
  LiveQueue &Q = queue(Name);
  adopt(Q, Rules);
  Q.m_Stored = Rules;
  Q.m_StoredVersion = Version;
}

void QueueRegistry::onNotStored(const QueueName &Name, RowVersion Version) {
  auto It = m_Queues.find(Name);
  if (It == m_Queues.end())
    return;
  It->second.m_Stored.reset();
  It->second.m_StoredVersion = Version;
}

void QueueRegistry::removeUnused(Duration Lifetime, TimePoint Now) {
  for (auto It = m_Queues.begin(); It != m_Queues.end();) {
    LiveQueue &Q = It->second;
    if (Q.m_LiveJobs == 0 && !Q.m_UnusedSince)
      Q.m_UnusedSince = Now;
    It = Q.hasBeenUnusedFor(Lifetime, Now) && !Q.m_Stored ? m_Queues.erase(It)
                                                          : std::next(It);
  }
}

} // namespace pollenspool
