// The part of the scheduler that processes ended runs, and keeps account of
// steps and workers that fail or do well, and of the pauses of tasks that do
// not last.

#include "Scheduling/Dispatcher.h"
#include "Scheduling/LogFields.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

const char *nameOf(EndKind How) {
  switch (How) {
  case EndKind::Done:
    return "done";
  case EndKind::Failed:
    return "failed";
  case EndKind::Stopped:
    return "stopped";
  case EndKind::LeaseExpired:
    return "lapsed";
  case EndKind::Broken:
    return "broken";
  case EndKind::Alone:
    return "alone";
  }
  return "unknown";
}

} // namespace

// Ended runs.

void Dispatcher::handleRunEnd(TrackedWorker &Worker, const FinishedRun &End) {
  if (End.Number <= Worker.ProcessedEnds)
    return;
  Worker.ProcessedEnds = End.Number;
  std::optional<Run> Ended = takeEndedRun(Worker, End);
  if (End.Kind == EndKind::LeaseExpired)
    reportUnrenewedRun(Worker, End);
  reportRunEnd(Worker, End, Ended);
  openOccurrence(End.Task);
  auto It = Jobs.find(End.Task.Job);
  JobProgress *Job = It == Jobs.end() ? nullptr : It->second.get();
  TaskProgress *TaskState = Job == nullptr ? nullptr : Job->findTask(End.Task);
  if (TaskState == nullptr)
    return;
  Job->HasStarted = true;
  TaskState->LastAttempt = std::max(TaskState->LastAttempt, End.Attempt);
  if (!End.Checkpoint.empty())
    TaskState->Checkpoint = End.Checkpoint;
  if (Job->stepSpec(End.Task.Step).LongRunning)
    handleLongRunningEnd(Worker, *Job, End, Ended);
  else if (End.Kind == EndKind::Done)
    handleSuccess(Worker, *Job, End, Ended);
  else if (End.Kind == EndKind::Failed && !Job->HasEnded)
    handleFailure(Worker, *Job, End);
  markPoolDirty(Job->Pool);
  removeJobIfFinished(End.Task.Job);
}

std::optional<Run> Dispatcher::takeEndedRun(TrackedWorker &Worker,
                                            const FinishedRun &End) {
  auto It = Worker.Runs.find(End.Task);
  if (It == Worker.Runs.end() || It->second.Attempt != End.Attempt)
    return std::nullopt;
  // Its worker has outlived it.
  if (It->second.IsCanary && End.Kind == EndKind::Done)
    passCanary(Worker, End.Task, It->second);
  Run Ended = It->second;
  removeRun(Worker, End.Task);
  return Ended;
}

void Dispatcher::reportRunEnd(const TrackedWorker &Worker,
                              const FinishedRun &End,
                              const std::optional<Run> &Ended) {
  Instant Now = Timers.now();
  Json Fields = taskFields(End.Task, End.Attempt);
  Fields["worker"] = Worker.key().Id;
  Fields["how"] = nameOf(End.Kind);
  Fields["ms"] = toMillis(Ended ? Now - Ended->OrderedAt : Duration::zero());
  Hooks.LogEvent("run_ended", std::move(Fields));
  if (End.Kind == EndKind::Done)
    ++Counters.CompletedRuns;
  else if (End.Kind == EndKind::Failed)
    ++Counters.FailedRuns;
  else
    ++Counters.OtherEndedRuns;
}

void Dispatcher::handleSuccess(const TrackedWorker &Worker, JobProgress &Job,
                               const FinishedRun &End,
                               const std::optional<Run> &Ended) {
  const StepSpec &Spec = Job.stepSpec(End.Task.Step);
  TaskProgress &TaskState = *Job.findTask(End.Task);
  recordRunSuccess(Worker, Job, End.Task);
  if (Ended)
    learnRunTime(Job, Spec, Worker, *Ended);
  if (TaskState.Done)
    return;
  Job.recordSuccess(End.Task);
  queueResult({End.Task, End.Attempt, true});
  // The other members of a gang end by themselves.
  if (Spec.Gang)
    return;
  for (const WorkerKey &At : std::vector<WorkerKey>(TaskState.Workers))
    if (TrackedWorker *Holder = Table.find(At))
      stopRun(*Holder, End.Task);
}

void Dispatcher::handleFailure(const TrackedWorker &Worker, JobProgress &Job,
                               const FinishedRun &End) {
  recordRunFailure(Worker, Job, End.Task);
  queueResult({End.Task, End.Attempt, false});
  if (Job.recordFailure(End.Task, End.Attempt) < Job.MaxAttempts)
    return;
  Hooks.LogEvent("job_failed", taskFields(End.Task, End.Attempt));
  Job.HasEnded = true;
  stopAllRuns(Job);
}

void Dispatcher::handleLongRunningEnd(const TrackedWorker &Worker,
                                      JobProgress &Job, const FinishedRun &End,
                                      const std::optional<Run> &Ended) {
  Job.findTask(End.Task)->EndedAt = Timers.now();
  // How long a run of an earlier leader has lasted is not known.
  bool HasKnownAge = Ended && !Ended->IsAdopted;
  if (HasKnownAge && End.Kind == EndKind::Failed)
    recordLongRunningFailure(Worker, Job, End.Task,
                             Timers.now() - Ended->OrderedAt);
}

void Dispatcher::reportUnrenewedRun(const TrackedWorker &Worker,
                                    const FinishedRun &End) {
  if (!Worker.IsSynced)
    return;
  ++Counters.UnrenewedRuns;
  Json Fields = taskFields(End.Task, End.Attempt);
  Fields["worker"] = Worker.key().Id;
  Fields["since_renewal_ms"] = toMillis(Timers.now() - Worker.RenewedAt);
  Fields["failed_polls"] = Worker.FailedPolls;
  Hooks.LogEvent("lease_not_renewed", Fields);
}

// Whom failures are held against.

FailureEvidence Dispatcher::evidenceAgainst(const StepProgress &Step,
                                            const TaskProgress &TaskState) {
  return {TaskState.AvoidedWorkers.size(), Step.FailedWorkers.size()};
}

void Dispatcher::recordRunFailure(const TrackedWorker &Worker, JobProgress &Job,
                                  const TaskId &Task) {
  const std::string &Pool = Worker.Entry.Pool;
  const std::string &Id = Worker.key().Id;
  StepProgress &Step = *Job.findStep(Task);
  TaskProgress &TaskState = Step.Tasks[Task.Index];
  // Once it has failed everywhere, no worker is worse than another.
  if (TaskState.AvoidedWorkers.size() >= poolSize(Pool))
    TaskState.AvoidedWorkers.clear();
  TaskState.AvoidedWorkers.insert(Id);
  // More would prove no more.
  if (Step.FailedWorkers.size() < WorkersToSuspectStep)
    Step.FailedWorkers.insert(Id);
  if (isStepSuspect(evidenceAgainst(Step, TaskState)))
    return;
  if (Health.recordFailure(Worker.key(), Pool, Job.id(), poolSize(Pool),
                           Timers.now()))
    reportEjection(Worker, "failures");
}

void Dispatcher::recordRunSuccess(const TrackedWorker &Worker, JobProgress &Job,
                                  const TaskId &Task) {
  Health.recordSuccess(Worker.key());
  Job.findStep(Task)->FailedWorkers.clear();
}

void Dispatcher::recordLongRunningFailure(const TrackedWorker &Worker,
                                          JobProgress &Job, const TaskId &Task,
                                          Duration Age) {
  TaskProgress &TaskState = *Job.findTask(Task);
  if (Age >= Options.Restarts.LastingAge) {
    TaskState.EarlyFailures = 0;
    return;
  }
  ++TaskState.EarlyFailures;
  TaskState.NotBefore =
      Timers.now() + restartPause(TaskState.EarlyFailures, Options.Restarts);
  if (Age < Options.Restarts.EarlyFailureAge)
    recordRunFailure(Worker, Job, Task);
}

void Dispatcher::recordIfLasting(const TrackedWorker &Worker,
                                 const TaskId &Task, Run &CurrentRun) {
  bool IsLasting =
      CurrentRun.State == RunState::Running &&
      Worker.survivedTime(CurrentRun) >= Options.Restarts.LastingAge;
  TaskProgress *TaskState = findWantedTask(Task);
  if (!IsLasting || TaskState == nullptr ||
      std::exchange(CurrentRun.HasLasted, true))
    return;
  TaskState->EarlyFailures = 0;
  TaskState->AvoidedWorkers.clear();
  recordRunSuccess(Worker, *Jobs.at(Task.Job), Task);
}

void Dispatcher::reportEjection(const TrackedWorker &Worker,
                                const char *Reason) {
  Hooks.LogEvent("worker_ejected", {{"worker", Worker.key().Id},
                                    {"pool", Worker.Entry.Pool},
                                    {"why", Reason}});
}

} // namespace mimosashunt
