//===- DispatchBench.cpp - Cost of the dispatcher's events ----------------===//
//
// Measures the time of a request from submit to Finish, the memory of a waiting
// request and the time of cancelling waiting requests, each at several sizes to
// show how the cost grows.
//
// Run: DispatchBench.
//
//===----------------------------------------------------------------------===//

#include "dispatch/Dispatcher.h"
#include <algorithm>
#include <cstdio>
#include <deque>
#include <malloc.h>

using namespace pollenspool;
using std::chrono::seconds;

namespace {

constexpr unsigned Repetitions = 5;
constexpr std::size_t Requests = 20000;

/// A dispatcher with one pool and a queue limit that is never reached.
class BenchDispatcher {
public:
  explicit BenchDispatcher(unsigned Instances)
      : m_Dispatcher(
            Dispatcher::create({DataCentreName("dc"), 1, 1, ""}).value()) {
    auto Doc = std::make_shared<Document>();
    Doc->m_Pools.push_back({PoolName("pool")});
    Doc->m_Services.push_back({ServiceName("swap"), PoolName("pool")});
    Doc->m_Policy.m_QueuePerInstance = 1000000;
    m_Dispatcher.setDocument(Doc);
    std::vector<InstanceTarget> Targets;
    for (unsigned I = 0; I < Instances; ++I)
      Targets.push_back({InstanceId("instance-" + std::to_string(I)),
                         PoolName("pool"), DataCentreName("dc"), RackName("r"),
                         "127.0.0.1:1", true, 1});
    m_Dispatcher.setInstances(Targets, m_Now);
  }

  void submit() {
    RequestInfo Info;
    Info.m_Id = idOf(m_Submitted++);
    Info.m_Service = ServiceName("swap");
    // Deadlines are not in submission order, as with requests of several
    // classes and services.
    Info.m_Deadline = m_Now + seconds(100 + m_Submitted * 7919 % 1000);
    m_Dispatcher.submit(Info, m_Now);
    collect();
  }

  void finishOldest() {
    Action Start = std::move(m_Started.front());
    m_Started.pop_front();
    m_Dispatcher.finishTry(Start.m_Ticket, Start.m_Try, TryResult::Answered,
                           Reason::None, Answer(), m_Now);
    collect();
  }

  void fill(std::size_t Waiting) {
    while (queued() < Waiting)
      submit();
  }

  std::size_t queued() const {
    return m_Submitted - m_Finished - m_Started.size();
  }

  /// Cancels \p Count of the requests submitted last.
  std::size_t cancelLast(std::size_t Count) {
    std::vector<RequestId> Ids;
    for (std::size_t I = 1; I <= Count; ++I)
      Ids.push_back(idOf(m_Submitted - I));
    return m_Dispatcher.cancel(Ids, m_Now);
  }

private:
  /// An ID of 36 characters, the length of a UUID.
  static RequestId idOf(std::size_t Number) {
    std::string Digits = std::to_string(Number);
    return RequestId(std::string(36 - Digits.size(), '0') + Digits);
  }

  void collect() {
    for (Action &A : m_Dispatcher.takeActions()) {
      if (A.m_Kind == ActionKind::StartTry)
        m_Started.push_back(std::move(A));
      else if (A.m_Kind == ActionKind::Finish)
        ++m_Finished;
    }
  }

  Dispatcher m_Dispatcher;
  TimePoint m_Now{seconds(1)};
  std::size_t m_Submitted = 0;
  std::size_t m_Finished = 0;
  std::deque<Action> m_Started;
};

template <typename Work> double medianUs(Work Once) {
  std::vector<double> Times;
  for (unsigned I = 0; I < Repetitions; ++I)
    Times.push_back(Once());
  std::sort(Times.begin(), Times.end());
  return Times[Repetitions / 2];
}

template <typename Work> double elapsedUs(Work Run) {
  auto Start = std::chrono::steady_clock::now();
  Run();
  std::chrono::duration<double, std::micro> Taken =
      std::chrono::steady_clock::now() - Start;
  return Taken.count();
}

double requestUs(unsigned Instances, std::size_t Waiting) {
  return medianUs([&] {
    BenchDispatcher B(Instances);
    B.fill(Waiting);
    return elapsedUs([&] {
             for (std::size_t I = 0; I < Requests; ++I) {
               B.submit();
               B.finishOldest();
             }
           }) /
           double(Requests);
  });
}

double cancelUs(std::size_t Waiting, std::size_t Count) {
  return medianUs([&] {
    BenchDispatcher B(12);
    B.fill(Waiting);
    std::size_t Cancelled = 0;
    double Us = elapsedUs([&] { Cancelled = B.cancelLast(Count); });
    return Cancelled == Count ? Us : -1;
  });
}

double bytesPerWaiting(std::size_t Waiting) {
  BenchDispatcher B(12);
  B.fill(1);
  std::size_t Before = mallinfo2().uordblks;
  B.fill(Waiting + 1);
  return double(mallinfo2().uordblks - Before) / double(Waiting);
}

} // namespace

int main() {
  std::printf("request, 12 instances\n%10s %12s\n", "waiting", "us/request");
  for (std::size_t Waiting : {0, 1000, 10000, 100000})
    std::printf("%10zu %12.2f\n", Waiting, requestUs(12, Waiting));
  std::printf("request, 1000 waiting\n%10s %12s\n", "instances", "us/request");
  for (unsigned Instances : {4, 12, 100, 1000})
    std::printf("%10u %12.2f\n", Instances, requestUs(Instances, 1000));
  std::printf("memory\n%10s %12s\n", "waiting", "bytes each");
  for (std::size_t Waiting : {1000, 10000, 100000})
    std::printf("%10zu %12.0f\n", Waiting, bytesPerWaiting(Waiting));
  std::printf("cancel\n%10s %10s %12s %12s\n", "waiting", "cancelled", "ms",
              "us each");
  for (std::size_t Waiting : {10000, 30000, 100000})
    for (std::size_t Count : {1000, 3000, 10000}) {
      double Us = cancelUs(Waiting, Count);
      std::printf("%10zu %10zu %12.2f %12.2f\n", Waiting, Count, Us / 1000,
                  Us / double(Count));
    }
  return 0;
}
