//===- CancellationMarks.cpp - Cancelled IDs without a job ----------------===//

#include "jobs/CancellationMarks.h"
#include <algorithm>
#include <utility>

namespace pollenspool {

namespace {

/// Marks per second that an instance writes, and the most that it writes at
/// once, for one organisation and for all.
constexpr double MarksPerSecond = 5;
constexpr double MaxMarksAtOnce = 200;
constexpr double TotalMarksPerSecond = 20;
constexpr double MaxTotalMarksAtOnce = 800;
/// Each removal takes one condition and two deletions; the store accepts 100
/// entries.
constexpr std::size_t MaxRemovalsPerTransaction = 33;
/// Delay before removals that failed are repeated.
constexpr Duration RetryDelay = std::chrono::seconds(1);

} // namespace

bool MarkBudget::take(Allowance &A, double PerSecond, double Most,
                      TimePoint Now) {
  const double Seconds = std::chrono::duration<double>(Now - A.m_At).count();
  A.m_Marks = std::min(Most, A.m_Marks + Seconds * PerSecond);
  A.m_At = Now;
  return A.m_Marks >= 1;
}

bool MarkBudget::take(const OrganisationName &Caller, TimePoint Now) {
  if (!m_Total)
    m_Total = {MaxTotalMarksAtOnce, Now};
  Allowance &Own =
      m_ByCaller.emplace(Caller, Allowance{MaxMarksAtOnce, Now}).first->second;
  if (!take(Own, MarksPerSecond, MaxMarksAtOnce, Now) ||
      !take(*m_Total, TotalMarksPerSecond, MaxTotalMarksAtOnce, Now))
    return false;
  Own.m_Marks -= 1;
  m_Total->m_Marks -= 1;
  return true;
}

std::unique_ptr<CancellationMarks>
CancellationMarks::create(Duration Retention) {
  return std::unique_ptr<CancellationMarks>(new CancellationMarks(Retention));
}

bool CancellationMarks::onLiveRow(const StoredRow &Row, TimePoint Now) {
  const std::string &Id = Row.m_At.m_Key;
  if (Row.m_IsDeleted)
    return m_Versions.erase(Id) != 0;
  if (Row.m_Value != CancellationMarkValue) {
    m_Versions.erase(Id);
    return false;
  }
  RowVersion &Known = m_Versions[Id];
  if (Known != Row.m_Version)
    m_Due.push_back({Id, Row.m_Version, Now + m_Retention});
  Known = Row.m_Version;
  return true;
}

bool CancellationMarks::isCurrent(const Due &D) const {
  auto It = m_Versions.find(D.m_Id);
  return It != m_Versions.end() && It->second == D.m_Version;
}

std::optional<RowTransaction> CancellationMarks::next(TimePoint Now) {
  if (!m_Pending.empty())
    return std::nullopt;
  RowTransaction Txn;
  while (!m_Due.empty() && m_Due.front().m_RemoveAt <= Now &&
         m_Pending.size() < MaxRemovalsPerTransaction) {
    if (isCurrent(m_Due.front())) {
      const JobId Id(m_Due.front().m_Id);
      Txn.m_Conditions.push_back(
          {jobStateAddress(Id), m_Due.front().m_Version});
      Txn.m_Deletes.push_back(jobStateAddress(Id));
      Txn.m_Deletes.push_back(liveJobAddress(Id));
      m_Pending.push_back(m_Due.front());
    }
    m_Due.pop_front();
  }
  if (m_Pending.empty())
    return std::nullopt;
  return Txn;
}

void CancellationMarks::onResult(const Result<CommitOutcome> &Outcome,
                                 TimePoint Now) {
  // A mark stays known until its deletion is reported, which would otherwise
  // look like the end of a job.
  auto IsRemoved = [&](const Due &D) {
    if (!Outcome)
      return false;
    const auto &Rows = Outcome.value().m_Conflicts;
    return Outcome.value().m_Committed ||
           std::any_of(Rows.begin(), Rows.end(), [&](const StoredRow &Row) {
             return Row.m_At.m_Key == D.m_Id && Row.m_Version != D.m_Version;
           });
  };
  for (Due &D : std::exchange(m_Pending, {}))
    if (!IsRemoved(D)) {
      D.m_RemoveAt = Now + RetryDelay;
      m_Due.push_front(std::move(D));
    }
}

} // namespace pollenspool
