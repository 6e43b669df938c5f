//===- JobSimulation.h - Leaders, servers and demand in virtual time *- C++
//-*-//
//
// Real scheduling cores against simulated servers and a simulated store. Used
// by fuzzing (with faults, against RunOracle) and by benchmarks (without).
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SCHEDULING_TESTING_JOBSIMULATION_H
#define POLLENSPOOL_SCHEDULING_TESTING_JOBSIMULATION_H

#include "scheduling/ProgressWriter.h"
#include "scheduling/testing/SimServers.h"

namespace pollenspool {

struct SimulationSettings {
  std::uint64_t m_Seed = 1;
  std::size_t m_Servers = 8;
  std::int64_t m_CoresPerServer = 32;
  SimFaults m_Faults;
  /// Jobs a second.
  double m_Rate = 10;
  std::uint32_t m_MaxSteps = 3;
  std::uint32_t m_MaxWidth = 12;
  Duration m_MeanWork = std::chrono::milliseconds(800);
  std::int64_t m_MeanMilliCores = 1800;
  std::uint32_t m_Attempts = 3;
};

struct SimulationFigures {
  std::uint64_t m_Submitted = 0;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_OnTime = 0;
  /// After the objective, but within three times of it.
  std::uint64_t m_Late = 0;
  std::uint64_t m_Failed = 0;
  std::uint64_t m_Terms = 0;
};

/// One pool, one queue and the leaders of its terms.
class JobSimulation {
public:
  explicit JobSimulation(const SimulationSettings &Settings);
  ~JobSimulation();

  /// Lets time pass with the demand of the settings, or without.
  void run(Duration For, bool WithDemand = true);
  /// Begins the next term. The earlier leader goes on until it is fenced off
  /// or its time is up.
  void changeLeader();
  /// As changeLeader(), but the earlier leader is gone at once.
  void killLeader();
  void crashServer(std::size_t Index);
  /// From now on the server works this many times slower than it should.
  void slowServer(std::size_t Index, double Factor);
  /// Orders between the leader and the server are lost until heal().
  void cutServer(std::size_t Index);
  void heal();
  void cancelSomeJob();
  void setRate(double JobsASecond) { m_Settings.m_Rate = JobsASecond; }
  void setFaults(const SimFaults &Faults) { m_Settings.m_Faults = Faults; }

  const SimulationFigures &figures() const { return m_Figures; }
  std::size_t liveJobs() const { return m_Live.size(); }
  /// What the leader knows of the first live job, for a failure's message.
  std::string describeLive();
  std::size_t servers() const { return m_Servers.size(); }
  std::mt19937_64 &random() { return m_Random; }
  Scheduler &core();

private:
  class Instance;
  struct StateRow {
    JobProgress m_Progress;
    RowVersion m_Version = 0;
  };
  struct LiveRow {
    JobSpec m_Spec;
    RowVersion m_Version = 0;
    TimePoint m_SubmittedAt{};
    TimePoint m_Objective{};
  };

  void submit();
  void scheduleSubmit();
  void startTerm();
  CommitOutcome apply(const RowTransaction &Txn);
  std::chrono::milliseconds wall() const;
  bool chance(double Share);
  Duration workOf(const TaskId &Task);
  Duration chainOf(const JobSpec &Job);

  SimulationSettings m_Settings;
  VirtualClock m_Clock;
  std::mt19937_64 m_Random;
  RunOracle m_Oracle{m_Clock};
  std::vector<std::unique_ptr<SimServer>> m_Servers;
  std::map<std::string, LiveRow> m_Live;
  std::map<std::string, StateRow> m_States;
  std::vector<std::unique_ptr<Instance>> m_Leaders;
  RowVersion m_Version = 10;
  Term m_Term = 0;
  bool m_Demand = false;
  SimulationFigures m_Figures;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_TESTING_JOBSIMULATION_H
