#include "Links/SystemTime.h"

#include <ctime>

namespace mimosashunt {

Instant bootNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  auto SinceBoot = seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec);
  return Instant(std::chrono::duration_cast<Duration>(SinceBoot));
}

} // namespace mimosashunt
