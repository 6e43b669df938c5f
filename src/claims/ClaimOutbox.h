//===- ClaimOutbox.h - What the claim core wants done -----------*- C++ -*-===//
//
// Actions that the decision cores of this slice emit and the shell carries out.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMOUTBOX_H
#define POLLENSPOOL_CLAIMS_CLAIMOUTBOX_H

#include "claims/ClaimTypes.h"
#include "claims/Messages.h"
#include "platform/Platform.h"

namespace pollenspool::claims {

/// Names a call to a peer; given back with its reply.
using CallId = std::uint64_t;

/// Names a request that waits for a reply.
struct RequestHandle {
  std::uint64_t m_Id = 0;
  /// True if the asker is this entry instance; m_Id is its CallId.
  bool m_Local = false;
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
/// Answered by one onTransacted().
struct RunTransaction {
  Transaction m_Transaction;
  CallPriority m_Priority = CallPriority::Claim;
};
/// Answered by one onRead().
struct ReadRows {
  std::vector<std::string> m_Keys;
};
/// The outcome of a local claim.
struct Decide {
  ClaimToken m_Token;
  ClaimReply m_Reply;
};

using Action =
    std::variant<CallPeer, Respond, RunTransaction, ReadRows, Decide>;

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
