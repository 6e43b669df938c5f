//===- SpillBook.h - Where work can spill to --------------------*- C++ -*-===//
//
// The room that other data centres offer, from what the view says of their
// instances and from what they refused lately. It costs no message: a refusal
// closes a pool of a data centre for a while.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FORWARD_SPILLBOOK_H
#define POLLENSPOOL_FORWARD_SPILLBOOK_H

#include "request/Request.h"
#include "routing/Messages.h"
#include <functional>
#include <map>
#include <tuple>

namespace pollenspool {

/// Deterministic; one thread at a time.
class SpillBook {
public:
  /// Replaces the instances that accept work in one other data centre.
  void setTargets(const DataCentreName &Where,
                  const std::vector<InstanceTarget> &Targets,
                  std::uint32_t SlotsPerInstance);

  /// Takes in what came of a forward: a refusal for want of room closes the
  /// pool there until a little later, an answer opens it.
  void onOutcome(const DataCentreName &Where, const PoolName &Pool,
                 const Outcome &Final, TimePoint Now);

  /// The room of each data centre at \p Now, for the dispatcher.
  std::vector<RemoteCapacity>
  capacity(const std::function<bool(const DataCentreName &)> &IsReachable,
           TimePoint Now) const;

private:
  struct Place {
    DataCentreName m_Where;
    PoolName m_Pool;
    bool operator<(const Place &Other) const {
      return std::tie(m_Where, m_Pool) < std::tie(Other.m_Where, Other.m_Pool);
    }
  };
  struct Offer {
    std::uint32_t m_Slots = 0;
    TimePoint m_ClosedUntil{};
    Duration m_Backoff{0};
  };

  std::map<Place, Offer> m_Offers;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FORWARD_SPILLBOOK_H
