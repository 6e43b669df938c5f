//===- AdminServer.cpp - HTTP server for operators ------------------------===//

#include "admin/AdminServer.h"
#include "base/Address.h"
#include "gateway/CallerServer.h"
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace pollenspool {

namespace {

constexpr std::size_t AdminThreads = 8;
constexpr std::size_t MaxAdminBodyBytes = std::size_t{1} << 20;
constexpr const char *BearerPrefix = "Bearer ";

bool equalsInConstantTime(const std::string &A, const std::string &B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

/// An HTTP method and the httplib function that registers a handler for it.
struct MethodEntry {
  const char *m_Name;
  httplib::Server &(httplib::Server::*m_Register)(const std::string &,
                                                  httplib::Server::Handler);
};

constexpr std::array<MethodEntry, 3> Methods = {{
    {"GET", &httplib::Server::Get},
    {"POST", &httplib::Server::Post},
    {"DELETE", &httplib::Server::Delete},
}};

int statusOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidArgument:
  case ErrorCode::InvalidDocument:
  case ErrorCode::InvalidMessage:
  case ErrorCode::InvalidSettings:
    return 400;
  case ErrorCode::NotFound:
    return 404;
  case ErrorCode::Conflict:
    return 409;
  case ErrorCode::Internal:
    return 500;
  default:
    return 503;
  }
}

} // namespace

AdminReply adminError(int Status, const std::string &Text) {
  nlohmann::ordered_json Body;
  Body["error"] = Text;
  return AdminReply{Status, Body.dump(), "application/json"};
}

AdminReply adminError(const Error &Fault) {
  return adminError(statusOf(Fault.m_Code), Fault.describe());
}

AdminServer::AdminServer(AdminSettings Settings)
    : m_Settings(std::move(Settings)) {}

AdminServer::~AdminServer() {
  m_Server.stop();
  if (m_Acceptor.joinable())
    m_Acceptor.join();
}

Result<std::unique_ptr<AdminServer>>
AdminServer::create(AdminSettings Settings, std::vector<AdminRoute> Routes) {
  auto Where = parseAddress(Settings.m_Listen);
  if (!Where)
    return makeError(ErrorCode::InvalidSettings, "listen for operators",
                     Settings.m_Listen, "not an ip:port");
  std::unique_ptr<AdminServer> Created(new AdminServer(std::move(Settings)));
  httplib::Server &Server = Created->m_Server;
  Server.set_socket_options(disablePortSharing);
  Server.set_tcp_nodelay(true);
  Server.set_payload_max_length(MaxAdminBodyBytes);
  Server.new_task_queue = [Self = Created.get()] {
    return new WorkerPool(AdminThreads, Self->m_Tasks);
  };
  for (const AdminRoute &Route : Routes)
    Created->addRoute(Route);
  if (!Server.bind_to_port(Where->m_Host, Where->m_Port))
    return makeError(ErrorCode::Unavailable, "listen for operators",
                     Created->m_Settings.m_Listen, "cannot bind the address");
  Created->m_Acceptor = std::thread(
      [Self = Created.get()] { Self->m_Server.listen_after_bind(); });
  return Created;
}

bool AdminServer::isAuthorized(const httplib::Request &In) const {
  if (m_Settings.m_Token.empty())
    return false;
  std::string Given = In.get_header_value("Authorization");
  return equalsInConstantTime(Given, BearerPrefix + m_Settings.m_Token);
}

void AdminServer::addRoute(const AdminRoute &Route) {
  auto Handle = [this, Route](const httplib::Request &In,
                              httplib::Response &Out) {
    AdminReply Reply =
        Route.m_NeedsToken && !isAuthorized(In)
            ? adminError(401, "a valid operators' token is required")
            : Route.m_Handler(AdminCall{In.body, In.target});
    Out.status = Reply.m_Status;
    Out.set_content(Reply.m_Body, Reply.m_ContentType.c_str());
  };
  for (const MethodEntry &Method : Methods)
    if (Route.m_Method == Method.m_Name)
      (m_Server.*Method.m_Register)(Route.m_Path, Handle);
}

} // namespace pollenspool
