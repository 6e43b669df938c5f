//===- PartCosts.h - Processor time by part of a benchmark ------*- C++ -*-===//

#ifndef POLLENSPOOL_BENCHMARKS_PARTCOSTS_H
#define POLLENSPOOL_BENCHMARKS_PARTCOSTS_H

#include <array>
#include <cstddef>
#include <ctime>
#include <numeric>

namespace pollenspool {

/// Processor time of this thread in milliseconds.
inline double cpuMs() {
  timespec T{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &T);
  return static_cast<double>(T.tv_sec) * 1e3 +
         static_cast<double>(T.tv_nsec) / 1e6;
}

/// Sums up the processor time of \p Parts parts of a benchmark, without that of
/// reading the clock. Not thread safe.
template <std::size_t Parts> class PartCosts {
public:
  PartCosts() {
    constexpr int Repeats = 10000;
    double Start = cpuMs();
    for (int N = 0; N < Repeats; ++N)
      cpuMs();
    m_ReadMs = (cpuMs() - Start) / Repeats;
  }

  /// Calls \p Work, adds its processor time to \p Part and returns its result.
  template <typename F> auto measure(std::size_t Part, F Work) {
    struct Adder {
      PartCosts &m_Costs;
      std::size_t m_Part;
      double m_Start = cpuMs();
      ~Adder() { m_Costs.m_Ms[m_Part] += cpuMs() - m_Start - m_Costs.m_ReadMs; }
    } Add{*this, Part};
    return Work();
  }

  void reset() { m_Ms = {}; }
  const std::array<double, Parts> &all() const { return m_Ms; }
  double total() const {
    return std::accumulate(m_Ms.begin(), m_Ms.end(), 0.0);
  }

private:
  std::array<double, Parts> m_Ms{};
  double m_ReadMs = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_BENCHMARKS_PARTCOSTS_H
