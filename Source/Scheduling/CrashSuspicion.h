// Decides how carefully a task is started whose earlier runs were lost with
// their workers. Expected fault: a task that crashes each worker that starts
// it, at once, beside twenty others whose only fault is to have been there.
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
  /// A run that survived for longer is not suspected at its first loss: a task
  /// that crashes its workers does so when it starts.
  Duration MaxFreshAge = milliseconds(150);
  /// A run on trial has its worker to itself for twice the longest time that
  /// its task has survived before, within these bounds.
  Duration MinTrialDuration = milliseconds(300);
  Duration MaxTrialDuration = seconds(1);
  /// How long a poll waits at a worker with a run on trial.
  Duration TrialPollTimeout = milliseconds(100);
  /// No task is suspected at its first loss when this many workers, without a
  /// job that is on all of them, fall silent within the window.
  size_t MinCommonSilences = 4; // Two or three may each have their own killer.
  Duration CommonSilenceWindow = milliseconds(50);
  /// A run that survived for longer than MaxFreshAge is not blamed for a crash
  /// if a worker without any task of its job fell silent within this time of
  /// it.
  Duration CommonCauseWindow = milliseconds(700);
  /// A long-running task that has survived for this long is cleared.
  Duration ClearingAge = seconds(3);
  /// Largest part of a pool that holds runs on trial, in percent, workers that
  /// fell silent under one included. More may while the pool has as many
  /// workers to spare.
  size_t MaxTrialPercent = 25;
  /// How long a worker gets no other tasks so that it becomes free for a trial.
  Duration ReservationDuration = seconds(2);
  /// A suspect for which no worker becomes free is started beside others this
  /// long after it was lost. Callers of long-running tasks must not wait for
  /// long, while a late short job is late in any case.
  Duration MaxTrialWait = seconds(12);
  Duration MaxLongRunningTrialWait = seconds(5);
};

/// What is allowed to start of a step.
struct StepCaution {
  /// Nothing: the evidence convicts a task once its crashes are certain.
  bool IsHeld = false;
  /// Only this task, since the others are likely to do the same.
  std::optional<uint32_t> Suspect;
  /// Nothing else may run on the suspect's worker.
  bool NeedsTrial = false;
  /// One more crash would convict it, so it can wait for those that are more
  /// likely to be innocent.
  bool IsNearlyConvicted = false;

  bool mayStart(uint32_t Index) const {
    return !IsHeld && (!Suspect || *Suspect == Index);
  }
};

StepCaution assessStep(const StepSpec &Spec, const StepProgress &Step,
                       const SuspicionOptions &Options, Instant Now);

/// Returns for how long the task's next run is on trial.
Duration trialDuration(const TaskProgress &Task,
                       const SuspicionOptions &Options);

/// Returns how many workers of a pool may hold runs on trial.
size_t maxTrials(size_t PoolSize, const SuspicionOptions &Options);

/// Lets the tasks of the step start freely again, but for those that were lost
/// more than once, after \p Passed has survived its trial.
void releaseStep(StepProgress &Step, uint32_t Passed);

} // namespace mimosashunt

#endif
