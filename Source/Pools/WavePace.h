// Decides how many VMs of a maintenance wave are drained at once. Load pattern:
// a wave over half of the fleet is announced while queues burst in turn; taking
// down as many VMs as the wave allows would leave a burst without the capacity
// it needs.

#ifndef MIMOSASHUNT_POOLS_WAVEPACE_H
#define MIMOSASHUNT_POOLS_WAVEPACE_H

#include "Core/Time.h"

#include <cstddef>

namespace mimosashunt {

/// How fast a wave should proceed.
struct WavePace {
  /// Maximum number of VMs with running tasks that are drained or down at once;
  /// at least 1.
  size_t Concurrency = 1;
  /// The wave would miss its deadline unless VMs of busy pools are taken, too.
  bool IncludeBusyPools = false;
  bool operator==(const WavePace &) const = default;
};

/// The state of a wave.
struct WaveProgress {
  size_t Waiting = 0;    // VMs not yet started.
  size_t InProgress = 0; // VMs that are being drained or are down.
  size_t MaxDown = 1;
  Duration
      TimeLeft{}; // Until the deadline of the wave; negative once it is late.
  Duration RoundDuration{}; // Time to drain and maintain one VM.
};

/// Computes the lowest concurrency that finishes the wave in time.
WavePace computeWavePace(const WaveProgress &Progress);

} // namespace mimosashunt

#endif
