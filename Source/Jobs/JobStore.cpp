#include "Jobs/JobStore.h"

#include <algorithm>

namespace mimosashunt {

namespace {

/// Everything that a snapshot holds.
struct StoreImage {
  std::vector<JobRecord> Jobs;
  uint64_t Version = 0;
  std::string Text;
  std::vector<WorkerEntry> Workers;
  std::vector<WaveRecord> Waves;
  uint64_t Leaderships = 0;
};

Json imageToJson(const StoreImage &Image) {
  return {{"jobs", Image.Jobs},   {"version", Image.Version},
          {"text", Image.Text},   {"workers", Image.Workers},
          {"waves", Image.Waves}, {"leaderships", Image.Leaderships}};
}

StoreImage imageFromJson(const Json &In) {
  StoreImage Image;
  In.at("jobs").get_to(Image.Jobs);
  In.at("version").get_to(Image.Version);
  In.at("text").get_to(Image.Text);
  In.at("workers").get_to(Image.Workers);
  In.at("waves").get_to(Image.Waves);
  In.at("leaderships").get_to(Image.Leaderships);
  return Image;
}

} // namespace

bool JobStore::apply(const JobCommand &Command) {
  return std::visit([this](const auto &Held) { return on(Held); }, Command);
}

const JobRecord *JobStore::findJob(const JobId &Job) const {
  auto Found = Jobs.find(Job);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

bool JobStore::on(const AcceptJob &Command) {
  auto [Place, Added] = Jobs.try_emplace(Command.Job);
  if (!Added)
    return false;
  JobRecord &Record = Place->second;
  Record.Job = Command;
  Record.Tasks.resize(Command.Spec.Recurrence.occurrences());
  for (auto &Occurrence : Record.Tasks)
    for (const StepSpec &Step : Command.Spec.Steps) {
      Occurrence.emplace_back(Step.Count);
      Record.UnfinishedTasks += Step.Count;
    }
  return true;
}

bool JobStore::on(const CancelJob &Command) {
  auto Found = Jobs.find(Command.Job);
  if (Found == Jobs.end() || Found->second.hasEnded())
    return false;
  Found->second.State = JobState::Cancelled;
  Found->second.Tasks.clear();
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
  // All members of a gang share one attempt, so its members' failures are
  // counted by attempt.
  std::set<uint32_t> Attempts;
  for (const TaskRecord &Member : Steps[Task.Step])
    Attempts.insert(Member.FailedAttempts.begin(), Member.FailedAttempts.end());
  return Attempts.size();
}

bool JobStore::noteEnd(const RunResult &End) {
  auto Found = Jobs.find(End.Task.Job);
  if (Found == Jobs.end() || Found->second.hasEnded())
    return false;
  JobRecord &Record = Found->second;
  const auto &Specs = Record.Job.Spec.Steps;
  if (End.Task.Occurrence >= Record.Tasks.size() ||
      End.Task.Step >= Specs.size() ||
      End.Task.Index >= Specs[End.Task.Step].Count)
    return false;
  const StepSpec &Spec = Specs[End.Task.Step];
  std::vector<TaskRecord> &Step =
      Record.Tasks[End.Task.Occurrence][End.Task.Step];
  TaskRecord &Task = Step[End.Task.Index];
  if (Spec.LongRunning || Task.Done)
    return false;
  Record.State = JobState::Running;
  if (!End.Succeeded) {
    std::vector<uint32_t> &Failed = Task.FailedAttempts;
    if (std::find(Failed.begin(), Failed.end(), End.Attempt) != Failed.end())
      return false;
    Failed.push_back(End.Attempt);
    if (failureCount(Record, End.Task) >= Record.Job.MaxAttempts) {
      Record.State = JobState::Failed;
      Record.Tasks.clear();
    }
    return true;
  }
  // One member's end stands for the whole gang.
  for (TaskRecord &Member : Step)
    if (!Member.Done && (Spec.Gang || &Member == &Task)) {
      Member.Done = true;
      --Record.UnfinishedTasks;
    }
  if (Record.UnfinishedTasks == 0) {
    Record.State = JobState::Completed;
    Record.Tasks.clear();
  }
  return true;
}

bool JobStore::on(const RecordRunResults &Command) {
  bool Changed = false;
  for (const RunResult &End : Command.Results)
    Changed |= noteEnd(End);
  return Changed;
}

bool JobStore::on(const PutConfiguration &Command) {
  if (Command.Version <= Version)
    return false;
  Version = Command.Version;
  Text = Command.Text;
  return true;
}

bool JobStore::on(const UpdateWorkers &Command) {
  for (const WorkerEntry &Entry : Command.Workers) {
    bool WasLeaving = Workers.count(Entry.Key) && Workers[Entry.Key].Leaving;
    Workers[Entry.Key] = Entry;
    // A life that leaves never comes back.
    Workers[Entry.Key].Leaving |= WasLeaving;
  }
  for (const WorkerKey &Key : Command.Removed)
    Workers.erase(Key);
  return true;
}

bool JobStore::on(const StartWave &Command) {
  auto [Place, Added] = Waves.try_emplace(Command.Wave);
  if (Added)
    Place->second.Plan = Command;
  return Added;
}

bool JobStore::on(const FinishMaintenance &Command) {
  auto Found = Waves.find(Command.Wave);
  if (Found == Waves.end())
    return false;
  const std::vector<std::string> &Vms = Found->second.Plan.Vms;
  bool Changed = false;
  for (const std::string &Vm : Command.Vms)
    if (std::find(Vms.begin(), Vms.end(), Vm) != Vms.end())
      Changed |= Found->second.FinishedVms.insert(Vm).second;
  return Changed;
}

bool JobStore::on(const BeginLeadership &) {
  ++Leaderships;
  return true;
}

std::string JobStore::snapshot() const {
  StoreImage Image;
  for (const auto &[Id, Record] : Jobs)
    Image.Jobs.push_back(Record);
  Image.Version = Version;
  Image.Text = Text;
  for (const auto &[Key, Entry] : Workers)
    Image.Workers.push_back(Entry);
  for (const auto &[Number, Wave] : Waves)
    Image.Waves.push_back(Wave);
  Image.Leaderships = Leaderships;
  std::vector<uint8_t> Bytes = Json::to_cbor(imageToJson(Image));
  return {Bytes.begin(), Bytes.end()};
}

void JobStore::restore(const std::string &Bytes) {
  *this = {};
  if (Bytes.empty())
    return;
  StoreImage Image = imageFromJson(Json::from_cbor(Bytes));
  for (JobRecord &Record : Image.Jobs) {
    JobId Id = Record.Job.Job;
    Jobs.emplace(std::move(Id), std::move(Record));
  }
  Version = Image.Version;
  Text = std::move(Image.Text);
  for (WorkerEntry &Entry : Image.Workers)
    Workers.emplace(Entry.Key, Entry);
  for (WaveRecord &Wave : Image.Waves)
    Waves.emplace(Wave.Plan.Wave, Wave);
  Leaderships = Image.Leaderships;
}

} // namespace mimosashunt
