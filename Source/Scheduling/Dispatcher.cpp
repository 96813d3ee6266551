#include "Scheduling/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration TickPeriod = milliseconds(100);

} // namespace

Dispatcher::Dispatcher(uint64_t Token, const JobStore &Store,
                       const ServiceConfiguration &Configuration,
                       WorkerPort &Port, TimerService &Timers,
                       DispatcherOptions Options, LeaderHooks Hooks)
    : Token(Token), Store(Store), Configuration(Configuration), Port(Port),
      Timers(Timers), Options(Options), Hooks(std::move(Hooks)),
      FirstAttempt(static_cast<uint32_t>(Token - 1) *
                   Options.AttemptsPerLeadership),
      Began(Timers.now()), Table(Options.Lease), Health(Options.Health),
      Alive(std::make_shared<bool>(true)) {
  adoptStore();
  TickTimer = Timers.scheduleEvery(TickPeriod, [this] { onTick(); });
}

Dispatcher::~Dispatcher() {
  *Alive = false;
  Timers.cancel(TickTimer);
  Timers.cancel(FlushTimer);
}

void Dispatcher::adoptStore() {
  for (const auto &[Key, Entry] : Store.workers()) {
    TrackedWorker &Worker = Table.add(Entry, Timers.now());
    Worker.IsCommitted = true;
    Worker.LeaseEnds = Began + Table.longestLease();
    Worker.LastHeartbeat = Began;
    Unknown[Entry.Pool].insert(Key);
  }
  for (const auto &[Id, Record] : Store.jobs())
    if (!Record.hasEnded())
      addJob(Record, /*Inherited=*/true);
}

void Dispatcher::addJob(const JobRecord &Record, bool Inherited) {
  const QueueConfiguration *Queue = Configuration.findQueue(Record.Job.Queue);
  QueueConfiguration Removed;
  if (Queue == nullptr)
    Queue = &Removed; // Its route has gone; the job has no pool to run in.
  Duration Age = milliseconds(
      std::max<int64_t>(0, Hooks.WallNow() - Record.Job.AcceptedAt));
  Instant AcceptedAt = Inherited ? Timers.now() - Age : Timers.now();
  auto Job =
      std::make_unique<JobProgress>(Record, *Queue, FirstAttempt, AcceptedAt);
  Job->Inherited = Inherited;
  double Work = static_cast<double>(Record.Job.Spec.totalCoreMs());
  constexpr double NewShare = 0.05;
  MeanWork = MeanWork == 0 ? Work : MeanWork + NewShare * (Work - MeanWork);
  dirty(Job->Pool);
  Jobs[Record.Job.Job] = std::move(Job);
}

void Dispatcher::onJobAccepted(const JobId &Job) {
  const JobRecord *Record = Store.findJob(Job);
  if (Record != nullptr && !Record->hasEnded() && !Jobs.count(Job))
    addJob(*Record, /*Inherited=*/false);
}

void Dispatcher::onJobCancelled(const JobId &Job) {
  auto Found = Jobs.find(Job);
  if (Found == Jobs.end())
    return;
  Found->second->Ended = true;
  stopAll(*Found->second);
  dropIfDone(Job);
}

void Dispatcher::onConfigurationChanged() {
  for (auto &[Id, Job] : Jobs) {
    const QueueConfiguration *Queue = Configuration.findQueue(Job->job().Queue);
    Job->Pool = Queue == nullptr ? std::string() : Queue->Pool;
    if (Queue != nullptr) {
      Job->Priority = Queue->Priority;
      Job->NeedsAdvice = Queue->Advice.has_value();
    }
    dirty(Job->Pool);
  }
}

bool Dispatcher::isReconciled(const std::string &Pool) const {
  if (Timers.now() >= Began + Table.longestLease())
    return true;
  auto Found = Unknown.find(Pool);
  return Found == Unknown.end() || Found->second.empty();
}

// Reports.

void Dispatcher::handleReport(const WorkerReport &Report,
                              std::function<void(bool)> Acknowledge) {
  const WorkerKey &Key = Report.Entry.Key;
  TrackedWorker *Newest = Table.latest(Key.Id);
  TrackedWorker *Holder = Table.byAddress(Report.Entry.Address);
  bool Superseded =
      (Newest != nullptr && Newest->key().Incarnation > Key.Incarnation) ||
      (Holder != nullptr && Holder->key().Incarnation > Key.Incarnation);
  if (Superseded)
    return Acknowledge(true);
  TrackedWorker *Known = Table.find(Key);
  if (Known != nullptr && Report.Sequence <= Known->LastSequence)
    return Acknowledge(true);
  UpdateWorkers Command;
  if (Known == nullptr) {
    // Another life under this id, or at this address, has ended.
    std::vector<WorkerKey> Ended;
    for (const auto &[Other, Worker] : Table.all())
      if (Other.Id == Key.Id || Worker.Entry.Address == Report.Entry.Address)
        Ended.push_back(Other);
    for (const WorkerKey &Other : Ended) {
      gone(Other, "superseded");
      Command.Removed.push_back(Other);
    }
    Known = &Table.add(Report.Entry, Timers.now());
  }
  bool Changed = !Known->IsCommitted || Known->Entry != Report.Entry;
  bool WasLeaving = Known->Entry.Leaving;
  WorkerEntry Entry = Report.Entry;
  Entry.Leaving |= WasLeaving;
  Table.update(*Known, Entry);
  Known->LastSequence = Report.Sequence;
  Known->LastHeartbeat = Timers.now();
  Table.noteClock(*Known, Timers.now(), Report.ClockMs);
  if (!Changed)
    return Acknowledge(true);
  if (Known->Entry.Leaving != WasLeaving)
    Hooks.LogEvent("worker_leaving", {{"worker", Key.Id}});
  Command.Workers.push_back(Known->Entry);
  std::shared_ptr<bool> Kept = Alive;
  Hooks.Propose(Command, [this, Kept, Key, Acknowledge](bool Committed) {
    Acknowledge(Committed);
    if (!*Kept || !Committed)
      return;
    if (TrackedWorker *Worker = Table.find(Key)) {
      Worker->IsCommitted = true;
      dirty(Worker->Entry.Pool);
    }
  });
}

void Dispatcher::deregisterWorker(const std::string &Id) {
  TrackedWorker *Worker = Table.latest(Id);
  if (Worker == nullptr)
    return;
  Worker->Entry.Leaving = true;
  Table.lookAt(*Worker, Timers.now());
}

// Ends.

void Dispatcher::noteEnd(const RunResult &End) { PendingEnds.push_back(End); }

void Dispatcher::flushEnds() {
  if (FlushUnderWay)
    return;
  std::map<WorkerKey, uint64_t> Processed;
  for (auto &[Key, Worker] : Table.all())
    if (Worker.Processed > Worker.Noted)
      Processed[Key] = Worker.Processed;
  if (Processed.empty())
    return;
  std::shared_ptr<bool> Kept = Alive;
  auto Settle = [this, Kept, Processed](bool Committed) {
    if (!*Kept)
      return;
    FlushUnderWay = false;
    if (!Committed)
      return;
    for (const auto &[Key, Number] : Processed)
      if (TrackedWorker *Worker = Table.find(Key))
        Worker->Noted = std::max(Worker->Noted, Number);
    for (auto It = Jobs.begin(); It != Jobs.end();)
      dropIfDone((It++)->first);
  };
  if (PendingEnds.empty())
    return Settle(true);
  FlushUnderWay = true;
  Hooks.Propose(RecordRunResults{std::exchange(PendingEnds, {})}, Settle);
}

void Dispatcher::dropIfDone(const JobId &Job) {
  auto Found = Jobs.find(Job);
  if (Found == Jobs.end() || !Found->second->Ended)
    return;
  const JobRecord *Record = Store.findJob(Job);
  if (Record == nullptr || !Record->hasEnded())
    return;
  for (const OccurrenceProgress &Occurrence : Found->second->Occurrences)
    for (const StepProgress &Step : Occurrence.Steps)
      if (!Step.PerWorker.empty())
        return;
  Jobs.erase(Found);
}

void Dispatcher::onTick() {
  Instant Now = Timers.now();
  std::vector<WorkerKey> Forgotten;
  for (auto &[Key, Worker] : Table.all()) {
    if (!Worker.IsReachable && Now >= Worker.LeaseEnds)
      lapse(Worker);
    Instant Heard = std::max(Worker.LastAnswer, Worker.LastHeartbeat);
    if (!Worker.IsReachable && Now - Heard > Options.ForgetAfter &&
        Now - Began > Options.ForgetAfter)
      Forgotten.push_back(Key);
    for (auto &[Task, Known] : Worker.Runs)
      if (Known.State == RunState::Stopping && !Known.StopUnderWay &&
          Worker.IsReachable &&
          (!Known.StopAnsweredAt ||
           Now - *Known.StopAnsweredAt > 4 * Options.StopRetry))
        sendStop(Worker, Task);
    if (!Worker.IsCordoned && Worker.Entry.Leaving && Worker.IsReachable)
      drainVm(Worker.Entry.Vm);
  }
  for (const WorkerKey &Key : Forgotten)
    gone(Key, "forgotten");
  // Due times, waiting objectives and advice move on with the time.
  Pending.clear();
  for (const auto &[Id, Job] : Jobs) {
    if (Job->Ended)
      continue;
    dirty(Job->Pool);
    Pending[Job->job().Queue] += Job->Begun ? 0 : 1;
  }
  flushEnds();
}

// What others ask.

JobState Dispatcher::jobState(const JobRecord &Record) const {
  auto Found = Jobs.find(Record.Job.Job);
  bool Begun = Found != Jobs.end() && Found->second->Begun;
  if (Record.State == JobState::Queued && Begun)
    return JobState::Running;
  return Record.State;
}

size_t Dispatcher::pendingJobCount(const std::string &Queue) const {
  auto Found = Pending.find(Queue);
  return Found == Pending.end() ? 0 : Found->second;
}

bool Dispatcher::asksForRoomLate(const JobProgress &Job) const {
  // Callers wait for three objectives; what has not begun by then, such as a
  // job that fits nowhere, must not hold VMs for good.
  constexpr int ObjectivesWaited = 3;
  Duration Waited = Timers.now() - Job.AcceptedAt;
  return Waited < ObjectivesWaited * (Job.Objective - Job.AcceptedAt) &&
         fitsSomewhere(Job);
}

bool Dispatcher::fitsSomewhere(const JobProgress &Job) const {
  const std::map<WorkerKey, TrackedWorker *> &Workers =
      Table.workersInPool(Job.Pool);
  const std::vector<StepSpec> &Steps = Job.spec().Steps;
  return std::all_of(Steps.begin(), Steps.end(), [&](const StepSpec &Step) {
    return std::any_of(Workers.begin(), Workers.end(), [&](const auto &Item) {
      const WorkerEntry &Entry = Item.second->Entry;
      return Entry.Capacity.canFit(Step.reservedResources()) &&
             Entry.satisfiesLabel(Step.RequiredLabel);
    });
  });
}

PoolDemand Dispatcher::computeDemand(const std::string &Pool) const {
  PoolDemand Demand;
  constexpr double ThousandthsPerCore = 1000;
  constexpr double ShortestChainMs = 300;
  for (const auto &[Id, Job] : Jobs) {
    if (Job->Ended || Job->Pool != Pool)
      continue;
    if (Job->longRunning()) {
      for (const StepSpec &Step : Job->spec().Steps) {
        Demand.LongRunningCores +=
            static_cast<double>(Step.Count) *
            static_cast<double>(Step.reservedResources().Cpu) /
            ThousandthsPerCore;
        if (Step.MaxPerWorker > 0)
          Demand.MinVms = std::max<size_t>(
              Demand.MinVms,
              (Step.Count + Step.MaxPerWorker - 1) / Step.MaxPerWorker);
      }
      continue;
    }
    double Factor = estimateFactor(*Job);
    double Chain = Job->remainingChainMs(Factor);
    bool InTime = Timers.now() + milliseconds(static_cast<int64_t>(Chain)) <=
                  Job->Objective;
    if (!InTime && !asksForRoomLate(*Job))
      continue;
    // What is late is still owed; it asks for room to end within some seconds
    // and not for a burst of its own.
    double LateMs = static_cast<double>(toMillis(Options.LateSpread));
    double OverMs = std::max(Chain, InTime ? ShortestChainMs : LateMs);
    Demand.BatchCores += Job->remainingWork(Factor) / OverMs;
  }
  return Demand;
}

void Dispatcher::setCordoned(const std::string &Vm, bool On) {
  for (auto &[Key, Worker] : Table.all())
    if (Worker.Entry.Vm == Vm)
      Worker.IsCordoned = On;
}

bool Dispatcher::isKnownIdle(const TrackedWorker &Worker) const {
  // Until its lists were read, it may run what an earlier leader started.
  bool Read = Worker.IsSynced || Timers.now() >= Worker.LeaseEnds;
  return Read && Worker.Runs.empty();
}

bool Dispatcher::drainVm(const std::string &Vm) {
  bool Empty = true;
  constexpr int32_t AtWork = 100;
  for (auto &[Key, Worker] : Table.all()) {
    if (Worker.Entry.Vm != Vm || Vm.empty())
      continue;
    Empty = Empty && isKnownIdle(Worker);
    for (auto &[Task, Known] : Worker.Runs) {
      if (!Known.LongRunning || Known.State != RunState::Running)
        continue;
      auto Job = Jobs.find(Task.Job);
      if (Job == Jobs.end() || Job->second->Ended)
        continue;
      const StepSpec &Spec = Job->second->step(Task.Step);
      uint32_t Away = 0;
      const StepProgress &Step = *Job->second->stepOf(Task);
      for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
        if (I == Task.Index)
          continue;
        const std::vector<WorkerKey> &At = Step.Tasks[I].At;
        const TrackedWorker *Holder =
            At.empty() ? nullptr : Table.find(At.front());
        TaskId Other = Task;
        Other.Index = I;
        auto Found =
            Holder == nullptr ? Worker.Runs.end() : Holder->Runs.find(Other);
        bool Works = Holder != nullptr && Holder->IsReachable &&
                     Found != Holder->Runs.end() &&
                     Found->second.State == RunState::Running &&
                     Found->second.Percent >= AtWork;
        Away += Works ? 0 : 1;
      }
      bool Spared = Spec.MaxUnavailable == 0 || Away < Spec.MaxUnavailable ||
                    Worker.Entry.Leaving;
      if (Spared)
        stopRun(Worker, Task);
    }
  }
  return Empty;
}

int64_t Dispatcher::workerStartTime(const std::string &Vm) const {
  int64_t Born = 0;
  for (const auto &[Key, Worker] : Table.all())
    if (Worker.Entry.Vm == Vm)
      Born = std::max(Born, Key.Incarnation);
  return Born;
}

void Dispatcher::onVmTerminated(const std::string &Vm) {
  std::vector<WorkerKey> Ended;
  for (const auto &[Key, Worker] : Table.all())
    if (Worker.Entry.Vm == Vm)
      Ended.push_back(Key);
  for (const WorkerKey &Key : Ended)
    gone(Key, "vm_ended");
}

} // namespace mimosashunt
