//===- PendingCall.h - A call of HttpClient ---------------------*- C++ -*-===//

#ifndef POLLENSPOOL_NET_PENDINGCALL_H
#define POLLENSPOOL_NET_PENDINGCALL_H

#include "net/CallDeadline.h"
#include "net/ConnectionSlots.h"
#include "net/HttpClient.h"
#include <boost/intrusive/set.hpp>
#include <optional>
#include <string>

namespace pollenspool {

/// Makes a call a member of a DeadlineSet until it is destroyed.
using DeadlineHook = boost::intrusive::set_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// A call that has not ended. Its hook is in the client's set of deadlines.
struct PendingCall : DeadlineHook {
  CallNumber m_Number = 0;
  std::string m_Peer;
  std::string m_Target;
  /// The serialized request.
  std::string m_Request;
  HttpClient::ReplyCallback m_Callback;
  CallLimit m_Limit = CallLimit::Timeout;
  CallDeadline m_Deadline;
  /// When the client ends the call; no earlier than m_Deadline.
  TimePoint m_ExpiresAt;
  TimePoint m_StartedAt;
  /// When the request was sent. Only valid if m_IsSent.
  TimePoint m_SentAt;
  /// When a part of the reply had arrived, if not all at once.
  std::optional<TimePoint> m_ReplyBegunAt;
  /// 0 while the call waits for a connection.
  ConnectionNumber m_Connection = 0;
  bool m_IsSent = false;
  /// Bytes of the reply that is arriving, as far as known.
  std::size_t m_ArrivingBytes = 0;
};

/// Orders calls by the time at which the client ends them.
struct EarlierDeadline {
  bool operator()(const PendingCall &Left, const PendingCall &Right) const {
    return Left.m_ExpiresAt < Right.m_ExpiresAt;
  }
};

/// Calls by the time at which the client ends them.
using DeadlineSet =
    boost::intrusive::multiset<PendingCall,
                               boost::intrusive::compare<EarlierDeadline>,
                               boost::intrusive::constant_time_size<false>>;

} // namespace pollenspool

#endif // POLLENSPOOL_NET_PENDINGCALL_H
