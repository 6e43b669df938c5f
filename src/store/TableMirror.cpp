//===- TableMirror.cpp - A table followed by its change feed --------------===//

#include "store/TableMirror.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Rows asked for in one call: the store's own limit.
constexpr std::size_t PageRows = 500;
/// A reading is answered in about 4 ms; a store that is 60 times slower still
/// answers within this.
constexpr Duration ReadTimeout = std::chrono::milliseconds(800);
/// Pause after a failed call: short against the bound on configuration (2 s),
/// and few enough calls during an outage (they are priced).
constexpr Duration RetryPause = std::chrono::milliseconds(150);

} // namespace

TableMirror::TableMirror(EventLoop &Loop, MetadataStore &Store,
                         std::string Table, std::vector<std::string> Parts,
                         Duration Wait, Listener Notify)
    : m_Loop(Loop), m_Store(Store), m_Table(std::move(Table)),
      m_Parts(std::move(Parts)), m_Wait(Wait), m_Notify(std::move(Notify)) {}

std::shared_ptr<TableMirror>
TableMirror::create(EventLoop &Loop, MetadataStore &Store, std::string Table,
                    std::vector<std::string> Parts, Duration Wait,
                    Listener Notify) {
  return std::shared_ptr<TableMirror>(
      new TableMirror(Loop, Store, std::move(Table), std::move(Parts), Wait,
                      std::move(Notify)));
}

void TableMirror::start() { readAll(); }

void TableMirror::readAll() {
  m_Reading.clear();
  m_ReadingFrom = 0;
  m_PartsLeft = m_Parts.size();
  ++m_ReadingNumber;
  for (const std::string &Part : m_Parts)
    readPage(Part, {});
}

void TableMirror::readPage(const std::string &Part, const std::string &From) {
  m_Store.read({m_Table, From, Part}, PageRows, ReadTimeout,
               [Self = shared_from_this(), Part, Asked = m_Loop.now(),
                Number = m_ReadingNumber](Result<RowPage> Page) {
                 if (Number == Self->m_ReadingNumber)
                   Self->onPage(Part, std::move(Page), Asked);
               });
}

void TableMirror::onPage(const std::string &Part, Result<RowPage> Page,
                         TimePoint Asked) {
  if (m_Stopped)
    return;
  if (!Page) {
    ++m_ReadingNumber;
    return onFailure(Page.error());
  }
  // What changes while other parts and pages are read comes with the feed.
  RowVersion Version = Page.value().m_Version;
  m_ReadingFrom =
      m_ReadingFrom == 0 ? Version : std::min(m_ReadingFrom, Version);
  for (const StoredRow &Row : Page.value().m_Rows) {
    m_Reading[Row.m_At.m_Key] = Row.m_Version;
    apply(Row);
  }
  if (Page.value().m_HasMore && !Page.value().m_Rows.empty())
    return readPage(Part, Page.value().m_Rows.back().m_At.m_Key + '\0');
  if (--m_PartsLeft == 0)
    onAllRead(Asked);
}

void TableMirror::onAllRead(TimePoint Asked) {
  dropUnseen();
  m_After = m_ReadingFrom;
  m_Synced = true;
  noteAnswer(Asked);
  followOnce();
}

void TableMirror::dropUnseen() {
  std::vector<std::string> Gone;
  for (const auto &[Key, Version] : m_Versions)
    if (!m_Reading.count(Key))
      Gone.push_back(Key);
  for (const std::string &Key : Gone)
    apply({{m_Table, Key, {}}, {}, m_ReadingFrom, true});
}

void TableMirror::followOnce() {
  if (m_Stopped)
    return;
  m_Store.follow(m_Table, m_After, m_Wait,
                 [Self = shared_from_this(),
                  Asked = m_Loop.now()](Result<RowPage> Changes) {
                   Self->onChanges(std::move(Changes), Asked);
                 });
}

void TableMirror::onChanges(Result<RowPage> Changes, TimePoint Asked) {
  if (m_Stopped)
    return;
  if (!Changes) {
    if (Changes.error().m_Code == ErrorCode::NotFound)
      return readAll();
    return onFailure(Changes.error());
  }
  // Each change comes by itself; only what a row holds in the end matters.
  std::map<std::string_view, RowVersion> Newest;
  for (const StoredRow &Row : Changes.value().m_Rows)
    Newest[Row.m_At.m_Key] = Row.m_Version;
  for (const StoredRow &Row : Changes.value().m_Rows)
    if (Row.m_Version == Newest[Row.m_At.m_Key])
      apply(Row);
  m_After = std::max(m_After, Changes.value().m_Version);
  noteAnswer(Asked);
  if (Changes.value().m_Rows.empty() || m_Pause <= Duration(0))
    return followOnce();
  m_Loop.after(m_Pause, [Self = shared_from_this()] { Self->followOnce(); });
}

void TableMirror::apply(const StoredRow &Row) {
  RowVersion &Known = m_Versions[Row.m_At.m_Key];
  if (Row.m_Version <= Known && !(Row.m_Removed && Row.m_Version == Known))
    return;
  Known = Row.m_Version;
  if (Row.m_Removed)
    m_Versions.erase(Row.m_At.m_Key);
  m_Notify.m_OnRow(Row);
}

void TableMirror::noteAnswer(TimePoint Asked) {
  m_AnsweredAt = Asked;
  if (m_Failing)
    m_AnsweringSince = m_Loop.now();
  m_Failing = false;
  if (m_Notify.m_OnAnswer)
    m_Notify.m_OnAnswer();
}

void TableMirror::onFailure(const Error &Why) {
  m_Failing = true;
  if (m_Notify.m_OnFailure)
    m_Notify.m_OnFailure(Why);
  m_Loop.after(RetryPause, [Self = shared_from_this()] {
    if (Self->m_Stopped)
      return;
    if (Self->m_Synced)
      Self->followOnce();
    else
      Self->readAll();
  });
}

} // namespace pollenspool
