//===- FakePlatform.h - In-memory platform for tests ------------*- C++ -*-===//
//
// In-memory table, object store and instance list that can inject the faults of
// docs/PLATFORM.md. For unit tests, fuzzers and benchmarks only.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PLATFORM_TESTING_FAKEPLATFORM_H
#define POLLENSPOOL_PLATFORM_TESTING_FAKEPLATFORM_H

#include "platform/Platform.h"
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace pollenspool {

struct FakePlatformCounts {
  std::uint64_t m_Transactions = 0;
  std::uint64_t m_Committed = 0;
  std::uint64_t m_RowsWritten = 0;
  std::uint64_t m_Reads = 0;
  /// Calls that failed because of an injected fault.
  std::uint64_t m_Failed = 0;
};

/// Thread safe. Calls return without delay unless a hook waits.
class FakePlatform : public Platform {
public:
  /// While set, each call fails with ConnectFailed and has no effect.
  void setOutage(bool Outage);
  /// The next \p Count transactions take effect and then fail with
  /// ConnectionLost.
  void loseReplies(std::uint32_t Count);
  /// The next \p Count calls fail with Timeout and have no effect.
  void failNext(std::uint32_t Count);
  /// Sets a hook that runs before each call without the lock held, for example
  /// to simulate latency.
  void setBeforeCall(std::function<void()> Hook);
  void setInstances(std::vector<ListedInstance> List);

  FakePlatformCounts counts() const;
  /// Returns the current row regardless of injected faults; empty if absent.
  std::optional<Row> peek(const std::string &Key) const;
  /// Returns the number of rows with the key prefix \p Prefix, regardless of
  /// injected faults.
  std::size_t countRows(const std::string &Prefix) const;
  /// Returns the instances for which a reboot was requested, once per token.
  std::vector<InstanceId> reboots() const;

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

private:
  /// Runs the hook, locks the mutex and injects the faults of setOutage() and
  /// failNext().
  Result<std::unique_lock<std::mutex>> beginCall(const char *Step);
  CommitResult apply(const Transaction &Txn);
  RowSet rowsWithPrefix(const std::string &Prefix, Revision Since,
                        bool WithDeleted) const;

  mutable std::mutex m_Mutex;
  std::function<void()> m_BeforeCall;
  bool m_Outage = false;
  std::uint32_t m_LoseReplies = 0;
  std::uint32_t m_FailNext = 0;
  Revision m_Revision = 0;
  /// Rows by key; deleted rows remain as tombstones.
  std::map<std::string, Row> m_Rows;
  std::map<std::string, CommitResult> m_Outcomes;
  std::map<std::string, std::string> m_Objects;
  std::vector<ListedInstance> m_Instances;
  std::set<std::string> m_RebootTokens;
  std::vector<InstanceId> m_Reboots;
  FakePlatformCounts m_Counts;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PLATFORM_TESTING_FAKEPLATFORM_H
