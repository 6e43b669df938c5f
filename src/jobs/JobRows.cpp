//===- JobRows.cpp - Storage format of jobs -------------------------------===//

#include "jobs/JobRows.h"
#include "base/ReadJson.h"
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pollenspool {

namespace {

using Json = nlohmann::json;

Json stepToJson(const StepSpec &S) {
  return Json::array(
      {S.m_Count, S.m_RequiredResources.m_MilliCores,
       S.m_RequiredResources.m_MemoryMb, S.m_RequiredResources.m_Gpus,
       S.m_Estimate.count(), S.m_After, S.m_WritesCheckpoints, S.m_Gang,
       S.m_SameRack, S.m_RequiredLabel, S.m_DataRack, S.m_MaxPerServer,
       S.m_Speculative, S.m_IsLongRunning, S.m_Image,
       S.m_TailLatencyTarget.count(), S.m_IsBestEffort, S.m_MaxUnavailable});
}

StepSpec stepFromJson(const Json &J) {
  StepSpec S;
  S.m_Count = J.at(0);
  S.m_RequiredResources = {J.at(1), J.at(2), J.at(3)};
  S.m_Estimate = std::chrono::milliseconds(J.at(4).get<std::int64_t>());
  S.m_After = J.at(5).get<std::vector<std::uint32_t>>();
  S.m_WritesCheckpoints = J.at(6);
  S.m_Gang = J.at(7);
  S.m_SameRack = J.at(8);
  S.m_RequiredLabel = J.at(9);
  S.m_DataRack = J.at(10);
  S.m_MaxPerServer = J.at(11);
  S.m_Speculative = J.at(12);
  S.m_IsLongRunning = J.at(13);
  S.m_Image = J.at(14);
  S.m_TailLatencyTarget =
      std::chrono::milliseconds(J.at(15).get<std::int64_t>());
  S.m_IsBestEffort = J.at(16);
  S.m_MaxUnavailable = J.at(17);
  return S;
}

std::string bitsToText(const std::vector<bool> &Bits) {
  std::string Text;
  for (bool Bit : Bits)
    Text += Bit ? '1' : '0';
  return Text;
}

std::vector<bool> bitsFromText(const std::string &Text) {
  std::vector<bool> Bits;
  for (char C : Text)
    Bits.push_back(C == '1');
  return Bits;
}

Json keyToJson(const TaskKey &Key) {
  return Json::array({std::get<0>(Key), std::get<1>(Key), std::get<2>(Key)});
}

TaskKey keyFromJson(const Json &J) { return {J.at(0), J.at(1), J.at(2)}; }

Json crashesToJson(const std::vector<CrashedRun> &Runs) {
  Json Rows = Json::array();
  for (const CrashedRun &R : Runs)
    Rows.push_back({R.m_Number, R.m_WasAtWork, R.m_WasRecent, R.m_WasAlone});
  return Rows;
}

std::vector<CrashedRun> crashesFromJson(const Json &Rows) {
  std::vector<CrashedRun> Runs;
  for (const Json &R : Rows)
    Runs.push_back({R.at(0), R.at(1), R.at(2), R.at(3)});
  return Runs;
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
  Json Steps = Json::array();
  for (const StepSpec &S : Job.m_Steps)
    Steps.push_back(stepToJson(S));
  Json J{{"id", Job.m_Id.m_Text},
         {"queue", Job.m_Queue.m_Text},
         {"pool", Job.m_Pool.m_Text},
         {"text", Job.m_Text},
         {"steps", Steps},
         {"occurrences", Job.m_Occurrences},
         {"first", Job.m_FirstDue.count()},
         {"interval", Job.m_Interval.count()},
         {"accepted", Job.m_AcceptedAt.count()}};
  if (!Job.m_Organisation.empty())
    J["organisation"] = Job.m_Organisation.m_Text;
  return J.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<JobSpec> decodeJob(const std::string &Text) {
  return readJson<JobSpec>(
      "decode job row", {}, Text, [&](const Json &J) -> JobSpec {
        JobSpec Job;
        Job.m_Id = JobId(J.at("id").get<std::string>());
        Job.m_Queue = QueueName(J.at("queue"));
        Job.m_Pool = PoolName(J.at("pool"));
        Job.m_Organisation = OrganisationName(J.value("organisation", ""));
        Job.m_Text = J.at("text");
        for (const Json &S : J.at("steps"))
          Job.m_Steps.push_back(stepFromJson(S));
        Job.m_Occurrences = J.at("occurrences");
        Job.m_FirstDue =
            std::chrono::milliseconds(J.at("first").get<std::int64_t>());
        Job.m_Interval =
            std::chrono::milliseconds(J.at("interval").get<std::int64_t>());
        Job.m_AcceptedAt =
            std::chrono::milliseconds(J.at("accepted").get<std::int64_t>());
        return Job;
      });
}

std::string encodeProgress(const JobProgress &Progress) {
  Json J{{"state", static_cast<int>(Progress.m_State)},
         {"changed", Progress.m_ChangedAt.count()}};
  if (Progress.m_HasCrashedServers)
    J["crashed_servers"] = true;
  if (!Progress.m_Organisation.empty())
    J["organisation"] = Progress.m_Organisation.m_Text;
  for (const auto &[Key, Bits] : Progress.m_Done)
    J["done"].push_back({Key.first, Key.second, bitsToText(Bits)});
  for (const auto &[Key, Runs] : Progress.m_Failures)
    J["failures"].push_back(
        {std::get<0>(Key), std::get<1>(Key), std::get<2>(Key), Runs});
  for (const auto &[Key, Runs] : Progress.m_Crashes)
    J["crashes"].push_back({keyToJson(Key), crashesToJson(Runs)});
  for (const auto &[Key, Start] : Progress.m_SuspectStarts)
    J["suspect_starts"].push_back({keyToJson(Key), Start.m_Number,
                                   Start.m_Server, Start.m_ServerStartTimeMs});
  for (const auto &[Number, Step] : Progress.m_StartedSteps)
    J["started"].push_back({Number, Step});
  return J.dump();
}

Result<JobProgress> decodeProgress(const std::string &Text) {
  return readJson<JobProgress>(
      "decode job state", {}, Text, [&](const Json &J) -> Result<JobProgress> {
        JobProgress P;
        int State = J.at("state").get<int>();
        if (State < 0 || State > static_cast<int>(JobState::Cancelled))
          return makeError(ErrorCode::InvalidMessage, "decode job state", {},
                           "state " + std::to_string(State));
        P.m_State = static_cast<JobState>(State);
        P.m_ChangedAt =
            std::chrono::milliseconds(J.at("changed").get<std::int64_t>());
        P.m_HasCrashedServers = J.value("crashed_servers", false);
        P.m_Organisation = OrganisationName(J.value("organisation", ""));
        for (const Json &Row : J.value("done", Json::array()))
          P.m_Done[{Row.at(0), Row.at(1)}] = bitsFromText(Row.at(2));
        for (const Json &Row : J.value("failures", Json::array()))
          P.m_Failures[{Row.at(0), Row.at(1), Row.at(2)}] =
              Row.at(3).get<std::vector<std::uint32_t>>();
        for (const Json &Row : J.value("crashes", Json::array()))
          P.m_Crashes[keyFromJson(Row.at(0))] = crashesFromJson(Row.at(1));
        for (const Json &Row : J.value("suspect_starts", Json::array()))
          P.m_SuspectStarts[keyFromJson(Row.at(0))] = {Row.at(1), Row.at(2),
                                                       Row.at(3)};
        for (const Json &Row : J.value("started", Json::array()))
          P.m_StartedSteps.emplace(Row.at(0).get<std::uint32_t>(),
                                   Row.at(1).get<std::uint32_t>());
        return P;
      });
}

} // namespace pollenspool
