//===- StallDetection.cpp - Whether runs get on
//---------------------------------===//

#include "scheduling/StallDetection.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// No change for this long is a standstill of a run that had got on, if its own
/// pace would have brought several percents. Reports are up to a second apart.
constexpr Duration StillFor = std::chrono::milliseconds(700);
constexpr int StillPercents = 4;
/// The same for a run that has never got on, which may be a long one.
constexpr Duration StillFromStart = std::chrono::seconds(2);
/// What restoring saved progress takes at the most.
constexpr Duration ResumeTime = std::chrono::milliseconds(700);
/// Share of a server's runs that have to stand still.
constexpr double StillShare = 0.6;

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

bool standsStill(const ActiveRun &Run, TimePoint Now) {
  if (Run.m_Lasting || Run.m_Phase != RunPhase::Running)
    return false;
  Duration Unchanged = Now - Run.m_PercentAt;
  int Done = Run.m_Percent - Run.m_FirstPercent;
  if (Done <= 0)
    return Unchanged >= StillFromStart;
  Duration APercent = (Run.m_PercentAt - Run.m_WatchedSince) / Done;
  return Unchanged >= std::max(StillFor, APercent * StillPercents);
}

bool standsStill(const ServerState &S, TimePoint Now) {
  int Passing = 0, Still = 0;
  for (const auto &[Id, Run] : S.m_Runs) {
    Passing += !Run.m_Lasting;
    Still += standsStill(Run, Now);
  }
  return Still > 0 && Still >= StillShare * Passing;
}

} // namespace pollenspool
