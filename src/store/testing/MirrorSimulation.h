//===- MirrorSimulation.h - A mirror under random faults --------*- C++ -*-===//

#ifndef POLLENSPOOL_STORE_TESTING_MIRRORSIMULATION_H
#define POLLENSPOOL_STORE_TESTING_MIRRORSIMULATION_H

#include "store/TableMirror.h"
#include "store/testing/SimulatedStore.h"
#include <optional>
#include <vector>

namespace pollenspool {

/// The kind of table that is mirrored.
enum class TableShape : std::uint8_t {
  /// A few rows of up to a megabyte, like the configuration.
  LargeRows,
  /// A thousand small rows that change all the time, like the registrations.
  ManyRows,
  /// Small rows in 64 partitions, like the live jobs.
  ManyPartitions,
};

struct MirrorSimulationSettings {
  std::uint64_t m_Seed = 1;
  TableShape m_Shape = TableShape::LargeRows;
  /// Other values than those of the product show that the oracle finds faults.
  ReplyLimit m_Limit = ReplyLimit::ByProgress;
  std::optional<CatchUp> m_CatchUp;
};

/// A mirror of a simulated store on a virtual clock. Rows change at any time,
/// in bursts, too; the store resets connections or is silent, and the link
/// becomes narrow. The oracle: while the store and the link have worked for the
/// recovery time, each row is reported as it was one recovery time ago, or
/// later. Not thread safe.
class MirrorSimulation {
public:
  explicit MirrorSimulation(MirrorSimulationSettings Settings);
  ~MirrorSimulation();

  /// Begins or ends a fault or a burst of changes, lets some time pass, and
  /// checks. Returns what the oracle found, if anything.
  std::optional<std::string> step();
  /// Ends all faults, lets the recovery time pass and checks.
  std::optional<std::string> settle();
  /// Number of checks for which the store and the link had worked long enough.
  std::size_t checks() const { return m_Checks; }

private:
  /// A row, its writes that are not older than a recovery time, and the version
  /// that was reported last.
  struct Row {
    RowAddress m_At;
    std::vector<std::pair<TimePoint, RowVersion>> m_Writes;
    RowVersion m_Reported = 0;
  };

  void write(std::size_t Index);
  void changeRows();
  void setFault(StoreFault Fault);
  void setRate(double BytesPerSecond);
  /// The longest time from the end of all faults, or from a write, until the
  /// mirror has reported the newest rows.
  Duration recoveryTime() const;
  std::optional<std::string> check();

  MirrorSimulationSettings m_Settings;
  std::mt19937_64 m_Random;
  VirtualTimers m_Clock;
  double m_UsualRate;
  double m_Rate;
  std::size_t m_RowBytes = 0;
  Duration m_ChangeInterval{0};
  std::unique_ptr<SimulatedStore> m_Store;
  std::shared_ptr<TableMirror> m_Mirror;
  std::vector<Row> m_Rows;
  std::map<std::string, std::size_t> m_IndexByKey;
  StoreFault m_Fault = StoreFault::None;
  TimePoint m_SoundSince{};
  bool m_IsOver = false;
  std::size_t m_Checks = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_STORE_TESTING_MIRRORSIMULATION_H
