//===- TicketTable.h - Open requests and their indexes ----------*- C++ -*-===//
//
// Holds the record of each open request, ordered by deadline and by request ID,
// so that neither expiry nor cancellation scans the others.
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

struct PoolEntry;
struct ServiceEntry;

/// Where an open request stands.
enum class Phase : std::uint8_t {
  /// Waits in its pool's queue, perhaps for its claim.
  Queued,
  /// Waits for its claim to be sent to another data centre; in no queue.
  ClaimingForSpill,
  Trying,
  Forwarding,
};

/// What earlier tries of a request came to.
struct TryHistory {
  std::uint32_t m_Tries = 0;
  /// Instances tried; a request never goes to one of them again.
  std::vector<InstanceId> m_Instances;
  /// Data centres that the request was forwarded to.
  std::vector<DataCentreName> m_DataCentres;
  /// The last try that ended as unknown; None if there was none.
  Reason m_LastUnknown = Reason::None;
  /// The last answer with an error status, if there was one.
  std::unique_ptr<Answer> m_ErrorAnswer;
  InstanceId m_ErrorInstance;
};

/// One open request.
struct TicketRecord {
  Ticket m_Ticket = 0;
  RequestId m_Id;
  TimePoint m_Deadline;
  ServiceEntry *m_Service = nullptr;
  PoolEntry *m_Pool = nullptr;
  std::uint32_t m_Attempt = 0;
  UrgencyClass m_Class = UrgencyClass::Normal;
  Phase m_Phase = Phase::Queued;
  bool m_Repeatable = false;
  bool m_CallerKeyed = false;
  bool m_Forwarded = false;
  /// True while the claim is asked for and not decided on.
  bool m_ClaimPending = false;
  bool m_ClaimGranted = false;
  bool m_IsProbe = false;
  /// The instance of the try in flight.
  RoutedInstance *m_Instance = nullptr;
  TimePoint m_TryStart;
  /// Made by the first try; most waiting requests have none.
  std::unique_ptr<TryHistory> m_History;

  QueueKey queueKey() const { return {m_Deadline, m_Ticket}; }
  bool needsClaim() const {
    return m_CallerKeyed && !m_Repeatable && !m_Forwarded;
  }
  bool isWaiting() const {
    return m_Phase == Phase::Queued || m_Phase == Phase::ClaimingForSpill;
  }
  std::uint32_t tries() const { return m_History ? m_History->m_Tries : 0; }
  TryHistory &history();
};

/// Not thread safe. Records stay at their address until they are removed.
class TicketTable {
public:
  TicketRecord &add(const RequestInfo &Info);
  /// The open request, or null.
  TicketRecord *find(Ticket Id);
  void remove(Ticket Id);

  /// The open requests with \p Id, oldest first.
  std::vector<Ticket> withId(const RequestId &Id) const;
  /// The open request with the earliest deadline.
  std::optional<QueueKey> earliest() const;
  std::size_t size() const { return m_Records.size(); }

  /// The open requests without a try in flight, oldest first. O(n log n).
  std::vector<Ticket> waiting() const;

private:
  /// Requests may share an ID, and IDs a hash.
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
