//===- ServingView.h - What one entry instance knows of the fleet -*- C++
//-*-===//
//
// Merges the table's rows, the platform's lagging list and peers' notices into
// the instances that may be sent work. Each source carries an epoch, so order
// and repetition of what comes in do not matter.
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

/// A row of one instance with the revision at which it was written.
struct VersionedRow {
  InstanceRow m_Row;
  Revision m_Revision = 0;
};

/// What entry instances tell each other of instances.
struct FleetNotice {
  std::vector<VersionedRow> m_Rows;
  std::vector<ListedInstance> m_Listed;

  bool empty() const { return m_Rows.empty() && m_Listed.empty(); }
};

/// Deterministic; one thread at a time.
class ServingView {
public:
  /// Takes in rows, from the platform or a peer; what was new is returned.
  FleetNotice mergeRows(const std::vector<VersionedRow> &Rows);
  /// Takes in list entries; what was new is returned.
  FleetNotice mergeListed(const std::vector<ListedInstance> &Listed);
  /// Takes in a peer's notice; true if anything was new.
  bool mergeNotice(const FleetNotice &Notice);

  /// The instances of \p Own as the dispatcher takes them.
  std::vector<InstanceTarget> targets(const DataCentreName &Own) const;

  /// Everything known, for a peer that starts.
  FleetNotice wholeView() const { return changesSince(0); }
  /// The rows above \p Since with their list entries, and every instance that
  /// is leaving or gone. What came to live since then has a row since then.
  FleetNotice changesSince(Revision Since) const;

  /// The instance's row, or null.
  const VersionedRow *findRow(const InstanceId &Id) const;
  /// The instance's list entry, or null.
  const ListedInstance *findListed(const InstanceId &Id) const;

private:
  struct Known {
    std::optional<VersionedRow> m_Row;
    std::optional<ListedInstance> m_Listed;
  };

  std::map<InstanceId, Known> m_Instances;
};

/// The rows of a table answer that are instances' rows; rows that cannot be
/// read are left out and counted in \p Unreadable. Thread safe.
std::vector<VersionedRow> readInstanceRows(const std::vector<Row> &Rows,
                                           std::size_t &Unreadable);

/// The MessagePack form of \p Notice. Thread safe.
std::string encodeNotice(const FleetNotice &Notice);

/// Reads encodeNotice's form. Errors: InvalidMessage. Thread safe.
Result<FleetNotice> decodeNotice(const std::string &Bytes);

} // namespace pollenspool

#endif // POLLENSPOOL_VIEW_SERVINGVIEW_H
