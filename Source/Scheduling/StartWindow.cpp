#include "Scheduling/StartWindow.h"

#include <algorithm>

namespace mimosashunt {

void StartWindow::adjust(Instant Now, Duration ResponseDelay, size_t Workers) {
  if (Now - AdjustedAt < Options.AdjustInterval)
    return;
  AdjustedAt = Now;
  constexpr size_t ShrinkPercent = 75;
  constexpr size_t StepsToFullSize = 16;
  size_t FullSize =
      std::max(Options.MinFullSize, Options.StartsPerWorker * Workers);
  if (ResponseDelay > Options.TargetDelay)
    Size = Size * ShrinkPercent / 100;
  else
    Size += FullSize / StepsToFullSize;
  Size = std::clamp(Size, Options.MinSize, FullSize);
}

void StartWindow::recordPass(Instant Now, bool WasCutShort) {
  if (!WasCutShort)
    CutShortSince.reset();
  else if (!CutShortSince)
    CutShortSince = Now;
}

} // namespace mimosashunt
