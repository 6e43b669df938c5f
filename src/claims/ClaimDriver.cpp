//===- ClaimDriver.cpp - Threads and I/O of the claim core ----------------===//
// Each event is processed by the core under a lock; the resulting actions are
// executed after the lock is released. One thread sends tick events. Another
// thread makes the blocking platform calls, of which at most one is under way
// at a time.
//===----------------------------------------------------------------------===//

#include "claims/ClaimDriver.h"
#include "claims/ClaimNode.h"
#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace pollenspool {

using namespace claims;

namespace {

constexpr std::chrono::milliseconds TickPeriod{10};
/// Time that claim() waits for the decision of the core after the claim's own
/// time-out.
constexpr std::chrono::milliseconds DecisionGracePeriod{5 * TickPeriod};

using PlatformCall = std::variant<RunTransaction, ReadRows>;

} // namespace

struct ClaimDriver::Impl : std::enable_shared_from_this<ClaimDriver::Impl> {
  ClaimSettings m_Settings;
  Platform &m_Table;
  PeerSender &m_Peers;
  mutable std::mutex m_Mutex;
  ClaimNode m_Node;
  std::uint64_t m_LastRequest = 0;
  std::unordered_map<std::uint64_t, PeerCallback> m_OpenRequests;
  /// Claims whose callers wait, with the decision once it has been made.
  std::unordered_map<ClaimToken, std::optional<ClaimReply>> m_WaitingClaims;
  std::condition_variable m_Decided;
  std::optional<PlatformCall> m_NextCall;
  std::condition_variable m_CallQueued;
  bool m_IsStopping = false;
  std::thread m_TickThread;
  std::thread m_PlatformThread;

  Impl(const ClaimSettings &Settings, Platform &Table, PeerSender &Peers)
      : m_Settings(Settings), m_Table(Table), m_Peers(Peers),
        m_Node(Settings, steadyNow()) {}

  void startThreads() {
    m_TickThread = std::thread([this] { runTicks(); });
    m_PlatformThread = std::thread([this] { runPlatformCalls(); });
  }

  void stop() {
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      m_IsStopping = true;
    }
    m_CallQueued.notify_all();
    m_Decided.notify_all();
    m_TickThread.join();
    m_PlatformThread.join();
  }

  /// Processes one event in the core and executes the resulting actions.
  template <typename Event> void processEvent(Event Handle) {
    std::vector<Action> Actions;
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      if (m_IsStopping)
        return;
      Handle(steadyNow());
      Actions = m_Node.takeActions();
    }
    for (Action &A : Actions)
      std::visit([this](auto &Do) { this->carryOut(Do); }, A);
  }

  void carryOut(CallPeer &Call) {
    auto Callback = [Weak = weak_from_this(), Id = Call.m_Call,
                     Path = pathOf(Call.m_Request)](Result<std::string> Body) {
      if (auto Self = Weak.lock())
        Self->onPeerReply(Id, Path, Body);
    };
    m_Peers.callAsync(Call.m_Peer, pathOf(Call.m_Request),
                      encodeRequest(Call.m_Request), m_Settings.m_PeerTimeout,
                      std::move(Callback));
  }

  void carryOut(Respond &Response) {
    PeerCallback Callback;
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      auto It = m_OpenRequests.find(Response.m_Handle.m_Id);
      if (It == m_OpenRequests.end())
        return;
      Callback = std::move(It->second);
      m_OpenRequests.erase(It);
    }
    Callback(encodeReply(Response.m_Reply));
  }

  void carryOut(ReportDecision &Decision) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    auto It = m_WaitingClaims.find(Decision.m_Token);
    if (It != m_WaitingClaims.end())
      It->second = std::move(Decision.m_Reply);
    m_Decided.notify_all();
  }

  void carryOut(RunTransaction &Call) { queueCall(std::move(Call)); }
  void carryOut(ReadRows &Call) { queueCall(std::move(Call)); }

  void queueCall(PlatformCall Call) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_NextCall = std::move(Call);
    m_CallQueued.notify_all();
  }

  void onPeerReply(CallId Id, const std::string &Path,
                   const Result<std::string> &Body) {
    Result<Reply> Read =
        Body ? decodeReply(Path, Body.value()) : Result<Reply>(Body.error());
    processEvent([&](TimePoint Now) {
      m_Node.onReply(Id, Read ? &Read.value() : nullptr, Now);
    });
  }

  void runTicks() {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    while (!m_IsStopping) {
      Lock.unlock();
      processEvent([this](TimePoint Now) { m_Node.tick(Now); });
      Lock.lock();
      m_Decided.wait_for(Lock, TickPeriod, [this] { return m_IsStopping; });
    }
  }

  void runPlatformCalls() {
    while (std::optional<PlatformCall> Call = nextCall())
      std::visit([this](const auto &Do) { this->callPlatform(Do); }, *Call);
  }

  std::optional<PlatformCall> nextCall() {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_CallQueued.wait(Lock, [this] { return m_IsStopping || m_NextCall; });
    if (m_IsStopping)
      return std::nullopt;
    return std::exchange(m_NextCall, std::nullopt);
  }

  void callPlatform(const RunTransaction &Call) {
    auto Done = m_Table.transact(Call.m_Transaction, Call.m_Priority);
    processEvent([&](TimePoint Now) { m_Node.onTransacted(Done, Now); });
  }

  void callPlatform(const ReadRows &Call) {
    auto Done = m_Table.read(Call.m_Keys, CallPriority::Safety);
    processEvent([&](TimePoint Now) { m_Node.onRead(Done, Now); });
  }

  ClaimReply await(const ClaimToken &Token, std::chrono::milliseconds Timeout) {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    std::optional<ClaimReply> &Slot = m_WaitingClaims[Token];
    m_Decided.wait_for(Lock, Timeout + DecisionGracePeriod,
                       [&] { return Slot || m_IsStopping; });
    ClaimReply Decision;
    Decision.m_Reason = Reason::ClaimUnavailable;
    if (Slot)
      Decision = std::move(*Slot);
    m_WaitingClaims.erase(Token);
    return Decision;
  }

  bool isDrained() const {
    return m_Node.isDrained() && m_Node.pendingNotifications() == 0 &&
           !m_Node.owner().registry().hasDirty();
  }
};

Result<std::unique_ptr<ClaimDriver>> ClaimDriver::create(ClaimSettings Settings,
                                                         Platform &Table,
                                                         PeerSender &Peers) {
  auto Fail = [](const char *What) {
    return makeError(ErrorCode::InvalidSettings, "check claim settings", {},
                     What);
  };
  bool Listed = std::any_of(
      Settings.m_Entries.begin(), Settings.m_Entries.end(),
      [&](const EntryInstance &E) { return E.m_Id == Settings.m_Self; });
  if (!Listed)
    return Fail(
        "the list of entry instances does not contain this entry instance");
  if (Settings.m_ClaimLifetime.count() <= 0 || Settings.m_Margin.count() <= 0)
    return Fail("claim lifetime and margin must be greater than 0 ms");
  auto State = std::make_shared<Impl>(Settings, Table, Peers);
  State->startThreads();
  return std::unique_ptr<ClaimDriver>(new ClaimDriver(std::move(State)));
}

ClaimDriver::ClaimDriver(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}

ClaimDriver::~ClaimDriver() { m_Impl->stop(); }

ClaimReply ClaimDriver::claim(const RequestId &Key,
                              std::chrono::milliseconds Timeout) {
  ClaimToken Token;
  m_Impl->processEvent([&](TimePoint Now) {
    Token = m_Impl->m_Node.claim(Key, Timeout, Now);
    m_Impl->m_WaitingClaims[Token];
  });
  ClaimReply Decision = m_Impl->await(Token, Timeout);
  return Decision;
}

void ClaimDriver::complete(const RequestId &Key, const ClaimToken &Token,
                           const Answer &Recorded) {
  m_Impl->processEvent([&](TimePoint Now) {
    m_Impl->m_Node.complete(Key, Token, Recorded, Now);
  });
}

void ClaimDriver::release(const RequestId &Key, const ClaimToken &Token) {
  m_Impl->processEvent(
      [&](TimePoint Now) { m_Impl->m_Node.release(Key, Token, Now); });
}

void ClaimDriver::onPeerMessage(const std::string &Path, const EntryId &From,
                                const std::string &Body, PeerCallback Reply) {
  Result<Request> Read = decodeRequest(Path, Body);
  if (!Read)
    return Reply(Read.error());
  m_Impl->processEvent([&](TimePoint Now) {
    std::uint64_t Id = ++m_Impl->m_LastRequest;
    m_Impl->m_OpenRequests[Id] = std::move(Reply);
    m_Impl->m_Node.onRequest(Id, From, Read.value(), Now);
  });
}

bool ClaimDriver::drain(std::chrono::milliseconds Timeout) {
  m_Impl->processEvent([this](TimePoint Now) { m_Impl->m_Node.drain(Now); });
  TimePoint End = steadyNow() + Timeout;
  std::unique_lock<std::mutex> Lock(m_Impl->m_Mutex);
  while (!m_Impl->isDrained() && steadyNow() < End)
    m_Impl->m_Decided.wait_for(Lock, TickPeriod);
  return m_Impl->isDrained();
}

bool ClaimDriver::isServing() const {
  std::lock_guard<std::mutex> Lock(m_Impl->m_Mutex);
  return m_Impl->m_Node.owner().isServing();
}

ClaimStats ClaimDriver::stats() const {
  std::lock_guard<std::mutex> Lock(m_Impl->m_Mutex);
  return m_Impl->m_Node.stats();
}

} // namespace pollenspool
