#include "Scheduling/FailureBlame.h"

#include "Core/BackOff.h"

namespace mimosashunt {

bool isStepSuspect(const FailureEvidence &Evidence) {
  return Evidence.WorkersOfTask >= WorkersToSuspectTask ||
         Evidence.WorkersOfStep >= WorkersToSuspectStep;
}

Duration restartPause(uint32_t EarlyFailures, const RestartOptions &Options) {
  // The first one may have been an accident.
  if (EarlyFailures < 2)
    return Duration::zero();
  return doubledPause(Options.FirstPause, Options.MaxPause, EarlyFailures - 2);
}

} // namespace mimosashunt
