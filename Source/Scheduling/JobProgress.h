// The leader's view of a job that has not ended: which tasks wait, which run
// where, and the objective by which the job should end.

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

/// The state of one task as the leader knows it. Results count here before they
/// are committed.
struct TaskProgress {
  bool Done = false;
  std::set<uint32_t> FailedAttempts;
  uint32_t LastAttempt = 0;
  /// The workers on which it runs or may run: at most one unless the step is
  /// speculative.
  std::vector<WorkerKey> Workers;
  std::string Checkpoint;
  /// Ids of workers where it failed or stalled since it last did well.
  std::set<std::string> AvoidedWorkers;
  /// Failures in a row of a long-running task soon after its start.
  uint32_t EarlyFailures = 0;
  Instant NotBefore;
  /// When the end of the last run was received, for a long-running task.
  std::optional<Instant> EndedAt;
  /// Its runs that were lost with their workers.
  std::vector<RunLoss> Losses;
  /// While no more than this many are known, it starts as any other task.
  size_t ReleasedLosses = 0;
  /// Losses that were not counted, as other workers went at the same time.
  size_t UnrelatedLosses = 0;
  /// The store holds these losses, or they say too little. The task does not
  /// start before, so that a new leader knows of them.
  bool AreLossesCommitted = true;
  /// The store may hold losses.
  bool WereLossesProposed = false;
  /// Until when it waits, or waited, for capacity near its data; it waits once.
  std::optional<Instant> LocalityWaitUntil;
};

/// The advice service's answers for one step.
struct StepAdvice {
  struct Ticket {
    std::string Text; // Empty if the worker may not run the step.
    Instant ValidUntil;
  };
  std::map<std::string, Ticket> TicketsByWorker; // By worker id.

  /// Returns true if the worker may not run the step, or has a ticket that
  /// is valid at \p Now.
  bool isDecided(const std::string &Worker, Instant Now) const {
    auto It = TicketsByWorker.find(Worker);
    return It != TicketsByWorker.end() &&
           (It->second.Text.empty() || Now < It->second.ValidUntil);
  }
};

/// The state of one step in one occurrence of a job.
struct StepProgress {
  std::vector<TaskProgress> Tasks;
  uint32_t DoneCount = 0;
  uint32_t PlacedCount = 0; // Tasks with at least one run.
  uint32_t GangAttempt = 0;
  StepAdvice Advice;
  /// Ids of workers where a task of it failed or stalled since one last did
  /// well.
  std::set<std::string> FailedWorkers;
  std::map<WorkerKey, uint32_t> RunsPerWorker; // Runs on each worker.
  bool HasLosses = false; // Some task of it was lost with a worker.
  /// When the first of the losses came since a canary of the step survived.
  std::optional<Instant> SuspectedSince;
  /// Since when no worker has been free for a canary, though one may be held.
  std::optional<Instant> CanaryAwaitedSince;

  bool isDone() const { return DoneCount == Tasks.size(); }
  bool isFullyPlaced() const { return DoneCount + PlacedCount >= Tasks.size(); }
};

/// The state of one occurrence of a job; a job that does not recur has one.
struct OccurrenceProgress {
  std::vector<StepProgress> Steps;
  bool isDone() const;
  bool hasRuns() const;
};

/// The state of one job as the leader knows it. It holds the occurrences that
/// are due and have not ended, and of these no more than
/// maxOpenOccurrences(), but for those that run already.
class JobProgress {
public:
  /// \p FirstAttempt is the number below this leader's range of attempt
  /// numbers.
  JobProgress(const JobRecord &Record, const QueueConfiguration &Queue,
              uint32_t FirstAttempt, Instant AcceptedAt);

  const JobId &id() const { return Job.Job; }
  const JobSpec &spec() const { return Job.Spec; }
  const AcceptJob &job() const { return Job; }
  const StepSpec &stepSpec(uint32_t Step) const { return Job.Spec.Steps[Step]; }
  bool isLongRunning() const { return LongRunning; }
  bool needsAdvice() const { return Advice.has_value(); }
  /// Returns true if the job's queue may have had another pool since the job
  /// was accepted.
  bool mayHaveChangedPool() const { return ConfigurationVersion < PoolSince; }

  /// Opens the occurrences that are due at \p Until and have not ended, in
  /// order.
  void openDueOccurrences(const TaskRecords &Known, UnixMillis Until);
  /// Opens the occurrence of a run, unless it has ended or is none of the job.
  void openOccurrence(const TaskRecords &Known, uint32_t Occurrence);
  /// Drops the occurrences that have ended in the store and have no runs.
  void closeEndedOccurrences(const TaskRecords &Known);

  /// Returns true if all steps that this one depends on are done. The
  /// occurrence is open.
  bool isReady(uint32_t Occurrence, uint32_t Step) const;
  /// Return null if there is no such task or step in an open occurrence.
  TaskProgress *findTask(const TaskId &Task);
  StepProgress *findStep(const TaskId &Task);

  void recordSuccess(const TaskId &Task);
  /// Records a failed attempt and returns the number of failed attempts of the
  /// task, or of its gang.
  size_t recordFailure(const TaskId &Task, uint32_t Attempt);
  /// Returns the losses of the task, or of its gang.
  std::vector<RunLoss> lossesOf(const TaskId &Task);
  void addPlacement(const TaskId &Task, const WorkerKey &At, uint32_t Attempt);
  void removePlacement(const TaskId &Task, const WorkerKey &At);
  /// Makes the number of an attempt that was never ordered available again, so
  /// that failed proposals do not use up the leader's range.
  void reuseAttempt(const TaskId &Task, uint32_t Attempt);
  /// Returns the attempt number for the next start of the task or of its gang.
  uint32_t nextAttempt(const TaskId &Task) const;

  /// Returns how many tasks are neither done nor on a worker.
  size_t countWaitingTasks() const;
  /// Returns the remaining work in core-milliseconds, with the estimates scaled
  /// by \p EstimateFactor.
  double remainingCoreMs(double EstimateFactor) const;
  /// Returns the duration in milliseconds of the longest chain of steps that
  /// are not done in the first open occurrence.
  double remainingCriticalPathMs(double EstimateFactor) const;

  /// The open occurrences by their numbers.
  std::map<uint32_t, OccurrenceProgress> Occurrences;
  std::string Pool;
  /// The configuration version since which the queue has had this pool.
  uint64_t PoolSince = 0;
  int64_t Priority = 0;
  /// The policy of its queue, if only workers with a ticket from the advice
  /// service may run its steps.
  std::optional<AdvicePolicy> Advice;
  uint32_t MaxAttempts = 1;
  /// The time by which the job should end.
  Instant Objective;
  Instant AcceptedAt;
  /// The index of the job's organisation in OrganisationShares.
  size_t ShareIndex = 0;
  /// True if an earlier leader may have started tasks of the job.
  bool IsInherited = false;
  /// The workers that its record named when this leader began.
  std::set<WorkerKey> InheritedWorkers;
  /// That it waits for some of them has been logged.
  bool IsUnlocatedReported = false;
  bool HasStarted = false; // Some worker has begun a task.
  /// The job is done, failed or cancelled, possibly not committed yet.
  bool HasEnded = false;

private:
  OccurrenceProgress makeOccurrence(const OccurrenceTasks *Known) const;

  // A copy, since the store may be replaced during the lifetime of this object.
  const AcceptJob Job;
  const uint64_t ConfigurationVersion; // When the job was accepted.
  uint32_t FirstAttempt;
  bool LongRunning;
  /// Number below which each occurrence has been opened or had ended.
  uint32_t NextOccurrence = 0;
  uint32_t UnfinishedOccurrences = 0;
};

/// Returns how many occurrences of a job may be open at once because they are
/// due. Later ones wait until one of these has ended.
uint32_t maxOpenOccurrences(const JobSpec &Spec);

} // namespace mimosashunt

#endif
