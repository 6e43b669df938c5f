//===- Ejection.h - Taking failing instances out of rotation ----*- C++ -*-===//
//
// An instance that fails what others do well is ejected, probed with single
// requests, and taken back. A request that fails everywhere is not blamed on
// instances.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ROUTING_EJECTION_H
#define POLLENSPOOL_ROUTING_EJECTION_H

#include "routing/RoutedInstance.h"

namespace pollenspool {

/// Instances of \p Group that may be ejected at once: the share of those that
/// accept work, at least 1, but never the only one. Thread safe.
std::size_t ejectionBound(const InstanceGroup &Group, double MaxShare);

/// Ejected instances of \p Group that accept work. Thread safe.
std::size_t ejectedCount(const InstanceGroup &Group);

/// A try at \p Instance went well. Takes it back if it was the last probe that
/// was needed.
void recordSuccess(RoutedInstance &Instance);

/// A try at \p Instance failed. \p FailedElsewhere: the same request failed at
/// another instance before.
void recordFailure(RoutedInstance &Instance, bool FailedElsewhere,
                   TimePoint Now);

/// Takes back the blame for a request that then failed elsewhere as well.
void retractFailure(RoutedInstance &Instance);

/// Ejects \p Instance if it fails far more than the rest of \p Group and the
/// bound allows it. Returns true if it was ejected now.
bool ejectIfFailing(RoutedInstance &Instance, const InstanceGroup &Group,
                    double MaxShare, TimePoint Now);

/// Takes back those ejected first until the bound holds, after \p Group or
/// \p MaxShare changed.
void enforceEjectionBound(const InstanceGroup &Group, double MaxShare);

/// True if a try may go to the ejected \p Instance as a probe. A request that
/// is not \p Harmless, so that a failed probe would hurt its caller, is only
/// taken if no other came for a while.
bool isProbeDue(const RoutedInstance &Instance, bool Harmless, TimePoint Now);

} // namespace pollenspool

#endif // POLLENSPOOL_ROUTING_EJECTION_H
