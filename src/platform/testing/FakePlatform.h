//===- FakePlatform.h - The platform in memory, for tests -------*- C++ -*-===//
//
// A transactional table, an object store and an instance list with the faults
// of docs/PLATFORM.md. For unit tests, fuzzers and benchmarks only.
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
  /// Calls that a knob made fail.
  std::uint64_t m_Failed = 0;
};

/// Thread safe. Calls answer at once.
class FakePlatform : public Platform {
public:
  /// While set, each call fails with ConnectFailed and has no effect.
  void setOutage(bool Outage);
  /// The next \p Count transactions take effect and then fail with
  /// ConnectionLost.
  void loseReplies(std::uint32_t Count);
  /// The next \p Count calls fail with Timeout and have no effect.
  void failNext(std::uint32_t Count);
  /// Called without the lock before each call, e.g. to wait for a latency.
  void setBeforeCall(std::function<void()> Hook);
  void setInstances(std::vector<ListedInstance> List);

  FakePlatformCounts counts() const;
  /// The row as it stands, past all faults; empty if absent.
  std::optional<Row> peek(const std::string &Key) const;
  /// Number of rows under \p Prefix, past all faults.
  std::size_t countRows(const std::string &Prefix) const;
  /// IDs that were asked to reboot, once per token.
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
  /// Runs the hook, takes the lock and applies the outage and failNext knobs.
  Result<std::unique_lock<std::mutex>> enter(const char *Step);
  CommitResult apply(const Transaction &Txn);
  RowSet rowsUnder(const std::string &Prefix, Revision Since,
                   bool WithDeleted) const;

  mutable std::mutex m_Mutex;
  std::function<void()> m_BeforeCall;
  bool m_Outage = false;
  std::uint32_t m_LoseReplies = 0;
  std::uint32_t m_FailNext = 0;
  Revision m_Revision = 0;
  /// Deleted rows stay as tombstones.
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
