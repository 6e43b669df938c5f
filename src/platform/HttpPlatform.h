//===- HttpPlatform.h - HTTP client of the platform -------------*- C++ -*-===//
//
// Implements Platform over the HTTP interface of docs/PLATFORM.md. Each call is
// admitted by the CallLimiter and sent at most once. Retries are left to the
// caller, who knows the token that makes them safe.
//
// A duplicate or late answer on a keep-alive connection would be taken for the
// answer to the next call. Therefore each call carries its ID in the header
// Pollenspool-Call. A connection is reused only after an answer that echoes the
// ID, and on a reused connection an answer without the right echo is an error.
// With a platform that does not echo the ID, each call opens a new connection,
// on which only the answer to that call can arrive. The connection of a failed
// call is always closed.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PLATFORM_HTTPPLATFORM_H
#define POLLENSPOOL_PLATFORM_HTTPPLATFORM_H

#include "platform/CallLimiter.h"
#include <memory>

namespace pollenspool {

struct HttpPlatformSettings {
  /// "ip:port".
  std::string m_Address;
  std::chrono::milliseconds m_ConnectTimeout{1000};
  /// Maximum time without data while waiting for an answer, and maximum time of
  /// the whole call until the answer's body is complete.
  std::chrono::milliseconds m_CallTimeout{3000};
  CallLimiterSettings m_Limiter;
  std::size_t m_MaxIdleConnections = 4;
};

/// The number of calls of one kind with one outcome.
struct CallCount {
  std::string_view m_Call;
  /// "ok", "conflict" or the reason of the failure in snake_case.
  std::string_view m_Outcome;
  std::uint64_t m_Count = 0;
};

/// Client of one platform. Thread safe.
class HttpPlatform : public Platform {
public:
  /// Errors: InvalidSettings. Opens no connection yet.
  static Result<std::unique_ptr<HttpPlatform>>
  create(HttpPlatformSettings Settings);
  ~HttpPlatform() override;

  Result<CommitResult> transact(const Transaction &Txn,
                                CallPriority Priority) override;
  Result<RowSet> read(const std::vector<std::string> &Keys,
                      CallPriority Priority) override;
  Result<RowSet> scan(const std::string &Prefix,
                      CallPriority Priority) override;
  Result<RowSet> changes(Revision Since,
                         const std::vector<std::string> &Prefixes,
                         CallPriority Priority) override;
  Result<void> putObject(const std::string &ObjectName,
                         const std::string &Content,
                         CallPriority Priority) override;
  Result<std::string> getObject(const std::string &ObjectName,
                                CallPriority Priority) override;
  Result<std::vector<ListedInstance>> instances(CallPriority Priority) override;
  Result<void> reboot(const InstanceId &Id, const std::string &Token,
                      CallPriority Priority) override;

  /// Returns the calls since the start by kind and outcome, without those that
  /// never occurred. Thread safe.
  std::vector<CallCount> counters() const;

  /// Returns true while the circuit breaker is not closed. Thread safe.
  bool isOpen() const;

private:
  struct Impl;
  explicit HttpPlatform(std::unique_ptr<Impl> State);

  std::unique_ptr<Impl> m_Impl;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PLATFORM_HTTPPLATFORM_H
