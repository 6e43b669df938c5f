//===- AdminServer.h - HTTP towards operators -------------------*- C++ -*-===//
//
// Status, metrics and the operators' calls. Calls that change something need
// the operators' bearer token.
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

/// An operator's call.
struct AdminCall {
  std::string m_Body;
  std::string m_Query;
};

/// Its answer; the body is JSON unless the route says otherwise.
struct AdminReply {
  int m_Status = 200;
  std::string m_Body;
  std::string m_ContentType = "application/json";
};

using AdminHandler = std::function<AdminReply(const AdminCall &)>;

/// One path; \p m_NeedsToken for everything that changes or reveals.
struct AdminRoute {
  std::string m_Method;
  std::string m_Path;
  bool m_NeedsToken = true;
  AdminHandler m_Handler;
};

struct AdminSettings {
  std::string m_Listen;
  /// Empty: calls that need a token are refused.
  std::string m_Token;
};

/// Thread safe; handlers run on its own threads.
class AdminServer {
public:
  /// Binds and starts. Errors: InvalidSettings, Unavailable.
  static Result<std::unique_ptr<AdminServer>>
  create(AdminSettings Settings, std::vector<AdminRoute> Routes);
  ~AdminServer();

private:
  explicit AdminServer(AdminSettings Settings);

  void addRoute(const AdminRoute &Route);
  bool mayCall(const httplib::Request &In) const;

  AdminSettings m_Settings;
  TaskCount m_Tasks;
  httplib::Server m_Server;
  std::thread m_Acceptor;
};

/// A reply with {"error": \p Text}. Thread safe.
AdminReply adminError(int Status, const std::string &Text);

/// The reply for a failed step: 409, 400, 503 or 500 by its code. Thread safe.
AdminReply adminError(const Error &Fault);

} // namespace pollenspool

#endif // POLLENSPOOL_ADMIN_ADMINSERVER_H
