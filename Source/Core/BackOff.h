// Pauses that grow while something keeps failing.

#ifndef MIMOSASHUNT_CORE_BACKOFF_H
#define MIMOSASHUNT_CORE_BACKOFF_H

#include "Core/Time.h"

#include <algorithm>
#include <cstdint>

namespace mimosashunt {

/// Returns \p First, doubled \p Doublings times, and at most \p Max.
inline Duration doubledPause(Duration First, Duration Max, uint32_t Doublings) {
  constexpr uint32_t MaxDoublings = 20; // The product fits into a Duration.
  return std::min(First * (int64_t(1) << std::min(Doublings, MaxDoublings)),
                  Max);
}

} // namespace mimosashunt

#endif
