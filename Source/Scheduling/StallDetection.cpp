#include "Scheduling/StallDetection.h"

namespace mimosashunt {

std::vector<TaskId> standingStill(const TrackedWorker &Worker, Instant Now,
                                  Duration Limit) {
  constexpr int32_t AtWork = 100;
  constexpr uint32_t FullPace = 100;
  std::vector<TaskId> Result;
  for (const auto &[Task, Known] : Worker.Runs) {
    bool Serves = Known.LongRunning && Known.Percent >= AtWork;
    bool HeldBack = Known.Pace < FullPace || Known.Fills;
    if (Known.State == RunState::Running && !Serves && !HeldBack &&
        Now - Known.PercentAt >= Limit)
      Result.push_back(Task);
  }
  return Result;
}

} // namespace mimosashunt
