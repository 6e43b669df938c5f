//===- Leadership.h - Which entry instance leads ----------------*- C++ -*-===//
//
// One row of the store holds the term: its number and its leader. A leader
// renews a second row; a follower that sees the store answer without a renewal
// for long enough replaces the term's row under the condition that nobody else
// has. A leader that cannot keep up says so in its renewals; a stronger
// instance then offers to lead, and the leader gives its term up. There is no
// other agreement between instances.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_LEAD_LEADERSHIP_H
#define POLLENSPOOL_LEAD_LEADERSHIP_H

#include "base/Time.h"
#include "scheduling/Messages.h"
#include "store/MetadataStore.h"
#include <optional>

namespace pollenspool {

inline constexpr char LeadTable[] = "lead";
/// All rows of the lead lie in a part of their own, so that renewals wait for
/// nothing else.
inline constexpr char LeadPart[] = "lead";
inline constexpr char TermKey[] = "term";
inline constexpr char RenewalKey[] = "renewal";
/// Instances that the leader has ordered about recently, or is about to. In a
/// table of its own, which nobody follows.
inline constexpr char OrdersTable[] = "orders";
inline constexpr char OrdersKey[] = "orders";
/// The last offer to relieve a leader.
inline constexpr char OfferKey[] = "offer";

/// The term's row.
struct TermRow {
  Term m_Term = 0;
  std::string m_Leader;
  /// The leader has given its term up; anybody may begin the next.
  bool m_Released = false;
};

/// Demand on one queue, as the leader tells the other instances.
struct QueueLoad {
  std::uint32_t m_WaitingJobs = 0;
  /// When a job handed in now could begin.
  std::chrono::milliseconds m_Wait{0};
};

/// The renewal row: the leader lives, and what callers ask every instance.
struct RenewalRow {
  Term m_Term = 0;
  std::uint64_t m_Number = 0;
  std::map<QueueName, QueueLoad> m_Queues;
  /// \see LeadershipOptions::m_Strength.
  double m_Strength = 0;
  /// Where the leader shows operators its state.
  std::string m_Address;
  /// The leader falls behind its work.
  bool m_IsBehind = false;
};

/// The offer's row: a stronger instance would lead instead.
struct OfferRow {
  /// The term that it would relieve.
  Term m_Term = 0;
  std::string m_From;
};

/// Thread safe. Errors: InvalidMessage.
std::string encodeTerm(const TermRow &Row);
Result<TermRow> decodeTerm(const std::string &Text);
std::string encodeRenewal(const RenewalRow &Row);
Result<RenewalRow> decodeRenewal(const std::string &Text);
std::string encodeOffer(const OfferRow &Row);
Result<OfferRow> decodeOffer(const std::string &Text);

/// Times of the election.
struct LeadershipOptions {
  /// Between two renewals. They do not wait for each other's answers, which a
  /// slow store gives after half a second.
  Duration m_RenewEvery = std::chrono::milliseconds(250);
  /// How long after it was sent a renewal vouches for the term. Below
  /// m_TakeOverAfter, so that a leader stops before another begins.
  Duration m_ValidFor = std::chrono::milliseconds(1100);
  /// How long the store has to answer without a renewal before a follower
  /// takes over.
  Duration m_TakeOverAfter = std::chrono::milliseconds(1400);
  /// Added to m_TakeOverAfter by this instance, so that not all try at once
  /// and stronger instances come first.
  Duration m_OwnDelay = std::chrono::milliseconds(0);
  /// What this instance can carry as a leader, against the largest planned
  /// deployment.
  double m_Strength = 1;
};

/// The decision core; one thread.
class Leadership {
public:
  Leadership(std::string Name, const LeadershipOptions &Options)
      : m_Name(std::move(Name)), m_Options(Options) {}

  /// A row of the lead table, as the feed reports it.
  void onRow(const StoredRow &Row, TimePoint Now);
  /// The feed answered; \p Since: it has done so without a failure since then.
  /// It was asked at \p Asked and has shown everything up to \p Version.
  void onStoreAnswer(TimePoint Since, TimePoint Asked, RowVersion Version,
                     TimePoint Now);

  /// Whether to try to take the term now, and with which transaction.
  std::optional<RowTransaction> tryTakeOver(TimePoint Now);
  void onTakeOverResult(const Result<CommitOutcome> &Outcome, TimePoint Sent,
                        TimePoint Now);
  /// The renewal that is due, if this instance leads.
  bool isRenewalDue(TimePoint Now) const;
  RowTransaction renew(RenewalRow Row, TimePoint Now);
  void onRenewResult(const Result<CommitOutcome> &Outcome, TimePoint Sent);
  /// The transaction that gives the term up. This instance does not begin the
  /// next one before the others had their time to.
  RowTransaction release(TimePoint Now);
  /// The offer to relieve a leader that falls behind, if this instance should
  /// make it now. Each term gets at most one from this instance.
  std::optional<RowTransaction> offerRelief(TimePoint Now);
  /// Whether another instance has offered to relieve this term.
  bool isRelieved() const { return m_Leading && m_Offer.m_Term == term(); }
  /// A later term was seen by some other way.
  void depose() { m_Leading = false; }

  bool isLeading() const { return m_Leading; }
  /// Whether the term is certainly in force at \p Now.
  bool isValid(TimePoint Now) const {
    return m_Leading && Now < m_ConfirmedSent + m_Options.m_ValidFor;
  }
  /// The last moment at which nobody else had taken over, and the store's
  /// version then.
  TimePoint uncontestedAt() const {
    return std::max(m_ConfirmedSent, m_AnswerAsked);
  }
  RowVersion uncontestedVersion() const { return m_AnswerVersion; }
  Term term() const { return m_Row.m_Term; }
  /// The term's row as a condition.
  RowCondition termCondition() const {
    return {{LeadTable, TermKey, LeadPart}, m_RowVersion};
  }
  const TermRow &row() const { return m_Row; }
  const LeadershipOptions &options() const { return m_Options; }
  const RenewalRow &renewal() const { return m_Renewal; }
  TimePoint renewalSeen() const { return m_RenewalSeen; }

private:
  std::string m_Name;
  LeadershipOptions m_Options;
  TermRow m_Row;
  RowVersion m_RowVersion = 0;
  RenewalRow m_Renewal;
  TimePoint m_RenewalSeen{};
  /// When the leader last gave a sign, or the store came back.
  TimePoint m_SilentSince{};
  bool m_SeenAnswer = false;
  TimePoint m_LastAnswer{};
  TimePoint m_AnswerAsked{};
  RowVersion m_AnswerVersion = 0;
  bool m_Leading = false;
  bool m_Trying = false;
  TimePoint m_ConfirmedSent{};
  TimePoint m_LastRenew{};
  std::uint64_t m_RenewNumber = 0;
  OfferRow m_Offer;
  RowVersion m_OfferVersion = 0;
  /// When the leader was first seen to fall behind, in its latest such spell.
  std::optional<TimePoint> m_BehindSince;
  Term m_OfferedTo = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_LEAD_LEADERSHIP_H
