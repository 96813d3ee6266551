// Time types of the decision core. The core never reads a clock: each daemon
// passes in the current time of a clock that keeps counting while the machine
// is suspended.

#ifndef MIMOSASHUNT_CORE_TIME_H
#define MIMOSASHUNT_CORE_TIME_H

#include <chrono>
#include <cstdint>

namespace mimosashunt {

/// Time spans have microsecond resolution.
using Duration = std::chrono::microseconds;

/// Clock tag for time since boot. It has no now(), because the daemons supply
/// the time.
struct BootClock {
  using duration = Duration;                             // NOLINT
  using rep = duration::rep;                             // NOLINT
  using period = duration::period;                       // NOLINT
  using time_point = std::chrono::time_point<BootClock>; // NOLINT
  static constexpr bool is_steady = true;                // NOLINT
};

/// A point in time on the boot-time clock of one machine. Instants of different
/// machines must not be compared.
using Instant = BootClock::time_point;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts to milliseconds, rounding towards zero.
inline int64_t toMillis(Duration Value) {
  return std::chrono::duration_cast<milliseconds>(Value).count();
}

} // namespace mimosashunt

#endif
