//===- FleetOracle.h - What must hold of every committed change -*- C++ -*-===//
//
// Watches the transactions that take effect and the requests that start, and
// knows nothing of the machines that cause them. Reads the rows' JSON itself.
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

/// Not thread safe. Keeps the first violation.
class FleetOracle {
public:
  /// Requests in flight on an instance, of all living entry instances.
  using InFlight = std::function<std::uint32_t(const InstanceId &)>;

  FleetOracle(const Document &Doc, InFlight Count);

  /// A transaction took effect; \p Lost are the instances that its sender knew
  /// to be lost when it sent it.
  void onCommit(const Transaction &Txn, const std::set<InstanceId> &Lost);
  /// The platform begins a reboot.
  void onReboot(const InstanceId &Id);
  /// An entry instance starts a request on an instance for \p Pool.
  void onDispatch(const InstanceId &Id, const PoolName &Pool);

  const std::string &violation() const { return m_Violation; }
  /// Instances that are not serving.
  std::vector<InstanceId> notServing() const;
  bool isServing(const InstanceId &Id) const;
  /// Committed changes of an instance's pool.
  std::uint64_t moves() const { return m_MoveCount; }

private:
  struct Instance {
    std::string m_Pool;
    std::string m_State;
    std::string m_Holder;
    std::uint64_t m_Epoch = 0;
  };

  void fail(std::string Text);
  void applyInstance(const RowWrite &Write, const std::set<InstanceId> &Lost);
  void checkChange(const InstanceId &Id, const Instance &Old,
                   const Instance &New);
  void checkTake(const InstanceId &Id, const std::string &PoolText,
                 const std::set<InstanceId> &Lost);
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
