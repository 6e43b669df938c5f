//===- SimulatedQueue.cpp - The queue of a simulation ---------------------===//

#include "scheduling/testing/JobSimulation.h"

namespace pollenspool {

namespace {

using std::chrono::milliseconds;

/// How long rules of a new version take at the most to be in force.
constexpr Duration SettlingTime = std::chrono::seconds(2);
constexpr std::uint32_t MostAttempts = 4;
constexpr std::uint32_t Priorities = 3;

} // namespace

PoolName JobSimulation::poolName(std::size_t Index) const {
  return PoolName(Index == 0 ? "desk" : "annex" + std::to_string(Index));
}

QueuePolicy JobSimulation::queuePolicy() const {
  QueuePolicy Queue;
  Queue.m_Name = QueueName("asks");
  Queue.m_Pool = poolName(m_QueuePool);
  Queue.m_Attempts = m_Settings.m_Attempts;
  Queue.m_Priority = m_Priority;
  Queue.m_DurationFactor = 1.6;
  Queue.m_Slack = milliseconds(600);
  if (m_Settings.m_HasAdviser)
    Queue.m_Advice = {AdviceDelay, milliseconds(0), TicketLifetime};
  return Queue;
}

std::shared_ptr<const ServingConfig> JobSimulation::makeConfig() const {
  std::vector<PoolPolicy> Pools;
  for (std::size_t N = 0; N < m_Settings.m_Pools; ++N)
    Pools.push_back({poolName(N), false, true});
  std::vector<QueuePolicy> Queues;
  if (m_HasQueue)
    Queues.push_back(queuePolicy());
  return ServingConfig::create(m_Config ? m_Config->version() + 1 : 1, Queues,
                               Pools, m_Settings.m_Organisations);
}

void JobSimulation::applyConfig() {
  m_Config = makeConfig();
  if (m_HasQueue) {
    const QueueRules &Rules = m_Config->queues().front();
    if (!haveSameEffect(Rules, m_LastRules))
      m_RulesAt = m_Clock.m_Now;
    m_LastRules = Rules;
    m_Oracle.onRules(m_LastRules.m_Attempts, m_LastRules.m_Pool);
  }
  const Duration MaxDelay = m_Settings.m_MaxConfigDelay;
  if (MaxDelay == Duration(0))
    return deliverConfig(m_Config);
  m_Clock.after(Duration(m_Random() % MaxDelay.count()),
                [this, Config = m_Config] { deliverConfig(Config); });
}

void JobSimulation::moveQueue() {
  m_QueuePool = m_Random() % m_Settings.m_Pools;
  applyConfig();
}

void JobSimulation::changeRules() {
  m_Settings.m_Attempts =
      1 + static_cast<std::uint32_t>(m_Random() % MostAttempts);
  m_Priority = static_cast<std::uint32_t>(m_Random() % Priorities);
  applyConfig();
}

void JobSimulation::setHasQueue(bool HasQueue) {
  if (m_Clock.m_Now < m_RulesAt + SettlingTime)
    run(m_RulesAt + SettlingTime - m_Clock.m_Now, m_HasDemand);
  m_HasQueue = HasQueue;
  applyConfig();
}

std::string JobSimulation::findWrongRules() {
  if (m_Clock.m_Now < m_RulesAt + SettlingTime)
    return {};
  for (auto &[Id, Job] : core().jobs().all())
    if (Job->m_Attempts != m_LastRules.m_Attempts ||
        Job->m_Priority != m_LastRules.m_Priority ||
        Job->pool() != m_LastRules.m_Pool)
      return Id.m_Text + " has " + std::to_string(Job->m_Attempts) +
             " attempts, priority " + std::to_string(Job->m_Priority) +
             " and pool " + Job->pool().m_Text + "; the rules of version " +
             std::to_string(m_LastRules.m_ConfigVersion) + " are " +
             std::to_string(m_LastRules.m_Attempts) + ", " +
             std::to_string(m_LastRules.m_Priority) + " and " +
             m_LastRules.m_Pool.m_Text;
  return {};
}

} // namespace pollenspool
