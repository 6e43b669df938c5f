//===- CallerServer.cpp - HTTP server for callers -------------------------===//

#include "gateway/CallerServer.h"
#include "base/Address.h"
#include <nlohmann/json.hpp>
#include <openssl/rand.h>

namespace pollenspool {

namespace {

constexpr std::size_t MaxBodyBytes = std::size_t{4} << 20;
constexpr std::size_t MaxKeepAliveRequests = 1000;
constexpr time_t KeepAliveTimeoutSeconds = 5;
constexpr time_t ReadTimeoutSeconds = 10;
constexpr std::size_t IdBytes = 16;
constexpr std::chrono::milliseconds DrainPollInterval{10};

constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusUnsupportedMedia = 415;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

constexpr const char *ServicePattern = R"(/services/([^/?]+)(/[^?]*)?)";

int refusalStatus(const Outcome &Final) {
  if (Final.m_Kind == OutcomeKind::Unknown)
    return Final.m_Reason == Reason::BackendTimeout ? StatusGatewayTimeout
                                                    : StatusBadGateway;
  switch (Final.m_Reason) {
  case Reason::UnknownService:
    return StatusNotFound;
  case Reason::BadRequest:
    return StatusBadRequest;
  case Reason::QuotaExceeded:
    return StatusTooManyRequests;
  default:
    return StatusUnavailable;
  }
}

const char *outcomeName(OutcomeKind Kind) {
  switch (Kind) {
  case OutcomeKind::Answer:
    return "answer";
  case OutcomeKind::NotRun:
    return "not-run";
  case OutcomeKind::Unknown:
    return "unknown";
  }
  return "unknown";
}

void writeAnswer(const Answer &BackendAnswer, httplib::Response &Out) {
  Out.status = BackendAnswer.m_Status;
  std::string ContentType = "application/octet-stream";
  for (const Header &H : BackendAnswer.m_Headers) {
    if (sameHeader(H.m_Name, "Content-Type"))
      ContentType = H.m_Value;
    else
      Out.headers.emplace(H.m_Name, H.m_Value);
  }
  if (!BackendAnswer.m_Body.empty())
    Out.set_content(BackendAnswer.m_Body, ContentType);
}

void writeRefusal(const Outcome &Final, httplib::Response &Out) {
  Out.status = refusalStatus(Final);
  nlohmann::ordered_json Body;
  Body["outcome"] = outcomeName(Final.m_Kind);
  Body["reason"] = reasonName(Final.m_Reason);
  Body["retry_after_ms"] = Final.m_RetryAfter.count();
  Out.set_content(Body.dump(), "application/json");
  if (Final.m_RetryAfter.count() == 0)
    return;
  auto Seconds = std::chrono::ceil<std::chrono::seconds>(Final.m_RetryAfter);
  Out.set_header("Retry-After", std::to_string(Seconds.count()));
  Out.set_header(headers::RetryAfterMs,
                 std::to_string(Final.m_RetryAfter.count()));
}

/// Returns the part of the raw target that follows "/services/NAME".
std::string targetBelowService(const httplib::Request &In) {
  std::size_t Start = std::string("/services/").size();
  std::size_t Slash = In.target.find_first_of("/?", Start);
  if (Slash == std::string::npos)
    return "/";
  std::string Rest = In.target.substr(Slash);
  return Rest.front() == '?' ? "/" + Rest : Rest;
}

RawRequest toRaw(const httplib::Request &In) {
  RawRequest Raw;
  Raw.m_Method = In.method;
  Raw.m_Service = In.matches[1].str();
  Raw.m_Target = targetBelowService(In);
  for (const auto &[HeaderName, Value] : In.headers) {
    // httplib has already decoded the body.
    if (!sameHeader(HeaderName, "Content-Encoding"))
      Raw.m_Headers.push_back(Header{HeaderName, Value});
  }
  Raw.m_Body = In.body;
  return Raw;
}

Outcome badRequest() {
  Outcome Final;
  Final.m_Kind = OutcomeKind::NotRun;
  Final.m_Reason = Reason::BadRequest;
  return Final;
}

} // namespace

RequestId generateRequestId() {
  unsigned char Bytes[IdBytes];
  RAND_bytes(Bytes, sizeof(Bytes));
  static const char Digits[] = "0123456789abcdef";
  std::string Text;
  for (unsigned char Byte : Bytes) {
    Text += Digits[Byte >> 4];
    Text += Digits[Byte & 15];
  }
  return RequestId(Text);
}

void disablePortSharing(int Socket) {
  int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
}

void writeOutcome(const Outcome &Final, const RequestId &Id,
                  httplib::Response &Out) {
  if (Final.m_Kind == OutcomeKind::Answer)
    writeAnswer(Final.m_Answer, Out);
  else
    writeRefusal(Final, Out);
  auto SetOnce = [&](const char *HeaderName, const std::string &Value) {
    Out.headers.erase(HeaderName);
    Out.set_header(HeaderName, Value);
  };
  SetOnce(headers::OutcomeHeader, outcomeName(Final.m_Kind));
  SetOnce(headers::RequestIdHeader, Id.m_Text);
  if (Final.m_Kind != OutcomeKind::Answer)
    SetOnce(headers::ReasonHeader, std::string(reasonName(Final.m_Reason)));
  if (!Final.m_Instance.empty())
    SetOnce(headers::Instance, Final.m_Instance.m_Text);
}

CallerServer::CallerServer(CallerServerSettings Settings, Gateway &Requests,
                           Forwarder &Forward, std::function<bool()> IsReady)
    : m_Settings(std::move(Settings)), m_Gateway(Requests),
      m_Forwarder(Forward), m_IsReady(std::move(IsReady)) {}

CallerServer::~CallerServer() {
  m_Server.stop();
  if (m_Acceptor.joinable())
    m_Acceptor.join();
}

Result<std::unique_ptr<CallerServer>>
CallerServer::create(CallerServerSettings Settings, Gateway &Requests,
                     Forwarder &Forward, std::function<bool()> IsReady) {
  auto Where = parseAddress(Settings.m_Listen);
  if (!Where)
    return makeError(ErrorCode::InvalidSettings, "listen for callers",
                     Settings.m_Listen, "not an ip:port");
  std::unique_ptr<CallerServer> Created(new CallerServer(
      std::move(Settings), Requests, Forward, std::move(IsReady)));
  Created->setUpRoutes();
  if (!Created->m_Server.bind_to_port(Where->m_Host, Where->m_Port))
    return makeError(ErrorCode::Unavailable, "listen for callers",
                     Created->m_Settings.m_Listen, "cannot bind the address");
  return Created;
}

void CallerServer::setUpRoutes() {
  m_Server.set_socket_options(disablePortSharing);
  m_Server.set_tcp_nodelay(true);
  m_Server.set_payload_max_length(MaxBodyBytes);
  m_Server.set_keep_alive_max_count(MaxKeepAliveRequests);
  m_Server.set_keep_alive_timeout(KeepAliveTimeoutSeconds);
  m_Server.set_read_timeout(ReadTimeoutSeconds);
  m_Server.new_task_queue = [this] {
    return new WorkerPool(m_Settings.m_Threads, m_Tasks);
  };
  auto Serve = [this](const httplib::Request &In, httplib::Response &Out) {
    serveRequest(In, Out);
  };
  m_Server.Get(ServicePattern, Serve);
  m_Server.Post(ServicePattern, Serve);
  m_Server.Put(ServicePattern, Serve);
  m_Server.Patch(ServicePattern, Serve);
  m_Server.Delete(ServicePattern, Serve);
  m_Server.Options(ServicePattern, Serve);
  m_Server.Get("/healthz",
               [this](const httplib::Request &, httplib::Response &Out) {
                 serveHealth(Out);
               });
  m_Server.Post("/requests/cancel",
                [this](const httplib::Request &In, httplib::Response &Out) {
                  serveCancel(In, Out);
                });
}

void CallerServer::serveRequest(const httplib::Request &In,
                                httplib::Response &Out) {
  if (m_Draining)
    Out.set_header("Connection", "close");
  RequestId Generated = generateRequestId();
  if (In.is_multipart_form_data()) {
    ++m_BadRequests;
    writeOutcome(badRequest(), Generated, Out);
    Out.status = StatusUnsupportedMedia;
    return;
  }
  auto Request = readCallerRequest(toRaw(In), Generated);
  if (!Request) {
    ++m_BadRequests;
    writeOutcome(badRequest(), Generated, Out);
    nlohmann::ordered_json Body;
    Body["outcome"] = "not-run";
    Body["reason"] = reasonName(Reason::BadRequest);
    Body["detail"] = Request.error().describe();
    Out.set_content(Body.dump(), "application/json");
    return;
  }
  RequestId Id = Request.value().m_Info.m_Id;
  Outcome Final = m_Gateway.serve(std::move(Request).value());
  writeOutcome(Final, Id, Out);
}

void CallerServer::serveHealth(httplib::Response &Out) const {
  if (m_Draining)
    Out.set_header("Connection", "close");
  bool Ready = !m_Draining && m_IsReady();
  Out.status = Ready ? 200 : StatusUnavailable;
  Out.set_content(Ready ? "ready\n" : "not ready\n", "text/plain");
}

void CallerServer::serveCancel(const httplib::Request &In,
                               httplib::Response &Out) {
  auto Body = nlohmann::json::parse(In.body, nullptr, false);
  std::vector<RequestId> Ids;
  if (Body.is_object() && Body.contains("ids") && Body["ids"].is_array())
    for (const auto &Id : Body["ids"])
      if (Id.is_string())
        Ids.emplace_back(Id.get<std::string>());
  if (Ids.empty()) {
    Out.status = StatusBadRequest;
    Out.set_content("{\"error\":\"expected {\\\"ids\\\": [\\\"ID\\\", ...]}\"}",
                    "application/json");
    return;
  }
  std::size_t Here = m_Gateway.cancel(Ids);
  m_Forwarder.forwardCancel(Ids);
  nlohmann::ordered_json Reply;
  Reply["cancelled_here"] = Here;
  Out.set_content(Reply.dump(), "application/json");
}

void CallerServer::start() {
  m_Acceptor = std::thread([this] { m_Server.listen_after_bind(); });
}

void CallerServer::drainAndStop() {
  m_Draining = true;
  // The load balancer keeps sending requests until its health check has failed.
  std::this_thread::sleep_for(m_Settings.m_DrainGrace);
  m_Gateway.setDraining(true);
  // stop() drops accepted connections that still wait for a thread, so wait for
  // them first.
  while (m_Tasks.value() > 0)
    std::this_thread::sleep_for(DrainPollInterval);
  m_Server.stop();
  if (m_Acceptor.joinable())
    m_Acceptor.join();
}

} // namespace pollenspool
