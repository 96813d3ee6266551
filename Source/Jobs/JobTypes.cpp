#include "Jobs/JobTypes.h"

#include <algorithm>

namespace mimosashunt {

Resources &Resources::operator+=(const Resources &Other) {
  Cpu += Other.Cpu;
  MemoryMb += Other.MemoryMb;
  Accelerators += Other.Accelerators;
  return *this;
}

Resources &Resources::operator-=(const Resources &Other) {
  Cpu -= Other.Cpu;
  MemoryMb -= Other.MemoryMb;
  Accelerators -= Other.Accelerators;
  return *this;
}

bool Resources::canFit(const Resources &Part) const {
  return Cpu >= Part.Cpu && MemoryMb >= Part.MemoryMb &&
         Accelerators >= Part.Accelerators;
}

const char *nameOf(JobRequestKind Kind) {
  switch (Kind) {
  case JobRequestKind::Submit:
    return "submit";
  case JobRequestKind::Status:
    return "status";
  case JobRequestKind::Cancel:
    return "cancel";
  }
  return "unknown";
}

const char *nameOf(JobRequestOutcome Outcome) {
  switch (Outcome) {
  case JobRequestOutcome::Done:
    return "done";
  case JobRequestOutcome::NoSuchJob:
    return "no_such_job";
  case JobRequestOutcome::NotRun:
    return "not_run";
  case JobRequestOutcome::Uncertain:
    return "uncertain";
  case JobRequestOutcome::NotLeader:
    return "not_leader";
  }
  return "unknown";
}

int64_t JobSpec::criticalPathMs() const {
  std::vector<int64_t> EndsAt(Steps.size(), 0);
  int64_t Longest = 0;
  for (size_t I = 0; I < Steps.size(); ++I) {
    int64_t Begins = 0;
    for (uint32_t Earlier : Steps[I].DependsOn)
      Begins = std::max(Begins, EndsAt[Earlier]);
    EndsAt[I] = Begins + Steps[I].EstimateMs;
    Longest = std::max(Longest, EndsAt[I]);
  }
  return Longest;
}

int64_t JobSpec::totalCoreMs() const {
  constexpr int64_t Thousandths = 1000;
  int64_t Sum = 0;
  for (const StepSpec &Step : Steps)
    Sum += Step.Count * Step.TaskResources.Cpu * Step.EstimateMs / Thousandths;
  return Sum;
}

bool JobSpec::isLongRunning() const {
  return std::any_of(Steps.begin(), Steps.end(),
                     [](const StepSpec &Step) { return Step.LongRunning; });
}

} // namespace mimosashunt
