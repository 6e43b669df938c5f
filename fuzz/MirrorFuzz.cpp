//===- MirrorFuzz.cpp - Fuzzing of table mirrors --------------------------===//
//
// MirrorFuzz --seed N [--steps M] mirrors a table of each shape from a
// simulated store behind a link of limited rate. Connections are reset, the
// store falls silent, the link becomes narrow, and rows change all the time and
// in bursts. Once the store and the link work again, the newest rows must be
// reported within a time that follows from their size and the rate of the link.
//
//===----------------------------------------------------------------------===//

#include "FuzzMain.h"
#include "base/Log.h"
#include "store/testing/MirrorSimulation.h"

using namespace pollenspool;

int main(int Argc, char **Argv) {
  setUpLog(Severity::Error, "MirrorFuzz");
  return runFuzz(
      Argc, Argv, 150, [](FuzzArguments Arguments, std::uint64_t &Step) {
        std::size_t Checks = 0;
        for (TableShape Shape : {TableShape::LargeRows, TableShape::ManyRows,
                                 TableShape::ManyPartitions}) {
          MirrorSimulationSettings Settings;
          Settings.m_Seed = Arguments.m_Seed;
          Settings.m_Shape = Shape;
          MirrorSimulation Simulation(Settings);
          for (Step = 0; Step < Arguments.m_Steps; ++Step)
            if (auto Violation = Simulation.step())
              throw OracleFailure(*Violation);
          if (auto Violation = Simulation.settle())
            throw OracleFailure(*Violation);
          Checks += Simulation.checks();
        }
        return std::to_string(Checks) + " checks";
      });
}
