//===- DispatchFuzz.cpp - Stateful fuzzing of the dispatcher --------------===//
//
// Sends random events to a dispatcher. An oracle that knows only the guarantees
// of the request path checks each action.
//
// Run: DispatchFuzz --seed N [--steps M].
//
//===----------------------------------------------------------------------===//

#include "DispatchOracle.h"
#include "FuzzMain.h"
#include "routing/Strategy.h"
#include <array>
#include <cstring>
#include <random>

using namespace pollenspool;
using std::chrono::milliseconds;

namespace {

constexpr unsigned RecentTryCount = 20;

class Fuzz : private DispatchOracle {
public:
  Fuzz(std::uint64_t Seed, std::string Strategy)
      : DispatchOracle(
            Dispatcher::create({DataCentreName("own"), EntryInstances, Seed,
                                std::move(Strategy)})
                .value()),
        m_Random(Seed) {
    setDocument(true);
  }

  /// Runs one step. Returns false if the oracle found a violation.
  bool step() {
    m_Now += milliseconds(draw(4) == 0 ? draw(30) : 0);
    static constexpr std::array<std::pair<unsigned, void (Fuzz::*)()>, 13>
        Events = {{{300, &Fuzz::submit},
                   {80, &Fuzz::decideClaim},
                   {280, &Fuzz::endTryOrForward},
                   {20, &Fuzz::reportLateResult},
                   {12, &Fuzz::cancelBatch},
                   {12, &Fuzz::changeTargets},
                   {10, &Fuzz::changeRemoteCapacity},
                   {4, &Fuzz::toggleDraining},
                   {3, &Fuzz::advanceTime},
                   {60, &Fuzz::tick},
                   {6, &Fuzz::changeDocument},
                   {6, &Fuzz::reportPeerLoads},
                   {3, &Fuzz::failInstance}}};
    unsigned Total = 0;
    for (const auto &E : Events)
      Total += E.first;
    unsigned Pick = draw(Total);
    for (const auto &E : Events) {
      if (Pick < E.first) {
        (this->*E.second)();
        break;
      }
      Pick -= E.first;
    }
    takeActions();
    checkState();
    return m_Violation.empty();
  }

  bool finishRun() {
    m_Now += std::chrono::minutes(10);
    tick();
    takeActions();
    checkState();
    require(m_Dispatcher.stats().m_Open == 0, "requests are open at the end");
    require(m_Dispatcher.stats().m_InFlight == 0, "slots are held at the end");
    for (std::uint64_t Queued : m_Dispatcher.stats().m_Queued)
      require(Queued == 0, "queue is not empty at the end");
    return m_Violation.empty();
  }

  const std::string &violation() const { return m_Violation; }
  std::uint64_t digest() const { return m_Digest; }
  DispatcherStats stats() const { return m_Dispatcher.stats(); }

private:
  unsigned draw(unsigned Count) {
    return static_cast<unsigned>(m_Random() % Count);
  }

  void setDocument(bool WithOptionalService) {
    auto Doc = std::make_shared<Document>();
    Doc->m_Pools = {{PoolName("a"), 4, 1, 1, false},
                    {PoolName("b"), 4, 1, 1, false}};
    Doc->m_Services = {{ServiceName("swap"), PoolName("a")},
                       {ServiceName("tally"), PoolName("a")},
                       {ServiceName("board"), PoolName("b")}};
    if (WithOptionalService)
      Doc->m_Services.push_back({ServiceName("sundry"), PoolName("b")});
    RequestPolicy &P = Doc->m_Policy;
    P.m_SlotsPerInstance = 4;
    P.m_ConnectionsPerInstance = ConnectionShare * EntryInstances;
    P.m_MaxAttempts = MaxAttempts;
    P.m_RetryBudget = RetryShare;
    P.m_MaxEjectedShare = EjectedShare;
    P.m_QueuePerInstance = QueuePerInstance;
    m_Document = Doc;
    m_Dispatcher.setDocument(Doc);
  }

  // Events.

  void submit() {
    static const std::array<const char *, 5> Services = {
        "swap", "tally", "board", "sundry", "nowhere"};
    RequestInfo Info;
    Info.m_Id = RequestId("r" + std::to_string(draw(DistinctIds)));
    Info.m_Service = ServiceName(Services[draw(40) == 0 ? 4 : draw(4)]);
    Info.m_Class = static_cast<UrgencyClass>(draw(3));
    Info.m_Deadline = m_Now + milliseconds(draw(20) == 0 ? 0 : draw(2000));
    Info.m_Repeatable = draw(2) == 0;
    Info.m_HasIdempotencyKey = draw(2) == 0;
    Info.m_Attempt = draw(3);
    Info.m_Forwarded = draw(6) == 0;
    const Service *Known = m_Document->findService(Info.m_Service);
    PoolName Pool = Known ? Known->m_Pool : PoolName();
    std::size_t Before = waitingIn(Pool);
    Ticket T = m_Dispatcher.submit(Info, m_Now);
    require(m_Requests.count(T) == 0,
            "submit returned a ticket that was used before");
    ObservedRequest &S = m_Requests[T];
    S.m_Info = Info;
    S.m_Pool = Pool;
    S.m_ForwardPossible = forwardPossible(S);
    m_Open.insert(T);
    takeActions();
    checkQueueBound(S, Before);
  }

  bool forwardPossible(const ObservedRequest &S) const {
    for (const auto &R : m_RemoteSlots)
      if (R.first.second == S.m_Pool && R.second > 0)
        return true;
    return false;
  }

  void decideClaim() {
    ObservedRequest *S = nullptr;
    Ticket T =
        draw(8) == 0 ? pickAny(S) : pickIf(S, [](const ObservedRequest &Other) {
          return Other.m_ClaimRequested && !Other.m_ClaimDecided;
        });
    if (!S)
      return;
    bool Pending = S->m_ClaimRequested && !S->m_ClaimDecided;
    if (draw(4) != 0) {
      S->m_ClaimGranted |= S->m_Open && Pending;
      S->m_ClaimDecided |= S->m_ClaimRequested;
      bool WasOpen = S->m_Open;
      require(m_Dispatcher.claimGranted(T, m_Now) == WasOpen,
              "claim was granted to no open ticket");
      return;
    }
    Outcome Final;
    Final.m_Kind = OutcomeKind::Unknown;
    Final.m_Reason = Reason::ClaimInProgress;
    bool MustEnd = S->m_Open && Pending;
    S->m_ClaimDecided |= S->m_ClaimRequested;
    m_Dispatcher.claimDenied(T, Final, m_Now);
    takeActions();
    require(!MustEnd || !S->m_Open,
            "request is open after its claim was denied");
  }

  void endTryOrForward() {
    ObservedRequest *S = nullptr;
    Ticket T =
        pickIf(S, [](const ObservedRequest &Other) { return Other.m_HasTry; });
    if (!S)
      return;
    Action Try = S->m_Try;
    endTry(*S);
    if (Try.m_Kind == ActionKind::Forward)
      return finishForward(T, *S, Try);
    bool IsFailing = m_FailingInstance == Try.m_Instance;
    auto Result = IsFailing ? TryResult::AnsweredWithError : drawResult();
    if (Result != TryResult::NotRun)
      S->m_MayHaveRun = true;
    Answer ServerAnswer;
    ServerAnswer.m_Status = Result == TryResult::Answered ? 200 : 500;
    ServerAnswer.m_Body = std::to_string(T) + "/" + std::to_string(Try.m_Try);
    if (Result == TryResult::Answered || Result == TryResult::AnsweredWithError)
      S->m_Answers.insert(ServerAnswer.m_Body);
    m_Dispatcher.finishTry(
        T, Try.m_Try, Result,
        Result == TryResult::Unknown ? Reason::BackendTruncated : Reason::None,
        ServerAnswer, m_Now);
    takeActions();
    require(Result != TryResult::Answered || !S->m_Open,
            "request is open after a successful answer");
    require(!S->m_MayHaveRun || S->m_Info.m_Repeatable || !S->m_Open,
            "request is held open after a try that must not be repeated");
  }

  TryResult drawResult() {
    unsigned Draw = draw(10);
    return Draw < 6 ? TryResult::Answered
                    : static_cast<TryResult>(1 + (Draw - 6) % 3);
  }

  void finishForward(Ticket T, ObservedRequest &S, const Action &Try) {
    ForwardResult Result;
    Result.m_Try = Try.m_Try;
    Outcome &Out = Result.m_Outcome;
    Out.m_Kind = static_cast<OutcomeKind>(draw(3));
    if (Out.m_Kind != OutcomeKind::Answer)
      Out.m_Reason = draw(2) == 0 ? Reason::PeerUnreachable : Reason::QueueFull;
    S.m_MayHaveRun |= Out.m_Kind != OutcomeKind::NotRun;
    Out.m_Answer.m_Body = "forward/" + std::to_string(T);
    if (Out.m_Kind == OutcomeKind::Answer)
      S.m_Answers.insert(Out.m_Answer.m_Body);
    m_Dispatcher.finishForward(T, Result, m_Now);
  }

  void reportLateResult() {
    if (m_EndedTries.empty())
      return;
    // Prefers recent tries, because their requests may still be open.
    auto Reach = static_cast<unsigned>(m_EndedTries.size());
    if (draw(4) != 0)
      Reach = std::min(Reach, RecentTryCount);
    Action Try = m_EndedTries[m_EndedTries.size() - 1 - draw(Reach)];
    Answer ServerAnswer;
    ServerAnswer.m_Body = "late";
    m_Dispatcher.finishTry(Try.m_Ticket, Try.m_Try, drawResult(), Reason::None,
                           ServerAnswer, m_Now);
    ForwardResult Late;
    Late.m_Try = Try.m_Try;
    Late.m_Outcome.m_Kind = OutcomeKind::Answer;
    Late.m_Outcome.m_Answer = ServerAnswer;
    m_Dispatcher.finishForward(Try.m_Ticket, Late, m_Now);
  }

  void cancelBatch() {
    std::vector<RequestId> Ids;
    std::set<RequestId> Batch;
    for (unsigned I = draw(40); I > 0; --I)
      Ids.emplace_back("r" + std::to_string(draw(DistinctIds + 50)));
    Batch.insert(Ids.begin(), Ids.end());
    std::vector<Ticket> Matching;
    for (Ticket T : m_Open)
      if (Batch.count(m_Requests[T].m_Info.m_Id))
        Matching.push_back(T);
    require(m_Dispatcher.cancel(Ids, m_Now) == Matching.size(),
            "cancel returned the wrong count of requests");
    takeActions();
    for (Ticket T : Matching)
      require(!m_Requests[T].m_Open, "request is open after it was cancelled");
  }

  void changeTargets() {
    std::vector<InstanceTarget> Targets;
    std::map<InstanceId, InstanceTarget> Next;
    for (unsigned I = 0; I < 9; ++I) {
      if (draw(8) == 0)
        continue;
      InstanceTarget Target;
      Target.m_Id = InstanceId("i" + std::to_string(I));
      Target.m_Pool = PoolName(draw(12) == 0 || I % 2 ? "a" : "b");
      Target.m_Address = "127.0.0.1:" + std::to_string(1000 + I);
      Target.m_AcceptsWork = draw(4) != 0;
      // One target in six is outdated and must be ignored.
      bool IsOutdated = draw(6) == 0;
      Target.m_Epoch = IsOutdated ? 1 : ++m_Epoch;
      auto Known = m_Targets.find(Target.m_Id);
      bool Ignored =
          Known != m_Targets.end() && Known->second.m_Epoch > 1 && IsOutdated;
      if (IsOutdated && !Ignored)
        continue;
      Next[Target.m_Id] = Ignored ? Known->second : Target;
      Targets.push_back(std::move(Target));
    }
    m_Targets = std::move(Next);
    m_Dispatcher.setInstances(Targets, m_Now);
  }

  void changeRemoteCapacity() {
    std::vector<RemoteCapacity> All;
    m_RemoteSlots.clear();
    for (const char *Name : {"own", "salt", "durga"}) {
      RemoteCapacity Remote;
      Remote.m_DataCentre = DataCentreName(Name);
      Remote.m_Reachable = draw(3) != 0;
      for (const char *Pool : {"a", "b"}) {
        std::uint32_t FreeSlots = draw(2) == 0 ? 0 : draw(4);
        Remote.m_Pools.push_back({PoolName(Pool), FreeSlots});
        if (Remote.m_Reachable && std::strcmp(Name, "own") != 0)
          m_RemoteSlots[{Remote.m_DataCentre, PoolName(Pool)}] = FreeSlots;
      }
      All.push_back(std::move(Remote));
    }
    m_Dispatcher.setRemoteCapacity(All);
  }

  void toggleDraining() {
    m_Draining = !m_Draining;
    m_Dispatcher.setDraining(m_Draining, m_Now);
  }

  void advanceTime() { m_Now += milliseconds(draw(3000)); }

  void tick() {
    m_Dispatcher.tick(m_Now);
    takeActions();
    for (Ticket T : m_Open)
      require(m_Requests[T].m_Info.m_Deadline > m_Now,
              "request is open after its deadline");
  }

  void changeDocument() { setDocument(draw(2) == 0); }

  void reportPeerLoads() {
    PeerLoadReport Loads;
    Loads.m_Peer = EntryId("peer" + std::to_string(draw(2)));
    for (unsigned I = draw(4); I > 0; --I)
      Loads.m_Report.m_Instances.push_back(
          {InstanceId("i" + std::to_string(I)), draw(5)});
    m_Dispatcher.onPeerLoads(Loads);
    if (draw(3) == 0)
      m_Dispatcher.forgetPeer(Loads.m_Peer);
  }

  void failInstance() {
    m_FailingInstance = InstanceId("i" + std::to_string(draw(12)));
  }

  Ticket pickAny(ObservedRequest *&S) {
    if (m_Requests.empty())
      return 0;
    auto It =
        std::next(m_Requests.begin(),
                  draw(std::min<unsigned>(unsigned(m_Requests.size()), 200)));
    S = &It->second;
    return It->first;
  }

  template <typename Wanted> Ticket pickIf(ObservedRequest *&S, Wanted Is) {
    std::vector<Ticket> Found;
    for (Ticket T : m_Open)
      if (Is(m_Requests[T]))
        Found.push_back(T);
    if (Found.empty())
      return 0;
    Ticket T = Found[draw(static_cast<unsigned>(Found.size()))];
    S = &m_Requests[T];
    return T;
  }

  std::mt19937_64 m_Random;
  std::shared_ptr<const Document> m_Document;
  std::uint64_t m_Epoch = 10;
  InstanceId m_FailingInstance;
};

/// Runs one strategy and returns the digest of its actions.
std::uint64_t runWithStrategy(const std::string &Strategy, std::uint64_t Seed,
                              std::uint64_t Steps, std::uint64_t &Step,
                              std::string &Summary) {
  Fuzz F(Seed, Strategy);
  bool IsValid = true;
  for (Step = 0; IsValid && Step < Steps; ++Step)
    IsValid = F.step();
  if (!IsValid || !F.finishRun())
    throw OracleFailure(Strategy + ": " + F.violation());
  DispatcherStats Stats = F.stats();
  Summary += Strategy + " " + std::to_string(Stats.m_Tries) + " tries " +
             std::to_string(Stats.m_Forwards) + " forwards " +
             std::to_string(Stats.m_Ejections) + " ejections; ";
  return F.digest();
}

std::string runAll(const FuzzArguments &Arguments, std::uint64_t &Step) {
  constexpr std::uint64_t ReplayFraction = 4;
  std::string Summary;
  std::string Ignored;
  for (const StrategyRow &Row : routingStrategies()) {
    std::string Name(Row.m_Name);
    std::uint64_t Seed = Arguments.m_Seed;
    std::uint64_t ReplaySteps = Arguments.m_Steps / ReplayFraction;
    runWithStrategy(Name, Seed, Arguments.m_Steps, Step, Summary);
    auto First = runWithStrategy(Name, Seed, ReplaySteps, Step, Ignored);
    auto Second = runWithStrategy(Name, Seed, ReplaySteps, Step, Ignored);
    if (First != Second)
      throw OracleFailure(Name + ": two runs with the same seed differ");
  }
  return Summary;
}

} // namespace

int main(int Argc, char **Argv) {
  constexpr std::uint64_t DefaultSteps = 20000;
  return runFuzz(Argc, Argv, DefaultSteps, runAll);
}
