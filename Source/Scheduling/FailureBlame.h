// Decides whether a failed or stalled run is held against its worker or against
// its step, and how long a lasting task waits before it is started again.
// Expected faults: a worker that fails all that it starts, beside steps that
// are sound; and a step that fails wherever it runs, beside workers that are.

#ifndef MIMOSASHUNT_SCHEDULING_FAILUREBLAME_H
#define MIMOSASHUNT_SCHEDULING_FAILUREBLAME_H

#include "Core/Time.h"

#include <cstddef>
#include <cstdint>

namespace mimosashunt {

/// The workers on which runs have failed or stalled, and none has done well
/// since.
struct FailureEvidence {
  size_t WorkersOfTask = 0; // Runs of the same task.
  size_t WorkersOfStep = 0; // Runs of any task of the step.
  bool operator==(const FailureEvidence &) const = default;
};

/// On so many workers a task has to fail until its step is suspect.
inline constexpr size_t WorkersToSuspectTask = 2;
/// The same for the tasks of a step together. More, since neighbours such as a
/// rack may be at fault together.
inline constexpr size_t WorkersToSuspectStep = 3;

/// Returns true if the step is more likely at fault than the workers.
bool isStepSuspect(const FailureEvidence &Evidence);

struct RestartOptions {
  /// A lasting task that fails sooner than this after its start counts against
  /// its worker, unless its step is suspect.
  Duration EarlyFailureAge = milliseconds(1500);
  /// A lasting task that has run for this long does well.
  Duration LastingAge = seconds(3);
  /// The pause after the second failure in a row before LastingAge; each
  /// further one doubles it. A lasting task may not be away for 3 s.
  Duration FirstPause = milliseconds(250);
  Duration MaxPause = seconds(2);
};

/// Returns how long a lasting task waits after \p EarlyFailures failures in a
/// row before LastingAge.
Duration restartPause(uint32_t EarlyFailures, const RestartOptions &Options);

} // namespace mimosashunt

#endif
