//===- ClaimShell.h - Threads around the claim core -------------*- C++ -*-===//
//
// What the daemon wires: claims for its own requests, and the messages of its
// peers' claims. See docs/design/claims.md for the protocol.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMSHELL_H
#define POLLENSPOOL_CLAIMS_CLAIMSHELL_H

#include "base/Error.h"
#include "claims/ClaimTypes.h"
#include "platform/Platform.h"
#include <functional>
#include <memory>

namespace pollenspool {

/// Called once with the reply's body or with the error.
using PeerCallback = std::function<void(Result<std::string>)>;

/// Sends messages to the claim shells of other entry instances. Implementations
/// are thread safe, do not block, and call back from any thread but that of
/// callAsync's caller.
class PeerSender {
public:
  virtual ~PeerSender() = default;

  /// Delivers \p Body to onPeerMessage(\p Path, ...) of \p Peer. A message may
  /// arrive although the callback gets an error.
  virtual void callAsync(const EntryId &Peer, const std::string &Path,
                         std::string Body, std::chrono::milliseconds Timeout,
                         PeerCallback Callback) = 0;
};

/// Paths of the slice's messages start with this.
constexpr const char *ClaimPathPrefix = "/claims/";

/// Claims of one entry instance. Thread safe.
class ClaimShell {
public:
  /// Starts the threads; the platform need not answer yet. Precondition: \p
  /// Table and \p Peers outlive the shell, and no message is delivered after
  /// its end. Errors: InvalidSettings.
  static Result<std::unique_ptr<ClaimShell>>
  create(ClaimSettings Settings, Platform &Table, PeerSender &Peers);
  ~ClaimShell();

  /// Asks for the right to run \p Key. Blocks for at most \p Timeout. A denial
  /// says nothing about whether the request ran: report it as Unknown.
  ClaimReply claim(const RequestId &Key, std::chrono::milliseconds Timeout);

  /// Records that a granted request ran and what it answered. Does not block;
  /// sent again until the owner has it or the claim's lifetime is over.
  void complete(const RequestId &Key, const ClaimToken &Token,
                const Answer &Recorded);

  /// Gives a grant back. Precondition: no backend server started the request
  /// and none will. Does not block; repeated like complete().
  void release(const RequestId &Key, const ClaimToken &Token);

  /// Takes a message of a peer. Calls \p Reply once, from any thread, possibly
  /// before it returns. Errors handed to \p Reply: InvalidMessage, NotFound.
  void onPeerMessage(const std::string &Path, const EntryId &From,
                     const std::string &Body, PeerCallback Reply);

  /// Stops serving as an owner, brings everything into the table and says so
  /// there, so that the next start needs no recovery. True if all was done
  /// within \p Timeout; a false result is safe and costs a recovery.
  bool drain(std::chrono::milliseconds Timeout);

  /// True once this entry instance decides the claims of the keys it owns;
  /// before that it refuses them. For readiness checks.
  bool isServing() const;

  ClaimStats stats() const;

private:
  struct Impl;
  explicit ClaimShell(std::shared_ptr<Impl> State);

  /// Shared with callbacks that may come after the end of the shell.
  std::shared_ptr<Impl> m_Impl;
};

} // namespace pollenspool

#endif // POLLENSPOOL_CLAIMS_CLAIMSHELL_H
