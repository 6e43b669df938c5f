//===- ClaimFuzz.cpp - Random faults against the claim cores --------------===//
// ClaimFuzz --seed N [--steps M]. Simulated callers send keys repeatedly to
// several entry instances while processes are killed, paused and replaced,
// messages are lost, duplicated and reordered, and the platform is unreachable
// or loses replies. The oracle is independent of the protocol. It checks that a
// key that was granted and not released is never granted again, that a recorded
// answer is the one that was completed, and that new keys are granted before
// the faults begin and after they have ended.
//===----------------------------------------------------------------------===//

#include "claims/testing/ClaimSimulation.h"
#include <cstdlib>
#include <iostream>

using namespace pollenspool;
using namespace pollenspool::claims;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds Lifetime = 20s;
constexpr std::chrono::milliseconds Margin = 4s;
constexpr std::chrono::milliseconds ClaimTimeout = 1500ms;
/// Time allowed for recovery after the faults: twice the longest recovery,
/// because a process may learn only at the end of the first that it was
/// superseded and then needs a second, and 10 s for the remaining operations.
constexpr std::chrono::milliseconds RecoveryTime =
    2 * (Lifetime + Margin) + 10s;
constexpr std::size_t NewKeyCount = 30;

struct Options {
  std::uint64_t m_Seed = 1;
  int m_Steps = 10000;
};

/// The state of one key as callers and backend servers know it.
struct KeyHistory {
  TimePoint m_FirstUse;
  bool m_Running = false;
  ClaimToken m_Holder;
  std::string m_Answer;
};

ClaimSettings settingsFor(std::uint64_t Seed) {
  ClaimSettings Settings;
  std::size_t Count = 2 + Seed % 4;
  for (std::size_t I = 0; I < Count; ++I)
    Settings.m_Entries.push_back(
        {EntryId("10.0.0." + std::to_string(I) + ":80"),
         DataCentreName(Count > 3 && I >= 2 ? "tema" : "accra")});
  Settings.m_ClaimLifetime = Lifetime;
  Settings.m_Margin = Margin;
  return Settings;
}

class ClaimFuzzer {
public:
  explicit ClaimFuzzer(const Options &Parsed)
      : m_Options(Parsed),
        m_Simulation(Parsed.m_Seed, settingsFor(Parsed.m_Seed)) {
    m_Simulation.m_OnDecision =
        [this](ProcessId Process, const ClaimToken &Token,
               const ClaimReply &Reply) { onDecision(Process, Token, Reply); };
  }

  bool run() {
    for (std::size_t I = 0; I < m_Simulation.size(); ++I)
      m_Simulation.start(I);
    m_Simulation.runFor(2s);
    checkNewKeysAreGranted("before the faults");
    chooseFaultRates();
    for (m_Step = 0; m_Step < m_Options.m_Steps && !m_Failed; ++m_Step) {
      step();
      m_Simulation.runFor(std::chrono::milliseconds(randomBelow(400)));
    }
    endAllFaults();
    sendDuringRecovery();
    checkNewKeysAreGranted("after the faults");
    return !m_Failed;
  }

  void report() const {
    std::cout << "granted " << m_Granted << " (" << m_FromMemory
              << " from memory), recorded " << m_Recorded << ", denied "
              << m_Denied << ", kills " << m_Kills << ", pauses " << m_Pauses
              << ", outages " << m_Outages << "\n";
  }

private:
  std::size_t randomBelow(std::size_t Count) {
    return m_Simulation.random()() % Count;
  }

  void fail(const std::string &What) {
    if (!m_Failed)
      std::cout << "step " << m_Step << ": " << What << "\n";
    m_Failed = true;
  }

  /// Chooses different fault rates for each seed, so that some runs have long
  /// periods without faults.
  void chooseFaultRates() {
    const double FaultRates[] = {0, 0.01, 0.1};
    SimulatedFaults &Faults = m_Simulation.m_Faults;
    for (double *Rate :
         {&Faults.m_LoseRequest, &Faults.m_LoseReply, &Faults.m_Duplicate,
          &Faults.m_LoseCommit, &Faults.m_FailCall, &Faults.m_LateCommit})
      *Rate = FaultRates[randomBelow(3)];
    Faults.m_MaxDelay = std::chrono::milliseconds(1 + randomBelow(300));
    m_KillWeight = randomBelow(3);
    m_PauseWeight = randomBelow(3);
    m_CutWeight = randomBelow(3);
    m_OutageWeight = 1 + randomBelow(4);
  }

  void step() {
    std::size_t Draw = randomBelow(200);
    if (Draw < m_KillWeight)
      return killOrReplaceOne();
    if ((Draw -= m_KillWeight) < m_PauseWeight)
      return pauseOneProcess();
    if ((Draw -= m_PauseWeight) < m_CutWeight)
      return setRandomLink();
    if ((Draw -= m_CutWeight) < m_OutageWeight)
      return setRandomOutage();
    sendRandomKey();
  }

  void killOrReplaceOne() {
    std::size_t Entry = randomBelow(m_Simulation.size());
    ++m_Kills;
    bool Replaced = randomBelow(4) == 0;
    ProcessId Old = m_Simulation.current(Entry);
    if (Replaced)
      replacePaused(Old, Entry);
    else
      m_Simulation.kill(Old);
    if (m_Simulation.current(Entry) == 0)
      m_Simulation.runFor(std::chrono::milliseconds(randomBelow(6000)));
    if (m_Simulation.current(Entry) == 0)
      m_Simulation.start(Entry);
  }

  /// Starts a new process while the old one still runs. The platform excludes
  /// one case, which is therefore not simulated: the old process can reach a
  /// witness that the new one cannot reach (docs/design/claims.md).
  void replacePaused(ProcessId Old, std::size_t Entry) {
    m_Simulation.pause(Old);
    sendBurst();
    m_Simulation.start(Entry);
    m_Paused.push_back(Old);
    m_Simulation.runFor(std::chrono::milliseconds(randomBelow(300)));
    sendBurst();
    if (randomBelow(2) == 0)
      m_Simulation.cutProcessFromPlatform(Old);
    if (randomBelow(2) == 0)
      m_Simulation.runFor(std::chrono::milliseconds(randomBelow(3000)));
    m_Simulation.resume(Old);
  }

  void sendBurst() {
    for (int I = 0; I < 8; ++I) {
      sendRandomKey();
      m_Simulation.runFor(std::chrono::milliseconds(randomBelow(60)));
    }
  }

  void pauseOneProcess() {
    ++m_Pauses;
    ProcessId Process = m_Simulation.current(randomBelow(m_Simulation.size()));
    m_Simulation.pause(Process);
    m_Simulation.runFor(std::chrono::milliseconds(randomBelow(3000)));
    m_Simulation.resume(Process);
  }

  void setRandomLink() {
    bool Cut = randomBelow(2) == 0;
    m_Simulation.setLinkCut(randomBelow(m_Simulation.size()),
                            randomBelow(m_Simulation.size()), Cut);
  }

  /// Half of the outages affect all entry instances, the others only one.
  void setRandomOutage() {
    ++m_Outages;
    bool Cut = randomBelow(2) == 0;
    std::size_t Only = randomBelow(2 * m_Simulation.size());
    for (std::size_t I = 0; I < m_Simulation.size(); ++I)
      if (Only >= m_Simulation.size() || I == Only)
        m_Simulation.setPlatformCut(I, Cut);
  }

  void sendRandomKey() {
    dropExpiredKeys();
    bool IsNew = m_UsableKeys.empty() || randomBelow(3) == 0;
    RequestId Key =
        IsNew ? newKey() : m_UsableKeys[randomBelow(m_UsableKeys.size())];
    send(randomBelow(m_Simulation.size()), Key);
  }

  RequestId newKey() {
    std::string Prefix = randomBelow(3) == 0 ? "tema:" : "";
    RequestId Key(Prefix + "key-" + std::to_string(++m_LastKey));
    m_Keys[Key].m_FirstUse = m_Simulation.now();
    m_UsableKeys.push_back(Key);
    return Key;
  }

  /// Callers must not use a key for longer than the claim lifetime.
  void dropExpiredKeys() {
    std::vector<RequestId> Usable;
    for (RequestId &Key : m_UsableKeys)
      if (m_Simulation.now() - m_Keys[Key].m_FirstUse < Lifetime)
        Usable.push_back(std::move(Key));
    m_UsableKeys = std::move(Usable);
  }

  void send(std::size_t Entry, const RequestId &Key) {
    TimePoint Sent = m_Simulation.now();
    ProcessId Process = m_Simulation.current(Entry);
    m_Simulation.post(
        Process, 0ms, [this, Key, Sent](ClaimNode &Node, TimePoint Now) {
          if (Now - Sent < Margin / 2)
            m_KeyByToken[Node.claim(Key, ClaimTimeout, Now)] = Key;
        });
  }

  void onDecision(ProcessId Process, const ClaimToken &Token,
                  const ClaimReply &Reply) {
    RequestId Key = m_KeyByToken.at(Token);
    KeyHistory &History = m_Keys[Key];
    if (Reply.m_Verdict == ClaimVerdict::Denied) {
      ++m_Denied;
      m_LastReason = Reply.m_Reason;
      return;
    }
    if (Reply.m_Verdict == ClaimVerdict::Recorded) {
      ++m_Recorded;
      if (History.m_Answer.empty() || History.m_Answer != Reply.m_Answer.m_Body)
        fail("recorded answer differs from the completed one for " +
             Key.m_Text);
      return;
    }
    ++m_Granted;
    countGrantsFromMemory(Process);
    if (History.m_Running)
      fail(Key.m_Text + " granted to " + Token.m_Text + " while " +
           History.m_Holder.m_Text + " holds it");
    History.m_Running = true;
    History.m_Holder = Token;
    scheduleCompletion(Process, Key, Token);
  }

  void countGrantsFromMemory(ProcessId Process) {
    std::uint64_t &Last = m_MemoryGrants[Process];
    std::uint64_t Total =
        m_Simulation.node(Process).stats().m_GrantedFromMemory;
    m_FromMemory += Total - Last;
    Last = Total;
  }

  /// Simulates the end of a granted request: the backend server answers, the
  /// request turns out not to have run, or no result arrives.
  void scheduleCompletion(ProcessId Process, const RequestId &Key,
                          const ClaimToken &Token) {
    std::size_t Draw = randomBelow(10);
    auto Finish = [this, Key, Token, Draw](ClaimNode &Node, TimePoint Now) {
      KeyHistory &History = m_Keys[Key];
      if (Draw < 6) {
        History.m_Answer = "answer to " + Token.m_Text;
        Node.complete(Key, Token, Answer{200, {}, History.m_Answer}, Now);
      } else if (Draw < 9) {
        History.m_Running = false;
        Node.release(Key, Token, Now);
      }
    };
    m_Simulation.post(Process, std::chrono::milliseconds(randomBelow(2000)),
                      Finish);
  }

  void endAllFaults() {
    m_Simulation.heal();
    for (ProcessId Process : m_Paused)
      m_Simulation.kill(Process);
    for (std::size_t I = 0; I < m_Simulation.size(); ++I) {
      if (m_Simulation.current(I) == 0)
        m_Simulation.start(I);
      m_Simulation.resume(m_Simulation.current(I));
    }
  }

  /// Sends claims during the recovery, because a superseded process joins again
  /// only when it receives a claim.
  void sendDuringRecovery() {
    TimePoint End = m_Simulation.now() + RecoveryTime;
    while (m_Simulation.now() < End) {
      send(randomBelow(m_Simulation.size()), newKey());
      m_Simulation.runFor(100ms);
    }
  }

  void checkNewKeysAreGranted(const std::string &When) {
    for (std::size_t I = 0; I < NewKeyCount && !m_Failed; ++I) {
      std::uint64_t Before = m_Granted;
      RequestId Key = newKey();
      send(I % m_Simulation.size(), Key);
      m_Simulation.runFor(ClaimTimeout);
      if (m_Granted == Before)
        fail("new key " + Key.m_Text + " not granted " + When + ": " +
             std::string(reasonName(m_LastReason)));
      send((I + 1) % m_Simulation.size(), Key);
      m_Simulation.runFor(100ms);
    }
    m_Simulation.runFor(3s);
  }

  Options m_Options;
  ClaimSimulation m_Simulation;
  std::map<RequestId, KeyHistory> m_Keys;
  std::map<ClaimToken, RequestId> m_KeyByToken;
  std::vector<RequestId> m_UsableKeys;
  std::vector<ProcessId> m_Paused;
  std::uint64_t m_LastKey = 0;
  std::size_t m_KillWeight = 0;
  std::size_t m_PauseWeight = 0;
  std::size_t m_CutWeight = 0;
  std::size_t m_OutageWeight = 0;
  int m_Step = 0;
  bool m_Failed = false;
  Reason m_LastReason = Reason::None;
  std::uint64_t m_Granted = 0;
  std::uint64_t m_FromMemory = 0;
  std::map<ProcessId, std::uint64_t> m_MemoryGrants;
  std::uint64_t m_Recorded = 0;
  std::uint64_t m_Denied = 0;
  std::uint64_t m_Kills = 0;
  std::uint64_t m_Pauses = 0;
  std::uint64_t m_Outages = 0;
};

Options parse(int Argc, char **Argv) {
  Options Parsed;
  for (int I = 1; I + 1 < Argc; I += 2) {
    std::string Name = Argv[I];
    if (Name == "--seed")
      Parsed.m_Seed = std::strtoull(Argv[I + 1], nullptr, 10);
    else if (Name == "--steps")
      Parsed.m_Steps = std::atoi(Argv[I + 1]);
  }
  return Parsed;
}

} // namespace

int main(int Argc, char **Argv) {
  Options Parsed = parse(Argc, Argv);
  std::cout << "seed " << Parsed.m_Seed << "\n";
  ClaimFuzzer Run(Parsed);
  bool Ok = Run.run();
  Run.report();
  if (!Ok)
    std::cout << "repeat: ClaimFuzz --seed " << Parsed.m_Seed << " --steps "
              << Parsed.m_Steps << "\n";
  return Ok ? 0 : 1;
}
