//===- HttpClient.cpp - HTTP/1.1 client with a connection pool ------------===//

#include "net/HttpClient.h"
#include "base/Address.h"
#include "base/Log.h"
#include "net/HttpClientConnection.h"
#include "net/PendingCall.h"
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace pollenspool {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Shortest interval between two log lines about a reached limit, or about
/// connections that may be silent.
constexpr Duration LimitLogInterval = std::chrono::seconds(1);

using Call = PendingCall;

/// The end of the millisecond in which \p Time lies, so that calls of one
/// millisecond end together.
TimePoint endOfMillisecond(TimePoint Time) {
  constexpr std::chrono::milliseconds Tick(1);
  return std::chrono::floor<std::chrono::milliseconds>(Time) + Tick;
}

} // namespace

struct HttpClient::Impl : HttpClientConnection::Listener,
                          std::enable_shared_from_this<HttpClient::Impl> {
  /// An open connection and the call on it; no call if it is idle.
  struct Exchange {
    std::shared_ptr<HttpClientConnection> m_Connection;
    std::unique_ptr<Call> m_Call;
  };

  EventLoop &m_Loop;
  std::string m_Name;
  ConnectionSlots m_Slots;
  /// The calls of the members below, by deadline. Destroyed after them.
  DeadlineSet m_Deadlines;
  std::unordered_map<ConnectionNumber, Exchange> m_Exchanges;
  std::unordered_map<CallNumber, std::unique_ptr<Call>> m_Waiting;
  /// Its pending wait keeps this object alive while a call has not ended.
  asio::steady_timer m_Timer;
  /// When the timer expires; no later than the first deadline.
  std::optional<TimePoint> m_TimerExpiry;
  /// Expires no later than the first idle connection reaches its time limit.
  asio::steady_timer m_IdleTimer;
  bool m_IsIdleTimerArmed = false;
  /// Whether the client has been destroyed.
  bool m_IsAbandoned = false;
  HttpClientCounters m_Counters;
  CallNumber m_LastCall = 0;
  /// When the next log line of each kind may be written.
  TimePoint m_NextLimitLog{};
  TimePoint m_NextUnprovenLog{};
  TimePoint m_NextRefusalLog{};
  /// Sum over the calls.
  std::size_t m_ArrivingBytes = 0;

  Impl(EventLoop &Loop, std::string Name, const ConnectionLimits &Limits)
      : m_Loop(Loop), m_Name(std::move(Name)), m_Slots(Limits),
        m_Timer(Loop.context()), m_IdleTimer(Loop.context()) {}

  void enqueue(std::unique_ptr<Call> C) {
    m_Deadlines.insert(*C);
    armTimer();
    CallNumber Number = C->m_Number;
    const std::string &Peer = C->m_Peer;
    auto &Waiting = m_Waiting[Number];
    Waiting = std::move(C);
    m_Slots.addCall(Number, Peer);
    startCalls();
  }

  /// Lets the timer expire at the first deadline. A wait that ends earlier is
  /// left as it is: most calls end long before their deadline.
  void armTimer() {
    if (m_Deadlines.empty())
      return;
    TimePoint First = m_Deadlines.begin()->m_ExpiresAt;
    if (m_TimerExpiry && *m_TimerExpiry <= First)
      return;
    m_TimerExpiry = First;
    m_Timer.expires_after(First - m_Loop.now());
    m_Timer.async_wait([Self = shared_from_this()](const error_code &Failed) {
      if (!Failed)
        Self->onTimer();
    });
  }

  void onTimer() {
    m_TimerExpiry.reset();
    TimePoint Now = m_Loop.now();
    while (!m_Deadlines.empty() && m_Deadlines.begin()->m_ExpiresAt <= Now)
      expire(*m_Deadlines.begin());
    armTimer();
  }

  void armIdleTimer() {
    auto Oldest = m_Slots.longestIdle();
    if (m_IsIdleTimerArmed || !Oldest)
      return;
    m_IsIdleTimerArmed = true;
    m_IdleTimer.expires_after(idleLimitOf(*Oldest) - m_Loop.now());
    m_IdleTimer.async_wait([Weak = weak_from_this()](const error_code &Failed) {
      auto Self = Weak.lock();
      if (Self && !Failed)
        Self->onIdleTimer();
    });
  }

  TimePoint idleLimitOf(ConnectionNumber Idle) const {
    return m_Exchanges.at(Idle).m_Connection->idleSince() +
           m_Slots.limits().m_IdleTime;
  }

  void onIdleTimer() {
    m_IsIdleTimerArmed = false;
    const TimePoint Now = m_Loop.now();
    while (auto Oldest = m_Slots.longestIdle()) {
      if (Now < idleLimitOf(*Oldest))
        break;
      m_Exchanges.erase(*Oldest);
      m_Slots.close(*Oldest);
      ++m_Counters.m_Expired;
    }
    armIdleTimer();
  }

  void expire(const Call &C) {
    if (C.m_Connection == 0)
      return expireWaiting(C.m_Number);
    if (!C.m_IsSent)
      return fail(C.m_Connection, ErrorCode::ConnectFailed,
                  "the deadline has passed");
    std::size_t Received =
        m_Exchanges.find(C.m_Connection)->second.m_Connection->bytesReceived();
    fail(C.m_Connection, ErrorCode::Timeout,
         "the deadline has passed, and " + std::to_string(Received) +
             " bytes of the reply had arrived");
  }

  void expireWaiting(CallNumber Number) {
    auto It = m_Waiting.find(Number);
    auto C = std::move(It->second);
    m_Waiting.erase(It);
    m_Slots.removeCall(Number, C->m_Peer);
    ++m_Counters.m_NoConnection;
    end(*C, makeError(ErrorCode::ResourceExhausted, std::move(C->m_Target),
                      std::move(C->m_Peer),
                      "no connection was free before the deadline"));
  }

  /// Starts the queued calls for which the limits allow a connection.
  void startCalls() {
    while (auto Next = m_Slots.next()) {
      if (Next->m_Kind == ConnectionAction::Kind::Close) {
        ++m_Counters.m_Evicted;
        m_Exchanges.erase(Next->m_Connection);
        continue;
      }
      auto Waiting = m_Waiting.find(Next->m_Call);
      if (isLate(*Waiting->second)) {
        returnConnection(*Next);
        continue;
      }
      if (Next->m_Kind == ConnectionAction::Kind::Reuse) {
        auto Idle = m_Exchanges.find(Next->m_Connection);
        if (Idle->second.m_Connection->isStale(m_Loop.now())) {
          m_Exchanges.erase(Idle);
          m_Slots.close(Next->m_Connection);
          m_Slots.addCall(Next->m_Call, Waiting->second->m_Peer);
          continue;
        }
        assign(std::move(Waiting->second), Idle->first, Idle->second);
        send(Idle->second);
      } else {
        connect(std::move(Waiting->second), Next->m_Connection);
      }
      m_Waiting.erase(Waiting);
    }
    logLimit();
  }

  /// Whether \p C must not be sent any more. The timer, which may be late too,
  /// ends it.
  bool isLate(const Call &C) const { return m_Loop.now() >= C.m_Deadline.at(); }

  void returnConnection(const ConnectionAction &Unused) {
    if (Unused.m_Kind == ConnectionAction::Kind::Reuse)
      m_Slots.release(Unused.m_Connection);
    else
      m_Slots.close(Unused.m_Connection);
  }

  /// Whether a line may be written now. Moves \p Next if so.
  bool mayLog(TimePoint &Next) const {
    const TimePoint Now = m_Loop.now();
    if (Now < Next)
      return false;
    Next = Now + LimitLogInterval;
    return true;
  }

  void logLimit() {
    if (!m_Slots.isTotalLimitBinding())
      return;
    if (!mayLog(m_NextLimitLog))
      return;
    logEvent(Event::ConnectionLimitReached,
             {{"client", m_Name},
              {"open", std::to_string(m_Slots.open())},
              {"waiting_calls", std::to_string(m_Slots.queued())}});
  }

  static void assign(std::unique_ptr<Call> C, ConnectionNumber Number,
                     Exchange &E) {
    C->m_Connection = Number;
    E.m_Call = std::move(C);
  }

  void connect(std::unique_ptr<Call> C, ConnectionNumber Number) {
    auto Destination = parseAddress(C->m_Peer);
    error_code Bad;
    auto Ip =
        asio::ip::make_address_v4(Destination ? Destination->m_Host : "", Bad);
    ++m_Counters.m_Connections;
    Exchange &E = m_Exchanges[Number];
    E.m_Connection = HttpClientConnection::create(
        m_Loop.context(), *this, Number, m_Slots.limits().m_ReplyBytes);
    assign(std::move(C), Number, E);
    if (Destination && !Bad)
      return E.m_Connection->open({Ip, Destination->m_Port});
    asio::post(m_Loop.context(), [Self = shared_from_this(), Number] {
      if (Self->m_Exchanges.count(Number))
        Self->fail(Number, ErrorCode::InvalidArgument,
                   "the peer is not an IPv4 address and port");
    });
  }

  void send(Exchange &E) {
    E.m_Call->m_IsSent = true;
    E.m_Call->m_SentAt = m_Loop.now();
    E.m_Connection->send(std::move(E.m_Call->m_Request));
  }

  void onConnected(HttpClientConnection &Connection) override {
    Exchange &E = m_Exchanges.find(Connection.number())->second;
    if (isLate(*E.m_Call))
      return fail(Connection.number(), ErrorCode::ConnectFailed,
                  "the deadline has passed");
    send(E);
  }

  void onConnectFailed(HttpClientConnection &Connection,
                       const error_code &Failed) override {
    if (!isLocalFailure(Failed))
      noteRefusal(Connection, Failed);
    fail(Connection.number(),
         isLocalFailure(Failed) ? ErrorCode::ResourceExhausted
                                : ErrorCode::ConnectFailed,
         Failed.message());
  }

  void onReply(HttpClientConnection &Connection, HttpReply Reply,
               bool IsReusable) override {
    auto It = m_Exchanges.find(Connection.number());
    auto C = std::move(It->second.m_Call);
    if (IsReusable) {
      Connection.setIdleSince(m_Loop.now());
      m_Slots.release(Connection.number());
      armIdleTimer();
    } else {
      m_Exchanges.erase(It);
      m_Slots.close(Connection.number());
    }
    startCalls();
    Reply.m_BeganAfter =
        C->m_ReplyBegunAt.value_or(m_Loop.now()) - C->m_StartedAt;
    end(*C, std::move(Reply));
  }

  void onProgress(HttpClientConnection &Connection) override {
    Call &C = *m_Exchanges.find(Connection.number())->second.m_Call;
    extendDeadline(C);
    count(C, Connection.bytesExpected());
    limitArrivingBytes();
  }

  void extendDeadline(Call &C) {
    if (!C.m_ReplyBegunAt)
      C.m_ReplyBegunAt = m_Loop.now();
    if (C.m_Limit == CallLimit::Timeout ||
        !C.m_Deadline.onProgress(m_Loop.now()))
      return;
    C.unlink();
    C.m_ExpiresAt = endOfMillisecond(C.m_Deadline.at());
    m_Deadlines.insert(C);
    // The timer may expire earlier, which finds no call to end.
  }

  void count(Call &C, std::size_t ArrivingBytes) {
    m_ArrivingBytes += ArrivingBytes - C.m_ArrivingBytes;
    C.m_ArrivingBytes = ArrivingBytes;
  }

  /// Gives up the largest replies while all together are beyond the limit.
  void limitArrivingBytes() {
    auto IsSmaller = [](const auto &Left, const auto &Right) {
      auto Bytes = [](const Exchange &E) {
        return E.m_Call ? E.m_Call->m_ArrivingBytes : 0;
      };
      return Bytes(Left.second) < Bytes(Right.second);
    };
    while (m_ArrivingBytes > m_Slots.limits().m_ArrivingBytes)
      reject(
          *std::max_element(m_Exchanges.begin(), m_Exchanges.end(), IsSmaller)
               ->second.m_Connection,
          "all replies together are too long");
  }

  void onExchangeFailed(HttpClientConnection &Connection,
                        const error_code &Failed) override {
    if (isUnreadable(Failed))
      return reject(Connection, Failed.message());
    if (Connection.idleSince() == TimePoint{} &&
        Connection.bytesReceived() == 0)
      noteRefusal(Connection, Failed);
    fail(Connection.number(), ErrorCode::ConnectionLost, Failed.message());
  }

  /// The peer refused \p Connection, or ended it before its first reply. If
  /// others to it are open, it most likely accepts no more.
  void noteRefusal(const HttpClientConnection &Connection,
                   const error_code &Failed) {
    ++m_Counters.m_Refused;
    if (!mayLog(m_NextRefusalLog))
      return;
    const std::string &Peer =
        m_Exchanges.at(Connection.number()).m_Call->m_Peer;
    logEvent(Event::ConnectionRefused,
             {{"client", m_Name},
              {"peer", Peer},
              {"error", Failed.message()},
              {"others_open", std::to_string(m_Slots.openTo(Peer) - 1)},
              {"refused_in_all", std::to_string(m_Counters.m_Refused)}});
  }

  /// Ends the exchange on \p Connection because of its reply.
  void reject(HttpClientConnection &Connection, const std::string &Why) {
    const Call &C = *m_Exchanges.find(Connection.number())->second.m_Call;
    logEvent(Event::ReplyRejected,
             {{"client", m_Name},
              {"peer", C.m_Peer},
              {"target", C.m_Target},
              {"reason", Why},
              {"bytes", std::to_string(Connection.bytesReceived())}});
    fail(Connection.number(), ErrorCode::InvalidMessage,
         Why + " after " + std::to_string(Connection.bytesReceived()) +
             " bytes of the reply");
  }

  void onIdleEnd(HttpClientConnection &Connection) override {
    ConnectionNumber Number = Connection.number();
    m_Exchanges.erase(Number);
    m_Slots.close(Number);
    startCalls();
  }

  void fail(ConnectionNumber Number, ErrorCode Code,
            const std::string &Detail) {
    auto It = m_Exchanges.find(Number);
    auto C = std::move(It->second.m_Call);
    m_Exchanges.erase(It);
    m_Slots.close(Number);
    if (Code == ErrorCode::Timeout) {
      ++m_Counters.m_Timeouts;
      closeUnproven(C->m_Peer, C->m_SentAt);
    } else if (Code == ErrorCode::ResourceExhausted)
      ++m_Counters.m_NoConnection;
    else
      ++m_Counters.m_Lost;
    startCalls();
    end(*C,
        makeError(Code, std::move(C->m_Target), std::move(C->m_Peer), Detail));
  }

  /// A call to \p Peer that was sent at \p SentAt has timed out. What dropped
  /// its packets may drop those of all connections that were open by then, so
  /// that calls on them would time out one after the other. Closes the idle
  /// ones without a reply since then. Calls that are under way go on.
  void closeUnproven(const std::string &Peer, TimePoint SentAt) {
    const std::uint64_t Before = m_Counters.m_Unproven;
    for (ConnectionNumber Idle : m_Slots.idleTo(Peer)) {
      auto It = m_Exchanges.find(Idle);
      if (It->second.m_Connection->idleSince() >= SentAt)
        continue;
      m_Exchanges.erase(It);
      m_Slots.close(Idle);
      ++m_Counters.m_Unproven;
    }
    if (m_Counters.m_Unproven == Before || !mayLog(m_NextUnprovenLog))
      return;
    logEvent(Event::ConnectionsUnproven,
             {{"client", m_Name},
              {"peer", Peer},
              {"closed", std::to_string(m_Counters.m_Unproven - Before)},
              {"closed_in_all", std::to_string(m_Counters.m_Unproven)},
              {"silent_ms", std::to_string((m_Loop.now() - SentAt) /
                                           std::chrono::milliseconds(1))}});
  }

  void end(Call &C, Result<HttpReply> Reply) {
    C.unlink();
    count(C, 0);
    C.m_Callback(std::move(Reply));
    releaseTimer();
  }

  /// Lets this object be destroyed if nothing waits for it.
  void releaseTimer() {
    if (m_IsAbandoned && m_Deadlines.empty())
      m_Timer.cancel();
  }
};

HttpClientCounters &
HttpClientCounters::operator+=(const HttpClientCounters &Other) {
  m_Calls += Other.m_Calls;
  m_Connections += Other.m_Connections;
  m_Timeouts += Other.m_Timeouts;
  m_Lost += Other.m_Lost;
  m_NoConnection += Other.m_NoConnection;
  m_Evicted += Other.m_Evicted;
  m_Unproven += Other.m_Unproven;
  m_Expired += Other.m_Expired;
  m_Refused += Other.m_Refused;
  return *this;
}

HttpClient::HttpClient(std::shared_ptr<Impl> P) : m_Impl(std::move(P)) {}

HttpClient::~HttpClient() {
  m_Impl->m_IsAbandoned = true;
  m_Impl->releaseTimer();
}

std::unique_ptr<HttpClient> HttpClient::create(EventLoop &Loop,
                                               std::string Name,
                                               const ConnectionLimits &Limits) {
  return std::unique_ptr<HttpClient>(
      new HttpClient(std::make_shared<Impl>(Loop, std::move(Name), Limits)));
}

void HttpClient::call(const std::string &Peer, HttpRequest Request,
                      Duration Timeout, ReplyCallback Callback,
                      CallLimit Limit) {
  auto C = std::make_unique<Call>();
  C->m_Number = ++m_Impl->m_LastCall;
  C->m_Peer = Peer;
  C->m_Request = serializeRequest(Request, Peer);
  C->m_Target = std::move(Request.m_Target);
  C->m_Callback = std::move(Callback);
  C->m_Limit = Limit;
  C->m_StartedAt = m_Impl->m_Loop.now();
  C->m_Deadline = CallDeadline(C->m_StartedAt, Timeout);
  C->m_ExpiresAt = endOfMillisecond(C->m_Deadline.at());
  ++m_Impl->m_Counters.m_Calls;
  m_Impl->enqueue(std::move(C));
}

const HttpClientCounters &HttpClient::counters() const {
  return m_Impl->m_Counters;
}

std::size_t HttpClient::openConnections() const {
  return m_Impl->m_Slots.open();
}

std::size_t HttpClient::queuedCalls() const { return m_Impl->m_Slots.queued(); }

} // namespace pollenspool
