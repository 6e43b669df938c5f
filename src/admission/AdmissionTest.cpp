//===- AdmissionTest.cpp - Tests of admission -----------------------------===//

#include "admission/Admission.h"
#include "admission/PoolQueue.h"
#include "admission/ServiceTime.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A pool of 10 slots of 100 ms that are all taken.
AdmissionView busyPool() {
  AdmissionView View;
  View.m_Remaining = seconds(2);
  View.m_ServiceTime = milliseconds(150);
  View.m_SlotTime = milliseconds(100);
  View.m_Capacity = 10;
  View.m_InFlight = 10;
  View.m_QueueBound = 100;
  return View;
}

QueueKey keyAt(int Ms, Ticket T) { return {TimePoint(milliseconds(Ms)), T}; }

} // namespace

TEST_GROUP(Admission){};

TEST(Admission, RefusesWhatCannotBeDoneInTime) {
  AdmissionView View = busyPool();
  CHECK(judgeAdmission(View).m_Decision == Admission::Admit);
  View.m_Ahead = 195;
  AdmissionVerdict Late = judgeAdmission(View);
  CHECK(Late.m_Reason == Reason::DeadlineTooShort);
  // 196 slots at 100 a second, and the run time: 110 ms too late.
  CHECK(Late.m_RetryAfter == milliseconds(110));
  View.m_Remaining = milliseconds(149);
  CHECK(judgeAdmission(View).m_RetryAfter == Duration(0));
}

TEST(Admission, KeepsPlacesForUrgentWork) {
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
    AdmissionView View = busyPool();
    View.m_Class = R.m_Class;
    View.m_Queued = R.m_Queued;
    CHECK(judgeAdmission(View).m_Reason == R.m_Reason);
  }
  AdmissionView View = busyPool();
  View.m_Queued = 100;
  View.m_HasVictim = true;
  CHECK(judgeAdmission(View).m_Decision == Admission::AdmitForVictim);
}

TEST(Admission, GivesEachClassASlot) {
  LONGS_EQUAL(1, slotsFor(UrgencyClass::Nightly, 1));
  LONGS_EQUAL(6, slotsFor(UrgencyClass::Nightly, 8));
  LONGS_EQUAL(8, slotsFor(UrgencyClass::Urgent, 8));
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

TEST(PoolQueue, GivesUpTheLeastUrgentLast) {
  PoolQueue Queue;
  Queue.insert(UrgencyClass::Nightly, keyAt(99, 1), false);
  Queue.insert(UrgencyClass::Normal, keyAt(10, 2), true);
  Queue.insert(UrgencyClass::Normal, keyAt(30, 3), true);
  LONGS_EQUAL(3, Queue.victimFor(UrgencyClass::Urgent)->m_Ticket);
  CHECK_FALSE(Queue.victimFor(UrgencyClass::Normal).has_value());
  Queue.insert(UrgencyClass::Nightly, keyAt(1, 4), true);
  LONGS_EQUAL(4, Queue.victimFor(UrgencyClass::Urgent)->m_Ticket);
}

TEST_GROUP(ServiceTime){};

TEST(ServiceTime, LearnsAndClipsOutliers) {
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

TEST(ServiceTime, FadesSoThatWorkIsTriedAgain) {
  ServiceTime Time;
  TimePoint Now{seconds(1)};
  Time.add(seconds(8), Now);
  CHECK(Time.mean(Now + seconds(20)) == milliseconds(500));
  // What comes after a pause replaces what was learned before.
  Time.add(milliseconds(100), Now + seconds(20));
  CHECK(Time.mean(Now + seconds(20)) < milliseconds(700));
}
