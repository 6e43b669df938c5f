//===- MirrorSimulation.cpp - A mirror under random faults ----------------===//

#include "store/testing/MirrorSimulation.h"
#include <algorithm>

namespace pollenspool {

namespace {

using std::chrono::milliseconds;

constexpr char Table[] = "t";
constexpr Duration FeedWait = milliseconds(800);
/// The longest time until a call that a fault left unanswered is repeated: a
/// long poll with the long reply timeout, and the pause.
constexpr Duration DetectionTime = FeedWait + milliseconds(1600 + 150 + 50);
/// The store's largest reply in bytes, unless a single row is larger.
constexpr std::size_t MaxReplyBytes = 1u << 20;
constexpr std::size_t PartitionCount = 64;
constexpr std::size_t RowsPerPage = 500;

/// Number of rows and of partitions of a table.
struct Extent {
  std::size_t m_Rows;
  std::size_t m_Partitions;
};

Extent extentOf(TableShape Shape, std::mt19937_64 &Random) {
  switch (Shape) {
  case TableShape::LargeRows:
    return {1 + Random() % 3, 1};
  case TableShape::ManyRows:
    return {200 + Random() % 1000, 1};
  case TableShape::ManyPartitions:
    break;
  }
  return {300, PartitionCount};
}

std::size_t encodedBytes(std::size_t ValueBytes) {
  return ValueBytes / 3 * 4 + 100;
}

} // namespace

MirrorSimulation::MirrorSimulation(MirrorSimulationSettings Settings)
    : m_Settings(Settings), m_Random(Settings.m_Seed * 7919),
      m_UsualRate(6e5 * static_cast<double>(1U << m_Random() % 6)),
      m_Rate(m_UsualRate) {
  const Extent Size = extentOf(Settings.m_Shape, m_Random);
  const bool IsLarge = Settings.m_Shape == TableShape::LargeRows;
  m_RowBytes = IsLarge ? 20000 + m_Random() % 1000000 : 100 + m_Random() % 300;
  m_ChangeInterval = milliseconds(IsLarge ? 250 + m_Random() % 1000 : 20);
  SimulatedStoreSettings Store;
  Store.m_Seed = Settings.m_Seed;
  Store.m_BytesPerSecond = m_Rate;
  Store.m_Limit = Settings.m_Limit;
  m_Store = std::make_unique<SimulatedStore>(m_Clock, Store);
  std::vector<std::string> Parts;
  for (std::size_t N = 0; N < Size.m_Partitions; ++N)
    Parts.push_back(N == 0 ? "" : std::to_string(N));
  for (std::size_t N = 0; N < Size.m_Rows; ++N) {
    std::string Key = "row-" + std::to_string(N);
    m_IndexByKey[Key] = N;
    m_Rows.push_back({{Table, Key, Parts[N % Parts.size()]}, {}, 0});
    write(N);
  }
  m_SoundSince = m_Clock.now();
  TableMirror::Listener RowListener;
  RowListener.m_OnRow = [this](const StoredRow &Reported) {
    Row &R = m_Rows[m_IndexByKey.at(Reported.m_At.m_Key)];
    R.m_Reported = std::max(R.m_Reported, Reported.m_Version);
  };
  CatchUp Mode = Parts.size() > 1 ? CatchUp::ReadChanges : CatchUp::ReadRows;
  m_Mirror = TableMirror::create(m_Clock, *m_Store, Table, std::move(Parts),
                                 Settings.m_CatchUp.value_or(Mode), FeedWait,
                                 std::move(RowListener));
  m_Mirror->start();
  changeRows();
}

MirrorSimulation::~MirrorSimulation() { m_Mirror->stop(); }

void MirrorSimulation::write(std::size_t Index) {
  Row &R = m_Rows[Index];
  R.m_Writes.emplace_back(m_Clock.now(),
                          m_Store->put(R.m_At, std::string(m_RowBytes, 'x')));
}

void MirrorSimulation::changeRows() {
  if (m_IsOver)
    return;
  write(m_Random() % m_Rows.size());
  Duration Next = m_ChangeInterval * (1 + m_Random() % 4) / 2;
  m_Clock.after(Next, [this] { changeRows(); });
}

void MirrorSimulation::setFault(StoreFault Fault) {
  if (Fault == m_Fault)
    return;
  m_Fault = Fault;
  m_Store->setFault(Fault);
  m_SoundSince = m_Clock.now();
}

void MirrorSimulation::setRate(double BytesPerSecond) {
  if (BytesPerSecond == m_Rate)
    return;
  m_Rate = BytesPerSecond;
  m_Store->setRate(m_Rate);
  m_SoundSince = m_Clock.now();
}

Duration MirrorSimulation::recoveryTime() const {
  const std::size_t TableBytes = m_Rows.size() * encodedBytes(m_RowBytes);
  const std::size_t ReplyBytes =
      std::max(MaxReplyBytes, encodedBytes(m_RowBytes));
  const std::size_t Calls = m_Rows.size() / RowsPerPage + PartitionCount;
  // A reply in progress, the rows, and a reply of the feed with what changed
  // while they were read.
  double Transfer = static_cast<double>(TableBytes + 2 * ReplyBytes) / m_Rate;
  return DetectionTime + milliseconds(10) * Calls +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(Transfer));
}

std::optional<std::string> MirrorSimulation::check() {
  if (m_Fault != StoreFault::None ||
      m_Clock.now() < m_SoundSince + recoveryTime())
    return std::nullopt;
  ++m_Checks;
  const TimePoint Due = m_Clock.now() - recoveryTime();
  for (Row &R : m_Rows) {
    RowVersion Expected = 0;
    for (const auto &[At, Version] : R.m_Writes)
      if (At <= Due)
        Expected = Version;
    if (R.m_Reported < Expected)
      return R.m_At.m_Key + " is reported as version " +
             std::to_string(R.m_Reported) + ", but version " +
             std::to_string(Expected) + " was written over " +
             std::to_string(recoveryTime() / milliseconds(1)) + " ms ago";
    // Only the last write that was due is needed from here on.
    while (R.m_Writes.size() > 1 && R.m_Writes[1].first <= Due)
      R.m_Writes.erase(R.m_Writes.begin());
  }
  return std::nullopt;
}

std::optional<std::string> MirrorSimulation::step() {
  switch (m_Random() % 6) {
  case 0:
    setFault(StoreFault::Reset);
    break;
  case 1:
    setFault(StoreFault::Silent);
    break;
  case 2:
    setRate(m_UsualRate / static_cast<double>(1 + m_Random() % 8));
    break;
  case 3:
    for (std::size_t N = 0; N < 8; ++N)
      write(m_Random() % m_Rows.size());
    break;
  default:
    setFault(StoreFault::None);
    setRate(m_UsualRate);
  }
  m_Clock.runFor(milliseconds(100 + m_Random() % 6000));
  return check();
}

std::optional<std::string> MirrorSimulation::settle() {
  m_IsOver = true;
  setFault(StoreFault::None);
  setRate(m_UsualRate);
  m_Clock.runFor(recoveryTime());
  return check();
}

} // namespace pollenspool
