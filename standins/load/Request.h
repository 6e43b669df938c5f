//===- Request.h - A request of the load and what came of it ----*- C++ -*-===//

#ifndef STANDIN_LOAD_REQUEST_H
#define STANDIN_LOAD_REQUEST_H

#include "common/EventLoop.h"
#include "common/HttpMessage.h"
#include <cstdint>
#include <string>
#include <vector>

namespace standin {

enum class WorkClass { Urgent, Normal, Nightly };
constexpr std::size_t WorkClassCount = 3;

/// "urgent", "normal" or "nightly".
const char *workClassName(std::size_t Class);

/// What a client knows after an attempt.
enum class OutcomeKind {
  Answered,
  NotRun,
  /// The system said that it does not know.
  Unknown,
  /// No reply came, or one that says no outcome.
  Lost,
};

struct AttemptOutcome {
  OutcomeKind m_Kind = OutcomeKind::Lost;
  std::string m_Reason;
};

/// One request with all its attempts, which share its ID.
struct LoadRequest {
  std::string m_Id;
  std::string m_Service;
  std::string m_Team;
  WorkClass m_Class = WorkClass::Normal;
  bool m_Repeatable = false;
  /// Exact run time to ask for; negative leaves it to the backend server.
  std::int64_t m_WorkMs = -1;
  std::string m_Method;
  std::string m_Body;
  std::string m_BodyHash;

  /// When it was due, measured from the start of the load.
  Milliseconds m_Due{0};
  SteadyClock::time_point m_DueTime;
  /// Wall clock of the first attempt.
  Milliseconds m_FirstSent{0};
  std::vector<AttemptOutcome> m_Attempts;
  bool m_Done = false;
  /// From when it was due until its last outcome.
  Milliseconds m_Latency{0};

  int m_Status = 0;
  /// What was wrong with an answer; empty if nothing was.
  std::string m_WrongAnswer;
  /// The instance and the run that the answer names.
  std::string m_AnswerInstance;
  std::uint64_t m_AnswerRun = 0;

  /// Precondition: m_Done.
  const AttemptOutcome & final() const { return m_Attempts.back(); }
};

/// The HTTP request of the next attempt. \p IsDirect adds the headers that an
/// entry instance would add for the backend server.
HttpMessage makeHttpRequest(const LoadRequest &Request, Milliseconds Deadline,
                            bool IsDirect);

/// Reads the outcome that \p Reply says.
AttemptOutcome readOutcome(const HttpMessage &Reply, bool IsDirect);

/// Checks an answer against its request and notes what it says and what is
/// wrong with it.
void checkAnswer(LoadRequest &Request, const HttpMessage &Reply);

} // namespace standin

#endif // STANDIN_LOAD_REQUEST_H
