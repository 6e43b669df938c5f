//===- FleetRows.h - Table rows of budgets, moves and waves -----*- C++ -*-===//
//
// These rows hold the whole state of moves and waves, so that any entry
// instance can continue where another stopped. A transaction that drains an
// instance or returns it to service also writes its pool's budget row, which
// serializes all planned changes of one pool.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_FLEETROWS_H
#define POLLENSPOOL_FLEET_FLEETROWS_H

#include "base/Error.h"
#include "base/Ids.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenspool {

constexpr const char *PoolRowPrefix = "pool/";
constexpr const char *MoveRowPrefix = "move/";
constexpr const char *WaveRowPrefix = "wave/";
constexpr const char *WaveMemberRowPrefix = "wave-member/";
constexpr const char *WaveBatchRowPrefix = "wave-batch/";
constexpr const char *RunnerRowKey = "runner";

/// One used unit of a pool's availability budget: an instance that is not
/// serving because of a move or wave.
struct BudgetUnit {
  InstanceId m_Instance;
  /// The move or wave that uses the unit, as in InstanceRow::m_Holder.
  std::string m_Holder;
};

/// Key "pool/NAME/budget": the used units of the pool's availability budget.
struct BudgetRow {
  PoolName m_Pool;
  std::vector<BudgetUnit> m_Units;
};

enum class MoveState : std::uint8_t { Waiting, Draining, Done, Cancelled };

/// Key "move/INSTANCE": the latest move of one instance. The key names the
/// instance and not the move, so that concurrent moves of one instance
/// conflict.
struct MoveRow {
  MoveId m_Id;
  InstanceId m_Instance;
  PoolName m_Source;
  PoolName m_Target;
  MoveState m_State = MoveState::Waiting;
  std::string m_Operator;
  /// Why the move was cancelled; empty otherwise.
  std::string m_Reason;

  bool isActive() const {
    return m_State == MoveState::Waiting || m_State == MoveState::Draining;
  }
};

enum class WaveState : std::uint8_t {
  Running,
  Paused,
  Cancelling,
  Done,
  Cancelled
};
enum class WaveSetKind : std::uint8_t { Pool, Rack, DataCentre, All };

/// The failure domain that all instances held by a wave at one time must share.
/// With None the wave still goes through the members domain by domain, but may
/// hold instances of several domains.
enum class DomainRule : std::uint8_t { None, Rack, DataCentre };

/// The set of instances that a wave was ordered for; the name is empty for All.
struct WaveSet {
  WaveSetKind m_Kind = WaveSetKind::All;
  std::string m_Name;
};

/// A member that the wave could not maintain.
struct FailedMember {
  InstanceId m_Instance;
  std::string m_Reason;
};

/// Key "wave/ID". The members are the instances of the set at the time when the
/// wave started.
struct WaveRow {
  WaveId m_Id;
  WaveSet m_Set;
  /// Largest number of instances that the wave may hold at one time.
  std::uint32_t m_MaxBatch = 1;
  DomainRule m_Rule = DomainRule::None;
  WaveState m_State = WaveState::Running;
  std::vector<InstanceId> m_Members;
  std::string m_Operator;
  /// Number of maintained members; m_Done and m_Failed are written when the
  /// wave ends.
  std::uint32_t m_Done = 0;
  std::vector<FailedMember> m_Failed;

  bool isActive() const {
    return m_State != WaveState::Done && m_State != WaveState::Cancelled;
  }
};

enum class MemberPhase : std::uint8_t { Draining, Rebooting, Done, Failed };

/// Key "wave-member/WAVE/INSTANCE": a member whose drain has started or that
/// has failed. A member without a row is pending.
struct WaveMemberRow {
  WaveId m_Wave;
  InstanceId m_Instance;
  MemberPhase m_Phase = MemberPhase::Draining;
  /// Epoch of the instance in the platform's list before the reboot.
  std::uint64_t m_ListEpoch = 0;
  /// Idempotency token of the reboot.
  std::string m_RebootToken;
  /// Why the member failed; empty otherwise.
  std::string m_Reason;
};

/// Key "wave-batch/ID": the members that the wave holds now, in phase Draining
/// or Rebooting. Each transaction that starts a drain writes it, so that
/// concurrent runners keep the batch limit and the failure domain. The end of
/// the wave deletes it.
struct WaveBatchRow {
  WaveId m_Wave;
  std::vector<InstanceId> m_Held;
};

/// Key "runner": the entry instance that executes moves and waves. It avoids
/// duplicate work; correctness does not depend on it.
struct RunnerRow {
  EntryId m_Holder;
  /// Rises with each renewal.
  std::uint64_t m_RenewalCount = 0;
};

// Keys, names and codecs are thread safe. Decoders fail with InvalidMessage.

std::string budgetRowKey(const PoolName &Pool);
std::string moveRowKey(const InstanceId &Instance);
std::string waveRowKey(const WaveId &Wave);
std::string waveBatchRowKey(const WaveId &Wave);
std::string waveMemberRowKey(const WaveId &Wave, const InstanceId &Instance);

/// The value of InstanceRow::m_Holder for an instance held by a move or wave.
std::string holderOf(const MoveId &Move);
std::string holderOf(const WaveId &Wave);

std::string_view moveStateName(MoveState State);
std::string_view waveStateName(WaveState State);
std::string_view waveSetKindName(WaveSetKind Kind);
std::string_view domainRuleName(DomainRule Rule);
std::string_view memberPhaseName(MemberPhase Phase);

std::string encodeRow(const BudgetRow &Row);
std::string encodeRow(const MoveRow &Row);
std::string encodeRow(const WaveRow &Row);
std::string encodeRow(const WaveMemberRow &Row);
std::string encodeRow(const WaveBatchRow &Row);
std::string encodeRow(const RunnerRow &Row);

Result<BudgetRow> decodeBudgetRow(const std::string &Value);
Result<MoveRow> decodeMoveRow(const std::string &Value);
Result<WaveRow> decodeWaveRow(const std::string &Value);
Result<WaveMemberRow> decodeWaveMemberRow(const std::string &Value);
Result<WaveBatchRow> decodeWaveBatchRow(const std::string &Value);
Result<RunnerRow> decodeRunnerRow(const std::string &Value);

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_FLEETROWS_H
