//===- FleetOracle.h - Invariants of all committed changes ------*- C++ -*-===//
//
// Checks each committed transaction and each started request against the
// invariants of the fleet. It does not use the code under test: it parses the
// rows' JSON itself.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_TESTING_FLEETORACLE_H
#define POLLENSPOOL_FLEET_TESTING_FLEETORACLE_H

#include "config/Document.h"
#include "platform/Platform.h"
#include <functional>
#include <map>
#include <set>

namespace pollenspool {

/// Keeps the first violation. Not thread safe.
class FleetOracle {
public:
  /// Returns the number of requests in flight on an instance, summed over all
  /// running entry instances.
  using InFlight = std::function<std::uint32_t(const InstanceId &)>;

  FleetOracle(const Document &Doc, InFlight Count);

  /// A transaction has committed; \p Unavailable are the instances that its
  /// sender knew to be unavailable when it sent it.
  void onCommit(const Transaction &Txn,
                const std::set<InstanceId> &Unavailable);
  /// The platform starts to reboot the instance.
  void onReboot(const InstanceId &Id);
  /// An entry instance starts a request for \p Pool on the instance.
  void onDispatch(const InstanceId &Id, const PoolName &Pool);

  /// Describes the first violation; empty if there is none.
  const std::string &violation() const { return m_Violation; }
  /// Instances whose row is not in state Serving.
  std::vector<InstanceId> notServing() const;
  bool isServing(const InstanceId &Id) const;
  /// Number of committed changes of an instance's pool.
  std::uint64_t moves() const { return m_MoveCount; }

private:
  struct Instance {
    std::string m_Pool;
    std::string m_State;
    std::string m_Holder;
    std::uint64_t m_Epoch = 0;
  };

  void fail(std::string Text);
  void applyInstance(const RowWrite &Write,
                     const std::set<InstanceId> &Unavailable);
  void checkChange(const InstanceId &Id, const Instance &Old,
                   const Instance &New);
  void checkDrain(const InstanceId &Id, const std::string &PoolText,
                  const std::set<InstanceId> &Unavailable);
  void checkBudget(const RowWrite &Write);
  void checkBatch(const RowWrite &Write);

  std::map<std::string, Pool> m_Pools;
  InFlight m_InFlight;
  std::map<InstanceId, Instance> m_Instances;
  std::map<std::string, std::size_t> m_MaxBatches;
  std::string m_Violation;
  std::uint64_t m_MoveCount = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_TESTING_FLEETORACLE_H
