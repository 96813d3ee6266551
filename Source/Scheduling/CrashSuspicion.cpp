#include "Scheduling/CrashSuspicion.h"

#include <algorithm>

namespace mimosashunt {

namespace {

bool isSuspect(const TaskProgress &Task) {
  if (Task.Done || Task.Losses.size() <= Task.ReleasedLosses)
    return false;
  const RunLoss &First = Task.Losses.front();
  bool HasCrashed = First.WasSudden || First.IsCertain;
  return Task.Losses.size() > 1 || (HasCrashed && First.isAtStart());
}

} // namespace

StepCaution assessStep(const StepSpec &Spec, const StepProgress &Step,
                       const SuspicionOptions &Options, Instant Now) {
  StepCaution Caution;
  if (!Step.HasLosses)
    return Caution;
  int Heaviest = 0;
  std::vector<RunLoss> GangLosses;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    const TaskProgress &Task = Step.Tasks[I];
    if (Task.Done || Task.Losses.empty())
      continue;
    int Weight = weighLosses(Task.Losses, LossWeighing::WithSuspected);
    Caution.IsHeld |= Weight >= CrashEvidenceLimit;
    if (Spec.Gang)
      GangLosses.insert(GangLosses.end(), Task.Losses.begin(),
                        Task.Losses.end());
    if (!isSuspect(Task) || Weight <= Heaviest)
      continue;
    Heaviest = Weight;
    Caution.Suspect = I;
  }
  Caution.IsHeld |= weighLosses(GangLosses, LossWeighing::WithSuspected) >=
                    CrashEvidenceLimit;
  // A task near the limit must not reach it by what happens beside it.
  constexpr int HeaviestAttempt = 2;
  bool IsNearLimit = Heaviest + HeaviestAttempt >= CrashEvidenceLimit;
  Duration MaxWait =
      IsNearLimit ? 3 * Options.MaxCanaryWait : Options.MaxCanaryWait;
  bool HasWaitedLong =
      Step.CanaryAwaitedSince && Now - *Step.CanaryAwaitedSince > MaxWait;
  bool IsAbsentForLong =
      Spec.LongRunning && Step.SuspectedSince &&
      Now - *Step.SuspectedSince > Options.MaxLongRunningAbsence;
  Caution.NeedsCanary = Caution.Suspect && !HasWaitedLong && !IsAbsentForLong;
  // The tasks beside it must not wait for each other, too.
  if (IsAbsentForLong)
    Caution.Suspect.reset();
  return Caution;
}

Duration canaryDuration(const TaskProgress &Task,
                        const SuspicionOptions &Options) {
  int64_t LongestMs = 0;
  for (const RunLoss &Loss : Task.Losses)
    LongestMs = std::max(LongestMs, Loss.SurvivedMs);
  return std::clamp(Duration(milliseconds(2 * LongestMs)),
                    Options.MinCanaryDuration, Options.MaxCanaryDuration);
}

size_t maxCanaries(size_t PoolSize, const SuspicionOptions &Options) {
  constexpr size_t Percent = 100;
  return std::max<size_t>(1, PoolSize * Options.MaxCanaryPercent / Percent);
}

void releaseStep(StepProgress &Step, uint32_t Passed) {
  Step.SuspectedSince.reset();
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    TaskProgress &Task = Step.Tasks[I];
    if (I == Passed || Task.Losses.size() <= 1)
      Task.ReleasedLosses = Task.Losses.size();
  }
}

} // namespace mimosashunt
