//===- DispatcherTestFixture.h - Fixture for dispatcher tests ---*- C++ -*-===//
//
// A dispatcher with one pool "desk" of instances i0, i1, ... and the service
// "swap". Time advances only when the test changes it. For tests only.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DISPATCH_DISPATCHERTESTFIXTURE_H
#define POLLENSPOOL_DISPATCH_DISPATCHERTESTFIXTURE_H

#include "dispatch/Dispatcher.h"

namespace pollenspool {

class DispatcherTestFixture {
public:
  explicit DispatcherTestFixture(std::uint32_t Instances,
                                 RequestPolicy Policy = unlimitedRetryPolicy())
      : m_Dispatcher(
            Dispatcher::create({DataCentreName("howrah"), 1, 1, "static-share"})
                .value()) {
    m_Document.m_Pools.push_back({PoolName("desk"), Instances, 1, 1, false});
    m_Document.m_Services.push_back({ServiceName("swap"), PoolName("desk")});
    m_Document.m_Policy = Policy;
    m_Dispatcher.setDocument(std::make_shared<Document>(m_Document));
    for (std::uint32_t I = 0; I < Instances; ++I)
      m_Targets.push_back(target(I, true, 1));
    m_Dispatcher.setInstances(m_Targets, m_Now);
  }

  /// A policy whose retry budget allows a retry after each first try.
  static RequestPolicy unlimitedRetryPolicy() {
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
    Ticket T = m_Dispatcher.submit(Info, m_Now);
    collectActions();
    return T;
  }

  void finishTry(const Action &Start, TryResult Result,
                 Reason Why = Reason::None, int Status = 200) {
    Answer ServerAnswer;
    ServerAnswer.m_Status = Status;
    m_Dispatcher.finishTry(Start.m_Ticket, Start.m_Try, Result, Why,
                           ServerAnswer, m_Now);
    collectActions();
  }

  /// Appends the actions since the last call to m_Actions.
  void collectActions() {
    for (Action &A : m_Dispatcher.takeActions())
      m_Actions.push_back(std::move(A));
  }

  /// The last action of \p Kind for \p T. If there is none, an action with the
  /// reason BadRequest, which no test expects.
  Action last(Ticket T, ActionKind Kind) const {
    Action Found;
    Found.m_Outcome.m_Reason = Reason::BadRequest;
    for (const Action &A : m_Actions)
      if (A.m_Ticket == T && A.m_Kind == Kind)
        Found = A;
    return Found;
  }

  std::size_t count(Ticket T, ActionKind Kind) const {
    std::size_t Count = 0;
    for (const Action &A : m_Actions)
      Count += A.m_Ticket == T && A.m_Kind == Kind ? 1 : 0;
    return Count;
  }

  Document m_Document;
  Dispatcher m_Dispatcher;
  std::vector<InstanceTarget> m_Targets;
  std::vector<Action> m_Actions;
  TimePoint m_Now{std::chrono::seconds(1000)};
};

} // namespace pollenspool

#endif // POLLENSPOOL_DISPATCH_DISPATCHERTESTFIXTURE_H
