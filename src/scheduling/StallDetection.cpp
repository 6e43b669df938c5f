//===- StallDetection.cpp - Detection of stalled runs ---------------------===//

#include "scheduling/StallDetection.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// A run that has made progress is stalled if its percentage stays unchanged
/// for MinStallTime and for the time in which it would gain StallPercents at
/// its average speed. Reports arrive up to one second apart.
constexpr Duration MinStallTime = std::chrono::milliseconds(700);
constexpr int StallPercents = 4;
/// Bound for a run that has not made any progress yet, since it may be a long
/// one with a low speed.
constexpr Duration MinInitialStallTime = std::chrono::seconds(2);
/// Longest time for restoring a checkpoint.
constexpr Duration MaxRestoreTime = std::chrono::milliseconds(700);
/// Share of a server's finite runs that have to be stalled for the server to
/// count as stalled.
constexpr double StalledShare = 0.6;

} // namespace

void recordProgress(ActiveRun &Run, const RunReport &Report, TimePoint Now) {
  if (Run.m_ProgressSince == TimePoint::max()) {
    // Neither the progress stored in the checkpoint nor the time for restoring
    // it counts for the speed of the run.
    Run.m_ProgressSince = Now + MaxRestoreTime;
    Run.m_BaselinePercent = Report.m_Percent;
    Run.m_PercentChangedAt = Now + MaxRestoreTime;
  }
  if (Run.m_Percent != Report.m_Percent)
    Run.m_PercentChangedAt = std::max(Run.m_PercentChangedAt, Now);
  Run.m_Percent = Report.m_Percent;
  Run.m_LoadMeasurement = Report.m_LoadMeasurement;
}

bool isStalled(const ActiveRun &Run, TimePoint Now) {
  if (Run.m_IsLongRunning || Run.m_Phase != RunPhase::Running)
    return false;
  Duration UnchangedFor = Now - Run.m_PercentChangedAt;
  int Done = Run.m_Percent - Run.m_BaselinePercent;
  if (Done <= 0)
    return UnchangedFor >= MinInitialStallTime;
  Duration TimePerPercent =
      (Run.m_PercentChangedAt - Run.m_ProgressSince) / Done;
  return UnchangedFor >= std::max(MinStallTime, TimePerPercent * StallPercents);
}

bool isStalled(const ServerState &S, TimePoint Now) {
  int Finite = 0, Stalled = 0;
  for (const auto &[Id, Run] : S.m_Runs) {
    // A run that the latest list lacks may have ended.
    if (S.m_HasMoreEnds && Run.m_LastListedIn != S.m_PollsAnswered)
      continue;
    Finite += !Run.m_IsLongRunning;
    Stalled += isStalled(Run, Now);
  }
  return Stalled > 0 && Stalled >= StalledShare * Finite;
}

} // namespace pollenspool
