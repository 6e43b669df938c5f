//===- HttpPlatform.cpp - HTTP client of the platform ---------------------===//

#include "platform/HttpPlatform.h"
#include "platform/PlatformJson.h"
#include <atomic>
#include <charconv>
#include <httplib.h>
#include <mutex>

namespace pollenspool {

namespace {

enum class Call : std::uint8_t {
  Transact,
  Read,
  Scan,
  Changes,
  PutObject,
  GetObject,
  Instances,
  Reboot
};
constexpr std::array<std::string_view, 8> CallNames = {
    "transact",   "read",       "scan",      "changes",
    "put_object", "get_object", "instances", "reboot"};

enum class CallOutcome : std::uint8_t {
  Ok,
  Conflict,
  NotFound,
  RateLimited,
  BreakerOpen,
  ConnectFailed,
  Timeout,
  ConnectionLost,
  Refused
};
constexpr std::array<std::string_view, 9> OutcomeNames = {
    "ok",          "conflict",        "not_found",
    "over_budget", "breaker_open",    "connect_failed",
    "timeout",     "connection_lost", "refused"};

constexpr const char *CallIdHeader = "Pollenspool-Call";
constexpr int HttpOk = 200;
constexpr int HttpCreated = 201;
constexpr int HttpAccepted = 202;
constexpr int HttpNotFound = 404;
constexpr int HttpConflict = 409;
constexpr int HttpServerError = 500;

CallOutcome outcomeOf(const Error &E) {
  switch (E.m_Code) {
  case ErrorCode::RateLimited:
    return CallOutcome::RateLimited;
  case ErrorCode::Unavailable:
    return CallOutcome::BreakerOpen;
  case ErrorCode::ConnectFailed:
    return CallOutcome::ConnectFailed;
  case ErrorCode::Timeout:
    return CallOutcome::Timeout;
  case ErrorCode::ConnectionLost:
    return CallOutcome::ConnectionLost;
  default:
    return CallOutcome::Refused;
  }
}

CallOutcome outcomeOf(int Status) {
  if (Status == HttpConflict)
    return CallOutcome::Conflict;
  if (Status == HttpNotFound)
    return CallOutcome::NotFound;
  return Status < HttpNotFound ? CallOutcome::Ok : CallOutcome::Refused;
}

struct Connection {
  explicit Connection(const std::string &Host, int Port)
      : m_Client(Host, Port) {}

  httplib::Client m_Client;
  /// True after an answer on this connection has echoed its call ID.
  bool m_Reused = false;
};

struct HttpAnswer {
  int m_Status = 0;
  std::string m_Body;
};

Error invalidSettings(const char *What) {
  return makeError(ErrorCode::InvalidSettings, "platform settings", {}, What);
}

} // namespace

struct HttpPlatform::Impl {
  HttpPlatformSettings m_Settings;
  std::string m_Host;
  int m_Port = 0;
  mutable std::mutex m_Mutex;
  CallLimiter m_Limiter;
  std::vector<std::unique_ptr<Connection>> m_Idle;
  std::atomic<std::uint64_t> m_LastCallId{0};
  std::array<std::array<std::atomic<std::uint64_t>, OutcomeNames.size()>,
             CallNames.size()>
      m_Counts{};

  explicit Impl(const HttpPlatformSettings &Settings)
      : m_Settings(Settings), m_Limiter(Settings.m_Limiter) {}

  Error error(Call Kind, ErrorCode Code, std::string Detail = {}) const {
    return makeError(Code,
                     "platform " +
                         std::string(CallNames[static_cast<std::size_t>(Kind)]),
                     m_Settings.m_Address, std::move(Detail));
  }

  void count(Call Kind, CallOutcome What) {
    ++m_Counts[static_cast<std::size_t>(Kind)][static_cast<std::size_t>(What)];
  }

  /// Sends the request once if the limiter admits it, and counts the outcome.
  Result<HttpAnswer> call(Call Kind, CallPriority Priority,
                          httplib::Request Request) {
    Result<HttpAnswer> Answer = admitAndSend(Kind, Priority, Request);
    count(Kind, Answer ? outcomeOf(Answer.value().m_Status)
                       : outcomeOf(Answer.error()));
    return Answer;
  }

  Result<HttpAnswer> admitAndSend(Call Kind, CallPriority Priority,
                                  httplib::Request &Request) {
    CallPermit Permit = admit(Priority);
    if (Permit.m_Decision == AdmitDecision::RateLimited)
      return error(Kind, ErrorCode::RateLimited);
    if (Permit.m_Decision == AdmitDecision::BreakerOpen)
      return error(Kind, ErrorCode::Unavailable, "the circuit breaker is open");
    Result<HttpAnswer> Answer = send(Kind, Request);
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Limiter.onResult(Permit, Answer.has_value(), steadyNow());
    return Answer;
  }

  CallPermit admit(CallPriority Priority) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Limiter.admit(Priority, steadyNow());
  }

  /// Sends one request. The connection is reused only if the answer echoed the
  /// call ID.
  Result<HttpAnswer> send(Call Kind, httplib::Request &Request) {
    std::unique_ptr<Connection> Conn = acquireConnection();
    std::string CallId = std::to_string(++m_LastCallId);
    Request.set_header(CallIdHeader, CallId);
    TimePoint Start = steadyNow();
    TimePoint End = Start + m_Settings.m_CallTimeout;
    // The HTTP client's own time-out applies to each read, not to the call.
    Request.progress = [End](std::uint64_t, std::uint64_t) {
      return steadyNow() < End;
    };
    httplib::Response Response;
    auto Error = httplib::Error::Success;
    if (!Conn->m_Client.send(Request, Response, Error))
      return failure(Kind, Error, Start);
    bool Echoed = Response.get_header_value(CallIdHeader) == CallId;
    if (!Echoed && (Conn->m_Reused || Response.has_header(CallIdHeader)))
      return error(Kind, ErrorCode::ConnectionLost,
                   "the answer does not echo this call's ID");
    if (Response.status >= HttpServerError)
      return error(Kind, ErrorCode::ConnectionLost,
                   "status " + std::to_string(Response.status));
    if (Echoed)
      releaseConnection(std::move(Conn));
    return HttpAnswer{Response.status, std::move(Response.body)};
  }

  /// Maps a transport error. Only a failed connect proves that nothing was
  /// sent.
  pollenspool::Error failure(Call Kind, httplib::Error Why,
                             TimePoint Start) const {
    if (Why == httplib::Error::Connection ||
        Why == httplib::Error::ConnectionTimeout)
      return error(Kind, ErrorCode::ConnectFailed);
    if (steadyNow() - Start >= m_Settings.m_CallTimeout)
      return error(Kind, ErrorCode::Timeout);
    return error(Kind, ErrorCode::ConnectionLost, httplib::to_string(Why));
  }

  std::unique_ptr<Connection> acquireConnection() {
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      if (!m_Idle.empty()) {
        auto Conn = std::move(m_Idle.back());
        m_Idle.pop_back();
        return Conn;
      }
    }
    auto Conn = std::make_unique<Connection>(m_Host, m_Port);
    Conn->m_Client.set_keep_alive(true);
    Conn->m_Client.set_tcp_nodelay(true);
    Conn->m_Client.set_connection_timeout(m_Settings.m_ConnectTimeout);
    Conn->m_Client.set_read_timeout(m_Settings.m_CallTimeout);
    Conn->m_Client.set_write_timeout(m_Settings.m_CallTimeout);
    return Conn;
  }

  void releaseConnection(std::unique_ptr<Connection> Conn) {
    Conn->m_Reused = true;
    std::lock_guard<std::mutex> Lock(m_Mutex);
    if (m_Idle.size() < m_Settings.m_MaxIdleConnections)
      m_Idle.push_back(std::move(Conn));
  }

  Error unexpectedStatus(Call Kind, const HttpAnswer &Answer) const {
    auto Code = Answer.m_Status == HttpNotFound ? ErrorCode::NotFound
                                                : ErrorCode::Refused;
    return error(Kind, Code, "status " + std::to_string(Answer.m_Status));
  }

  /// Sends a request whose answer with status 200 contains rows.
  Result<RowSet> rows(Call Kind, CallPriority Priority,
                      httplib::Request Request) {
    BOOST_OUTCOME_TRY(Answer, call(Kind, Priority, std::move(Request)));
    if (Answer.m_Status != HttpOk)
      return unexpectedStatus(Kind, Answer);
    return decodeRows(Answer.m_Body);
  }
};

namespace {

httplib::Request get(std::string Path) {
  httplib::Request Request;
  Request.method = "GET";
  Request.path = std::move(Path);
  return Request;
}

httplib::Request send(const char *Method, std::string Path, std::string Body,
                      const char *Type = "application/json") {
  httplib::Request Request;
  Request.method = Method;
  Request.path = std::move(Path);
  Request.body = std::move(Body);
  Request.set_header("Content-Type", Type);
  return Request;
}

} // namespace

Result<std::unique_ptr<HttpPlatform>>
HttpPlatform::create(HttpPlatformSettings Settings) {
  auto Colon = Settings.m_Address.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return invalidSettings("the address is not of the form ip:port");
  const char *End = Settings.m_Address.data() + Settings.m_Address.size();
  int Port = 0;
  auto Parsed =
      std::from_chars(Settings.m_Address.data() + Colon + 1, End, Port);
  if (Parsed.ptr != End || Port < 1 || Port > 65535)
    return invalidSettings("the address has no valid port");
  if (Settings.m_ConnectTimeout.count() <= 0 ||
      Settings.m_CallTimeout.count() <= 0)
    return invalidSettings("a time-out is not positive");
  if (Settings.m_Limiter.m_CallsPerSecond <= 0)
    return invalidSettings("the call rate is not positive");
  auto State = std::make_unique<Impl>(Settings);
  State->m_Host = Settings.m_Address.substr(0, Colon);
  State->m_Port = Port;
  return std::unique_ptr<HttpPlatform>(new HttpPlatform(std::move(State)));
}

HttpPlatform::HttpPlatform(std::unique_ptr<Impl> State)
    : m_Impl(std::move(State)) {}

HttpPlatform::~HttpPlatform() = default;

Result<CommitResult> HttpPlatform::transact(const Transaction &Txn,
                                            CallPriority Priority) {
  BOOST_OUTCOME_TRY(Body, encodeTransaction(Txn));
  BOOST_OUTCOME_TRY(Answer, m_Impl->call(Call::Transact, Priority,
                                         send("POST", "/v1/table/transact",
                                              std::move(Body))));
  if (Answer.m_Status == HttpConflict)
    return decodeConflicts(Answer.m_Body);
  if (Answer.m_Status != HttpOk)
    return m_Impl->unexpectedStatus(Call::Transact, Answer);
  return decodeCommit(Answer.m_Body);
}

Result<RowSet> HttpPlatform::read(const std::vector<std::string> &Keys,
                                  CallPriority Priority) {
  BOOST_OUTCOME_TRY(Body, encodeRead(Keys));
  return m_Impl->rows(Call::Read, Priority,
                      send("POST", "/v1/table/read", std::move(Body)));
}

Result<RowSet> HttpPlatform::scan(const std::string &Prefix,
                                  CallPriority Priority) {
  httplib::Params Query{{"prefix", Prefix}};
  return m_Impl->rows(
      Call::Scan, Priority,
      get(httplib::append_query_params("/v1/table/scan", Query)));
}

Result<RowSet> HttpPlatform::changes(Revision Since,
                                     const std::vector<std::string> &Prefixes,
                                     CallPriority Priority) {
  httplib::Params Query{{"since", std::to_string(Since)}};
  for (const std::string &Prefix : Prefixes)
    Query.emplace("prefix", Prefix);
  return m_Impl->rows(
      Call::Changes, Priority,
      get(httplib::append_query_params("/v1/table/changes", Query)));
}

Result<void> HttpPlatform::putObject(const std::string &ObjectName,
                                     const std::string &Content,
                                     CallPriority Priority) {
  BOOST_OUTCOME_TRY(Answer,
                    m_Impl->call(Call::PutObject, Priority,
                                 send("PUT", "/v1/objects/" + ObjectName,
                                      Content, "application/octet-stream")));
  if (Answer.m_Status != HttpOk && Answer.m_Status != HttpCreated)
    return m_Impl->unexpectedStatus(Call::PutObject, Answer);
  return success();
}

Result<std::string> HttpPlatform::getObject(const std::string &ObjectName,
                                            CallPriority Priority) {
  BOOST_OUTCOME_TRY(Answer, m_Impl->call(Call::GetObject, Priority,
                                         get("/v1/objects/" + ObjectName)));
  if (Answer.m_Status != HttpOk)
    return m_Impl->unexpectedStatus(Call::GetObject, Answer);
  return std::move(Answer.m_Body);
}

Result<std::vector<ListedInstance>>
HttpPlatform::instances(CallPriority Priority) {
  BOOST_OUTCOME_TRY(
      Answer, m_Impl->call(Call::Instances, Priority, get("/v1/instances")));
  if (Answer.m_Status != HttpOk)
    return m_Impl->unexpectedStatus(Call::Instances, Answer);
  return decodeInstances(Answer.m_Body);
}

Result<void> HttpPlatform::reboot(const InstanceId &Id,
                                  const std::string &Token,
                                  CallPriority Priority) {
  BOOST_OUTCOME_TRY(
      Answer,
      m_Impl->call(Call::Reboot, Priority,
                   send("POST", "/v1/instances/" + Id.m_Text + "/reboot",
                        encodeReboot(Token))));
  if (Answer.m_Status != HttpAccepted)
    return m_Impl->unexpectedStatus(Call::Reboot, Answer);
  return success();
}

std::vector<CallCount> HttpPlatform::counters() const {
  std::vector<CallCount> Counts;
  for (std::size_t C = 0; C < CallNames.size(); ++C)
    for (std::size_t O = 0; O < OutcomeNames.size(); ++O)
      if (std::uint64_t Count = m_Impl->m_Counts[C][O].load())
        Counts.push_back({CallNames[C], OutcomeNames[O], Count});
  return Counts;
}

bool HttpPlatform::isOpen() const {
  std::lock_guard<std::mutex> Lock(m_Impl->m_Mutex);
  return m_Impl->m_Limiter.isOpen();
}

} // namespace pollenspool
