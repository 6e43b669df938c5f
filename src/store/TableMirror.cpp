//===- TableMirror.cpp - Local replica of a table -------------------------===//

#include "store/TableMirror.h"
#include "base/Log.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Rows per page: the store's limit.
constexpr std::size_t MaxPageRows = 500;
/// How long a reply may take to begin. The store answers in about 4 ms; if it
/// is 60 times slower, it still answers in time.
constexpr Duration ReplyTimeout = std::chrono::milliseconds(700);
/// The same after MaxShortTimeouts calls in a row that timed out: over a link
/// with a long queue no reply may begin earlier. Until then a short timeout
/// finds out sooner that a store is back which left calls unanswered.
constexpr Duration LongReplyTimeout = std::chrono::milliseconds(1600);
constexpr unsigned MaxShortTimeouts = 10;
/// Delay after a failed call. Short compared with the 2 s within which a new
/// configuration has to take effect, and long enough to keep the number of
/// calls during an outage low, since calls are charged for.
constexpr Duration RetryPause = std::chrono::milliseconds(150);
/// Shortest interval between two log lines about failed calls of one table.
constexpr Duration FailureLogInterval = std::chrono::seconds(1);
/// An answer with fewer bytes of values is not cut by the store's limit of 1
/// MB, whether the store counts the values as they are or as Base64 with their
/// addresses.
constexpr std::size_t MaxCompleteAnswerBytes = 500000;

/// Answers of the feed with fewer bytes of values do not make a mirror lag.
constexpr std::size_t MinLargeAnswerBytes = 64 * 1024;

std::string toMilliseconds(Duration D) {
  return std::to_string(D / std::chrono::milliseconds(1));
}

/// Whether the store may have cut \p Changes at one of its limits.
bool mayHaveMoreChanges(const RowPage &Changes) {
  std::size_t Bytes = 0;
  for (const StoredRow &Row : Changes.m_Rows)
    Bytes += Row.m_Value.size();
  return Changes.m_HasMore || Changes.m_Rows.size() >= MaxPageRows ||
         Bytes >= MaxCompleteAnswerBytes;
}

} // namespace

TableMirror::TableMirror(Timers &Loop, MetadataStore &Store, std::string Table,
                         std::vector<std::string> Parts, CatchUp Mode,
                         Duration Wait, Listener Callbacks)
    : m_Loop(Loop), m_Store(Store), m_Table(std::move(Table)),
      m_Partitions(std::move(Parts)), m_CatchUp(Mode), m_Wait(Wait),
      m_Listener(std::move(Callbacks)) {}

std::shared_ptr<TableMirror>
TableMirror::create(Timers &Loop, MetadataStore &Store, std::string Table,
                    std::vector<std::string> Parts, CatchUp Mode, Duration Wait,
                    Listener Callbacks) {
  return std::shared_ptr<TableMirror>(
      new TableMirror(Loop, Store, std::move(Table), std::move(Parts), Mode,
                      Wait, std::move(Callbacks)));
}

void TableMirror::start() { readSnapshot(); }

void TableMirror::readSnapshot() {
  m_SnapshotRows.clear();
  m_SnapshotVersion = 0;
  m_SnapshotStoreTime = std::chrono::milliseconds::max();
  m_SnapshotBegunAt = m_Loop.now();
  m_PartitionsLeft = m_Partitions.size();
  for (const std::string &Part : m_Partitions)
    readPage(Part, {});
}

void TableMirror::readPage(const std::string &Part, const std::string &From) {
  m_Store.read({m_Table, From, Part}, MaxPageRows, replyTimeout(),
               [Self = shared_from_this(), Part, From,
                Asked = m_Loop.now()](Result<RowPage> Page) {
                 Self->onPage(Part, From, std::move(Page), Asked);
               });
}

void TableMirror::onPage(const std::string &Part, const std::string &From,
                         Result<RowPage> Page, TimePoint Asked) {
  if (m_IsStopped)
    return;
  // The pages that have arrived are kept: with many pages, hardly any read
  // would succeed as a whole while some replies are lost.
  if (!Page)
    return onFailure(Page.error(), Asked,
                     [this, Part, From] { readPage(Part, From); });
  m_TimeoutsInARow = 0;
  // The feed starts at the oldest version of all pages, so it reports what
  // changes while other partitions and pages are read.
  RowVersion Version = Page.value().m_Version;
  m_SnapshotVersion =
      m_SnapshotVersion == 0 ? Version : std::min(m_SnapshotVersion, Version);
  std::chrono::milliseconds StoreTime = Page.value().m_StoreTime;
  m_SnapshotStoreTime = std::min(m_SnapshotStoreTime, StoreTime);
  for (const StoredRow &Row : Page.value().m_Rows) {
    m_SnapshotRows.insert(Row.m_At.m_Key);
    apply(Row);
  }
  if (Page.value().m_HasMore && !Page.value().m_Rows.empty())
    return readPage(Part, Page.value().m_Rows.back().m_At.m_Key + '\0');
  if (--m_PartitionsLeft == 0)
    onSnapshotRead(StoreTime, Asked);
}

void TableMirror::onSnapshotRead(std::chrono::milliseconds StoreTime,
                                 TimePoint Asked) {
  removeUnseenRows();
  m_ReportedVersion = m_SnapshotVersion;
  m_IsSynced = true;
  m_CurrentAt = m_SnapshotBegunAt;
  m_MayHaveMissedChanges = false;
  m_CurrentStoreTime = m_SnapshotStoreTime;
  logRecovery();
  recordAnswer(StoreTime, Asked);
  requestChanges();
}

void TableMirror::removeUnseenRows() {
  std::vector<std::string> RemovedKeys;
  for (const auto &[Key, Version] : m_Versions)
    if (!m_SnapshotRows.count(Key))
      RemovedKeys.push_back(Key);
  std::sort(RemovedKeys.begin(), RemovedKeys.end());
  for (const std::string &Key : RemovedKeys)
    apply({{m_Table, Key, {}}, {}, m_SnapshotVersion, true});
}

void TableMirror::requestChanges() {
  if (m_IsStopped)
    return;
  // After a failure the answer only has to show that the store is back. A call
  // that does not wait for a change also ends sooner if its connection is dead.
  // After an answer that may have been cut it shows whether there is more.
  Duration Wait = m_IsFailing || m_MayHaveMissedChanges ? Duration(0) : m_Wait;
  m_Store.follow(m_Table, m_ReportedVersion, Wait, Wait + replyTimeout(),
                 [Self = shared_from_this(),
                  Asked = m_Loop.now()](Result<RowPage> Changes) {
                   Self->onChanges(std::move(Changes), Asked);
                 });
}

void TableMirror::onChanges(Result<RowPage> Changes, TimePoint Asked) {
  if (m_IsStopped)
    return;
  if (!Changes) {
    if (Changes.error().m_Code == ErrorCode::NotFound)
      return readSnapshot();
    return onFailure(Changes.error(), Asked, [this] {
      m_CatchUp == CatchUp::ReadRows ? readSnapshot() : requestChanges();
    });
  }
  m_TimeoutsInARow = 0;
  const bool IsLagging = applyChanges(Changes.value(), Asked);
  m_ReportedVersion = std::max(m_ReportedVersion, Changes.value().m_Version);
  m_MayHaveMissedChanges = mayHaveMoreChanges(Changes.value());
  if (!m_MayHaveMissedChanges) {
    m_CurrentAt = Asked;
    m_CurrentStoreTime = Changes.value().m_StoreTime;
    logRecovery();
  }
  recordAnswer(Changes.value().m_StoreTime, Asked);
  if (IsLagging && m_CatchUp == CatchUp::ReadRows)
    return readSnapshot();
  if (Changes.value().m_Rows.empty() || m_BatchDelay <= Duration(0))
    return requestChanges();
  m_Loop.after(m_BatchDelay,
               [Self = shared_from_this()] { Self->requestChanges(); });
}

bool TableMirror::applyChanges(const RowPage &Changes, TimePoint Asked) {
  const std::vector<StoredRow> &Rows = Changes.m_Rows;
  // The feed lists every change; only the latest one of each row is reported.
  std::unordered_map<std::string_view, RowVersion> Newest;
  Newest.reserve(Rows.size());
  for (const StoredRow &Row : Rows)
    Newest[Row.m_At.m_Key] = Row.m_Version;
  std::size_t AppliedBytes = 0, ReplacedBytes = 0;
  for (const StoredRow &Row : Rows) {
    if (Row.m_Version != Newest[Row.m_At.m_Key]) {
      ReplacedBytes += Row.m_Value.size();
      continue;
    }
    AppliedBytes += Row.m_Value.size();
    apply(Row);
  }
  // An answer that began long before it was complete was ready when it was
  // asked for, so that the next one is, too.
  const Duration Transfer = m_Loop.now() - Asked - Changes.m_BeganAfter;
  return AppliedBytes + ReplacedBytes >= MinLargeAnswerBytes &&
         (Changes.m_BeganAfter * 2 < Transfer || ReplacedBytes >= AppliedBytes);
}

void TableMirror::apply(const StoredRow &Row) {
  auto Known = m_Versions.try_emplace(Row.m_At.m_Key).first;
  if (Row.m_Version <= Known->second &&
      !(Row.m_IsDeleted && Row.m_Version == Known->second))
    return;
  Known->second = Row.m_Version;
  m_NewestRow = std::max(m_NewestRow, Row.m_Version);
  if (Row.m_IsDeleted)
    m_Versions.erase(Known);
  m_Listener.m_OnRow(Row);
}

std::optional<std::chrono::milliseconds>
TableMirror::latestStoreTime(TimePoint Now) const {
  if (m_LastStoreTime.count() == 0)
    return std::nullopt;
  return m_LastStoreTime + std::chrono::ceil<std::chrono::milliseconds>(
                               Now - m_LastAnswerRequestedAt);
}

void TableMirror::recordAnswer(std::chrono::milliseconds StoreTime,
                               TimePoint Asked) {
  m_LastStoreTime = StoreTime;
  m_LastAnswerRequestedAt = Asked;
  if (m_IsFailing)
    m_AnsweringSince = m_Loop.now();
  m_IsFailing = false;
  if (m_Listener.m_OnAnswer)
    m_Listener.m_OnAnswer();
}

void TableMirror::logFailure(const Error &Why) {
  TimePoint Now = m_Loop.now();
  if (m_FailuresInARow++ == 0)
    m_FirstFailureAt = Now;
  if (Now < m_NextFailureLog)
    return;
  m_NextFailureLog = Now + FailureLogInterval;
  logEvent(Event::TableReadFailed,
           {{"table", m_Table},
            {"version", std::to_string(m_ReportedVersion)},
            {"age_ms", m_IsSynced ? toMilliseconds(Now - m_CurrentAt) : "none"},
            {"failures", std::to_string(m_FailuresInARow)},
            {"error", Why.describe()}});
}

void TableMirror::logRecovery() {
  if (m_FailuresInARow == 0)
    return;
  logEvent(
      Event::TableCurrent,
      {{"table", m_Table},
       {"version", std::to_string(m_ReportedVersion)},
       {"failures", std::to_string(m_FailuresInARow)},
       {"failed_for_ms", toMilliseconds(m_Loop.now() - m_FirstFailureAt)}});
  m_FailuresInARow = 0;
  m_NextFailureLog = TimePoint{};
}

Duration TableMirror::replyTimeout() const {
  return m_TimeoutsInARow < MaxShortTimeouts ? ReplyTimeout : LongReplyTimeout;
}

void TableMirror::onFailure(const Error &Why, TimePoint Asked,
                            std::function<void()> Retry) {
  m_IsFailing = true;
  // Of calls that were made together only the first counts.
  if (Why.m_Code == ErrorCode::Timeout && Asked >= m_LastTimeoutAt) {
    ++m_TimeoutsInARow;
    m_LastTimeoutAt = m_Loop.now();
  }
  logFailure(Why);
  if (m_Listener.m_OnFailure)
    m_Listener.m_OnFailure(Why);
  m_Loop.after(RetryPause,
               [Self = shared_from_this(), Retry = std::move(Retry)] {
                 if (!Self->m_IsStopped)
                   Retry();
               });
}

} // namespace pollenspool
