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
  /// How long the run is known to have survived, and its age when the worker
  /// fell silent, in milliseconds. The crash was between the two.
  int64_t SurvivedMs = 0;
  int64_t AgeMs = 0;
  /// Nothing else on the worker can have brought it down.
  bool WasAlone = false;
  /// Connections to the worker broke or were refused at once, so that its
  /// process has likely ended; a worker that is cut off does not answer.
  bool WasSudden = false;
  /// The worker's process has ended. Until that is known, the worker may only
  /// have been cut off.
  bool IsCertain = false;
  bool operator==(const RunLoss &) const = default;

  /// Returns true if the crash may have come right with the run's start.
  bool isAtStart() const;

  static void describe(auto &Self, auto Field) {
    Field("try", Self.Attempt);
    Field("worker", Self.Worker);
    Field("survived", Self.SurvivedMs);
    Field("age", Self.AgeMs);
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
/// workers. A task that does so does it each time and right at its start, so an
/// attempt that was lost there counts two if it was alone on its worker, and
/// one if not. What counts at least is the number of attempts that were lost,
/// for tasks that crash their workers later. Losses of one attempt count once.
int weighLosses(const std::vector<RunLoss> &Losses, LossWeighing Weighing);

/// A task with this much certain evidence is given up: after one start beside
/// others and two alone, and in any case after the fifth, since BUDGET allows
/// no more.
constexpr int CrashEvidenceLimit = 5;

} // namespace mimosashunt

#endif
