//===- ClaimDriver.h - Threads and I/O of the claim core --------*- C++ -*-===//
// The I/O driver of the claim core and the interface of the claim component to
// the daemon: claims for the daemon's own requests, and claim messages of
// peers. The protocol is described in docs/design/claims.md.
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMDRIVER_H
#define POLLENSPOOL_CLAIMS_CLAIMDRIVER_H

#include "base/Error.h"
#include "claims/ClaimTypes.h"
#include "platform/Platform.h"
#include <functional>
#include <memory>

namespace pollenspool {

/// Called once with the body of the reply or with the error.
using PeerCallback = std::function<void(Result<std::string>)>;

/// Sends messages to the claim components of other entry instances.
/// Implementations are thread safe, do not block, and never invoke the callback
/// on the thread that calls callAsync().
class PeerSender {
public:
  virtual ~PeerSender() = default;

  /// Delivers \p Body to onPeerMessage(\p Path, ...) of \p Peer. The message
  /// may have been delivered even if the callback receives an error.
  virtual void callAsync(const EntryId &Peer, const std::string &Path,
                         std::string Body, std::chrono::milliseconds Timeout,
                         PeerCallback Callback) = 0;
};

/// Prefix of the paths of all claim messages.
constexpr const char *ClaimPathPrefix = "/claims/";

/// Makes claims for one entry instance. Thread safe.
class ClaimDriver {
public:
  /// Starts the threads; the platform need not be reachable yet. Preconditions:
  /// \p Table and \p Peers outlive the object, and no message is delivered
  /// after its destruction. Errors: InvalidSettings.
  static Result<std::unique_ptr<ClaimDriver>>
  create(ClaimSettings Settings, Platform &Table, PeerSender &Peers);
  ~ClaimDriver();

  /// Requests the right to run \p Key. Blocks for at most \p Timeout. A denial
  /// does not tell whether the request has run; it must be reported to the
  /// caller as Unknown.
  ClaimReply claim(const RequestId &Key, std::chrono::milliseconds Timeout);

  /// Records that a granted request has run and what it answered. Does not
  /// block. The notification is repeated until the owner acknowledges it or the
  /// retention of the claim has passed.
  void complete(const RequestId &Key, const ClaimToken &Token,
                const Answer &Recorded);

  /// Releases a grant. Precondition: no backend server has started the request
  /// and none will. Does not block; the notification is repeated as for
  /// complete().
  void release(const RequestId &Key, const ClaimToken &Token);

  /// Handles a message of a peer. Calls \p Reply once, on any thread, possibly
  /// before this function returns. Errors passed to \p Reply: InvalidMessage,
  /// NotFound.
  void onPeerMessage(const std::string &Path, const EntryId &From,
                     const std::string &Body, PeerCallback Reply);

  /// Denies new claims, writes all rows to the table and then records in the
  /// owner row that no recovery is needed at the next start. True if this was
  /// completed within \p Timeout. After a false result no grant is lost, but
  /// the next start needs a recovery.
  bool drain(std::chrono::milliseconds Timeout);

  /// True once this entry instance decides the claims of the keys it owns;
  /// before that it denies them. For readiness checks.
  bool isServing() const;

  ClaimStats stats() const;

private:
  struct Impl;
  explicit ClaimDriver(std::shared_ptr<Impl> State);

  /// Shared with callbacks that may run after the object was destroyed.
  std::shared_ptr<Impl> m_Impl;
};

} // namespace pollenspool

#endif // POLLENSPOOL_CLAIMS_CLAIMDRIVER_H
