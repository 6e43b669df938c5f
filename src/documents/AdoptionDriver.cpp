//===- AdoptionDriver.cpp - I/O driver of adoption ------------------------===//

#include "documents/AdoptionDriver.h"
#include "base/Pack.h"
#include "config/DocumentParser.h"

namespace pollenspool {

namespace {

constexpr std::size_t ActionThreads = 4;
constexpr std::chrono::milliseconds PeerTimeout{1000};
/// Bounds the number of remembered authors. An author that is not remembered is
/// only missing from logs and status.
constexpr std::size_t MaxAuthors = 64;
/// Upper bound on the wait between two ticks of the core.
constexpr Duration MaxTickInterval = std::chrono::seconds(1);

struct WireHead {
  std::uint64_t m_Version = 0;
  std::string m_Hash;
  std::string m_Author;
  MSGPACK_DEFINE(m_Version, m_Hash, m_Author)
};

std::string encodeWire(const Head &H) {
  return encodeMsgpack(WireHead{H.m_Version, H.m_Hash, H.m_Author});
}

bool isValidDocument(const std::string &Text) {
  return parseDocument("document", Text).isValid();
}

} // namespace

AdoptionDriver::AdoptionDriver(Adoption Core, Platform &Service,
                               PeerTransport &Peers, ActiveDocument &Active)
    : m_Platform(Service), m_Peers(Peers), m_Active(Active),
      m_Core(std::move(Core)), m_Workers(ActionThreads, m_Tasks) {}

Result<std::unique_ptr<AdoptionDriver>>
AdoptionDriver::create(AdoptionSettings Settings, Platform &Service,
                       PeerTransport &Peers, ActiveDocument &Active) {
  BOOST_OUTCOME_TRY(Core, Adoption::create(std::move(Settings), isValidDocument,
                                           steadyNow()));
  return std::unique_ptr<AdoptionDriver>(
      new AdoptionDriver(std::move(Core), Service, Peers, Active));
}

AdoptionDriver::~AdoptionDriver() {
  stop();
  m_Workers.shutdown();
}

void AdoptionDriver::start() {
  m_Thread = std::thread([this] { run(); });
}

void AdoptionDriver::stop() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Stopping = true;
  }
  m_Wake.notify_all();
  if (m_Thread.joinable())
    m_Thread.join();
}

template <typename EventFn> void AdoptionDriver::withCore(EventFn Event) {
  AdoptionActions Actions;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    if (m_Stopping)
      return;
    Actions = Event(steadyNow());
  }
  m_Wake.notify_all();
  for (AdoptionAction &A : Actions)
    enqueueAction(std::move(A));
}

void AdoptionDriver::run() {
  for (;;) {
    withCore([&](TimePoint Now) { return m_Core.tick(Now); });
    std::unique_lock<std::mutex> Lock(m_Mutex);
    TimePoint Latest = steadyNow() + MaxTickInterval;
    m_Wake.wait_until(Lock, std::min(m_Core.nextTick(), Latest));
    if (m_Stopping)
      return;
  }
}

void AdoptionDriver::enqueueAction(AdoptionAction A) {
  m_Workers.enqueue([this, Work = std::move(A)] {
    std::visit([this](const auto &Kind) { perform(Kind); }, Work);
  });
}

void AdoptionDriver::perform(const PollHead &) {
  auto Row = readHead(m_Platform);
  if (Row && Row.value().m_Head.m_Version > 0)
    onPlatformHead(Row.value().m_Head);
  else
    withCore([&](TimePoint Now) { return m_Core.onPollFailed(Now); });
}

void AdoptionDriver::perform(const QueryPeerHead &A) {
  auto Reply = m_Peers.call(A.m_Peer, ConfigHeadPath, {}, PeerTimeout);
  if (Reply)
    onPeerHead(A.m_Peer, Reply.value());
}

void AdoptionDriver::perform(const FetchObject &A) {
  onFetchResult(A.m_Hash,
                m_Platform.getObject(A.m_Hash, CallPriority::Control));
}

void AdoptionDriver::perform(const FetchFromPeer &A) {
  onFetchResult(A.m_Head.m_Hash, m_Peers.call(A.m_Peer, ConfigDocumentPath,
                                              A.m_Head.m_Hash, PeerTimeout));
}

void AdoptionDriver::perform(const Adopt &A) {
  // Fails only if a commit by this instance has already put the same version in
  // effect.
  (void)m_Active.adopt(headWithAuthor(A.m_Head), A.m_Text);
}

void AdoptionDriver::perform(const Announce &A) {
  std::string Body = encodeWire(headWithAuthor(A.m_Head));
  for (const EntryId &Peer : A.m_To)
    m_Peers.callAsync(Peer, ConfigAnnouncePath, Body, PeerTimeout,
                      [](const Result<std::string> &) {});
}

void AdoptionDriver::onFetchResult(const std::string &Hash,
                                   const Result<std::string> &Text) {
  withCore([&](TimePoint Now) {
    return Text ? m_Core.onContent(ContentFetched{Hash, Text.value()}, Now)
                : m_Core.onFetchFailed(FetchFailed{Hash}, Now);
  });
}

void AdoptionDriver::onPeerHead(const EntryId &Peer, const std::string &Bytes) {
  auto Wire = decodeMsgpack<WireHead>(Bytes, "read peer's head");
  if (!Wire || Wire.value().m_Version == 0)
    return;
  const WireHead &Received = Wire.value();
  withCore([&](TimePoint Now) {
    if (m_Authors.size() < MaxAuthors)
      m_Authors[Received.m_Hash] = Received.m_Author;
    return m_Core.onHead(
        HeadReport{DocumentHead{Received.m_Version, Received.m_Hash}, Peer},
        Now);
  });
}

Head AdoptionDriver::headWithAuthor(const DocumentHead &Unattributed) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_Authors.find(Unattributed.m_Hash);
  return Head{Unattributed.m_Version, Unattributed.m_Hash,
              It == m_Authors.end() ? std::string() : It->second};
}

void AdoptionDriver::onPlatformHead(const Head &H) {
  withCore([&](TimePoint Now) {
    if (m_Authors.size() >= MaxAuthors)
      m_Authors.clear();
    m_Authors[H.m_Hash] = H.m_Author;
    return m_Core.onHead(
        HeadReport{DocumentHead{H.m_Version, H.m_Hash}, EntryId()}, Now);
  });
}

void AdoptionDriver::onPeerVersion(const EntryId &Peer,
                                   DocumentVersion Version) {
  withCore([&](TimePoint Now) {
    return m_Core.onPeerVersion(PeerVersion{Peer, Version}, Now);
  });
}

void AdoptionDriver::setLivePeers(std::size_t Count) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Core.setLivePeers(Count);
}

Result<std::string> AdoptionDriver::serveHead(const PeerCall &) {
  return encodeWire(m_Active.current().m_Head);
}

Result<std::string> AdoptionDriver::serveAnnouncement(const PeerCall &Call) {
  onPeerHead(Call.m_From, Call.m_Body);
  return std::string();
}

Result<std::string> AdoptionDriver::serveDocument(const PeerCall &Call) {
  DocumentSnapshot Held = m_Active.current();
  if (Held.m_Head.m_Hash != Call.m_Body)
    return makeError(ErrorCode::NotFound, "serve document", {}, Call.m_Body);
  return Held.m_Text;
}

AdoptionCounters AdoptionDriver::counters() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Core.counters();
}

} // namespace pollenspool
