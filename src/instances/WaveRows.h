//===- WaveRows.h - Serialization of wave progress --------------*- C++ -*-===//

#ifndef POLLENSPOOL_INSTANCES_WAVEROWS_H
#define POLLENSPOOL_INSTANCES_WAVEROWS_H

#include "instances/FleetPlanner.h"

namespace pollenspool {

/// Table of the wave progress: one row for each wave, with its id as the key.
inline constexpr char WavesTable[] = "upkeep";

/// Value of a wave's row in WavesTable, as JSON. Thread safe.
std::string encodeWaveProgress(const WaveProgress &Progress);
/// Thread safe. Errors: InvalidMessage.
Result<WaveProgress> decodeWaveProgress(const std::string &Text);

} // namespace pollenspool

#endif // POLLENSPOOL_INSTANCES_WAVEROWS_H
