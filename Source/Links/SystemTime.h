// Reads the system clocks whose time is passed to the decision core.

#ifndef MIMOSASHUNT_LINKS_SYSTEMTIME_H
#define MIMOSASHUNT_LINKS_SYSTEMTIME_H

#include "Core/Time.h"

#include <cstdint>

namespace mimosashunt {

/// Returns the time of CLOCK_BOOTTIME, which includes time that the machine was
/// suspended.
Instant bootNow();
/// Returns the time of day in milliseconds since 1970. It may jump.
int64_t wallNow();

} // namespace mimosashunt

#endif
