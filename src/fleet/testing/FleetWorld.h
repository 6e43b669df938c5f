//===- FleetWorld.h - Controllers, entry instances and a platform -*- C++ -*-=//
//
// Small fakes around FleetController in virtual time: a platform in memory,
// entry instances with lagging views and requests in flight, backend instances
// that reboot. For unit tests, fuzzers and benchmarks only.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_TESTING_FLEETWORLD_H
#define POLLENSPOOL_FLEET_TESTING_FLEETWORLD_H

#include "fleet/FleetController.h"
#include "fleet/testing/FleetOracle.h"
#include "platform/testing/FakePlatform.h"
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace pollenspool {

/// Where the process that sends a transaction is stopped.
enum class StopPoint : std::uint8_t { BeforeSend, AfterEffect, AfterReply };

struct WorldSettings {
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
  /// Between two requests that one entry instance starts; zero for none.
  Duration m_DispatchInterval = std::chrono::milliseconds(50);
  Duration m_RequestTime = std::chrono::seconds(1);
  FleetSettings m_Fleet;
};

/// Chances of faults in a thousand.
struct WorldFaults {
  std::uint32_t m_LostReply = 0;
  /// The transaction takes effect long after its sender's timeout.
  std::uint32_t m_LateEffect = 0;
  std::uint32_t m_LostMessage = 0;
};

/// Not thread safe; deterministic for a seed.
class FleetWorld {
public:
  explicit FleetWorld(WorldSettings Settings);

  void runFor(Duration Time);
  /// Runs until \p Done or for \p Limit; returns whether it is done.
  bool runUntil(const std::function<bool()> &Done, Duration Limit);
  TimePoint now() const { return m_Now; }
  /// A number below \p Bound from the world's seed.
  std::uint64_t draw(std::uint64_t Bound) { return m_Random() % Bound; }

  WorldFaults m_Faults;
  std::size_t entryCount() const { return m_Entries.size(); }
  bool isRunning(std::size_t Entry) const;
  /// Ends the process; the list says gone only if \p IsListed.
  void killEntry(std::size_t Entry, bool IsListed);
  void startEntry(std::size_t Entry);
  void pauseEntry(std::size_t Entry, Duration Time);
  void setOutage(bool Outage) { m_Platform.setOutage(Outage); }
  /// Cuts an entry instance from the platform, or ends the cut.
  void cutEntry(std::size_t Entry, bool IsCut);
  /// Stops the sender of the \p Nth transaction of moves and waves: kills it,
  /// or pauses it for \p Pause if that is not zero.
  void planStop(std::uint32_t Nth, StopPoint Point, Duration Pause);
  std::uint32_t transactionCount() const { return m_TransactionCount; }

  const std::vector<InstanceId> &instances() const { return m_Ids; }
  /// The instance fails; it comes back after \p Back unless that is zero.
  void loseInstance(const InstanceId &Id, Duration Back);
  std::vector<InstanceId> rackOf(const InstanceId &Id) const;
  /// How the instance behaves in its next reboots.
  void setNeverReturns(const InstanceId &Id, bool Value);
  void setReturnsSick(const InstanceId &Id, bool Value);
  /// Tells all controllers that an instance fails its work.
  void reportSick(const InstanceId &Id, bool IsSick);
  /// All instances are back and healthy.
  void healInstances();

  /// An operator at an entry instance sends an order; nothing happens if the
  /// builder refused it.
  void order(std::size_t Entry, const Result<Transaction> &Txn);
  FleetController &controller(std::size_t Entry);
  /// A running entry instance's view that is up to date with the table.
  const FleetView &freshView();

  const FleetOracle &oracle() const { return m_Oracle; }
  FakePlatformCounts platformCounts() const { return m_Platform.counts(); }
  std::size_t rebootCount() const { return m_RebootTokens.size(); }
  /// True if an instance's row was Serving while the platform rebooted it.
  bool hasServedInReboot() const { return m_HasServedInReboot; }
  std::uint64_t drainQuestions() const { return m_Questions; }

private:
  struct Ask {
    InstanceId m_Instance;
    std::uint64_t m_Epoch = 0;
    std::uint64_t m_Number = 0;
    std::size_t m_From = 0;
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
    bool m_IsCut = false;
    TimePoint m_PausedUntil;
    std::unique_ptr<FleetController> m_Controller;
    Revision m_Revision = 0;
    std::map<InstanceId, KnownRow> m_Rows;
    std::map<InstanceId, std::uint32_t> m_InFlight;
    std::vector<Ask> m_Asks;
    std::set<InstanceId> m_Lost;
    std::set<InstanceId> m_Sick;
  };
  struct Machine {
    ListedInstance m_Truth;
    std::uint32_t m_Generation = 0;
    bool m_NeverReturns = false;
    bool m_ReturnsSick = false;
    bool m_Sick = false;
    bool m_Rebooting = false;
  };
  struct Event {
    TimePoint m_At;
    std::uint64_t m_Number = 0;
    std::function<void()> m_Run;
    bool operator<(const Event &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At : m_Number > Other.m_Number;
    }
  };

  void build();
  void addInstance(const PoolName &PoolOf, std::uint32_t Number);
  void at(Duration Delay, std::function<void()> Run);
  /// Runs in the process of \p Index if it still lives then, and when it is not
  /// paused.
  void deliver(std::size_t Index, Duration Delay, std::function<void()> Run);
  Duration jitter(Duration Base) {
    return Base / 2 + Duration(draw(Base.count() + 1));
  }
  bool chance(std::uint32_t InThousand) { return draw(1000) < InThousand; }

  void tickEntry(std::size_t Index);
  void pollRows(std::size_t Index, bool IsRepeated);
  void applyRows(std::size_t Index, const RowSet &Rows);
  void askPeers(std::size_t Index);
  void pollList(std::size_t Index);
  void dispatch(std::size_t Index);
  void finishRequest(std::size_t Index, const InstanceId &Id);
  void answerAsks(std::size_t Index);
  void answer(std::size_t Index, const Ask &Question);
  static std::uint64_t knownEpoch(const Entry &E, const InstanceId &Id);
  std::uint32_t inFlight(const InstanceId &Id) const;

  void act(std::size_t Index);
  void doAction(std::size_t Index, const Transact &Action);
  void doAction(std::size_t Index, const AskDrainStatus &Action);
  void doAction(std::size_t Index, const RebootInstance &Action);
  void doAction(std::size_t Index, const CheckHealth &Action);
  void doAction(std::size_t Index, const RefreshRows &Action);
  void doAction(std::size_t Index, const LogEntry &Action);
  void commit(std::size_t Index, const Transaction &Txn,
              const std::set<InstanceId> &Lost, bool IsStopped);
  void stop(std::size_t Index);

  void setState(Machine &M, InstanceState State);
  void publish(const ListedInstance &Truth);
  void reboot(const InstanceId &Id);
  void comeBack(const InstanceId &Id, std::uint32_t Generation);

  WorldSettings m_Settings;
  Document m_Document;
  std::mt19937_64 m_Random;
  TimePoint m_Now;
  std::uint64_t m_NextEvent = 0;
  std::priority_queue<Event> m_Events;
  FakePlatform m_Platform;
  std::vector<Entry> m_Entries;
  std::map<InstanceId, Machine> m_Machines;
  std::vector<InstanceId> m_Ids;
  std::map<std::string, ListedInstance> m_Visible;
  std::set<std::string> m_RebootTokens;
  FleetOracle m_Oracle;
  std::uint32_t m_TransactionCount = 0;
  std::uint32_t m_StopAt = 0;
  StopPoint m_StopPoint = StopPoint::BeforeSend;
  Duration m_StopPause{0};
  std::uint64_t m_Questions = 0;
  bool m_HasServedInReboot = false;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_TESTING_FLEETWORLD_H
