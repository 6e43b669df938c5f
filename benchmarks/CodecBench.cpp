//===- CodecBench.cpp - Cost of encoding and decoding messages ------------===//
//
// CodecBench [NAME ...] prints the processor time and the number of memory
// allocations per message of the leader, for all messages or for those whose
// name starts with NAME.
//
//===----------------------------------------------------------------------===//

#include "BackendMessages.h"
#include "Base64.h"
#include "JsonCodec.h"
#include "StoreMessages.h"
#include "jobs/JobRows.h"
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <new>

using namespace pollenspool;

namespace {

std::atomic<std::uint64_t> Allocations{0};

/// Bounds the effect of interruptions: the fastest of several rounds counts.
constexpr int Rounds = 7;
constexpr Duration RoundLength = std::chrono::milliseconds(60);

Duration processorTime() {
  timespec Spec{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Spec);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Spec.tv_sec) +
      std::chrono::nanoseconds(Spec.tv_nsec));
}

/// Keeps the compiler from leaving out the work behind \p Value.
template <typename T> void keep(const T &Value) {
  asm volatile("" : : "g"(&Value) : "memory");
}

template <typename F>
void measure(const char *Name, const std::vector<std::string> &Selected,
             F Work) {
  auto IsPrefix = [Name](const std::string &Prefix) {
    return std::string_view(Name).substr(0, Prefix.size()) == Prefix;
  };
  if (!Selected.empty() &&
      std::none_of(Selected.begin(), Selected.end(), IsPrefix))
    return;
  std::uint64_t Before = Allocations;
  keep(Work());
  std::uint64_t PerMessage = Allocations - Before;
  double Best = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::uint64_t Messages = 0;
    TimePoint::duration Start = processorTime(), Used{0};
    while (Used < RoundLength) {
      for (int N = 0; N < 32; ++N)
        keep(Work());
      Messages += 32;
      Used = processorTime() - Start;
    }
    double Mean =
        static_cast<double>(Used.count()) / static_cast<double>(Messages);
    Best = Round == 0 ? Mean : std::min(Best, Mean);
  }
  std::printf("%-26s %10.3f %12llu\n", Name, Best,
              static_cast<unsigned long long>(PerMessage));
  std::fflush(stdout);
}

const std::string Peer = "127.0.0.1:8080";
const std::string Job = "5c0e7a21d94b36f8";

StartOrder startOrder() {
  StartOrder Order;
  Order.m_Server = {ServerId("crewdesk-17"), Peer};
  Order.m_Run = {{JobId(Job), 0, 1, 17}, 2};
  Order.m_Text = std::string(120, 't');
  Order.m_Checkpoint = "00000bb87a21d94b";
  Order.m_LeaseUntilMs = 486000;
  Order.m_Term = 7;
  return Order;
}

PollOrder pollOrder() {
  PollOrder Order;
  Order.m_Server = startOrder().m_Server;
  Order.m_Term = 7;
  Order.m_LeaseUntilMs = 486000;
  Order.m_AcknowledgedEndNumber = 57;
  Order.m_Wait = std::chrono::milliseconds(1000);
  return Order;
}

HttpReply pollReply() {
  std::string Rows;
  for (int N = 0; N < 8; ++N)
    Rows += std::string(N == 0 ? "" : ",") + "[\"" + Job + ".0.1." +
            std::to_string(10 + N) + R"(",2,"00000bb87a21d94b",41,4500])";
  return {200,
          {},
          R"({"clock-ms":482113,"born":1790000000000,"running":[)" + Rows +
              R"(],"ended":[[58,")" + Job + R"(.0.1.9",1,"done",""]]})"};
}

JobSpec jobSpec() {
  JobSpec Spec;
  Spec.m_Id = JobId(Job);
  Spec.m_Queue = QueueName("crew-ask");
  Spec.m_Pool = PoolName("crewdesk");
  Spec.m_Text = std::string(120, 't');
  StepSpec Step;
  Step.m_Count = 8;
  Step.m_RequiredResources = {4500, 13000, 0};
  Step.m_Estimate = std::chrono::milliseconds(1000);
  Spec.m_Steps = {Step, Step};
  Spec.m_Steps[1].m_After = {0};
  Spec.m_AcceptedAt = std::chrono::milliseconds(1790000000000);
  return Spec;
}

JobProgress jobProgress() {
  JobProgress P;
  P.m_State = JobState::Running;
  P.m_ChangedAt = std::chrono::milliseconds(1790000000000);
  P.m_Done[{0, 0}] = std::vector<bool>(8, true);
  P.m_Done[{0, 1}] = {true, false, false, true, true, false, true, false};
  P.m_Failures[{0, 1, 3}] = {1};
  P.m_StartedSteps = {{0, 0}, {0, 1}};
  return P;
}

/// A job with many steps, of which each is half done.
JobProgress longProgress() {
  JobProgress P = jobProgress();
  for (std::uint32_t Step = 0; Step < 40; ++Step) {
    P.m_Done[{0, Step}] = std::vector<bool>(64, Step % 2 == 0);
    P.m_StartedSteps.emplace(0, Step);
  }
  return P;
}

RowTransaction transaction() {
  RowTransaction Txn;
  for (int N = 0; N < 33; ++N) {
    JobId Id("5c0e7a21d94b36" + std::to_string(10 + N));
    Txn.m_Conditions.push_back({jobStateAddress(Id), 482113});
    Txn.m_Puts.push_back({jobStateAddress(Id), encodeProgress(jobProgress())});
    Txn.m_Deletes.push_back(liveJobAddress(Id));
  }
  return Txn;
}

HttpReply feedReply() {
  std::string Rows;
  for (int N = 0; N < 100; ++N) {
    RowAddress At = liveJobAddress(JobId(Job + std::to_string(N)));
    Rows += std::string(N == 0 ? "" : ",") + R"({"table":")" + At.m_Table +
            R"(","part":")" + At.m_Partition + R"(","key":")" + At.m_Key +
            R"(","ver":)" + std::to_string(482113 + N) + R"(,"value":")" +
            encodeBase64(encodeJob(jobSpec())) + "\"}";
  }
  return {200, {}, R"({"rows":[)" + Rows + R"(],"ver":482300,"now-ms":91234})"};
}

/// A configuration with so many queues, as an operator writes it.
std::string configuration(std::size_t Queues) {
  std::string Text = R"({"version":54,"routes":[)";
  for (std::size_t N = 0; N < Queues; ++N)
    Text += std::string(N == 0 ? "" : ",") + R"({"name":"r-)" +
            std::to_string(100000 + N) + R"(","host":"nybo)" +
            std::to_string(N % 20) + R"(.example","prefix":"/ahmvxv)" +
            std::to_string(N) +
            R"(/","service":"crewdesk","priority":1,"attempts":2,)"
            R"("stretch":1.6,"slo-ms":600,"timeout-ms":3000})";
  return Text +
         R"(],"services":[{"name":"crewdesk","rejects-overload":true}],)"
         R"("tenants":[{"name":"t1","api-keys":["k1","k2"],"weight":4}],)"
         R"("limits":{"routes":8000}})";
}

/// A reply of the store with one row.
HttpReply rowReply(const std::string &Value) {
  return {
      200,
      {},
      R"({"rows":[{"table":"op","part":"","key":"config","ver":9,"value":")" +
          encodeBase64(Value) + R"("}],"has-more":false,"ver":12,"now-ms":9})"};
}

void measureConfigurations(const std::vector<std::string> &Selected) {
  for (std::size_t Queues : {50, 1450, 6000}) {
    std::string Text = configuration(Queues);
    std::string Count = std::to_string(Queues) + " queues";
    measure(("configuration, " + Count).c_str(), Selected,
            [&] { return decodeConfig(Text); });
    measure(("its reply, " + Count).c_str(), Selected,
            [Reply = rowReply(Text)] { return decodeRowPage(Reply, Peer); });
  }
}

void measureBackend(const std::vector<std::string> &Selected) {
  Result<HttpReply> Started = HttpReply{200, {}, R"({"clock-ms":482113})"};
  Result<HttpReply> Refused =
      HttpReply{409, {}, R"({"clock-ms":482113,"reason":"room"})"};
  measure("start order", Selected,
          [Order = startOrder()] { return encodeStart(Order); });
  measure("start reply", Selected, [&] { return toStartReply(Started, Peer); });
  measure("start refusal", Selected,
          [&] { return toStartReply(Refused, Peer); });
  measure("poll order", Selected,
          [Order = pollOrder()] { return encodePoll(Order); });
  measure("poll reply", Selected,
          [Reply = pollReply()] { return decodePollReply(Reply, Peer); });
}

void measureStore(const std::vector<std::string> &Selected) {
  measure("transaction of 33 jobs", Selected,
          [Txn = transaction()] { return encodeTransaction(Txn); });
  measure("commit reply", Selected,
          [Reply = HttpReply{200, {}, R"({"ver":482113,"now-ms":91234})"}] {
            return decodeCommitReply(Reply, Peer);
          });
  measure("feed of 100 jobs", Selected,
          [Reply = feedReply()] { return decodeRowPage(Reply, Peer); });
  std::string Row = encodeJob(jobSpec()), Base64Row = encodeBase64(Row);
  measure("base64 encoding of a job", Selected,
          [&] { return encodeBase64(Row); });
  measure("base64 decoding of a job", Selected,
          [&] { return decodeBase64(Base64Row); });
}

void measureRows(const std::vector<std::string> &Selected) {
  measure("encodeJob", Selected,
          [Spec = jobSpec()] { return encodeJob(Spec); });
  measure("decodeJob", Selected,
          [Row = encodeJob(jobSpec())] { return decodeJob(Row); });
  measure("encodeProgress", Selected,
          [P = jobProgress()] { return encodeProgress(P); });
  measure("decodeProgress", Selected, [Row = encodeProgress(jobProgress())] {
    return decodeProgress(Row);
  });
  measure("encodeProgress, 40 steps", Selected,
          [P = longProgress()] { return encodeProgress(P); });
  measure(
      "decodeProgress, 40 steps", Selected,
      [Row = encodeProgress(longProgress())] { return decodeProgress(Row); });
}

} // namespace

// Not inlined: the compiler would warn of memory of operator new that is passed
// to free().
[[gnu::noinline]] void *operator new(std::size_t Size) {
  ++Allocations;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *Memory) noexcept {
  std::free(Memory);
}
[[gnu::noinline]] void operator delete(void *Memory, std::size_t) noexcept {
  std::free(Memory);
}

int main(int Argc, char **Argv) {
  std::vector<std::string> Selected(Argv + 1, Argv + Argc);
  std::printf("%-26s %10s %12s\n", "message", "us", "allocations");
  measureBackend(Selected);
  measureStore(Selected);
  measureConfigurations(Selected);
  measureRows(Selected);
  return 0;
}
