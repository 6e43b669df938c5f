//===- TableMirror.h - A table followed by its change feed ------*- C++ -*-===//

#ifndef POLLENSPOOL_STORE_TABLEMIRROR_H
#define POLLENSPOOL_STORE_TABLEMIRROR_H

#include "net/EventLoop.h"
#include "store/MetadataStore.h"
#include <map>
#include <memory>

namespace pollenspool {

/// Reads a table once, then follows its feed, and starts over when the feed's
/// history is gone. Rows are reported in the order of their versions, each
/// version once; a row that vanished between two readings is reported as
/// removed. One thread: the event loop's.
class TableMirror : public std::enable_shared_from_this<TableMirror> {
public:
  struct Listener {
    std::function<void(const StoredRow &)> m_OnRow;
    /// After each answer of the store, once all its rows have been reported.
    std::function<void()> m_OnAnswer;
    /// After each failed call.
    std::function<void(const Error &)> m_OnFailure;
  };

  /// \p Loop and \p Store must outlive the mirror. \p Parts are all parts in
  /// which the table may have rows; keys differ between them. \p Wait is how
  /// long one call of the feed may wait for a change.
  static std::shared_ptr<TableMirror>
  create(EventLoop &Loop, MetadataStore &Store, std::string Table,
         std::vector<std::string> Parts, Duration Wait, Listener Notify);
  void start();
  /// After an answer with changes the next call waits this long, so that close
  /// changes cost one call. 0 at first.
  void setPause(Duration Pause) { m_Pause = Pause; }
  /// No more calls are made and nothing more is reported.
  void stop() { m_Stopped = true; }

  bool isSynced() const { return m_Synced; }
  /// When the store was asked for the newest answer.
  TimePoint answeredAt() const { return m_AnsweredAt; }
  /// Everything up to this version of the store has been reported.
  RowVersion version() const { return m_After; }
  /// When the feed began to answer without a failure in between.
  TimePoint answeringSince() const { return m_AnsweringSince; }

private:
  TableMirror(EventLoop &Loop, MetadataStore &Store, std::string Table,
              std::vector<std::string> Parts, Duration Wait, Listener Notify);
  void readAll();
  void readPage(const std::string &Part, const std::string &From);
  void onPage(const std::string &Part, Result<RowPage> Page, TimePoint Asked);
  void onAllRead(TimePoint Asked);
  void followOnce();
  void onChanges(Result<RowPage> Changes, TimePoint Asked);
  void apply(const StoredRow &Row);
  void dropUnseen();
  void onFailure(const Error &Why);
  void noteAnswer(TimePoint Asked);

  EventLoop &m_Loop;
  MetadataStore &m_Store;
  std::string m_Table;
  std::vector<std::string> m_Parts;
  Duration m_Wait;
  Duration m_Pause{0};
  Listener m_Notify;
  std::map<std::string, RowVersion> m_Versions;
  /// Versions of the reading under way; what it lacks has been removed.
  std::map<std::string, RowVersion> m_Reading;
  RowVersion m_After = 0;
  RowVersion m_ReadingFrom = 0;
  std::size_t m_PartsLeft = 0;
  /// Answers of earlier readings are passed over.
  std::uint64_t m_ReadingNumber = 0;
  bool m_Synced = false;
  bool m_Stopped = false;
  bool m_Failing = true;
  TimePoint m_AnsweredAt{};
  TimePoint m_AnsweringSince{};
};

} // namespace pollenspool

#endif // POLLENSPOOL_STORE_TABLEMIRROR_H
