#include "Links/SystemTime.h"

#include <chrono>

#include <ctime>

namespace mimosashunt {

Instant bootNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  auto SinceBoot = seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec);
  return Instant(std::chrono::duration_cast<Duration>(SinceBoot));
}

int64_t wallNow() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(Since).count();
}

} // namespace mimosashunt
