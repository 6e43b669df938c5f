//===- FleetDriver.h - I/O driver of the FleetController --------*- C++ -*-===//
//
// Passes rows, the platform's list and acknowledgements to the FleetController,
// executes its actions on worker threads, and commits operators' orders.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_FLEETDRIVER_H
#define POLLENSPOOL_FLEET_FLEETDRIVER_H

#include "fleet/FleetController.h"
#include "gateway/WorkerPool.h"
#include "moves/MoveOrders.h"
#include "platform/Platform.h"
#include "waves/WaveOrders.h"
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace pollenspool {

/// Functions that the daemon provides. Called from the driver's threads.
struct FleetPorts {
  /// Sends the query to an entry instance, which may be this one. The answer
  /// arrives by onAck().
  std::function<void(const DrainStatusQuery &)> m_SendDrainStatusQuery;
  /// True if the instance at that address passes its health check. May block
  /// until the call times out.
  std::function<bool(const InstanceId &, const std::string &)> m_IsHealthy;
  /// Schedules a read of the table's changes; does not wait for it.
  std::function<void()> m_Refresh;
};

/// Runs one FleetController. Thread safe.
class FleetDriver {
public:
  /// \p Service must outlive the driver. Errors: those of
  /// FleetController::create().
  static Result<std::unique_ptr<FleetDriver>>
  create(FleetSettings Settings, Platform &Service, FleetPorts Ports);
  ~FleetDriver();

  void onDocument(const Document &Doc);
  void onRows(const RowSet &Rows);
  /// \p RequestedAt is the time at which the list was requested.
  void onInstancesListed(const std::vector<ListedInstance> &List,
                         TimePoint RequestedAt);
  void onAck(const DrainAck &Ack);

  // Operators' orders: each is checked against the platform's present state,
  // and commits one transaction or none. Errors: those of the function that
  // builds the order, those of the platform, and Conflict, which names the
  // move or wave that committed first.
  Result<void> startMove(MoveOrder Order);
  Result<void> cancelMove(const InstanceId &Id, const std::string &Reason);
  Result<void> startWave(WaveOrder Order);
  Result<void> pauseWave(const WaveId &Id);
  Result<void> resumeWave(const WaveId &Id);
  Result<void> cancelWave(const WaveId &Id);

  /// Describes the instance's state and why its moves and waves make no
  /// progress.
  std::string explain(const InstanceId &Id) const;
  FleetStatus status() const;
  /// Returns a copy of the wave's row, or nothing if there is none.
  std::optional<WaveRow> findWave(const WaveId &Id) const;

private:
  using BuildOrder = std::function<Result<Transaction>(const FleetView &)>;
  using ConflictError = Error (*)(const std::vector<Row> &);

  FleetDriver(FleetController Core, Platform &Service, FleetPorts Ports,
              std::string TokenPrefix);

  template <typename EventFn> void withCore(EventFn Event);
  /// Reads the rows that have changed, and the platform's list. Errors: those
  /// of the platform.
  Result<void> readFleet();
  Result<void> commitOrder(const BuildOrder &Build, ConflictError Explain);
  void run();
  void enqueueAction(FleetAction A);
  void perform(const Transact &A);
  void perform(const DrainStatusQuery &A);
  void perform(const RebootInstance &A);
  void perform(const CheckHealth &A);
  void perform(const RefreshRows &A);
  void perform(const LogEntry &A);
  std::string addressOf(const InstanceId &Id) const;

  Platform &m_Platform;
  FleetPorts m_Ports;
  const std::string m_TokenPrefix;
  mutable std::mutex m_Mutex;
  std::condition_variable m_Wake;
  FleetController m_Core;
  std::uint64_t m_Orders = 0;
  bool m_Stopping = false;
  TaskCount m_Tasks;
  WorkerPool m_Workers;
  std::thread m_Thread;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_FLEETDRIVER_H
