//===- ProcessorTime.h - Processor time of this process ---------*- C++ -*-===//

#ifndef POLLENSPOOL_NET_PROCESSORTIME_H
#define POLLENSPOOL_NET_PROCESSORTIME_H

#include "base/Time.h"

namespace pollenspool {

/// Processor time that all threads of this process have used, in user and
/// kernel mode. Thread safe.
Duration processorTime();

/// Measures the processor time that the process uses from the construction on.
/// Not thread safe.
class ProcessorTimer {
public:
  ProcessorTimer() : m_Start(processorTime()) {}
  Duration elapsed() const { return processorTime() - m_Start; }

private:
  Duration m_Start;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_PROCESSORTIME_H
