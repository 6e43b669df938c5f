//===- RunSpeed.cpp - How fast runs get on, and on which server -----------===//

#include "scheduling/RunSpeed.h"
#include <algorithm>
#include <set>

namespace pollenspool {

namespace {

/// A run is judged after this share of its estimate, but not before the least
/// time: percents are whole, and reports take their time.
constexpr double JudgeAfterShare = 0.4;
constexpr Duration JudgeAfterLeast = std::chrono::milliseconds(400);
/// A run below this share of the estimated speed is slow. Lengths of sound runs
/// vary by up to 2.5 times the mean.
constexpr double SlowSpeed = 0.25;
/// Share of a server's judged runs that have to be slow.
constexpr double SlowShare = 0.6;
/// What stopping a run and starting it elsewhere takes beside its work: a stop
/// may take 400 ms.
constexpr Duration MoveCost = std::chrono::milliseconds(500);
/// What restoring saved progress takes at the most.
constexpr Duration ResumeTime = std::chrono::milliseconds(700);
/// How many times shorter the way by a new start has to be.
constexpr double MoveGain = 1.5;

Duration judgeAfter(const ActiveRun &Run) {
  return std::max(JudgeAfterLeast, std::chrono::duration_cast<Duration>(
                                       Run.m_Estimate * JudgeAfterShare));
}

/// Progress over the time that \p Run was watched, as a share of the work.
double progress(const ActiveRun &Run) {
  return (Run.m_Percent - Run.m_FirstPercent) / 100.0;
}

bool standsStill(const ActiveRun &Run, TimePoint Now) {
  return Now - Run.m_PercentAt >= judgeAfter(Run);
}

} // namespace

void noteProgress(ActiveRun &Run, const RunReport &Report, TimePoint Now) {
  if (Run.m_WatchedSince == TimePoint::max()) {
    // What a run resumed from is not its own progress, nor is the resuming.
    Run.m_WatchedSince = Now + ResumeTime;
    Run.m_FirstPercent = Report.m_Percent;
    Run.m_PercentAt = Now + ResumeTime;
  }
  if (Run.m_Percent != Report.m_Percent)
    Run.m_PercentAt = std::max(Run.m_PercentAt, Now);
  Run.m_Percent = Report.m_Percent;
  Run.m_Measure = Report.m_Measure;
}

std::optional<bool> isSlow(const ActiveRun &Run, TimePoint Now) {
  if (Run.m_Estimate.count() == 0 || Run.m_Lasting ||
      Run.m_Phase != RunPhase::Running ||
      Now - Run.m_WatchedSince < judgeAfter(Run))
    return std::nullopt;
  double Expected = std::chrono::duration<double>(Now - Run.m_WatchedSince) /
                    std::chrono::duration<double>(Run.m_Estimate);
  return standsStill(Run, Now) || progress(Run) < SlowSpeed * Expected;
}

bool isSlow(const ServerState &S, TimePoint Now) {
  int Judged = 0, Slow = 0;
  bool AnyStill = false;
  std::set<JobId> SlowJobs;
  for (const auto &[Id, Run] : S.m_Runs)
    if (auto Verdict = isSlow(Run, Now)) {
      ++Judged;
      if (!*Verdict)
        continue;
      ++Slow;
      AnyStill = AnyStill || standsStill(Run, Now);
      SlowJobs.insert(Id.m_Task.m_Job);
    }
  // The tasks of one job may all be longer than estimated.
  return (AnyStill || SlowJobs.size() > 1) && Slow >= SlowShare * Judged;
}

bool endedInTime(const ActiveRun &Run, TimePoint Now) {
  return Run.m_WatchedSince >= Now ||
         Now - Run.m_WatchedSince < judgeAfter(Run) ||
         (Now - Run.m_WatchedSince) * SlowSpeed <= Run.m_Estimate;
}

bool isWorthMoving(const ActiveRun &Run, TimePoint Now) {
  if (isSlow(Run, Now) != true)
    return false;
  if (standsStill(Run, Now) || progress(Run) <= 0)
    return true;
  auto Watched = std::chrono::duration<double>(Now - Run.m_WatchedSince);
  auto Left = Watched / progress(Run) * ((100 - Run.m_Percent) / 100.0);
  return Left > (MoveCost + Run.m_Estimate) * MoveGain;
}

} // namespace pollenspool
