//===- TaskPagesTest.cpp - Tests of job progress in several rows ----------===//

#include "jobs/TaskPages.h"
#include <CppUTest/TestHarness.h>
#include <random>

using namespace pollenspool;

namespace {

JobSpec jobOf(std::vector<std::uint32_t> Counts, std::uint32_t Occurrences) {
  JobSpec Job;
  Job.m_Id = JobId("0123456789abcdef");
  Job.m_Occurrences = Occurrences;
  for (std::uint32_t Count : Counts) {
    Job.m_Steps.emplace_back();
    Job.m_Steps.back().m_Count = Count;
  }
  return Job;
}

} // namespace

TEST_GROUP(TaskPages){};

// Guards against tasks that are in no page or in two, and against pages beyond
// the last one.
TEST(TaskPages, EachTaskHasOnePosition) {
  std::mt19937 Random(1);
  for (int N = 0; N < 50; ++N) {
    std::vector<std::uint32_t> Counts(1 + Random() % 4);
    for (std::uint32_t &Count : Counts)
      Count = 1 + Random() % 90;
    const JobSpec Job = jobOf(Counts, Random() % 5);
    const PageLayout Layout(Job, 1 + Random() % 70);
    std::uint64_t Next = 0;
    for (std::uint32_t K = 0; K < Job.occurrences(); ++K)
      for (std::uint32_t S = 0; S < Counts.size(); ++S)
        for (std::uint32_t I = 0; I < Counts[S]; ++I) {
          const std::uint64_t Position = Layout.position({K, S, I});
          CHECK_EQUAL(Next, Position);
          ++Next;
          const std::uint32_t Page = Layout.pageOf(Position);
          CHECK(Position >= Layout.begin(Page) && Position < Layout.end(Page));
          CHECK(Page < Layout.count() && K <= Layout.lastOccurrenceOf(Page));
        }
    CHECK_EQUAL(Next, Layout.end(Layout.count() - 1));
  }
}

// A page with the longest history that its tasks may have has to fit into a
// row.
TEST(TaskPages, APageOfTheLongestHistoriesFitsIntoARow) {
  TaskPage Page;
  for (std::uint32_t I = 0; I < DefaultPageSize; ++I) {
    const TaskKey Key{999999, 19999, 19999 - I};
    Page.m_Done[Key] = {false};
    Page.m_Failures[Key] =
        std::vector<std::uint32_t>(9, 4000000000U); // ten attempts
    Page.m_Crashes[Key] =
        std::vector<CrashedRun>(4, {4000000000U, false, false, false});
    Page.m_SuspectStarts[Key] = {4000000000U, std::string(200, 's'),
                                 4000000000000000000};
    Page.m_StartedSteps.insert({999999, 19999 - I});
  }
  CHECK(encodePage(Page).size() <= StoreLimits().m_RowBytes);
}

// Guards against pages that are read other than they were written.
TEST(TaskPages, AddsWhatAPageHolds) {
  const JobSpec Job = jobOf({5, 7}, 3);
  TaskPage Page;
  Page.m_Done[{2, 1, 3}] = {true, false, true};
  Page.m_Failures[{2, 1, 4}] = {1, 7};
  Page.m_Crashes[{2, 1, 4}] = {{9, true, false, true}};
  Page.m_SuspectStarts[{2, 1, 4}] = {10, "s", 17};
  Page.m_StartedSteps = {{2, 1}};
  JobProgress Read;
  CHECK(addPage(Read, Job, 4, encodePage(Page)).has_value());
  CHECK((Read.m_Done.at({2, 1}) ==
         std::vector<bool>{false, false, false, true, false, true, false}));
  const TaskKey Key{2, 1, 4};
  CHECK(Read.m_Failures.at(Key) == std::vector<std::uint32_t>({1, 7}));
  CHECK(Read.m_Crashes.at(Key).at(0).m_Number == 9 &&
        Read.m_Crashes.at(Key).at(0).m_WasAlone);
  CHECK(Read.m_SuspectStarts.at(Key).m_Server == "s");
  CHECK_EQUAL(1u, Read.m_StartedSteps.count({2, 1}));
  CHECK_EQUAL(pageHash(encodePage(Page)), Read.m_PageHashes.at(4));
}

// Guards against a damaged row that is read beyond the tasks of its job.
TEST(TaskPages, RefusesPagesOfOtherTasks) {
  const JobSpec Job = jobOf({5}, 0);
  for (const char *Text :
       {R"({"done":[[0,0,4,"11"]]})", R"({"done":[[1,0,0,"1"]]})",
        R"({"done":[[0,1,0,"1"]]})", R"({"done":[[0,0,0,1]]})", "[", ""}) {
    JobProgress Read;
    CHECK_FALSE(addPage(Read, Job, 0, Text).has_value());
    CHECK(Read.m_Done.empty());
  }
}

// An earlier version of the program must not take the row of a job with pages
// for one whose tasks have not run.
TEST(TaskPages, TheStateRowHoldsNoArrayOfDoneTasks) {
  JobProgress State;
  State.m_State = JobState::Running;
  State.m_PageSize = 64;
  State.m_PageGeneration = 12;
  State.m_DonePages = {true, false, false, false, true, true};
  const std::string Row = encodeProgress(State);
  CHECK(Row.find(R"("done":{)") != std::string::npos);
  const JobProgress Read = decodeProgress(Row).value();
  CHECK(Read.isPaged() && Read.m_State == JobState::Running);
  CHECK_EQUAL(12u, Read.m_PageGeneration);
  for (std::uint32_t Page = 0; Page < 10; ++Page)
    CHECK_EQUAL(State.isPageDone(Page), Read.isPageDone(Page));
  for (const char *Bad : {R"({"state":1,"changed":0,"done":{}})",
                          R"({"state":1,"changed":0,"done":{"page_size":0,)"
                          R"("generation":1,"done_pages":""}})",
                          R"({"state":1,"changed":0,"done":{"page_size":1,)"
                          R"("generation":1,"done_pages":"x"}})"})
    CHECK_FALSE(decodeProgress(Bad).has_value());
}

TEST(TaskPages, NamesRows) {
  const JobId Id("0123456789abcdef");
  const RowAddress Prefix = pagePrefix(Id, 77);
  STRCMP_EQUAL("0123456789abcdef.77.0000031",
               pageAddress(Id, 77, 31).m_Key.c_str());
  CHECK_EQUAL(31u, pageNumber(pageAddress(Id, 77, 31), Prefix).value());
  CHECK(hasPrefix(pageAddress(Id, 77, 31), Prefix));
  CHECK(hasPrefix(pageAddress(Id, 7, 31), pagePrefix(Id)));
  CHECK_FALSE(hasPrefix(pageAddress(Id, 7, 31), Prefix));
  RowAddress Other = Prefix;
  CHECK_FALSE(pageNumber(Other, Prefix).has_value());
  Other.m_Key += "3x";
  CHECK_FALSE(pageNumber(Other, Prefix).has_value());
}
