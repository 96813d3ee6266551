#include "Scheduling/JobProgress.h"

#include <algorithm>

namespace mimosashunt {

bool OccurrenceProgress::hasRuns() const {
  return std::any_of(Steps.begin(), Steps.end(), [](const StepProgress &Step) {
    return !Step.RunsPerWorker.empty();
  });
}

bool OccurrenceProgress::isDone() const {
  return std::all_of(Steps.begin(), Steps.end(),
                     [](const StepProgress &Step) { return Step.isDone(); });
}

JobProgress::JobProgress(const JobRecord &Record,
                         const QueueConfiguration &Queue, uint32_t FirstAttempt,
                         Instant AcceptedAt)
    : Pool(Queue.Pool), PoolSince(Queue.PoolSince), Priority(Queue.Priority),
      Advice(Queue.Advice), MaxAttempts(Record.Job.MaxAttempts),
      AcceptedAt(AcceptedAt), Job(Record.Job),
      ConfigurationVersion(Record.ConfigurationVersion),
      FirstAttempt(FirstAttempt), LongRunning(Record.Job.Spec.isLongRunning()) {
  auto StretchedMs = static_cast<int64_t>(
      Queue.Stretch * static_cast<double>(Job.Spec.criticalPathMs()));
  Objective = AcceptedAt + milliseconds(StretchedMs + Queue.TargetMs);
  HasStarted = Record.State == JobState::Running;
  NextOccurrence = Record.Tasks.firstUnfinished();
  UnfinishedOccurrences = Record.Tasks.unfinishedOccurrences(Job.Spec);
  for (const TaskLosses &Known : Record.Losses) {
    openOccurrence(Record.Tasks, Known.Task.Occurrence);
    TaskProgress *TaskState = findTask(Known.Task);
    if (TaskState == nullptr)
      continue;
    TaskState->Losses = Known.Losses;
    TaskState->WereLossesProposed = true;
    findStep(Known.Task)->HasLosses = true;
  }
}

uint32_t maxOpenOccurrences(const JobSpec &Spec) {
  // They do not end, so that later ones would wait for ever.
  if (Spec.isLongRunning())
    return Spec.Recurrence.occurrences();
  // More are seldom due at once, and a leader that was away for long must not
  // open all that it has missed.
  constexpr uint64_t MaxOccurrences = 64;
  constexpr uint64_t MaxTasks = 4000;
  uint64_t TasksEach = std::max<uint64_t>(tasksPerOccurrence(Spec), 1);
  uint64_t Most = std::clamp<uint64_t>(MaxTasks / TasksEach, 1, MaxOccurrences);
  return static_cast<uint32_t>(
      std::min<uint64_t>(Most, Spec.Recurrence.occurrences()));
}

OccurrenceProgress
JobProgress::makeOccurrence(const OccurrenceTasks *Known) const {
  OccurrenceProgress Occurrence;
  Occurrence.Steps.resize(Job.Spec.Steps.size());
  for (size_t S = 0; S < Occurrence.Steps.size(); ++S) {
    StepProgress &Step = Occurrence.Steps[S];
    Step.Tasks.resize(Job.Spec.Steps[S].Count);
    if (Known == nullptr)
      continue;
    for (size_t I = 0; I < Step.Tasks.size(); ++I) {
      const TaskRecord &Task = (*Known)[S][I];
      TaskProgress &TaskState = Step.Tasks[I];
      TaskState.Done = Task.Done;
      Step.DoneCount += Task.Done ? 1 : 0;
      TaskState.FailedAttempts.insert(Task.FailedAttempts.begin(),
                                      Task.FailedAttempts.end());
      for (uint32_t Attempt : Task.FailedAttempts)
        TaskState.LastAttempt = std::max(TaskState.LastAttempt, Attempt);
    }
  }
  return Occurrence;
}

void JobProgress::openOccurrence(const TaskRecords &Known,
                                 uint32_t Occurrence) {
  bool Exists = Occurrence < Job.Spec.Recurrence.occurrences();
  if (!Exists || Known.hasEnded(Occurrence) || Occurrences.count(Occurrence))
    return;
  Occurrences.emplace(Occurrence, makeOccurrence(Known.find(Occurrence)));
}

void JobProgress::openDueOccurrences(const TaskRecords &Known,
                                     UnixMillis Until) {
  const RecurrenceSpec &Recurrence = Job.Spec.Recurrence;
  const uint32_t Most = maxOpenOccurrences(Job.Spec);
  while (NextOccurrence < Recurrence.occurrences() &&
         Occurrences.size() < Most && Recurrence.dueAt(NextOccurrence) <= Until)
    openOccurrence(Known, NextOccurrence++);
}

void JobProgress::closeEndedOccurrences(const TaskRecords &Known) {
  std::erase_if(Occurrences, [&Known](const auto &NumberAndOccurrence) {
    const auto &[Number, Occurrence] = NumberAndOccurrence;
    return Known.hasEnded(Number) && !Occurrence.hasRuns();
  });
}

bool JobProgress::isReady(uint32_t Occurrence, uint32_t Step) const {
  const std::vector<StepProgress> &Steps = Occurrences.at(Occurrence).Steps;
  const std::vector<uint32_t> &After = Job.Spec.Steps[Step].DependsOn;
  return std::all_of(After.begin(), After.end(), [&](uint32_t Dependency) {
    return Steps[Dependency].isDone();
  });
}

StepProgress *JobProgress::findStep(const TaskId &Task) {
  auto It = Occurrences.find(Task.Occurrence);
  if (It == Occurrences.end() || Task.Step >= It->second.Steps.size())
    return nullptr;
  return &It->second.Steps[Task.Step];
}

TaskProgress *JobProgress::findTask(const TaskId &Task) {
  StepProgress *Step = findStep(Task);
  if (Step == nullptr || Task.Index >= Step->Tasks.size())
    return nullptr;
  return &Step->Tasks[Task.Index];
}

void JobProgress::recordSuccess(const TaskId &Task) {
  StepProgress &Step = *findStep(Task);
  bool IsGang = stepSpec(Task.Step).Gang;
  uint32_t First = IsGang ? 0 : Task.Index;
  auto End = IsGang ? static_cast<uint32_t>(Step.Tasks.size()) : Task.Index + 1;
  bool WasDone = Occurrences.at(Task.Occurrence).isDone();
  for (uint32_t I = First; I < End; ++I) {
    TaskProgress &TaskState = Step.Tasks[I];
    if (TaskState.Done)
      continue;
    TaskState.Done = true;
    TaskState.Losses.clear();
    ++Step.DoneCount;
    if (!TaskState.Workers.empty())
      --Step.PlacedCount;
  }
  // No more tasks of it start.
  if (Step.isDone())
    Step.Advice = {};
  if (!WasDone && Occurrences.at(Task.Occurrence).isDone())
    --UnfinishedOccurrences;
  // A failed job stays ended, even if more of its tasks succeed afterwards.
  HasEnded |= !LongRunning && UnfinishedOccurrences == 0;
}

size_t JobProgress::recordFailure(const TaskId &Task, uint32_t Attempt) {
  findTask(Task)->FailedAttempts.insert(Attempt);
  if (!stepSpec(Task.Step).Gang)
    return findTask(Task)->FailedAttempts.size();
  std::set<uint32_t> Attempts;
  for (const TaskProgress &Member : findStep(Task)->Tasks)
    Attempts.insert(Member.FailedAttempts.begin(), Member.FailedAttempts.end());
  return Attempts.size();
}

std::vector<RunLoss> JobProgress::lossesOf(const TaskId &Task) {
  if (!stepSpec(Task.Step).Gang)
    return findTask(Task)->Losses;
  std::vector<RunLoss> Result;
  for (const TaskProgress &Member : findStep(Task)->Tasks)
    Result.insert(Result.end(), Member.Losses.begin(), Member.Losses.end());
  return Result;
}

void JobProgress::addPlacement(const TaskId &Task, const WorkerKey &At,
                               uint32_t Attempt) {
  StepProgress &Step = *findStep(Task);
  TaskProgress &TaskState = Step.Tasks[Task.Index];
  if (TaskState.Workers.empty() && !TaskState.Done)
    ++Step.PlacedCount;
  TaskState.Workers.push_back(At);
  TaskState.LastAttempt = std::max(TaskState.LastAttempt, Attempt);
  Step.GangAttempt = std::max(Step.GangAttempt, Attempt);
  ++Step.RunsPerWorker[At];
}

void JobProgress::removePlacement(const TaskId &Task, const WorkerKey &At) {
  StepProgress &Step = *findStep(Task);
  TaskProgress &TaskState = Step.Tasks[Task.Index];
  auto It = std::find(TaskState.Workers.begin(), TaskState.Workers.end(), At);
  if (It == TaskState.Workers.end())
    return;
  TaskState.Workers.erase(It);
  if (--Step.RunsPerWorker[At] == 0)
    Step.RunsPerWorker.erase(At);
  if (TaskState.Workers.empty() && !TaskState.Done)
    --Step.PlacedCount;
}

void JobProgress::reuseAttempt(const TaskId &Task, uint32_t Attempt) {
  StepProgress &Step = *findStep(Task);
  TaskProgress &TaskState = Step.Tasks[Task.Index];
  if (TaskState.LastAttempt == Attempt)
    --TaskState.LastAttempt;
  if (Step.GangAttempt == Attempt)
    --Step.GangAttempt;
}

uint32_t JobProgress::nextAttempt(const TaskId &Task) const {
  const StepProgress &Step = Occurrences.at(Task.Occurrence).Steps[Task.Step];
  uint32_t Last = stepSpec(Task.Step).Gang ? Step.GangAttempt
                                           : Step.Tasks[Task.Index].LastAttempt;
  return std::max(Last, FirstAttempt) + 1;
}

size_t JobProgress::countWaitingTasks() const {
  size_t Count = 0;
  for (const auto &[Number, Occurrence] : Occurrences)
    for (const StepProgress &Step : Occurrence.Steps)
      Count += Step.Tasks.size() - Step.DoneCount - Step.PlacedCount;
  return Count;
}

double JobProgress::remainingCoreMs(double EstimateFactor) const {
  double Sum = 0;
  for (const auto &[Number, Occurrence] : Occurrences)
    for (size_t I = 0; I < Occurrence.Steps.size(); ++I) {
      const StepSpec &Spec = Job.Spec.Steps[I];
      const StepProgress &Step = Occurrence.Steps[I];
      Sum += static_cast<double>(Step.Tasks.size() - Step.DoneCount) *
             static_cast<double>(Spec.TaskResources.Cpu) / 1000 *
             static_cast<double>(Spec.EstimateMs) * EstimateFactor;
    }
  return Sum;
}

double JobProgress::remainingCriticalPathMs(double EstimateFactor) const {
  if (Occurrences.empty())
    return 0;
  const OccurrenceProgress &Occurrence = Occurrences.begin()->second;
  std::vector<double> EndsAt(Occurrence.Steps.size(), 0);
  double Longest = 0;
  for (size_t I = 0; I < EndsAt.size(); ++I) {
    double StartsAt = 0;
    for (uint32_t Dependency : Job.Spec.Steps[I].DependsOn)
      StartsAt = std::max(StartsAt, EndsAt[Dependency]);
    bool Done = Occurrence.Steps[I].isDone();
    EndsAt[I] = StartsAt +
                (Done ? 0
                      : EstimateFactor *
                            static_cast<double>(Job.Spec.Steps[I].EstimateMs));
    Longest = std::max(Longest, EndsAt[I]);
  }
  return Longest;
}

} // namespace mimosashunt
