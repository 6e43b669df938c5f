//===- WavePlanning.cpp - Maintenance waves -------------------------------===//

#include "base/Log.h"
#include "instances/FleetPlanner.h"
#include <algorithm>
#include <cmath>

namespace pollenspool {

namespace {

/// How long the tasks of an instance may run on before its maintenance begins.
/// Most tasks last one or two seconds.
constexpr Duration DrainTimeout = std::chrono::milliseconds(4000);
/// The same when the wave is urgent.
constexpr Duration UrgentDrainTimeout = std::chrono::milliseconds(1200);
/// Duration of one round of a wave beyond the maintenance itself.
constexpr Duration RoundOverhead = std::chrono::milliseconds(2500);
/// Minimum time between two log lines about the same waiting instance.
constexpr Duration WaitLogInterval = std::chrono::seconds(2);
/// How long the platform has to say that there is nothing to do for an instance
/// of a wave. A single list may miss an instance that moves while the pages of
/// the list are read, and the platform may read a wave's row later.
constexpr Duration MinAbsenceTime = std::chrono::seconds(3);
/// A wave is urgent when the time left is less than this multiple of the time
/// that its remaining rounds need.
constexpr double UrgencyFactor = 1.5;

} // namespace

void FleetPlanner::onWave(const WaveRequest &Wave, const WaveProgress &Progress,
                          bool Inherited) {
  WaveState &W = m_Waves[Wave.m_Id] = {Wave, Progress, Inherited, {}};
  reopenIfUndone(W);
  if (!W.m_Progress.m_Complete)
    m_ChangedWaves.insert(Wave.m_Id);
}

void FleetPlanner::onWaveRewritten(const WaveRequest &Wave) {
  WaveState &W = m_Waves.at(Wave.m_Id);
  // Those that are still part of a wave drain again in the next plan.
  for (const InstanceId &Id : W.m_Request.m_Instances)
    m_State[Id].m_DrainingSince.reset();
  updateReservations();
  W.m_Request = Wave;
  W.m_RejectedSince.clear();
  reopenIfUndone(W);
}

void FleetPlanner::reopenIfUndone(WaveState &W) {
  const auto &Instances = W.m_Request.m_Instances;
  if (!W.m_Progress.m_Complete ||
      std::all_of(Instances.begin(), Instances.end(),
                  [&](const InstanceId &Id) {
                    return W.m_Progress.m_Done.count(Id) != 0;
                  }))
    return;
  W.m_Progress.m_Complete = false;
  m_ChangedWaves.insert(W.m_Request.m_Id);
}

std::vector<WaveId> FleetPlanner::takeChangedWaves(std::size_t Max) {
  std::vector<WaveId> Out;
  while (Out.size() < Max && !m_ChangedWaves.empty())
    Out.push_back(
        std::move(m_ChangedWaves.extract(m_ChangedWaves.begin()).value()));
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
                              Now < It->second.m_ExpectedUpAt))
    return true;
  const InstanceView *V = view(Id);
  return V && V->m_Listing->m_Condition == InstanceCondition::Maintenance;
}

bool FleetPlanner::hasLeft(const InstanceId &Id) const {
  auto It = m_State.find(Id);
  return It != m_State.end() && It->second.m_UnlistedSince &&
         m_ListRequestedAt >= *It->second.m_UnlistedSince + MinAbsenceTime;
}

void FleetPlanner::onNotInWave(WaveState &W, const InstanceId &Id,
                               TimePoint Now) {
  TimePoint Since = W.m_RejectedSince.emplace(Id, Now).first->second;
  if (Now < Since + MinAbsenceTime)
    return;
  W.m_Progress.m_Done.insert(Id);
  m_ChangedWaves.insert(W.m_Request.m_Id);
}

void FleetPlanner::planWave(WaveState &W, Pools &All, TimePoint Now,
                            std::chrono::milliseconds Wall,
                            std::vector<InstanceOrder> &Out) {
  std::uint32_t InMaintenance = 0;
  // Sorted by rank: the instances whose maintenance costs least come first.
  using Rank = std::tuple<bool, bool, std::size_t>;
  std::vector<std::pair<Rank, const InstanceView *>> Candidates;
  auto RankOf = [&](const InstanceView &V) -> Rank {
    auto Pool = All.find(V.m_Listing->m_Pool);
    bool Spare = Pool != All.end() && Pool->second.m_Spare;
    std::size_t Runs = Spare || !V.m_Server ? 0 : V.m_Server->m_Runs.size();
    return {!Spare, !V.m_State->m_DrainingSince.has_value(), Runs};
  };
  std::size_t Remaining = 0;
  for (const InstanceId &Id : W.m_Request.m_Instances) {
    const InstanceView *V = view(Id);
    bool Done = W.m_Progress.m_Done.count(Id) != 0;
    if (isDown(Id, Now) &&
        (Done || m_State[Id].m_Wave == W.m_Request.m_Id ||
         (V && V->m_Listing->m_Condition == InstanceCondition::Maintenance)))
      ++InMaintenance;
    if (Done || (!V && hasLeft(Id)))
      continue;
    ++Remaining;
    if (V && canOrder(*V, Now))
      Candidates.emplace_back(RankOf(*V), V);
  }
  if (Remaining == 0)
    return finishWave(W);
  std::uint32_t AvailablePlaces =
      W.m_Request.m_MaxConcurrent > InMaintenance
          ? W.m_Request.m_MaxConcurrent - InMaintenance
          : 0;
  double Rounds = std::ceil(static_cast<double>(Remaining) /
                            std::max(1u, W.m_Request.m_MaxConcurrent));
  auto Needed = Rounds * (m_Options.m_MaintenanceTime + RoundOverhead);
  auto TimeLeft = W.m_Progress.m_SeenAt + W.m_Request.m_CompleteWithin - Wall;
  bool IsUrgent = TimeLeft < Needed * UrgencyFactor;
  std::sort(Candidates.begin(), Candidates.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  for (const auto &[CandidateRank, V] : Candidates) {
    if (AvailablePlaces == 0)
      break;
    auto Pool = All.find(V->m_Listing->m_Pool);
    bool Spare = Pool != All.end() && Pool->second.m_Spare;
    // A wave that is not urgent takes no instance from a pool below its target
    // size.
    bool Draining = V->m_State->m_DrainingSince.has_value();
    if (!Spare && !Draining && !IsUrgent && Pool != All.end() &&
        Pool->second.surplus() < 0) {
      logWait(*V, "its pool has too few instances", Now);
      continue;
    }
    --AvailablePlaces;
    std::string Why =
        Spare ? "" : drainForMaintenance(*V, W.m_Request.m_Id, IsUrgent, Now);
    if (!Why.empty()) {
      logWait(*V, Why, Now);
      continue;
    }
    Out.push_back({V->m_Listing->m_Id, {}, W.m_Request.m_Id});
    markOrdered(Out.back());
  }
}

void FleetPlanner::logWait(const InstanceView &V, const std::string &Why,
                           TimePoint Now) {
  Instance &I = *V.m_State;
  if (Now < I.m_WaitLoggedAt + WaitLogInterval)
    return;
  I.m_WaitLoggedAt = Now;
  logEvent(Event::UpkeepWaits, {{"instance", V.m_Listing->m_Id.m_Text},
                                {"pool", V.m_Listing->m_Pool.m_Text},
                                {"why", Why}});
}

std::string FleetPlanner::drainForMaintenance(const InstanceView &V,
                                              const WaveId &Wave, bool IsUrgent,
                                              TimePoint Now) {
  ServerState *S = V.m_Server;
  if (!S)
    return "its backend server is not registered";
  if (!hasKnownRuns(*S))
    return "its backend server does not answer";
  Instance &I = *V.m_State;
  if (!I.m_DrainingSince || I.m_DrainingServer != S->m_Registration.m_Id)
    I.m_DrainingSince = Now;
  I.m_DrainingFor = Wave;
  I.m_DrainingServer = S->m_Registration.m_Id;
  reserve(V);
  bool TasksLeft =
      std::any_of(S->m_Runs.begin(), S->m_Runs.end(), [](const auto &Entry) {
        return !Entry.second.m_IsLongRunning;
      });
  Duration Waited = Now - *I.m_DrainingSince;
  if (TasksLeft && Waited < (IsUrgent ? UrgentDrainTimeout : DrainTimeout))
    return "its tasks have not ended";
  BlockingTask Blocking = findBlockingTask(*S);
  // The server runs more tasks of the step than may be unavailable at once, so
  // they are relocated one by one.
  if (Blocking.m_ToRelocate)
    m_Scheduler.relocate(S->m_Registration.m_Id, *Blocking.m_ToRelocate);
  return Blocking.m_Why;
}

bool FleetPlanner::isAvailable(const RunLocation &Place, const TaskId &Task) {
  ServerState *S = m_Scheduler.servers().find(Place.m_Server);
  if (!S || !S->m_Reachable || S->m_IsListedAsGone)
    return false;
  auto It = S->m_Runs.find({Task, Place.m_Number});
  if (It == S->m_Runs.end() || It->second.m_Phase != RunPhase::Running ||
      It->second.m_Percent < 100)
    return false;
  auto State = m_State.find(S->m_Registration.m_Instance);
  return State == m_State.end() ||
         (!State->second.m_Pending && !State->second.m_Ordered);
}

FleetPlanner::BlockingTask
FleetPlanner::findBlockingTask(const ServerState &S) {
  // Long-running runs by step that the maintenance of this server would stop.
  std::map<std::tuple<JobId, std::uint32_t, std::uint32_t>, std::vector<RunId>>
      RunsByStep;
  for (const auto &[Id, Run] : S.m_Runs)
    if (Run.m_IsLongRunning)
      RunsByStep[{Id.m_Task.m_Job, Id.m_Task.m_Occurrence, Id.m_Task.m_Step}]
          .push_back(Id);
  for (const auto &[StepKey, Runs] : RunsByStep) {
    const auto &[JobName, Occurrence, StepNumber] = StepKey;
    LiveJob *Job = m_Scheduler.jobs().find(JobName);
    StepState *Step = Job ? Job->step(Occurrence, StepNumber) : nullptr;
    if (!Step)
      continue;
    std::uint32_t MaxUnavailable =
        Job->m_Spec.m_Steps[StepNumber].m_MaxUnavailable;
    if (MaxUnavailable == 0)
      continue;
    std::uint32_t Unavailable = 0;
    for (std::uint32_t I = 0; I < Step->m_Tasks.size(); ++I) {
      TaskId Task{JobName, Occurrence, StepNumber, I};
      const auto &Places = Step->m_Tasks[I].m_Runs;
      if (std::none_of(Places.begin(), Places.end(), [&](const RunLocation &P) {
            return isAvailable(P, Task);
          }))
        ++Unavailable;
    }
    if (Unavailable + Runs.size() <= MaxUnavailable)
      continue;
    BlockingTask Blocking;
    Blocking.m_Why =
        "job " + JobName.m_Text + " has " + std::to_string(Unavailable) +
        " tasks away; the limit is " + std::to_string(MaxUnavailable);
    if (Unavailable == 0 && Runs.size() > MaxUnavailable)
      Blocking.m_ToRelocate = Runs.front();
    return Blocking;
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
  // Those that have left need no maintenance either.
  W.m_Progress.m_Done.insert(W.m_Request.m_Instances.begin(),
                             W.m_Request.m_Instances.end());
  m_ChangedWaves.insert(W.m_Request.m_Id);
  logEvent(Event::WaveOver, {{"wave", W.m_Request.m_Id.m_Text}});
}

} // namespace pollenspool
