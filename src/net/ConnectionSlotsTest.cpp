//===- ConnectionSlotsTest.cpp - Tests of ConnectionSlots -----------------===//

#include "net/ConnectionSlots.h"
#include <CppUTest/TestHarness.h>
#include <map>
#include <random>

using namespace pollenspool;

namespace {

using Kind = ConnectionAction::Kind;

std::vector<ConnectionAction> takeAll(ConnectionSlots &Slots) {
  std::vector<ConnectionAction> Actions;
  while (auto Next = Slots.next())
    Actions.push_back(*Next);
  return Actions;
}

std::string serverName(std::size_t N) { return "server" + std::to_string(N); }

} // namespace

TEST_GROUP(ConnectionSlots){};

TEST(ConnectionSlots, ReusesTheMostRecentlyUsedIdleConnection) {
  ConnectionSlots Slots({8, 100});
  Slots.addCall(1, "a");
  Slots.addCall(2, "a");
  auto Opened = takeAll(Slots);
  CHECK_EQUAL(2u, Opened.size());
  Slots.release(Opened[1].m_Connection);
  Slots.release(Opened[0].m_Connection);
  Slots.addCall(3, "a");
  auto Third = takeAll(Slots);
  CHECK_EQUAL(1u, Third.size());
  CHECK(Third[0].m_Kind == Kind::Reuse);
  CHECK_EQUAL(Opened[0].m_Connection, Third[0].m_Connection);
}

TEST(ConnectionSlots, APeerAtItsLimitDoesNotHoldBackOthers) {
  ConnectionSlots Slots({1, 100});
  Slots.addCall(1, "a");
  Slots.addCall(2, "a");
  Slots.addCall(3, "b");
  auto Started = takeAll(Slots);
  CHECK_EQUAL(2u, Started.size());
  CHECK_EQUAL(1u, Started[0].m_Call);
  CHECK_EQUAL(3u, Started[1].m_Call);
  CHECK_FALSE(Slots.isTotalLimitBinding());
  Slots.release(Started[0].m_Connection);
  auto Second = takeAll(Slots);
  CHECK_EQUAL(1u, Second.size());
  CHECK_EQUAL(2u, Second[0].m_Call);
}

// After a peak each of hundreds of servers holds idle connections, and the next
// queue's calls go to other servers: the process ran out of file descriptors.
TEST(ConnectionSlots,
     ClosesTheLeastRecentlyUsedConnectionsAfterAPeakElsewhere) {
  constexpr std::size_t Total = 600;
  ConnectionSlots Slots({6, Total});
  CallNumber Call = 0;
  std::vector<ConnectionNumber> Busy;
  for (std::size_t Server = 0; Server < 100; ++Server)
    for (int N = 0; N < 6; ++N)
      Slots.addCall(++Call, serverName(Server));
  for (const ConnectionAction &A : takeAll(Slots))
    Busy.push_back(A.m_Connection);
  CHECK_EQUAL(Total, Busy.size());
  for (ConnectionNumber C : Busy)
    Slots.release(C);
  Slots.addCall(++Call, serverName(200));
  auto Actions = takeAll(Slots);
  CHECK_EQUAL(2u, Actions.size());
  CHECK(Actions[0].m_Kind == Kind::Close);
  CHECK_EQUAL(Busy.front(), Actions[0].m_Connection);
  CHECK(Actions[1].m_Kind == Kind::Open);
  CHECK_EQUAL(Total, Slots.open());
}

TEST(ConnectionSlots, CallsWaitWhileAllConnectionsAreInUse) {
  ConnectionSlots Slots({6, 2});
  Slots.addCall(1, "a");
  Slots.addCall(2, "b");
  Slots.addCall(3, "c");
  Slots.addCall(4, "d");
  auto Started = takeAll(Slots);
  CHECK_EQUAL(2u, Started.size());
  CHECK(Slots.isTotalLimitBinding());
  CHECK(Slots.removeCall(3, "c"));
  CHECK_FALSE(Slots.removeCall(1, "a"));
  Slots.close(Started[0].m_Connection);
  auto Next = takeAll(Slots);
  CHECK_EQUAL(1u, Next.size());
  CHECK_EQUAL(4u, Next[0].m_Call);
  CHECK_EQUAL(0u, Slots.queued());
}

TEST(ConnectionSlots, ACallThatIsAddedAgainKeepsItsPlace) {
  ConnectionSlots Slots({1, 100});
  Slots.addCall(1, "a");
  auto First = takeAll(Slots);
  Slots.addCall(2, "a");
  Slots.close(First[0].m_Connection);
  Slots.addCall(1, "a");
  auto Again = takeAll(Slots);
  CHECK_EQUAL(1u, Again.size());
  CHECK_EQUAL(1u, Again[0].m_Call);
}

TEST(ConnectionSlots, RandomUseNeverExceedsTheLimitsAndLosesNoCall) {
  std::mt19937_64 Random(7);
  ConnectionSlots Slots({3, 40});
  std::map<ConnectionNumber, std::string> Open;
  std::map<CallNumber, std::string> Waiting;
  std::vector<ConnectionNumber> Busy;
  for (CallNumber Call = 1; Call <= 20000; ++Call) {
    std::string Peer = serverName(Random() % 30);
    Waiting[Call] = Peer;
    Slots.addCall(Call, Peer);
    // Calls end at the same rate as they arrive, in random order.
    if (Busy.size() > 20 || Random() % 2 == 0) {
      if (!Busy.empty()) {
        std::size_t At = Random() % Busy.size();
        if (Random() % 10 == 0) {
          Open.erase(Busy[At]);
          Slots.close(Busy[At]);
        } else {
          Slots.release(Busy[At]);
        }
        Busy.erase(Busy.begin() + static_cast<std::ptrdiff_t>(At));
      }
    }
    while (auto Next = Slots.next()) {
      if (Next->m_Kind == Kind::Close) {
        CHECK_EQUAL(1u, Open.erase(Next->m_Connection));
        continue;
      }
      auto It = Waiting.find(Next->m_Call);
      CHECK(It != Waiting.end());
      if (Next->m_Kind == Kind::Open)
        CHECK(Open.emplace(Next->m_Connection, It->second).second);
      CHECK_EQUAL(It->second, Open[Next->m_Connection]);
      Waiting.erase(It);
      Busy.push_back(Next->m_Connection);
    }
    std::map<std::string, std::size_t> PerPeer;
    for (const auto &[Number, At] : Open)
      CHECK(++PerPeer[At] <= 3);
    CHECK(Open.size() <= 40);
    CHECK_EQUAL(Open.size(), Slots.open());
    CHECK_EQUAL(Waiting.size(), Slots.queued());
  }
}
