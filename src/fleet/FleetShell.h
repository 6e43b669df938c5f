//===- FleetShell.h - Threads around the fleet's decision core --*- C++ -*-===//
//
// Feeds the fleet controller with rows, list and acknowledgements, carries out
// its actions, and takes operators' orders.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_FLEETSHELL_H
#define POLLENSPOOL_FLEET_FLEETSHELL_H

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

/// What the shell needs of the daemon. Called from its own threads.
struct FleetPorts {
  /// Asks an entry instance, this one included; the answer comes by onAck().
  std::function<void(const AskDrainStatus &)> m_AskDrain;
  /// True if the instance's health check passes; may block for a time-out.
  std::function<bool(const InstanceId &, const std::string &)> m_IsHealthy;
  /// Reads the table's changes soon.
  std::function<void()> m_Refresh;
};

/// Thread safe.
class FleetShell {
public:
  /// \p Service has to outlive the shell. Errors: those of FleetController.
  static Result<std::unique_ptr<FleetShell>>
  create(FleetSettings Settings, Platform &Service, FleetPorts Ports);
  ~FleetShell();

  void onDocument(const Document &Doc);
  void onRows(const RowSet &Rows);
  /// \p Asked is when the list was asked for.
  void onListed(const std::vector<ListedInstance> &List, TimePoint Asked);
  void onAck(const DrainAck &Ack);

  // Operators' orders: each commits one transaction or none. Errors: those of
  // the order, the platform's, and Conflict naming what came first.
  Result<void> startMove(MoveOrder Order);
  Result<void> cancelMove(const InstanceId &Id, const std::string &Reason);
  Result<void> startWave(WaveOrder Order);
  Result<void> pauseWave(const WaveId &Id);
  Result<void> resumeWave(const WaveId &Id);
  Result<void> cancelWave(const WaveId &Id);

  /// What an instance waits for.
  std::string explain(const InstanceId &Id) const;
  FleetStatus status() const;
  /// The row of a wave, or nothing.
  std::optional<WaveRow> findWave(const WaveId &Id) const;

private:
  using BuildOrder = std::function<Result<Transaction>(const FleetView &)>;
  using ConflictError = Error (*)(const std::vector<Row> &);

  FleetShell(FleetController Core, Platform &Service, FleetPorts Ports,
             std::string TokenPrefix);

  template <typename EventFn> void withCore(EventFn Event);
  Result<void> commitOrder(const BuildOrder &Build, ConflictError Explain);
  void run();
  void carryOut(FleetAction A);
  void perform(const Transact &A);
  void perform(const AskDrainStatus &A);
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

#endif // POLLENSPOOL_FLEET_FLEETSHELL_H
