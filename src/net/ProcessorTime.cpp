//===- ProcessorTime.cpp - Processor time of this process -----------------===//

#include "net/ProcessorTime.h"
#include <ctime>

namespace pollenspool {

Duration processorTime() {
  timespec Time{};
  // Cannot fail: every supported kernel has this clock.
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace pollenspool
