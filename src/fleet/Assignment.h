//===- Assignment.h - The first pool of each instance -----------*- C++ -*-===//
//
// An instance that the platform lists and that has no row yet gets one: pools
// are filled to their declared size, spread over failure domains, and what is
// left goes to the spare pool. The rows are written only where none exists, so
// entry instances that do this at once cannot disagree.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_ASSIGNMENT_H
#define POLLENSPOOL_FLEET_ASSIGNMENT_H

#include "config/Document.h"
#include "fleet/InstanceRow.h"
#include "platform/Platform.h"

namespace pollenspool {

/// Rows for the backend instances among \p Listed that have none in \p Known.
/// The same input gives the same rows in any process. Thread safe.
std::vector<InstanceRow>
assignInstances(const Document &Doc, const std::vector<ListedInstance> &Listed,
                const std::vector<InstanceRow> &Known);

/// The transaction that writes \p Rows where none exists. Thread safe.
Transaction assignmentTransaction(const std::vector<InstanceRow> &Rows,
                                  const std::string &Token);

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_ASSIGNMENT_H
