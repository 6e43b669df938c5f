//===- LoadRequest.cpp - A request of the load and its outcomes -----------===//

#include "load/LoadRequest.h"
#include "common/Program.h"

namespace standin {

namespace {

constexpr int ServiceUnavailable = 503;

std::string reasonOr(const HttpMessage &Reply, const std::string &Default) {
  const std::string_view Reason = Reply.header("Pollenspool-Reason");
  return Reason.empty() ? Default : std::string(Reason);
}

AttemptOutcome readDirectOutcome(const HttpMessage &Reply) {
  if (Reply.m_Status == ServiceUnavailable &&
      Reply.hasHeader("Pollenspool-Not-Run"))
    return {OutcomeKind::NotRun, "backend_refused"};
  return {OutcomeKind::Answered, ""};
}

std::string describeDefect(const LoadRequest &Request, const HttpMessage &Reply,
                           const std::optional<Json> &Body) {
  if (!Reply.m_Framed)
    return "answer has neither Content-Length nor chunked encoding";
  if (!Body || !Body->contains("request_id") || !Body->contains("echo"))
    return "answer truncated or without request_id or echo";
  if (Body->at("request_id") != Request.m_Id)
    return "answer to request " + Body->at("request_id").dump();
  if (Body->at("echo") != Request.m_BodyHash)
    return "echo does not match the request body";
  const std::string_view Header = Reply.header("Pollenspool-Request-Id");
  if (!Header.empty() && Header != Request.m_Id)
    return "header names request " + std::string(Header);
  return {};
}

} // namespace

const char *workClassName(std::size_t Class) {
  static const char *const Names[] = {"urgent", "normal", "nightly"};
  return Names[Class];
}

HttpMessage makeHttpRequest(const LoadRequest &Request, Milliseconds Deadline,
                            bool IsDirect) {
  HttpMessage Message;
  Message.m_Method = Request.m_Method;
  Message.m_Target = "/services/" + Request.m_Service + "/work";
  if (Request.m_RunTimeMs >= 0)
    Message.m_Target += "?work_ms=" + std::to_string(Request.m_RunTimeMs);
  Message.m_Body = Request.m_Body;
  Message.addHeader("Idempotency-Key", Request.m_Id);
  Message.addHeader("Pollenspool-Attempt",
                    std::to_string(Request.m_Attempts.size() + 1));
  Message.addHeader("Pollenspool-Timeout-Ms", std::to_string(Deadline.count()));
  Message.addHeader("Pollenspool-Class",
                    workClassName(static_cast<std::size_t>(Request.m_Class)));
  Message.addHeader("Pollenspool-Repeatable",
                    Request.m_IsRepeatable ? "true" : "false");
  Message.addHeader("Pollenspool-Team", Request.m_Team);
  Message.addHeader("Content-Type", "text/plain");
  if (IsDirect) {
    Message.addHeader("Pollenspool-Request-Id", Request.m_Id);
    Message.addHeader("Pollenspool-Service", Request.m_Service);
  }
  return Message;
}

AttemptOutcome readOutcome(const HttpMessage &Reply, bool IsDirect) {
  if (IsDirect)
    return readDirectOutcome(Reply);
  const std::string_view OutcomeHeader = Reply.header("Pollenspool-Outcome");
  if (OutcomeHeader == "answer")
    return {OutcomeKind::Answered, ""};
  if (OutcomeHeader == "not-run")
    return {OutcomeKind::NotRun, reasonOr(Reply, "no_reason")};
  if (OutcomeHeader == "unknown")
    return {OutcomeKind::Unknown, reasonOr(Reply, "no_reason")};
  return {OutcomeKind::Lost,
          "no_outcome_status_" + std::to_string(Reply.m_Status)};
}

void checkAnswer(LoadRequest &Request, const HttpMessage &Reply) {
  Request.m_Status = Reply.m_Status;
  const std::optional<Json> Body = parseObject(Reply.m_Body);
  // A defect stays recorded even if a later attempt gets a correct answer.
  if (Request.m_AnswerDefect.empty())
    Request.m_AnswerDefect = describeDefect(Request, Reply, Body);
  if (!Body || !Body->contains("instance") || !Body->contains("run"))
    return;
  const Json &Instance = Body->at("instance");
  const Json &Run = Body->at("run");
  if (!Instance.is_string() || !Run.is_number_unsigned())
    return;
  Request.m_AnswerInstance = Instance;
  Request.m_AnswerRun = Run;
}

} // namespace standin
