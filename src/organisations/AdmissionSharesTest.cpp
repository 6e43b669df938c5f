//===- AdmissionSharesTest.cpp - Tests of admission by organisation -------===//

#include "organisations/AdmissionShares.h"
#include "organisations/ShareMeter.h"
#include <CppUTest/TestHarness.h>
#include <random>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

const OrganisationName Hot("hot"), Usual("usual");
const PoolName Full("full"), Free("free");

/// Submissions of two organisations with a weight of ten jobs per second, over
/// instances that all apply the latest shares.
class Traffic {
public:
  ShareMeter m_Meter;
  AdmissionShares m_Shares;
  TimePoint m_Now{};
  int m_AdmittedHot = 0, m_AdmittedUsual = 0, m_RefusedUsual = 0;

  /// One second of jobs for a full pool, or for one with room.
  void second(int HotJobs, int UsualJobs, bool IsFull) {
    constexpr int Updates = 4;
    for (int N = 0; N < Updates; ++N) {
      for (int J = 0; J < HotJobs / Updates; ++J)
        m_AdmittedHot += submit(Hot);
      for (int J = 0; J < UsualJobs / Updates; ++J)
        ++(submit(Usual) ? m_AdmittedUsual : m_RefusedUsual);
      m_Now += 250ms;
      m_Shares = m_Meter.update(
          IsFull ? std::set<PoolName>{Full} : std::set<PoolName>{}, m_Now);
    }
  }

private:
  bool submit(const OrganisationName &Who) {
    JobId Id(std::to_string(m_Random()));
    if (!admits(m_Shares, 0ms, Id, Who, Full))
      return false;
    m_Meter.onAccepted(Who, 10, m_Now);
    return true;
  }

  std::mt19937_64 m_Random{7};
};

} // namespace

TEST_GROUP(AdmissionShares){};

// One organisation sent eight times its usual for 6 s, and the jobs of all
// others waited behind it.
TEST(AdmissionShares, AHotOrganisationIsHeldToItsShareWhileThereIsNoRoom) {
  Traffic T;
  for (int S = 0; S < 2; ++S)
    T.second(80, 8, true);
  T.m_AdmittedHot = 0;
  for (int S = 0; S < 6; ++S)
    T.second(80, 8, true);
  CHECK(T.m_AdmittedHot > 40);
  CHECK(T.m_AdmittedHot < 90);
  CHECK_EQUAL(0, T.m_RefusedUsual);
}

TEST(AdmissionShares, NothingIsRefusedWhileThereIsRoom) {
  Traffic T;
  for (int S = 0; S < 5; ++S)
    T.second(80, 8, false);
  CHECK_EQUAL(400, T.m_AdmittedHot);
}

TEST(AdmissionShares, AllIsAdmittedSoonAfterABurst) {
  Traffic T;
  for (int S = 0; S < 5; ++S)
    T.second(80, 8, true);
  CHECK_EQUAL(1u, T.m_Shares.m_Fractions.count(Hot));
  for (int S = 0; S < 4; ++S)
    T.second(8, 8, true);
  CHECK(T.m_Shares.m_Fractions.empty());
}

// A new leader that admitted everything let the burst pass at each change.
TEST(AdmissionShares, ANewLeaderContinuesWithTheSharesOfTheEarlierOne) {
  AdmissionShares Earlier;
  Earlier.m_Fractions[Hot] = 0.25;
  ShareMeter Meter;
  Meter.restore(Earlier);
  TimePoint Now{};
  for (int N = 0; N < 30; ++N)
    Meter.onAccepted(Hot, 10, Now);
  Now += 250ms;
  AdmissionShares Shares = Meter.update({Full}, Now);
  CHECK(Shares.m_Fractions.at(Hot) < 1);
}

TEST(AdmissionShares, OldSharesAndPoolsWithRoomRefuseNothing) {
  AdmissionShares Shares;
  Shares.m_Fractions[Hot] = 0;
  Shares.m_FullPools = {Full};
  JobId Id("j");
  CHECK_FALSE(admits(Shares, 0ms, Id, Hot, Full));
  CHECK(admits(Shares, 0ms, Id, Hot, Free));
  CHECK(admits(Shares, 0ms, Id, Usual, Full));
  CHECK(admits(Shares, 2s, Id, Hot, Full));
}

// All callers that were refused at the same time came back at the same time.
TEST(AdmissionShares, RetriesAreSpread) {
  AdmissionShares Shares;
  Shares.m_Fractions[Hot] = 0.25;
  std::map<std::int64_t, int> BySecond;
  for (int N = 0; N < 400; ++N)
    ++BySecond[retryDelay(Shares, JobId(std::to_string(N)), Hot).count()];
  CHECK_EQUAL(4u, BySecond.size());
  for (const auto &[Second, Count] : BySecond)
    CHECK(Count > 60 && Second >= 1 && Second <= 4);
}
