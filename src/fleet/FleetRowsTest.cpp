//===- FleetRowsTest.cpp - Tests of the row codecs ------------------------===//

#include "fleet/FleetRows.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

TEST_GROUP(FleetRows){};

TEST(FleetRows, EncodingRoundTrips) {
  WaveRow Wave;
  Wave.m_Id = WaveId("w");
  Wave.m_Set = {WaveSetKind::Rack, "r1"};
  Wave.m_MaxBatch = 3;
  Wave.m_Rule = DomainRule::DataCentre;
  Wave.m_State = WaveState::Paused;
  Wave.m_Members = {InstanceId("a"), InstanceId("b")};
  Wave.m_Failed = {{InstanceId("b"), "sick"}};
  std::string Text = encodeRow(Wave);
  STRCMP_EQUAL(Text.c_str(), encodeRow(decodeWaveRow(Text).value()).c_str());
  WaveMemberRow Member{Wave.m_Id, InstanceId("a"), MemberPhase::Failed,
                       7,         "token",         "late"};
  Text = encodeRow(Member);
  STRCMP_EQUAL(Text.c_str(),
               encodeRow(decodeWaveMemberRow(Text).value()).c_str());
  MoveRow Move{MoveId("m"),           InstanceId("a"), PoolName("p"),
               PoolName("q"),         MoveState::Done, "amina",
               "no reason \"at\" all"};
  Text = encodeRow(Move);
  STRCMP_EQUAL(Text.c_str(), encodeRow(decodeMoveRow(Text).value()).c_str());
  BudgetRow Budget{PoolName("p"), {{InstanceId("a"), "move/m"}}};
  Text = encodeRow(Budget);
  STRCMP_EQUAL(Text.c_str(), encodeRow(decodeBudgetRow(Text).value()).c_str());
}

TEST(FleetRows, DecodersRejectInvalidRows) {
  CHECK(decodeMoveRow("").error().m_Code == ErrorCode::InvalidMessage);
  CHECK_FALSE(decodeBudgetRow("{\"pool\":\"p\"}"));
  CHECK_FALSE(decodeRunnerRow("[]"));
  std::string Text = encodeRow(WaveMemberRow{});
  Text.replace(Text.find("draining"), 8, "drowning");
  CHECK_FALSE(decodeWaveMemberRow(Text));
}
