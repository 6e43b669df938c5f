//===- ClaimOutbox.h - Actions emitted by the claim core --------*- C++ -*-===//
// Actions that the decision cores of the claim component emit. The I/O driver
// (ClaimDriver) or a simulation executes them.
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMOUTBOX_H
#define POLLENSPOOL_CLAIMS_CLAIMOUTBOX_H

#include "claims/ClaimTypes.h"
#include "claims/Messages.h"
#include "platform/Platform.h"

namespace pollenspool::claims {

/// Identifies a call to a peer; passed back with its reply.
using CallId = std::uint64_t;

/// Identifies a request that waits for a reply.
struct RequestHandle {
  std::uint64_t m_Id = 0;
  /// True if the requester is this entry instance; m_Id is then its CallId.
  bool m_IsLocal = false;
};

struct CallPeer {
  CallId m_Call = 0;
  EntryId m_Peer;
  Request m_Request;
};
struct Respond {
  RequestHandle m_Handle;
  Reply m_Reply;
};
/// Executes a transaction; its result comes back in one onTransacted() event.
struct RunTransaction {
  Transaction m_Transaction;
  CallPriority m_Priority = CallPriority::Claim;
};
/// Reads table rows; their values come back in one onRead() event.
struct ReadRows {
  std::vector<std::string> m_Keys;
};
/// Reports the outcome of a claim that this entry instance requested.
struct ReportDecision {
  ClaimToken m_Token;
  ClaimReply m_Reply;
};

using Action =
    std::variant<CallPeer, Respond, RunTransaction, ReadRows, ReportDecision>;

/// Collects actions. Not thread safe.
class Outbox {
public:
  CallId call(const EntryId &Peer, Request R) {
    m_Actions.push_back(CallPeer{++m_LastCall, Peer, std::move(R)});
    return m_LastCall;
  }
  void add(Action A) { m_Actions.push_back(std::move(A)); }
  std::vector<Action> take() { return std::exchange(m_Actions, {}); }

private:
  std::vector<Action> m_Actions;
  CallId m_LastCall = 0;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_CLAIMOUTBOX_H
