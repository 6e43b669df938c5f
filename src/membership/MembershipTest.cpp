//===- MembershipTest.cpp - Tests of the membership core ------------------===//

#include "membership/Membership.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

MembershipSettings settings(const char *Self, std::uint64_t Incarnation) {
  MembershipSettings Settings;
  Settings.m_Self = EntryId(Self);
  Settings.m_Incarnation = Incarnation;
  Settings.m_DataCentre = DataCentreName("howrah");
  Settings.m_Peers = {{EntryId("a"), DataCentreName("howrah")},
                      {EntryId("b"), DataCentreName("howrah")},
                      {EntryId("c"), DataCentreName("durgapur")}};
  return Settings;
}

Membership member(const char *Self, std::uint64_t Incarnation = 10) {
  return Membership::create(settings(Self, Incarnation), Start).value();
}

Heartbeat heartbeat(const char *From, std::uint64_t Incarnation,
                    std::uint64_t Sequence, bool Draining = false) {
  Heartbeat Message;
  Message.m_From = EntryId(From);
  Message.m_State.m_Incarnation = Incarnation;
  Message.m_State.m_Sequence = Sequence;
  Message.m_State.m_Draining = Draining;
  return Message;
}

PeerView viewOf(const Membership &Member, const char *Peer, TimePoint Now) {
  for (PeerView &View : Member.peers(Now))
    if (View.m_Id == EntryId(Peer))
      return View;
  return {};
}

const Heartbeat *messageTo(const std::vector<OutgoingHeartbeat> &Sends,
                           const char *To) {
  for (const OutgoingHeartbeat &Send : Sends)
    if (Send.m_To == EntryId(To))
      return &Send.m_Message;
  return nullptr;
}

} // namespace

TEST_GROUP(Membership){};

TEST(Membership, PeerIsUnknownThenUpThenSuspect) {
  Membership A = member("a");
  CHECK(viewOf(A, "b", Start).m_Health == PeerHealth::Unknown);
  CHECK(A.onHeartbeat(heartbeat("b", 1, 1), Start));
  CHECK(viewOf(A, "b", Start + A.localSuspicionTimeout()).m_Health ==
        PeerHealth::Up);
  CHECK(viewOf(A, "b", Start + A.localSuspicionTimeout() + 1us).m_Health ==
        PeerHealth::Suspect);
}

TEST(Membership, OlderIncarnationAndSequenceAreDropped) {
  Membership A = member("a");
  CHECK(A.onHeartbeat(heartbeat("b", 2, 5), Start));
  CHECK_FALSE(A.onHeartbeat(heartbeat("b", 1, 9), Start));
  CHECK_FALSE(A.onHeartbeat(heartbeat("b", 2, 4), Start));
  CHECK(A.onHeartbeat(heartbeat("b", 3, 1), Start));
  LONGS_EQUAL(3, viewOf(A, "b", Start).m_State.m_Incarnation);
}

TEST(Membership, EarlierHeartbeatDoesNotResetDraining) {
  Membership A = member("a");
  A.onHeartbeat(heartbeat("b", 1, 5, true), Start);
  A.onHeartbeat(heartbeat("b", 1, 4, false), Start);
  CHECK(viewOf(A, "b", Start).m_State.m_Draining);
  A.onHeartbeat(heartbeat("b", 2, 1, false), Start);
  CHECK_FALSE(viewOf(A, "b", Start).m_State.m_Draining);
}

TEST(Membership, NoticesCarryStatesOfOtherPeers) {
  Membership A = member("a");
  Membership B = member("b");
  B.onHeartbeat(heartbeat("c", 7, 1, true), Start);
  std::vector<OutgoingHeartbeat> Sends = B.tick(Start);
  A.onHeartbeat(*messageTo(Sends, "a"), Start);
  CHECK(viewOf(A, "c", Start).m_Health == PeerHealth::Up);
  CHECK(viewOf(A, "c", Start).m_State.m_Draining);
}

TEST(Membership, RestartWithAnEarlierClockRaisesItsIncarnation) {
  Membership A = member("a");
  Membership B = member("b", 4);
  A.onHeartbeat(heartbeat("b", 9, 100), Start);
  CHECK_FALSE(A.onHeartbeat(*messageTo(B.tick(Start), "a"), Start));
  B.onHeartbeat(*messageTo(A.tick(Start), "b"), Start);
  LONGS_EQUAL(10, B.self().m_Incarnation);
  CHECK(A.onHeartbeat(*messageTo(B.tick(B.nextTick()), "a"), Start));
}

TEST(Membership, OutdatedPeerIsNotifiedAtTheNextTick) {
  MembershipSettings Settings = settings("a", 1);
  Settings.m_LocalFanout = 1;
  for (char Name = 'd'; Name <= 'z'; ++Name)
    Settings.m_Peers.push_back(
        {EntryId(std::string(1, Name)), Settings.m_DataCentre});
  Membership A = Membership::create(Settings, Start).value();
  A.tick(Start);
  for (const char *Peer : {"d", "k", "z"}) {
    A.onHeartbeat(heartbeat(Peer, 9, 1), A.nextTick());
    A.onHeartbeat(heartbeat(Peer, 4, 1), A.nextTick());
    CHECK(messageTo(A.tick(A.nextTick()), Peer));
  }
}

TEST(Membership, UnreachablePeerIsSuspectUntilHeard) {
  Membership A = member("a");
  A.onHeartbeat(heartbeat("b", 1, 1), Start);
  A.onUnreachable(EntryId("b"));
  CHECK(viewOf(A, "b", Start).m_Health == PeerHealth::Suspect);
  A.onHeartbeat(heartbeat("b", 1, 2), Start);
  CHECK(viewOf(A, "b", Start).m_Health == PeerHealth::Up);
}

TEST(Membership, OwnPauseDoesNotMakePeersSuspect) {
  Membership A = member("a");
  A.tick(Start);
  A.onHeartbeat(heartbeat("b", 1, 1), Start);
  TimePoint ResumeTime = Start + 10 * A.localSuspicionTimeout();
  A.tick(ResumeTime);
  CHECK(viewOf(A, "b", ResumeTime).m_Health == PeerHealth::Up);
}

TEST(Membership, HeartbeatsCarryOwnStateChanges) {
  Membership A = member("a");
  A.setDraining(true);
  A.setDocumentVersion(4);
  A.setViewRevision(8);
  A.setLoad({3, 2});
  const Heartbeat Sent = *messageTo(A.tick(Start), "b");
  Heartbeat Read = decodeHeartbeat(encodeHeartbeat(Sent)).value();
  CHECK(Read.m_State.m_Draining);
  LONGS_EQUAL(4, Read.m_State.m_DocumentVersion);
  LONGS_EQUAL(8, Read.m_State.m_ViewRevision);
  LONGS_EQUAL(3, Read.m_State.m_Load.m_InFlight);
}

TEST(Membership, UnknownSendersAndMalformedMessagesAreRejected) {
  Membership A = member("a");
  CHECK_FALSE(A.onHeartbeat(heartbeat("z", 1, 1), Start));
  CHECK_FALSE(decodeHeartbeat("\xc1 nonsense").has_value());
  CHECK_FALSE(decodeHeartbeat("").has_value());
}

TEST(Membership, InvalidSettingsAreRejected) {
  MembershipSettings DuplicatePeer = settings("a", 1);
  DuplicatePeer.m_Peers.push_back(DuplicatePeer.m_Peers.front());
  CHECK_FALSE(Membership::create(DuplicatePeer, Start).has_value());
  MembershipSettings NoFanout = settings("a", 1);
  NoFanout.m_LocalFanout = 0;
  CHECK_FALSE(Membership::create(NoFanout, Start).has_value());
}
