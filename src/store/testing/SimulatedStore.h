//===- SimulatedStore.h - A store behind a narrow link ----------*- C++ -*-===//

#ifndef POLLENSPOOL_STORE_TESTING_SIMULATEDSTORE_H
#define POLLENSPOOL_STORE_TESTING_SIMULATEDSTORE_H

#include "net/CallDeadline.h"
#include "store/MetadataStore.h"
#include "store/testing/VirtualTimers.h"
#include <deque>
#include <map>
#include <memory>
#include <random>

namespace pollenspool {

/// How a call to the store ends if the store or the link has failed.
enum class StoreFault : std::uint8_t {
  None,
  /// Connections are reset at once, also those with a reply in progress.
  Reset,
  /// Nothing arrives any more, and no connection is reset.
  Silent,
};

/// When a call whose reply has begun to arrive is given up: as HttpStore does,
/// or, to show that tests depend on it, after the timeout of the call.
enum class ReplyLimit : std::uint8_t { ByProgress, WholeReply };

struct SimulatedStoreSettings {
  std::uint64_t m_Seed = 1;
  /// Rate of the link in bytes per second, shared by all replies.
  double m_BytesPerSecond = 1.25e6;
  /// From a request to the first byte of its reply.
  Duration m_Latency = std::chrono::milliseconds(5);
  /// Share of the replies that never arrive.
  double m_LostShare = 0;
  /// How long the change feed keeps its history.
  Duration m_History = std::chrono::seconds(20);
  ReplyLimit m_Limit = ReplyLimit::ByProgress;
};

/// An in-memory store whose replies cross a link of limited rate, in chunks, on
/// a virtual clock. It applies the time limits of HttpClient to each call, and
/// the store's limits of 500 rows and 1 MB to each reply. Not thread safe.
class SimulatedStore : public MetadataStore {
public:
  /// \p Time must outlive the store.
  SimulatedStore(VirtualTimers &Time, SimulatedStoreSettings Settings);

  void commit(const RowTransaction &Txn, Duration Timeout,
              std::function<void(Result<CommitOutcome>)> Callback) override;
  void read(const RowAddress &From, std::size_t Limit, Duration Timeout,
            std::function<void(Result<RowPage>)> Callback) override;
  void follow(const std::string &Table, RowVersion After, Duration Wait,
              Duration Timeout,
              std::function<void(Result<RowPage>)> Callback) override;

  /// Writes a row as an operator would, without a call. Returns its version.
  RowVersion put(const RowAddress &At, std::string Value);
  void setFault(StoreFault Fault);
  void setRate(double BytesPerSecond) {
    m_Settings.m_BytesPerSecond = BytesPerSecond;
  }
  /// Bytes of all replies that have arrived.
  std::uint64_t bytesSent() const { return m_BytesSent; }
  /// Number of read() calls.
  std::size_t reads() const { return m_Reads; }

private:
  using PageCallback = std::function<void(Result<RowPage>)>;
  using RowKey = std::tuple<std::string, std::string, std::string>;

  /// A call whose reply has not arrived completely.
  struct PendingCall {
    std::uint64_t m_Number = 0;
    TimePoint m_StartedAt;
    PageCallback m_Callback;
    CallDeadline m_Deadline;
    /// The reply, once the store has made it.
    RowPage m_Reply;
    std::size_t m_BytesLeft = 0;
    bool m_IsLost = false;
    bool m_IsDone = false;
    /// Of a call of the feed that waits for a change.
    std::string m_Table;
    RowVersion m_After = 0;
    bool m_IsWaiting = false;
  };
  using CallPtr = std::shared_ptr<PendingCall>;

  CallPtr begin(Duration Timeout, PageCallback Callback);
  void scheduleDeadline(const CallPtr &Call);
  void finish(const CallPtr &Call, Result<RowPage> Reply);
  void send(const CallPtr &Call, RowPage Reply);
  void sendChunk(const CallPtr &Call);
  void answerFeed(const CallPtr &Call);
  std::chrono::milliseconds storeTime() const;
  bool hasChanges(const std::string &Table, RowVersion After) const;

  VirtualTimers &m_Clock;
  SimulatedStoreSettings m_Settings;
  std::mt19937_64 m_Random;
  std::map<RowKey, StoredRow> m_Rows;
  struct Change {
    TimePoint m_At;
    StoredRow m_Row;
  };
  std::deque<Change> m_Changes;
  std::map<std::uint64_t, CallPtr> m_Calls;
  std::uint64_t m_LastCall = 0;
  RowVersion m_Version = 0;
  /// The newest version that is no longer in the history.
  RowVersion m_ForgottenVersion = 0;
  StoreFault m_Fault = StoreFault::None;
  TimePoint m_LinkFreeAt{};
  std::uint64_t m_BytesSent = 0;
  std::size_t m_Reads = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_STORE_TESTING_SIMULATEDSTORE_H
