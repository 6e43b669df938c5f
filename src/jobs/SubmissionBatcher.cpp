//===- SubmissionBatcher.cpp - Submissions that share commits -------------===//

#include "jobs/SubmissionBatcher.h"
#include "organisations/Authorization.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Each submission takes three entries of a transaction.
constexpr std::size_t MaxSubmissionsPerBatch =
    StoreLimits().m_TransactionEntries / 3;
constexpr std::size_t MaxBatchBytes = StoreLimits().m_ValueBytes;

/// Whether the store guarantees that a commit with this error was not applied.
bool isCertainlyNotApplied(ErrorCode Code) {
  return Code == ErrorCode::Unavailable || Code == ErrorCode::RateLimited ||
         Code == ErrorCode::ConnectFailed ||
         Code == ErrorCode::ResourceExhausted;
}

} // namespace

SubmissionNumber SubmissionBatcher::add(const JobSpec &Job) {
  JobProgress Initial;
  Initial.m_ChangedAt = Job.m_AcceptedAt;
  Initial.m_Organisation = Job.m_Organisation;
  auto S = std::make_shared<Submission>();
  S->m_Number = ++m_LastSubmission;
  S->m_Caller = Job.m_Organisation;
  S->m_State = {jobStateAddress(Job.m_Id), encodeProgress(Initial)};
  S->m_Live = {liveJobAddress(Job.m_Id), encodeJob(Job)};
  m_Partitions[S->m_State.m_At.m_Partition].m_Waiting.push_back(S);
  m_Open[S->m_Number] = S;
  return S->m_Number;
}

std::vector<SubmissionBatcher::SubmissionPtr>
SubmissionBatcher::takeMembers(Partition &P, TimePoint Now) {
  std::vector<SubmissionPtr> Members;
  std::size_t Bytes = 0;
  auto IsInBatch = [&](const Submission &S) {
    return std::any_of(Members.begin(), Members.end(),
                       [&](const SubmissionPtr &Member) {
                         return Member->m_State.m_At == S.m_State.m_At;
                       });
  };
  std::deque<SubmissionPtr> Left;
  for (SubmissionPtr &S : P.m_Waiting) {
    if (S->m_IsAbandoned)
      continue;
    // A row may occur only once in a transaction.
    bool IsTaken = Now >= S->m_NotBefore &&
                   Members.size() < MaxSubmissionsPerBatch &&
                   (Members.empty() ||
                    (Bytes + S->bytes() <= MaxBatchBytes && !S->m_IsSentAlone &&
                     !Members.front()->m_IsSentAlone)) &&
                   !IsInBatch(*S);
    if (IsTaken) {
      Bytes += S->bytes();
      Members.push_back(std::move(S));
    } else {
      Left.push_back(std::move(S));
    }
  }
  P.m_Waiting = std::move(Left);
  return Members;
}

std::vector<SubmissionBatcher::Batch>
SubmissionBatcher::takeBatches(TimePoint Now) {
  std::vector<Batch> Batches;
  for (auto &[Name, P] : m_Partitions) {
    if (P.m_IsCommitting || P.m_Waiting.empty())
      continue;
    std::vector<SubmissionPtr> Members = takeMembers(P, Now);
    if (Members.empty())
      continue;
    P.m_IsCommitting = true;
    Batch B;
    B.m_Number = ++m_LastBatch;
    for (const SubmissionPtr &S : Members) {
      S->m_MayBeStored = true;
      B.m_Txn.m_Conditions.push_back({S->m_State.m_At, S->m_ReplacedMark});
      B.m_Txn.m_Puts.push_back(S->m_State);
      B.m_Txn.m_Puts.push_back(S->m_Live);
    }
    m_InFlight[B.m_Number] = {Name, std::move(Members)};
    Batches.push_back(std::move(B));
  }
  return Batches;
}

bool SubmissionBatcher::decideConflict(Submission &S,
                                       const CommitOutcome &Outcome,
                                       std::vector<Decision> &Out) {
  auto Row = std::find_if(
      Outcome.m_Conflicts.begin(), Outcome.m_Conflicts.end(),
      [&](const StoredRow &R) { return R.m_At == S.m_State.m_At; });
  if (Row == Outcome.m_Conflicts.end() || Row->m_Version == S.m_ReplacedMark)
    return false;
  S.m_ReplacedMark = 0;
  if (Row->m_Version == 0)
    return false;
  SubmitResult Result = SubmitResult::Accepted;
  if (auto Stored = decodeProgress(Row->m_Value)) {
    const auto &CancelledBy = Stored.value().m_CancelledBy;
    if (CancelledBy.count(S.m_Caller) != 0) {
      Result = SubmitResult::Cancelled;
    } else if (!CancelledBy.empty()) {
      S.m_ReplacedMark = Row->m_Version;
      return false;
    } else if (!mayAccessJob(S.m_Caller, Stored.value().m_Organisation)) {
      Result = SubmitResult::OtherOrganisation;
    }
  }
  Out.push_back({S.m_Number, Result, true});
  return true;
}

std::vector<SubmissionBatcher::Decision> SubmissionBatcher::onResult(
    std::uint64_t Number, const Result<CommitOutcome> &Outcome, TimePoint Now) {
  std::vector<Decision> Out;
  auto Node = m_InFlight.extract(Number);
  InFlight &Done = Node.mapped();
  Partition &P = m_Partitions[Done.m_Partition];
  P.m_IsCommitting = false;
  std::vector<SubmissionPtr> Again;
  bool IsMarkReplaced = false;
  for (const SubmissionPtr &S : Done.m_Members) {
    if (Outcome && Outcome.value().m_Committed) {
      Out.push_back({S->m_Number, SubmitResult::Accepted, false});
      continue;
    }
    const RowVersion KnownMark = S->m_ReplacedMark;
    if (Outcome && decideConflict(*S, Outcome.value(), Out))
      continue;
    IsMarkReplaced |= S->m_ReplacedMark != KnownMark;
    Again.push_back(S);
  }
  // A conflict of another member, or with a mark that this one replaces, shows
  // that it was not stored by this call. After a failed call the store may need
  // a pause.
  bool IsRetriedAtOnce = Outcome && (!Out.empty() || IsMarkReplaced);
  bool IsRejected =
      !Outcome && Outcome.error().m_Code == ErrorCode::InvalidArgument;
  for (const SubmissionPtr &S : Again) {
    S->m_IsSentAlone |= IsRejected;
    if (Outcome || isCertainlyNotApplied(Outcome.error().m_Code))
      S->m_MayBeStored = S->m_WasUnanswered;
    else
      S->m_WasUnanswered = true;
    S->m_NotBefore = IsRetriedAtOnce ? Now : Now + RetryDelay;
  }
  P.m_Waiting.insert(P.m_Waiting.begin(), Again.begin(), Again.end());
  Out.erase(std::remove_if(Out.begin(), Out.end(),
                           [this](const Decision &D) {
                             return m_Open.erase(D.m_Submission) == 0;
                           }),
            Out.end());
  return Out;
}

bool SubmissionBatcher::isCommitting(const JobId &Id) const {
  auto It = m_Partitions.find(jobStateAddress(Id).m_Partition);
  return It != m_Partitions.end() && It->second.m_IsCommitting;
}

SubmitResult SubmissionBatcher::giveUp(SubmissionNumber Number) {
  auto It = m_Open.find(Number);
  if (It == m_Open.end())
    return SubmitResult::NotStored;
  It->second->m_IsAbandoned = true;
  // Another request with the same ID may be about to store the job.
  bool MayBeStored = It->second->m_MayBeStored;
  for (const auto &[Other, S] : m_Open)
    MayBeStored |=
        S->m_MayBeStored && S->m_State.m_At == It->second->m_State.m_At;
  SubmitResult R =
      MayBeStored ? SubmitResult::OutcomeUnknown : SubmitResult::NotStored;
  m_Open.erase(It);
  return R;
}

} // namespace pollenspool
