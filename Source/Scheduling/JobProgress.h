// The leader's picture of a job that has not ended: which tasks wait, which run
// where, and what the job is worth finishing in time.

#ifndef MIMOSASHUNT_SCHEDULING_JOBPROGRESS_H
#define MIMOSASHUNT_SCHEDULING_JOBPROGRESS_H

#include "Core/Time.h"
#include "Jobs/JobStore.h"
#include "Jobs/ServiceConfiguration.h"
#include "Workers/WorkerTable.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

/// One task as the leader sees it; ends count here before they are agreed on.
struct TaskSlot {
  bool Done = false;
  std::set<uint32_t> FailedAttempts;
  uint32_t LastAttempt = 0;
  /// Where it runs or may run: at most one worker unless the step is
  /// speculative.
  std::vector<WorkerKey> At;
  std::string Saved;
  std::set<std::string> Avoid; // Ids of workers where it failed or stood still.
  Instant NotBefore;
  /// When the last run was found to have ended, for a long-running task.
  std::optional<Instant> EndedAt;
};

/// Advice that was given for one step.
struct StepAdvice {
  struct Ticket {
    std::string Text; // Empty if the worker may not run the step.
    Instant ValidUntil;
  };
  std::map<std::string, Ticket> ByWorker; // By worker id.
  bool UnderWay = false;
};

struct StepProgress {
  std::vector<TaskSlot> Tasks;
  uint32_t DoneCount = 0;
  uint32_t Placed = 0; // Tasks with at least one run.
  uint32_t GangAttempt = 0;
  StepAdvice Advice;
  std::map<WorkerKey, uint32_t> PerWorker; // Runs on each worker.

  bool done() const { return DoneCount == Tasks.size(); }
  bool allPlaced() const { return DoneCount + Placed >= Tasks.size(); }
};

struct OccurrenceProgress {
  std::vector<StepProgress> Steps;
  bool done() const;
};

class JobProgress {
public:
  /// \p FirstAttempt is what attempts of this leader are higher than.
  JobProgress(const JobRecord &Record, const QueueConfiguration &Queue,
              uint32_t FirstAttempt, Instant AcceptedAt);

  const JobId &id() const { return Job.Job; }
  const JobSpec &spec() const { return Job.Spec; }
  const AcceptJob &job() const { return Job; }
  const StepSpec &step(uint32_t Step) const { return Job.Spec.Steps[Step]; }
  bool longRunning() const { return LongRunning; }

  /// True if each step that this one comes after is done.
  bool ready(uint32_t Occurrence, uint32_t Step) const;
  TaskSlot *slot(const TaskId &Task);
  StepProgress *stepOf(const TaskId &Task);

  void noteDone(const TaskId &Task);
  /// Returns the failures of the task, or of its gang, so far.
  size_t noteFailed(const TaskId &Task, uint32_t Attempt);
  void place(const TaskId &Task, const WorkerKey &At, uint32_t Attempt);
  void unplace(const TaskId &Task, const WorkerKey &At);
  uint32_t nextAttempt(const TaskId &Task) const;

  /// Core-milliseconds that are still to be done, by the learned estimate.
  double remainingWork(double EstimateFactor) const;
  /// Milliseconds of the longest chain of steps that are not done.
  double remainingChainMs(double EstimateFactor) const;

  std::vector<OccurrenceProgress> Occurrences;
  std::string Pool;
  int64_t Priority = 0;
  bool NeedsAdvice = false; // Only advised workers may run its steps.
  uint32_t MaxAttempts = 1;
  /// The end by which the caller is served well.
  Instant Objective;
  Instant AcceptedAt;
  /// A leader before this one may have started its tasks.
  bool Inherited = false;
  bool Begun = false; // Some task was started.
  bool Ended = false; // All is done or failed, also if not agreed on yet.

private:
  // A copy: the store may be replaced while this still stands.
  const AcceptJob Job;
  uint32_t FirstAttempt;
  bool LongRunning;
};

} // namespace mimosashunt

#endif
