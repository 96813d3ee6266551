// The part of the scheduler that keeps account of runs that are lost with their
// workers, so that a task that crashes them is started with care and given up.

#include "Scheduling/Dispatcher.h"
#include "Scheduling/LogFields.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

/// More losses wait for the next command, so that a cut of a data centre makes
/// no command that takes long to send.
constexpr size_t MaxTasksPerCommand = 256;
/// Longer than it takes until a crash is certain or the worker is forgotten.
constexpr Duration SilenceMemory = seconds(15);

} // namespace

void Dispatcher::reportLostRuns(const TrackedWorker &Worker, const char *Why) {
  for (const auto &[Task, CurrentRun] : Worker.Runs) {
    Json Fields = taskFields(Task, CurrentRun.Attempt);
    Fields["worker"] = Worker.key().Id;
    Fields["born"] = Worker.key().Incarnation;
    Fields["why"] = Why;
    Fields["age_ms"] = toMillis(Timers.now() - CurrentRun.OrderedAt);
    Fields["beside"] = Worker.Runs.size() - 1;
    // What this process never listed may have been taken by the next one.
    Fields["listed"] = CurrentRun.ListedAt > Instant();
    Hooks.LogEvent("run_lost", Fields);
  }
}

TaskProgress *Dispatcher::findWantedTask(const TaskId &Task) {
  auto Job = Jobs.find(Task.Job);
  if (Job == Jobs.end() || Job->second->HasEnded)
    return nullptr;
  TaskProgress *TaskState = Job->second->findTask(Task);
  return TaskState == nullptr || TaskState->Done ? nullptr : TaskState;
}

bool Dispatcher::isAloneOn(const TrackedWorker &Worker,
                           const TaskId &Task) const {
  auto Job = Jobs.find(Task.Job);
  bool Gang = Job->second->stepSpec(Task.Step).Gang;
  auto Own = std::count_if(
      Worker.Runs.begin(), Worker.Runs.end(), [&](const auto &TaskAndRun) {
        const TaskId &Other = TaskAndRun.first;
        return Other == Task || (Gang && Task.isOfSameStep(Other));
      });
  return countUnproven(Worker) <= static_cast<size_t>(Own);
}

void Dispatcher::onWorkerSilent(TrackedWorker &Worker, bool WasSudden) {
  reportLostRuns(Worker, "silent");
  Instant Now = Timers.now();
  while (!Silences.empty() && Now - Silences.front().At > SilenceMemory)
    Silences.pop_front();
  std::set<JobId> JobsThere;
  for (const auto &[Task, CurrentRun] : Worker.Runs)
    JobsThere.insert(Task.Job);
  Silences.push_back({Now, Worker.key(), std::move(JobsThere)});
  recordLosses(Worker, WasSudden);
  // A worker that does not answer may be cut off; its tasks are no suspects
  // yet.
  if (WasSudden)
    releaseByCommonSilence(Worker.key());
}

bool Dispatcher::hasCommonCause(const WorkerKey &Key, const JobId &Job,
                                size_t OtherWorkers, Duration Window) const {
  auto Own =
      std::find_if(Silences.rbegin(), Silences.rend(),
                   [&](const Silence &Other) { return Other.Worker == Key; });
  if (Own == Silences.rend())
    return false;
  size_t Found = 0;
  for (auto It = Silences.rbegin(); It != Silences.rend(); ++It) {
    Duration Apart = It->At < Own->At ? Own->At - It->At : It->At - Own->At;
    bool IsApart = It->Worker != Key && Apart <= Window && !It->Jobs.count(Job);
    if (IsApart && ++Found >= OtherWorkers)
      return true;
  }
  return false;
}

void Dispatcher::releaseByCommonSilence(const WorkerKey &Last) {
  const SuspicionOptions &Suspicion = Options.Suspicion;
  std::vector<WorkerKey> Together;
  for (auto It = Silences.rbegin();
       It != Silences.rend() &&
       Timers.now() - It->At <= Suspicion.CommonSilenceWindow;
       ++It)
    Together.push_back(It->Worker);
  if (Together.size() < Suspicion.MinCommonSilences)
    return;
  // The earlier ones were looked at when there were just enough.
  if (Together.size() > Suspicion.MinCommonSilences)
    Together = {Last};
  for (const WorkerKey &Key : Together) {
    auto Open = OpenLosses.find(Key);
    if (Open == OpenLosses.end())
      continue;
    for (const TaskId &Task : Open->second) {
      TaskProgress *TaskState = findWantedTask(Task);
      bool IsCommon =
          TaskState != nullptr && TaskState->Losses.size() == 1 &&
          hasCommonCause(Key, Task.Job, Suspicion.MinCommonSilences - 1,
                         Suspicion.CommonSilenceWindow);
      if (IsCommon)
        TaskState->ReleasedLosses = 1;
    }
  }
}

void Dispatcher::recordLosses(TrackedWorker &Worker, bool WasSudden) {
  // The end of a worker that leaves is planned.
  if (Worker.Entry.Leaving)
    return;
  for (const auto &[Task, CurrentRun] : Worker.Runs) {
    TaskProgress *TaskState = findWantedTask(Task);
    if (TaskState == nullptr || CurrentRun.State == RunState::Stopping)
      continue;
    std::vector<RunLoss> &Losses = TaskState->Losses;
    bool IsKnown = std::any_of(
        Losses.begin(), Losses.end(),
        [&, Attempt = CurrentRun.Attempt](const RunLoss &Known) {
          return Known.Attempt == Attempt && Known.Worker == Worker.key();
        });
    if (IsKnown)
      continue;
    Duration Survived = Worker.survivedTime(CurrentRun);
    if (CurrentRun.LongRunning && Survived >= Options.Suspicion.ClearingAge)
      continue;
    RunLoss Loss;
    Loss.Attempt = CurrentRun.Attempt;
    Loss.Worker = Worker.key();
    Loss.SurvivedMs = toMillis(Survived);
    Loss.AgeMs = toMillis(Timers.now() - CurrentRun.OrderedAt);
    Loss.WasAlone = isAloneOn(Worker, Task);
    Loss.WasSudden = WasSudden;
    Losses.push_back(Loss);
    StepProgress &Step = *Jobs.at(Task.Job)->findStep(Task);
    Step.HasLosses = true;
    if (!Step.SuspectedSince)
      Step.SuspectedSince = Timers.now();
    Step.CanaryAwaitedSince.reset();
    OpenLosses[Worker.key()].insert(Task);
    onLossesChanged(Task);
    // The next leader must know of it, too, whenever this one fails.
    if (!TaskState->AreLossesCommitted)
      LossesToPropose.insert(Task);
  }
}

void Dispatcher::resolveLosses(const WorkerKey &Key, bool HasCrashed) {
  auto Open = OpenLosses.find(Key);
  if (Open == OpenLosses.end())
    return;
  std::set<TaskId> Tasks = std::move(Open->second);
  OpenLosses.erase(Open);
  Counters.CrashedWorkers += HasCrashed ? 1 : 0;
  Hooks.LogEvent(
      HasCrashed ? "worker_crashed" : "worker_not_crashed",
      {{"worker", Key.Id}, {"born", Key.Incarnation}, {"tasks", Tasks.size()}});
  for (const TaskId &Task : Tasks) {
    TaskProgress *TaskState = findWantedTask(Task);
    if (TaskState == nullptr)
      continue;
    for (RunLoss &Loss : TaskState->Losses)
      if (Loss.Worker == Key)
        Loss.IsCertain = HasCrashed && !isUnrelated(*TaskState, Task, Loss);
    std::erase_if(TaskState->Losses, [&](const RunLoss &Loss) {
      return !Loss.IsCertain && Loss.Worker == Key;
    });
    onLossesChanged(Task);
  }
}

bool Dispatcher::isUnrelated(TaskProgress &TaskState, const TaskId &Task,
                             const RunLoss &Loss) {
  const SuspicionOptions &Suspicion = Options.Suspicion;
  bool IsUnrelated =
      milliseconds(Loss.SurvivedMs) >= Suspicion.MinUnrelatedAge &&
      TaskState.UnrelatedLosses < Suspicion.MaxUnrelatedLosses &&
      hasCommonCause(Loss.Worker, Task.Job, 1, Suspicion.CommonCauseWindow);
  TaskState.UnrelatedLosses += IsUnrelated ? 1 : 0;
  return IsUnrelated;
}

void Dispatcher::removeLoss(const TaskId &Task, uint32_t Attempt) {
  TaskProgress *TaskState = findWantedTask(Task);
  if (TaskState == nullptr)
    return;
  size_t Removed =
      std::erase_if(TaskState->Losses, [Attempt](const RunLoss &Loss) {
        return Loss.Attempt == Attempt;
      });
  if (Removed > 0)
    onLossesChanged(Task);
}

void Dispatcher::onLossesChanged(const TaskId &Task) {
  JobProgress &Job = *Jobs.at(Task.Job);
  TaskProgress &TaskState = *Job.findTask(Task);
  // A single loss of an older run says little, and a cut takes many along.
  bool IsSignificant =
      TaskState.Losses.size() > 1 ||
      (!TaskState.Losses.empty() && TaskState.Losses.front().isAtStart());
  TaskState.AreLossesCommitted =
      !IsSignificant && !TaskState.WereLossesProposed;
  if (TaskState.WereLossesProposed)
    LossesToPropose.insert(Task);
  StepProgress &Step = *Job.findStep(Task);
  Step.HasLosses = std::any_of(
      Step.Tasks.begin(), Step.Tasks.end(),
      [](const TaskProgress &Other) { return !Other.Losses.empty(); });
  if (!Step.HasLosses)
    Step.SuspectedSince.reset();
  markPoolDirty(Job.Pool);
  if (weighLosses(Job.lossesOf(Task), LossWeighing::CertainOnly) >=
      CrashEvidenceLimit)
    failForCrashes(Job, Task);
}

void Dispatcher::failForCrashes(JobProgress &Job, const TaskId &Task) {
  if (std::exchange(Job.HasEnded, true))
    return;
  ++Counters.JobsFailedForCrashes;
  Json Crashes = Json::array();
  for (const RunLoss &Loss : Job.lossesOf(Task))
    Crashes.push_back(Loss);
  Json Fields = taskFields(Task, Job.findTask(Task)->LastAttempt);
  Fields["why"] = "crashes_workers";
  Fields["crashes"] = Crashes;
  Hooks.LogEvent("job_failed", Fields);
  TaskId Member = Task;
  for (Member.Index = 0; Member.Index < Job.stepSpec(Task.Step).Count;
       ++Member.Index)
    if (!Job.findTask(Member)->Losses.empty())
      LossesToPropose.insert(Member);
  stopAllRuns(Job);
}

void Dispatcher::loadLosses(JobProgress &Job) {
  std::vector<TaskId> Changed;
  for (auto &[K, Occurrence] : Job.Occurrences)
    for (uint32_t S = 0; S < Occurrence.Steps.size(); ++S) {
      StepProgress &Step = Occurrence.Steps[S];
      if (!Step.HasLosses)
        continue;
      Step.SuspectedSince = Timers.now();
      for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
        TaskId Task{Job.id(), K, S, I};
        if (restoreLosses(Task, Step.Tasks[I].Losses))
          Changed.push_back(Task);
      }
    }
  for (const TaskId &Task : Changed)
    onLossesChanged(Task);
}

bool Dispatcher::restoreLosses(const TaskId &Task,
                               std::vector<RunLoss> &Losses) {
  bool Changed = false;
  for (RunLoss &Loss : Losses) {
    if (Loss.IsCertain)
      continue;
    if (Store.workers().count(Loss.Worker) > 0) {
      OpenLosses[Loss.Worker].insert(Task);
      continue;
    }
    // The earlier leader heard that the worker was gone. It had restarted if
    // a later incarnation is known.
    auto Later = Store.workers().upper_bound(Loss.Worker);
    Loss.IsCertain =
        Later != Store.workers().end() && Later->first.Id == Loss.Worker.Id;
    Changed = true;
  }
  std::erase_if(Losses, [&](const RunLoss &Loss) {
    return !Loss.IsCertain && Store.workers().count(Loss.Worker) == 0;
  });
  return Changed;
}

void Dispatcher::proposeLosses() {
  if (LossesToPropose.empty())
    return;
  RecordLosses Command;
  while (!LossesToPropose.empty() &&
         Command.Tasks.size() < MaxTasksPerCommand) {
    TaskId Task = *LossesToPropose.begin();
    LossesToPropose.erase(LossesToPropose.begin());
    auto Job = Jobs.find(Task.Job);
    TaskProgress *TaskState =
        Job == Jobs.end() ? nullptr : Job->second->findTask(Task);
    if (TaskState == nullptr)
      continue;
    TaskState->WereLossesProposed = true;
    Command.Tasks.push_back({Task, TaskState->Losses});
  }
  if (Command.Tasks.empty())
    return;
  std::shared_ptr<bool> IsAlive = AliveFlag;
  Hooks.Propose(Command, [this, IsAlive, Command](bool Committed) {
    if (*IsAlive)
      onLossesProposed(Command, Committed);
  });
}

void Dispatcher::onLossesProposed(const RecordLosses &Command, bool Committed) {
  for (const TaskLosses &Proposed : Command.Tasks) {
    const TaskId &Task = Proposed.Task;
    auto Job = Jobs.find(Task.Job);
    TaskProgress *TaskState =
        Job == Jobs.end() ? nullptr : Job->second->findTask(Task);
    if (TaskState == nullptr)
      continue;
    if (!Committed) {
      LossesToPropose.insert(Task);
      continue;
    }
    // What has changed since then is proposed by itself.
    TaskState->AreLossesCommitted = TaskState->Losses == Proposed.Losses;
    if (TaskState->AreLossesCommitted)
      TaskState->WereLossesProposed = !TaskState->Losses.empty();
    markPoolDirty(Job->second->Pool);
    removeJobIfFinished(Task.Job);
  }
}

bool Dispatcher::areLossesCommitted(const TaskId &Step) {
  bool AreCommitted = true;
  TaskId Member = Step;
  StepProgress &Progress = *Jobs.at(Step.Job)->findStep(Step);
  for (Member.Index = 0; Member.Index < Progress.Tasks.size(); ++Member.Index) {
    if (Progress.Tasks[Member.Index].AreLossesCommitted)
      continue;
    LossesToPropose.insert(Member);
    AreCommitted = false;
  }
  return AreCommitted;
}

void Dispatcher::checkSurvival(TrackedWorker &Worker, const TaskId &Task,
                               Run &CurrentRun) {
  bool IsCanary = CurrentRun.IsCanary;
  if ((!IsCanary && !CurrentRun.LongRunning) ||
      CurrentRun.State != RunState::Running)
    return;
  TaskProgress *TaskState = findWantedTask(Task);
  if (TaskState == nullptr)
    return;
  Duration Survived = Worker.survivedTime(CurrentRun);
  Duration Canary = canaryDuration(*TaskState, Options.Suspicion);
  if (IsCanary && Survived >= Canary)
    passCanary(Worker, Task, CurrentRun);
  bool IsCleared = CurrentRun.LongRunning && !TaskState->Losses.empty() &&
                   Survived >= std::max(Canary, Options.Suspicion.ClearingAge);
  if (!IsCleared)
    return;
  ++Counters.ClearedTasks;
  Hooks.LogEvent("task_cleared", taskFields(Task, CurrentRun.Attempt));
  TaskState->Losses.clear();
  TaskState->ReleasedLosses = 0;
  onLossesChanged(Task);
}

void Dispatcher::onAlive(TrackedWorker &Worker, Instant At) {
  Worker.AliveAt = std::max(Worker.AliveAt, At);
  if (Worker.CanaryCount == 0)
    return;
  for (auto &[Task, CurrentRun] : Worker.Runs)
    checkSurvival(Worker, Task, CurrentRun);
}

void Dispatcher::probeCanaries() {
  for (auto It = CanaryWorkers.begin(); It != CanaryWorkers.end();) {
    TrackedWorker *Worker = Table.find(*It);
    if (Worker == nullptr || Worker->CanaryCount == 0) {
      It = CanaryWorkers.erase(It);
      continue;
    }
    if (mayRenew(*Worker) && mayIssueOrders())
      renewLease(*Worker);
    ++It;
  }
}

void Dispatcher::passCanary(TrackedWorker &Worker, const TaskId &Task,
                            Run &CurrentRun) {
  Table.endCanary(Worker, CurrentRun);
  ++Counters.PassedCanaries;
  auto Job = Jobs.find(Task.Job);
  if (Job == Jobs.end() || Job->second->findTask(Task) == nullptr)
    return;
  releaseStep(*Job->second->findStep(Task), Task.Index);
  markPoolDirty(Job->second->Pool);
}

bool Dispatcher::hasCanarySlot(const std::string &Pool) const {
  const std::map<WorkerKey, TrackedWorker *> &Workers =
      Table.workersInPool(Pool);
  size_t Holding = 0;
  size_t Idle = 0;
  for (const auto &[Key, Worker] : Workers) {
    Holding += Worker->CanaryCount > 0 ? 1 : 0;
    Idle += Worker->IsReachable && Worker->Runs.empty() ? 1 : 0;
  }
  return Holding < maxCanaries(Workers.size(), Options.Suspicion) || Idle > 1;
}

void Dispatcher::reserveWorkerForCanary(const std::string &Pool,
                                        const PlacementRequest &Request,
                                        StepProgress &Step,
                                        PlacementPass &Pass) {
  if (!Step.CanaryAwaitedSince)
    Step.CanaryAwaitedSince = Timers.now();
  const std::map<WorkerKey, TrackedWorker *> &Workers =
      Table.workersInPool(Pool);
  auto Taken = static_cast<size_t>(std::count_if(
      Workers.begin(), Workers.end(), [&](const auto &KeyAndWorker) {
        const TrackedWorker &Worker = *KeyAndWorker.second;
        return Worker.CanaryCount > 0 || Timers.now() < Worker.ReservedUntil;
      }));
  if (Taken >= maxCanaries(Workers.size(), Options.Suspicion))
    return;
  TrackedWorker *Chosen = Pass.chooseForCanary(Request);
  if (Chosen == nullptr)
    return;
  Chosen->ReservedUntil = Timers.now() + Options.Suspicion.ReservationDuration;
  Pass.reserveForCanary(*Chosen);
}

} // namespace mimosashunt
