//===- DispatchFuzz.cpp - Stateful fuzzing of the dispatcher --------------===//
//
// Random events against a dispatcher; an oracle that knows only the promises
// watches each action. Run: DispatchFuzz --seed N [--steps M].
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

constexpr unsigned RecentTries = 20;

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

  /// Runs one step; false if the oracle objects.
  bool step() {
    m_Now += milliseconds(draw(4) == 0 ? draw(30) : 0);
    static constexpr std::array<std::pair<unsigned, void (Fuzz::*)()>, 13>
        Events = {{{300, &Fuzz::submit},
                   {80, &Fuzz::decideClaim},
                   {280, &Fuzz::finishSome},
                   {20, &Fuzz::finishOld},
                   {12, &Fuzz::cancelWave},
                   {12, &Fuzz::changeList},
                   {10, &Fuzz::changeRemote},
                   {4, &Fuzz::toggleDraining},
                   {3, &Fuzz::jump},
                   {60, &Fuzz::tick},
                   {6, &Fuzz::changeDocument},
                   {6, &Fuzz::peerLoads},
                   {3, &Fuzz::breakInstance}}};
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
    return m_Fault.empty();
  }

  bool close() {
    m_Now += std::chrono::minutes(10);
    tick();
    takeActions();
    checkState();
    require(m_Core.stats().m_Open == 0, "requests left at the end");
    require(m_Core.stats().m_InFlight == 0, "slots left at the end");
    for (std::uint64_t Queued : m_Core.stats().m_Queued)
      require(Queued == 0, "queue places left at the end");
    return m_Fault.empty();
  }

  const std::string &fault() const { return m_Fault; }
  std::uint64_t digest() const { return m_Digest; }
  DispatcherStats stats() const { return m_Core.stats(); }

private:
  unsigned draw(unsigned Count) {
    return static_cast<unsigned>(m_Random() % Count);
  }

  void setDocument(bool WithSundry) {
    auto Doc = std::make_shared<Document>();
    Doc->m_Pools = {{PoolName("a"), 4, 1, 1, false},
                    {PoolName("b"), 4, 1, 1, false}};
    Doc->m_Services = {{ServiceName("swap"), PoolName("a")},
                       {ServiceName("tally"), PoolName("a")},
                       {ServiceName("board"), PoolName("b")}};
    if (WithSundry)
      Doc->m_Services.push_back({ServiceName("sundry"), PoolName("b")});
    RequestPolicy &P = Doc->m_Policy;
    P.m_SlotsPerInstance = 4;
    P.m_ConnectionsPerInstance = ConnectionShare * EntryInstances;
    P.m_MaxAttempts = MaxAttempts;
    P.m_RetryBudget = RetryShare;
    P.m_MaxEjectedShare = EjectedShare;
    P.m_QueuePerInstance = QueuePerInstance;
    m_Document = Doc;
    m_Core.setDocument(Doc);
  }

  // Events.

  void submit() {
    static const std::array<const char *, 5> Services = {
        "swap", "tally", "board", "sundry", "nowhere"};
    RequestInfo Info;
    Info.m_Id = RequestId("r" + std::to_string(draw(IdCount)));
    Info.m_Service = ServiceName(Services[draw(40) == 0 ? 4 : draw(4)]);
    Info.m_Class = static_cast<UrgencyClass>(draw(3));
    Info.m_Deadline = m_Now + milliseconds(draw(20) == 0 ? 0 : draw(2000));
    Info.m_Repeatable = draw(2) == 0;
    Info.m_CallerKeyed = draw(2) == 0;
    Info.m_Attempt = draw(3);
    Info.m_Forwarded = draw(6) == 0;
    const Service *Known = m_Document->findService(Info.m_Service);
    PoolName Pool = Known ? Known->m_Pool : PoolName();
    std::size_t Before = waitingIn(Pool);
    Ticket T = m_Core.submit(Info, m_Now);
    require(m_Seen.count(T) == 0, "ticket reused");
    Seen &S = m_Seen[T];
    S.m_Info = Info;
    S.m_Pool = Pool;
    S.m_SpillPossible = spillPossible(S);
    m_Open.insert(T);
    takeActions();
    checkQueueBound(S, Before);
  }

  bool spillPossible(const Seen &S) const {
    for (const auto &R : m_Rooms)
      if (R.first.second == S.m_Pool && R.second > 0)
        return true;
    return false;
  }

  void decideClaim() {
    Seen *S = nullptr;
    Ticket T = draw(8) == 0 ? pickAny(S) : pickIf(S, [](const Seen &Other) {
      return Other.m_ClaimAsked && !Other.m_ClaimDecided;
    });
    if (!S)
      return;
    bool Pending = S->m_ClaimAsked && !S->m_ClaimDecided;
    if (draw(4) != 0) {
      S->m_ClaimGranted |= S->m_Open && Pending;
      S->m_ClaimDecided |= S->m_ClaimAsked;
      bool WasOpen = S->m_Open;
      require(m_Core.claimGranted(T, m_Now) == WasOpen, "granted to no ticket");
      return;
    }
    Outcome Final;
    Final.m_Kind = OutcomeKind::Unknown;
    Final.m_Reason = Reason::ClaimInProgress;
    bool MustEnd = S->m_Open && Pending;
    S->m_ClaimDecided |= S->m_ClaimAsked;
    m_Core.claimDenied(T, Final, m_Now);
    takeActions();
    require(!MustEnd || !S->m_Open, "denied and still open");
  }

  void finishSome() {
    Seen *S = nullptr;
    Ticket T = pickIf(S, [](const Seen &Other) { return Other.m_HasTry; });
    if (!S)
      return;
    Action Try = S->m_Try;
    endTry(*S);
    if (Try.m_Kind == ActionKind::Forward)
      return finishForward(T, *S, Try);
    bool Broken = m_Broken == Try.m_Instance;
    auto Result = Broken ? TryResult::AnsweredError : drawResult();
    if (Result != TryResult::NotRun)
      S->m_MayHaveRun = true;
    Answer Whole;
    Whole.m_Status = Result == TryResult::Answered ? 200 : 500;
    Whole.m_Body = std::to_string(T) + "/" + std::to_string(Try.m_Try);
    if (Result == TryResult::Answered || Result == TryResult::AnsweredError)
      S->m_Answers.insert(Whole.m_Body);
    m_Core.finishTry(T, Try.m_Try, Result,
                     Result == TryResult::Unknown ? Reason::BackendTruncated
                                                  : Reason::None,
                     Whole, m_Now);
    takeActions();
    require(Result != TryResult::Answered || !S->m_Open, "answer held back");
    require(!S->m_MayHaveRun || S->m_Info.m_Repeatable || !S->m_Open,
            "outcome held back");
  }

  TryResult drawResult() {
    unsigned Roll = draw(10);
    return Roll < 6 ? TryResult::Answered
                    : static_cast<TryResult>(1 + (Roll - 6) % 3);
  }

  void finishForward(Ticket T, Seen &S, const Action &Try) {
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
    m_Core.finishForward(T, Result, m_Now);
  }

  void finishOld() {
    if (m_Old.empty())
      return;
    // Mostly recent ones, whose request may still be open.
    auto Reach = static_cast<unsigned>(m_Old.size());
    if (draw(4) != 0)
      Reach = std::min(Reach, RecentTries);
    Action Try = m_Old[m_Old.size() - 1 - draw(Reach)];
    Answer Whole;
    Whole.m_Body = "late";
    m_Core.finishTry(Try.m_Ticket, Try.m_Try, drawResult(), Reason::None, Whole,
                     m_Now);
    ForwardResult Late;
    Late.m_Try = Try.m_Try;
    Late.m_Outcome.m_Kind = OutcomeKind::Answer;
    Late.m_Outcome.m_Answer = Whole;
    m_Core.finishForward(Try.m_Ticket, Late, m_Now);
  }

  void cancelWave() {
    std::vector<RequestId> Ids;
    std::set<RequestId> Wave;
    for (unsigned I = draw(40); I > 0; --I)
      Ids.emplace_back("r" + std::to_string(draw(IdCount + 50)));
    Wave.insert(Ids.begin(), Ids.end());
    std::vector<Ticket> Hit;
    for (Ticket T : m_Open)
      if (Wave.count(m_Seen[T].m_Info.m_Id))
        Hit.push_back(T);
    require(m_Core.cancel(Ids, m_Now) == Hit.size(), "wrong count of cancel");
    takeActions();
    for (Ticket T : Hit)
      require(!m_Seen[T].m_Open, "cancelled and still open");
  }

  void changeList() {
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
      // One in six is an old notice that must not take effect.
      bool Old = draw(6) == 0;
      Target.m_Epoch = Old ? 1 : ++m_Epoch;
      auto Known = m_List.find(Target.m_Id);
      bool Ignored = Known != m_List.end() && Known->second.m_Epoch > 1 && Old;
      if (Old && !Ignored)
        continue;
      Next[Target.m_Id] = Ignored ? Known->second : Target;
      Targets.push_back(std::move(Target));
    }
    m_List = std::move(Next);
    m_Core.setInstances(Targets, m_Now);
  }

  void changeRemote() {
    std::vector<RemoteCapacity> All;
    m_Rooms.clear();
    for (const char *Name : {"own", "salt", "durga"}) {
      RemoteCapacity Remote;
      Remote.m_DataCentre = DataCentreName(Name);
      Remote.m_Reachable = draw(3) != 0;
      for (const char *Pool : {"a", "b"}) {
        std::uint32_t Room = draw(2) == 0 ? 0 : draw(4);
        Remote.m_Pools.push_back({PoolName(Pool), Room});
        if (Remote.m_Reachable && std::strcmp(Name, "own") != 0)
          m_Rooms[{Remote.m_DataCentre, PoolName(Pool)}] = Room;
      }
      All.push_back(std::move(Remote));
    }
    m_Core.setRemoteCapacity(All);
  }

  void toggleDraining() {
    m_Draining = !m_Draining;
    m_Core.setDraining(m_Draining, m_Now);
  }

  void jump() { m_Now += milliseconds(draw(3000)); }

  void tick() {
    m_Core.tick(m_Now);
    takeActions();
    for (Ticket T : m_Open)
      require(m_Seen[T].m_Info.m_Deadline > m_Now, "open past its deadline");
  }

  void changeDocument() { setDocument(draw(2) == 0); }

  void peerLoads() {
    PeerLoads Loads;
    Loads.m_Peer = EntryId("peer" + std::to_string(draw(2)));
    for (unsigned I = draw(4); I > 0; --I)
      Loads.m_Report.m_Instances.push_back(
          {InstanceId("i" + std::to_string(I)), draw(5)});
    m_Core.onPeerLoads(Loads);
    if (draw(3) == 0)
      m_Core.forgetPeer(Loads.m_Peer);
  }

  void breakInstance() {
    m_Broken = InstanceId("i" + std::to_string(draw(12)));
  }

  Ticket pickAny(Seen *&S) {
    if (m_Seen.empty())
      return 0;
    auto It = std::next(m_Seen.begin(),
                        draw(std::min<unsigned>(unsigned(m_Seen.size()), 200)));
    S = &It->second;
    return It->first;
  }

  template <typename Wanted> Ticket pickIf(Seen *&S, Wanted Is) {
    std::vector<Ticket> Found;
    for (Ticket T : m_Open)
      if (Is(m_Seen[T]))
        Found.push_back(T);
    if (Found.empty())
      return 0;
    Ticket T = Found[draw(static_cast<unsigned>(Found.size()))];
    S = &m_Seen[T];
    return T;
  }

  std::mt19937_64 m_Random;
  std::shared_ptr<const Document> m_Document;
  std::uint64_t m_Epoch = 10;
  InstanceId m_Broken;
};

/// Runs one strategy and returns the digest of its actions.
std::uint64_t runStrategy(const std::string &Strategy, std::uint64_t Seed,
                          std::uint64_t Steps, std::uint64_t &Step,
                          std::string &Summary) {
  Fuzz F(Seed, Strategy);
  bool Holds = true;
  for (Step = 0; Holds && Step < Steps; ++Step)
    Holds = F.step();
  if (!Holds || !F.close())
    throw OracleFailure(Strategy + ": " + F.fault());
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
    std::uint64_t Part = Arguments.m_Steps / ReplayFraction;
    runStrategy(Name, Seed, Arguments.m_Steps, Step, Summary);
    auto First = runStrategy(Name, Seed, Part, Step, Ignored);
    auto Second = runStrategy(Name, Seed, Part, Step, Ignored);
    if (First != Second)
      throw OracleFailure(Name + ": two runs differ");
  }
  return Summary;
}

} // namespace

int main(int Argc, char **Argv) {
  constexpr std::uint64_t DefaultSteps = 20000;
  return runFuzz(Argc, Argv, DefaultSteps, runAll);
}
