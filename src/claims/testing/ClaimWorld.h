//===- ClaimWorld.h - Claim cores on a simulated network --------*- C++ -*-===//
//
// Several entry instances' claim cores, a fake platform and a network with
// faults on one simulated clock. For tests, fuzzers and benchmarks only.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_TESTING_CLAIMWORLD_H
#define POLLENSPOOL_CLAIMS_TESTING_CLAIMWORLD_H

#include "claims/ClaimNode.h"
#include "platform/testing/FakePlatform.h"
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace pollenspool::claims {

/// Chances of faults, 0 to 1 each, and delays.
struct WorldFaults {
  double m_LoseRequest = 0;
  double m_LoseReply = 0;
  double m_Duplicate = 0;
  /// A transaction takes effect and its reply is lost.
  double m_LoseCommit = 0;
  /// A platform call fails without effect.
  double m_FailCall = 0;
  /// A transaction is reported lost and takes effect afterwards.
  double m_LateCommit = 0;
  Duration m_MaxDelay = std::chrono::milliseconds(3);
  Duration m_PlatformDelay = std::chrono::milliseconds(4);
  /// Time that the platform takes for each transaction, one after the other.
  Duration m_TransactionTime{0};
};

/// One run of an entry instance's program; never reused.
using ProcessId = std::uint64_t;

/// Not thread safe.
class ClaimWorld {
public:
  using DecideHook =
      std::function<void(ProcessId, const ClaimToken &, const ClaimReply &)>;

  /// \p Settings gives the list of entries and all times.
  ClaimWorld(std::uint64_t Seed, ClaimSettings Settings);

  WorldFaults m_Faults;
  /// Called for each decided claim.
  DecideHook m_OnDecide;

  /// Starts a new process at an entry; one that runs there goes on without
  /// getting new messages.
  ProcessId start(std::size_t Entry);
  void kill(ProcessId Process);
  void pause(ProcessId Process);
  void resume(ProcessId Process);
  /// The process that gets the entry's messages; 0 if none.
  ProcessId current(std::size_t Entry) const { return m_Current[Entry]; }
  bool isAlive(ProcessId Process) const;

  void setPlatformCut(std::size_t Entry, bool Cut);
  /// Cuts one process off for good, not its entry's other ones.
  void cutProcessFromPlatform(ProcessId Process) {
    m_ProcessCuts.insert(Process);
  }
  void setCut(std::size_t A, std::size_t B, bool Cut);
  void heal();

  /// Does \p Do in the process now, or once it is resumed; never if it ends.
  void post(ProcessId Process, Duration Delay,
            std::function<void(ClaimNode &, TimePoint)> Do);
  void runFor(Duration Time);

  TimePoint now() const { return m_Now; }
  FakePlatform &table() { return m_Table; }
  std::size_t size() const { return m_Current.size(); }
  /// Precondition: the process is alive.
  const ClaimNode &node(ProcessId Process) const;
  std::uint64_t messages() const { return m_Messages; }
  std::mt19937_64 &random() { return m_Random; }
  bool chance(double Share);

private:
  struct RunningNode {
    std::size_t m_Entry = 0;
    std::unique_ptr<ClaimNode> m_Node;
    bool m_Paused = false;
    std::vector<std::function<void(ClaimNode &, TimePoint)>> m_Backlog;
  };
  struct Event {
    TimePoint m_At;
    std::uint64_t m_Order = 0;
    std::function<void()> m_Do;
    bool operator<(const Event &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At : m_Order > Other.m_Order;
    }
  };
  /// Where the reply to a delivered request goes.
  struct ReplyPath {
    ProcessId m_Asker = 0;
    CallId m_Call = 0;
    std::string m_Path;
  };

  void at(Duration Delay, std::function<void()> Do);
  void tickLater(ProcessId Id);
  void carryOut(ProcessId Id);
  void carryOut(ProcessId Id, const CallPeer &Call);
  void carryOut(ProcessId Id, const Respond &Response);
  void carryOut(ProcessId Id, const RunTransaction &Call);
  void carryOut(ProcessId Id, const ReadRows &Call);
  void carryOut(ProcessId Id, const Decide &Decision);
  void deliver(ProcessId From, const CallPeer &Call);
  void transacted(ProcessId Id, Duration Delay, Result<CommitResult> Done);
  bool isPlatformCut(ProcessId Id) const;
  std::size_t indexOf(const EntryId &Entry) const;
  Duration delay(Duration Most);
  Duration platformDelay();

  std::mt19937_64 m_Random;
  ClaimSettings m_Settings;
  FakePlatform m_Table;
  TimePoint m_Now{std::chrono::hours(1)};
  std::priority_queue<Event> m_Events;
  std::uint64_t m_LastOrder = 0;
  std::map<ProcessId, RunningNode> m_Processes;
  std::vector<ProcessId> m_Current;
  ProcessId m_LastProcess = 0;
  std::map<std::uint64_t, ReplyPath> m_Replies;
  std::uint64_t m_LastHandle = 0;
  std::uint64_t m_Messages = 0;
  std::set<std::size_t> m_PlatformCuts;
  std::set<ProcessId> m_ProcessCuts;
  TimePoint m_PlatformFreeAt{};
  std::set<std::pair<std::size_t, std::size_t>> m_Cuts;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_TESTING_CLAIMWORLD_H
