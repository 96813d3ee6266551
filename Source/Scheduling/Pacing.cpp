#include "Scheduling/Pacing.h"

#include <algorithm>

namespace mimosashunt {

namespace {

constexpr uint32_t FullPace = 100;

uint32_t wantedPace(uint32_t Present, double Worst,
                    const PacingOptions &Options) {
  if (Worst > Options.SlowDownAt)
    return Present <= Options.LeastPace ? 0 : Present / 2;
  if (Worst < Options.SpeedUpAt)
    return std::min(FullPace, Present + Options.SpeedUpStep);
  return Present;
}

} // namespace

double worstTail(const TrackedWorker &Worker) {
  double Worst = 0;
  for (const auto &[Task, Known] : Worker.Runs)
    if (Known.TailTargetMs > 0 && Known.LongRunning)
      Worst = std::max(Worst, static_cast<double>(Known.Gauge) /
                                  static_cast<double>(Known.TailTargetMs));
  return Worst;
}

std::vector<PaceChange> paceChanges(const TrackedWorker &Worker, Instant Now,
                                    const PacingOptions &Options) {
  std::vector<PaceChange> Changes;
  double Worst = worstTail(Worker);
  for (const auto &[Task, Known] : Worker.Runs) {
    bool Settled = Now - Known.PacedAt >= Options.Settle;
    if (!Known.Fills || Known.State != RunState::Running || !Settled)
      continue;
    uint32_t Wanted = wantedPace(Known.Pace, Worst, Options);
    if (Wanted != Known.Pace)
      Changes.push_back({Task, Known.Attempt, Wanted});
  }
  return Changes;
}

} // namespace mimosashunt
