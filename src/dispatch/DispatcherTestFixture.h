//===- DispatcherTestFixture.h - A dispatcher under test --------*- C++ -*-===//
//
// One pool "desk" of instances i0, i1, ... with the service "swap"; time moves
// only as the test says. For tests only.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DISPATCH_DISPATCHERTESTFIXTURE_H
#define POLLENSPOOL_DISPATCH_DISPATCHERTESTFIXTURE_H

#include "dispatch/Dispatcher.h"

namespace pollenspool {

class DispatcherTestFixture {
public:
  explicit DispatcherTestFixture(std::uint32_t Instances,
                                 RequestPolicy Policy = generousPolicy())
      : m_Core(
            Dispatcher::create({DataCentreName("howrah"), 1, 1, "static-share"})
                .value()) {
    m_Document.m_Pools.push_back({PoolName("desk"), Instances, 1, 1, false});
    m_Document.m_Services.push_back({ServiceName("swap"), PoolName("desk")});
    m_Document.m_Policy = Policy;
    m_Core.setDocument(std::make_shared<Document>(m_Document));
    for (std::uint32_t I = 0; I < Instances; ++I)
      m_Targets.push_back(target(I, true, 1));
    m_Core.setInstances(m_Targets, m_Now);
  }

  /// Retries without a limit but the attempts.
  static RequestPolicy generousPolicy() {
    RequestPolicy Policy;
    Policy.m_RetryBudget = 1;
    return Policy;
  }

  static InstanceTarget target(std::uint32_t I, bool Accepts,
                               std::uint64_t Epoch) {
    return {InstanceId("i" + std::to_string(I)),
            PoolName("desk"),
            DataCentreName("howrah"),
            RackName("r"),
            "127.0.0.1:" + std::to_string(I),
            Accepts,
            Epoch};
  }

  RequestInfo request(const std::string &Id) const {
    RequestInfo Info;
    Info.m_Id = RequestId(Id);
    Info.m_Service = ServiceName("swap");
    Info.m_Deadline = m_Now + std::chrono::seconds(10);
    return Info;
  }

  Ticket submit(const RequestInfo &Info) {
    Ticket T = m_Core.submit(Info, m_Now);
    drain();
    return T;
  }

  void finishTry(const Action &Start, TryResult Result,
                 Reason Why = Reason::None, int Status = 200) {
    Answer Whole;
    Whole.m_Status = Status;
    m_Core.finishTry(Start.m_Ticket, Start.m_Try, Result, Why, Whole, m_Now);
    drain();
  }

  /// Takes the actions since the last call into m_Seen.
  void drain() {
    for (Action &A : m_Core.takeActions())
      m_Seen.push_back(std::move(A));
  }

  /// The last action of \p Kind for \p T, or an empty one.
  Action last(Ticket T, ActionKind Kind) const {
    Action Found;
    Found.m_Outcome.m_Reason = Reason::BadRequest;
    for (const Action &A : m_Seen)
      if (A.m_Ticket == T && A.m_Kind == Kind)
        Found = A;
    return Found;
  }

  std::size_t count(Ticket T, ActionKind Kind) const {
    std::size_t Count = 0;
    for (const Action &A : m_Seen)
      Count += A.m_Ticket == T && A.m_Kind == Kind ? 1 : 0;
    return Count;
  }

  Document m_Document;
  Dispatcher m_Core;
  std::vector<InstanceTarget> m_Targets;
  std::vector<Action> m_Seen;
  TimePoint m_Now{std::chrono::seconds(1000)};
};

} // namespace pollenspool

#endif // POLLENSPOOL_DISPATCH_DISPATCHERTESTFIXTURE_H
