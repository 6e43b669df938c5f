//===- PeerLoadTableTest.cpp - Tests of shared load reports ---------------===//

#include "routing/InstanceTable.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

PeerLoadReport report(const char *Peer, std::uint32_t InFlight) {
  PeerLoadReport Loads;
  Loads.m_Peer = EntryId(Peer);
  if (InFlight > 0)
    Loads.m_Report.m_Instances.push_back({InstanceId("i"), InFlight});
  return Loads;
}

/// An instance table of one entry instance out of \p Entries, with one instance
/// of 8 slots.
struct TestTable {
  explicit TestTable(std::uint32_t Entries)
      : m_Table(makeStrategy("shared-reports"), 1) {
    m_Table.setLimits({8, 64, Entries});
    InstanceTarget Target;
    Target.m_Id = InstanceId("i");
    Target.m_Pool = PoolName("p");
    Target.m_AcceptsWork = true;
    m_Table.setTargets({Target});
  }

  std::size_t slots() const { return m_Table.capacity(PoolName("p")).m_Slots; }

  InstanceTable m_Table;
};

} // namespace

TEST_GROUP(PeerLoadTable){};

TEST(PeerLoadTable, UsesSlotsThatPeersLeaveFree) {
  TestTable T(3);
  // No peer has reported, so the window is the static share.
  LONGS_EQUAL(3, T.slots());
  T.m_Table.onPeerLoads(report("a", 1));
  T.m_Table.onPeerLoads(report("b", 0));
  LONGS_EQUAL(7, T.slots());
  T.m_Table.onPeerLoads(report("a", 20));
  LONGS_EQUAL(4, T.slots());
  T.m_Table.onPeerLoads(report("b", 20));
  LONGS_EQUAL(3, T.slots());
}

TEST(PeerLoadTable, KeepsRecentPeerUsageReserved) {
  TestTable T(2);
  T.m_Table.onPeerLoads(report("a", 4));
  for (int Seconds = 0; Seconds < 8; ++Seconds)
    T.m_Table.onPeerLoads(report("a", 0));
  LONGS_EQUAL(4, T.slots());
  for (int Seconds = 0; Seconds < 100; ++Seconds)
    T.m_Table.onPeerLoads(report("a", 0));
  LONGS_EQUAL(8, T.slots());
}

TEST(PeerLoadTable, ReservesTheShareOfASilentPeer) {
  TestTable T(2);
  T.m_Table.onPeerLoads(report("a", 0));
  LONGS_EQUAL(8, T.slots());
  T.m_Table.forgetPeer(EntryId("a"));
  LONGS_EQUAL(4, T.slots());
}

TEST(PeerLoadTable, AppliesKnownLoadsToANewInstance) {
  TestTable T(2);
  T.m_Table.onPeerLoads(report("a", 2));
  LONGS_EQUAL(6, T.slots());
  T.m_Table.setTargets({});
  InstanceTarget Again;
  Again.m_Id = InstanceId("i");
  Again.m_Pool = PoolName("p");
  Again.m_AcceptsWork = true;
  T.m_Table.setTargets({Again});
  LONGS_EQUAL(6, T.slots());
  T.m_Table.forgetPeer(EntryId("a"));
  LONGS_EQUAL(4, T.slots());
}
