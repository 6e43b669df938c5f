//===- AdoptionTest.cpp - Rising versions, sources and announcements ------===//

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

/// As find(); its absence fails the test.
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

  AdoptionActions see(DocumentVersion Version, const std::string &Text,
                      const char *Peer = "", TimePoint Now = Start) {
    return m_Core.onHead({headOf(Version, Text), EntryId(Peer)}, Now);
  }

  void adopt(DocumentVersion Version, const std::string &Text) {
    see(Version, Text);
    CHECK(find<Adopt>(m_Core.onContent(contentOf(Text), Start)));
    LONGS_EQUAL(Version, m_Core.inForce().m_Version);
  }
};

TEST(Adoption, HeadIsFetchedAdoptedAndAnnounced) {
  AdoptionActions Actions = see(1, "one");
  STRCMP_EQUAL(contentHash("one").c_str(),
               require<FetchObject>(Actions).m_Hash.c_str());
  Actions = m_Core.onContent(contentOf("one"), Start);
  STRCMP_EQUAL("one", require<Adopt>(Actions).m_Text.c_str());
  // Two local peers and two of the three remote ones.
  LONGS_EQUAL(4, require<Announce>(Actions).m_To.size());
}

TEST(Adoption, VersionsOnlyRise) {
  adopt(5, "five");
  CHECK(see(4, "four").empty());
  CHECK(m_Core.onContent(contentOf("four"), Start).empty());
  CHECK(see(5, "other").empty());
  LONGS_EQUAL(1, m_Core.counters().m_Conflicts);
  LONGS_EQUAL(5, m_Core.inForce().m_Version);
}

TEST(Adoption, NewsFromALocalPeerIsNotToldAgain) {
  adopt(1, "one");
  see(2, "two", "a1");
  AdoptionActions Actions = m_Core.onContent(contentOf("two"), Start);
  CHECK(find<Adopt>(Actions));
  CHECK_FALSE(find<Announce>(Actions));
}

TEST(Adoption, NewsFromARemotePeerGoesToLocalPeersOnly) {
  adopt(1, "one");
  see(2, "two", "b1");
  AdoptionActions Actions = m_Core.onContent(contentOf("two"), Start);
  LONGS_EQUAL(2, require<Announce>(Actions).m_To.size());
}

TEST(Adoption, WrongContentIsFetchedFromAnotherSource) {
  adopt(1, "one");
  see(2, "two", "b1");
  AdoptionActions Actions = m_Core.onContent({contentHash("two"), "tw"}, Start);
  STRCMP_EQUAL("b1", require<FetchFromPeer>(Actions).m_Peer.m_Text.c_str());
  LONGS_EQUAL(1, m_Core.counters().m_WrongHashes);
}

TEST(Adoption, InvalidDocumentIsNeverAdoptedOrFetchedAgain) {
  adopt(1, "one");
  see(2, "bad");
  CHECK(m_Core.onContent(contentOf("bad"), Start).empty());
  CHECK(see(2, "bad").empty());
  LONGS_EQUAL(1, m_Core.inForce().m_Version);
  LONGS_EQUAL(1, m_Core.counters().m_Invalid);
  adopt(3, "three");
}

TEST(Adoption, RefusedHeadHasPeersAskedForAnEarlierVersion) {
  adopt(1, "one");
  see(3, "bad");
  m_Core.onContent(contentOf("bad"), Start);
  see(3, "bad");
  CHECK(find<AskPeer>(m_Core.tick(Start)));
  see(2, "two", "a1");
  CHECK(find<Adopt>(m_Core.onContent(contentOf("two"), Start)));
}

TEST(Adoption, SilentSourceIsGivenUpAfterItsTimeout) {
  adopt(1, "one");
  see(2, "two", "a1");
  AdoptionActions Actions = m_Core.tick(Start + settings().m_FetchTimeout);
  CHECK(find<FetchFromPeer>(Actions));
  CHECK_FALSE(find<FetchObject>(Actions));
}

TEST(Adoption, RestartWaitsForThePlatformBeforeAPeersVersion) {
  CHECK(find<AskPeer>(m_Core.tick(Start)));
  CHECK(see(3, "three", "a1").empty());
  AdoptionActions Actions = see(4, "four");
  STRCMP_EQUAL(contentHash("four").c_str(),
               require<FetchObject>(Actions).m_Hash.c_str());
}

TEST(Adoption, RestartInAnOutageTakesThePeersHighest) {
  m_Core.onPollFailed(Start);
  see(3, "three", "a1");
  see(4, "four", "b2");
  AdoptionActions Actions = m_Core.tick(Start + settings().m_StartWait);
  FetchFromPeer Fetch = require<FetchFromPeer>(Actions);
  STRCMP_EQUAL("b2", Fetch.m_Peer.m_Text.c_str());
  LONGS_EQUAL(4, Fetch.m_Head.m_Version);
}

TEST(Adoption, PeersHigherVersionIsAskedFor) {
  adopt(2, "two");
  CHECK(m_Core.onPeerVersion({EntryId("a2"), 2}, Start).empty());
  CHECK(find<AskPeer>(m_Core.onPeerVersion({EntryId("a2"), 3}, Start)));
}

TEST(Adoption, PlatformDecidesBetweenTwoHashesOfAVersion) {
  adopt(1, "one");
  see(2, "lost", "a1");
  see(2, "won");
  CHECK(m_Core.onContent(contentOf("lost"), Start).empty());
  CHECK(find<Adopt>(m_Core.onContent(contentOf("won"), Start)));
}

TEST(Adoption, LivePeersShareThePolling) {
  m_Core.setLivePeers(9);
  m_Core.tick(Start);
  see(1, "one");
  m_Core.onContent(contentOf("one"), Start);
  CHECK(m_Core.nextTick() >= Start + 8 * settings().m_PollInterval);
}
