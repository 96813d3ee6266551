// Decides how carefully a task is started whose earlier runs were lost with
// their workers. Expected fault: a task that crashes each worker that starts
// it, at once, beside twenty others that only happened to be there. A suspect
// runs first as a canary, alone on a worker, before the rest of its step.
// Restraint acts on silence, since a crash is certain only seconds later; jobs
// are given up on certain crashes alone (see Jobs/RunLoss.h).

#ifndef MIMOSASHUNT_SCHEDULING_CRASHSUSPICION_H
#define MIMOSASHUNT_SCHEDULING_CRASHSUSPICION_H

#include "Core/Time.h"
#include "Scheduling/JobProgress.h"

#include <optional>
#include <vector>

namespace mimosashunt {

struct SuspicionOptions {
  /// A canary is a run that has its worker to itself for twice the longest time
  /// that its task has survived before, within these bounds.
  Duration MinCanaryDuration = milliseconds(300);
  Duration MaxCanaryDuration = seconds(1);
  /// No task is suspected at its first loss when this many workers, without a
  /// job that is on all of them, fall silent within the window.
  size_t MinCommonSilences = 4; // Fewer may each have a cause of their own.
  Duration CommonSilenceWindow = milliseconds(50);
  /// A run that has survived for so long is not blamed for a crash if a worker
  /// without any task of its job fell silent within the window of it, for a few
  /// times.
  Duration MinUnrelatedAge = milliseconds(500);
  size_t MaxUnrelatedLosses = 3;
  Duration CommonCauseWindow = milliseconds(700);
  /// A long-running task that has survived for this long is cleared. Only its
  /// start is judged: it may be there for hours before its worker crashes.
  Duration ClearingAge = milliseconds(1500);
  /// Largest part of a pool that holds canaries, in percent, workers
  /// that fell silent under one included. More may while the pool has idle
  /// workers.
  size_t MaxCanaryPercent = 25;
  /// How long a worker gets no other tasks so that it becomes free for a
  /// canary.
  Duration ReservationDuration = seconds(2);
  /// A suspect is started beside others if no worker becomes free for it within
  /// this long, or three times as long if one more crash reaches the limit.
  Duration MaxCanaryWait = seconds(5);
  /// A long-running task is, too, this long after it was lost, since its
  /// callers are without it meanwhile. A late short job is late in any case.
  Duration MaxLongRunningAbsence = seconds(9);
};

/// What is allowed to start of a step.
struct StepCaution {
  /// Nothing: the job fails once the suspected crashes are certain.
  bool IsHeld = false;
  /// Only this task, since the others are likely to do the same.
  std::optional<uint32_t> Suspect;
  /// Nothing else may run on the suspect's worker.
  bool NeedsCanary = false;

  bool mayStart(uint32_t Index) const {
    return !IsHeld && (!Suspect || *Suspect == Index);
  }
};

StepCaution assessStep(const StepSpec &Spec, const StepProgress &Step,
                       const SuspicionOptions &Options, Instant Now);

/// Returns for how long the task's next run is a canary.
Duration canaryDuration(const TaskProgress &Task,
                        const SuspicionOptions &Options);

/// Returns how many workers of a pool may hold canaries.
size_t maxCanaries(size_t PoolSize, const SuspicionOptions &Options);

/// Lets the tasks of the step start freely again, but for those that were lost
/// more than once, after \p Passed has survived as a canary.
void releaseStep(StepProgress &Step, uint32_t Passed);

} // namespace mimosashunt

#endif
