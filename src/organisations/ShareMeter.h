//===- ShareMeter.h - Accepted jobs against each share ----------*- C++ -*-===//

#ifndef POLLENSPOOL_ORGANISATIONS_SHAREMETER_H
#define POLLENSPOOL_ORGANISATIONS_SHAREMETER_H

#include "organisations/AdmissionShares.h"

namespace pollenspool {

/// Compares the jobs that were accepted of each organisation with its weight,
/// in jobs per second, and decides what fraction to admit while a pool is full.
/// The leader has one, since each instance sees only a part of the jobs. Does
/// no I/O. Not thread safe.
class ShareMeter {
public:
  /// Continues with the fractions that an earlier leader published.
  void restore(const AdmissionShares &Earlier);
  /// A job of \p Organisation was accepted. Returns whether it lies within the
  /// share of \p Weight jobs per second, which may be exceeded for a moment.
  bool onAccepted(const OrganisationName &Organisation, double Weight,
                  TimePoint Now);
  /// The shares to publish, computed anew. To be called every 250 ms.
  AdmissionShares update(std::set<PoolName> FullPools, TimePoint Now);

private:
  struct Meter {
    double m_Weight = 0;
    /// Token bucket: jobs that may be accepted at the moment.
    double m_Tokens = 0;
    bool m_IsNew = true;
    TimePoint m_RefilledAt{};
    /// Submitted jobs per second, averaged over half a second. Follows from
    /// the accepted ones and the fraction in effect.
    double m_Rate = 0;
    TimePoint m_RateAt{};
    /// Jobs accepted since m_RateAt.
    std::uint32_t m_Accepted = 0;
    /// Whether jobs beyond the share were accepted since the last update.
    bool m_HasExceeded = false;
    double m_Fraction = 1;
  };
  static void refill(Meter &M, TimePoint Now);
  static void updateRate(Meter &M, TimePoint Now);

  std::map<OrganisationName, Meter> m_Meters;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ORGANISATIONS_SHAREMETER_H
