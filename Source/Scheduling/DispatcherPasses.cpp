// The part of the scheduler that decides what starts where: job order, quotas,
// gangs, speculative copies and advice.

#include "Scheduling/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

bool spansRacks(const std::vector<Candidate *> &Places) {
  return std::any_of(Places.begin(), Places.end(), [&](const Candidate *Place) {
    return Place->Worker->Entry.rack() != Places.front()->Worker->Entry.rack();
  });
}

} // namespace

size_t Dispatcher::poolSize(const std::string &Pool) const {
  return Table.workersInPool(Pool).size();
}

double Dispatcher::estimateFactor(const JobProgress &Job) const {
  return LearnedRunTimes.meanFactor(Job.job().Queue);
}

double Dispatcher::organisationLoad(const std::string &Organisation) const {
  const OrganisationConfiguration *Owner =
      Configuration.findOrganisation(Organisation);
  double Weight =
      Owner == nullptr ? 1 : std::max(Owner->Weight, MinOrganisationWeight);
  return static_cast<double>(Table.resourcesUsedBy(Organisation).Cpu) / Weight;
}

std::vector<JobRank>
Dispatcher::rankJobs(const std::string &Pool,
                     std::vector<JobProgress *> &List) const {
  std::vector<JobRank> Ranks;
  UnixMillis Now = Hooks.WallNow();
  bool UsesLoad = std::holds_alternative<WeightedFair>(Options.JobOrderPolicy);
  for (const auto &[Id, Job] : Jobs) {
    if (Job->HasEnded || Job->Pool != Pool || !hasSchedulableStep(*Job, Now))
      continue;
    JobRank Rank;
    Rank.Index = List.size();
    List.push_back(Job.get());
    Rank.Priority = Job->Priority;
    Rank.LongRunning = Job->isLongRunning();
    Rank.AcceptedAt = Job->AcceptedAt;
    Rank.Objective = Job->Objective;
    double Factor = estimateFactor(*Job);
    Rank.CriticalPathMs = Job->remainingCriticalPathMs(Factor);
    Rank.RemainingCoreMs = Job->remainingCoreMs(Factor);
    Rank.TotalCoreMs = static_cast<double>(Job->spec().totalCoreMs()) * Factor;
    Rank.IsBeyondRate = Job->job().IsBeyondRate;
    Rank.Level = Shares.level(Job->ShareIndex);
    if (UsesLoad)
      Rank.OrganisationLoad = organisationLoad(Job->job().Organisation);
    Ranks.push_back(Rank);
  }
  return Ranks;
}

void Dispatcher::scheduleDirtyPools() {
  Starts.adjust(Timers.now(), responseDelay(), Table.all().size());
  // The response to a start wakes the loop.
  if (DirtyPools.empty() || startsLeft() == 0)
    return;
  Duration Interval =
      Options.PassIntervalPerWorker * static_cast<int64_t>(Table.all().size());
  Instant Due = LastPassAt + Interval;
  if (Timers.now() < Due) {
    if (!std::exchange(IsPassScheduled, true))
      Timers.scheduleAt(Due, [this, IsAlive = AliveFlag] {
        if (*IsAlive)
          IsPassScheduled = false;
      });
    return;
  }
  LastPassAt = Timers.now();
  ++Counters.SchedulingPasses;
  UnlocatedUsage = computeUnlocatedUsage();
  // Pools that become dirty during scheduling wait for the next pass.
  schedulePools(std::exchange(DirtyPools, {}));
}

void Dispatcher::schedulePools(const std::set<std::string> &Pools) {
  std::vector<std::string> Order(Pools.upper_bound(LastCutShortPool),
                                 Pools.end());
  Order.insert(Order.end(), Pools.begin(), Pools.upper_bound(LastCutShortPool));
  bool IsCutShort = false;
  for (const std::string &Pool : Order) {
    if (IsCutShort) {
      markPoolDirty(Pool);
      continue;
    }
    schedulePool(Pool);
    IsCutShort = startsLeft() == 0;
    if (IsCutShort)
      LastCutShortPool = Pool;
  }
  Starts.recordPass(Timers.now(), IsCutShort);
}

void Dispatcher::schedulePool(const std::string &Pool) {
  if (Pool.empty())
    return;
  PlacementPass Pass(findCandidates(Table, Pool, Health, Store, Timers.now()));
  if (Pass.candidates().empty())
    return;
  Forecasts.clear();
  if (!LocalityWaits.empty()) {
    endHopelessLocalityWaits(Pool, Pass);
    for (const auto &[Task, Wait] : LocalityWaits)
      if (Wait.Pool == Pool)
        Pass.preferOthersTo(Wait.Rack);
  }
  std::vector<JobProgress *> List;
  std::vector<JobRank> Ranks = rankJobs(Pool, List);
  orderJobs(Options.JobOrderPolicy, Timers.now(), MeanJobCoreMs, Ranks);
  for (const JobRank &Rank : Ranks) {
    if (startsLeft() == 0)
      return markPoolDirty(Pool);
    scheduleJob(*List[Rank.Index], Pass);
  }
}

bool Dispatcher::isSchedulable(const JobProgress &Job, uint32_t Occurrence,
                               uint32_t Step, UnixMillis Now) const {
  const StepProgress &Progress = Job.Occurrences.at(Occurrence).Steps[Step];
  bool MayCopy = Job.stepSpec(Step).Speculative && !Progress.isDone();
  return (!Progress.isFullyPlaced() || MayCopy) &&
         Job.spec().Recurrence.dueAt(Occurrence) <= Now &&
         Job.isReady(Occurrence, Step);
}

bool Dispatcher::hasSchedulableStep(const JobProgress &Job,
                                    UnixMillis Now) const {
  for (const auto &[K, Occurrence] : Job.Occurrences)
    for (uint32_t S = 0; S < Occurrence.Steps.size(); ++S)
      if (isSchedulable(Job, K, S, Now))
        return true;
  return false;
}

void Dispatcher::scheduleJob(JobProgress &Job, PlacementPass &Pass) {
  if (!mayBookStarts(Job))
    return;
  UnixMillis Now = Hooks.WallNow();
  for (const auto &[K, Occurrence] : Job.Occurrences)
    for (uint32_t S = 0; S < Occurrence.Steps.size(); ++S) {
      if (!isSchedulable(Job, K, S, Now))
        continue;
      if (!Job.stepSpec(S).Speculative && mayHaveUnlocatedRuns(Job))
        continue;
      if (Job.stepSpec(S).Gang)
        scheduleGang(Job, K, S, Pass);
      else
        scheduleStep(Job, K, S, Pass);
    }
}

std::map<std::string, Resources> Dispatcher::computeUnlocatedUsage() const {
  std::map<std::string, Resources> Result;
  if (!hasUnreadWorkers())
    return Result;
  for (const auto &[Id, Job] : Jobs) {
    if (Job->HasEnded || !mayHaveUnlocatedRuns(*Job))
      continue;
    Resources &Sum = Result[Job->job().Organisation];
    for (const auto &[K, Occurrence] : Job->Occurrences)
      for (uint32_t S = 0; S < Occurrence.Steps.size(); ++S) {
        const StepProgress &Step = Occurrence.Steps[S];
        if (Job->isReady(K, S))
          Sum += Job->stepSpec(S).TaskResources *
                 static_cast<int64_t>(Step.Tasks.size() - Step.DoneCount -
                                      Step.PlacedCount);
      }
  }
  return Result;
}

bool Dispatcher::isWithinQuota(const JobProgress &Job,
                               const Resources &Extra) const {
  const OrganisationConfiguration *Owner =
      Configuration.findOrganisation(Job.job().Organisation);
  if (Owner == nullptr || Owner->Maximum == Resources{})
    return true;
  Resources Used = Table.resourcesUsedBy(Owner->Name);
  auto Unlocated = UnlocatedUsage.find(Owner->Name);
  if (Unlocated != UnlocatedUsage.end())
    Used += Unlocated->second;
  Used += Extra;
  const Resources &Maximum = Owner->Maximum;
  return (Maximum.Cpu == 0 || Used.Cpu <= Maximum.Cpu) &&
         (Maximum.MemoryMb == 0 || Used.MemoryMb <= Maximum.MemoryMb) &&
         (Maximum.Accelerators == 0 ||
          Used.Accelerators <= Maximum.Accelerators);
}

bool Dispatcher::areAllWorkersUnreachable(const TaskProgress &TaskState) const {
  return std::none_of(TaskState.Workers.begin(), TaskState.Workers.end(),
                      [this](const WorkerKey &Key) {
                        const TrackedWorker *Worker = Table.find(Key);
                        return Worker != nullptr && Worker->IsReachable;
                      });
}

void Dispatcher::scheduleStep(JobProgress &Job, uint32_t Occurrence,
                              uint32_t Step, PlacementPass &Pass) {
  const StepSpec &Spec = Job.stepSpec(Step);
  StepProgress &Progress = Job.Occurrences.at(Occurrence).Steps[Step];
  Candidate *PreviousChoice = nullptr;
  bool IsWaitRefused = false; // The next task would wait longer.
  StepCaution Caution =
      assessStep(Spec, Progress, Options.Suspicion, Timers.now());
  for (uint32_t I = 0; I < Spec.Count; ++I) {
    TaskProgress &TaskState = Progress.Tasks[I];
    if (TaskState.Done || TaskState.NotBefore > Timers.now() ||
        !Caution.mayStart(I))
      continue;
    // If the step is speculative, a copy of a run on unreachable workers is
    // started at once instead of after the end of their lease.
    if (!TaskState.Workers.empty() &&
        !(Spec.Speculative && areAllWorkersUnreachable(TaskState)))
      continue;
    if (startsLeft() == 0 || !isWithinQuota(Job, Spec.TaskResources))
      return;
    TaskId Task{Job.id(), Occurrence, Step, I};
    if (!TaskState.AreLossesCommitted) {
      LossesToPropose.insert(Task);
      continue;
    }
    if (Caution.NeedsCanary && !hasCanarySlot(Job.Pool))
      return;
    uint32_t Remaining = Spec.Count - Progress.DoneCount - Progress.PlacedCount;
    PlacementRequest Request{
        &Spec,
        &Progress,
        &TaskState,
        Job.needsAdvice(),
        Timers.now(),
        std::max<uint32_t>(Remaining, 1),
        Caution.NeedsCanary,
        isStepSuspect(evidenceAgainst(Progress, TaskState)),
        PreviousChoice};
    bool MayWait =
        mayWaitForLocality(Job, Spec, TaskState, Caution.NeedsCanary);
    Candidate *Chosen = MayWait ? Pass.placeTaskNear(Request) : nullptr;
    if (Chosen == nullptr && MayWait && isWaitingForLocality(TaskState))
      continue;
    bool IsFar = Chosen == nullptr;
    if (Chosen == nullptr)
      Chosen = Pass.placeTask(Request);
    if (Chosen != nullptr && MayWait && IsFar && !IsWaitRefused) {
      IsWaitRefused = !startLocalityWait(Job, Task, Pass);
      if (!IsWaitRefused) {
        Pass.release(*Chosen, Request);
        continue;
      }
    }
    PreviousChoice = Chosen;
    if (Chosen == nullptr) {
      if (Caution.NeedsCanary)
        reserveWorkerForCanary(Job.Pool, Request, Progress, Pass);
      if (Job.needsAdvice())
        requestAdvice(Job, Occurrence, Step, Pass.candidates());
      return;
    }
    startRuns(Job, {{Task, Chosen->Worker->key(), Job.nextAttempt(Task)}},
              Caution.NeedsCanary);
  }
}

void Dispatcher::scheduleGang(JobProgress &Job, uint32_t Occurrence,
                              uint32_t Step, PlacementPass &Pass) {
  const StepSpec &Spec = Job.stepSpec(Step);
  StepProgress &Progress = Job.Occurrences.at(Occurrence).Steps[Step];
  // All tasks of a gang start together, once no run of an earlier attempt is
  // left.
  if (!Progress.RunsPerWorker.empty() || Progress.DoneCount > 0 ||
      !isWithinQuota(Job, Spec.TaskResources * Spec.Count))
    return;
  bool IsPausing = std::any_of(Progress.Tasks.begin(), Progress.Tasks.end(),
                               [this](const TaskProgress &Member) {
                                 return Member.NotBefore > Timers.now();
                               });
  if (IsPausing)
    return;
  StepCaution Caution =
      assessStep(Spec, Progress, Options.Suspicion, Timers.now());
  if (Caution.IsHeld || !areLossesCommitted({Job.id(), Occurrence, Step, 0}))
    return;
  if (Caution.NeedsCanary && !hasCanarySlot(Job.Pool))
    return;
  PlacementRequest Request{&Spec, &Progress, &Progress.Tasks.front(),
                           Job.needsAdvice(), Timers.now()};
  Request.IsCanary = Caution.NeedsCanary;
  Request.IsSuspect =
      isStepSuspect(evidenceAgainst(Progress, Progress.Tasks.front()));
  bool MayWait =
      Spec.RackLocal && mayWaitForLocality(Job, Spec, Progress.Tasks.front(),
                                           Caution.NeedsCanary);
  bool IsWaiting = MayWait && isWaitingForLocality(Progress.Tasks.front());
  auto Chosen = Pass.placeGang(Request, Spec.Count, /*InOneRack=*/IsWaiting);
  if (!Chosen && IsWaiting)
    return;
  bool IsSpread = Chosen && spansRacks(*Chosen);
  if (IsSpread && MayWait) {
    // The forecast is made without the places that the gang would take.
    for (Candidate *Place : *Chosen)
      Pass.release(*Place, Request);
    if (startLocalityWait(Job, {Job.id(), Occurrence, Step, 0}, Pass))
      return;
    Chosen = Pass.placeGang(Request, Spec.Count);
  }
  if (!Chosen) {
    if (Caution.NeedsCanary)
      reserveWorkerForCanary(Job.Pool, Request, Progress, Pass);
    if (Job.needsAdvice())
      requestAdvice(Job, Occurrence, Step, Pass.candidates());
    return;
  }
  uint32_t Attempt = Job.nextAttempt({Job.id(), Occurrence, Step, 0});
  StartGroup Members;
  for (uint32_t I = 0; I < Spec.Count; ++I)
    Members.push_back({{Job.id(), Occurrence, Step, I},
                       (*Chosen)[I]->Worker->key(),
                       Attempt});
  startRuns(Job, Members, Caution.NeedsCanary);
  if (!Spec.RackLocal)
    return;
  for (const BookedStart &Member : Members) {
    std::map<TaskId, Run> &Runs = Table.find(Member.Worker)->Runs;
    auto Started = Runs.find(Member.Task);
    if (Started != Runs.end())
      Started->second.IsRemote |= IsSpread;
  }
}

} // namespace mimosashunt
