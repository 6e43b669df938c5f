//===- ArrivalGenerator.h - Arrival times of requests -----------*- C++ -*-===//
//
// Generates an open-loop load: the arrivals depend on the options and the seed
// alone, never on how fast the system answers. Deterministic; reads no clock.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_LOAD_ARRIVALGENERATOR_H
#define STANDIN_LOAD_ARRIVALGENERATOR_H

#include "load/LoadOptions.h"
#include "load/LoadRequest.h"
#include <chrono>
#include <optional>
#include <random>

namespace standin {

/// Generates requests in the order of their arrival times. Not thread safe.
class ArrivalGenerator {
public:
  using Microseconds = std::chrono::microseconds;

  /// \p Options must outlive the generator.
  explicit ArrivalGenerator(const LoadOptions &Options);
  /// Arrival time of the next request, measured from the start of the load, or
  /// std::nullopt if no further request arrives.
  std::optional<Microseconds> nextDue() const;
  /// Returns the next request and advances to the one after it. Precondition:
  /// nextDue() has a value.
  LoadRequest take();

private:
  struct Service {
    std::size_t m_Index = 0;
    /// Mean arrival rate in requests per second, before the profile applies.
    double m_Rate = 0;
    Microseconds m_NextArrival{0};
  };

  void drawNext(Service &Target);
  double rateAt(const Service &Target, Microseconds Time) const;
  const Service &earliest() const;
  std::size_t drawIndex(const std::vector<WeightedName> &Choices);
  std::string drawBody();

  const LoadOptions &m_Options;
  std::mt19937_64 m_Random;
  std::vector<Service> m_Services;
  std::uint64_t m_Count = 0;
};

} // namespace standin

#endif // STANDIN_LOAD_ARRIVALGENERATOR_H
