//===- AcceptanceBench.cpp - Accepted jobs against the store's latency ----===//
//
// AcceptanceBench [--seed N] submits jobs through many entry instances to a
// simulated store in virtual time, and prints how many are accepted per second
// and how many end without a definite answer, for stores that take 1 to 100
// times as long as usual. "single" commits each job by itself, on 16 partitions
// and with fixed timeouts; "batched" is what JobStore does.
//
//===----------------------------------------------------------------------===//

#include "jobs/SubmissionBatcher.h"
#include "scheduling/testing/SimServers.h"
#include "store/StoreLatency.h"
#include <cstdlib>
#include <cstring>
#include <iomanip>
#include <iostream>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr int Instances = 31;
constexpr double JobsPerSecond = 200;
constexpr Duration LoadTime = 10s;
constexpr Duration CallerTimeout = 2850ms;
constexpr Duration UsualCallTimeout = 700ms;
constexpr Duration MaxCallTimeout = 2500ms;

/// Partitions apply transactions one after another. A partition refuses calls
/// while more than a second of them is waiting.
class SlowStore {
public:
  SlowStore(VirtualClock &Clock, int Factor)
      : m_Clock(Clock), m_Factor(Factor) {}

  /// Calls \p Callback when the answer arrives, with whether it was refused.
  void commit(const std::string &Partition,
              std::function<void(bool)> Callback) {
    TimePoint &FreeAt = m_FreeAt[Partition];
    FreeAt = std::max(FreeAt, m_Clock.m_Now);
    bool IsRefused = FreeAt > m_Clock.m_Now + 1s;
    if (!IsRefused)
      FreeAt += m_Factor * 3ms;
    Duration Takes = IsRefused ? Duration(0) : FreeAt - m_Clock.m_Now;
    m_Clock.after(Takes + m_Factor * 4ms, [Callback = std::move(Callback),
                                           IsRefused] { Callback(IsRefused); });
  }

private:
  VirtualClock &m_Clock;
  int m_Factor;
  std::map<std::string, TimePoint> m_FreeAt;
};

struct Outcomes {
  int m_Accepted = 0;
  int m_Refused = 0;
  int m_Unknown = 0;
};

/// One transaction for each job.
class SingleCommits {
public:
  SingleCommits(VirtualClock &Clock, SlowStore &Store, Outcomes &Out)
      : m_Clock(Clock), m_Store(Store), m_Out(Out) {}

  void submit(const JobSpec &Job) {
    auto S = std::make_shared<State>();
    S->m_Partition = std::to_string(std::hash<std::string>()(Job.m_Id.m_Text) %
                                    PartitionCount);
    S->m_Deadline = m_Clock.m_Now + TimeLimit;
    send(S);
  }

private:
  static constexpr std::size_t PartitionCount = 16;
  static constexpr Duration TimeLimit = 1500ms;
  struct State {
    std::string m_Partition;
    TimePoint m_Deadline;
    int m_Call = 0;
    bool m_IsDone = false, m_MayBeStored = false;
  };
  using StatePtr = std::shared_ptr<State>;

  void send(const StatePtr &S) {
    if (S->m_IsDone)
      return;
    if (m_Clock.m_Now >= S->m_Deadline) {
      S->m_IsDone = true;
      ++(S->m_MayBeStored ? m_Out.m_Unknown : m_Out.m_Refused);
      return;
    }
    int Call = ++S->m_Call;
    auto Retry = [this, S, Call] {
      if (S->m_IsDone || S->m_Call != Call)
        return;
      m_Clock.after(SubmissionBatcher::RetryDelay, [this, S] { send(S); });
    };
    m_Store.commit(S->m_Partition, [this, S, Call, Retry](bool IsRefused) {
      if (S->m_IsDone || S->m_Call != Call)
        return;
      if (IsRefused)
        return Retry();
      S->m_IsDone = true;
      ++m_Out.m_Accepted;
    });
    m_Clock.after(
        std::min<Duration>(UsualCallTimeout, S->m_Deadline - m_Clock.m_Now),
        [S, Call, Retry] {
          if (S->m_IsDone || S->m_Call != Call)
            return;
          S->m_MayBeStored = true;
          Retry();
        });
  }

  VirtualClock &m_Clock;
  SlowStore &m_Store;
  Outcomes &m_Out;
};

/// The submissions of one instance, as JobStore sends them.
class BatchedCommits {
public:
  BatchedCommits(VirtualClock &Clock, SlowStore &Store, Outcomes &Out)
      : m_Clock(Clock), m_Store(Store), m_Out(Out) {}

  void submit(const JobSpec &Job) {
    if (m_Latency.expected(m_Clock.m_Now) >= CallerTimeout) {
      ++m_Out.m_Refused;
      return;
    }
    SubmissionNumber Number = m_Batcher.add(Job);
    m_Clock.after(CallerTimeout, [this, Number] {
      if (m_Decided.count(Number) == 0)
        ++(m_Batcher.giveUp(Number) == SubmitResult::OutcomeUnknown
               ? m_Out.m_Unknown
               : m_Out.m_Refused);
    });
    send();
  }

private:
  void send() {
    for (const SubmissionBatcher::Batch &B :
         m_Batcher.takeBatches(m_Clock.m_Now)) {
      auto IsOpen = std::make_shared<bool>(true);
      auto End = [this, IsOpen, Number = B.m_Number,
                  Sent = m_Clock.m_Now](const Result<CommitOutcome> &R) {
        if (!std::exchange(*IsOpen, false))
          return;
        if (R)
          m_Latency.onAnswer(m_Clock.m_Now - Sent, m_Clock.m_Now);
        for (const auto &D : m_Batcher.onResult(Number, R, m_Clock.m_Now)) {
          m_Decided.insert(D.m_Submission);
          ++m_Out.m_Accepted;
        }
        send();
        if (!R)
          m_Clock.after(SubmissionBatcher::RetryDelay, [this] { send(); });
      };
      m_Store.commit(B.m_Txn.m_Puts.front().m_At.m_Partition,
                     [End](bool IsRefused) {
                       CommitOutcome Committed;
                       Committed.m_Committed = true;
                       if (IsRefused)
                         End(makeError(ErrorCode::RateLimited, "commit"));
                       else
                         End(Committed);
                     });
      m_Clock.after(m_Latency.callTimeout(UsualCallTimeout, MaxCallTimeout,
                                          m_Clock.m_Now),
                    [End] { End(makeError(ErrorCode::Timeout, "commit")); });
    }
  }

  VirtualClock &m_Clock;
  SlowStore &m_Store;
  Outcomes &m_Out;
  StoreLatency m_Latency;
  SubmissionBatcher m_Batcher;
  std::set<SubmissionNumber> m_Decided;
};

template <typename Commits> Outcomes run(int Factor, std::uint64_t Seed) {
  VirtualClock Clock;
  SlowStore Store(Clock, Factor);
  Outcomes Out;
  std::vector<std::unique_ptr<Commits>> All;
  for (int N = 0; N < Instances; ++N)
    All.push_back(std::make_unique<Commits>(Clock, Store, Out));
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<> Interarrival(JobsPerSecond);
  double At = 0;
  for (int N = 0; At < std::chrono::duration<double>(LoadTime).count(); ++N) {
    At += Interarrival(Random);
    JobSpec Job;
    Job.m_Id = JobId("job-" + std::to_string(N));
    Job.m_Steps.emplace_back();
    Clock.after(
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(At)),
        [&All, Job, Instance = Random() % Instances] {
          All[Instance]->submit(Job);
        });
  }
  Clock.runUntil(Clock.m_Now + LoadTime + 10s);
  return Out;
}

void print(const char *Name, int Factor, const Outcomes &Out) {
  double Seconds = std::chrono::duration<double>(LoadTime).count();
  std::cout << std::setw(8) << Name << std::setw(8) << Factor << std::setw(14)
            << Out.m_Accepted / Seconds << std::setw(14)
            << Out.m_Refused / Seconds << std::setw(14)
            << Out.m_Unknown / Seconds << "\n";
}

} // namespace

int main(int Argc, char **Argv) {
  std::uint64_t Seed = 1;
  if (Argc == 3 && std::strcmp(Argv[1], "--seed") == 0)
    Seed = std::strtoull(Argv[2], nullptr, 10);
  std::cout << JobsPerSecond << " jobs/s through " << Instances
            << " instances; per second:\n  commits  factor      accepted"
               "       refused       unknown\n";
  for (int Factor : {1, 10, 30, 57, 100}) {
    print("single", Factor, run<SingleCommits>(Factor, Seed));
    print("batched", Factor, run<BatchedCommits>(Factor, Seed));
  }
  return 0;
}
