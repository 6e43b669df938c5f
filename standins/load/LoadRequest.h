//===- LoadRequest.h - A request of the load and its outcomes ---*- C++ -*-===//

#ifndef STANDIN_LOAD_LOADREQUEST_H
#define STANDIN_LOAD_LOADREQUEST_H

#include "common/EventLoop.h"
#include "common/HttpMessage.h"
#include <cstdint>
#include <string>
#include <vector>

namespace standin {

enum class WorkClass { Urgent, Normal, Nightly };
constexpr std::size_t WorkClassCount = 3;

/// Returns "urgent", "normal" or "nightly". Precondition: \p Class is less than
/// WorkClassCount.
const char *workClassName(std::size_t Class);

/// What a client knows about its request after an attempt.
enum class OutcomeKind {
  Answered,
  NotRun,
  /// The system replied that the outcome is unknown.
  Unknown,
  /// No reply was received, or one without an outcome.
  Lost,
};

struct AttemptOutcome {
  OutcomeKind m_Kind = OutcomeKind::Lost;
  std::string m_Reason;
};

/// A request with all its attempts. All attempts use the same ID.
struct LoadRequest {
  std::string m_Id;
  std::string m_Service;
  std::string m_Team;
  WorkClass m_Class = WorkClass::Normal;
  bool m_IsRepeatable = false;
  /// Exact run time to request; negative leaves it to the backend server.
  std::int64_t m_RunTimeMs = -1;
  std::string m_Method;
  std::string m_Body;
  std::string m_BodyHash;

  /// Arrival time, measured from the start of the load.
  Milliseconds m_DueOffset{0};
  SteadyClock::time_point m_DueTime;
  /// Wall-clock time of the first attempt, since the Unix epoch.
  Milliseconds m_FirstSent{0};
  std::vector<AttemptOutcome> m_Attempts;
  bool m_IsDone = false;
  /// Time from the arrival until the last outcome.
  Milliseconds m_Latency{0};

  int m_Status = 0;
  /// The defect of an answer; empty if all answers are correct.
  std::string m_AnswerDefect;
  /// Instance and run number that the answer carries.
  std::string m_AnswerInstance;
  std::uint64_t m_AnswerRun = 0;

  /// The last outcome. Precondition: there was an attempt.
  const AttemptOutcome & final() const { return m_Attempts.back(); }
};

/// Makes the HTTP request of the next attempt. \p IsDirect adds the headers
/// that an entry instance would add for the backend server.
HttpMessage makeHttpRequest(const LoadRequest &Request, Milliseconds Deadline,
                            bool IsDirect);

/// Reads the outcome from the headers of \p Reply.
AttemptOutcome readOutcome(const HttpMessage &Reply, bool IsDirect);

/// Checks an answer against its request and stores its status, instance, run
/// and defect in \p Request.
void checkAnswer(LoadRequest &Request, const HttpMessage &Reply);

} // namespace standin

#endif // STANDIN_LOAD_LOADREQUEST_H
