//===- AdmissionTest.cpp - Tests of admission, queue and service time -----===//

#include "admission/Admission.h"
#include "admission/PoolQueue.h"
#include "admission/ServiceTime.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A pool of 10 slots that are all occupied, for 100 ms each on average.
AdmissionInput busyPool() {
  AdmissionInput Input;
  Input.m_Remaining = seconds(2);
  Input.m_ServiceTime = milliseconds(150);
  Input.m_SlotTime = milliseconds(100);
  Input.m_Capacity = 10;
  Input.m_InFlight = 10;
  Input.m_QueueLimit = 100;
  return Input;
}

QueueKey keyAt(int Ms, Ticket T) { return {TimePoint(milliseconds(Ms)), T}; }

} // namespace

TEST_GROUP(Admission){};

TEST(Admission, RefusesRequestsThatMissTheirDeadline) {
  AdmissionInput Input = busyPool();
  CHECK(decideAdmission(Input).m_Decision == Admission::Admit);
  Input.m_Ahead = 195;
  AdmissionDecision Refused = decideAdmission(Input);
  CHECK(Refused.m_Reason == Reason::DeadlineTooShort);
  // Waiting for 196 slots at 100 slots per second takes 1960 ms. With the
  // service time of 150 ms the request ends 110 ms after its deadline.
  CHECK(Refused.m_RetryAfter == milliseconds(110));
  Input.m_Remaining = milliseconds(149);
  CHECK(decideAdmission(Input).m_RetryAfter == Duration(0));
}

TEST(Admission, ReservesQueuePlacesForUrgentRequests) {
  struct Row {
    UrgencyClass m_Class;
    std::size_t m_Queued;
    Reason m_Reason;
  };
  for (const Row &R : {Row{UrgencyClass::Urgent, 99, Reason::None},
                       Row{UrgencyClass::Urgent, 100, Reason::QueueFull},
                       Row{UrgencyClass::Normal, 84, Reason::None},
                       Row{UrgencyClass::Normal, 85, Reason::QueueFull},
                       Row{UrgencyClass::Nightly, 49, Reason::None},
                       Row{UrgencyClass::Nightly, 50, Reason::QueueFull}}) {
    AdmissionInput Input = busyPool();
    Input.m_Class = R.m_Class;
    Input.m_Queued = R.m_Queued;
    CHECK(decideAdmission(Input).m_Reason == R.m_Reason);
  }
  AdmissionInput Input = busyPool();
  Input.m_Queued = 100;
  Input.m_CanEvict = true;
  CHECK(decideAdmission(Input).m_Decision == Admission::AdmitWithEviction);
}

TEST(Admission, GrantsEachClassAtLeastOneSlot) {
  LONGS_EQUAL(1, classSlotLimit(UrgencyClass::Nightly, 1));
  LONGS_EQUAL(6, classSlotLimit(UrgencyClass::Nightly, 8));
  LONGS_EQUAL(8, classSlotLimit(UrgencyClass::Urgent, 8));
}

TEST_GROUP(PoolQueue){};

TEST(PoolQueue, OrdersByClassThenDeadline) {
  PoolQueue Queue;
  Queue.insert(UrgencyClass::Normal, keyAt(30, 1), true);
  Queue.insert(UrgencyClass::Normal, keyAt(10, 2), true);
  Queue.insert(UrgencyClass::Normal, keyAt(5, 3), false);
  Queue.insert(UrgencyClass::Urgent, keyAt(90, 4), true);
  LONGS_EQUAL(2, Queue.startable(UrgencyClass::Normal, 0)->m_Ticket);
  LONGS_EQUAL(1, Queue.startable(UrgencyClass::Normal, 1)->m_Ticket);
  CHECK_FALSE(Queue.startable(UrgencyClass::Normal, 2).has_value());
  LONGS_EQUAL(3, Queue.ahead(UrgencyClass::Normal, keyAt(30, 1)));
  LONGS_EQUAL(0, Queue.ahead(UrgencyClass::Urgent, keyAt(80, 9)));
  Queue.makeStartable(UrgencyClass::Normal, keyAt(5, 3));
  LONGS_EQUAL(3, Queue.startable(UrgencyClass::Normal, 0)->m_Ticket);
  LONGS_EQUAL(4, Queue.depth());
}

TEST(PoolQueue, EvictsLatestDeadlineOfLeastUrgentClass) {
  PoolQueue Queue;
  Queue.insert(UrgencyClass::Nightly, keyAt(99, 1), false);
  Queue.insert(UrgencyClass::Normal, keyAt(10, 2), true);
  Queue.insert(UrgencyClass::Normal, keyAt(30, 3), true);
  LONGS_EQUAL(3, Queue.evictionCandidate(UrgencyClass::Urgent)->m_Ticket);
  CHECK_FALSE(Queue.evictionCandidate(UrgencyClass::Normal).has_value());
  Queue.insert(UrgencyClass::Nightly, keyAt(1, 4), true);
  LONGS_EQUAL(4, Queue.evictionCandidate(UrgencyClass::Urgent)->m_Ticket);
}

TEST_GROUP(ServiceTime){};

TEST(ServiceTime, EstimatesMeanAndClipsOutliers) {
  ServiceTime Time;
  TimePoint Now{seconds(1)};
  CHECK(Time.mean(Now) == Duration(0));
  for (int I = 0; I < 200; ++I)
    Time.add(milliseconds(100), Now);
  CHECK(Time.mean(Now) == milliseconds(100));
  Time.add(std::chrono::hours(1), Now);
  CHECK(Time.mean(Now) < milliseconds(140));
  CHECK(Time.baseline() == milliseconds(100));
}

TEST(ServiceTime, DecaysWhileIdle) {
  ServiceTime Time;
  TimePoint Now{seconds(1)};
  Time.add(seconds(8), Now);
  CHECK(Time.mean(Now + seconds(20)) == milliseconds(500));
  // A sample after a pause replaces most of the old estimate.
  Time.add(milliseconds(100), Now + seconds(20));
  CHECK(Time.mean(Now + seconds(20)) < milliseconds(700));
}
