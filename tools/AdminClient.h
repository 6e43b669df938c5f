//===- AdminClient.h - Calls of an entry instance's operators' port -------===//

#ifndef POLLENSPOOL_TOOLS_ADMINCLIENT_H
#define POLLENSPOOL_TOOLS_ADMINCLIENT_H

#include "base/Error.h"
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pollenspool {

/// An answer of the operators' port.
struct AdminResponse {
  int m_Status = 0;
  nlohmann::ordered_json m_Body;
};

/// Calls the first of several entry instances that can be reached. One thread
/// at a time.
class AdminClient {
public:
  AdminClient(std::vector<std::string> Entries, std::string Token)
      : m_Entries(std::move(Entries)), m_Token(std::move(Token)) {}

  /// Errors: InvalidArgument for an address; ConnectFailed if no entry
  /// instance can be reached; ConnectionLost if one was and broke off, so that
  /// the call may have taken effect.
  Result<AdminResponse> get(const std::string &Path);
  Result<AdminResponse> post(const std::string &Path,
                             const nlohmann::ordered_json &Body);

private:
  Result<AdminResponse> send(const std::string &Method, const std::string &Path,
                             const std::string &Body);
  Result<AdminResponse> sendTo(const std::string &Entry,
                               const std::string &Method,
                               const std::string &Path,
                               const std::string &Body);

  std::vector<std::string> m_Entries;
  std::string m_Token;
};

} // namespace pollenspool

#endif // POLLENSPOOL_TOOLS_ADMINCLIENT_H
