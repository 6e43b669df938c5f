//===- Platform.h - Interface of the platform's services --------*- C++ -*-===//
//
// Interface of the table service, the object store and the instance list, which
// docs/PLATFORM.md specifies. HttpPlatform implements it; tests use fakes.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PLATFORM_PLATFORM_H
#define POLLENSPOOL_PLATFORM_PLATFORM_H

#include "base/Error.h"
#include "base/Ids.h"
#include <cstdint>
#include <string>
#include <vector>

namespace pollenspool {

/// The commit counter of the table. The revision of a row is that of its last
/// write, or 0 if the row is absent.
using Revision = std::uint64_t;

/// A row of the table. Deleted rows appear only in the results of changes().
struct Row {
  std::string m_Key;
  std::string m_Value;
  Revision m_Revision = 0;
  bool m_Deleted = false;
};

/// Precondition of a transaction: the row must have this revision.
struct RowCheck {
  std::string m_Key;
  Revision m_Revision = 0;
};

struct RowWrite {
  std::string m_Key;
  std::string m_Value;
  bool m_Delete = false;
};

/// Atomic: if all checks hold, all writes take effect; otherwise none does. If
/// the reply is lost, the transaction can be repeated with the same token. The
/// repeat is not applied again and returns the outcome of the first one.
struct Transaction {
  std::string m_Token;
  std::vector<RowCheck> m_Checks;
  std::vector<RowWrite> m_Writes;
};

/// The outcome of a transaction that the platform committed or rejected.
struct CommitResult {
  /// The revision of the commit; 0 if a check failed.
  Revision m_Revision = 0;
  /// The current state of the rows whose checks failed.
  std::vector<Row> m_Conflicts;

  bool isCommitted() const { return m_Revision != 0; }
};

/// Rows, and the revision of the table when they were read.
struct RowSet {
  Revision m_Revision = 0;
  std::vector<Row> m_Rows;
};

enum class InstanceKind : std::uint8_t { Backend, Entry };
enum class InstanceState : std::uint8_t { Live, Leaving, Gone };

/// One entry of the platform's instance list, which is eventually consistent.
struct ListedInstance {
  InstanceId m_Id;
  InstanceKind m_Kind = InstanceKind::Backend;
  DataCentreName m_DataCentre;
  RackName m_Rack;
  std::string m_Address;
  InstanceState m_State = InstanceState::Live;
  /// Increases with each change of the instance's state.
  std::uint64_t m_Epoch = 0;
};

/// The purpose of a call; a lower value has precedence. When the client's call
/// rate is exhausted, each priority still has its reserved share of it.
enum class CallPriority : std::uint8_t { Claim, Safety, Control, Background };

/// Calls to the platform. Implementations are thread safe; each call blocks for
/// at most its time-out. Errors: RateLimited and Unavailable if the call was
/// not sent; Timeout and ConnectionLost if it failed and a write may have taken
/// effect; ConnectFailed if it failed without effect.
class Platform {
public:
  virtual ~Platform() = default;

  virtual Result<CommitResult> transact(const Transaction &Txn,
                                        CallPriority Priority) = 0;
  virtual Result<RowSet> read(const std::vector<std::string> &Keys,
                              CallPriority Priority) = 0;
  virtual Result<RowSet> scan(const std::string &Prefix,
                              CallPriority Priority) = 0;
  virtual Result<RowSet> changes(Revision Since,
                                 const std::vector<std::string> &Prefixes,
                                 CallPriority Priority) = 0;
  virtual Result<void> putObject(const std::string &ObjectName,
                                 const std::string &Content,
                                 CallPriority Priority) = 0;
  virtual Result<std::string> getObject(const std::string &ObjectName,
                                        CallPriority Priority) = 0;
  virtual Result<std::vector<ListedInstance>>
  instances(CallPriority Priority) = 0;
  /// Requests a reboot. A repeat with the same \p Token causes no second
  /// reboot.
  virtual Result<void> reboot(const InstanceId &Id, const std::string &Token,
                              CallPriority Priority) = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PLATFORM_PLATFORM_H
