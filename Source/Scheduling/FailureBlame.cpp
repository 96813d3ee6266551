#include "Scheduling/FailureBlame.h"

#include <algorithm>

namespace mimosashunt {

bool isStepSuspect(const FailureEvidence &Evidence) {
  constexpr size_t MaxWorkersOfTask = 1;
  // Neighbours, such as a rack, may be at fault together.
  constexpr size_t MaxWorkersOfStep = 2;
  return Evidence.WorkersOfTask > MaxWorkersOfTask ||
         Evidence.WorkersOfStep > MaxWorkersOfStep;
}

Duration restartPause(uint32_t EarlyFailures, const RestartOptions &Options) {
  // The first one may have been an accident.
  if (EarlyFailures < 2)
    return Duration::zero();
  constexpr uint32_t MaxDoublings = 16;
  uint32_t Doublings = std::min(EarlyFailures - 2, MaxDoublings);
  return std::min(Options.FirstPause * (int64_t(1) << Doublings),
                  Options.MaxPause);
}

} // namespace mimosashunt
