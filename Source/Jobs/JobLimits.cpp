#include "Jobs/JobLimits.h"

#include <algorithm>

namespace mimosashunt {

namespace {

bool isTaskAmount(int64_t Amount) {
  return Amount >= 0 && Amount <= MaxTaskAmount;
}

bool isTime(int64_t Millis) {
  return Millis >= -MaxTimeMs && Millis <= MaxTimeMs;
}

bool hasTaskAmounts(const StepSpec &Step) {
  const Resources &Each = Step.TaskResources;
  return isTaskAmount(Each.Cpu) && isTaskAmount(Each.MemoryMb) &&
         isTaskAmount(Each.Accelerators) && isTaskAmount(Step.EstimateMs);
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
  return TasksPerOccurrence <= MaxTasksPerJob / Spec.Recurrence.occurrences();
}

bool isRunnable(const JobSpec &Spec) {
  return isConsistent(Spec) && isTime(Spec.Recurrence.StartAt) &&
         isTime(Spec.Recurrence.IntervalMs) &&
         std::all_of(Spec.Steps.begin(), Spec.Steps.end(), hasTaskAmounts);
}

} // namespace mimosashunt
