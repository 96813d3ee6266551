#include "Scheduling/StallDetection.h"

namespace mimosashunt {

std::vector<TaskId> findStalledTasks(const TrackedWorker &Worker, Instant Now,
                                     Duration Limit) {
  constexpr int32_t ServingPercent = 100;
  constexpr uint32_t FullPace = 100;
  std::vector<TaskId> Result;
  for (const auto &[Task, CurrentRun] : Worker.Runs) {
    bool IsServing =
        CurrentRun.LongRunning && CurrentRun.ProgressPercent >= ServingPercent;
    bool IsSlowedDown =
        CurrentRun.PacePercent < FullPace || CurrentRun.UsesSpareCpu;
    if (CurrentRun.State == RunState::Running && !IsServing && !IsSlowedDown &&
        Now - CurrentRun.ProgressChangedAt >= Limit)
      Result.push_back(Task);
  }
  return Result;
}

} // namespace mimosashunt
