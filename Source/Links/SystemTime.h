// Reads the system clock whose time is passed to the decision core.

#ifndef MIMOSASHUNT_LINKS_SYSTEMTIME_H
#define MIMOSASHUNT_LINKS_SYSTEMTIME_H

#include "Core/Time.h"

namespace mimosashunt {

/// Returns the time of CLOCK_BOOTTIME, which includes time that the machine was
/// suspended.
Instant bootNow();

} // namespace mimosashunt

#endif
