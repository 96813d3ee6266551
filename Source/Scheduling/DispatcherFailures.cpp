// The part of the scheduler that keeps account of failed and stalled runs, of
// steps and workers that do well, and of the pauses of tasks that do not last.

#include "Scheduling/Dispatcher.h"
#include "Scheduling/LogFields.h"

#include <utility>

namespace mimosashunt {

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
  // More workers would prove no more.
  if (!isStepSuspect({0, Step.FailedWorkers.size()}))
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
