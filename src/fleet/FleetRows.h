//===- FleetRows.h - Table rows of budgets, moves and waves -----*- C++ -*-===//
//
// The state of moves and waves lives in these rows alone, so that any entry
// instance can go on where another stopped. A transaction that takes an
// instance away or gives it back also writes its pool's budget row, which puts
// all planned changes of one pool in one order.
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

/// One unit of a pool's availability budget: an instance that is away.
struct BudgetUnit {
  InstanceId m_Instance;
  /// The move or wave that took the unit, as in InstanceRow::m_Holder.
  std::string m_Holder;
};

/// Key "pool/NAME/budget": the units of the pool that are spent.
struct BudgetRow {
  PoolName m_Pool;
  std::vector<BudgetUnit> m_Units;
};

enum class MoveState : std::uint8_t { Waiting, Draining, Done, Cancelled };

/// Key "move/INSTANCE": the latest move of one instance. One key for each
/// instance, so that two operators who move it write the same row.
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

/// The failure domain to which the instances that are away at once are
/// confined. None orders by domain but does not wait for one to be finished.
enum class DomainRule : std::uint8_t { None, Rack, DataCentre };

/// The declared set of a wave; the name is empty for All.
struct WaveSet {
  WaveSetKind m_Kind = WaveSetKind::All;
  std::string m_Name;
};

struct FailedMember {
  InstanceId m_Instance;
  std::string m_Reason;
};

/// Key "wave/ID". The members are those of the set when the wave started.
struct WaveRow {
  WaveId m_Id;
  WaveSet m_Set;
  /// Most instances that the wave holds at once.
  std::uint32_t m_MaxBatch = 1;
  DomainRule m_Rule = DomainRule::None;
  WaveState m_State = WaveState::Running;
  std::vector<InstanceId> m_Members;
  std::string m_Operator;
  /// Written when the wave ends.
  std::uint32_t m_Done = 0;
  std::vector<FailedMember> m_Failed;

  bool isActive() const {
    return m_State != WaveState::Done && m_State != WaveState::Cancelled;
  }
};

enum class MemberPhase : std::uint8_t { Draining, Rebooting, Done, Failed };

/// Key "wave-member/WAVE/INSTANCE": a member that the wave has taken or given
/// up. An absent row means that its turn is still to come.
struct WaveMemberRow {
  WaveId m_Wave;
  InstanceId m_Instance;
  MemberPhase m_Phase = MemberPhase::Draining;
  /// Epoch in the platform's list before the reboot.
  std::uint64_t m_ListEpoch = 0;
  /// Idempotency token of the reboot.
  std::string m_RebootToken;
  /// Why the member failed; empty otherwise.
  std::string m_Reason;
};

/// Key "wave-batch/ID": the members that the wave holds now, Draining or
/// Rebooting. Each take writes it, so that racing runners keep to the batch and
/// to the failure domain. Absent when empty.
struct WaveBatchRow {
  WaveId m_Wave;
  std::vector<InstanceId> m_Held;
};

/// Key "runner": the entry instance that drives moves and waves. It saves
/// doubled work; safety never depends on it.
struct RunnerRow {
  EntryId m_Holder;
  /// Rises with each renewal.
  std::uint64_t m_Beat = 0;
};

// Keys, names and codecs are thread safe. Decoders fail with InvalidMessage.

std::string budgetRowKey(const PoolName &Pool);
std::string moveRowKey(const InstanceId &Instance);
std::string waveRowKey(const WaveId &Wave);
std::string waveBatchRowKey(const WaveId &Wave);
std::string waveMemberRowKey(const WaveId &Wave, const InstanceId &Instance);

/// The holder of an instance that a move or wave has taken.
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
