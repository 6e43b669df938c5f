//===- TicketTable.h - Open requests and their indexes ----------*- C++ -*-===//
//
// Holds the record of each open request, with indexes by deadline and by
// request ID, so that neither expiry nor cancellation scans all requests.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DISPATCH_TICKETTABLE_H
#define POLLENSPOOL_DISPATCH_TICKETTABLE_H

#include "admission/PoolQueue.h"
#include "admission/Ticket.h"
#include "request/Request.h"
#include "routing/RoutedInstance.h"
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace pollenspool {

struct PoolState;
struct ServiceState;

/// Phase of an open request.
enum class Phase : std::uint8_t {
  /// Queued in its pool. Its claim may be pending.
  Queued,
  /// Waits for its claim before it is forwarded to another data centre. In no
  /// queue.
  ClaimingForForward,
  Trying,
  Forwarding,
};

/// Results of the earlier tries of a request.
struct TryHistory {
  std::uint32_t m_Tries = 0;
  /// Instances at which the request was tried. It is not sent to any of them
  /// again.
  std::vector<InstanceId> m_Instances;
  /// Data centres to which the request was forwarded.
  std::vector<DataCentreName> m_DataCentres;
  /// Reason of the last try that ended as unknown, or None.
  Reason m_LastUnknown = Reason::None;
  /// The last answer with an error status, or null.
  std::unique_ptr<Answer> m_ErrorAnswer;
  InstanceId m_ErrorInstance;
};

struct TicketRecord {
  Ticket m_Ticket = 0;
  RequestId m_Id;
  TimePoint m_Deadline;
  ServiceState *m_Service = nullptr;
  PoolState *m_Pool = nullptr;
  std::uint32_t m_Attempt = 0;
  UrgencyClass m_Class = UrgencyClass::Normal;
  Phase m_Phase = Phase::Queued;
  bool m_Repeatable = false;
  bool m_HasIdempotencyKey = false;
  bool m_Forwarded = false;
  /// True after the claim was requested and until it is granted or denied.
  bool m_ClaimPending = false;
  bool m_ClaimGranted = false;
  bool m_IsProbe = false;
  /// The instance of the try in flight, or null.
  RoutedInstance *m_Instance = nullptr;
  TimePoint m_TryStart;
  /// Created by the first try or forward, because most queued requests have
  /// none.
  std::unique_ptr<TryHistory> m_History;

  QueueKey queueKey() const { return {m_Deadline, m_Ticket}; }
  bool needsClaim() const {
    return m_HasIdempotencyKey && !m_Repeatable && !m_Forwarded;
  }
  bool isWaiting() const {
    return m_Phase == Phase::Queued || m_Phase == Phase::ClaimingForForward;
  }
  std::uint32_t tries() const { return m_History ? m_History->m_Tries : 0; }
  TryHistory &history();
};

/// Not thread safe. A record keeps its address until it is removed.
class TicketTable {
public:
  TicketRecord &add(const RequestInfo &Info);
  /// The open request, or null if it has finished.
  TicketRecord *find(Ticket Id);
  void remove(Ticket Id);

  /// The open requests with \p Id, oldest first.
  std::vector<Ticket> withId(const RequestId &Id) const;
  /// The open request with the earliest deadline, or nothing if none is open.
  std::optional<QueueKey> earliest() const;
  std::size_t size() const { return m_Records.size(); }

  /// The open requests without a try or forward in flight, oldest first. O(n
  /// log n).
  std::vector<Ticket> waiting() const;

private:
  /// Several requests may have the same ID, and several IDs the same hash.
  struct IdKey {
    std::uint64_t m_Hash = 0;
    Ticket m_Ticket = 0;

    friend bool operator<(const IdKey &A, const IdKey &B) {
      return A.m_Hash != B.m_Hash ? A.m_Hash < B.m_Hash
                                  : A.m_Ticket < B.m_Ticket;
    }
  };

  Ticket m_Last = 0;
  std::unordered_map<Ticket, TicketRecord> m_Records;
  std::set<QueueKey> m_ByDeadline;
  std::set<IdKey> m_ById;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DISPATCH_TICKETTABLE_H
