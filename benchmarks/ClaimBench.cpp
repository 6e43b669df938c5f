//===- ClaimBench.cpp - Cost of claims ------------------------------------===//
//
// ClaimBench [--seed N]. Part one compares, on a simulated network of 9 entry
// instances and a platform of limited capacity, a transaction per claim, claims
// held by memories only (the platform is cut off) and owners with group commit.
// Part two measures the memory and the processor time of a claim in the core.
//
//===----------------------------------------------------------------------===//

#include "claims/testing/ClaimWorld.h"
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>

using namespace pollenspool;
using namespace pollenspool::claims;
using namespace std::chrono_literals;

namespace {

constexpr Duration RunTime = 10s;
/// The platform's capacity: 400 transactions a second.
constexpr Duration TransactionTime = 2500us;
constexpr Duration PlatformDelay = 4ms;
constexpr Duration PeerDelay = 3ms;
constexpr std::chrono::milliseconds Patience = 1s;
constexpr int Rates[] = {100, 400, 1600};
constexpr int Sizes[] = {20000, 40000, 80000};

struct Figures {
  std::vector<double> m_Latencies;
  std::uint64_t m_Asked = 0;
  double m_TransactionsPerSecond = 0;
  double m_MessagesPerClaim = 0;
};

double milliseconds(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Share * Last)];
}

void print(const char *Way, int Rate, const Figures &F) {
  auto Granted = static_cast<double>(F.m_Latencies.size());
  std::printf("%-22s %5d %8.1f %8.1f %9.1f%% %9.0f %9.2f\n", Way, Rate,
              quantile(F.m_Latencies, 0.5), quantile(F.m_Latencies, 0.99),
              100 * Granted / static_cast<double>(F.m_Asked),
              F.m_TransactionsPerSecond, F.m_MessagesPerClaim);
}

/// Each claim is a transaction of its own: one queue with the same delays.
Figures transactionPerClaim(std::uint64_t Seed, int Rate) {
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<double> Gap(Rate);
  std::uniform_real_distribution<double> Delay(0, PlatformDelay.count() / 1e6);
  double Service = static_cast<double>(TransactionTime.count()) / 1e6;
  double End = std::chrono::duration<double>(RunTime).count();
  Figures F;
  double FreeAt = 0;
  int Done = 0;
  for (double Now = Gap(Random); Now < End; Now += Gap(Random)) {
    ++F.m_Asked;
    FreeAt = std::max(FreeAt, Now + Delay(Random)) + Service;
    Done += FreeAt < End ? 1 : 0;
    double Latency = FreeAt + Delay(Random) - Now;
    if (Latency < std::chrono::duration<double>(Patience).count())
      F.m_Latencies.push_back(1000 * Latency);
  }
  F.m_TransactionsPerSecond = Done / End;
  return F;
}

ClaimSettings nineEntries() {
  ClaimSettings Settings;
  for (int I = 0; I < 9; ++I)
    Settings.m_Entries.push_back({EntryId("10.0.0." + std::to_string(I)),
                                  DataCentreName(std::to_string(I / 3))});
  Settings.m_ClaimLifetime = 20s;
  Settings.m_Margin = 1s;
  return Settings;
}

Figures owners(std::uint64_t Seed, int Rate, bool PlatformDown) {
  ClaimWorld World(Seed, nineEntries());
  World.m_Faults.m_MaxDelay = PeerDelay;
  World.m_Faults.m_PlatformDelay = PlatformDelay;
  World.m_Faults.m_TransactionTime = TransactionTime;
  for (std::size_t I = 0; I < World.size(); ++I)
    World.start(I);
  World.runFor(25s);
  for (std::size_t I = 0; I < World.size(); ++I)
    World.setPlatformCut(I, PlatformDown);
  Figures F;
  std::map<ClaimToken, TimePoint> Asked;
  World.m_OnDecide = [&](ProcessId, const ClaimToken &Token,
                         const ClaimReply &Reply) {
    if (Reply.m_Verdict == ClaimVerdict::Granted)
      F.m_Latencies.push_back(milliseconds(World.now() - Asked[Token]));
  };
  std::exponential_distribution<double> Gap(Rate);
  FakePlatformCounts Before = World.table().counts();
  std::uint64_t Messages = World.messages();
  TimePoint End = World.now() + RunTime;
  while (World.now() < End) {
    RequestId Key("key-" + std::to_string(++F.m_Asked));
    World.post(World.current(World.random()() % World.size()), 0ms,
               [&, Key](ClaimNode &Node, TimePoint Now) {
                 Asked[Node.claim(Key, Patience, Now)] = Now;
               });
    auto Wait = std::chrono::duration<double>(Gap(World.random()));
    World.runFor(std::chrono::duration_cast<Duration>(Wait));
  }
  double Seconds = std::chrono::duration<double>(RunTime).count();
  F.m_TransactionsPerSecond =
      static_cast<double>(World.table().counts().m_Transactions -
                          Before.m_Transactions) /
      Seconds;
  F.m_MessagesPerClaim = static_cast<double>(World.messages() - Messages) /
                         static_cast<double>(F.m_Asked);
  World.runFor(2s);
  return F;
}

double processorSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / 1e9;
}

/// Runs the platform's part of one core until it wants nothing more.
void serve(ClaimNode &Node, FakePlatform &Table, TimePoint &Now,
           std::vector<Decide> &Decisions) {
  for (auto Actions = Node.takeActions(); !Actions.empty();
       Actions = Node.takeActions()) {
    Now += 100ms;
    for (Action &A : Actions) {
      if (auto *Call = std::get_if<RunTransaction>(&A))
        Node.onTransacted(Table.transact(Call->m_Transaction, Call->m_Priority),
                          Now);
      else if (auto *Read = std::get_if<ReadRows>(&A))
        Node.onRead(Table.read(Read->m_Keys, CallPriority::Safety), Now);
      else if (auto *Done = std::get_if<Decide>(&A))
        Decisions.push_back(std::move(*Done));
    }
    Node.tick(Now);
  }
}

/// Claims and completes \p Count keys at their owner.
void measureCore(int Count, const std::string &Body) {
  auto Table = std::make_unique<FakePlatform>();
  ClaimSettings Settings;
  Settings.m_Self = EntryId("10.0.0.1:8080");
  Settings.m_Entries = {{Settings.m_Self, DataCentreName("accra")}};
  Settings.m_ClaimLifetime = std::chrono::hours(1000);
  TimePoint Now{1h};
  ClaimNode Node(Settings, Now);
  std::vector<Decide> Decisions;
  serve(Node, *Table, Now, Decisions);
  double Before = processorSeconds();
  std::vector<RequestId> Keys;
  for (int I = 0; I < Count; I += 100) {
    Keys.clear();
    for (int J = I; J < I + 100; ++J) {
      Keys.emplace_back("order-2026-12-03-" + std::to_string(J));
      Node.claim(Keys.back(), 10s, Now);
    }
    serve(Node, *Table, Now, Decisions);
    for (std::size_t J = 0; J < Decisions.size(); ++J)
      Node.complete(Keys[J], Decisions[J].m_Token, Answer{200, {}, Body}, Now);
    Decisions.clear();
    serve(Node, *Table, Now, Decisions);
  }
  double Used = processorSeconds() - Before;
  // What the fake holds is not the core's.
  Table.reset();
  malloc_trim(0);
  std::printf("%8d %10zu %12zu %14.1f\n", Count, Body.size(),
              static_cast<std::size_t>(mallinfo2().uordblks) / 1024,
              1e6 * Used / Count);
}

} // namespace

int main(int Argc, char **Argv) {
  std::uint64_t Seed = 1;
  if (Argc > 2 && std::string(Argv[1]) == "--seed")
    Seed = std::strtoull(Argv[2], nullptr, 10);
  std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
  std::printf("%-22s %5s %8s %8s %10s %9s %9s\n", "way", "per s", "p50 ms",
              "p99 ms", "granted", "txn per s", "msg/claim");
  for (int Rate : Rates) {
    print("transaction per claim", Rate, transactionPerClaim(Seed, Rate));
    print("memory and witness", Rate, owners(Seed, Rate, true));
    print("owner, group commit", Rate, owners(Seed, Rate, false));
  }
  std::printf("\n%8s %10s %12s %14s\n", "claims", "body bytes", "heap KiB",
              "cpu us/claim");
  for (const std::string &Body : {std::string(), std::string(1024, 'x')})
    for (int Size : Sizes)
      measureCore(Size, Body);
  return 0;
}
