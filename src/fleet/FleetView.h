//===- FleetView.h - Local view of the fleet --------------------*- C++ -*-===//
//
// A cache of the fleet's rows, the platform's list and the pools of the
// configuration document, with the rule that decides whether an instance may be
// drained.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_FLEETVIEW_H
#define POLLENSPOOL_FLEET_FLEETVIEW_H

#include "base/Time.h"
#include "config/Document.h"
#include "fleet/FleetRows.h"
#include "fleet/InstanceRow.h"
#include "platform/Platform.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace pollenspool {

/// Number of a pool's members by state, as the availability budget counts them.
struct PoolMemberCounts {
  std::uint32_t m_Members = 0;
  /// In state Serving and available.
  std::uint32_t m_Serving = 0;
  /// Held by moves and waves, including members that did not return from their
  /// reboot.
  std::uint32_t m_Held = 0;
  /// In state Serving, but listed as Leaving or Gone, or unhealthy.
  std::uint32_t m_Unavailable = 0;
};

/// Not thread safe. The view is consistent as of revision(): rows of one
/// revision are applied together. Commits of this process are applied ahead of
/// it; their checks rule out other changes of the same pool in between.
class FleetView {
public:
  /// Replaces the pools with those of the configuration document.
  void setDocument(const Document &Doc);
  /// Applies changed rows and ignores rows older than those already known. A
  /// first read by several scans must carry the lowest of their revisions.
  void applyRows(const RowSet &Rows);
  /// Applies the writes of a transaction of this process that has committed.
  void applyCommit(const Transaction &Txn, Revision Committed);
  /// Replaces the platform's list. \p Now is the time at which it was
  /// requested.
  void applyList(const std::vector<ListedInstance> &List, TimePoint Now);
  /// Marks an instance as unhealthy because its requests fail, or clears the
  /// mark.
  void setUnhealthy(const InstanceId &Id, bool IsUnhealthy);

  /// Table revision up to which all row changes are known.
  Revision revision() const { return m_Revision; }
  /// Rises with each change that may affect a decision.
  std::uint64_t changeCount() const { return m_ChangeCount; }
  /// Revision of the row \p Key; 0 if it is absent.
  Revision revisionOf(const std::string &Key) const;

  // These return null if there is no such row. The pointers are valid until the
  // next change of the view.
  const InstanceRow *findInstance(const InstanceId &Id) const;
  const MoveRow *findMove(const InstanceId &Id) const;
  const MoveRow *findMove(const MoveId &Id) const;
  const WaveRow *findWave(const WaveId &Id) const;
  const WaveMemberRow *findMember(const WaveId &Wave,
                                  const InstanceId &Id) const;
  const ListedInstance *findListed(const InstanceId &Id) const;
  /// The listed entry instance with that address, or null.
  const ListedInstance *findListedEntry(const EntryId &Id) const;
  const Pool *findPool(const PoolName &Name) const;

  /// The pool's budget row; without used units if there is none.
  BudgetRow budget(const PoolName &Name) const;
  const std::set<InstanceId> &membersOf(const PoolName &Name) const;
  const std::map<InstanceId, InstanceRow> &instances() const {
    return m_Instances;
  }
  const std::map<InstanceId, MoveRow> &moves() const { return m_Moves; }
  const std::map<WaveId, WaveRow> &waves() const { return m_Waves; }
  const std::map<InstanceId, WaveMemberRow> &
  membersOf(const WaveId &Wave) const;
  /// The members that the wave holds now.
  const std::vector<InstanceId> &heldBy(const WaveId &Wave) const;
  const std::vector<ListedInstance> &list() const { return m_List; }
  const std::optional<RunnerRow> &runner() const { return m_Runner; }
  /// When the latest list was requested; nothing before the first one.
  std::optional<TimePoint> listTime() const { return m_ListTime; }

  /// True if the platform lists the instance as Leaving or Gone, or if it is
  /// marked as unhealthy.
  bool isUnavailable(const InstanceId &Id) const;
  PoolMemberCounts memberCounts(const PoolName &Name) const;
  /// False if the pool's state rules out a drain of any of its instances.
  bool canDrainAny(const PoolName &Name) const;
  /// Why a move or wave may not drain the instance now; nothing if it may.
  std::optional<std::string> drainBlockReason(const InstanceId &Id) const;

private:
  using Applier = void (FleetView::*)(const Row &);
  struct RowKind {
    std::string_view m_Prefix;
    Applier m_Apply;
  };
  static const RowKind RowKinds[];

  void applyRow(const Row &Changed);
  void applyInstance(const Row &Changed);
  void applyBudget(const Row &Changed);
  void applyMove(const Row &Changed);
  void applyWave(const Row &Changed);
  void applyMember(const Row &Changed);
  void applyBatch(const Row &Changed);
  void applyRunner(const Row &Changed);
  std::optional<std::string> budgetBlockReason(const PoolName &Name,
                                               const InstanceId &Id) const;

  Revision m_Revision = 0;
  std::uint64_t m_ChangeCount = 0;
  /// Latest known revision of each row, including deleted rows.
  std::unordered_map<std::string, Revision> m_Revisions;
  std::unordered_set<std::string> m_Deleted;
  std::map<InstanceId, InstanceRow> m_Instances;
  std::map<PoolName, std::set<InstanceId>> m_PoolMembers;
  std::map<PoolName, BudgetRow> m_Budgets;
  std::map<InstanceId, MoveRow> m_Moves;
  std::map<WaveId, WaveRow> m_Waves;
  std::map<WaveId, std::map<InstanceId, WaveMemberRow>> m_Members;
  std::map<WaveId, std::vector<InstanceId>> m_Batches;
  std::optional<RunnerRow> m_Runner;
  std::map<PoolName, Pool> m_Pools;
  std::vector<ListedInstance> m_List;
  std::unordered_map<InstanceId, std::size_t> m_ListIndex;
  std::unordered_map<EntryId, std::size_t> m_EntryIndex;
  std::optional<TimePoint> m_ListTime;
  std::set<InstanceId> m_Unhealthy;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_FLEETVIEW_H
