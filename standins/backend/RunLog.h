//===- RunLog.h - Log of the runs of simulated backend servers --*- C++ -*-===//

#ifndef STANDIN_BACKEND_RUNLOG_H
#define STANDIN_BACKEND_RUNLOG_H

#include "common/EventLoop.h"
#include <cstdint>
#include <string>
#include <vector>

namespace standin {

enum class RunState {
  Running,
  /// The reply was sent, possibly delayed, truncated or duplicated as an
  /// injected fault.
  Answered,
  /// Terminated by a reboot while the client was still connected.
  TerminatedByReboot,
  /// The client had disconnected before the run ended.
  Abandoned,
};

/// One request that was given a slot. Times are milliseconds of the wall
/// clock.
struct Run {
  std::uint64_t m_Number = 0;
  std::string m_RequestId;
  std::string m_Instance;
  std::string m_Service;
  bool m_Repeatable = false;
  /// Time at which the request had been read completely.
  Milliseconds m_ArrivalTime{0};
  Milliseconds m_StartTime{0};
  /// 0 until the run has ended.
  Milliseconds m_EndTime{0};
  RunState m_State = RunState::Running;
  /// HTTP status of the reply; 0 if there is none.
  int m_Status = 0;
};

/// The runs of all instances in the order of their start. Not thread safe.
class RunLog {
public:
  /// Appends \p NewRun with the current time and returns its number. Numbers
  /// start at 1.
  std::uint64_t start(Run NewRun);
  /// \p Number must be that of a started run.
  void end(std::uint64_t Number, RunState State, int Status);
  const Run &at(std::uint64_t Number) const { return m_Runs[Number - 1]; }
  /// Returns the runs with a number above \p Number as a JSON text.
  std::string jsonSince(std::uint64_t Number) const;

private:
  std::vector<Run> m_Runs;
};

} // namespace standin

#endif // STANDIN_BACKEND_RUNLOG_H
