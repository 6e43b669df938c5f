//===- JobRowsTest.cpp - Tests of the storage format of jobs --------------===//

#include "jobs/JobRows.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

const char *const JobRow =
    R"({"accepted":9,"first":7,"id":"a","interval":8,"occurrences":2,)"
    R"("organisation":"o","pool":"p","queue":"q","steps":[[3,4500,13000,1,900,)"
    R"([0,1],true,false,true,"l","r1",2,false,true,"i",50,true,4]],)"
    R"("text":"x\n\u00e9"})";

const char *const StateRow =
    R"({"changed":5,"crashed_servers":true,"crashes":[[[0,1,2],)"
    R"([[3,true,false,true]]]],"done":[[0,0,"110"],[0,1,"01"]],)"
    R"("failures":[[0,1,2,[1,3]]],"organisation":"o","started":[[0,0],[0,1]],)"
    R"("state":1,"suspect_starts":[[[0,1,2],4,"s",17]]})";

std::string replaced(std::string Row, const std::string &Part,
                     const std::string &By) {
  return Row.replace(Row.find(Part), Part.size(), By);
}

std::string errorOf(const std::string &Row) {
  auto Job = decodeJob(Row);
  return Job ? "" : Job.error().m_Detail;
}

std::string stateErrorOf(const std::string &Row) {
  auto State = decodeProgress(Row);
  return State ? "" : State.error().m_Detail;
}

} // namespace

TEST_GROUP(JobRows){};

// Guards against rows of earlier versions that cannot be read, and against
// fields that change places.
TEST(JobRows, ReadsAndKeepsAJob) {
  JobSpec First = decodeJob(JobRow).value();
  for (const JobSpec &Job : {First, decodeJob(encodeJob(First)).value()}) {
    STRCMP_EQUAL("x\n\xc3\xa9", Job.m_Text.c_str());
    STRCMP_EQUAL("apqo", (Job.m_Id.m_Text + Job.m_Pool.m_Text +
                          Job.m_Queue.m_Text + Job.m_Organisation.m_Text)
                             .c_str());
    CHECK_EQUAL(2u, Job.m_Occurrences);
    CHECK_EQUAL(789, Job.m_FirstDue.count() * 100 +
                         Job.m_Interval.count() * 10 +
                         Job.m_AcceptedAt.count());
    const StepSpec &S = Job.m_Steps.at(0);
    CHECK_EQUAL(3u, S.m_Count);
    CHECK_EQUAL(4500, S.m_RequiredResources.m_MilliCores);
    CHECK_EQUAL(13000, S.m_RequiredResources.m_MemoryMb);
    CHECK_EQUAL(1, S.m_RequiredResources.m_Gpus);
    CHECK_EQUAL(900, S.m_Estimate.count());
    CHECK(S.m_After == std::vector<std::uint32_t>({0, 1}));
    CHECK(S.m_WritesCheckpoints && !S.m_Gang && S.m_SameRack);
    STRCMP_EQUAL("lr1i",
                 (S.m_RequiredLabel + S.m_DataRack + S.m_Image).c_str());
    CHECK_EQUAL(2u, S.m_MaxPerServer);
    CHECK(!S.m_Speculative && S.m_IsLongRunning && S.m_IsBestEffort);
    CHECK_EQUAL(50, S.m_TailLatencyTarget.count());
    CHECK_EQUAL(4u, S.m_MaxUnavailable);
  }
}

// Guards against rows of earlier versions that cannot be read, and against
// progress that is lost.
TEST(JobRows, ReadsAndKeepsProgress) {
  JobProgress First = decodeProgress(StateRow).value();
  for (const JobProgress &P :
       {First, decodeProgress(encodeProgress(First)).value()}) {
    CHECK(P.m_State == JobState::Running && P.m_HasCrashedServers);
    CHECK_EQUAL(5, P.m_ChangedAt.count());
    STRCMP_EQUAL("o", P.m_Organisation.m_Text.c_str());
    CHECK((P.m_Done.at({0, 0}) == std::vector<bool>{true, true, false}));
    CHECK((P.m_Done.at({0, 1}) == std::vector<bool>{false, true}));
    const TaskKey Key{0, 1, 2};
    CHECK(P.m_Failures.at(Key) == std::vector<std::uint32_t>({1, 3}));
    const CrashedRun &Crash = P.m_Crashes.at(Key).at(0);
    CHECK(Crash.m_Number == 3 && Crash.m_WasAtWork && !Crash.m_WasRecent &&
          Crash.m_WasAlone);
    const SuspectStart &Start = P.m_SuspectStarts.at(Key);
    CHECK(Start.m_Number == 4 && Start.m_Server == "s" &&
          Start.m_ServerStartTimeMs == 17);
    CHECK_EQUAL(2u, P.m_StartedSteps.size());
  }
}

// Guards against malformed rows that are read, throw or give another error than
// before rows were decoded without a JSON tree.
TEST(JobRows, MalformedRowsAreErrors) {
  STRCMP_EQUAL(
      "[json.exception.type_error.302] type must be number, but is string",
      errorOf(replaced(JobRow, "4500", "\"4500\"")).c_str());
  STRCMP_EQUAL("[json.exception.out_of_range.403] key 'pool' not found",
               errorOf(replaced(JobRow, "\"pool\"", "\"tool\"")).c_str());
  STRCMP_EQUAL("[json.exception.out_of_range.401] array index 17 is out of "
               "range",
               errorOf(replaced(JobRow, ",4]]", "]]")).c_str());
  STRCMP_EQUAL(
      "[json.exception.type_error.302] type must be boolean, but is number",
      errorOf(replaced(JobRow, "true", "1")).c_str());
  STRCMP_EQUAL(
      "state 9",
      stateErrorOf(replaced(StateRow, "\"state\":1", "\"state\":9")).c_str());
  STRCMP_EQUAL("[json.exception.type_error.304] cannot use at() with number",
               stateErrorOf(replaced(StateRow, "[0,1]]", "7]")).c_str());
  for (const std::string &Row : {std::string(JobRow), std::string(StateRow)})
    for (std::size_t Length = 0; Length < Row.size(); ++Length) {
      CHECK_FALSE(decodeJob(Row.substr(0, Length)).has_value());
      CHECK_FALSE(decodeProgress(Row.substr(0, Length)).has_value());
    }
  const std::string Deep(100000, '[');
  CHECK_FALSE(decodeJob(Deep).has_value());
  CHECK_FALSE(decodeProgress(replaced(StateRow, "[[0,0]", Deep)).has_value());
  CHECK_FALSE(decodeJob(replaced(JobRow, "x\\n", "\xff")).has_value());
}
