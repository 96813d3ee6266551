// Decides how fast tasks that fill may work beside tasks that serve. Load
// pattern: what fills disturbs what serves, by amounts that differ by image and
// change within seconds, until a serving task's tail is above its target.

#ifndef MIMOSASHUNT_SCHEDULING_PACING_H
#define MIMOSASHUNT_SCHEDULING_PACING_H

#include "Core/Time.h"
#include "Workers/WorkerTable.h"

#include <vector>

namespace mimosashunt {

struct PacingOptions {
  /// Parts of the target above which fills slow down, and below which they may
  /// speed up again.
  double SlowDownAt = 0.9;
  double SpeedUpAt = 0.6;
  uint32_t SpeedUpStep = 20; // Percent.
  /// A pace below this stops the task instead, in percent.
  uint32_t LeastPace = 10;
  /// A worker's gauges cover half a second, so a change shows after that.
  Duration Settle = milliseconds(600);
};

struct PaceChange {
  TaskId Task;
  uint32_t Attempt = 0;
  uint32_t Percent = 100;
  bool operator==(const PaceChange &) const = default;
};

/// The worst tail on the worker as a part of its target; zero if none serves.
double worstTail(const TrackedWorker &Worker);

/// What should be paced differently now.
std::vector<PaceChange> paceChanges(const TrackedWorker &Worker, Instant Now,
                                    const PacingOptions &Options);

} // namespace mimosashunt

#endif
