//===- Arrivals.h - When which request arrives ------------------*- C++ -*-===//
//
// Open loop: arrivals follow from the options and the seed alone, never from
// how fast answers come. Deterministic; no clock inside.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_LOAD_ARRIVALS_H
#define STANDIN_LOAD_ARRIVALS_H

#include "load/Options.h"
#include "load/Request.h"
#include <chrono>
#include <optional>
#include <random>

namespace standin {

class Arrivals {
public:
  using Microseconds = std::chrono::microseconds;

  /// \p Options must outlive this.
  explicit Arrivals(const LoadOptions &Options);
  /// When the next request is due since the start, or nothing at the end.
  std::optional<Microseconds> nextDue() const;
  /// The request that is due next. Precondition: nextDue() gives a time.
  LoadRequest take();

private:
  struct Service {
    std::size_t m_Index = 0;
    /// Mean requests a second.
    double m_Rate = 0;
    Microseconds m_Next{0};
  };

  void drawNext(Service &Drawn);
  double rateAt(const Service &Asked, Microseconds Time) const;
  const Service &earliest() const;
  std::size_t drawWeighted(const std::vector<Weighted> &Choices);
  std::string drawBody();

  const LoadOptions &m_Options;
  std::mt19937_64 m_Random;
  std::vector<Service> m_Services;
  std::uint64_t m_Count = 0;
};

} // namespace standin

#endif // STANDIN_LOAD_ARRIVALS_H
