//===- FleetDriver.cpp - I/O driver of the FleetController ----------------===//

#include "fleet/FleetDriver.h"
#include "platform/Transact.h"

namespace pollenspool {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr std::size_t ActionThreads = 8;

} // namespace

FleetDriver::FleetDriver(FleetController Core, Platform &Service,
                         FleetPorts Ports, std::string TokenPrefix)
    : m_Platform(Service), m_Ports(std::move(Ports)),
      m_TokenPrefix(std::move(TokenPrefix)), m_Core(std::move(Core)),
      m_Workers(ActionThreads, m_Tasks) {}

Result<std::unique_ptr<FleetDriver>> FleetDriver::create(FleetSettings Settings,
                                                         Platform &Service,
                                                         FleetPorts Ports) {
  std::string Prefix = Settings.m_ProcessToken + "-order-";
  BOOST_OUTCOME_TRY(Core, FleetController::create(std::move(Settings)));
  std::unique_ptr<FleetDriver> Driver(
      new FleetDriver(std::move(Core), Service, std::move(Ports), Prefix));
  Driver->m_Thread = std::thread([Self = Driver.get()] { Self->run(); });
  return Driver;
}

FleetDriver::~FleetDriver() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Stopping = true;
  }
  m_Wake.notify_all();
  m_Thread.join();
  m_Workers.shutdown();
}

template <typename EventFn> void FleetDriver::withCore(EventFn Event) {
  std::vector<FleetAction> Actions;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    Event(steadyNow());
    Actions = m_Core.takeActions();
    if (m_Stopping)
      return;
  }
  for (FleetAction &A : Actions)
    enqueueAction(std::move(A));
}

void FleetDriver::run() {
  for (;;) {
    withCore([&](TimePoint Now) { m_Core.tick(Now); });
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_Wake.wait_for(Lock, TickInterval, [&] { return m_Stopping; });
    if (m_Stopping)
      return;
  }
}

void FleetDriver::enqueueAction(FleetAction A) {
  m_Workers.enqueue([this, Work = std::move(A)] {
    std::visit([this](const auto &Kind) { perform(Kind); }, Work);
  });
}

void FleetDriver::perform(const Transact &A) {
  auto Done = m_Platform.transact(A.m_Transaction, CallPriority::Control);
  withCore([&](TimePoint Now) {
    m_Core.onTransactionResult(A.m_Transaction.m_Token, Done, Now);
  });
  if (Done)
    m_Ports.m_Refresh();
}

void FleetDriver::perform(const DrainStatusQuery &A) {
  m_Ports.m_SendDrainStatusQuery(A);
}

void FleetDriver::perform(const RebootInstance &A) {
  auto Done = m_Platform.reboot(A.m_Instance, A.m_Token, CallPriority::Control);
  withCore([&](TimePoint Now) {
    m_Core.onRebootReply(A.m_Instance, A.m_Token, Done.has_value(), Now);
  });
}

void FleetDriver::perform(const CheckHealth &A) {
  std::string Address = addressOf(A.m_Instance);
  bool IsOk = !Address.empty() && m_Ports.m_IsHealthy(A.m_Instance, Address);
  withCore([&](TimePoint Now) { m_Core.onHealth(A.m_Instance, IsOk, Now); });
}

void FleetDriver::perform(const RefreshRows &) { m_Ports.m_Refresh(); }

void FleetDriver::perform(const LogEntry &A) {
  std::vector<Field> Fields;
  for (const LogField &F : A.m_Fields)
    Fields.push_back(Field{F.m_Key, F.m_Value});
  logEvent(A.m_Event, Fields);
}

std::string FleetDriver::addressOf(const InstanceId &Id) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  const ListedInstance *Listed = m_Core.view().findListed(Id);
  return Listed ? Listed->m_Address : std::string();
}

void FleetDriver::onDocument(const Document &Doc) {
  withCore([&](TimePoint) { m_Core.onDocument(Doc); });
}

void FleetDriver::onRows(const RowSet &Rows) {
  withCore([&](TimePoint Now) { m_Core.onRows(Rows, Now); });
}

void FleetDriver::onInstancesListed(const std::vector<ListedInstance> &List,
                                    TimePoint RequestedAt) {
  withCore([&](TimePoint) { m_Core.onListedInstances(List, RequestedAt); });
}

void FleetDriver::onAck(const DrainAck &Ack) {
  withCore([&](TimePoint Now) { m_Core.onDrainAck(Ack, Now); });
}

// The view that operators see may be ahead of this one, since notices of peers
// reach it first.
Result<void> FleetDriver::readFleet() {
  Revision Known = 0;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    Known = m_Core.view().revision();
  }
  BOOST_OUTCOME_TRY(Rows,
                    m_Platform.changes(Known, FleetController::rowPrefixes(),
                                       CallPriority::Control));
  onRows(Rows);
  TimePoint RequestedAt = steadyNow();
  BOOST_OUTCOME_TRY(List, m_Platform.instances(CallPriority::Control));
  onInstancesListed(List, RequestedAt);
  return success();
}

Result<void> FleetDriver::commitOrder(const BuildOrder &Build,
                                      ConflictError Explain) {
  BOOST_OUTCOME_TRYV(readFleet());
  std::unique_lock<std::mutex> Lock(m_Mutex);
  auto Built = Build(m_Core.view());
  if (!Built)
    return Built.error();
  Transaction Txn = std::move(Built).value();
  Txn.m_Token = m_TokenPrefix + std::to_string(++m_Orders);
  Lock.unlock();
  BOOST_OUTCOME_TRY(
      Done, transactWithRetries(m_Platform, Txn, CallPriority::Control));
  m_Ports.m_Refresh();
  if (!Done.isCommitted())
    return Explain(Done.m_Conflicts);
  return success();
}

Result<void> FleetDriver::startMove(MoveOrder Order) {
  return commitOrder(
      [&](const FleetView &View) {
        return pollenspool::startMove(View, Order);
      },
      moveConflict);
}

Result<void> FleetDriver::cancelMove(const InstanceId &Id,
                                     const std::string &Reason) {
  return commitOrder(
      [&](const FleetView &View) {
        return pollenspool::cancelMove(View, Id, Reason);
      },
      moveConflict);
}

Result<void> FleetDriver::startWave(WaveOrder Order) {
  return commitOrder(
      [&](const FleetView &View) {
        return pollenspool::startWave(View, Order);
      },
      waveConflict);
}

Result<void> FleetDriver::pauseWave(const WaveId &Id) {
  return commitOrder(
      [&](const FleetView &View) { return pollenspool::pauseWave(View, Id); },
      waveConflict);
}

Result<void> FleetDriver::resumeWave(const WaveId &Id) {
  return commitOrder(
      [&](const FleetView &View) { return pollenspool::resumeWave(View, Id); },
      waveConflict);
}

Result<void> FleetDriver::cancelWave(const WaveId &Id) {
  return commitOrder(
      [&](const FleetView &View) { return pollenspool::cancelWave(View, Id); },
      waveConflict);
}

std::string FleetDriver::explain(const InstanceId &Id) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Core.explain(Id);
}

FleetStatus FleetDriver::status() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Core.status();
}

std::optional<WaveRow> FleetDriver::findWave(const WaveId &Id) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  const WaveRow *Found = m_Core.view().findWave(Id);
  return Found ? std::optional<WaveRow>(*Found) : std::nullopt;
}

} // namespace pollenspool
