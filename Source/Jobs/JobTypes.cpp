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

bool Resources::canFit(const Resources &Other) const {
  return Cpu >= Other.Cpu && MemoryMb >= Other.MemoryMb &&
         Accelerators >= Other.Accelerators;
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
  case JobRequestOutcome::TooLarge:
    return "too_large";
  }
  return "unknown";
}

int64_t JobSpec::criticalPathMs() const {
  std::vector<int64_t> FinishMs(Steps.size(), 0);
  int64_t CriticalPath = 0;
  for (size_t I = 0; I < Steps.size(); ++I) {
    int64_t StartMs = 0;
    for (uint32_t Earlier : Steps[I].DependsOn)
      StartMs = std::max(StartMs, FinishMs[Earlier]);
    FinishMs[I] = StartMs + Steps[I].EstimateMs;
    CriticalPath = std::max(CriticalPath, FinishMs[I]);
  }
  return CriticalPath;
}

int64_t JobSpec::totalCoreMs() const {
  constexpr double MillicoresPerCore = 1000;
  double Sum = 0;
  for (const StepSpec &Step : Steps)
    Sum += static_cast<double>(Step.Count) *
           static_cast<double>(Step.TaskResources.Cpu) *
           static_cast<double>(Step.EstimateMs) / MillicoresPerCore;
  // The product of the largest amounts exceeds an int64_t.
  constexpr double MaxSum = 9e18;
  return static_cast<int64_t>(std::min(Sum, MaxSum));
}

bool JobSpec::isLongRunning() const {
  return std::any_of(Steps.begin(), Steps.end(),
                     [](const StepSpec &Step) { return Step.LongRunning; });
}

} // namespace mimosashunt
