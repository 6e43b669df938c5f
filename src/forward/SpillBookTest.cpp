//===- SpillBookTest.cpp - Tests of spill capacity ------------------------===//

#include "forward/SpillBook.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

const DataCentreName Other("b");
const PoolName Work("p");

std::uint32_t room(const SpillBook &Book, TimePoint Now) {
  auto Capacity =
      Book.capacity([](const DataCentreName &) { return true; }, Now);
  if (Capacity.empty() || Capacity[0].m_Pools.empty())
    return 0;
  return Capacity[0].m_Pools[0].m_Room;
}

SpillBook bookWith(int Instances) {
  std::vector<InstanceTarget> Targets(Instances);
  for (InstanceTarget &T : Targets) {
    T.m_Pool = Work;
    T.m_AcceptsWork = true;
  }
  SpillBook Book;
  Book.setTargets(Other, Targets, 8);
  return Book;
}

Outcome refusal() {
  Outcome Final;
  Final.m_Reason = Reason::QueueFull;
  return Final;
}

} // namespace

TEST_GROUP(SpillBook){};

TEST(SpillBook, RoomIsSlotsOfAcceptingInstances) {
  LONGS_EQUAL(16, room(bookWith(2), TimePoint{}));
}

TEST(SpillBook, RefusalsCloseThePoolForLongerEachTime) {
  SpillBook Book = bookWith(1);
  TimePoint Now{};
  Book.onOutcome(Other, Work, refusal(), Now);
  LONGS_EQUAL(0, room(Book, Now));
  Now += std::chrono::milliseconds(100);
  LONGS_EQUAL(8, room(Book, Now));
  Book.onOutcome(Other, Work, refusal(), Now);
  LONGS_EQUAL(0, room(Book, Now + std::chrono::milliseconds(150)));
}

TEST(SpillBook, AnAnswerOpensItAgain) {
  SpillBook Book = bookWith(1);
  Book.onOutcome(Other, Work, refusal(), TimePoint{});
  Outcome Good;
  Good.m_Kind = OutcomeKind::Answer;
  Book.onOutcome(Other, Work, Good, TimePoint{});
  LONGS_EQUAL(8, room(Book, TimePoint{}));
}

TEST(SpillBook, LostInstancesLeaveNoRoom) {
  SpillBook Book = bookWith(1);
  Book.setTargets(Other, {}, 8);
  LONGS_EQUAL(0, room(Book, TimePoint{}));
}
