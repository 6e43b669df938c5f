//===- Ejection.h - Ejection of failing instances ---------------*- C++ -*-===//
//
// Outlier detection: an instance whose failure rate is far above that of the
// rest of its pool is ejected, probed with single requests and readmitted when
// the probes succeed. A request that fails at several instances is not
// attributed to them.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ROUTING_EJECTION_H
#define POLLENSPOOL_ROUTING_EJECTION_H

#include "routing/RoutedInstance.h"

namespace pollenspool {

/// Number of instances of \p Group that may be ejected at once: the share
/// \p MaxShare of those that accept work, at least 1, but never all of them.
/// Thread safe.
std::size_t ejectionLimit(const InstanceGroup &Group, double MaxShare);

/// Number of ejected instances of \p Group that accept work. Thread safe.
std::size_t ejectedCount(const InstanceGroup &Group);

/// Records that a try at \p Instance succeeded. Readmits an ejected instance
/// once enough probes in a row have succeeded. Not thread safe for one
/// instance.
void recordSuccess(RoutedInstance &Instance);

/// Records that a try at \p Instance failed. \p FailedElsewhere: the same
/// request failed at another instance before. Not thread safe for one instance.
void recordFailure(RoutedInstance &Instance, bool FailedElsewhere,
                   TimePoint Now);

/// Undoes the attribution of the last failure, because the request failed at
/// another instance as well. Not thread safe for one instance.
void retractFailure(RoutedInstance &Instance);

/// Ejects \p Instance if it fails far more often than the rest of \p Group and
/// the ejection limit permits it. Returns true if it was ejected by this call.
bool ejectIfFailing(RoutedInstance &Instance, const InstanceGroup &Group,
                    double MaxShare, TimePoint Now);

/// Readmits instances, in the order of \p Group, until the ejection limit
/// holds. To be called after \p Group or \p MaxShare changed.
void enforceEjectionLimit(const InstanceGroup &Group, double MaxShare);

/// True if a try may be sent to the ejected \p Instance as a probe. A request
/// that is not \p SafeAsProbe, whose caller a failed probe would harm, is used
/// only if the probe has been due for two seconds.
bool isProbeDue(const RoutedInstance &Instance, bool SafeAsProbe,
                TimePoint Now);

} // namespace pollenspool

#endif // POLLENSPOOL_ROUTING_EJECTION_H
