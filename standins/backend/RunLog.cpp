//===- RunLog.cpp - Log of the runs of simulated backend servers ----------===//

#include "backend/RunLog.h"
#include "common/Program.h"

namespace standin {

namespace {

const char *runStateName(RunState State) {
  switch (State) {
  case RunState::Running:
    return "running";
  case RunState::Answered:
    return "answered";
  case RunState::TerminatedByReboot:
    return "cut";
  case RunState::Abandoned:
    return "abandoned";
  }
  return "running";
}

Json runJson(const Run &Run) {
  return {{"n", Run.m_Number},
          {"request_id", Run.m_RequestId},
          {"instance", Run.m_Instance},
          {"service", Run.m_Service},
          {"repeatable", Run.m_Repeatable},
          {"arrived_ms", Run.m_ArrivalTime.count()},
          {"start_ms", Run.m_StartTime.count()},
          {"end_ms", Run.m_EndTime.count()},
          {"outcome", runStateName(Run.m_State)},
          {"status", Run.m_Status}};
}

} // namespace

std::uint64_t RunLog::start(Run NewRun) {
  NewRun.m_Number = m_Runs.size() + 1;
  NewRun.m_StartTime = wallTime();
  m_Runs.push_back(std::move(NewRun));
  return m_Runs.size();
}

void RunLog::end(std::uint64_t Number, RunState State, int Status) {
  Run &Ended = m_Runs[Number - 1];
  Ended.m_EndTime = wallTime();
  Ended.m_State = State;
  Ended.m_Status = Status;
}

std::string RunLog::jsonSince(std::uint64_t Number) const {
  Json Runs = Json::array();
  for (std::size_t I = Number; I < m_Runs.size(); ++I)
    Runs.push_back(runJson(m_Runs[I]));
  return Json{{"runs", std::move(Runs)}}.dump(-1, ' ', false,
                                              Json::error_handler_t::replace);
}

} // namespace standin
