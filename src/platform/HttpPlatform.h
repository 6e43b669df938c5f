//===- HttpPlatform.h - The platform over HTTP ------------------*- C++ -*-===//
//
// Implements Platform over docs/PLATFORM.md. Each call passes the CallGate and
// is sent at most once; repeating is up to the caller, who knows its token.
//
// A doubled or late answer on a kept-alive connection would be handed to the
// next call. Each call therefore carries the header Pollenspool-Call. A
// connection is kept only after an answer that echoes it, and on a kept
// connection an answer without the right echo is an error. A platform that
// does not echo gets a fresh connection for each call, on which only the answer
// to that call can arrive. A failed call's connection is always closed.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PLATFORM_HTTPPLATFORM_H
#define POLLENSPOOL_PLATFORM_HTTPPLATFORM_H

#include "platform/CallGate.h"
#include <memory>

namespace pollenspool {

struct HttpPlatformSettings {
  /// "ip:port".
  std::string m_Address;
  std::chrono::milliseconds m_ConnectTimeout{1000};
  /// Longest silence while waiting for an answer, and longest time for a body.
  std::chrono::milliseconds m_CallTimeout{3000};
  CallGateSettings m_Gate;
  std::size_t m_MaxIdleConnections = 4;
};

/// Number of calls of one kind with one outcome.
struct CallCount {
  std::string_view m_Call;
  /// "ok", "conflict" or the snake_case reason of the failure.
  std::string_view m_Outcome;
  std::uint64_t m_Count = 0;
};

/// A client of one platform. Thread safe.
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

  /// Calls by kind and outcome since the start; kinds without calls are left
  /// out. Thread safe.
  std::vector<CallCount> counters() const;

  /// True while the circuit breaker is not closed. Thread safe.
  bool isOpen() const;

private:
  struct Impl;
  explicit HttpPlatform(std::unique_ptr<Impl> State);

  std::unique_ptr<Impl> m_Impl;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PLATFORM_HTTPPLATFORM_H
