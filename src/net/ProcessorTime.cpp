//===- ProcessorTime.cpp - Processor time of this process -----------------===//

#include "net/ProcessorTime.h"
#include <sys/resource.h>

namespace pollenspool {

Duration processorTime() {
  rusage Usage{};
  // Cannot fail with these arguments.
  getrusage(RUSAGE_SELF, &Usage);
  auto ToDuration = [](const timeval &T) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::seconds(T.tv_sec) + std::chrono::microseconds(T.tv_usec));
  };
  return ToDuration(Usage.ru_utime) + ToDuration(Usage.ru_stime);
}

} // namespace pollenspool
