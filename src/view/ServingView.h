//===- ServingView.h - An entry instance's view of the fleet ----*- C++ -*-===//
//
// Merges the rows of the table, the platform's eventually consistent instance
// list and the notices of peers into the set of instances that may receive
// requests. Rows and list entries carry increasing version numbers, so late and
// repeated input has no effect.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_VIEW_SERVINGVIEW_H
#define POLLENSPOOL_VIEW_SERVINGVIEW_H

#include "fleet/InstanceRow.h"
#include "platform/Platform.h"
#include "routing/Messages.h"
#include <map>
#include <optional>
#include <vector>

namespace pollenspool {

/// An instance's row and the revision at which it was written.
struct VersionedRow {
  InstanceRow m_Row;
  Revision m_Revision = 0;
};

/// Message by which entry instances share rows and list entries.
struct FleetNotice {
  std::vector<VersionedRow> m_Rows;
  std::vector<ListedInstance> m_Listed;

  bool empty() const { return m_Rows.empty() && m_Listed.empty(); }
};

/// Deterministic. Not thread safe.
class ServingView {
public:
  /// Merges rows from the platform or a peer; returns those that were new.
  FleetNotice mergeRows(const std::vector<VersionedRow> &Rows);
  /// Merges list entries of backend servers; returns those that were new.
  FleetNotice mergeInstanceList(const std::vector<ListedInstance> &Listed);
  /// Merges a peer's notice; returns true if anything was new.
  bool mergeNotice(const FleetNotice &Notice);

  /// Returns the instances of the data centre \p Own that have both a row and a
  /// list entry, as input for the dispatcher.
  std::vector<InstanceTarget> targets(const DataCentreName &Own) const;

  /// Returns all rows and list entries, for a peer that starts.
  FleetNotice fullNotice() const { return changesSince(0); }
  /// Returns the rows newer than \p Since with their list entries, and the list
  /// entries of all instances that are leaving or gone. An instance that became
  /// live after \p Since needs no other rule: it also has a newer row.
  FleetNotice changesSince(Revision Since) const;

  /// Returns the instance's row, or null.
  const VersionedRow *findRow(const InstanceId &Id) const;
  /// Returns the instance's list entry, or null.
  const ListedInstance *findListed(const InstanceId &Id) const;

private:
  struct InstanceRecord {
    std::optional<VersionedRow> m_Row;
    std::optional<ListedInstance> m_Listed;
  };

  std::map<InstanceId, InstanceRecord> m_Instances;
};

/// Decodes the instance rows among \p Rows. Deleted and other rows are skipped;
/// rows that cannot be decoded are skipped and added to \p Unreadable. Thread
/// safe.
std::vector<VersionedRow> readInstanceRows(const std::vector<Row> &Rows,
                                           std::size_t &Unreadable);

/// Encodes \p Notice as MessagePack. Thread safe.
std::string encodeNotice(const FleetNotice &Notice);

/// Decodes the output of encodeNotice(). Errors: InvalidMessage. Thread safe.
Result<FleetNotice> decodeNotice(const std::string &Bytes);

} // namespace pollenspool

#endif // POLLENSPOOL_VIEW_SERVINGVIEW_H
