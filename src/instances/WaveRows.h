//===- WaveRows.h - How the progress of waves lies in the store -*- C++ -*-===//

#ifndef POLLENSPOOL_INSTANCES_WAVEROWS_H
#define POLLENSPOOL_INSTANCES_WAVEROWS_H

#include "instances/FleetPlanner.h"

namespace pollenspool {

inline constexpr char WavesTable[] = "upkeep";

/// Thread safe. Errors: InvalidMessage.
std::string encodeWaveProgress(const WaveProgress &Progress);
Result<WaveProgress> decodeWaveProgress(const std::string &Text);

} // namespace pollenspool

#endif // POLLENSPOOL_INSTANCES_WAVEROWS_H
