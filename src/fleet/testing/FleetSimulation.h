//===- FleetSimulation.h - Simulation of a fleet ----------------*- C++ -*-===//
//
// A discrete-event simulation around FleetController in virtual time: a fake
// platform, entry instances with delayed views and requests in flight, and
// backend instances that reboot. For unit tests, fuzzers and benchmarks only.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_TESTING_FLEETSIMULATION_H
#define POLLENSPOOL_FLEET_TESTING_FLEETSIMULATION_H

#include "fleet/FleetController.h"
#include "fleet/testing/FleetOracle.h"
#include "platform/testing/FakePlatform.h"
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace pollenspool {

/// The point at which the process that sends a transaction is stopped.
enum class StopPoint : std::uint8_t { BeforeSend, AfterEffect, AfterReply };

struct FleetSimulationSettings {
  std::uint64_t m_Seed = 1;
  std::uint32_t m_DataCentres = 2;
  std::uint32_t m_EntriesPerDataCentre = 2;
  std::uint32_t m_InstancesPerRack = 4;
  std::vector<Pool> m_Pools;
  Duration m_MessageDelay = std::chrono::milliseconds(2);
  Duration m_PlatformDelay = std::chrono::milliseconds(5);
  Duration m_PollInterval = std::chrono::milliseconds(500);
  Duration m_ListInterval = std::chrono::seconds(1);
  Duration m_ListLag = std::chrono::seconds(2);
  Duration m_TickInterval = std::chrono::milliseconds(250);
  Duration m_RebootTime = std::chrono::seconds(20);
  /// Mean interval between requests of one entry instance; zero for no
  /// requests.
  Duration m_DispatchInterval = std::chrono::milliseconds(50);
  Duration m_RequestTime = std::chrono::seconds(1);
  FleetSettings m_Fleet;
};

/// Probabilities of faults, in thousandths.
struct FleetSimulationFaults {
  std::uint32_t m_LostReply = 0;
  /// The transaction commits 20 s after it was sent, its sender times out after
  /// 2 s.
  std::uint32_t m_LateEffect = 0;
  std::uint32_t m_LostMessage = 0;
};

/// Deterministic for a seed. Not thread safe.
class FleetSimulation {
public:
  explicit FleetSimulation(FleetSimulationSettings Settings);

  void runFor(Duration Time);
  /// Runs until \p Done returns true, at most for \p Limit. Returns whether
  /// \p Done returned true.
  bool runUntil(const std::function<bool()> &Done, Duration Limit);
  TimePoint now() const { return m_Now; }
  /// Returns a pseudorandom number below \p Bound.
  std::uint64_t draw(std::uint64_t Bound) { return m_Random() % Bound; }

  FleetSimulationFaults m_Faults;
  std::size_t entryCount() const { return m_Entries.size(); }
  bool isRunning(std::size_t Entry) const;
  /// Ends the process. The platform's list shows it as Gone only if
  /// \p IsListed.
  void killEntry(std::size_t Entry, bool IsListed);
  void startEntry(std::size_t Entry);
  void pauseEntry(std::size_t Entry, Duration Time);
  void setOutage(bool Outage) { m_Platform.setOutage(Outage); }
  /// Disconnects an entry instance from the platform, or reconnects it.
  void setDisconnected(std::size_t Entry, bool IsDisconnected);
  /// Stops the sender of the \p Nth transaction of moves and waves from now on:
  /// pauses it for \p Pause, or kills it if \p Pause is zero.
  void planStop(std::uint32_t Nth, StopPoint Point, Duration Pause);
  std::uint32_t transactionCount() const { return m_TransactionCount; }

  const std::vector<InstanceId> &instances() const { return m_Ids; }
  /// Makes the instance Gone. It returns after \p ReturnDelay, or not at all if
  /// that is zero.
  void failInstance(const InstanceId &Id, Duration ReturnDelay);
  std::vector<InstanceId> rackOf(const InstanceId &Id) const;
  // How the instance behaves in its next reboots.
  void setNeverReturns(const InstanceId &Id, bool Value);
  void setReturnsUnhealthy(const InstanceId &Id, bool Value);
  /// Reports to all controllers whether requests on the instance fail.
  void reportUnhealthy(const InstanceId &Id, bool IsUnhealthy);
  /// Makes all instances live and healthy.
  void recoverInstances();

  /// Sends an operator's order by way of an entry instance. Does nothing if
  /// \p Txn is an error.
  void order(std::size_t Entry, const Result<Transaction> &Txn);
  FleetController &controller(std::size_t Entry);
  /// Runs until the views are up to date with the table, and returns the view
  /// of a running entry instance.
  const FleetView &upToDateView();

  const FleetOracle &oracle() const { return m_Oracle; }
  FakePlatformCounts platformCounts() const { return m_Platform.counts(); }
  std::size_t rebootCount() const { return m_RebootTokens.size(); }
  /// True if an instance's row was in state Serving while the platform rebooted
  /// the instance.
  bool hasServedInReboot() const { return m_HasServedInReboot; }
  std::uint64_t drainQueryCount() const { return m_QueryCount; }

private:
  struct ReceivedQuery {
    InstanceId m_Instance;
    std::uint64_t m_Epoch = 0;
    std::uint64_t m_Number = 0;
    std::size_t m_Sender = 0;
  };
  struct KnownRow {
    Revision m_Revision = 0;
    InstanceRow m_Row;
  };
  struct Entry {
    EntryId m_Id;
    DataCentreName m_DataCentre;
    std::uint32_t m_Incarnation = 0;
    bool m_Running = false;
    bool m_IsDisconnected = false;
    TimePoint m_PausedUntil;
    std::unique_ptr<FleetController> m_Controller;
    Revision m_Revision = 0;
    std::map<InstanceId, KnownRow> m_Rows;
    std::map<InstanceId, std::uint32_t> m_InFlight;
    std::vector<ReceivedQuery> m_PendingQueries;
    std::set<InstanceId> m_Unavailable;
    std::set<InstanceId> m_Unhealthy;
  };
  struct SimulatedInstance {
    ListedInstance m_Actual;
    std::uint32_t m_Generation = 0;
    bool m_NeverReturns = false;
    bool m_ReturnsUnhealthy = false;
    bool m_IsUnhealthy = false;
    bool m_Rebooting = false;
  };
  struct ScheduledEvent {
    TimePoint m_At;
    std::uint64_t m_Number = 0;
    std::function<void()> m_Callback;
    bool operator<(const ScheduledEvent &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At : m_Number > Other.m_Number;
    }
  };

  void build();
  void addInstance(const PoolName &AssignedPool, std::uint32_t Number);
  /// Schedules \p Callback after \p Delay.
  void schedule(Duration Delay, std::function<void()> Callback);
  /// Schedules \p Callback in the current process of entry instance \p Index.
  /// It is postponed while the process is paused, and dropped if the process
  /// has ended.
  void runInProcess(std::size_t Index, Duration Delay,
                    std::function<void()> Callback);
  /// Returns a random duration from half of \p Base to one and a half of it.
  Duration jitter(Duration Base) {
    return Base / 2 + Duration(draw(Base.count() + 1));
  }
  /// True with a probability of \p InThousand thousandths.
  bool chance(std::uint32_t InThousand) { return draw(1000) < InThousand; }

  void tickEntry(std::size_t Index);
  void pollRows(std::size_t Index, bool IsRepeated);
  void applyRows(std::size_t Index, const RowSet &Rows);
  void copyPeerRows(std::size_t Index);
  void pollList(std::size_t Index);
  void dispatch(std::size_t Index);
  void finishRequest(std::size_t Index, const InstanceId &Id);
  void answerPendingQueries(std::size_t Index);
  void answer(std::size_t Index, const ReceivedQuery &Query);
  static std::uint64_t knownEpoch(const Entry &E, const InstanceId &Id);
  std::uint32_t inFlight(const InstanceId &Id) const;

  void performActions(std::size_t Index);
  void perform(std::size_t Index, const Transact &Action);
  void perform(std::size_t Index, const DrainStatusQuery &Action);
  void perform(std::size_t Index, const RebootInstance &Action);
  void perform(std::size_t Index, const CheckHealth &Action);
  void perform(std::size_t Index, const RefreshRows &Action);
  void perform(std::size_t Index, const LogEntry &Action);
  void commit(std::size_t Index, const Transaction &Txn,
              const std::set<InstanceId> &Unavailable, bool IsStopped);
  void stop(std::size_t Index);

  void setState(SimulatedInstance &M, InstanceState State);
  void publish(const ListedInstance &Actual);
  void reboot(const InstanceId &Id);
  void returnInstance(const InstanceId &Id, std::uint32_t Generation);

  FleetSimulationSettings m_Settings;
  Document m_Document;
  std::mt19937_64 m_Random;
  TimePoint m_Now;
  std::uint64_t m_NextEvent = 0;
  std::priority_queue<ScheduledEvent> m_Events;
  FakePlatform m_Platform;
  std::vector<Entry> m_Entries;
  std::map<InstanceId, SimulatedInstance> m_SimulatedInstances;
  std::vector<InstanceId> m_Ids;
  std::map<std::string, ListedInstance> m_PublishedList;
  std::set<std::string> m_RebootTokens;
  FleetOracle m_Oracle;
  std::uint32_t m_TransactionCount = 0;
  std::uint32_t m_StopAt = 0;
  StopPoint m_StopPoint = StopPoint::BeforeSend;
  Duration m_StopPause{0};
  std::uint64_t m_QueryCount = 0;
  bool m_HasServedInReboot = false;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_TESTING_FLEETSIMULATION_H
