//===- Oracle.cpp - Checks the outcomes of the load -----------------------===//

#include "load/Oracle.h"
#include <algorithm>
#include <unordered_map>

namespace standin {

namespace {

constexpr std::size_t MaxExamples = 10;

using RunsById =
    std::unordered_map<std::string, std::vector<const RunRecord *>>;

std::string runText(const RunRecord &Run) {
  return Run.m_Instance + " run " + std::to_string(Run.m_Number);
}

std::string runsText(const std::vector<const RunRecord *> &Runs) {
  std::string Text;
  for (const RunRecord *Run : Runs)
    Text += (Text.empty() ? "" : ", ") + runText(*Run);
  return Text;
}

/// True if the last outcome was "not run". That also covers requests of which
/// every outcome was "not run".
bool isReportedNotRun(const LoadRequest &Request) {
  return Request.final().m_Kind == OutcomeKind::NotRun;
}

/// True if the answer carries the instance and number of a run that belongs to
/// another request.
bool isAnswerOfAnotherRun(
    const LoadRequest &Request, const std::vector<RunRecord> &Runs,
    const std::unordered_map<std::string, std::size_t> &RunIndex) {
  const auto Found = RunIndex.find(Request.m_AnswerInstance + "#" +
                                   std::to_string(Request.m_AnswerRun));
  return Found != RunIndex.end() &&
         Runs[Found->second].m_RequestId != Request.m_Id;
}

void judgeRequest(const LoadRequest &Request, const RunsById &Runs,
                  Verdict &Judged) {
  static const std::vector<const RunRecord *> None;
  const auto Found = Runs.find(Request.m_Id);
  const auto &Own = Found == Runs.end() ? None : Found->second;
  if (Own.size() > 1 && Request.m_IsRepeatable)
    ++Judged.m_RepeatableRanAgain;
  if (Own.size() > 1 && !Request.m_IsRepeatable)
    Judged.m_RanTwice.add(Request.m_Id + ": " + runsText(Own));
  if (isReportedNotRun(Request) && !Own.empty())
    Judged.m_NotRunButRan.add(Request.m_Id + " (" + Request.final().m_Reason +
                              "): " + runsText(Own));
  if (!Request.m_AnswerDefect.empty())
    Judged.m_WrongAnswer.add(Request.m_Id + ": " + Request.m_AnswerDefect);
  if (Request.final().m_Kind == OutcomeKind::Answered && Own.empty())
    Judged.m_AnsweredButNotRun.add(Request.m_Id);
}

void judgeAnswerRuns(const std::deque<LoadRequest> &Requests,
                     const std::vector<RunRecord> &Runs, Verdict &Judged) {
  std::unordered_map<std::string, std::size_t> RunIndex;
  for (std::size_t I = 0; I < Runs.size(); ++I)
    RunIndex.emplace(
        Runs[I].m_Instance + "#" + std::to_string(Runs[I].m_Number), I);
  for (const LoadRequest &Request : Requests)
    if (Request.m_AnswerDefect.empty() &&
        isAnswerOfAnotherRun(Request, Runs, RunIndex))
      Judged.m_WrongAnswer.add(Request.m_Id +
                               ": answer carries the run of another request");
}

/// Returns when the instance stopped being live, or std::nullopt if it was live
/// when \p Run arrived.
std::optional<Milliseconds> leavingSince(const std::vector<StateChange> &Truth,
                                         const RunRecord &Run) {
  std::optional<Milliseconds> Since;
  for (const StateChange &Change : Truth) {
    if (Change.m_Instance != Run.m_Instance || Change.m_Time > Run.m_Arrived)
      continue;
    if (Change.m_IsLive)
      Since.reset();
    else if (!Since)
      Since = Change.m_Time;
  }
  return Since;
}

void judgeLateWork(const Evidence &Evidence, Milliseconds Grace,
                   Verdict &Judged) {
  std::unordered_map<std::string, std::vector<StateChange>> ByInstance;
  for (const StateChange &Change : Evidence.m_StateChanges)
    ByInstance[Change.m_Instance].push_back(Change);
  for (const RunRecord &Run : Evidence.m_Runs) {
    const auto Found = ByInstance.find(Run.m_Instance);
    if (Found == ByInstance.end())
      continue;
    const std::optional<Milliseconds> Since = leavingSince(Found->second, Run);
    if (Since && Run.m_Arrived - *Since > Grace)
      Judged.m_LateWorkOnLeaving.add(
          Run.m_RequestId + ": " + runText(Run) + " " +
          std::to_string((Run.m_Arrived - *Since).count()) +
          " ms after the instance started to leave");
  }
}

} // namespace

void Breach::add(std::string Example) {
  ++m_Count;
  if (m_Examples.size() < MaxExamples)
    m_Examples.push_back(std::move(Example));
}

bool Verdict::holds() const {
  return m_RanTwice.m_Count == 0 && m_NotRunButRan.m_Count == 0 &&
         m_WrongAnswer.m_Count == 0 && m_CutInFlight.m_Count == 0 &&
         m_LateWorkOnLeaving.m_Count == 0;
}

Verdict judge(const std::deque<LoadRequest> &Requests, const Evidence &Evidence,
              Milliseconds LeavingGrace) {
  Verdict Judged;
  RunsById Runs;
  for (const RunRecord &Run : Evidence.m_Runs) {
    Runs[Run.m_RequestId].push_back(&Run);
    if (Run.m_IsCut)
      Judged.m_CutInFlight.add(Run.m_RequestId + ": " + runText(Run));
  }
  for (const std::string &Id : Evidence.m_CutWaiting)
    Judged.m_CutInFlight.add(Id + ": aborted while waiting for a slot");
  for (const LoadRequest &Request : Requests)
    judgeRequest(Request, Runs, Judged);
  judgeAnswerRuns(Requests, Evidence.m_Runs, Judged);
  judgeLateWork(Evidence, LeavingGrace, Judged);
  return Judged;
}

} // namespace standin
