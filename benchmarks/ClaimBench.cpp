//===- ClaimBench.cpp - Cost of claims ------------------------------------===//
// ClaimBench [--seed N]. Part one simulates a network of 9 entry instances and
// a platform of limited capacity. It compares one transaction per claim, claims
// granted from memory (the platform is unreachable) and owners with group
// commit. Part two measures memory and CPU time per claim in the claim core.
//===----------------------------------------------------------------------===//

#include "claims/testing/ClaimSimulation.h"
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
/// Processing time of one transaction; gives a platform capacity of 400
/// transactions per second.
constexpr Duration TransactionTime = 2500us;
constexpr Duration PlatformDelay = 4ms;
constexpr Duration PeerDelay = 3ms;
constexpr std::chrono::milliseconds ClaimTimeout = 1s;
constexpr int ClaimRates[] = {100, 400, 1600};
constexpr int ClaimCounts[] = {20000, 40000, 80000};

struct BenchmarkResult {
  std::vector<double> m_Latencies;
  std::uint64_t m_Claims = 0;
  double m_TransactionsPerSecond = 0;
  double m_MessagesPerClaim = 0;
};

double milliseconds(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

double quantile(std::vector<double> Values, double Quantile) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Quantile * Last)];
}

void print(const char *Variant, int Rate, const BenchmarkResult &Measured) {
  auto Granted = static_cast<double>(Measured.m_Latencies.size());
  std::printf("%-22s %5d %8.1f %8.1f %9.1f%% %9.0f %9.2f\n", Variant, Rate,
              quantile(Measured.m_Latencies, 0.5),
              quantile(Measured.m_Latencies, 0.99),
              100 * Granted / static_cast<double>(Measured.m_Claims),
              Measured.m_TransactionsPerSecond, Measured.m_MessagesPerClaim);
}

/// Models one transaction per claim: a single queue with the same delays as the
/// simulation.
BenchmarkResult transactionPerClaim(std::uint64_t Seed, int Rate) {
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<double> Interval(Rate);
  std::uniform_real_distribution<double> Delay(0, PlatformDelay.count() / 1e6);
  double Service = static_cast<double>(TransactionTime.count()) / 1e6;
  double End = std::chrono::duration<double>(RunTime).count();
  BenchmarkResult Measured;
  double FreeAt = 0;
  int Done = 0;
  for (double Now = Interval(Random); Now < End; Now += Interval(Random)) {
    ++Measured.m_Claims;
    FreeAt = std::max(FreeAt, Now + Delay(Random)) + Service;
    Done += FreeAt < End ? 1 : 0;
    double Latency = FreeAt + Delay(Random) - Now;
    if (Latency < std::chrono::duration<double>(ClaimTimeout).count())
      Measured.m_Latencies.push_back(1000 * Latency);
  }
  Measured.m_TransactionsPerSecond = Done / End;
  return Measured;
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

BenchmarkResult simulateOwners(std::uint64_t Seed, int Rate,
                               bool PlatformDown) {
  ClaimSimulation Simulation(Seed, nineEntries());
  Simulation.m_Faults.m_MaxDelay = PeerDelay;
  Simulation.m_Faults.m_PlatformDelay = PlatformDelay;
  Simulation.m_Faults.m_TransactionTime = TransactionTime;
  for (std::size_t I = 0; I < Simulation.size(); ++I)
    Simulation.start(I);
  Simulation.runFor(25s);
  for (std::size_t I = 0; I < Simulation.size(); ++I)
    Simulation.setPlatformCut(I, PlatformDown);
  BenchmarkResult Measured;
  std::map<ClaimToken, TimePoint> StartTimes;
  Simulation.m_OnDecision = [&](ProcessId, const ClaimToken &Token,
                                const ClaimReply &Reply) {
    if (Reply.m_Verdict == ClaimVerdict::Granted)
      Measured.m_Latencies.push_back(
          milliseconds(Simulation.now() - StartTimes[Token]));
  };
  std::exponential_distribution<double> Interval(Rate);
  FakePlatformCounts Before = Simulation.table().counts();
  std::uint64_t Messages = Simulation.messages();
  TimePoint End = Simulation.now() + RunTime;
  while (Simulation.now() < End) {
    RequestId Key("key-" + std::to_string(++Measured.m_Claims));
    Simulation.post(
        Simulation.current(Simulation.random()() % Simulation.size()), 0ms,
        [&, Key](ClaimNode &Node, TimePoint Now) {
          StartTimes[Node.claim(Key, ClaimTimeout, Now)] = Now;
        });
    auto Wait = std::chrono::duration<double>(Interval(Simulation.random()));
    Simulation.runFor(std::chrono::duration_cast<Duration>(Wait));
  }
  double Seconds = std::chrono::duration<double>(RunTime).count();
  Measured.m_TransactionsPerSecond =
      static_cast<double>(Simulation.table().counts().m_Transactions -
                          Before.m_Transactions) /
      Seconds;
  Measured.m_MessagesPerClaim =
      static_cast<double>(Simulation.messages() - Messages) /
      static_cast<double>(Measured.m_Claims);
  Simulation.runFor(2s);
  return Measured;
}

double cpuSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / 1e9;
}

/// Executes the platform actions of one core until it emits no more actions.
void runUntilIdle(ClaimNode &Node, FakePlatform &Table, TimePoint &Now,
                  std::vector<ReportDecision> &Decisions) {
  for (auto Actions = Node.takeActions(); !Actions.empty();
       Actions = Node.takeActions()) {
    Now += 100ms;
    for (Action &A : Actions) {
      if (auto *Call = std::get_if<RunTransaction>(&A))
        Node.onTransacted(Table.transact(Call->m_Transaction, Call->m_Priority),
                          Now);
      else if (auto *Read = std::get_if<ReadRows>(&A))
        Node.onRead(Table.read(Read->m_Keys, CallPriority::Safety), Now);
      else if (auto *Done = std::get_if<ReportDecision>(&A))
        Decisions.push_back(std::move(*Done));
    }
    Node.tick(Now);
  }
}

/// Claims and completes \p Count keys at their owner, and prints memory and CPU
/// time per claim.
void measureCoreCost(int Count, const std::string &Body) {
  auto Table = std::make_unique<FakePlatform>();
  ClaimSettings Settings;
  Settings.m_Self = EntryId("10.0.0.1:8080");
  Settings.m_Entries = {{Settings.m_Self, DataCentreName("accra")}};
  Settings.m_ClaimLifetime = std::chrono::hours(1000);
  TimePoint Now{1h};
  ClaimNode Node(Settings, Now);
  std::vector<ReportDecision> Decisions;
  runUntilIdle(Node, *Table, Now, Decisions);
  double Before = cpuSeconds();
  std::vector<RequestId> Keys;
  for (int I = 0; I < Count; I += 100) {
    Keys.clear();
    for (int J = I; J < I + 100; ++J) {
      Keys.emplace_back("order-2026-12-03-" + std::to_string(J));
      Node.claim(Keys.back(), 10s, Now);
    }
    runUntilIdle(Node, *Table, Now, Decisions);
    for (std::size_t J = 0; J < Decisions.size(); ++J)
      Node.complete(Keys[J], Decisions[J].m_Token, Answer{200, {}, Body}, Now);
    Decisions.clear();
    runUntilIdle(Node, *Table, Now, Decisions);
  }
  double Used = cpuSeconds() - Before;
  // Excludes the memory of the fake platform from the measurement.
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
  std::printf("%-22s %5s %8s %8s %10s %9s %9s\n", "variant", "per s", "p50 ms",
              "p99 ms", "granted", "txn per s", "msg/claim");
  for (int Rate : ClaimRates) {
    print("transaction per claim", Rate, transactionPerClaim(Seed, Rate));
    print("granted from memory", Rate, simulateOwners(Seed, Rate, true));
    print("owner, group commit", Rate, simulateOwners(Seed, Rate, false));
  }
  std::printf("\n%8s %10s %12s %14s\n", "claims", "body bytes", "heap KiB",
              "cpu us/claim");
  for (const std::string &Body : {std::string(), std::string(1024, 'x')})
    for (int Size : ClaimCounts)
      measureCoreCost(Size, Body);
  return 0;
}
