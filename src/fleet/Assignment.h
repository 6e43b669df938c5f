//===- Assignment.h - Initial pool of each instance -------------*- C++ -*-===//
//
// Creates a row for each backend instance that the platform lists and that has
// none yet. Pools are filled to their declared size and spread over the data
// centres; remaining instances go to the spare pool. A row is written only if
// it does not exist, so entry instances that run this concurrently cannot
// overwrite each other's assignment.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_ASSIGNMENT_H
#define POLLENSPOOL_FLEET_ASSIGNMENT_H

#include "config/Document.h"
#include "fleet/InstanceRow.h"
#include "platform/Platform.h"

namespace pollenspool {

/// Returns rows for the live backend instances in \p Listed that have no row in
/// \p Known. Deterministic: the same input gives the same rows in any process.
/// Thread safe.
std::vector<InstanceRow>
assignInstances(const Document &Doc, const std::vector<ListedInstance> &Listed,
                const std::vector<InstanceRow> &Known);

/// Builds the transaction that writes \p Rows on condition that none of them
/// exists. Thread safe.
Transaction assignmentTransaction(const std::vector<InstanceRow> &Rows,
                                  const std::string &Token);

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_ASSIGNMENT_H
