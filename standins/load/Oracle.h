//===- Oracle.h - Judges what came of the load ------------------*- C++ -*-===//
//
// Compares what clients were told with what backend servers ran. Pure
// functions of the requests and the evidence.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_LOAD_ORACLE_H
#define STANDIN_LOAD_ORACLE_H

#include "load/Evidence.h"
#include <deque>

namespace standin {

/// A breach of one promise: how often, and a few cases.
struct Breach {
  std::uint64_t m_Count = 0;
  std::vector<std::string> m_Examples;

  void add(std::string Example);
};

struct Verdict {
  /// IDs that may not be repeated and have more than one run.
  Breach m_RanTwice;
  /// IDs whose last outcome, or every one, was "not run" and that have a run.
  Breach m_NotRunButRan;
  Breach m_WrongAnswer;
  /// Requests that a reboot stopped while their client waited.
  Breach m_CutInFlight;
  /// Runs that came to an instance too long after it had started to leave.
  Breach m_LateWorkOnLeaving;
  /// Answered IDs without a run. No breach of a promise by itself: a backend
  /// stand-in that ended took its record along.
  Breach m_AnsweredButNotRun;
  /// Repeatable IDs with more than one run; allowed.
  std::uint64_t m_RepeatableRanAgain = 0;

  /// True if no promise was broken.
  bool holds() const;
};

/// Judges \p Requests, all of which are done.
Verdict judge(const std::deque<LoadRequest> &Requests, const Evidence &Evidence,
              Milliseconds LeavingGrace);

} // namespace standin

#endif // STANDIN_LOAD_ORACLE_H
