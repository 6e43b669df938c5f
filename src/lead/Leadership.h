//===- Leadership.h - Election of the leading entry instance ----*- C++ -*-===//
//
// The term row in the store holds the number and the leader of the term. The
// leader renews its lease in a second row. A follower for which the store
// answers without a renewal for the election timeout replaces the term row, on
// condition that no other instance has changed it. An overloaded leader says so
// in its renewals; an instance of higher capacity then offers to take over, and
// the leader releases its term. Instances coordinate in no other way.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_LEAD_LEADERSHIP_H
#define POLLENSPOOL_LEAD_LEADERSHIP_H

#include "base/Time.h"
#include "organisations/AdmissionShares.h"
#include "scheduling/Messages.h"
#include "store/MetadataStore.h"
#include <optional>

namespace pollenspool {

/// Table of the term, renewal and handover offer rows.
inline constexpr char LeaderTable[] = "lead";
/// The election has a partition of its own, so that renewals do not queue
/// behind other transactions.
inline constexpr char LeaderPartition[] = "lead";
inline constexpr char TermKey[] = "term";
inline constexpr char RenewalKey[] = "renewal";
/// Orders that the leader has recently sent for instances, or is about to send.
/// They have a table of their own, so that they do not appear in the change
/// feed of LeaderTable.
inline constexpr char RecentOrdersTable[] = "orders";
inline constexpr char RecentOrdersKey[] = "orders";
/// Key of the latest handover offer.
inline constexpr char HandoverOfferKey[] = "offer";

/// Value of the term row.
struct TermRow {
  Term m_Term = 0;
  std::string m_Leader;
  /// The leader has released its term; any instance may begin the next one.
  bool m_Released = false;
};

/// Load of one queue, published by the leader for the other instances.
struct QueueLoad {
  std::uint32_t m_WaitingJobs = 0;
  /// Estimated wait of a job that is submitted now.
  std::chrono::milliseconds m_Wait{0};
};

/// Loads of all queues. A job that was accepted before m_AsOf and has not begun
/// is counted.
struct QueueLoads {
  std::map<QueueName, QueueLoad> m_Queues;
  /// Time of the store's clock; 0 if no leader has counted yet.
  std::chrono::milliseconds m_AsOf{0};
};

/// Value of the renewal row. It shows that the leader is alive, and carries
/// what every instance needs to answer callers.
struct RenewalRow {
  Term m_Term = 0;
  /// Counts the renewals of the term.
  std::uint64_t m_Number = 0;
  /// A leader that still reads the jobs repeats the loads of the earlier one.
  QueueLoads m_Loads;
  /// What to admit of organisations that exceed their share.
  AdmissionShares m_Admission;
  /// \see LeadershipOptions::m_RelativeCapacity.
  double m_RelativeCapacity = 0;
  /// Address of the leader's status page for operators.
  std::string m_Address;
  /// The leader is overloaded. \see DelayMonitor.
  bool m_IsOverloaded = false;
};

/// Value of the handover offer row: an instance of higher capacity offers to
/// replace the leader.
struct HandoverOfferRow {
  /// The term that the handover would end.
  Term m_Term = 0;
  std::string m_Candidate;
};

/// Values of the rows as JSON. Thread safe. The decoders fail with
/// InvalidMessage.
std::string encodeTerm(const TermRow &Row);
Result<TermRow> decodeTerm(const std::string &Text);
std::string encodeRenewal(const RenewalRow &Row);
Result<RenewalRow> decodeRenewal(const std::string &Text);
std::string encodeHandoverOffer(const HandoverOfferRow &Row);
Result<HandoverOfferRow> decodeHandoverOffer(const std::string &Text);

/// Timing of the election.
struct LeadershipOptions {
  /// Interval between two renewals.
  Duration m_RenewInterval = std::chrono::milliseconds(250);
  /// The same while the previous renewal is unanswered. A slow store takes
  /// 400 ms for a renewal, and would be kept busy by one each 250 ms; but the
  /// answer may also have been lost, and the next one must come in time.
  Duration m_UnansweredRenewInterval = std::chrono::milliseconds(350);
  /// Duration of the leader's lease, counted from when a renewal was sent.
  /// Shorter than m_ElectionTimeout, so that a leader stops before the next one
  /// begins.
  Duration m_LeaseDuration = std::chrono::milliseconds(1100);
  /// How long the store must answer without a new renewal before a follower
  /// takes over.
  Duration m_ElectionTimeout = std::chrono::milliseconds(1400);
  /// Added to m_ElectionTimeout by this instance, so that instances do not all
  /// try at once and those of higher capacity try first.
  Duration m_ElectionDelay = std::chrono::milliseconds(0);
  /// When the process started, on the clock of the calls. For
  /// m_RecentStartAge after it the election delay rises from m_ElectionDelay by
  /// m_MaxAgeDelay: in a rolling restart the turn of an instance that started
  /// lately is over, so that it can lead for longer than others.
  TimePoint m_StartedAt{};
  Duration m_RecentStartAge = std::chrono::minutes(2);
  Duration m_MaxAgeDelay = std::chrono::milliseconds(0);
  /// Capacity of this instance as a leader, as a fraction of what the largest
  /// planned deployment needs.
  double m_RelativeCapacity = 1;
};

/// State machine of the election. Does no I/O: the caller commits the returned
/// transactions and reports their results. Not thread safe.
class Leadership {
public:
  Leadership(std::string Name, const LeadershipOptions &Options)
      : m_Name(std::move(Name)), m_Options(Options) {}

  /// To be called for each row that the feed of LeaderTable reports.
  void onRow(const StoredRow &Row, TimePoint Now);
  /// To be called for each answer of the feed. The request was sent at \p
  /// Asked. The feed has answered without a failure since \p Since and has
  /// reported all rows up to \p Version.
  void onFeedAnswer(TimePoint Since, TimePoint Asked, RowVersion Version,
                    TimePoint Now);

  /// Returns the transaction that begins the next term with this instance as
  /// its leader, if it is time to try that.
  std::optional<RowTransaction> tryTakeOver(TimePoint Now);
  void onTakeOverResult(const Result<CommitOutcome> &Outcome, TimePoint Sent,
                        TimePoint Now);
  /// Whether this instance leads and has to renew its lease now.
  bool isRenewalDue(TimePoint Now) const;
  /// Returns the transaction that renews the lease. Fills in the term, number
  /// and capacity of \p Row.
  RowTransaction renew(RenewalRow Row, TimePoint Now);
  void onRenewResult(const Result<CommitOutcome> &Outcome, TimePoint Sent);
  /// Stops leading and returns the transaction that releases the term. This
  /// instance gives the others m_ElectionTimeout to begin the next term first.
  RowTransaction release(TimePoint Now);
  /// Returns the transaction that offers a handover to a leader that is
  /// overloaded or has much less capacity, if this instance should do so now.
  /// It offers at most once per term.
  std::optional<RowTransaction> offerHandover(TimePoint Now);
  /// Whether this instance leads and another one has offered to take over its
  /// term.
  bool isHandoverOffered() const {
    return m_Leading && m_HandoverOffer.m_Term == term();
  }
  /// To be called when a later term was seen elsewhere than in the store.
  void stepDown() { m_Leading = false; }

  /// How long this instance waits at \p Now for others to take over first.
  Duration electionDelay(TimePoint Now) const;
  bool isLeading() const { return m_Leading; }
  /// Whether this instance leads and its lease is still valid at \p Now.
  bool isValid(TimePoint Now) const {
    return m_Leading &&
           Now < m_ConfirmedRenewalSentAt + m_Options.m_LeaseDuration;
  }
  /// The latest time up to which no other instance can have taken over.
  TimePoint uncontestedAt() const {
    return std::max(m_ConfirmedRenewalSentAt, m_FeedRequestedAt);
  }
  /// The latest version of the store up to which no other instance has taken
  /// over, as reported by the feed.
  RowVersion uncontestedVersion() const { return m_FeedVersion; }
  Term term() const { return m_TermRow.m_Term; }
  /// Condition that the term row is unchanged.
  RowCondition termCondition() const {
    return {{LeaderTable, TermKey, LeaderPartition}, m_TermRowVersion};
  }
  const TermRow &termRow() const { return m_TermRow; }
  const LeadershipOptions &options() const { return m_Options; }
  const RenewalRow &renewal() const { return m_Renewal; }
  TimePoint renewalSeenAt() const { return m_RenewalSeenAt; }
  /// Number of waiting jobs of \p Queue. Fails with NotFound if no leader has
  /// counted yet, and with Unavailable if at \p StoreTime, a time of the
  /// store's clock, the count is older than \p MaxAge.
  Result<std::uint32_t>
  waitingJobs(const QueueName &Queue,
              std::optional<std::chrono::milliseconds> StoreTime,
              std::chrono::milliseconds MaxAge) const;

private:
  std::string m_Name;
  LeadershipOptions m_Options;
  TermRow m_TermRow;
  RowVersion m_TermRowVersion = 0;
  RenewalRow m_Renewal;
  TimePoint m_RenewalSeenAt{};
  /// When the leader was last known to be alive, or the store began to answer
  /// again. The election timeout counts from here.
  TimePoint m_NoRenewalSince{};
  bool m_HasFeedAnswer = false;
  TimePoint m_LastFeedAnswerAt{};
  TimePoint m_FeedRequestedAt{};
  RowVersion m_FeedVersion = 0;
  bool m_Leading = false;
  bool m_TakeOverPending = false;
  TimePoint m_ConfirmedRenewalSentAt{};
  TimePoint m_LastRenewalAt{};
  /// Whether the latest renewal has not been answered.
  bool m_IsRenewalPending = false;
  std::uint64_t m_LastRenewalNumber = 0;
  HandoverOfferRow m_HandoverOffer;
  RowVersion m_HandoverOfferVersion = 0;
  /// When the first renewal of the current term was seen.
  TimePoint m_TermRenewedAt{};
  /// Since when the leader has reported itself as overloaded.
  std::optional<TimePoint> m_OverloadedSince;
  Term m_OfferedForTerm = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_LEAD_LEADERSHIP_H
