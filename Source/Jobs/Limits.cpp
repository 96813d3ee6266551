#include "Jobs/Limits.h"

#include <algorithm>

namespace mimosashunt {

namespace {

int64_t clampAmount(int64_t Value, int64_t Max) {
  return std::clamp<int64_t>(Value, 0, Max);
}

} // namespace

bool isConsistent(const JobSpec &Spec) {
  // An occurrence takes memory even without tasks.
  uint64_t TasksPerOccurrence = 1;
  for (size_t I = 0; I < Spec.Steps.size(); ++I) {
    const std::vector<uint32_t> &After = Spec.Steps[I].DependsOn;
    if (std::any_of(After.begin(), After.end(),
                    [I](uint32_t Earlier) { return Earlier >= I; }))
      return false;
    TasksPerOccurrence += Spec.Steps[I].Count;
  }
  return TasksPerOccurrence <=
         MaxStoredTasksPerJob / Spec.Recurrence.occurrences();
}

std::string limitError(const JobSpec &Spec) {
  if (!isConsistent(Spec))
    return "the job has too many tasks, or a step after a later one";
  JobSpec Clamped = Spec;
  clampAmounts(Clamped);
  if (Clamped != Spec)
    return "an amount or a time is out of range";
  uint64_t TasksPerOccurrence = 0;
  int64_t SpanMs = 0;
  for (const StepSpec &Step : Spec.Steps) {
    TasksPerOccurrence += Step.Count;
    SpanMs = std::min(SpanMs + Step.EstimateMs, MaxJobSpanMs + 1);
  }
  if (TasksPerOccurrence > MaxTasksPerJob ||
      TasksPerOccurrence * Spec.Recurrence.occurrences() > MaxTasksPerJob)
    return "the job has too many tasks";
  return SpanMs > MaxJobSpanMs ? "the estimates are too long together" : "";
}

Resources clampAmounts(const Resources &Value) {
  return {clampAmount(Value.Cpu, MaxAmount),
          clampAmount(Value.MemoryMb, MaxAmount),
          clampAmount(Value.Accelerators, MaxAmount)};
}

void clampAmounts(JobSpec &Spec) {
  for (StepSpec &Step : Spec.Steps) {
    Step.TaskResources = clampAmounts(Step.TaskResources);
    Step.EstimateMs = clampAmount(Step.EstimateMs, MaxSpanMs);
    Step.TailTargetMs = clampAmount(Step.TailTargetMs, MaxSpanMs);
  }
  Spec.Recurrence.StartAt = clampAmount(Spec.Recurrence.StartAt, MaxStartAt);
  Spec.Recurrence.IntervalMs =
      clampAmount(Spec.Recurrence.IntervalMs, MaxSpanMs);
}

} // namespace mimosashunt
