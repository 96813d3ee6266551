// Runs that were lost with their worker, and what they say about the task: a
// task may crash each worker that starts it. Which of the runs on a worker
// brought it down cannot be seen, so each loss is evidence of some weight.

#ifndef MIMOSASHUNT_JOBS_RUNLOSS_H
#define MIMOSASHUNT_JOBS_RUNLOSS_H

#include "Jobs/JobTypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosashunt {

/// Identifies one incarnation of a worker. The same id with another incarnation
/// is a different worker that knows nothing of the tasks of the former.
struct WorkerKey {
  std::string Id;
  int64_t Incarnation = 0; // Unix milliseconds when the worker process started.
  auto operator<=>(const WorkerKey &) const = default; // NOLINT

  static void describe(auto &Self, auto Field) {
    Field("id", Self.Id);
    Field("born", Self.Incarnation);
  }
};

/// One run of a task that was lost with its worker.
struct RunLoss {
  uint32_t Attempt = 0;
  WorkerKey Worker;
  /// How long after the order the worker still answered, in milliseconds, or
  /// when it fell silent if that was sudden.
  int64_t SurvivedMs = 0;
  /// Nothing else on the worker can have brought it down.
  bool WasAlone = false;
  /// Connections to the worker broke or were refused at once, so that its
  /// process has likely ended; a worker that is cut off does not answer.
  bool WasSudden = false;
  /// The worker's process has ended. Until that is known, the worker may only
  /// have been cut off.
  bool IsCertain = false;
  bool operator==(const RunLoss &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("try", Self.Attempt);
    Field("worker", Self.Worker);
    Field("survived", Self.SurvivedMs);
    Field("alone", Self.WasAlone);
    Field("sudden", Self.WasSudden);
    Field("certain", Self.IsCertain);
  }
};

/// The losses of one task that is not done.
struct TaskLosses {
  TaskId Task;
  std::vector<RunLoss> Losses;
  bool operator==(const TaskLosses &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("task", Self.Task);
    Field("losses", Self.Losses);
  }
};

enum class LossWeighing : uint8_t {
  CertainOnly,   // Only workers that are known to have crashed.
  WithSuspected, // Silent workers too.
};

/// Returns the weight of the evidence that a task, or a gang, crashes its
/// workers: two for each attempt that was alone on a worker and went soon after
/// its start, one for each other. Losses of one attempt count once.
int weighLosses(const std::vector<RunLoss> &Losses, LossWeighing Weighing);

/// A task with this much certain evidence is given up. A run beside others and
/// two alone reach it; so do any five, which are all that BUDGET allows.
constexpr int ConvictingWeight = 5;

} // namespace mimosashunt

#endif
