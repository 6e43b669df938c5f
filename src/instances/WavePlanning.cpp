//===- WavePlanning.cpp - Maintenance waves -------------------------------===//

#include "base/Log.h"
#include "instances/FleetPlanner.h"
#include <algorithm>
#include <cmath>

namespace pollenspool {

namespace {

/// How long an instance's tasks may take to end before its upkeep when there
/// is no hurry, and when there is. Most tasks last one or two seconds.
constexpr Duration EmptyWithin = std::chrono::milliseconds(4000);
constexpr Duration EmptyWithinPressed = std::chrono::milliseconds(1200);
/// What one round of a wave takes beyond the upkeep itself.
constexpr Duration RoundOverhead = std::chrono::milliseconds(2500);
/// A waiting instance is logged this often.
constexpr Duration NoteWaitEvery = std::chrono::seconds(2);
/// A wave is in a hurry when less than this many times the time that its
/// rounds need is left.
constexpr double HurryFactor = 1.5;

} // namespace

void FleetPlanner::onWave(const WaveRequest &Wave, const WaveProgress &Progress,
                          bool Inherited) {
  m_Waves[Wave.m_Id] = {Wave, Progress, Inherited};
  if (!Progress.m_Complete)
    m_Changed.insert(Wave.m_Id);
}

std::vector<WaveId> FleetPlanner::takeChangedWaves() {
  std::vector<WaveId> Out(m_Changed.begin(), m_Changed.end());
  m_Changed.clear();
  return Out;
}

const WaveProgress &FleetPlanner::progress(const WaveId &Id) const {
  return m_Waves.at(Id).m_Progress;
}

void FleetPlanner::planWaves(Pools &All, TimePoint Now,
                             std::chrono::milliseconds Wall,
                             std::vector<InstanceOrder> &Out) {
  for (auto &[Id, W] : m_Waves)
    if (!W.m_Progress.m_Complete)
      planWave(W, All, Now, Wall, Out);
}

bool FleetPlanner::isDown(const InstanceId &Id, TimePoint Now) const {
  auto It = m_State.find(Id);
  if (It != m_State.end() && (It->second.m_Pending || It->second.m_Ordered ||
                              Now < It->second.m_BackAt))
    return true;
  const InstanceListing *L = listing(Id);
  return L && L->m_Condition == InstanceCondition::Upkeep;
}

void FleetPlanner::planWave(WaveState &W, Pools &All, TimePoint Now,
                            std::chrono::milliseconds Wall,
                            std::vector<InstanceOrder> &Out) {
  std::uint32_t Taken = 0;
  std::vector<const InstanceListing *> Left;
  std::size_t Remaining = 0;
  for (const InstanceId &Id : W.m_Request.m_Instances) {
    const InstanceListing *L = listing(Id);
    bool Done = W.m_Progress.m_Done.count(Id) != 0;
    if (isDown(Id, Now) && (Done || m_State[Id].m_Wave == W.m_Request.m_Id ||
                            (L && L->m_Condition == InstanceCondition::Upkeep)))
      ++Taken;
    if (Done || !L)
      continue;
    ++Remaining;
    if (mayOrder(*L, Now))
      Left.push_back(L);
  }
  if (Remaining == 0)
    return finishWave(W);
  std::uint32_t Room =
      W.m_Request.m_AtOnce > Taken ? W.m_Request.m_AtOnce - Taken : 0;
  double Rounds = std::ceil(static_cast<double>(Remaining) /
                            std::max(1u, W.m_Request.m_AtOnce));
  auto Needed = Rounds * (m_Options.m_UpkeepTime + RoundOverhead);
  auto TimeLeft = W.m_Progress.m_SeenAt + W.m_Request.m_CompleteWithin - Wall;
  bool Pressed = TimeLeft < Needed * HurryFactor;
  auto Rank = [&](const InstanceListing *L) {
    ServerState *S = serverOf(*L);
    bool Emptying = m_State[L->m_Id].m_EmptyingSince.has_value();
    auto Pool = All.find(L->m_Pool);
    bool Spare = Pool != All.end() && Pool->second.m_Spare;
    std::size_t Runs = Spare || !S ? 0 : S->m_Runs.size();
    return std::make_tuple(!Spare, !Emptying, Runs);
  };
  std::sort(Left.begin(), Left.end(),
            [&](const InstanceListing *A, const InstanceListing *B) {
              return Rank(A) < Rank(B);
            });
  for (const InstanceListing *L : Left) {
    if (Room == 0)
      break;
    auto Pool = All.find(L->m_Pool);
    bool Spare = Pool != All.end() && Pool->second.m_Spare;
    // Without a hurry no pool is made to lack what it needs.
    bool Emptying = m_State[L->m_Id].m_EmptyingSince.has_value();
    if (!Spare && !Emptying && !Pressed && Pool != All.end() &&
        Pool->second.surplus() < 0) {
      noteWait(*L, "its pool lacks instances", Now);
      continue;
    }
    --Room;
    std::string Why = Spare ? "" : emptyForUpkeep(*L, Pressed, Now);
    if (!Why.empty()) {
      noteWait(*L, Why, Now);
      continue;
    }
    Out.push_back({L->m_Id, {}, W.m_Request.m_Id});
    noteOrdered(Out.back());
  }
}

void FleetPlanner::noteWait(const InstanceListing &L, const std::string &Why,
                            TimePoint Now) {
  Instance &I = m_State[L.m_Id];
  if (Now < I.m_WaitNoted + NoteWaitEvery)
    return;
  I.m_WaitNoted = Now;
  logEvent(
      Event::UpkeepWaits,
      {{"instance", L.m_Id.m_Text}, {"pool", L.m_Pool.m_Text}, {"why", Why}});
}

std::string FleetPlanner::emptyForUpkeep(const InstanceListing &L, bool Pressed,
                                         TimePoint Now) {
  ServerState *S = serverOf(L);
  if (!S)
    return "its server is not registered";
  if (!isKnown(*S))
    return "its server does not answer";
  Instance &I = m_State[L.m_Id];
  if (!I.m_EmptyingSince)
    I.m_EmptyingSince = Now;
  S->m_Reserved = true;
  bool TasksLeft =
      std::any_of(S->m_Runs.begin(), S->m_Runs.end(),
                  [](const auto &Entry) { return !Entry.second.m_Lasting; });
  Duration Waited = Now - *I.m_EmptyingSince;
  if (TasksLeft && Waited < (Pressed ? EmptyWithinPressed : EmptyWithin))
    return "its tasks have not ended";
  KeptTask Kept = keptTask(*S);
  // More of a step run here than may be away: they leave one by one.
  if (Kept.m_ToRelocate)
    m_Core.relocate(S->m_Registration.m_Id, *Kept.m_ToRelocate);
  return Kept.m_Why;
}

bool FleetPlanner::isAtWork(const RunPlace &Place, const TaskId &Task) {
  ServerState *S = m_Core.servers().find(Place.m_Server);
  if (!S || !S->m_Reachable)
    return false;
  auto It = S->m_Runs.find({Task, Place.m_Number});
  if (It == S->m_Runs.end() || It->second.m_Phase != RunPhase::Running ||
      It->second.m_Percent < 100)
    return false;
  auto State = m_State.find(S->m_Registration.m_Instance);
  return State == m_State.end() || !State->second.m_Pending;
}

FleetPlanner::KeptTask FleetPlanner::keptTask(const ServerState &S) {
  // Tasks of one step that this order would end, besides those away already.
  std::map<std::tuple<JobId, std::uint32_t, std::uint32_t>, std::vector<RunId>>
      Ends;
  for (const auto &[Id, Run] : S.m_Runs)
    if (Run.m_Lasting)
      Ends[{Id.m_Task.m_Job, Id.m_Task.m_Occurrence, Id.m_Task.m_Step}]
          .push_back(Id);
  for (const auto &[Where, Runs] : Ends) {
    const auto &[JobName, Occurrence, StepNumber] = Where;
    LiveJob *Job = m_Core.jobs().find(JobName);
    StepState *Step = Job ? Job->step(Occurrence, StepNumber) : nullptr;
    if (!Step)
      continue;
    std::uint32_t Bound = Job->m_Spec.m_Steps[StepNumber].m_MaxUnavailable;
    if (Bound == 0)
      continue;
    std::uint32_t Away = 0;
    for (std::uint32_t I = 0; I < Step->m_Tasks.size(); ++I) {
      TaskId Task{JobName, Occurrence, StepNumber, I};
      const auto &Places = Step->m_Tasks[I].m_Runs;
      if (std::none_of(Places.begin(), Places.end(),
                       [&](const RunPlace &P) { return isAtWork(P, Task); }))
        ++Away;
    }
    if (Away + Runs.size() <= Bound)
      continue;
    KeptTask Kept;
    Kept.m_Why = "job " + JobName.m_Text + " has " + std::to_string(Away) +
                 " tasks away and may have " + std::to_string(Bound);
    if (Away == 0 && Runs.size() > Bound)
      Kept.m_ToRelocate = Runs.front();
    return Kept;
  }
  return {};
}

std::vector<WaveOverview> FleetPlanner::waves() const {
  std::vector<WaveOverview> All;
  for (const auto &[Id, W] : m_Waves)
    All.push_back({Id, W.m_Request.m_Instances.size(),
                   W.m_Progress.m_Done.size(), W.m_Progress.m_Complete});
  return All;
}

void FleetPlanner::finishWave(WaveState &W) {
  W.m_Progress.m_Complete = true;
  m_Changed.insert(W.m_Request.m_Id);
  logEvent(Event::WaveOver, {{"wave", W.m_Request.m_Id.m_Text}});
}

} // namespace pollenspool
