//===- ConnectionLedgerTest.cpp - Tests of ConnectionLedger ---------------===//

#include "net/ConnectionLedger.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <random>

using namespace pollenspool;

TEST_GROUP(ConnectionLedger) {
  static constexpr std::size_t Free = 100;
  /// Room for three connections and 1,000 bytes beyond 100 of each.
  ConnectionLedger m_Ledger{{3, 1000, Free}};

  LedgerNumber open(ConnectionPhase Phase, std::size_t Bytes) {
    LedgerNumber Number = m_Ledger.open();
    m_Ledger.begin(Number, Phase, Bytes);
    return Number;
  }
  /// Checks that \p Connection is the only one that has to give way.
  void checkGivesWay(LedgerNumber Connection, ConnectionLimit Limit) {
    auto Eviction = m_Ledger.nextEviction();
    CHECK(Eviction.has_value());
    CHECK_EQUAL(Connection, Eviction->m_Connection);
    CHECK(Eviction->m_Limit == Limit);
    CHECK_FALSE(m_Ledger.nextEviction().has_value());
  }
};

// Idle connections took descriptors without a limit.
TEST(ConnectionLedger, TheLongestIdleConnectionGivesWayToANewOne) {
  LedgerNumber First = m_Ledger.open();
  LedgerNumber Second = m_Ledger.open();
  m_Ledger.open();
  CHECK_FALSE(m_Ledger.nextEviction().has_value());
  // The first has been used again.
  m_Ledger.begin(First, ConnectionPhase::Serving, 0);
  m_Ledger.begin(First, ConnectionPhase::Idle, 0);
  m_Ledger.open();
  checkGivesWay(Second, ConnectionLimit::Connections);
}

// Guards against a job that is accepted without a reply.
TEST(ConnectionLedger, ARequestThatIsServedDoesNotGiveWay) {
  for (int N = 0; N < 3; ++N)
    open(ConnectionPhase::Serving, 5000);
  LedgerNumber New = m_Ledger.open();
  checkGivesWay(New, ConnectionLimit::Connections);
}

// Unfinished requests of many clients took more memory than the machine has.
TEST(ConnectionLedger, TheOldestLargeRequestGivesWay) {
  open(ConnectionPhase::Receiving, Free);
  LedgerNumber Large = open(ConnectionPhase::Receiving, Free + 600);
  LedgerNumber Larger = open(ConnectionPhase::Receiving, Free + 400);
  CHECK_FALSE(m_Ledger.nextEviction().has_value());
  m_Ledger.hold(Larger, Free + 401);
  checkGivesWay(Large, ConnectionLimit::Memory);
  CHECK_EQUAL(401u, m_Ledger.chargedBytes());
}

// A request that is complete would otherwise give way to unfinished ones.
TEST(ConnectionLedger, ACompleteRequestIsTheLastToGiveWay) {
  LedgerNumber Complete = open(ConnectionPhase::Receiving, Free + 600);
  LedgerNumber Unfinished = open(ConnectionPhase::Receiving, Free + 400);
  m_Ledger.begin(Complete, ConnectionPhase::Receiving, Free + 900);
  checkGivesWay(Unfinished, ConnectionLimit::Memory);
}

// While served requests hold all memory, an ordinary request still has its own.
TEST(ConnectionLedger, AnOrdinaryRequestNeedsNoMemoryOfOthers) {
  open(ConnectionPhase::Serving, 5000);
  open(ConnectionPhase::Receiving, Free);
  CHECK_FALSE(m_Ledger.nextEviction().has_value());
  LedgerNumber Large = open(ConnectionPhase::Receiving, Free + 1);
  checkGivesWay(Large, ConnectionLimit::Memory);
}

// A reply that is not read holds memory, too.
TEST(ConnectionLedger, AnUnreadReplyGivesWay) {
  LedgerNumber Unread = open(ConnectionPhase::Sending, Free + 900);
  open(ConnectionPhase::Receiving, Free + 900);
  checkGivesWay(Unread, ConnectionLimit::Memory);
}

// Guards the books: after any sequence, what is charged is what is held.
TEST(ConnectionLedger, RandomSequencesKeepTheLimits) {
  std::mt19937 Random(1);
  std::map<LedgerNumber, std::pair<ConnectionPhase, std::size_t>> Held;
  for (int Step = 0; Step < 20000; ++Step) {
    auto Any = Held.lower_bound(Random() % (m_Ledger.connections() + Step + 1));
    std::size_t Bytes = Random() % 800;
    if (Random() % 3 == 0) {
      Held[m_Ledger.open()] = {ConnectionPhase::Idle, 0};
    } else if (Any != Held.end() && Random() % 4 == 0) {
      m_Ledger.close(Any->first);
      Held.erase(Any);
    } else if (Any != Held.end()) {
      auto Phase = static_cast<ConnectionPhase>(Random() % 4);
      m_Ledger.begin(Any->first, Phase, Bytes);
      Any->second = {Phase, Bytes};
    }
    while (auto Eviction = m_Ledger.nextEviction()) {
      CHECK(Held.at(Eviction->m_Connection).first != ConnectionPhase::Serving);
      Held.erase(Eviction->m_Connection);
    }
    std::size_t Charged = 0;
    bool AllServed = true;
    for (const auto &[Number, State] : Held) {
      Charged += State.second - std::min(State.second, Free);
      AllServed &= State.first == ConnectionPhase::Serving;
    }
    CHECK_EQUAL(Held.size(), m_Ledger.connections());
    CHECK_EQUAL(Charged, m_Ledger.chargedBytes());
    CHECK(Held.size() <= 3 || AllServed);
  }
}
