//===- ClaimSimulation.h - Claim cores on a simulated network ---*- C++ -*-===//
// Runs the claim cores of several entry instances with a fake platform and an
// unreliable network on one simulated clock. For tests, fuzzers and benchmarks
// only.
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_TESTING_CLAIMSIMULATION_H
#define POLLENSPOOL_CLAIMS_TESTING_CLAIMSIMULATION_H

#include "claims/ClaimNode.h"
#include "platform/testing/FakePlatform.h"
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace pollenspool::claims {

/// Probabilities of faults, from 0 to 1, and delays.
struct SimulatedFaults {
  double m_LoseRequest = 0;
  double m_LoseReply = 0;
  double m_Duplicate = 0;
  /// A transaction takes effect, but its reply is lost.
  double m_LoseCommit = 0;
  /// A platform call fails without effect.
  double m_FailCall = 0;
  /// A transaction is reported as timed out and takes effect afterwards.
  double m_LateCommit = 0;
  Duration m_MaxDelay = std::chrono::milliseconds(3);
  Duration m_PlatformDelay = std::chrono::milliseconds(4);
  /// Time that the platform takes to process one transaction; it processes them
  /// one after the other. 0 means unlimited capacity.
  Duration m_TransactionTime{0};
};

/// Identifies one process of an entry instance; never reused.
using ProcessId = std::uint64_t;

/// Not thread safe.
class ClaimSimulation {
public:
  using DecisionCallback =
      std::function<void(ProcessId, const ClaimToken &, const ClaimReply &)>;

  /// \p Settings gives the list of entry instances and all time limits.
  ClaimSimulation(std::uint64_t Seed, ClaimSettings Settings);

  SimulatedFaults m_Faults;
  /// Called for each decided claim.
  DecisionCallback m_OnDecision;

  /// Starts a new process for an entry instance. A process that already runs
  /// for it continues but receives no new messages.
  ProcessId start(std::size_t Entry);
  void kill(ProcessId Process);
  void pause(ProcessId Process);
  void resume(ProcessId Process);
  /// The process that receives the messages of the entry instance; 0 if none.
  ProcessId current(std::size_t Entry) const { return m_Current[Entry]; }
  bool isAlive(ProcessId Process) const;

  /// Disconnects an entry instance from the platform, or connects it again.
  void setPlatformCut(std::size_t Entry, bool Cut);
  /// Disconnects one process from the platform permanently; other processes of
  /// its entry instance stay connected.
  void cutProcessFromPlatform(ProcessId Process) {
    m_ProcessCuts.insert(Process);
  }
  /// Disconnects two entry instances from each other, or connects them again.
  void setLinkCut(std::size_t A, std::size_t B, bool Cut);
  /// Ends all faults but those of cutProcessFromPlatform().
  void heal();

  /// Runs \p Task in the process after \p Delay, or once the process is resumed
  /// if it is paused then. Does nothing if the process has ended.
  void post(ProcessId Process, Duration Delay,
            std::function<void(ClaimNode &, TimePoint)> Task);
  void runFor(Duration Time);

  TimePoint now() const { return m_Now; }
  FakePlatform &table() { return m_Table; }
  std::size_t size() const { return m_Current.size(); }
  /// Precondition: the process has not ended.
  const ClaimNode &node(ProcessId Process) const;
  std::uint64_t messages() const { return m_Messages; }
  std::mt19937_64 &random() { return m_Random; }
  /// Returns true with the given probability.
  bool withProbability(double Probability);

private:
  struct RunningNode {
    std::size_t m_Entry = 0;
    std::unique_ptr<ClaimNode> m_Node;
    bool m_Paused = false;
    std::vector<std::function<void(ClaimNode &, TimePoint)>> m_Backlog;
  };
  struct Event {
    TimePoint m_At;
    std::uint64_t m_Sequence = 0;
    std::function<void()> m_Task;
    bool operator<(const Event &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At
                                : m_Sequence > Other.m_Sequence;
    }
  };
  /// Destination of the reply to a delivered request.
  struct ReplyPath {
    ProcessId m_Requester = 0;
    CallId m_Call = 0;
    std::string m_Path;
  };

  void schedule(Duration Delay, std::function<void()> Task);
  void scheduleTick(ProcessId Id);
  void carryOut(ProcessId Id);
  void carryOut(ProcessId Id, const CallPeer &Call);
  void carryOut(ProcessId Id, const Respond &Response);
  void carryOut(ProcessId Id, const RunTransaction &Call);
  void carryOut(ProcessId Id, const ReadRows &Call);
  void carryOut(ProcessId Id, const ReportDecision &Decision);
  void deliver(ProcessId From, const CallPeer &Call);
  void postTransactionResult(ProcessId Id, Duration Delay,
                             Result<CommitResult> Done);
  bool isPlatformCut(ProcessId Id) const;
  std::size_t indexOf(const EntryId &Entry) const;
  Duration delay(Duration MaxDelay);
  Duration platformDelay();

  std::mt19937_64 m_Random;
  ClaimSettings m_Settings;
  FakePlatform m_Table;
  TimePoint m_Now{std::chrono::hours(1)};
  std::priority_queue<Event> m_Events;
  std::uint64_t m_LastSequence = 0;
  std::map<ProcessId, RunningNode> m_Processes;
  std::vector<ProcessId> m_Current;
  ProcessId m_LastProcess = 0;
  std::map<std::uint64_t, ReplyPath> m_Replies;
  std::uint64_t m_LastHandle = 0;
  std::uint64_t m_Messages = 0;
  std::set<std::size_t> m_PlatformCuts;
  std::set<ProcessId> m_ProcessCuts;
  TimePoint m_PlatformFreeAt{};
  std::set<std::pair<std::size_t, std::size_t>> m_LinkCuts;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_TESTING_CLAIMSIMULATION_H
