//===- QueueRegistry.h - Rules in force for queues with jobs ----*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_QUEUEREGISTRY_H
#define POLLENSPOOL_SCHEDULING_QUEUEREGISTRY_H

#include "base/Time.h"
#include "serving/ServingConfig.h"
#include "store/MetadataStore.h"
#include <map>
#include <memory>
#include <optional>

namespace pollenspool {

/// Rules of a queue of which no version of the configuration is known: all its
/// jobs were accepted by an earlier version of this program, and the queue was
/// removed before this version led.
QueueRules rulesOfUnknownQueue();

/// A queue that has live jobs, or had them lately, and the rules in force for
/// all of its jobs.
struct LiveQueue {
  QueueName m_Name;
  /// Those of the newest version that is known to have the queue.
  QueueRules m_Rules = rulesOfUnknownQueue();
  bool m_AreRulesKnown = false;
  /// Whether the configuration in effect has the queue.
  bool m_IsConfigured = false;
  std::size_t m_LiveJobs = 0;
  /// Since when QueueRegistry::removeUnused() has found no live jobs.
  std::optional<TimePoint> m_UnusedSince;
  /// A live job was accepted with other rules, or its row tells none.
  bool m_HasJobsWithOtherRules = false;
  /// The newest version with rules other than m_Rules that a row of the store
  /// may hold. A row with m_Rules of an earlier version would not prevail.
  std::uint64_t m_NewestOtherVersion = 0;
  /// The queue's own row, if it has one.
  std::optional<QueueRules> m_Stored;
  RowVersion m_StoredVersion = 0;

  /// Whether a leader that does not find the queue in its configuration would
  /// get other rules from the rows of the store.
  bool needsRow() const;
  bool hasBeenUnusedFor(Duration Time, TimePoint Now) const {
    return m_UnusedSince && Now >= *m_UnusedSince + Time;
  }
};

/// The rules in force for the jobs of each queue. A queue keeps the rules of
/// the newest version that has it, also after it was removed: accepted jobs
/// still have to run. The sources are the configurations, the rows of accepted
/// jobs, and rows of queues that earlier leaders wrote. Not thread safe.
class QueueRegistry {
public:
  /// Adds a live job of \p Name, which was accepted with \p Accepted. Returns
  /// the queue, which stays at its address as long as it has live jobs, and
  /// whether the rules in force for its earlier jobs have changed.
  std::pair<const LiveQueue *, bool>
  addJob(const QueueName &Name, const std::optional<QueueRules> &Accepted);
  void removeJob(const QueueName &Name);
  /// \p Config is in effect now.
  void onConfig(std::shared_ptr<const ServingConfig> Config);
  /// The queue's own row has been read or written.
  void onStored(const QueueName &Name, const QueueRules &Rules,
                RowVersion Version);
  /// The queue has no row of its own (\p Version is 0), or one that cannot be
  /// decoded.
  void onNotStored(const QueueName &Name, RowVersion Version = 0);
  /// Removes the queues without a row that have had no live jobs for
  /// \p Lifetime.
  void removeUnused(Duration Lifetime, TimePoint Now);

  const std::map<QueueName, LiveQueue> &all() const { return m_Queues; }

private:
  /// Puts \p Rules in force unless newer ones are known. Returns whether that
  /// has changed anything for the queue's jobs.
  static bool adopt(LiveQueue &Q, const QueueRules &Rules);
  /// The queue of that name, which is added if it is not known.
  LiveQueue &queue(const QueueName &Name);

  std::map<QueueName, LiveQueue> m_Queues;
  std::shared_ptr<const ServingConfig> m_Config;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_QUEUEREGISTRY_H
