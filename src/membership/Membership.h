//===- Membership.h - Failure detection of entry instances ------*- C++ -*-===//
//
// Decision core. Its inputs are received heartbeats and the time; its outputs
// are heartbeats to send and a view of the peers. A suspicion only affects
// where traffic is sent; no safety property depends on it.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_MEMBERSHIP_MEMBERSHIP_H
#define POLLENSPOOL_MEMBERSHIP_MEMBERSHIP_H

#include "base/Time.h"
#include "membership/Messages.h"
#include <random>
#include <unordered_map>

namespace pollenspool {

/// One entry instance from the static list in the settings.
struct PeerSite {
  EntryId m_Id;
  DataCentreName m_DataCentre;
};

struct MembershipSettings {
  EntryId m_Self;
  /// Must increase with each restart, for example the wall clock in
  /// milliseconds.
  std::uint64_t m_Incarnation = 0;
  /// All entry instances, with or without this one.
  std::vector<PeerSite> m_Peers;
  DataCentreName m_DataCentre;
  Duration m_Interval = std::chrono::seconds(1);
  /// Number of heartbeats sent in one interval to peers of this data centre, in
  /// rotation.
  std::uint32_t m_LocalFanout = 4;
  /// Number of heartbeats sent in one interval to peers of other data centres.
  std::uint32_t m_RemoteFanout = 1;
  /// Maximum number of notices in one heartbeat.
  std::uint32_t m_MaxNotices = 8;
  /// Number of rounds without a newer state after which a peer is suspect. A
  /// round is the time in which every peer is sent one heartbeat.
  std::uint32_t m_MissedRounds = 3;
  std::uint64_t m_Seed = 0;
};

/// Unknown: no state received since this instance started.
enum class PeerHealth : std::uint8_t { Unknown, Up, Suspect };

struct PeerView {
  EntryId m_Id;
  DataCentreName m_DataCentre;
  PeerHealth m_Health = PeerHealth::Unknown;
  PeerState m_State;
  /// When the newest state arrived; not meaningful while Unknown.
  TimePoint m_LastHeard;
};

/// An action: send \p m_Message to \p m_To.
struct OutgoingHeartbeat {
  EntryId m_To;
  Heartbeat m_Message;
};

/// Not thread safe.
class Membership {
public:
  /// Errors: InvalidSettings if a fanout, the interval or the number of missed
  /// rounds is zero, or if an ID is empty or listed twice.
  static Result<Membership> create(MembershipSettings Settings, TimePoint Now);

  /// Processes a heartbeat. Returns false if its state is not newer than the
  /// known one or if the sender is not a peer; the notices are processed in any
  /// case.
  bool onHeartbeat(const Heartbeat &Message, TimePoint Now);

  /// Reports a failed connection to \p Peer, which is suspect until a newer
  /// state of it arrives.
  void onUnreachable(const EntryId &Peer);

  /// Returns the heartbeats that are due; none before nextTick().
  std::vector<OutgoingHeartbeat> tick(TimePoint Now);
  TimePoint nextTick() const { return m_NextTick; }

  /// Values sent from the next tick on, under a new sequence number.
  void setDraining(bool Draining) { m_State.m_Draining = Draining; }
  void setDocumentVersion(std::uint64_t Version) {
    m_State.m_DocumentVersion = Version;
  }
  void setViewRevision(std::uint64_t Seen) { m_State.m_ViewRevision = Seen; }
  void setLoad(LoadDigest Load) { m_State.m_Load = Load; }

  const PeerState &self() const { return m_State; }

  /// Returns all peers in the order of the settings, without this instance.
  std::vector<PeerView> peers(TimePoint Now) const;

  /// Time without a newer state after which a peer of this data centre, or of
  /// another one, is suspect.
  Duration localSuspicionTimeout() const;
  Duration remoteSuspicionTimeout() const;

private:
  struct Peer {
    PeerSite m_Site;
    bool m_Local = false;
    bool m_Known = false;
    bool m_Unreachable = false;
    PeerState m_State;
    TimePoint m_LastHeard;
    /// Number of heartbeats that carried the newest state as a notice. Starts
    /// below zero after a change, so that the change is sent before states that
    /// only show that a peer is up.
    std::int32_t m_NoticeCount = 0;
  };

  /// Peers in a shuffled order that is used cyclically.
  struct Rotation {
    std::vector<std::size_t> m_Order;
    std::size_t m_Next = 0;
    std::uint32_t m_Fanout = 0;
  };

  Membership(MembershipSettings Settings, TimePoint Now);

  Peer *find(const EntryId &Id);
  bool accept(Peer &Target, const PeerState &State, TimePoint Now);
  void takeNotice(const PeerNotice &Notice, TimePoint Now);
  void raiseIncarnation(const PeerState &EarlierState);
  void compensateForOwnPause(TimePoint Now);
  std::vector<std::size_t> targets();
  void addRotationTargets(Rotation &PeerRotation, std::size_t MaxTargets,
                          std::vector<std::size_t> &Targets);
  std::vector<PeerNotice> chooseNotices(const EntryId &To);
  Duration suspicionTimeout(const Rotation &PeerRotation) const;
  PeerHealth healthOf(const Peer &Target, TimePoint Now) const;

  MembershipSettings m_Settings;
  PeerState m_State;
  std::vector<Peer> m_Peers;
  std::unordered_map<EntryId, std::size_t> m_Index;
  Rotation m_Local;
  Rotation m_Remote;
  /// Peers that sent an outdated state and must be sent the newer one that is
  /// known of them.
  std::vector<std::size_t> m_Outdated;
  std::mt19937_64 m_Random;
  TimePoint m_NextTick;
};

} // namespace pollenspool

#endif // POLLENSPOOL_MEMBERSHIP_MEMBERSHIP_H
