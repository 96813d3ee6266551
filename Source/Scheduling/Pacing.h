// Decides how fast tasks on spare CPU may run beside tasks that serve requests.
// Expected load: tasks on spare CPU slow the serving ones down, by amounts that
// differ by image and change within seconds, until a serving task's tail
// latency exceeds its target.

#ifndef MIMOSASHUNT_SCHEDULING_PACING_H
#define MIMOSASHUNT_SCHEDULING_PACING_H

#include "Core/Time.h"
#include "Workers/WorkerTable.h"

#include <vector>

namespace mimosashunt {

struct PacingOptions {
  /// Ratios of tail latency to its target: above the first, tasks on spare CPU
  /// are slowed down; below the second, they may speed up again.
  double SlowDownThreshold = 0.9;
  double SpeedUpThreshold = 0.6;
  uint32_t SpeedUpStepPercent = 20;
  /// In percent. When a task at or below this pace must slow down, it is
  /// stopped by a pace of 0 instead of being halved again.
  uint32_t MinPacePercent = 10;
  /// Shortest time between two changes of a task's pace. A worker's gauges
  /// cover half a second, so a change shows only after that.
  Duration SettlingTime = milliseconds(600);
};

/// A new pace for one run.
struct PaceChange {
  TaskId Task;
  uint32_t Attempt = 0;
  uint32_t Percent = 100;
  bool operator==(const PaceChange &) const = default;
};

/// Returns the highest ratio of tail latency to its target among the worker's
/// long-running tasks, or zero if none has a target.
double worstTailRatio(const TrackedWorker &Worker);

/// Returns the changes of pace that are due on the worker.
std::vector<PaceChange> computePaceChanges(const TrackedWorker &Worker,
                                           Instant Now,
                                           const PacingOptions &Options);

} // namespace mimosashunt

#endif
