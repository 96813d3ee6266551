#include "Scheduling/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration TickPeriod = milliseconds(100);
/// Between control VMs, each of which may be 5 s off.
constexpr int64_t MaxClockSkewMs = 10000;

} // namespace

Dispatcher::Dispatcher(uint64_t Token, const JobStore &Store,
                       const ServiceConfiguration &Configuration,
                       WorkerPort &Port, TimerService &Timers,
                       DispatcherOptions Options, LeaderHooks Hooks)
    : Token(Token), Store(Store), Configuration(Configuration), Port(Port),
      Timers(Timers), Options(Options), Hooks(std::move(Hooks)),
      FirstAttempt(static_cast<uint32_t>(Token - 1) *
                   Options.AttemptsPerLeadership),
      StartedAt(Timers.now()), Table(Options.Lease), Starts(Options.Starts),
      Retries(Options.Retries), Records(Store), Health(Options.Health),
      Advice(Options.Advice), Budget(Options.WorkBytes),
      AliveFlag(std::make_shared<bool>(true)) {
  loadStore();
  // Entry VMs may ask before the first tick.
  countPendingJobs();
  TickTimer = Timers.scheduleEvery(TickPeriod, [this] { onTick(); });
}

Dispatcher::~Dispatcher() {
  *AliveFlag = false;
  Timers.cancel(TickTimer);
  Timers.cancel(FlushTimer);
  for (auto &[Key, Reports] : ReportsToConfirm)
    for (PendingReport &Pending : Reports)
      Pending.Acknowledge(false);
}

void Dispatcher::loadStore() {
  loadShares();
  Budget.setOrganisations(Configuration);
  for (const auto &[Key, Entry] : Store.workers()) {
    TrackedWorker &Worker = Table.add(Entry, Timers.now());
    Worker.IsCommitted = true;
    Worker.RenewedAt = StartedAt; // By an earlier leader, at the latest.
    Worker.LeaseEnd = earlierLeasesEnd(Worker);
    Worker.LastReportAt = StartedAt;
    UnsyncedWorkers[Entry.Pool].insert(Key);
  }
  LearnedRunTimes.restore(Store.runTimes());
  ProposedRunTimes = LearnedRunTimes.version();
  RunTimesProposedAt = StartedAt;
  for (const auto &[Id, Record] : Store.jobs())
    if (!Record.hasEnded())
      addJob(Record, /*IsInherited=*/true);
}

Instant Dispatcher::earlierLeasesEnd(const TrackedWorker &Worker) const {
  constexpr int64_t MaxAgeMs = 60000; // No lease lasts longer.
  Instant End = StartedAt + Table.maxLeaseDuration();
  if (Worker.Entry.ReplacedAt <= 0)
    return End;
  // Orders for the process before it may have reached this one until then.
  int64_t AgeMs = Hooks.WallNow() - Worker.Entry.ReplacedAt - MaxClockSkewMs;
  return std::max(End,
                  Table.inheritedLeaseEnd(Worker) -
                      milliseconds(std::clamp<int64_t>(AgeMs, 0, MaxAgeMs)));
}

void Dispatcher::addJob(const JobRecord &Record, bool IsInherited) {
  const QueueConfiguration *Queue = Configuration.findQueue(Record.Job.Queue);
  QueueConfiguration EmptyQueue;
  if (Queue == nullptr)
    // The queue was removed, so the job has no pool to run in.
    Queue = &EmptyQueue;
  Duration Age = milliseconds(
      std::max<int64_t>(0, Hooks.WallNow() - Record.Job.AcceptedAt));
  Instant AcceptedAt = IsInherited ? Timers.now() - Age : Timers.now();
  auto Job =
      std::make_unique<JobProgress>(Record, *Queue, FirstAttempt, AcceptedAt);
  Job->IsInherited = IsInherited;
  if (IsInherited)
    Job->InheritedWorkers = Record.Placements;
  // By its own clock an earlier leader may have started what is not due yet.
  Job->openDueOccurrences(Record.Tasks,
                          Hooks.WallNow() + (IsInherited ? MaxClockSkewMs : 0));
  Job->ShareIndex = Shares.indexOf(Record.Job.Organisation);
  double Work = static_cast<double>(Record.Job.Spec.totalCoreMs());
  constexpr double SmoothingFactor = 0.05;
  MeanJobCoreMs =
      MeanJobCoreMs == 0
          ? Work
          : MeanJobCoreMs + SmoothingFactor * (Work - MeanJobCoreMs);
  markPoolDirty(Job->Pool);
  Budget.add(Record.Job.Job, Record.Job.Organisation,
             estimateBytes(Record.Job));
  JobProgress &Added = *(Jobs[Record.Job.Job] = std::move(Job));
  if (!Record.Losses.empty())
    loadLosses(Added);
}

void Dispatcher::updateOccurrences(JobProgress &Job) {
  const JobRecord *Record = Store.findJob(Job.id());
  if (Job.spec().Recurrence.Count == 0 || Record == nullptr ||
      Record->hasEnded())
    return;
  Job.closeEndedOccurrences(Record->Tasks);
  Job.openDueOccurrences(Record->Tasks, Hooks.WallNow());
}

void Dispatcher::openOccurrence(const TaskId &Task) {
  auto It = Jobs.find(Task.Job);
  const JobRecord *Record = Store.findJob(Task.Job);
  if (It != Jobs.end() && Record != nullptr && !Record->hasEnded())
    It->second->openOccurrence(Record->Tasks, Task.Occurrence);
}

void Dispatcher::onJobAccepted(const JobId &Job) {
  const JobRecord *Record = Store.findJob(Job);
  if (Record != nullptr && !Record->hasEnded() && !Jobs.count(Job))
    addJob(*Record, /*IsInherited=*/false);
  // It may have been cancelled before.
  if (!Jobs.count(Job))
    Budget.remove(Job);
}

int64_t Dispatcher::estimateBytes(const AcceptJob &Job) const {
  const QueueConfiguration *Queue = Configuration.findQueue(Job.Queue);
  bool NeedsAdvice = Queue != nullptr && Queue->Advice.has_value();
  return estimateJobBytes(Job, NeedsAdvice ? poolSize(Queue->Pool) : 0);
}

Admission Dispatcher::admitJob(const AcceptJob &Job) {
  int64_t Bytes = estimateBytes(Job);
  Admission Decision = Budget.assess(Job.Organisation, Bytes);
  if (std::holds_alternative<Admitted>(Decision))
    Budget.add(Job.Job, Job.Organisation, Bytes);
  return Decision;
}

void Dispatcher::onJobNotAccepted(const JobId &Job) {
  if (!Jobs.count(Job))
    Budget.remove(Job);
}

void Dispatcher::onJobCancelled(const JobId &Job) {
  auto It = Jobs.find(Job);
  if (It == Jobs.end())
    return;
  It->second->HasEnded = true;
  stopAllRuns(*It->second);
  removeJobIfFinished(Job);
}

void Dispatcher::onConfigurationChanged() {
  Shares.setConfiguration(Configuration);
  Budget.setOrganisations(Configuration);
  for (auto &[Id, Job] : Jobs) {
    const QueueConfiguration *Queue = Configuration.findQueue(Job->job().Queue);
    Job->Pool = Queue == nullptr ? std::string() : Queue->Pool;
    if (Queue != nullptr) {
      Job->PoolSince = Queue->PoolSince;
      Job->Priority = Queue->Priority;
      Job->Advice = Queue->Advice;
    }
    markPoolDirty(Job->Pool);
  }
}

void Dispatcher::onEvacuationChanged() {
  for (const auto &[Key, Worker] : Table.all())
    markPoolDirty(Worker.Entry.Pool);
}

bool Dispatcher::isReconciled(const std::string &Pool) const {
  auto It = UnsyncedWorkers.find(Pool);
  return It == UnsyncedWorkers.end() || It->second.empty();
}

// Results.

void Dispatcher::queueResult(const RunResult &End) {
  PendingResults.push_back(End);
}

void Dispatcher::proposeResults() {
  if (ProposalInFlight)
    return;
  std::map<WorkerKey, uint64_t> ProcessedEnds;
  for (auto &[Key, Worker] : Table.all())
    if (Worker.ProcessedEnds > Worker.CommittedEnds)
      ProcessedEnds[Key] = Worker.ProcessedEnds;
  if (ProcessedEnds.empty())
    return;
  std::shared_ptr<bool> IsAlive = AliveFlag;
  std::vector<RunResult> Proposed = std::exchange(PendingResults, {});
  auto OnCommitted = [this, IsAlive, ProcessedEnds, Proposed](bool Committed) {
    if (!*IsAlive)
      return;
    ProposalInFlight = false;
    if (!Committed) {
      // They may be committed twice, which changes nothing, but the ends must
      // not be acknowledged without them.
      PendingResults.insert(PendingResults.begin(), Proposed.begin(),
                            Proposed.end());
      return;
    }
    for (const auto &[Key, Number] : ProcessedEnds)
      if (TrackedWorker *Worker = Table.find(Key))
        Worker->CommittedEnds = std::max(Worker->CommittedEnds, Number);
    for (auto It = Jobs.begin(); It != Jobs.end();)
      removeJobIfFinished((It++)->first);
  };
  if (Proposed.empty())
    return OnCommitted(true);
  ProposalInFlight = true;
  Hooks.Propose(RecordRunResults{Proposed}, OnCommitted);
}

void Dispatcher::removeJobIfFinished(const JobId &Job) {
  auto It = Jobs.find(Job);
  if (It == Jobs.end() || !It->second->HasEnded)
    return;
  // Without a record it has ended and was forgotten.
  const JobRecord *Record = Store.findJob(Job);
  if (Record != nullptr && !Record->hasEnded())
    return;
  for (const auto &[Number, Occurrence] : It->second->Occurrences)
    if (Occurrence.hasRuns())
      return;
  // The caller's id may be the key.
  Budget.remove(Job);
  Jobs.erase(It);
}

void Dispatcher::onTick() {
  Instant Now = Timers.now();
  std::vector<WorkerKey> Expired;
  for (auto &[Key, Worker] : Table.all()) {
    if (!Worker.IsReachable && Now >= Worker.LeaseEnd)
      expireLease(Worker);
    Instant LastHeardAt = std::max(Worker.LastResponseAt, Worker.LastReportAt);
    if (!Worker.IsReachable &&
        Now - LastHeardAt > Options.WorkerRemovalTimeout &&
        Now - StartedAt > Options.WorkerRemovalTimeout)
      Expired.push_back(Key);
    for (auto &[Task, CurrentRun] : Worker.Runs)
      if (CurrentRun.State == RunState::Stopping && !CurrentRun.StopInFlight &&
          Worker.IsReachable &&
          (!CurrentRun.StopAckedAt ||
           Now - *CurrentRun.StopAckedAt > 4 * Options.StopRetryInterval))
        sendStop(Worker, Task);
    if (!Worker.IsCordoned && Worker.Entry.Leaving && Worker.IsReachable)
      drainVm(Worker.Entry.Vm);
  }
  for (const WorkerKey &Key : Expired)
    removeWorker(Key, "forgotten", /*HasCrashed=*/false);
  drainEvacuatedDataCentres();
  // Due times, objectives and advice depend on the time, so each pool with
  // unfinished jobs is scheduled again.
  WaitingStarts = 0;
  Shares.resetJobCounts();
  UnixMillis WallNow = Hooks.WallNow();
  for (const auto &[Id, Job] : Jobs) {
    if (Job->HasEnded)
      continue;
    updateOccurrences(*Job);
    if (usesShares() && !Job->isLongRunning())
      countShareOfJob(*Job, WallNow);
    markPoolDirty(Job->Pool);
    if (!Job->isLongRunning())
      WaitingStarts += Job->countWaitingTasks();
  }
  countPendingJobs();
  reportUnlocatedJobs();
  updateShares();
  removeStaleLocalityWaits();
  proposeResults();
  proposeLosses();
  proposeRunTimes();
  probeCanaries();
}

void Dispatcher::countPendingJobs() {
  PendingJobs.clear();
  for (const auto &[Id, Job] : Jobs)
    PendingJobs[Job->job().Queue] += Job->HasEnded || Job->HasStarted ? 0 : 1;
}

// Queries, draining and capacity demand.

JobState Dispatcher::jobState(const JobRecord &Record) const {
  auto It = Jobs.find(Record.Job.Job);
  bool HasStarted = It != Jobs.end() && It->second->HasStarted;
  if (Record.State == JobState::Queued && HasStarted)
    return JobState::Running;
  return Record.State;
}

size_t Dispatcher::pendingJobCount(const std::string &Queue) const {
  auto It = PendingJobs.find(Queue);
  return It == PendingJobs.end() ? 0 : It->second;
}

bool Dispatcher::isStillAwaited(const JobProgress &Job) const {
  // Callers wait for three objectives.
  constexpr int MaxObjectivesWaited = 3;
  Duration TimeSinceAccepted = Timers.now() - Job.AcceptedAt;
  return TimeSinceAccepted <
         MaxObjectivesWaited * (Job.Objective - Job.AcceptedAt);
}

bool Dispatcher::isOverdueDemandCounted(const JobProgress &Job) const {
  // A job that has not started by then, such as one that fits on no worker,
  // must not hold VMs indefinitely.
  return isStillAwaited(Job) && fitsSomeWorker(Job);
}

bool Dispatcher::fitsSomeWorker(const JobProgress &Job) const {
  const std::map<WorkerKey, TrackedWorker *> &Workers =
      Table.workersInPool(Job.Pool);
  const std::vector<StepSpec> &Steps = Job.spec().Steps;
  return std::all_of(Steps.begin(), Steps.end(), [&](const StepSpec &Step) {
    return std::any_of(
        Workers.begin(), Workers.end(), [&](const auto &KeyAndWorker) {
          const WorkerEntry &Entry = KeyAndWorker.second->Entry;
          return Entry.Capacity.canFit(Step.reservedResources()) &&
                 Entry.satisfiesLabel(Step.RequiredLabel);
        });
  });
}

PoolDemand Dispatcher::computeDemand(const std::string &Pool) const {
  PoolDemand Demand;
  constexpr double MillicoresPerCore = 1000;
  constexpr double MinCriticalPathMs = 300;
  for (const auto &[Id, Job] : Jobs) {
    if (Job->HasEnded || Job->Pool != Pool)
      continue;
    if (Job->isLongRunning()) {
      for (const StepSpec &Step : Job->spec().Steps) {
        Demand.LongRunningCores +=
            static_cast<double>(Step.Count) *
            static_cast<double>(Step.reservedResources().Cpu) /
            MillicoresPerCore;
        if (Step.MaxPerWorker > 0)
          Demand.MinVms = std::max<size_t>(
              Demand.MinVms,
              (Step.Count + Step.MaxPerWorker - 1) / Step.MaxPerWorker);
      }
      continue;
    }
    double Factor = estimateFactor(*Job);
    double CriticalPathMs = Job->remainingCriticalPathMs(Factor);
    bool CanMeetObjective =
        Timers.now() + milliseconds(static_cast<int64_t>(CriticalPathMs)) <=
        Job->Objective;
    if (!CanMeetObjective && !isOverdueDemandCounted(*Job))
      continue;
    // Overdue jobs must still run. They request cores to finish within some
    // seconds, not capacity for a burst of their own.
    double OverdueDrainMs =
        static_cast<double>(toMillis(Options.OverdueDrainTime));
    double SpreadMs = std::max(
        CriticalPathMs, CanMeetObjective ? MinCriticalPathMs : OverdueDrainMs);
    Demand.BatchCores += Job->remainingCoreMs(Factor) / SpreadMs;
  }
  return Demand;
}

void Dispatcher::setCordoned(const std::string &Vm, bool On) {
  if (On)
    CordonedVms.insert(Vm);
  else
    CordonedVms.erase(Vm);
  for (auto &[Key, Worker] : Table.all())
    if (Worker.Entry.Vm == Vm)
      Worker.IsCordoned = On;
}

bool Dispatcher::isKnownIdle(const TrackedWorker &Worker) const {
  // Until its lists have been read, the worker may have runs of an earlier
  // leader.
  bool ListsAreKnown = Worker.IsSynced || Timers.now() >= Worker.LeaseEnd;
  // Its ended runs are gone with it, and only committed results outlive this
  // leader.
  bool HasUncommittedEnds = Worker.ProcessedEnds > Worker.CommittedEnds;
  return ListsAreKnown && Worker.Runs.empty() && !HasUncommittedEnds;
}

bool Dispatcher::isServing(const StepProgress &Step, const TaskId &Task) const {
  constexpr int32_t ServingPercent = 100;
  const std::vector<WorkerKey> &At = Step.Tasks[Task.Index].Workers;
  const TrackedWorker *Worker = At.empty() ? nullptr : Table.find(At.front());
  if (Worker == nullptr || !Worker->IsReachable ||
      Timers.now() - Worker->LastResponseAt > Options.MaxViewAge)
    return false;
  auto It = Worker->Runs.find(Task);
  return It != Worker->Runs.end() && It->second.State == RunState::Running &&
         It->second.ProgressPercent >= ServingPercent;
}

uint32_t Dispatcher::countUnavailableSiblings(const StepProgress &Step,
                                              const TaskId &Task) const {
  uint32_t Unavailable = 0;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    TaskId Sibling = Task;
    Sibling.Index = I;
    Unavailable += I == Task.Index || isServing(Step, Sibling) ? 0 : 1;
  }
  return Unavailable;
}

bool Dispatcher::mayDrain(const TaskId &Task) const {
  auto Job = Jobs.find(Task.Job);
  if (Job == Jobs.end() || Job->second->HasEnded)
    return false;
  uint32_t Max = Job->second->stepSpec(Task.Step).MaxUnavailable;
  return Max == 0 ||
         countUnavailableSiblings(*Job->second->findStep(Task), Task) < Max;
}

bool Dispatcher::drainVm(const std::string &Vm) {
  bool IsIdle = true;
  for (auto &[Key, Worker] : Table.all()) {
    if (Worker.Entry.Vm != Vm || Vm.empty())
      continue;
    IsIdle = IsIdle && isKnownIdle(Worker);
    for (auto &[Task, CurrentRun] : Worker.Runs) {
      if (!CurrentRun.LongRunning || CurrentRun.State != RunState::Running)
        continue;
      auto Job = Jobs.find(Task.Job);
      bool IsWanted = Job != Jobs.end() && !Job->second->HasEnded;
      // A worker that leaves ends its runs in any case.
      bool MayStop =
          Worker.Entry.Leaving || (!isTooBusyToDrain() && mayDrain(Task));
      if (IsWanted && MayStop)
        stopRun(Worker, Task);
    }
  }
  return IsIdle;
}

void Dispatcher::drainEvacuatedDataCentres() {
  if (isTooBusyToDrain() || !mayIssueOrders())
    return;
  std::set<std::string> Pools;
  for (const auto &[Key, Worker] : Table.all())
    if (Worker.LongRunningCount > 0 && isEvacuated(Worker.Entry.DataCentre))
      Pools.insert(Worker.Entry.Pool);
  for (const std::string &Pool : Pools)
    drainEvacuatedPool(Pool);
}

void Dispatcher::reserveForWaitingTasks(const std::string &Pool,
                                        PlacementPass &Pass) {
  for (auto &[Id, Job] : Jobs) {
    if (Job->HasEnded || Job->Pool != Pool || !Job->isLongRunning())
      continue;
    for (auto &[K, Occurrence] : Job->Occurrences)
      for (uint32_t S = 0; S < Occurrence.Steps.size(); ++S) {
        StepProgress &Step = Occurrence.Steps[S];
        for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
          const std::vector<WorkerKey> &At = Step.Tasks[I].Workers;
          const TrackedWorker *Worker =
              At.empty() ? nullptr : Table.find(At.front());
          TaskId Task{Id, K, S, I};
          bool IsPlaced = Worker != nullptr && Worker->Runs.count(Task) > 0 &&
                          Worker->Runs.at(Task).State != RunState::Stopping;
          if (!IsPlaced)
            Pass.placeTask({&Job->stepSpec(S), &Step, &Step.Tasks[I],
                            Job->needsAdvice(), Timers.now()});
        }
      }
  }
}

bool Dispatcher::mayLeaveEvacuated(const TaskId &Task,
                                   const Run &CurrentRun) const {
  auto Job = Jobs.find(Task.Job);
  if (!CurrentRun.LongRunning || CurrentRun.State != RunState::Running ||
      Job == Jobs.end() || Job->second->HasEnded)
    return false;
  const StepSpec &Spec = Job->second->stepSpec(Task.Step);
  // A step without a disruption budget loses one task at a time; to stop a
  // member ends its gang.
  bool HasBudget =
      Spec.MaxUnavailable > 0 ||
      countUnavailableSiblings(*Job->second->findStep(Task), Task) == 0;
  return !Spec.Gang && HasBudget && mayDrain(Task);
}

void Dispatcher::drainEvacuatedPool(const std::string &Pool) {
  PlacementPass Pass(findCandidates(Table, Pool, Health, Store, Timers.now()));
  reserveForWaitingTasks(Pool, Pass);
  // One task of a step in each tick.
  std::set<std::pair<JobId, uint32_t>> Moved;
  for (const auto &[Key, Worker] : Table.workersInPool(Pool)) {
    if (!Worker->IsReachable || !isEvacuated(Worker->Entry.DataCentre))
      continue;
    for (auto &[Task, CurrentRun] : Worker->Runs) {
      if (Moved.count({Task.Job, Task.Step}) ||
          !mayLeaveEvacuated(Task, CurrentRun))
        continue;
      JobProgress &Job = *Jobs.at(Task.Job);
      StepProgress &Step = *Job.findStep(Task);
      PlacementRequest Request{&Job.stepSpec(Task.Step), &Step,
                               &Step.Tasks[Task.Index], Job.needsAdvice(),
                               Timers.now()};
      if (Pass.placeTask(Request) == nullptr) {
        if (Job.needsAdvice())
          requestAdvice(Job, Task.Occurrence, Task.Step, Pass.candidates());
        continue;
      }
      Moved.emplace(Task.Job, Task.Step);
      stopRun(*Worker, Task);
    }
  }
}

int64_t Dispatcher::workerStartTime(const std::string &Vm) const {
  int64_t StartMs = 0;
  for (const auto &[Key, Worker] : Table.all())
    if (Worker.Entry.Vm == Vm)
      StartMs = std::max(StartMs, Key.Incarnation);
  return StartMs;
}

std::set<WorkerKey> Dispatcher::workersOn(const std::string &Vm) const {
  std::set<WorkerKey> Keys;
  for (const auto &[Key, Worker] : Table.all())
    if (Worker.Entry.Vm == Vm)
      Keys.insert(Key);
  return Keys;
}

void Dispatcher::onWorkersTerminated(const std::set<WorkerKey> &Ended) {
  for (const WorkerKey &Key : Ended)
    removeWorker(Key, "vm_ended", /*HasCrashed=*/false);
}

} // namespace mimosashunt
