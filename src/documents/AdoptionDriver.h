//===- AdoptionDriver.h - I/O driver of adoption ----------------*- C++ -*-===//
//
// Carries out the actions of the adoption core: platform reads, peer queries,
// announcements to peers, and putting documents in effect.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DOCUMENTS_ADOPTIONDRIVER_H
#define POLLENSPOOL_DOCUMENTS_ADOPTIONDRIVER_H

#include "config/Adoption.h"
#include "documents/ActiveDocument.h"
#include "gateway/WorkerPool.h"
#include "peer/PeerTransport.h"
#include <condition_variable>

namespace pollenspool {

constexpr const char *ConfigHeadPath = "/config/head";
constexpr const char *ConfigAnnouncePath = "/config/announce";
constexpr const char *ConfigDocumentPath = "/config/document";

/// I/O driver of the adoption core. Thread safe. The references passed to
/// create() must outlive this object.
class AdoptionDriver {
public:
  /// Errors: those of Adoption::create.
  static Result<std::unique_ptr<AdoptionDriver>>
  create(AdoptionSettings Settings, Platform &Service, PeerTransport &Peers,
         ActiveDocument &Active);
  ~AdoptionDriver();

  void start();
  void stop();

  /// Reports the platform's head row, read by a poll of the table or written by
  /// a commit of this instance.
  void onPlatformHead(const Head &H);
  /// Reports the version in effect on a peer, from its heartbeat.
  void onPeerVersion(const EntryId &Peer, DocumentVersion Version);
  void setLivePeers(std::size_t Count);

  // Handlers of peers' calls.

  /// Answers with the head in effect.
  Result<std::string> serveHead(const PeerCall &Call);
  /// Takes the head in the call's body; a malformed one is ignored.
  Result<std::string> serveAnnouncement(const PeerCall &Call);
  /// Answers with the document whose hash is the call's body. Errors: NotFound
  /// if that document is not in effect here.
  Result<std::string> serveDocument(const PeerCall &Call);

  AdoptionCounters counters() const;

private:
  AdoptionDriver(Adoption Core, Platform &Service, PeerTransport &Peers,
                 ActiveDocument &Active);

  template <typename EventFn> void withCore(EventFn Event);
  void run();
  void enqueueAction(AdoptionAction A);
  void perform(const PollHead &A);
  void perform(const QueryPeerHead &A);
  void perform(const FetchObject &A);
  void perform(const FetchFromPeer &A);
  void perform(const Adopt &A);
  void perform(const Announce &A);
  void onFetchResult(const std::string &Hash, const Result<std::string> &Text);
  void onPeerHead(const EntryId &Peer, const std::string &Bytes);
  Head headWithAuthor(const DocumentHead &Unattributed) const;

  Platform &m_Platform;
  PeerTransport &m_Peers;
  ActiveDocument &m_Active;
  mutable std::mutex m_Mutex;
  std::condition_variable m_Wake;
  Adoption m_Core;
  /// Authors of known heads by content hash, for logs and status.
  std::map<std::string, std::string> m_Authors;
  bool m_Stopping = false;
  TaskCount m_Tasks;
  WorkerPool m_Workers;
  std::thread m_Thread;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DOCUMENTS_ADOPTIONDRIVER_H
