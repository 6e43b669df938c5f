//===- RunLog.h - Every run of a request at a backend server ----*- C++ -*-===//

#ifndef STANDIN_BACKEND_RUNLOG_H
#define STANDIN_BACKEND_RUNLOG_H

#include "common/EventLoop.h"
#include <cstdint>
#include <string>
#include <vector>

namespace standin {

enum class RunState {
  Running,
  /// The answer was sent, or cut or doubled on purpose by a knob.
  Answered,
  /// Stopped by a reboot while the client waited.
  Cut,
  /// The client had gone when the run ended.
  Abandoned,
};

/// One request that took a slot.
struct Run {
  std::uint64_t m_Number = 0;
  std::string m_RequestId;
  std::string m_Instance;
  std::string m_Service;
  bool m_Repeatable = false;
  /// When the whole request had been read.
  Milliseconds m_Arrived{0};
  Milliseconds m_Start{0};
  /// Zero while it runs.
  Milliseconds m_End{0};
  RunState m_State = RunState::Running;
  int m_Status = 0;
};

/// The runs of all instances in the order of their start. Not thread safe.
class RunLog {
public:
  /// Numbers and keeps \p NewRun; numbers start at 1.
  std::uint64_t start(Run NewRun);
  void end(std::uint64_t Number, RunState State, int Status);
  const Run &at(std::uint64_t Number) const { return m_Runs[Number - 1]; }
  /// The runs with a number above \p Number, as JSON.
  std::string jsonSince(std::uint64_t Number) const;

private:
  std::vector<Run> m_Runs;
};

} // namespace standin

#endif // STANDIN_BACKEND_RUNLOG_H
