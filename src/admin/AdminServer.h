//===- AdminServer.h - HTTP server for operators ----------------*- C++ -*-===//
//
// Serves status, metrics and the operators' calls. Calls that change something
// require the operators' bearer token.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ADMIN_ADMINSERVER_H
#define POLLENSPOOL_ADMIN_ADMINSERVER_H

#include "base/Error.h"
#include "gateway/WorkerPool.h"
#include <functional>
#include <httplib.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace pollenspool {

/// An operator's HTTP request.
struct AdminCall {
  std::string m_Body;
  std::string m_Query;
};

/// Reply to an AdminCall; the body is JSON unless the route sets another
/// content type.
struct AdminReply {
  int m_Status = 200;
  std::string m_Body;
  std::string m_ContentType = "application/json";
};

using AdminHandler = std::function<AdminReply(const AdminCall &)>;

/// One method and path. \p m_NeedsToken must be set for calls that change state
/// or reveal confidential data.
struct AdminRoute {
  std::string m_Method;
  std::string m_Path;
  bool m_NeedsToken = true;
  AdminHandler m_Handler;
};

struct AdminSettings {
  std::string m_Listen;
  /// The operators' bearer token. If empty, calls that need a token are
  /// refused.
  std::string m_Token;
};

/// Thread safe. Handlers run concurrently on the server's threads.
class AdminServer {
public:
  /// Binds the address and starts serving. Errors: InvalidSettings, Unavailable
  /// if the address is in use.
  static Result<std::unique_ptr<AdminServer>>
  create(AdminSettings Settings, std::vector<AdminRoute> Routes);
  ~AdminServer();

private:
  explicit AdminServer(AdminSettings Settings);

  void addRoute(const AdminRoute &Route);
  bool isAuthorized(const httplib::Request &In) const;

  AdminSettings m_Settings;
  TaskCount m_Tasks;
  httplib::Server m_Server;
  std::thread m_Acceptor;
};

/// Returns a reply with the body {"error": \p Text}. Thread safe.
AdminReply adminError(int Status, const std::string &Text);

/// Returns the reply for an error, with status 400, 404, 409, 500 or 503
/// depending on its code. Thread safe.
AdminReply adminError(const Error &Fault);

} // namespace pollenspool

#endif // POLLENSPOOL_ADMIN_ADMINSERVER_H
