#include "Scheduling/ResponseDelay.h"

#include <algorithm>

namespace mimosashunt {

namespace {

constexpr Duration PeriodLength = seconds(1);
/// A mean over fewer responses says nothing of the leader.
constexpr int64_t MinCount = 4;

} // namespace

void ResponseDelay::record(Instant Now, Duration Delay) {
  if (Now - PresentSince >= PeriodLength) {
    bool IsNext = Now - PresentSince < 2 * PeriodLength;
    Last = IsNext ? Present : Period();
    Present = Period();
    PresentSince = Now;
  }
  Present.Sum += Delay;
  ++Present.Count;
}

Duration ResponseDelay::mean(Instant Now) const {
  if (Now - PresentSince >= 2 * PeriodLength)
    return Duration::zero();
  Duration Longer = Last.Count < MinCount ? Duration::zero() : Last.mean();
  return Present.Count < MinCount ? Longer : std::max(Longer, Present.mean());
}

} // namespace mimosashunt
