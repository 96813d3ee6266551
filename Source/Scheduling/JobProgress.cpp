#include "Scheduling/JobProgress.h"

#include <algorithm>

namespace mimosashunt {

bool OccurrenceProgress::done() const {
  return std::all_of(Steps.begin(), Steps.end(),
                     [](const StepProgress &Step) { return Step.done(); });
}

JobProgress::JobProgress(const JobRecord &Record,
                         const QueueConfiguration &Queue, uint32_t FirstAttempt,
                         Instant AcceptedAt)
    : Pool(Queue.Pool), Priority(Queue.Priority),
      NeedsAdvice(Queue.Advice.has_value()),
      MaxAttempts(Record.Job.MaxAttempts), AcceptedAt(AcceptedAt),
      Job(Record.Job), FirstAttempt(FirstAttempt),
      LongRunning(Record.Job.Spec.isLongRunning()) {
  auto StretchedMs = static_cast<int64_t>(
      Queue.Stretch * static_cast<double>(Job.Spec.criticalPathMs()));
  Objective = AcceptedAt + milliseconds(StretchedMs + Queue.TargetMs);
  Begun = Record.State == JobState::Running;
  for (const auto &Steps : Record.Tasks) {
    OccurrenceProgress &Occurrence = Occurrences.emplace_back();
    for (const auto &Tasks : Steps) {
      StepProgress &Step = Occurrence.Steps.emplace_back();
      for (const TaskRecord &Task : Tasks) {
        TaskSlot &Slot = Step.Tasks.emplace_back();
        Slot.Done = Task.Done;
        Step.DoneCount += Task.Done ? 1 : 0;
        Slot.FailedAttempts.insert(Task.FailedAttempts.begin(),
                                   Task.FailedAttempts.end());
        for (uint32_t Attempt : Task.FailedAttempts)
          Slot.LastAttempt = std::max(Slot.LastAttempt, Attempt);
      }
    }
  }
}

bool JobProgress::ready(uint32_t Occurrence, uint32_t Step) const {
  const std::vector<StepProgress> &Steps = Occurrences[Occurrence].Steps;
  const std::vector<uint32_t> &After = Job.Spec.Steps[Step].DependsOn;
  return std::all_of(After.begin(), After.end(),
                     [&](uint32_t Earlier) { return Steps[Earlier].done(); });
}

StepProgress *JobProgress::stepOf(const TaskId &Task) {
  if (Task.Occurrence >= Occurrences.size() ||
      Task.Step >= Occurrences[Task.Occurrence].Steps.size())
    return nullptr;
  return &Occurrences[Task.Occurrence].Steps[Task.Step];
}

TaskSlot *JobProgress::slot(const TaskId &Task) {
  StepProgress *Step = stepOf(Task);
  if (Step == nullptr || Task.Index >= Step->Tasks.size())
    return nullptr;
  return &Step->Tasks[Task.Index];
}

void JobProgress::noteDone(const TaskId &Task) {
  StepProgress &Step = *stepOf(Task);
  bool Gang = step(Task.Step).Gang;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    TaskSlot &Slot = Step.Tasks[I];
    if (Slot.Done || (!Gang && I != Task.Index))
      continue;
    Slot.Done = true;
    ++Step.DoneCount;
    if (!Slot.At.empty())
      --Step.Placed;
  }
  // A job that failed stays ended, whatever of it is done after that.
  Ended |= !LongRunning &&
           std::all_of(Occurrences.begin(), Occurrences.end(),
                       [](const OccurrenceProgress &O) { return O.done(); });
}

size_t JobProgress::noteFailed(const TaskId &Task, uint32_t Attempt) {
  slot(Task)->FailedAttempts.insert(Attempt);
  if (!step(Task.Step).Gang)
    return slot(Task)->FailedAttempts.size();
  std::set<uint32_t> Attempts;
  for (const TaskSlot &Member : stepOf(Task)->Tasks)
    Attempts.insert(Member.FailedAttempts.begin(), Member.FailedAttempts.end());
  return Attempts.size();
}

void JobProgress::place(const TaskId &Task, const WorkerKey &At,
                        uint32_t Attempt) {
  StepProgress &Step = *stepOf(Task);
  TaskSlot &Slot = Step.Tasks[Task.Index];
  if (Slot.At.empty() && !Slot.Done)
    ++Step.Placed;
  Slot.At.push_back(At);
  Slot.LastAttempt = std::max(Slot.LastAttempt, Attempt);
  Step.GangAttempt = std::max(Step.GangAttempt, Attempt);
  ++Step.PerWorker[At];
  Begun = true;
}

void JobProgress::unplace(const TaskId &Task, const WorkerKey &At) {
  StepProgress &Step = *stepOf(Task);
  TaskSlot &Slot = Step.Tasks[Task.Index];
  auto Found = std::find(Slot.At.begin(), Slot.At.end(), At);
  if (Found == Slot.At.end())
    return;
  Slot.At.erase(Found);
  if (--Step.PerWorker[At] == 0)
    Step.PerWorker.erase(At);
  if (Slot.At.empty() && !Slot.Done)
    --Step.Placed;
}

uint32_t JobProgress::nextAttempt(const TaskId &Task) const {
  const StepProgress &Step = Occurrences[Task.Occurrence].Steps[Task.Step];
  uint32_t Last = step(Task.Step).Gang ? Step.GangAttempt
                                       : Step.Tasks[Task.Index].LastAttempt;
  return std::max(Last, FirstAttempt) + 1;
}

double JobProgress::remainingWork(double EstimateFactor) const {
  double Sum = 0;
  for (const OccurrenceProgress &Occurrence : Occurrences)
    for (size_t I = 0; I < Occurrence.Steps.size(); ++I) {
      const StepSpec &Spec = Job.Spec.Steps[I];
      const StepProgress &Step = Occurrence.Steps[I];
      Sum += static_cast<double>(Step.Tasks.size() - Step.DoneCount) *
             static_cast<double>(Spec.TaskResources.Cpu) / 1000 *
             static_cast<double>(Spec.EstimateMs) * EstimateFactor;
    }
  return Sum;
}

double JobProgress::remainingChainMs(double EstimateFactor) const {
  const OccurrenceProgress &Occurrence = Occurrences.front();
  std::vector<double> EndsAt(Occurrence.Steps.size(), 0);
  double Longest = 0;
  for (size_t I = 0; I < EndsAt.size(); ++I) {
    double Begins = 0;
    for (uint32_t Earlier : Job.Spec.Steps[I].DependsOn)
      Begins = std::max(Begins, EndsAt[Earlier]);
    bool Done = Occurrence.Steps[I].done();
    EndsAt[I] =
        Begins + (Done ? 0
                       : EstimateFactor *
                             static_cast<double>(Job.Spec.Steps[I].EstimateMs));
    Longest = std::max(Longest, EndsAt[I]);
  }
  return Longest;
}

} // namespace mimosashunt
