//===- AdminClient.h - HTTP client of the operators' port -------*- C++ -*-===//

#ifndef POLLENSPOOL_TOOLS_ADMINCLIENT_H
#define POLLENSPOOL_TOOLS_ADMINCLIENT_H

#include "base/Error.h"
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pollenspool {

/// A reply of the operators' port.
struct AdminResponse {
  int m_Status = 0;
  nlohmann::ordered_json m_Body;
};

/// Calls the operators' port of the first entry instance in a list that can be
/// reached. Not thread safe.
class AdminClient {
public:
  AdminClient(std::vector<std::string> Entries, std::string Token)
      : m_Entries(std::move(Entries)), m_Token(std::move(Token)) {}

  /// Errors: InvalidArgument if an address is invalid or none is given;
  /// ConnectFailed if no entry instance can be reached; ConnectionLost if the
  /// connection failed after the request was sent, so that the call may have
  /// taken effect; InvalidMessage if the reply is not JSON.
  Result<AdminResponse> get(const std::string &Path);
  /// Errors: as get().
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
