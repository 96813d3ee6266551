#include "Scheduling/ResponseDelay.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration Period = seconds(1);

} // namespace

void ResponseDelay::startPeriod(Instant Now) {
  if (Now - PeriodStart < Period)
    return;
  bool IsNext = Now - PeriodStart < 2 * Period;
  InPeriodBefore = IsNext ? InPeriod : Duration::zero();
  InPeriod = Duration::zero();
  PeriodStart = Now;
}

void ResponseDelay::record(Instant Now, Duration Delay) {
  startPeriod(Now);
  InPeriod = std::max(InPeriod, Delay);
}

Duration ResponseDelay::longest(Instant Now) const {
  if (Now - PeriodStart >= 2 * Period)
    return Duration::zero();
  return std::max(InPeriod, InPeriodBefore);
}

} // namespace mimosashunt
