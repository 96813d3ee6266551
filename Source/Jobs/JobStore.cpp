#include "Jobs/JobStore.h"

#include "Jobs/JobSnapshot.h"
#include "Jobs/Limits.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace mimosashunt {

bool JobStore::apply(const JobCommand &Command) {
  return std::visit([this](const auto &Typed) { return applyCommand(Typed); },
                    Command);
}

const JobRecord *JobStore::findJob(const JobId &Job) const {
  auto It = State.Jobs.find(Job);
  return It == State.Jobs.end() ? nullptr : &It->second;
}

bool JobStore::applyCommand(const AcceptJob &Command) {
  if (!isConsistent(Command.Spec))
    return false;
  auto [It, Inserted] = State.Jobs.try_emplace(Command.Job);
  if (!Inserted)
    return false;
  JobRecord &Record = It->second;
  Record.Job = Command;
  Record.ConfigurationVersion = State.ConfigurationVersion;
  clampAmounts(Record.Job.Spec);
  Record.Tasks = TaskRecords(Command.Spec);
  return true;
}

bool JobStore::applyCommand(const CancelJob &Command) {
  auto It = State.Jobs.find(Command.Job);
  if (It == State.Jobs.end() || It->second.hasEnded())
    return false;
  endJob(It->second, JobState::Cancelled);
  return true;
}

size_t JobStore::failureCount(const JobRecord &Record,
                              const TaskId &Task) const {
  const OccurrenceTasks *Steps = Record.Tasks.find(Task.Occurrence);
  if (Steps == nullptr)
    return 0;
  const std::vector<TaskRecord> &Members = (*Steps)[Task.Step];
  if (!Record.Job.Spec.Steps[Task.Step].Gang)
    return Members[Task.Index].FailedAttempts.size();
  // All members of a gang share an attempt number, so several failures of one
  // attempt count once.
  std::set<uint32_t> Attempts;
  for (const TaskRecord &Member : Members)
    Attempts.insert(Member.FailedAttempts.begin(), Member.FailedAttempts.end());
  return Attempts.size();
}

JobRecord *JobStore::findUnfinishedJob(const TaskId &Task) {
  auto It = State.Jobs.find(Task.Job);
  if (It == State.Jobs.end() || It->second.hasEnded())
    return nullptr;
  return hasTask(It->second.Job.Spec, Task) ? &It->second : nullptr;
}

bool JobStore::isDone(const JobRecord &Record, const TaskId &Task) {
  if (Record.Tasks.hasEnded(Task.Occurrence))
    return true;
  const OccurrenceTasks *Steps = Record.Tasks.find(Task.Occurrence);
  return Steps != nullptr && (*Steps)[Task.Step][Task.Index].Done;
}

bool JobStore::recordTaskLosses(const TaskLosses &Recorded) {
  const TaskId &Task = Recorded.Task;
  JobRecord *Record = findUnfinishedJob(Task);
  if (Record == nullptr || isDone(*Record, Task))
    return false;
  std::erase_if(Record->Losses, [&](const TaskLosses &Earlier) {
    return Earlier.Task == Task;
  });
  if (Recorded.Losses.empty())
    return true;
  Record->Losses.push_back(Recorded);
  Record->State = JobState::Running;
  bool Gang = Record->Job.Spec.Steps[Task.Step].Gang;
  std::vector<RunLoss> Evidence;
  for (const TaskLosses &Known : Record->Losses)
    if (Gang ? Task.isOfSameStep(Known.Task) : Task == Known.Task)
      Evidence.insert(Evidence.end(), Known.Losses.begin(), Known.Losses.end());
  if (weighLosses(Evidence, LossWeighing::CertainOnly) >= CrashEvidenceLimit)
    endJob(*Record, JobState::Failed);
  return true;
}

bool JobStore::applyCommand(const RecordLosses &Command) {
  bool Changed = false;
  for (const TaskLosses &Recorded : Command.Tasks)
    Changed |= recordTaskLosses(Recorded);
  return Changed;
}

void JobStore::endJob(JobRecord &Record, JobState EndState) {
  Record.State = EndState;
  // No task of it starts any more. The steps tell what its last runs reserve.
  Record.Job.Spec.Payload.clear();
  Record.Job.Spec.Payload.shrink_to_fit();
  Record.Tasks = {};
  Record.Losses.clear();
  Record.Placements.clear();
}

bool JobStore::recordRunResult(const RunResult &Result) {
  JobRecord *Found = findUnfinishedJob(Result.Task);
  if (Found == nullptr)
    return false;
  JobRecord &Record = *Found;
  const StepSpec &Spec = Record.Job.Spec.Steps[Result.Task.Step];
  if (Spec.LongRunning || isDone(Record, Result.Task))
    return false;
  Record.State = JobState::Running;
  OccurrenceTasks &Steps =
      Record.Tasks.open(Result.Task.Occurrence, Record.Job.Spec);
  if (!Result.Succeeded) {
    std::vector<uint32_t> &Failed =
        Steps[Result.Task.Step][Result.Task.Index].FailedAttempts;
    if (std::find(Failed.begin(), Failed.end(), Result.Attempt) != Failed.end())
      return false;
    Failed.push_back(Result.Attempt);
    if (failureCount(Record, Result.Task) >= Record.Job.MaxAttempts)
      endJob(Record, JobState::Failed);
    return true;
  }
  // What succeeds does not crash its worker.
  std::erase_if(Record.Losses, [&](const TaskLosses &Known) {
    return Spec.Gang ? Result.Task.isOfSameStep(Known.Task)
                     : Result.Task == Known.Task;
  });
  // The success of one member completes the whole gang.
  Record.Tasks.markDone(Result.Task, Spec.Gang);
  if (Record.Tasks.unfinishedTasks() == 0)
    endJob(Record, JobState::Completed);
  return true;
}

bool JobStore::applyCommand(const RecordRunResults &Command) {
  bool Changed = false;
  for (const RunResult &Result : Command.Results)
    Changed |= recordRunResult(Result);
  return Changed;
}

bool JobStore::applyCommand(const PutConfiguration &Command) {
  if (Command.Version <= State.ConfigurationVersion)
    return false;
  State.ConfigurationVersion = Command.Version;
  State.ConfigurationText = Command.Text;
  return true;
}

bool JobStore::applyCommand(const UpdateWorkers &Command) {
  for (const WorkerEntry &Entry : Command.Workers) {
    bool WasLeaving =
        State.Workers.count(Entry.Key) && State.Workers[Entry.Key].Leaving;
    State.Workers[Entry.Key] = Entry;
    State.Workers[Entry.Key].Capacity = clampAmounts(Entry.Capacity);
    // An incarnation that is leaving never becomes available again.
    State.Workers[Entry.Key].Leaving |= WasLeaving;
  }
  for (const WorkerKey &Key : Command.Removed)
    State.Workers.erase(Key);
  return true;
}

bool JobStore::applyCommand(const StartWave &Command) {
  auto [It, Inserted] = State.Waves.try_emplace(Command.Wave);
  if (Inserted)
    It->second.Plan = Command;
  return Inserted;
}

bool JobStore::applyCommand(const NoteMaintenanceOrder &Command) {
  auto It = State.Waves.find(Command.Wave);
  if (It == State.Waves.end())
    return false;
  WaveRecord &Wave = It->second;
  if (!Command.IsPending)
    return Wave.OrderedVms.erase(Command.Vm) > 0;
  const std::vector<std::string> &Vms = Wave.Plan.Vms;
  bool IsDue = std::find(Vms.begin(), Vms.end(), Command.Vm) != Vms.end() &&
               Wave.FinishedVms.count(Command.Vm) == 0;
  return IsDue && Wave.OrderedVms.insert(Command.Vm).second;
}

bool JobStore::applyCommand(const FinishMaintenance &Command) {
  auto It = State.Waves.find(Command.Wave);
  if (It == State.Waves.end())
    return false;
  const std::vector<std::string> &Vms = It->second.Plan.Vms;
  bool Changed = false;
  for (const std::string &Vm : Command.Vms) {
    if (std::find(Vms.begin(), Vms.end(), Vm) != Vms.end())
      Changed |= It->second.FinishedVms.insert(Vm).second;
    It->second.OrderedVms.erase(Vm);
  }
  return Changed;
}

bool JobStore::applyCommand(const RecordPlacements &Command) {
  bool Changed = false;
  for (const JobPlacements &Recorded : Command.Jobs) {
    auto It = State.Jobs.find(Recorded.Job);
    if (It == State.Jobs.end() || It->second.hasEnded())
      continue;
    std::set<WorkerKey> &Placements = It->second.Placements;
    // A job that runs for long would otherwise collect every incarnation that
    // it ever ran on. What was removed runs nothing.
    std::erase_if(Placements, [this](const WorkerKey &Worker) {
      return State.Workers.count(Worker) == 0;
    });
    for (const WorkerKey &Worker : Recorded.Workers)
      if (State.Workers.count(Worker) > 0)
        Changed |= Placements.insert(Worker).second;
  }
  return Changed;
}

bool JobStore::applyCommand(const SetEvacuation &Command) {
  if (isEvacuated(Command.DataCentre) == Command.Active)
    return false;
  State.Evacuations[Command.DataCentre] = Command;
  return true;
}

bool JobStore::applyCommand(const RecordUsage &Command) {
  State.Usage = Command;
  return true;
}

bool JobStore::applyCommand(const RecordRunTimes &Command) {
  State.RunTimes = Command;
  return true;
}

bool JobStore::applyCommand(const RecordTombstone &Command) {
  State.CancelledIds.advance(Command.Now);
  State.CancelledIds.add(Command.Added);
  return true;
}

bool JobStore::applyCommand(const ForgetEnded &Command) {
  State.CancelledIds.advance(Command.Now);
  for (auto It = State.Jobs.begin(); It != State.Jobs.end();) {
    JobRecord &Record = It->second;
    bool IsForgotten = Record.hasEnded() && Record.EndedAt > 0 &&
                       Record.EndedAt <= Command.EndedUntil;
    if (Record.hasEnded() && Record.EndedAt == 0)
      Record.EndedAt = logTime();
    It = IsForgotten ? State.Jobs.erase(It) : std::next(It);
  }
  return true;
}

bool JobStore::isEvacuated(const std::string &DataCentre) const {
  auto It = State.Evacuations.find(DataCentre);
  return It != State.Evacuations.end() && It->second.Active;
}

bool JobStore::applyCommand(const BeginLeadership &Command) {
  ++State.Leaderships;
  if (Command.RecordsPlacements)
    return true;
  for (auto &[Id, Record] : State.Jobs) {
    Record.Job.RecordsPlacements = false;
    Record.Placements.clear();
  }
  return true;
}

std::string JobStore::snapshot() const { return encodeSnapshot(State); }

bool JobStore::restore(const std::string &Bytes) {
  JobStoreState Restored;
  if (!Bytes.empty() && !decodeSnapshot(Bytes, Restored))
    return false;
  State = std::move(Restored);
  return true;
}

} // namespace mimosashunt
