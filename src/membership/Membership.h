//===- Membership.h - Which entry instances are up --------------*- C++ -*-===//
//
// Decision core: heartbeats and the time in, heartbeats to send and a view of
// the peers out. Its suspicions steer traffic and grant nothing; safety never
// depends on them.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_MEMBERSHIP_MEMBERSHIP_H
#define POLLENSPOOL_MEMBERSHIP_MEMBERSHIP_H

#include "base/Time.h"
#include "membership/Messages.h"
#include <random>
#include <unordered_map>

namespace pollenspool {

/// One line of the settings' static list.
struct PeerSite {
  EntryId m_Id;
  DataCentreName m_DataCentre;
};

struct MembershipSettings {
  EntryId m_Self;
  /// Has to rise with each restart; the wall clock's milliseconds will do.
  std::uint64_t m_Incarnation = 0;
  /// All entry instances, with or without this one.
  std::vector<PeerSite> m_Peers;
  DataCentreName m_DataCentre;
  Duration m_Interval = std::chrono::seconds(1);
  /// Heartbeats of one interval to peers of the own data centre; all of them
  /// get one in turn.
  std::uint32_t m_LocalFanout = 4;
  /// Heartbeats of one interval to peers of other data centres.
  std::uint32_t m_RemoteFanout = 1;
  /// Notices in one heartbeat.
  std::uint32_t m_MaxNotices = 8;
  /// Rounds without news after which a peer is suspect. A round is the time in
  /// which every peer gets a heartbeat.
  std::uint32_t m_MissedRounds = 3;
  std::uint64_t m_Seed = 0;
};

/// Unknown: not heard of since this instance started.
enum class PeerHealth : std::uint8_t { Unknown, Up, Suspect };

struct PeerView {
  EntryId m_Id;
  DataCentreName m_DataCentre;
  PeerHealth m_Health = PeerHealth::Unknown;
  PeerState m_State;
  /// When its newest state arrived; meaningless while Unknown.
  TimePoint m_LastHeard;
};

/// An action: \p m_Message is to be sent to \p m_To.
struct HeartbeatTo {
  EntryId m_To;
  Heartbeat m_Message;
};

/// Not thread safe.
class Membership {
public:
  /// Errors: InvalidSettings for a zero fanout, interval or rounds, an empty
  /// or doubled ID.
  static Result<Membership> create(MembershipSettings Settings, TimePoint Now);

  /// Takes a heartbeat. False if it is older than what is known or its sender
  /// is not among the peers; its notices are taken all the same.
  bool onHeartbeat(const Heartbeat &Message, TimePoint Now);

  /// A call to \p Peer could not connect; it is suspect until it is heard of.
  void onUnreachable(const EntryId &Peer);

  /// The heartbeats that are due; none before nextTick().
  std::vector<HeartbeatTo> tick(TimePoint Now);
  TimePoint nextTick() const { return m_NextTick; }

  /// The next tick tells of these; it counts the sequence up before it does.
  void setDraining(bool Draining) { m_State.m_Draining = Draining; }
  void setDocumentVersion(std::uint64_t Version) {
    m_State.m_DocumentVersion = Version;
  }
  void setViewRevision(std::uint64_t Seen) { m_State.m_ViewRevision = Seen; }
  void setLoad(LoadDigest Load) { m_State.m_Load = Load; }

  const PeerState &self() const { return m_State; }

  /// All peers in the order of the settings, without this instance.
  std::vector<PeerView> peers(TimePoint Now) const;

  /// The time without news after which a peer of the own data centre, or of
  /// another one, is suspect.
  Duration localPatience() const;
  Duration remotePatience() const;

private:
  struct Peer {
    PeerSite m_Site;
    bool m_Local = false;
    bool m_Known = false;
    bool m_Unreachable = false;
    PeerState m_State;
    TimePoint m_LastHeard;
    /// Heartbeats that carried the newest state; below zero for a change that
    /// has to go out before mere signs of life.
    std::int32_t m_Shares = 0;
  };

  /// Peers in a shuffled order that is gone through again and again.
  struct Rotation {
    std::vector<std::size_t> m_Order;
    std::size_t m_Next = 0;
    std::uint32_t m_Fanout = 0;
  };

  Membership(MembershipSettings Settings, TimePoint Now);

  Peer *find(const EntryId &Id);
  bool accept(Peer &Target, const PeerState &State, TimePoint Now);
  void takeNotice(const PeerNotice &Notice, TimePoint Now);
  void overtake(const PeerState &OlderLife);
  void forgiveOwnPause(TimePoint Now);
  std::vector<std::size_t> targets();
  void addTurn(Rotation &Turns, std::size_t Most,
               std::vector<std::size_t> &Targets);
  std::vector<PeerNotice> chooseNotices(const EntryId &To);
  Duration patience(const Rotation &Turns) const;
  PeerHealth healthOf(const Peer &Target, TimePoint Now) const;

  MembershipSettings m_Settings;
  PeerState m_State;
  std::vector<Peer> m_Peers;
  std::unordered_map<EntryId, std::size_t> m_Index;
  Rotation m_Local;
  Rotation m_Remote;
  /// Peers that sent an old incarnation and have to be told.
  std::vector<std::size_t> m_Outdated;
  std::mt19937_64 m_Random;
  TimePoint m_NextTick;
};

} // namespace pollenspool

#endif // POLLENSPOOL_MEMBERSHIP_MEMBERSHIP_H
