//===- AdminClient.cpp - HTTP client of the operators' port ---------------===//

#include "AdminClient.h"
#include "base/Address.h"
#include <httplib.h>

namespace pollenspool {

namespace {

constexpr std::chrono::seconds ConnectTimeout{2};
constexpr std::chrono::seconds ReplyTimeout{30};

} // namespace

Result<AdminResponse> AdminClient::get(const std::string &Path) {
  return send("GET", Path, "");
}

Result<AdminResponse> AdminClient::post(const std::string &Path,
                                        const nlohmann::ordered_json &Body) {
  return send("POST", Path, Body.dump());
}

Result<AdminResponse> AdminClient::send(const std::string &Method,
                                        const std::string &Path,
                                        const std::string &Body) {
  Error Last = makeError(ErrorCode::InvalidArgument, Method + " " + Path, {},
                         "no entry instance is given (--entry)");
  for (const std::string &Entry : m_Entries) {
    auto Reply = sendTo(Entry, Method, Path, Body);
    if (Reply || Reply.error().m_Code != ErrorCode::ConnectFailed)
      return Reply;
    Last = Reply.error();
  }
  return Last;
}

Result<AdminResponse> AdminClient::sendTo(const std::string &Entry,
                                          const std::string &Method,
                                          const std::string &Path,
                                          const std::string &Body) {
  std::string Step = Method + " " + Path;
  auto ParsedAddress = parseAddress(Entry);
  if (!ParsedAddress)
    return makeError(ErrorCode::InvalidArgument, Step, Entry,
                     "not an IPv4 address and port (ip:port)");
  httplib::Client Client(ParsedAddress->m_Host, ParsedAddress->m_Port);
  Client.set_connection_timeout(ConnectTimeout);
  Client.set_read_timeout(ReplyTimeout);
  httplib::Request HttpRequest;
  HttpRequest.method = Method;
  HttpRequest.path = Path;
  HttpRequest.body = Body;
  if (!m_Token.empty())
    HttpRequest.headers.emplace("Authorization", "Bearer " + m_Token);
  if (!Body.empty())
    HttpRequest.headers.emplace("Content-Type", "application/json");
  auto Reply = Client.send(HttpRequest);
  if (!Reply) {
    bool NotSent = Reply.error() == httplib::Error::Connection ||
                   Reply.error() == httplib::Error::ConnectionTimeout;
    return makeError(NotSent ? ErrorCode::ConnectFailed
                             : ErrorCode::ConnectionLost,
                     Step, Entry, httplib::to_string(Reply.error()));
  }
  auto Json = nlohmann::ordered_json::parse(Reply->body, nullptr, false);
  if (Json.is_discarded())
    return makeError(ErrorCode::InvalidMessage, Step, Entry,
                     "the answer is not JSON");
  return AdminResponse{Reply->status, std::move(Json)};
}

} // namespace pollenspool
