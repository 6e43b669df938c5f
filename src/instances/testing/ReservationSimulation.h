//===- ReservationSimulation.h - A planner beside faults --------*- C++ -*-===//
//
// Runs real schedulers and planners of successive leaders against simulated
// instances that move, crash and start again under their server's ID, and a
// platform whose answers and lists are incomplete.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_INSTANCES_TESTING_RESERVATIONSIMULATION_H
#define POLLENSPOOL_INSTANCES_TESTING_RESERVATIONSIMULATION_H

#include "instances/FleetPlanner.h"
#include "scheduling/ProgressWriter.h"
#include <random>

namespace pollenspool {

/// Describes the first server of \p Core that is kept from taking tasks without
/// a reason of \p Planner, or takes tasks despite one; empty if there is none.
/// To be called after a plan. Not thread safe.
std::string findUnfoundedReservation(Scheduler &Core,
                                     const FleetPlanner &Planner);

/// Two pools whose demand changes, and a spare pool. Not thread safe. Throws
/// std::runtime_error if a reservation has no reason, or lasts without use.
class ReservationSimulation : public SchedulerOrders {
public:
  explicit ReservationSimulation(std::uint64_t Seed);

  /// Advances the time by \p Length, with faults or without.
  void run(Duration Length, bool WithFaults);
  /// A server that is up, registered and reserved; empty if there is none.
  std::string findReserved();
  std::string summary() const;

  void start(const StartOrder &Order) override { m_Starts.push_back(Order); }
  void stop(const StopOrder &Order) override { m_Stops.push_back(Order); }
  void poll(const PollOrder &Order) override { m_Polls.push_back(Order); }
  void pace(const PaceOrder &) override {}
  void advise(const AdviceOrder &) override {}

private:
  struct Machine {
    InstanceListing m_Listing;
    std::int64_t m_StartTimeMs = 1;
    TimePoint m_ReturnsAt{};
    std::map<RunId, TimePoint> m_Runs;
    std::vector<EndReport> m_Ends;
    std::uint64_t m_LastEnd = 0;

    bool isUp() const { return m_Listing.m_Condition == InstanceCondition::Up; }
  };
  /// An order that the platform has got, and what it answers.
  struct SentOrder {
    InstanceOrder m_Order;
    TimePoint m_ExecutedAt{};
    bool m_IsLost = false;
  };

  void step(bool WithFaults);
  void injectFault();
  void beginTerm();
  void returnInstances();
  void endRuns(Machine &M);
  void answerOrders();
  void plan(bool WithFaults);
  void checkReservedTimes();
  void list(bool WithFaults);
  void record();
  void submit(const PoolName &Pool);
  void rewriteWave(bool IsEmpty);
  InstanceOrderResult execute(const InstanceOrder &Order);
  /// Ends the server of \p M; the next one comes after \p Away.
  void shutDown(Machine &M, InstanceCondition Condition, Duration Away);
  ServerRegistration registrationOf(const Machine &M) const;
  void registerServer(const Machine &M);
  Machine *findUp(const ServerAddress &Address);
  std::chrono::milliseconds wall() const;
  bool chance(int Percent) { return m_Random() % 100 < unsigned(Percent); }
  Machine &anyMachine() { return m_Machines[m_Random() % m_Machines.size()]; }

  std::mt19937_64 m_Random;
  TimePoint m_Now{std::chrono::hours(1)};
  std::vector<Machine> m_Machines;
  std::unique_ptr<Scheduler> m_Core;
  std::unique_ptr<ProgressWriter> m_Writer;
  std::unique_ptr<FleetPlanner> m_Planner;
  std::map<std::string, JobSpec> m_Jobs;
  std::vector<StartOrder> m_Starts;
  std::vector<StopOrder> m_Stops;
  std::vector<PollOrder> m_Polls;
  std::vector<SentOrder> m_Sent;
  /// Since when servers that are up have been reserved without an order.
  std::map<ServerId, TimePoint> m_ReservedSince;
  Term m_Term = 0;
  RowVersion m_Version = 100;
  TimePoint m_NextPlanAt{}, m_NextListAt{};
  std::size_t m_NextServer = 0, m_NextJob = 0;
  std::size_t m_Orders = 0, m_Reserved = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_INSTANCES_TESTING_RESERVATIONSIMULATION_H
