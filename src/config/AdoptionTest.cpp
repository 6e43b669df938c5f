//===- AdoptionTest.cpp - Tests of configuration adoption -----------------===//

#include "config/Adoption.h"
#include "config/ContentHash.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

DocumentHead headOf(DocumentVersion Version, const std::string &Text) {
  return {Version, contentHash(Text)};
}

ContentFetched contentOf(const std::string &Text) {
  return {contentHash(Text), Text};
}

template <typename Action> const Action *find(const AdoptionActions &Actions) {
  for (const AdoptionAction &Each : Actions)
    if (const auto *Found = std::get_if<Action>(&Each))
      return Found;
  return nullptr;
}

/// Like find(), but fails the test if there is no such action.
template <typename Action> Action require(const AdoptionActions &Actions) {
  const Action *Found = find<Action>(Actions);
  CHECK(Found != nullptr);
  return *Found;
}

} // namespace

TEST_GROUP(Adoption) {
  Adoption m_Core =
      Adoption::create(
          settings(), [](const std::string &Text) { return Text != "bad"; },
          Start)
          .value();

  static AdoptionSettings settings() {
    AdoptionSettings Settings;
    Settings.m_LocalPeers = {EntryId("a1"), EntryId("a2")};
    Settings.m_RemotePeers = {{EntryId("b1"), EntryId("b2"), EntryId("b3")}};
    return Settings;
  }

  AdoptionActions reportHead(DocumentVersion Version, const std::string &Text,
                             const char *Peer = "", TimePoint Now = Start) {
    return m_Core.onHead({headOf(Version, Text), EntryId(Peer)}, Now);
  }

  void adopt(DocumentVersion Version, const std::string &Text) {
    reportHead(Version, Text);
    CHECK(find<Adopt>(m_Core.onContent(contentOf(Text), Start)));
    LONGS_EQUAL(Version, m_Core.currentHead().m_Version);
  }
};

TEST(Adoption, HeadIsFetchedAdoptedAndAnnounced) {
  AdoptionActions Actions = reportHead(1, "one");
  STRCMP_EQUAL(contentHash("one").c_str(),
               require<FetchObject>(Actions).m_Hash.c_str());
  Actions = m_Core.onContent(contentOf("one"), Start);
  STRCMP_EQUAL("one", require<Adopt>(Actions).m_Text.c_str());
  // Two local peers and two of the three remote ones.
  LONGS_EQUAL(4, require<Announce>(Actions).m_To.size());
}

TEST(Adoption, AdoptedVersionNeverDecreases) {
  adopt(5, "five");
  CHECK(reportHead(4, "four").empty());
  CHECK(m_Core.onContent(contentOf("four"), Start).empty());
  CHECK(reportHead(5, "other").empty());
  LONGS_EQUAL(1, m_Core.counters().m_Conflicts);
  LONGS_EQUAL(5, m_Core.currentHead().m_Version);
}

TEST(Adoption, HeadFromALocalPeerIsNotAnnouncedAgain) {
  adopt(1, "one");
  reportHead(2, "two", "a1");
  AdoptionActions Actions = m_Core.onContent(contentOf("two"), Start);
  CHECK(find<Adopt>(Actions));
  CHECK_FALSE(find<Announce>(Actions));
}

TEST(Adoption, HeadFromARemotePeerIsAnnouncedToLocalPeersOnly) {
  adopt(1, "one");
  reportHead(2, "two", "b1");
  AdoptionActions Actions = m_Core.onContent(contentOf("two"), Start);
  LONGS_EQUAL(2, require<Announce>(Actions).m_To.size());
}

TEST(Adoption, ContentWithWrongHashIsFetchedFromAnotherSource) {
  adopt(1, "one");
  reportHead(2, "two", "b1");
  AdoptionActions Actions = m_Core.onContent({contentHash("two"), "tw"}, Start);
  STRCMP_EQUAL("b1", require<FetchFromPeer>(Actions).m_Peer.m_Text.c_str());
  LONGS_EQUAL(1, m_Core.counters().m_HashMismatches);
}

TEST(Adoption, InvalidDocumentIsNeverAdoptedOrFetchedAgain) {
  adopt(1, "one");
  reportHead(2, "bad");
  CHECK(m_Core.onContent(contentOf("bad"), Start).empty());
  CHECK(reportHead(2, "bad").empty());
  LONGS_EQUAL(1, m_Core.currentHead().m_Version);
  LONGS_EQUAL(1, m_Core.counters().m_RejectedDocuments);
  adopt(3, "three");
}

TEST(Adoption, RejectedHeadCausesPeerQueriesForAnEarlierVersion) {
  adopt(1, "one");
  reportHead(3, "bad");
  m_Core.onContent(contentOf("bad"), Start);
  reportHead(3, "bad");
  CHECK(find<QueryPeerHead>(m_Core.tick(Start)));
  reportHead(2, "two", "a1");
  CHECK(find<Adopt>(m_Core.onContent(contentOf("two"), Start)));
}

TEST(Adoption, NextSourceIsTriedAfterTheFetchTimeout) {
  adopt(1, "one");
  reportHead(2, "two", "a1");
  AdoptionActions Actions = m_Core.tick(Start + settings().m_FetchTimeout);
  CHECK(find<FetchFromPeer>(Actions));
  CHECK_FALSE(find<FetchObject>(Actions));
}

TEST(Adoption, RestartWaitsForThePlatformBeforeAPeersVersion) {
  CHECK(find<QueryPeerHead>(m_Core.tick(Start)));
  CHECK(reportHead(3, "three", "a1").empty());
  AdoptionActions Actions = reportHead(4, "four");
  STRCMP_EQUAL(contentHash("four").c_str(),
               require<FetchObject>(Actions).m_Hash.c_str());
}

TEST(Adoption, RestartInAnOutageFetchesTheHighestPeerVersion) {
  m_Core.onPollFailed(Start);
  reportHead(3, "three", "a1");
  reportHead(4, "four", "b2");
  AdoptionActions Actions = m_Core.tick(Start + settings().m_StartupWait);
  FetchFromPeer Fetch = require<FetchFromPeer>(Actions);
  STRCMP_EQUAL("b2", Fetch.m_Peer.m_Text.c_str());
  LONGS_EQUAL(4, Fetch.m_Head.m_Version);
}

TEST(Adoption, PeerWithHigherVersionIsQueried) {
  adopt(2, "two");
  CHECK(m_Core.onPeerVersion({EntryId("a2"), 2}, Start).empty());
  CHECK(find<QueryPeerHead>(m_Core.onPeerVersion({EntryId("a2"), 3}, Start)));
}

TEST(Adoption, PlatformDecidesBetweenTwoHashesOfAVersion) {
  adopt(1, "one");
  reportHead(2, "lost", "a1");
  reportHead(2, "won");
  CHECK(m_Core.onContent(contentOf("lost"), Start).empty());
  CHECK(find<Adopt>(m_Core.onContent(contentOf("won"), Start)));
}

TEST(Adoption, LivePeersShareThePolling) {
  m_Core.setLivePeers(9);
  m_Core.tick(Start);
  reportHead(1, "one");
  m_Core.onContent(contentOf("one"), Start);
  CHECK(m_Core.nextTick() >= Start + 8 * settings().m_PollInterval);
}
