//===- JobIntake.cpp - Takes callers' jobs in, on any instance ------------===//

#include "jobs/JobIntake.h"
#include "base/Log.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// One call of the store; it answers within 4 ms, or 60 times that when slow.
constexpr Duration CallTimeout = std::chrono::milliseconds(700);
constexpr Duration RetryPause = std::chrono::milliseconds(120);
/// Remembered last states; about 100 bytes each.
constexpr std::size_t MaxRemembered = 20000;

bool isDefinite(ErrorCode Code) {
  return Code == ErrorCode::Unavailable || Code == ErrorCode::OverBudget ||
         Code == ErrorCode::ConnectFailed;
}

} // namespace

struct JobIntake::Submission {
  JobId m_Id;
  RowTransaction m_Txn;
  TimePoint m_GiveUp;
  bool m_Unsure = false;
  std::function<void(SubmitResult)> m_Then;
};

struct JobIntake::Cancellation {
  JobId m_Id;
  TimePoint m_GiveUp;
  std::function<void(CancelResult)> m_Then;
};

std::shared_ptr<JobIntake> JobIntake::create(EventLoop &Loop,
                                             MetadataStore &Store) {
  return std::shared_ptr<JobIntake>(new JobIntake(Loop, Store));
}

void JobIntake::submit(JobSpec Job, Duration Patience,
                       std::function<void(SubmitResult)> Then) {
  auto S = std::make_shared<Submission>();
  S->m_Id = Job.m_Id;
  Job.m_AcceptedAt = wallNow();
  JobProgress Start;
  Start.m_ChangedAt = Job.m_AcceptedAt;
  RowAddress State = jobStateAddress(Job.m_Id);
  S->m_Txn.m_Conditions.push_back({State, 0});
  S->m_Txn.m_Puts.push_back({State, encodeProgress(Start)});
  S->m_Txn.m_Puts.push_back({liveJobAddress(Job.m_Id), encodeJob(Job)});
  S->m_GiveUp = m_Loop.now() + Patience;
  S->m_Then = std::move(Then);
  trySubmit(S);
}

void JobIntake::trySubmit(const std::shared_ptr<Submission> &S) {
  Duration Left = S->m_GiveUp - m_Loop.now();
  if (Left <= Duration(0)) {
    ++(S->m_Unsure ? m_Counters.m_Unsure : m_Counters.m_NotStored);
    return S->m_Then(S->m_Unsure ? SubmitResult::Unsure
                                 : SubmitResult::NotStored);
  }
  m_Store.commit(S->m_Txn, std::min(Left, CallTimeout),
                 [Self = shared_from_this(), S](Result<CommitOutcome> Outcome) {
                   Self->onSubmitted(S, Outcome);
                 });
}

void JobIntake::onSubmitted(const std::shared_ptr<Submission> &S,
                            const Result<CommitOutcome> &Outcome) {
  if (!Outcome) {
    S->m_Unsure |= !isDefinite(Outcome.error().m_Code);
    m_Loop.after(RetryPause,
                 [Self = shared_from_this(), S] { Self->trySubmit(S); });
    return;
  }
  ++(Outcome.value().m_Committed ? m_Counters.m_Accepted
                                 : m_Counters.m_Repeated);
  S->m_Then(SubmitResult::Accepted);
}

void JobIntake::readRow(
    const JobId &Id, Duration Timeout,
    std::function<void(Result<std::optional<StoredRow>>)> Then) {
  m_Store.read(jobStateAddress(Id), 1, Timeout,
               [Id, Then = std::move(Then)](Result<RowPage> Page) {
                 if (!Page)
                   return Then(Page.error());
                 std::optional<StoredRow> Row;
                 if (!Page.value().m_Rows.empty() &&
                     Page.value().m_Rows.front().m_At.m_Key == Id.m_Text)
                   Row = Page.value().m_Rows.front();
                 Then(std::move(Row));
               });
}

void JobIntake::state(
    const JobId &Id, Duration Patience,
    std::function<void(Result<std::optional<JobState>>)> Then) {
  ++m_Counters.m_StateReads;
  auto Known = m_Final.find(Id.m_Text);
  if (Known != m_Final.end()) {
    ++m_Counters.m_StateCacheHits;
    return Then(std::optional<JobState>(Known->second));
  }
  TimePoint GiveUp = m_Loop.now() + Patience;
  readRow(Id, std::min(Patience, CallTimeout),
          [Self = shared_from_this(), Id, GiveUp, Then = std::move(Then)](
              Result<std::optional<StoredRow>> Row) mutable {
            if (!Row) {
              // A call that failed at once leaves time for another.
              Duration Left = GiveUp - Self->m_Loop.now() - RetryPause;
              if (Left <= RetryPause)
                return Then(Row.error());
              Self->m_Loop.after(
                  RetryPause,
                  [Self, Id, Left, Then = std::move(Then)]() mutable {
                    Self->state(Id, Left, std::move(Then));
                  });
              return;
            }
            if (!Row.value())
              return Then(std::optional<JobState>());
            auto Progress = decodeProgress(Row.value()->m_Value);
            if (!Progress) {
              logEvent(
                  Event::JobUnreadable,
                  {{"job", Id.m_Text}, {"error", Progress.error().describe()}});
              return Then(Progress.error());
            }
            Self->remember(Id, Progress.value().m_State);
            Then(std::optional<JobState>(Progress.value().m_State));
          });
}

void JobIntake::remember(const JobId &Id, JobState State) {
  if (!isFinal(State))
    return;
  if (m_Final.size() >= MaxRemembered)
    m_Final.clear();
  m_Final[Id.m_Text] = State;
}

void JobIntake::cancel(const JobId &Id, Duration Patience,
                       std::function<void(CancelResult)> Then) {
  auto C = std::make_shared<Cancellation>();
  C->m_Id = Id;
  C->m_GiveUp = m_Loop.now() + Patience;
  C->m_Then = std::move(Then);
  readForCancel(C);
}

void JobIntake::readForCancel(const std::shared_ptr<Cancellation> &C) {
  readRow(C->m_Id, CallTimeout,
          [Self = shared_from_this(), C](Result<std::optional<StoredRow>> Row) {
            if (!Row)
              return Self->retryCancel(C);
            if (!Row.value())
              return Self->finishCancel(C, CancelResult::Unknown);
            Self->tryCancel(C, *Row.value());
          });
}

void JobIntake::retryCancel(const std::shared_ptr<Cancellation> &C) {
  if (m_Loop.now() + RetryPause >= C->m_GiveUp)
    return finishCancel(C, CancelResult::Failed);
  m_Loop.after(RetryPause,
               [Self = shared_from_this(), C] { Self->readForCancel(C); });
}

void JobIntake::tryCancel(const std::shared_ptr<Cancellation> &C,
                          const StoredRow &Row) {
  auto Progress = decodeProgress(Row.m_Value);
  if (!Progress)
    return finishCancel(C, CancelResult::Failed);
  if (isFinal(Progress.value().m_State))
    return finishCancel(C, Progress.value().m_State == JobState::Cancelled
                               ? CancelResult::Cancelled
                               : CancelResult::AlreadyOver);
  JobProgress Over;
  Over.m_State = JobState::Cancelled;
  Over.m_ChangedAt = wallNow();
  RowAddress At = jobStateAddress(C->m_Id);
  RowTransaction Txn;
  Txn.m_Conditions.push_back({At, Row.m_Version});
  Txn.m_Puts.push_back({At, encodeProgress(Over)});
  Txn.m_Removes.push_back(liveJobAddress(C->m_Id));
  m_Store.commit(Txn, CallTimeout,
                 [Self = shared_from_this(), C](Result<CommitOutcome> Outcome) {
                   if (Outcome && Outcome.value().m_Committed)
                     return Self->finishCancel(C, CancelResult::Cancelled);
                   // A conflict shows the row as it is now; after a lost
                   // answer it has to be read.
                   if (Outcome)
                     for (const StoredRow &Now : Outcome.value().m_Conflicts)
                       if (Now.m_Version != 0)
                         return Self->tryCancel(C, Now);
                   Self->retryCancel(C);
                 });
}

void JobIntake::finishCancel(const std::shared_ptr<Cancellation> &C,
                             CancelResult R) {
  if (R == CancelResult::Cancelled) {
    ++m_Counters.m_Cancelled;
    remember(C->m_Id, JobState::Cancelled);
  }
  C->m_Then(R);
}

} // namespace pollenspool
