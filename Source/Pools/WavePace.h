// Decides how many VMs of a maintenance wave are taken at once. Load pattern: a
// wave over half of the fleet is announced while queues burst in turn; as many
// VMs down as the wave allows would leave a burst without the room it needs.

#ifndef MIMOSASHUNT_POOLS_WAVEPACE_H
#define MIMOSASHUNT_POOLS_WAVEPACE_H

#include "Core/Time.h"

#include <cstddef>

namespace mimosashunt {

struct WavePace {
  /// VMs with work on them that are emptied or down at once; at least 1.
  size_t AtOnce = 1;
  /// The wave gets late unless VMs of busy pools are taken too.
  bool Hurry = false;
  bool operator==(const WavePace &) const = default;
};

/// What a wave still has to do.
struct WaveRest {
  size_t Waiting = 0; // VMs that are not taken yet.
  size_t InWork = 0;  // VMs that are emptied or down.
  size_t MaxDown = 1;
  Duration Left{};      // Until the wave is late; may be below zero.
  Duration RoundTime{}; // To empty one VM and maintain it.
};

WavePace wavePace(const WaveRest &Rest);

} // namespace mimosashunt

#endif
