//===- Oracle.h - Checks the outcomes of the load ---------------*- C++ -*-===//
//
// A test oracle that compares the outcomes that clients received with the runs
// that backend servers recorded. Pure functions of the requests and the
// evidence.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_LOAD_ORACLE_H
#define STANDIN_LOAD_ORACLE_H

#include "load/Evidence.h"
#include <deque>

namespace standin {

/// Breaches of one guarantee: their number and up to ten examples.
struct Breach {
  std::uint64_t m_Count = 0;
  std::vector<std::string> m_Examples;

  void add(std::string Example);
};

/// The result of the oracle.
struct Verdict {
  /// Requests that are not repeatable but ran more than once.
  Breach m_RanTwice;
  /// Requests whose last outcome was "not run" although a run is recorded.
  Breach m_NotRunButRan;
  /// Requests with an answer that is malformed or belongs to another request.
  Breach m_WrongAnswer;
  /// Runs and queued requests that a reboot of the instance aborted.
  Breach m_CutInFlight;
  /// Runs that arrived at an instance later than the grace time after it had
  /// started to leave.
  Breach m_LateWorkOnLeaving;
  /// Answered requests without a recorded run. This is no breach by itself,
  /// because the records of a backend stand-in are lost when it exits.
  Breach m_AnsweredButNotRun;
  /// Number of repeatable requests with more than one run, which is allowed.
  std::uint64_t m_RepeatableRanAgain = 0;

  /// True if no guarantee was breached.
  bool holds() const;
};

/// Checks \p Requests against \p Evidence. Precondition: every request has its
/// final outcome.
Verdict judge(const std::deque<LoadRequest> &Requests, const Evidence &Evidence,
              Milliseconds LeavingGrace);

} // namespace standin

#endif // STANDIN_LOAD_ORACLE_H
