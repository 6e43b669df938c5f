//===- BackendCall.cpp - One try at a backend server ----------------------===//

#include "gateway/BackendCall.h"
#include "base/Address.h"
#include <httplib.h>

namespace pollenspool {

namespace {

constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int FirstErrorStatus = 500;
constexpr int ServiceUnavailable = 503;

TryReport failed(TryResult Result, Reason Why) {
  TryReport Report;
  Report.m_Result = Result;
  Report.m_Reason = Why;
  return Report;
}

/// True if the end of the body can be recognised. Without a Content-Length and
/// without chunked transfer coding, the body ends when the connection closes,
/// so a truncated body cannot be told from a complete one.
bool isFramed(const httplib::Response &Reply, const std::string &Method) {
  if (Method == "HEAD" || Reply.status == NoContent ||
      Reply.status == NotModified)
    return true;
  if (Reply.has_header("Content-Length"))
    return true;
  return sameHeader(Reply.get_header_value("Transfer-Encoding"), "chunked");
}

/// True unless the reply carries a request ID other than \p Id. Backend servers
/// need not return the ID.
bool hasMatchingRequestId(const httplib::Response &Reply, const RequestId &Id) {
  if (!Reply.has_header(headers::RequestIdHeader))
    return true;
  return Reply.get_header_value(headers::RequestIdHeader) == Id.m_Text;
}

Answer toAnswer(httplib::Response &Reply) {
  Answer BackendAnswer;
  BackendAnswer.m_Status = Reply.status;
  for (const auto &[HeaderName, Value] : Reply.headers)
    if (!isHopByHop(HeaderName))
      BackendAnswer.m_Headers.push_back(Header{HeaderName, Value});
  BackendAnswer.m_Body = std::move(Reply.body);
  return BackendAnswer;
}

TryReport interpretReply(httplib::Response &Reply,
                         const CallerRequest &Request) {
  if (!isFramed(Reply, Request.m_Method))
    return failed(TryResult::Unknown, Reason::BackendUnframed);
  if (!hasMatchingRequestId(Reply, Request.m_Info.m_Id))
    return failed(TryResult::Unknown, Reason::BackendMismatch);
  bool SaysNotRun = Reply.status == ServiceUnavailable &&
                    Reply.get_header_value(headers::NotRun) == "1";
  if (SaysNotRun)
    return failed(TryResult::NotRun, Reason::NoInstance);
  TryReport Report;
  Report.m_Result = Reply.status >= FirstErrorStatus
                        ? TryResult::AnsweredWithError
                        : TryResult::Answered;
  Report.m_Answer = toAnswer(Reply);
  return Report;
}

TryReport classifyError(httplib::Error Fault, bool TimeIsUp) {
  // Only a failure to connect proves that nothing was written.
  if (Fault == httplib::Error::Connection ||
      Fault == httplib::Error::ConnectionTimeout ||
      Fault == httplib::Error::BindIPAddress)
    return failed(TryResult::NotRun, Reason::NoInstance);
  if (TimeIsUp)
    return failed(TryResult::Unknown, Reason::BackendTimeout);
  return failed(TryResult::Unknown, Reason::BackendConnectionLost);
}

httplib::Request toWire(const CallerRequest &Request, Duration Remaining) {
  httplib::Request Wire;
  Wire.method = Request.m_Method;
  Wire.path = Request.m_Target;
  Wire.body = Request.m_Body;
  for (const Header &H : Request.m_Headers)
    Wire.headers.emplace(H.m_Name, H.m_Value);
  auto RemainingMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Remaining);
  Wire.headers.erase(headers::RequestIdHeader);
  Wire.headers.emplace(headers::RequestIdHeader, Request.m_Info.m_Id.m_Text);
  Wire.headers.emplace(headers::DeadlineMs,
                       std::to_string(RemainingMs.count()));
  Wire.headers.emplace(headers::Service, Request.m_Info.m_Service.m_Text);
  if (!Wire.has_header(headers::Repeatable))
    Wire.headers.emplace(headers::Repeatable,
                         Request.m_Info.m_Repeatable ? "true" : "false");
  return Wire;
}

} // namespace

BackendCall::BackendCall(std::unique_ptr<httplib::Client> Client)
    : m_Client(std::move(Client)) {}

BackendCall::~BackendCall() = default;

Result<std::unique_ptr<BackendCall>>
BackendCall::create(const std::string &InstanceAddress, BackendLimits Limits) {
  auto Peer = parseAddress(InstanceAddress);
  if (!Peer)
    return makeError(ErrorCode::InvalidArgument, "open backend connection",
                     InstanceAddress, "not an ip:port");
  auto Client = std::make_unique<httplib::Client>(Peer->m_Host, Peer->m_Port);
  Client->set_keep_alive(false);
  Client->set_tcp_nodelay(true);
  Client->set_follow_location(false);
  Client->set_decompress(false);
  Client->set_url_encode(false);
  Client->set_connection_timeout(Limits.m_ConnectTimeout);
  return std::unique_ptr<BackendCall>(new BackendCall(std::move(Client)));
}

TryReport BackendCall::run(const CallerRequest &Request, Duration Remaining) {
  if (m_Aborted || Remaining <= Duration::zero())
    return failed(TryResult::NotRun, Reason::Cancelled);
  TimePoint Start = steadyNow();
  m_Client->set_read_timeout(Remaining);
  m_Client->set_write_timeout(Remaining);
  httplib::Response Reply;
  httplib::Error Fault = httplib::Error::Success;
  httplib::Request Wire = toWire(Request, Remaining);
  if (m_Client->send(Wire, Reply, Fault))
    return interpretReply(Reply, Request);
  return classifyError(Fault, steadyNow() - Start >= Remaining);
}

void BackendCall::abort() {
  m_Aborted = true;
  m_Client->stop();
}

} // namespace pollenspool
