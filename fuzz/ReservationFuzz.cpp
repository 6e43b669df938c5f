//===- ReservationFuzz.cpp - Fuzzing of reserved servers ------------------===//
//
// ReservationFuzz --seed N [--steps M] runs moves and a wave that is rewritten
// beside lost answers, late orders, incomplete lists, crashes, restarts under
// the same ID, late registrations and changes of leader. Each server that is
// kept from taking tasks needs a reason after each plan. Once the faults, the
// wave and the demand have ended, no server may be reserved.
//
//===----------------------------------------------------------------------===//

#include "FuzzMain.h"
#include "base/Log.h"
#include "instances/testing/ReservationSimulation.h"

using namespace pollenspool;

namespace {

/// Long enough for the remaining tasks and moves.
constexpr Duration QuietTime = std::chrono::seconds(60);

std::string simulate(const FuzzArguments &Arguments, std::uint64_t &Step) {
  ReservationSimulation Simulation(Arguments.m_Seed);
  try {
    for (Step = 0; Step < Arguments.m_Steps; ++Step)
      Simulation.run(std::chrono::seconds(1), true);
    Simulation.run(QuietTime, false);
  } catch (const std::runtime_error &Violation) {
    throw OracleFailure(Violation.what());
  }
  std::string Reserved = Simulation.findReserved();
  if (!Reserved.empty())
    throw OracleFailure("still reserved after the faults: " + Reserved);
  return Simulation.summary();
}

} // namespace

int main(int Argc, char **Argv) {
  setUpLog(Severity::Error, "fuzz");
  return runFuzz(Argc, Argv, 300, simulate);
}
