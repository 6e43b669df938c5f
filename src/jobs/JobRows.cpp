//===- JobRows.cpp - Storage format of jobs -------------------------------===//

#include "jobs/JobRows.h"
#include "base/JsonWriter.h"
#include "base/ReadJson.h"
#include "jobs/TaskRecords.h"
#include <charconv>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pollenspool {

namespace {

/// Expected sizes of parts of the rows, in bytes.
constexpr std::size_t UsualRowSize = 256;
constexpr std::size_t UsualStepSize = 96;

void writeStep(JsonWriter &Row, const StepSpec &S) {
  Row.beginArray()
      .add(S.m_Count)
      .add(S.m_RequiredResources.m_MilliCores)
      .add(S.m_RequiredResources.m_MemoryMb)
      .add(S.m_RequiredResources.m_Gpus)
      .add(S.m_Estimate.count());
  writeNumbers(Row, S.m_After);
  Row.add(S.m_WritesCheckpoints)
      .add(S.m_Gang)
      .add(S.m_SameRack)
      .add(S.m_RequiredLabel)
      .add(S.m_DataRack)
      .add(S.m_MaxPerServer)
      .add(S.m_Speculative)
      .add(S.m_IsLongRunning)
      .add(S.m_Image)
      .add(S.m_TailLatencyTarget.count())
      .add(S.m_IsBestEffort)
      .add(S.m_MaxUnavailable)
      .endArray();
}

template <typename V> std::chrono::milliseconds millisecondsFrom(const V &J) {
  return std::chrono::milliseconds(as<std::int64_t>(J));
}

template <typename V> StepSpec stepFromJson(const V &J) {
  StepSpec S;
  S.m_Count = as<std::uint32_t>(J.at(0));
  S.m_RequiredResources = {as<std::int64_t>(J.at(1)), as<std::int64_t>(J.at(2)),
                           as<std::int64_t>(J.at(3))};
  S.m_Estimate = millisecondsFrom(J.at(4));
  S.m_After = as<std::vector<std::uint32_t>>(J.at(5));
  S.m_WritesCheckpoints = as<bool>(J.at(6));
  S.m_Gang = as<bool>(J.at(7));
  S.m_SameRack = as<bool>(J.at(8));
  S.m_RequiredLabel = as<std::string>(J.at(9));
  S.m_DataRack = as<std::string>(J.at(10));
  S.m_MaxPerServer = as<std::uint32_t>(J.at(11));
  S.m_Speculative = as<bool>(J.at(12));
  S.m_IsLongRunning = as<bool>(J.at(13));
  S.m_Image = as<std::string>(J.at(14));
  S.m_TailLatencyTarget = millisecondsFrom(J.at(15));
  S.m_IsBestEffort = as<bool>(J.at(16));
  S.m_MaxUnavailable = as<std::uint32_t>(J.at(17));
  return S;
}

/// With 64 partitions, a store that is 57 times slower than usual still applies
/// some 370 transactions per second.
constexpr std::size_t JobPartitionCount = 64;

} // namespace

const std::vector<std::string> &jobPartitions() {
  static const std::vector<std::string> Parts = [] {
    std::vector<std::string> Names;
    for (std::size_t N = 0; N < JobPartitionCount; ++N)
      Names.push_back("jobs-" + std::to_string(N));
    return Names;
  }();
  return Parts;
}

const std::string &jobPartition(const JobId &Id) {
  return jobPartitions()[XXH64(Id.m_Text.data(), Id.m_Text.size(), 0) %
                         JobPartitionCount];
}

RowAddress liveJobAddress(const JobId &Id) {
  return {LiveJobsTable, Id.m_Text, jobPartition(Id)};
}

RowAddress jobStateAddress(const JobId &Id) {
  return {JobStatesTable, Id.m_Text, jobPartition(Id)};
}

std::string encodeJob(const JobSpec &Job) {
  JsonWriter Row(UsualRowSize + Job.m_Text.size() +
                 Job.m_Steps.size() * UsualStepSize);
  Row.beginObject()
      .add("id", Job.m_Id.m_Text)
      .add("queue", Job.m_Queue.m_Text)
      .add("pool", Job.m_Pool.m_Text)
      .add("text", Job.m_Text);
  Row.key("steps").beginArray();
  for (const StepSpec &S : Job.m_Steps)
    writeStep(Row, S);
  Row.endArray()
      .add("occurrences", Job.m_Occurrences)
      .add("first", Job.m_FirstDue.count())
      .add("interval", Job.m_Interval.count())
      .add("accepted", Job.m_AcceptedAt.count());
  if (!Job.m_Organisation.empty())
    Row.add("organisation", Job.m_Organisation.m_Text);
  if (Job.m_Rules)
    writeQueueRules(Row.key("rules"), *Job.m_Rules);
  return Row.endObject().take();
}

Result<JobSpec> decodeJob(const std::string &Text) {
  return readCompactJson<JobSpec>(
      "decode job row", {}, Text, [](const auto &J) {
        JobSpec Job;
        Job.m_Id = JobId(as<std::string>(J.at("id")));
        Job.m_Queue = QueueName(as<std::string>(J.at("queue")));
        Job.m_Pool = PoolName(as<std::string>(J.at("pool")));
        Job.m_Organisation = OrganisationName(J.value("organisation", ""));
        if (J.contains("rules"))
          Job.m_Rules = queueRulesFrom(J.at("rules"));
        Job.m_Text = as<std::string>(J.at("text"));
        const auto &Steps = J.at("steps");
        Job.m_Steps.reserve(Steps.size());
        for (const auto &S : Steps)
          Job.m_Steps.push_back(stepFromJson(S));
        Job.m_Occurrences = as<std::uint32_t>(J.at("occurrences"));
        Job.m_FirstDue = millisecondsFrom(J.at("first"));
        Job.m_Interval = millisecondsFrom(J.at("interval"));
        Job.m_AcceptedAt = millisecondsFrom(J.at("accepted"));
        return Job;
      });
}

namespace {

std::string finishProgress(JsonWriter &Row, const JobProgress &Progress) {
  if (!Progress.m_OtherPools.empty()) {
    Row.key("other_pools").beginArray();
    for (const PoolName &Pool : Progress.m_OtherPools)
      Row.add(Pool.m_Text);
    Row.endArray();
  }
  return Row.endObject().take();
}

/// Four bits a digit, the first in the highest place.
std::string bitsToHex(const std::vector<bool> &Bits) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Hex;
  for (std::size_t N = 0; N < Bits.size(); N += 4) {
    unsigned Digit = 0;
    for (std::size_t I = 0; I < 4; ++I)
      Digit = Digit * 2 + (N + I < Bits.size() && Bits[N + I]);
    Hex += Digits[Digit];
  }
  return Hex;
}

std::optional<std::vector<bool>> bitsFromHex(std::string_view Hex) {
  std::vector<bool> Bits;
  for (char C : Hex) {
    unsigned Digit = 0;
    if (std::from_chars(&C, &C + 1, Digit, 16).ec != std::errc())
      return std::nullopt;
    for (unsigned Bit = 8; Bit != 0; Bit /= 2)
      Bits.push_back((Digit & Bit) != 0);
  }
  return Bits;
}

} // namespace

std::string encodeProgress(const JobProgress &Progress) {
  JsonWriter Row(UsualRowSize + Progress.m_Done.size() * UsualStepSize);
  Row.beginObject()
      .add("state", static_cast<int>(Progress.m_State))
      .add("changed", Progress.m_ChangedAt.count());
  if (Progress.m_HasCrashedServers)
    Row.add("crashed_servers", true);
  if (Progress.m_IsUnrecordable)
    Row.add("unrecordable", true);
  if (Progress.m_HasPages)
    Row.add("pages", true);
  if (!Progress.m_Organisation.empty())
    Row.add("organisation", Progress.m_Organisation.m_Text);
  if (!Progress.m_CancelledBy.empty()) {
    Row.key("cancelled_by").beginArray();
    for (const OrganisationName &Name : Progress.m_CancelledBy)
      Row.add(Name.m_Text);
    Row.endArray();
  }
  if (Progress.m_PageSize != 0) {
    // Earlier versions of the program, which do not know of pages, expect an
    // array and refuse the row instead of running the done tasks again.
    Row.key("done")
        .beginObject()
        .add("page_size", Progress.m_PageSize)
        .add("generation", Progress.m_PageGeneration)
        .add("done_pages", bitsToHex(Progress.m_DonePages))
        .endObject();
    return finishProgress(Row, Progress);
  }
  writeRows(Row, "done", Progress.m_Done,
            [&Row](const auto &Step, const std::vector<bool> &Bits) {
              Row.add(Step.first).add(Step.second).add(bitsToText(Bits));
            });
  writeTaskRecords(Row, Progress);
  return finishProgress(Row, Progress);
}

namespace {

/// Reads the tasks and steps of \p J into \p P.
template <typename V> void readSteps(const V &J, JobProgress &P) {
  if (!P.isPaged())
    readRows(J, "done", [&P](const auto &Row) {
      P.m_Done[{as<std::uint32_t>(Row.at(0)), as<std::uint32_t>(Row.at(1))}] =
          bitsFromText(as<std::string_view>(Row.at(2)));
    });
  readTaskRecords(J, P);
  readRows(J, "other_pools", [&P](const auto &Name) {
    P.m_OtherPools.emplace(as<std::string>(Name));
  });
}

} // namespace

Result<JobProgress> decodeProgress(const std::string &Text) {
  return readCompactJson<JobProgress>(
      "decode job state", {}, Text, [](const auto &J) -> Result<JobProgress> {
        JobProgress P;
        int State = as<int>(J.at("state"));
        if (State < 0 || State > static_cast<int>(JobState::Cancelled))
          return makeError(ErrorCode::InvalidMessage, "decode job state", {},
                           "state " + std::to_string(State));
        P.m_State = static_cast<JobState>(State);
        P.m_ChangedAt = millisecondsFrom(J.at("changed"));
        P.m_HasCrashedServers = J.value("crashed_servers", false);
        P.m_IsUnrecordable = J.value("unrecordable", false);
        P.m_Organisation = OrganisationName(J.value("organisation", ""));
        readRows(J, "cancelled_by", [&P](const auto &Name) {
          P.m_CancelledBy.emplace(as<std::string>(Name));
        });
        P.m_HasPages = J.value("pages", false);
        if (J.contains("done") && isObject(J.at("done"))) {
          const auto &Pages = J.at("done");
          P.m_PageSize = as<std::uint32_t>(Pages.at("page_size"));
          P.m_PageGeneration = as<std::uint64_t>(Pages.at("generation"));
          auto Done = bitsFromHex(as<std::string_view>(Pages.at("done_pages")));
          if (P.m_PageSize == 0 || !Done)
            return makeError(ErrorCode::InvalidMessage, "decode job state", {},
                             "malformed pages");
          P.m_DonePages = std::move(*Done);
        }
        readSteps(J, P);
        return P;
      });
}

} // namespace pollenspool
