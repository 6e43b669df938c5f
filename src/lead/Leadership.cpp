//===- Leadership.cpp - Election of the leading entry instance ------------===//

#include "lead/Leadership.h"
#include "base/JsonText.h"
#include "base/ReadJson.h"
#include <algorithm>

namespace pollenspool {

using Json = nlohmann::json;

namespace {

/// Factor for the election delay before the first term. Instances start within
/// 0.3 s of each other, so the wait lets those of higher capacity take part. It
/// interrupts no work, because no leader has been active yet.
constexpr int FirstTermDelayFactor = 4;
/// Minimum ratio of an instance's capacity to the leader's for a handover
/// offer. A change of leader delays orders for instances by seconds, which a
/// small gain in capacity does not make up for.
constexpr double HandoverCapacityRatio = 1.25;
/// Ratio from which a handover is offered also to a leader that is not
/// overloaded yet: the next peak would overload it.
constexpr double MuchHigherCapacityRatio = 2;
/// How long a leader of much lower capacity is left alone, so that an instance
/// does not offer a handover while it starts or is about to stop.
constexpr Duration LowCapacityTermTime = std::chrono::seconds(1);

} // namespace

std::string encodeTerm(const TermRow &Row) {
  return jsonText(Json{{"term", Row.m_Term},
                       {"leader", Row.m_Leader},
                       {"released", Row.m_Released}});
}

Result<TermRow> decodeTerm(const std::string &Text) {
  return readJson<TermRow>("decode term", {}, Text, [](const Json &J) {
    return TermRow{J.at("term"), J.at("leader"), J.at("released")};
  });
}

std::string encodeRenewal(const RenewalRow &Row) {
  Json Queues = Json::object();
  for (const auto &[Name, Load] : Row.m_Loads.m_Queues)
    Queues[Name.m_Text] = {Load.m_WaitingJobs, Load.m_Wait.count()};
  Json J{{"term", Row.m_Term},
         {"number", Row.m_Number},
         {"queues", Queues},
         {"strength", Row.m_RelativeCapacity},
         {"behind", Row.m_IsOverloaded},
         {"as_of", Row.m_Loads.m_AsOf.count()},
         {"at", Row.m_Address}};
  for (const auto &[Name, Fraction] : Row.m_Admission.m_Fractions)
    J["admit"][Name.m_Text] = Fraction;
  for (const PoolName &Pool : Row.m_Admission.m_FullPools)
    J["full_pools"].push_back(Pool.m_Text);
  return jsonText(J);
}

Result<RenewalRow> decodeRenewal(const std::string &Text) {
  return readJson<RenewalRow>("decode renewal", {}, Text, [](const Json &J) {
    RenewalRow Row;
    Row.m_Term = J.at("term");
    Row.m_Number = J.at("number");
    // Builds without this field did not tell how old their counts were.
    Row.m_Loads.m_AsOf =
        std::chrono::milliseconds(J.value("as_of", std::int64_t(0)));
    Row.m_RelativeCapacity = J.at("strength");
    Row.m_Address = J.at("at");
    Row.m_IsOverloaded = J.at("behind");
    const Json Fractions = J.value("admit", Json::object());
    for (const auto &[Name, Fraction] : Fractions.items())
      Row.m_Admission.m_Fractions[OrganisationName(Name)] = Fraction;
    for (const Json &Pool : J.value("full_pools", Json::array()))
      Row.m_Admission.m_FullPools.insert(PoolName(Pool));
    for (const auto &[Name, Load] : J.at("queues").items())
      Row.m_Loads.m_Queues[QueueName(Name)] = {
          Load.at(0),
          std::chrono::milliseconds(Load.at(1).get<std::int64_t>())};
    return Row;
  });
}

std::string encodeHandoverOffer(const HandoverOfferRow &Row) {
  return jsonText(Json{{"term", Row.m_Term}, {"from", Row.m_Candidate}});
}

Result<HandoverOfferRow> decodeHandoverOffer(const std::string &Text) {
  return readJson<HandoverOfferRow>(
      "decode offer", {}, Text, [](const Json &J) {
        return HandoverOfferRow{J.at("term"), J.at("from")};
      });
}

void Leadership::onRow(const StoredRow &Row, TimePoint Now) {
  if (Row.m_At.m_Key == HandoverOfferKey) {
    m_HandoverOfferVersion = std::max(m_HandoverOfferVersion, Row.m_Version);
    if (auto Read = decodeHandoverOffer(Row.m_Value))
      m_HandoverOffer = std::move(Read.value());
    return;
  }
  if (Row.m_At.m_Key == RenewalKey) {
    auto Read = decodeRenewal(Row.m_Value);
    // A renewal that the store applied late does not show that the leader is
    // alive.
    if (!Read || std::tie(Read.value().m_Term, Read.value().m_Number) <=
                     std::tie(m_Renewal.m_Term, m_Renewal.m_Number))
      return;
    if (Read.value().m_Term != m_Renewal.m_Term)
      m_TermRenewedAt = Now;
    m_Renewal = std::move(Read.value());
    m_RenewalSeenAt = Now;
    m_NoRenewalSince = Now;
    if (!m_Renewal.m_IsOverloaded)
      m_OverloadedSince.reset();
    else if (!m_OverloadedSince)
      m_OverloadedSince = Now;
    return;
  }
  if (Row.m_At.m_Key != TermKey || Row.m_Version <= m_TermRowVersion)
    return;
  m_TermRowVersion = Row.m_Version;
  // After it released a term, release() has set a later time, which stays.
  m_NoRenewalSince = std::max(m_NoRenewalSince, Now);
  m_OverloadedSince.reset();
  if (auto Read = decodeTerm(Row.m_Value))
    m_TermRow = std::move(Read.value());
  m_Leading = false;
}

void Leadership::onFeedAnswer(TimePoint Since, TimePoint Asked,
                              RowVersion Version, TimePoint Now) {
  m_HasFeedAnswer = true;
  m_FeedRequestedAt = Asked;
  m_FeedVersion = Version;
  m_LastFeedAnswerAt = Now;
  m_NoRenewalSince = std::max(m_NoRenewalSince, Since);
}

Result<std::uint32_t>
Leadership::waitingJobs(const QueueName &Queue,
                        std::optional<std::chrono::milliseconds> StoreTime,
                        std::chrono::milliseconds MaxAge) const {
  const QueueLoads &Loads = m_Renewal.m_Loads;
  if (Loads.m_AsOf.count() == 0 || !StoreTime)
    return makeError(ErrorCode::NotFound, "count waiting jobs");
  std::chrono::milliseconds Age = *StoreTime - Loads.m_AsOf;
  // A count from the future was made before the store's clock was reset.
  if (Age > MaxAge || Age < -MaxAge)
    return makeError(ErrorCode::Unavailable, "count waiting jobs", {},
                     "the count is " + std::to_string(Age.count()) + " ms old");
  auto It = Loads.m_Queues.find(Queue);
  return It == Loads.m_Queues.end() ? 0 : It->second.m_WaitingJobs;
}

Duration Leadership::electionDelay(TimePoint Now) const {
  Duration Age = std::clamp(Now - m_Options.m_StartedAt, Duration(0),
                            m_Options.m_RecentStartAge);
  double Part = std::chrono::duration<double>(Age) / m_Options.m_RecentStartAge;
  return m_Options.m_ElectionDelay +
         std::chrono::duration_cast<Duration>(m_Options.m_MaxAgeDelay * Part);
}

std::optional<RowTransaction> Leadership::tryTakeOver(TimePoint Now) {
  if (m_Leading || m_TakeOverPending || !m_HasFeedAnswer)
    return std::nullopt;
  // A leader with this instance's name is this instance before its restart.
  bool Vacant = m_TermRowVersion == 0 || m_TermRow.m_Released ||
                m_TermRow.m_Leader == m_Name;
  Duration Wait =
      m_TermRowVersion == 0
          ? electionDelay(Now) * FirstTermDelayFactor
          : electionDelay(Now) +
                (Vacant ? Duration(0) : m_Options.m_ElectionTimeout);
  // Missing renewals count only up to the last answer of the feed: without
  // answers a renewal could not be seen.
  TimePoint Until = Vacant ? Now : m_LastFeedAnswerAt;
  if (Until < m_NoRenewalSince + Wait)
    return std::nullopt;
  m_TakeOverPending = true;
  TermRow Next{m_TermRow.m_Term + 1, m_Name, false};
  RowTransaction Txn;
  Txn.m_Conditions.push_back(termCondition());
  Txn.m_Puts.push_back(
      {{LeaderTable, TermKey, LeaderPartition}, encodeTerm(Next)});
  return Txn;
}

void Leadership::onTakeOverResult(const Result<CommitOutcome> &Outcome,
                                  TimePoint Sent, TimePoint Now) {
  m_TakeOverPending = false;
  m_NoRenewalSince =
      std::max(m_NoRenewalSince, Now - m_Options.m_ElectionTimeout);
  if (!Outcome)
    return;
  if (!Outcome.value().m_Committed) {
    for (const StoredRow &Row : Outcome.value().m_Conflicts)
      onRow(Row, Now);
    return;
  }
  // The feed may already have reported an even later term.
  if (Outcome.value().m_Version < m_TermRowVersion)
    return;
  if (Outcome.value().m_Version > m_TermRowVersion)
    m_TermRow = {m_TermRow.m_Term + 1, m_Name, false};
  m_TermRowVersion = Outcome.value().m_Version;
  m_Leading = true;
  m_ConfirmedRenewalSentAt = Sent;
  m_LastRenewalAt = Sent;
  m_IsRenewalPending = false;
  m_LastRenewalNumber = 0;
}

bool Leadership::isRenewalDue(TimePoint Now) const {
  return m_Leading &&
         Now >= m_LastRenewalAt + (m_IsRenewalPending
                                       ? m_Options.m_UnansweredRenewInterval
                                       : m_Options.m_RenewInterval);
}

RowTransaction Leadership::renew(RenewalRow Row, TimePoint Now) {
  m_LastRenewalAt = Now;
  m_IsRenewalPending = true;
  Row.m_Term = m_TermRow.m_Term;
  Row.m_Number = ++m_LastRenewalNumber;
  Row.m_RelativeCapacity = m_Options.m_RelativeCapacity;
  RowTransaction Txn;
  Txn.m_Conditions.push_back(termCondition());
  Txn.m_Puts.push_back(
      {{LeaderTable, RenewalKey, LeaderPartition}, encodeRenewal(Row)});
  return Txn;
}

void Leadership::onRenewResult(const Result<CommitOutcome> &Outcome,
                               TimePoint Sent) {
  m_IsRenewalPending &= Sent != m_LastRenewalAt;
  if (!Outcome)
    return;
  if (Outcome.value().m_Committed)
    m_ConfirmedRenewalSentAt = std::max(m_ConfirmedRenewalSentAt, Sent);
  else
    m_Leading = false;
}

RowTransaction Leadership::release(TimePoint Now) {
  RowTransaction Txn;
  Txn.m_Conditions.push_back(termCondition());
  Txn.m_Puts.push_back({{LeaderTable, TermKey, LeaderPartition},
                        encodeTerm({m_TermRow.m_Term, m_Name, true})});
  m_Leading = false;
  m_NoRenewalSince = Now + m_Options.m_ElectionTimeout;
  return Txn;
}

std::optional<RowTransaction> Leadership::offerHandover(TimePoint Now) {
  if (m_Leading || m_Renewal.m_Term != term() || m_OfferedForTerm == term() ||
      m_HandoverOffer.m_Term == term())
    return std::nullopt;
  double Ratio = m_Options.m_RelativeCapacity / m_Renewal.m_RelativeCapacity;
  std::optional<TimePoint> WantedSince;
  if (m_OverloadedSince && Ratio >= HandoverCapacityRatio)
    WantedSince = *m_OverloadedSince;
  else if (Ratio >= MuchHigherCapacityRatio)
    WantedSince = m_TermRenewedAt + LowCapacityTermTime;
  if (!WantedSince || Now < *WantedSince + electionDelay(Now))
    return std::nullopt;
  m_OfferedForTerm = term();
  RowTransaction Txn;
  Txn.m_Conditions.push_back(termCondition());
  Txn.m_Conditions.push_back({{LeaderTable, HandoverOfferKey, LeaderPartition},
                              m_HandoverOfferVersion});
  Txn.m_Puts.push_back({{LeaderTable, HandoverOfferKey, LeaderPartition},
                        encodeHandoverOffer({term(), m_Name})});
  return Txn;
}

} // namespace pollenspool
