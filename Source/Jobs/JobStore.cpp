#include "Jobs/JobStore.h"

#include "Jobs/Limits.h"

#include <algorithm>

namespace mimosashunt {

namespace {

/// The contents of a snapshot.
struct SnapshotContents {
  std::vector<JobRecord> Jobs;
  uint64_t Version = 0;
  std::string Text;
  std::vector<WorkerEntry> Workers;
  std::vector<WaveRecord> Waves;
  uint64_t Leaderships = 0;
  // Missing in snapshots of earlier versions.
  std::vector<SetEvacuation> Evacuations;
  RecordUsage Usage;
  RecordRunTimes RunTimes;
};

Json snapshotToJson(const SnapshotContents &Contents) {
  return {{"jobs", Contents.Jobs},
          {"version", Contents.Version},
          {"text", Contents.Text},
          {"workers", Contents.Workers},
          {"waves", Contents.Waves},
          {"leaderships", Contents.Leaderships},
          {"evacuations", Contents.Evacuations},
          {"usage", Contents.Usage},
          {"runTimes", Contents.RunTimes}};
}

SnapshotContents snapshotFromJson(const Json &In) {
  SnapshotContents Contents;
  In.at("jobs").get_to(Contents.Jobs);
  In.at("version").get_to(Contents.Version);
  In.at("text").get_to(Contents.Text);
  In.at("workers").get_to(Contents.Workers);
  In.at("waves").get_to(Contents.Waves);
  In.at("leaderships").get_to(Contents.Leaderships);
  FieldReader Field{In};
  Field.list("evacuations", Contents.Evacuations);
  Field.list("usage", Contents.Usage);
  Field.list("runTimes", Contents.RunTimes);
  return Contents;
}

/// Returns true if the record of a job has the tasks that the job states.
bool hasTasksOfSpec(const JobRecord &Record) {
  const std::vector<StepSpec> &Steps = Record.Job.Spec.Steps;
  uint64_t Unfinished = 0;
  for (const auto &Occurrence : Record.Tasks) {
    if (Occurrence.size() != Steps.size())
      return false;
    for (size_t I = 0; I < Steps.size(); ++I) {
      if (Occurrence[I].size() != Steps[I].Count)
        return false;
      for (const TaskRecord &Task : Occurrence[I])
        Unfinished += Task.Done ? 0 : 1;
    }
  }
  return Record.Tasks.size() == Record.Job.Spec.Recurrence.occurrences() &&
         Record.UnfinishedTasks == Unfinished;
}

/// Returns true if no index of the record is beyond what it refers to.
bool isConsistent(const JobRecord &Record) {
  if (Record.State > JobState::Cancelled || !isConsistent(Record.Job.Spec))
    return false;
  if (Record.hasEnded())
    return true;
  const std::vector<StepSpec> &Steps = Record.Job.Spec.Steps;
  auto IsOwnTask = [&](const TaskLosses &Known) {
    const TaskId &Task = Known.Task;
    return Task.Job == Record.Job.Job &&
           Task.Occurrence < Record.Tasks.size() && Task.Step < Steps.size() &&
           Task.Index < Steps[Task.Step].Count;
  };
  return hasTasksOfSpec(Record) &&
         std::all_of(Record.Losses.begin(), Record.Losses.end(), IsOwnTask);
}

/// Reads a snapshot. Returns false if it holds no consistent state.
bool readSnapshot(const std::string &Bytes, SnapshotContents &Contents) {
  try {
    Contents = snapshotFromJson(readCbor(Bytes));
  } catch (const std::exception &) {
    return false;
  }
  return std::all_of(
      Contents.Jobs.begin(), Contents.Jobs.end(),
      [](const JobRecord &Record) { return isConsistent(Record); });
}

} // namespace

bool JobStore::apply(const JobCommand &Command) {
  return std::visit([this](const auto &Typed) { return applyCommand(Typed); },
                    Command);
}

const JobRecord *JobStore::findJob(const JobId &Job) const {
  auto It = Jobs.find(Job);
  return It == Jobs.end() ? nullptr : &It->second;
}

bool JobStore::applyCommand(const AcceptJob &Command) {
  if (!isConsistent(Command.Spec))
    return false;
  auto [It, Inserted] = Jobs.try_emplace(Command.Job);
  if (!Inserted)
    return false;
  JobRecord &Record = It->second;
  Record.Job = Command;
  Record.ConfigurationVersion = ConfigurationVersion;
  clampAmounts(Record.Job.Spec);
  Record.Tasks.resize(Command.Spec.Recurrence.occurrences());
  for (auto &Occurrence : Record.Tasks)
    for (const StepSpec &Step : Command.Spec.Steps) {
      Occurrence.emplace_back(Step.Count);
      Record.UnfinishedTasks += Step.Count;
    }
  return true;
}

bool JobStore::applyCommand(const CancelJob &Command) {
  auto It = Jobs.find(Command.Job);
  if (It == Jobs.end() || It->second.hasEnded())
    return false;
  endJob(It->second, JobState::Cancelled);
  return true;
}

size_t JobStore::failureCount(const JobRecord &Record,
                              const TaskId &Task) const {
  if (Task.Occurrence >= Record.Tasks.size())
    return 0;
  const auto &Steps = Record.Tasks[Task.Occurrence];
  const StepSpec &Step = Record.Job.Spec.Steps[Task.Step];
  if (!Step.Gang)
    return Steps[Task.Step][Task.Index].FailedAttempts.size();
  // All members of a gang share an attempt number, so several failures of one
  // attempt count once.
  std::set<uint32_t> Attempts;
  for (const TaskRecord &Member : Steps[Task.Step])
    Attempts.insert(Member.FailedAttempts.begin(), Member.FailedAttempts.end());
  return Attempts.size();
}

JobRecord *JobStore::findUnfinishedJob(const TaskId &Task) {
  auto It = Jobs.find(Task.Job);
  if (It == Jobs.end() || It->second.hasEnded())
    return nullptr;
  const auto &Specs = It->second.Job.Spec.Steps;
  bool Exists = Task.Occurrence < It->second.Tasks.size() &&
                Task.Step < Specs.size() && Task.Index < Specs[Task.Step].Count;
  return Exists ? &It->second : nullptr;
}

bool JobStore::recordTaskLosses(const TaskLosses &Recorded) {
  const TaskId &Task = Recorded.Task;
  JobRecord *Record = findUnfinishedJob(Task);
  if (Record == nullptr ||
      Record->Tasks[Task.Occurrence][Task.Step][Task.Index].Done)
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

void JobStore::endJob(JobRecord &Record, JobState State) {
  Record.State = State;
  Record.Tasks.clear();
  Record.Losses.clear();
  Record.Placements.clear();
}

bool JobStore::recordRunResult(const RunResult &Result) {
  JobRecord *Found = findUnfinishedJob(Result.Task);
  if (Found == nullptr)
    return false;
  JobRecord &Record = *Found;
  const StepSpec &Spec = Record.Job.Spec.Steps[Result.Task.Step];
  std::vector<TaskRecord> &Step =
      Record.Tasks[Result.Task.Occurrence][Result.Task.Step];
  TaskRecord &Task = Step[Result.Task.Index];
  if (Spec.LongRunning || Task.Done)
    return false;
  Record.State = JobState::Running;
  if (!Result.Succeeded) {
    std::vector<uint32_t> &Failed = Task.FailedAttempts;
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
  for (TaskRecord &Member : Step)
    if (!Member.Done && (Spec.Gang || &Member == &Task)) {
      Member.Done = true;
      --Record.UnfinishedTasks;
    }
  if (Record.UnfinishedTasks == 0)
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
  if (Command.Version <= ConfigurationVersion)
    return false;
  ConfigurationVersion = Command.Version;
  ConfigurationText = Command.Text;
  return true;
}

bool JobStore::applyCommand(const UpdateWorkers &Command) {
  for (const WorkerEntry &Entry : Command.Workers) {
    bool WasLeaving = Workers.count(Entry.Key) && Workers[Entry.Key].Leaving;
    Workers[Entry.Key] = Entry;
    Workers[Entry.Key].Capacity = clampAmounts(Entry.Capacity);
    // An incarnation that is leaving never becomes available again.
    Workers[Entry.Key].Leaving |= WasLeaving;
  }
  for (const WorkerKey &Key : Command.Removed)
    Workers.erase(Key);
  return true;
}

bool JobStore::applyCommand(const StartWave &Command) {
  auto [It, Inserted] = Waves.try_emplace(Command.Wave);
  if (Inserted)
    It->second.Plan = Command;
  return Inserted;
}

bool JobStore::applyCommand(const FinishMaintenance &Command) {
  auto It = Waves.find(Command.Wave);
  if (It == Waves.end())
    return false;
  const std::vector<std::string> &Vms = It->second.Plan.Vms;
  bool Changed = false;
  for (const std::string &Vm : Command.Vms)
    if (std::find(Vms.begin(), Vms.end(), Vm) != Vms.end())
      Changed |= It->second.FinishedVms.insert(Vm).second;
  return Changed;
}

bool JobStore::applyCommand(const RecordPlacements &Command) {
  bool Changed = false;
  for (const JobPlacements &Recorded : Command.Jobs) {
    auto It = Jobs.find(Recorded.Job);
    if (It == Jobs.end() || It->second.hasEnded())
      continue;
    std::set<WorkerKey> &Placements = It->second.Placements;
    // A job that runs for long would otherwise collect every incarnation that
    // it ever ran on. What was removed runs nothing.
    std::erase_if(Placements, [this](const WorkerKey &Worker) {
      return Workers.count(Worker) == 0;
    });
    for (const WorkerKey &Worker : Recorded.Workers)
      if (Workers.count(Worker) > 0)
        Changed |= Placements.insert(Worker).second;
  }
  return Changed;
}

bool JobStore::applyCommand(const SetEvacuation &Command) {
  if (isEvacuated(Command.DataCentre) == Command.Active)
    return false;
  Evacuations[Command.DataCentre] = Command;
  return true;
}

bool JobStore::applyCommand(const RecordUsage &Command) {
  Usage = Command;
  return true;
}

bool JobStore::applyCommand(const RecordRunTimes &Command) {
  RunTimes = Command;
  return true;
}

bool JobStore::isEvacuated(const std::string &DataCentre) const {
  auto It = Evacuations.find(DataCentre);
  return It != Evacuations.end() && It->second.Active;
}

bool JobStore::applyCommand(const BeginLeadership &Command) {
  ++Leaderships;
  if (Command.RecordsPlacements)
    return true;
  for (auto &[Id, Record] : Jobs) {
    Record.Job.RecordsPlacements = false;
    Record.Placements.clear();
  }
  return true;
}

std::string JobStore::snapshot() const {
  SnapshotContents Contents;
  for (const auto &[Id, Record] : Jobs)
    Contents.Jobs.push_back(Record);
  Contents.Version = ConfigurationVersion;
  Contents.Text = ConfigurationText;
  for (const auto &[Key, Entry] : Workers)
    Contents.Workers.push_back(Entry);
  for (const auto &[Number, Wave] : Waves)
    Contents.Waves.push_back(Wave);
  Contents.Leaderships = Leaderships;
  for (const auto &[DataCentre, Order] : Evacuations)
    Contents.Evacuations.push_back(Order);
  Contents.Usage = Usage;
  Contents.RunTimes = RunTimes;
  std::vector<uint8_t> Bytes = Json::to_cbor(snapshotToJson(Contents));
  return {Bytes.begin(), Bytes.end()};
}

bool JobStore::restore(const std::string &Bytes) {
  SnapshotContents Contents;
  if (!Bytes.empty() && !readSnapshot(Bytes, Contents))
    return false;
  *this = {};
  for (JobRecord &Record : Contents.Jobs) {
    JobId Id = Record.Job.Job;
    clampAmounts(Record.Job.Spec);
    Jobs.emplace(std::move(Id), std::move(Record));
  }
  ConfigurationVersion = Contents.Version;
  ConfigurationText = std::move(Contents.Text);
  for (WorkerEntry &Entry : Contents.Workers) {
    Entry.Capacity = clampAmounts(Entry.Capacity);
    Workers.emplace(Entry.Key, Entry);
  }
  for (WaveRecord &Wave : Contents.Waves)
    Waves.emplace(Wave.Plan.Wave, Wave);
  for (SetEvacuation &Order : Contents.Evacuations)
    Evacuations.emplace(Order.DataCentre, Order);
  Usage = std::move(Contents.Usage);
  RunTimes = std::move(Contents.RunTimes);
  Leaderships = Contents.Leaderships;
  return true;
}

} // namespace mimosashunt
