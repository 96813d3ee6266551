#include "Scheduling/Pacing.h"

#include <algorithm>

namespace mimosashunt {

namespace {

constexpr uint32_t FullPace = 100;

uint32_t targetPace(uint32_t Current, double WorstRatio,
                    const PacingOptions &Options) {
  if (WorstRatio > Options.SlowDownThreshold)
    return Current <= Options.MinPacePercent ? 0 : Current / 2;
  if (WorstRatio < Options.SpeedUpThreshold)
    return std::min(FullPace, Current + Options.SpeedUpStepPercent);
  return Current;
}

} // namespace

double worstTailRatio(const TrackedWorker &Worker) {
  double WorstRatio = 0;
  for (const auto &[Task, CurrentRun] : Worker.Runs)
    if (CurrentRun.TailTargetMs > 0 && CurrentRun.LongRunning)
      WorstRatio = std::max(WorstRatio,
                            static_cast<double>(CurrentRun.Gauge) /
                                static_cast<double>(CurrentRun.TailTargetMs));
  return WorstRatio;
}

std::vector<PaceChange> computePaceChanges(const TrackedWorker &Worker,
                                           Instant Now,
                                           const PacingOptions &Options) {
  std::vector<PaceChange> Changes;
  double WorstRatio = worstTailRatio(Worker);
  for (const auto &[Task, CurrentRun] : Worker.Runs) {
    bool Settled = Now - CurrentRun.PaceChangedAt >= Options.SettlingTime;
    if (!CurrentRun.UsesSpareCpu || CurrentRun.State != RunState::Running ||
        !Settled)
      continue;
    uint32_t Target = targetPace(CurrentRun.PacePercent, WorstRatio, Options);
    if (Target != CurrentRun.PacePercent)
      Changes.push_back({Task, CurrentRun.Attempt, Target});
  }
  return Changes;
}

} // namespace mimosashunt
