//===- ServingViewTest.cpp - Tests of the fleet view ----------------------===//

#include "view/ServingView.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

VersionedRow row(const char *Id, ServingState State, Revision At) {
  VersionedRow Row;
  Row.m_Row.m_Id = InstanceId(Id);
  Row.m_Row.m_Pool = PoolName("p");
  Row.m_Row.m_State = State;
  Row.m_Revision = At;
  return Row;
}

ListedInstance listed(const char *Id, InstanceState State,
                      std::uint64_t Epoch) {
  ListedInstance L;
  L.m_Id = InstanceId(Id);
  L.m_DataCentre = DataCentreName("a");
  L.m_Address = "127.0.0.1:1";
  L.m_State = State;
  L.m_Epoch = Epoch;
  return L;
}

bool accepts(const ServingView &View) {
  auto Targets = View.targets(DataCentreName("a"));
  return Targets.size() == 1 && Targets[0].m_AcceptsWork;
}

} // namespace

TEST_GROUP(ServingView){};

TEST(ServingView, NeedsRowAndListEntryToSendWork) {
  ServingView View;
  View.mergeRows({row("i", ServingState::Serving, 1)});
  CHECK(View.targets(DataCentreName("a")).empty());
  View.mergeInstanceList({listed("i", InstanceState::Live, 1)});
  CHECK(accepts(View));
  CHECK(View.targets(DataCentreName("b")).empty());
}

TEST(ServingView, OutdatedInputDoesNotReplaceNewerInput) {
  ServingView View;
  View.mergeRows({row("i", ServingState::Serving, 1)});
  View.mergeInstanceList({listed("i", InstanceState::Leaving, 5)});
  CHECK(View.mergeInstanceList({listed("i", InstanceState::Live, 4)}).empty());
  CHECK(!accepts(View));
  View.mergeInstanceList({listed("i", InstanceState::Live, 6)});
  CHECK(accepts(View));
  View.mergeRows({row("i", ServingState::Draining, 9)});
  CHECK(View.mergeRows({row("i", ServingState::Serving, 8)}).empty());
  CHECK(!accepts(View));
}

TEST(ServingView, NoticeIsUnchangedByEncodingAndDecoding) {
  ServingView View;
  View.mergeRows({row("i", ServingState::Draining, 7)});
  View.mergeInstanceList({listed("i", InstanceState::Leaving, 3)});
  auto Read = decodeNotice(encodeNotice(View.fullNotice()));
  CHECK(Read.has_value());
  ServingView Other;
  CHECK(Other.mergeNotice(Read.value()));
  CHECK(!Other.mergeNotice(Read.value()));
  LONGS_EQUAL(7, Other.findRow(InstanceId("i"))->m_Revision);
  LONGS_EQUAL(3, Other.findListed(InstanceId("i"))->m_Epoch);
}

TEST(ServingView, ChangesHoldNewRowsAndAllInstancesThatAreNotLive) {
  ServingView View;
  View.mergeRows({row("old", ServingState::Serving, 1),
                  row("new", ServingState::Serving, 5),
                  row("away", ServingState::Serving, 1)});
  View.mergeInstanceList({listed("old", InstanceState::Live, 1),
                          listed("new", InstanceState::Live, 1),
                          listed("away", InstanceState::Leaving, 2)});
  FleetNotice Changes = View.changesSince(4);
  LONGS_EQUAL(1, Changes.m_Rows.size());
  LONGS_EQUAL(2, Changes.m_Listed.size());
  LONGS_EQUAL(3, View.fullNotice().m_Rows.size());
}

TEST(ServingView, MalformedNoticeIsAnErrorNotAnException) {
  CHECK(!decodeNotice("\xc1garbage").has_value());
  CHECK(!decodeNotice("").has_value());
}
