#include "Pools/TakeoverPause.h"

#include "Pools/VmTypes.h"

namespace mimosashunt {

bool TakeoverPause::isOver(Instant Now, UnixMillis WallNow,
                           UnixMillis WorkerStartedAt) const {
  Duration Since = Now - LeaderSince;
  if (Since >= Options.GracePeriod)
    return true;
  // The predecessor sent its last order before this leadership began.
  constexpr Duration Margin = milliseconds(100);
  if (!Options.PlatformChecksTokens && Since < MaxVmOrderLifetime + Margin)
    return false;
  // The two wall-clock times are of machines whose clocks may differ.
  constexpr int64_t MaxClockSkewMs = 5000;
  return WorkerStartedAt > 0 &&
         WallNow - WorkerStartedAt >
             toMillis(Options.GracePeriod) + MaxClockSkewMs;
}

} // namespace mimosashunt
