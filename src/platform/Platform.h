//===- Platform.h - What the platform's service offers ----------*- C++ -*-===//
//
// The interface of the table service, the object store and the instance list
// (docs/PLATFORM.md). HttpPlatform implements it; tests use hand-written fakes.
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

/// The table's commit counter; also a row's version. 0: the row is absent.
using Revision = std::uint64_t;

/// A row of the table. A deleted row appears only among changes.
struct Row {
  std::string m_Key;
  std::string m_Value;
  Revision m_Revision = 0;
  bool m_Deleted = false;
};

/// The revision that a row must have for a transaction to take effect.
struct RowCheck {
  std::string m_Key;
  Revision m_Revision = 0;
};

struct RowWrite {
  std::string m_Key;
  std::string m_Value;
  bool m_Delete = false;
};

/// All checks hold and all writes take effect, or none. A transaction whose
/// reply was lost is repeated with the same token and then tells what came of
/// the first.
struct Transaction {
  std::string m_Token;
  std::vector<RowCheck> m_Checks;
  std::vector<RowWrite> m_Writes;
};

/// What came of a transaction that the platform decided on.
struct CommitResult {
  /// The revision of the commit; 0 if it was refused.
  Revision m_Revision = 0;
  /// The rows whose checks failed, as they stand.
  std::vector<Row> m_Conflicts;

  bool isCommitted() const { return m_Revision != 0; }
};

/// Rows and the table's revision at the time of the read.
struct RowSet {
  Revision m_Revision = 0;
  std::vector<Row> m_Rows;
};

enum class InstanceKind : std::uint8_t { Backend, Entry };
enum class InstanceState : std::uint8_t { Live, Leaving, Gone };

/// One line of the platform's lagging list.
struct ListedInstance {
  InstanceId m_Id;
  InstanceKind m_Kind = InstanceKind::Backend;
  DataCentreName m_DataCentre;
  RackName m_Rack;
  std::string m_Address;
  InstanceState m_State = InstanceState::Live;
  /// Rises with each change of the instance's state.
  std::uint64_t m_Epoch = 0;
};

/// What a call is for. Calls of a lower value go first when the client's
/// budget runs short.
enum class CallPriority : std::uint8_t { Claim, Safety, Control, Background };

/// The platform's calls. Implementations are thread safe and block for at most
/// their time-out. Errors: OverBudget and Unavailable mean that nothing was
/// sent; Timeout and ConnectionLost mean that a write may have taken effect;
/// ConnectFailed means that it did not.
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
  /// Asks for a reboot; a repeat with the same \p Token is the same reboot.
  virtual Result<void> reboot(const InstanceId &Id, const std::string &Token,
                              CallPriority Priority) = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PLATFORM_PLATFORM_H
