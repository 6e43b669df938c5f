//===- FleetView.h - What one entry instance knows of the fleet -*- C++ -*-===//
//
// A cache of the fleet's rows, the platform's list and the document, with the
// one rule for taking an instance away.
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

/// A pool's members as the availability budget counts them.
struct PoolLoad {
  std::uint32_t m_Members = 0;
  /// Serving, and not lost.
  std::uint32_t m_Serving = 0;
  /// Held by moves and waves, those that failed to return included.
  std::uint32_t m_Held = 0;
  /// Not held, but gone, leaving or sick.
  std::uint32_t m_Lost = 0;
};

/// Not thread safe. The view is consistent as of revision(): rows of one
/// revision are applied together, and the view's own commits are applied only
/// with checks that rule out other changes of the same pool in between.
class FleetView {
public:
  /// Takes over pools and their promises.
  void setDocument(const Document &Doc);
  /// Applies changed rows; older ones than those held are passed over. A first
  /// read by several scans carries the lowest of their revisions.
  void applyRows(const RowSet &Rows);
  /// Applies the writes of an own transaction that took effect.
  void applyCommit(const Transaction &Txn, Revision Committed);
  /// Replaces the platform's list as it arrived at \p Now.
  void applyList(const std::vector<ListedInstance> &List, TimePoint Now);
  /// Marks an instance as failing its work, or clears the mark.
  void setSick(const InstanceId &Id, bool IsSick);

  /// Table revision up to which all rows are known.
  Revision revision() const { return m_Revision; }
  /// Rises whenever something changes that a decision may rest on.
  std::uint64_t changeCount() const { return m_ChangeCount; }
  /// Revision of the row \p Key; 0 if it is absent.
  Revision revisionOf(const std::string &Key) const;

  // Null if there is no such row. Valid until the next change of the view.
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

  /// The pool's budget row; empty if it is absent.
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
  /// When the list arrived; nothing before the first one.
  std::optional<TimePoint> listTime() const { return m_ListTime; }

  /// True if the platform lists it as leaving or gone, or if it is sick.
  bool isLost(const InstanceId &Id) const;
  PoolLoad load(const PoolName &Name) const;
  /// False if no instance of the pool may be taken, whichever it is.
  bool maySpare(const PoolName &Name) const;
  /// Why a planned step may not take the instance away now; nothing if it may.
  std::optional<std::string> whyNotTake(const InstanceId &Id) const;

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
  std::optional<std::string> whyNotSpend(const PoolName &Name,
                                         const InstanceId &Id) const;

  Revision m_Revision = 0;
  std::uint64_t m_ChangeCount = 0;
  /// Revision of each row seen, deleted ones included.
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
  std::set<InstanceId> m_Sick;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_FLEETVIEW_H
