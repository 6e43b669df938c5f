//===- FuzzMain.h - Main function of the fuzz programs ----------*- C++ -*-===//
//
// NameFuzz --seed N [--steps M]: prints the seed. Exits with 0 if no oracle
// check fails; else prints the failing step and the command that reproduces the
// failure, and exits with 1.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FUZZ_FUZZMAIN_H
#define POLLENSPOOL_FUZZ_FUZZMAIN_H

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string>

namespace pollenspool {

struct FuzzArguments {
  std::uint64_t m_Seed = 1;
  std::uint64_t m_Steps = 0;
};

/// Thrown when a check of the oracle fails.
class OracleFailure : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

inline FuzzArguments readFuzzArguments(int Argc, char **Argv,
                                       std::uint64_t DefaultSteps) {
  FuzzArguments Arguments;
  Arguments.m_Steps = DefaultSteps;
  for (int I = 1; I + 1 < Argc; I += 2) {
    std::string Name = Argv[I];
    std::uint64_t Value = std::strtoull(Argv[I + 1], nullptr, 10);
    if (Name == "--seed")
      Arguments.m_Seed = Value;
    else if (Name == "--steps")
      Arguments.m_Steps = Value;
  }
  return Arguments;
}

/// Runs \p Body(Arguments, Step), prints the result and returns the exit code.
/// \p Body returns a summary, keeps the number of its current step in Step and
/// throws OracleFailure if a check fails.
template <typename Function>
int runFuzz(int Argc, char **Argv, std::uint64_t DefaultSteps, Function Body) {
  FuzzArguments Arguments = readFuzzArguments(Argc, Argv, DefaultSteps);
  std::uint64_t Step = 0;
  try {
    std::string Summary = Body(Arguments, Step);
    std::cout << "seed " << Arguments.m_Seed << ": ok, " << Summary << "\n";
    return 0;
  } catch (const OracleFailure &Failure) {
    std::cout << "seed " << Arguments.m_Seed << ": step " << Step << ": "
              << Failure.what() << "\nrepeat: " << Argv[0] << " --seed "
              << Arguments.m_Seed << " --steps " << Arguments.m_Steps << "\n";
    return 1;
  }
}

} // namespace pollenspool

#endif // POLLENSPOOL_FUZZ_FUZZMAIN_H
