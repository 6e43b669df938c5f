//===- SimulatedStore.cpp - A store behind a narrow link ------------------===//

#include "store/testing/SimulatedStore.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Limits of one reply.
constexpr std::size_t MaxReplyRows = 500;
constexpr std::size_t MaxReplyBytes = 1u << 20;
/// Bytes of a row in a reply apart from its value.
constexpr std::size_t RowOverheadBytes = 96;
constexpr std::size_t ReplyOverheadBytes = 200;
constexpr std::size_t ChunkBytes = 16 * 1024;

/// Bytes of \p Row in a reply, with its value in Base64.
std::size_t encodedBytes(const StoredRow &Row) {
  return RowOverheadBytes + (Row.m_Value.size() + 2) / 3 * 4;
}

/// Adds \p Row to \p Page. Returns false if the limits of a reply do not allow
/// it; one row is always allowed.
bool addRow(RowPage &Page, std::size_t &Bytes, const StoredRow &Row,
            std::size_t MaxRows) {
  if (!Page.m_Rows.empty() && (Page.m_Rows.size() >= MaxRows ||
                               Bytes + encodedBytes(Row) > MaxReplyBytes))
    return false;
  Bytes += encodedBytes(Row);
  Page.m_Rows.push_back(Row);
  return true;
}

} // namespace

SimulatedStore::SimulatedStore(VirtualTimers &Time,
                               SimulatedStoreSettings Settings)
    : m_Clock(Time), m_Settings(Settings), m_Random(Settings.m_Seed) {}

void SimulatedStore::commit(
    const RowTransaction &, Duration,
    std::function<void(Result<CommitOutcome>)> Callback) {
  m_Clock.after(Duration(0), [Callback = std::move(Callback)] {
    Callback(makeError(ErrorCode::Unavailable, "commit rows"));
  });
}

RowVersion SimulatedStore::put(const RowAddress &At, std::string Value) {
  StoredRow Row{At, std::move(Value), ++m_Version, false};
  m_Rows[{At.m_Table, At.m_Partition, At.m_Key}] = Row;
  m_Changes.push_back({m_Clock.now(), std::move(Row)});
  while (m_Changes.front().m_At + m_Settings.m_History < m_Clock.now()) {
    m_ForgottenVersion = m_Changes.front().m_Row.m_Version;
    m_Changes.pop_front();
  }
  for (const auto &[Number, Call] : std::map(m_Calls))
    if (Call->m_IsWaiting && Call->m_Table == At.m_Table)
      answerFeed(Call);
  return m_Version;
}

void SimulatedStore::setFault(StoreFault Fault) {
  m_Fault = Fault;
  if (Fault != StoreFault::Reset)
    return;
  for (const auto &[Number, Call] : std::map(m_Calls))
    finish(Call, makeError(ErrorCode::ConnectionLost, "read rows"));
}

SimulatedStore::CallPtr SimulatedStore::begin(Duration Timeout,
                                              PageCallback Callback) {
  auto Call = std::make_shared<PendingCall>();
  Call->m_Number = ++m_LastCall;
  Call->m_StartedAt = m_Clock.now();
  Call->m_Callback = std::move(Callback);
  Call->m_Deadline = CallDeadline(m_Clock.now(), Timeout);
  Call->m_IsLost = std::uniform_real_distribution<double>()(m_Random) <
                   m_Settings.m_LostShare;
  m_Calls[Call->m_Number] = Call;
  scheduleDeadline(Call);
  if (m_Fault == StoreFault::Reset)
    m_Clock.after(m_Settings.m_Latency, [this, Call] {
      finish(Call, makeError(ErrorCode::ConnectionLost, "read rows"));
    });
  // A request that the link drops is not delivered later.
  if (m_Fault != StoreFault::None)
    Call->m_IsLost = true;
  return Call;
}

void SimulatedStore::scheduleDeadline(const CallPtr &Call) {
  m_Clock.after(Call->m_Deadline.at() - m_Clock.now(), [this, Call] {
    if (Call->m_IsDone)
      return;
    if (Call->m_Deadline.at() > m_Clock.now())
      return scheduleDeadline(Call);
    finish(Call, makeError(ErrorCode::Timeout, "read rows"));
  });
}

void SimulatedStore::finish(const CallPtr &Call, Result<RowPage> Reply) {
  if (Call->m_IsDone)
    return;
  Call->m_IsDone = true;
  Call->m_IsWaiting = false;
  m_Calls.erase(Call->m_Number);
  Call->m_Callback(std::move(Reply));
}

void SimulatedStore::read(const RowAddress &From, std::size_t Limit,
                          Duration Timeout, PageCallback Callback) {
  ++m_Reads;
  CallPtr Call = begin(Timeout, std::move(Callback));
  m_Clock.after(m_Settings.m_Latency, [this, Call, From, Limit] {
    RowPage Page;
    Page.m_Version = m_Version;
    Page.m_StoreTime = storeTime();
    std::size_t Bytes = ReplyOverheadBytes;
    for (auto It =
             m_Rows.lower_bound({From.m_Table, From.m_Partition, From.m_Key});
         It != m_Rows.end() && It->second.m_At.m_Table == From.m_Table &&
         It->second.m_At.m_Partition == From.m_Partition;
         ++It)
      if (!addRow(Page, Bytes, It->second, std::min(Limit, MaxReplyRows))) {
        Page.m_HasMore = true;
        break;
      }
    send(Call, std::move(Page));
  });
}

void SimulatedStore::follow(const std::string &Table, RowVersion After,
                            Duration Wait, Duration Timeout,
                            PageCallback Callback) {
  CallPtr Call = begin(Timeout, std::move(Callback));
  Call->m_Table = Table;
  Call->m_After = After;
  m_Clock.after(m_Settings.m_Latency, [this, Call, Wait] {
    if (Call->m_After < m_ForgottenVersion)
      return finish(Call, makeError(ErrorCode::NotFound, "read rows"));
    if (Wait <= Duration(0) || hasChanges(Call->m_Table, Call->m_After))
      return answerFeed(Call);
    Call->m_IsWaiting = true;
    m_Clock.after(Wait, [this, Call] {
      if (Call->m_IsWaiting)
        answerFeed(Call);
    });
  });
}

std::chrono::milliseconds SimulatedStore::storeTime() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      m_Clock.now().time_since_epoch());
}

bool SimulatedStore::hasChanges(const std::string &Table,
                                RowVersion After) const {
  return std::any_of(m_Changes.begin(), m_Changes.end(), [&](const Change &C) {
    return C.m_Row.m_At.m_Table == Table && C.m_Row.m_Version > After;
  });
}

void SimulatedStore::answerFeed(const CallPtr &Call) {
  Call->m_IsWaiting = false;
  RowPage Page;
  Page.m_Version = m_Version;
  Page.m_StoreTime = storeTime();
  std::size_t Bytes = ReplyOverheadBytes;
  for (const Change &C : m_Changes) {
    if (C.m_Row.m_At.m_Table != Call->m_Table ||
        C.m_Row.m_Version <= Call->m_After)
      continue;
    if (!addRow(Page, Bytes, C.m_Row, MaxReplyRows)) {
      Page.m_Version = Page.m_Rows.back().m_Version;
      break;
    }
  }
  send(Call, std::move(Page));
}

void SimulatedStore::send(const CallPtr &Call, RowPage Reply) {
  if (Call->m_IsDone || Call->m_IsLost)
    return;
  Call->m_BytesLeft = ReplyOverheadBytes;
  for (const StoredRow &Row : Reply.m_Rows)
    Call->m_BytesLeft += encodedBytes(Row);
  Call->m_Reply = std::move(Reply);
  sendChunk(Call);
}

void SimulatedStore::sendChunk(const CallPtr &Call) {
  if (Call->m_IsDone)
    return;
  std::size_t Bytes = std::min(Call->m_BytesLeft, ChunkBytes);
  m_LinkFreeAt =
      std::max(m_LinkFreeAt, m_Clock.now()) +
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(Bytes) / m_Settings.m_BytesPerSecond));
  m_Clock.after(m_LinkFreeAt - m_Clock.now(), [this, Call, Bytes] {
    if (Call->m_IsDone || m_Fault != StoreFault::None)
      return;
    m_BytesSent += Bytes;
    if (Call->m_Reply.m_BeganAfter == Duration(0))
      Call->m_Reply.m_BeganAfter = m_Clock.now() - Call->m_StartedAt;
    if (m_Settings.m_Limit == ReplyLimit::ByProgress)
      Call->m_Deadline.onProgress(m_Clock.now());
    Call->m_BytesLeft -= Bytes;
    if (Call->m_BytesLeft == 0)
      return finish(Call, std::move(Call->m_Reply));
    sendChunk(Call);
  });
}

} // namespace pollenspool
