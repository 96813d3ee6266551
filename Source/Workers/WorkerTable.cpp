#include "Workers/WorkerTable.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

/// Returns the longest time in which a worker's clock advances by
/// \p ByWorkerClock.
Duration maxTimeToAdvance(Duration ByWorkerClock, const LeaseOptions &Options) {
  return ByWorkerClock * 100 / (100 - Options.MaxClockDriftPercent);
}

} // namespace

const char *nameOf(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Accepted:
    return "taken";
  case OrderOutcome::Fenced:
    return "fenced";
  case OrderOutcome::StaleAttempt:
    return "outdated";
  case OrderOutcome::LeaseExpired:
    return "late";
  case OrderOutcome::NoCapacity:
    return "no_room";
  case OrderOutcome::NoTicket:
    return "no_ticket";
  case OrderOutcome::Unhealthy:
    return "unhealthy";
  case OrderOutcome::WrongIncarnation:
    return "wrong_life";
  case OrderOutcome::Invalid:
    return "invalid";
  case OrderOutcome::NotSent:
    return "not_sent";
  case OrderOutcome::Unanswered:
    return "lost";
  case OrderOutcome::Restarted:
    return "restarted";
  }
  return "unknown";
}

RunProperties RunProperties::of(const StepSpec &Spec,
                                const std::string &Organisation,
                                const WorkerEntry &On) {
  RunProperties Result;
  Result.ReservedResources = Spec.reservedResources();
  Result.QuotaUsage = Spec.TaskResources;
  Result.Organisation = Organisation;
  Result.UsesSpareCpu = Spec.UsesSpareCpu;
  Result.LongRunning = Spec.LongRunning;
  Result.TailTargetMs = Spec.TailTargetMs;
  Result.IsRemote = !Spec.DataRack.empty() && On.rack() != Spec.DataRack;
  return Result;
}

Resources TrackedWorker::freeResources() const {
  Resources Free = Entry.Capacity;
  Free -= UsedResources;
  return Free;
}

bool TrackedWorker::hasOrderedRuns() const {
  return std::any_of(Runs.begin(), Runs.end(), [](const auto &TaskAndRun) {
    return TaskAndRun.second.State != RunState::Booked;
  });
}

bool TrackedWorker::hasReplaced(const WorkerKey &Earlier) const {
  // A wall clock that was set back may give the next process an earlier start.
  bool IsPredecessor = std::find(Predecessors.begin(), Predecessors.end(),
                                 Earlier) != Predecessors.end();
  return Earlier.Id == key().Id &&
         (IsPredecessor || Earlier.Incarnation < key().Incarnation);
}

bool TrackedWorker::hasStartInDoubt() const {
  return std::any_of(Runs.begin(), Runs.end(), [](const auto &TaskAndRun) {
    const Run &Ordered = TaskAndRun.second;
    bool IsKnown = Ordered.StartAckedAt > Instant();
    return !IsKnown && (Ordered.State == RunState::Unconfirmed ||
                        Ordered.State == RunState::Stopping);
  });
}

Duration TrackedWorker::survivedTime(const Run &CurrentRun) const {
  Duration Survived{};
  if (CurrentRun.StartAckedAt > Instant())
    Survived = std::max(Survived, AliveAt - CurrentRun.StartAckedAt);
  if (CurrentRun.ListedAt > Instant())
    Survived = std::max(Survived, LastResponseAt - CurrentRun.ListedAt);
  return Survived;
}

TrackedWorker *WorkerTable::find(const WorkerKey &Key) {
  auto It = Workers.find(Key);
  return It == Workers.end() ? nullptr : &It->second;
}

const TrackedWorker *WorkerTable::find(const WorkerKey &Key) const {
  auto It = Workers.find(Key);
  return It == Workers.end() ? nullptr : &It->second;
}

TrackedWorker *WorkerTable::findLatest(const std::string &Id) {
  TrackedWorker *Newest = nullptr;
  for (auto It = Workers.lower_bound({Id, 0});
       It != Workers.end() && It->first.Id == Id; ++It)
    Newest = &It->second;
  return Newest;
}

TrackedWorker *WorkerTable::findByAddress(const std::string &Address) {
  for (auto &[Key, Worker] : Workers)
    if (Worker.Entry.Address == Address)
      return &Worker;
  return nullptr;
}

TrackedWorker &WorkerTable::add(const WorkerEntry &Entry, Instant Now) {
  TrackedWorker &Worker = Workers[Entry.Key];
  update(Worker, Entry);
  Worker.LeaseEnd = Now;
  schedulePoll(Worker, Now);
  return Worker;
}

void WorkerTable::update(TrackedWorker &Worker, const WorkerEntry &Entry) {
  auto OldPool = WorkersByPool.find(Worker.Entry.Pool);
  if (OldPool != WorkersByPool.end())
    OldPool->second.erase(Entry.Key);
  Worker.Entry = Entry;
  WorkersByPool[Entry.Pool][Entry.Key] = &Worker;
}

const std::map<WorkerKey, TrackedWorker *> &
WorkerTable::workersInPool(const std::string &Pool) const {
  static const std::map<WorkerKey, TrackedWorker *> None;
  auto It = WorkersByPool.find(Pool);
  return It == WorkersByPool.end() ? None : It->second;
}

void WorkerTable::schedulePoll(TrackedWorker &Worker, Instant At) {
  ScheduledPolls.erase({Worker.NextPollAt, Worker.key()});
  Worker.NextPollAt = At;
  ScheduledPolls.emplace(At, Worker.key());
}

std::vector<TrackedWorker *> WorkerTable::takeDueWorkers(Instant Now) {
  std::vector<TrackedWorker *> Due;
  while (!ScheduledPolls.empty() && ScheduledPolls.begin()->first <= Now) {
    Due.push_back(find(ScheduledPolls.begin()->second));
    ScheduledPolls.erase(ScheduledPolls.begin());
  }
  return Due;
}

void WorkerTable::erase(const WorkerKey &Key) {
  TrackedWorker *Worker = find(Key);
  if (Worker == nullptr)
    return;
  while (!Worker->Runs.empty())
    removeRun(*Worker, Worker->Runs.begin()->first);
  ScheduledPolls.erase({Worker->NextPollAt, Key});
  WorkersByPool[Worker->Entry.Pool].erase(Key);
  Workers.erase(Key);
}

Run &WorkerTable::addRun(TrackedWorker &Worker, const TaskId &Task,
                         Run NewRun) {
  Worker.UsedResources += NewRun.ReservedResources;
  Worker.LongRunningCount += NewRun.LongRunning ? 1 : 0;
  Worker.CanaryCount += NewRun.IsCanary ? 1 : 0;
  UsageByOrganisation[NewRun.Organisation] += NewRun.QuotaUsage;
  if (!NewRun.LongRunning)
    ShortRunsByOrganisation[NewRun.Organisation] += NewRun.ReservedResources;
  return Worker.Runs[Task] = std::move(NewRun);
}

void WorkerTable::removeRun(TrackedWorker &Worker, const TaskId &Task) {
  auto It = Worker.Runs.find(Task);
  if (It == Worker.Runs.end())
    return;
  Worker.UsedResources -= It->second.ReservedResources;
  Worker.LongRunningCount -= It->second.LongRunning ? 1 : 0;
  endCanary(Worker, It->second);
  UsageByOrganisation[It->second.Organisation] -= It->second.QuotaUsage;
  if (!It->second.LongRunning)
    ShortRunsByOrganisation[It->second.Organisation] -=
        It->second.ReservedResources;
  Worker.Runs.erase(It);
}

void WorkerTable::endCanary(TrackedWorker &Worker, Run &CurrentRun) {
  if (std::exchange(CurrentRun.IsCanary, false))
    --Worker.CanaryCount;
}

std::optional<int64_t> WorkerTable::estimateClockMs(const TrackedWorker &Worker,
                                                    Instant Now) const {
  if (!Worker.Clock)
    return std::nullopt;
  Duration SinceSample = Now - Worker.Clock->At;
  // Before the sample the bound is lowest for a clock that is not slow.
  Duration SlowestProgress =
      SinceSample < Duration::zero()
          ? SinceSample
          : SinceSample * (100 - Options.MaxClockDriftPercent) / 100;
  return Worker.Clock->ClockMs + toMillis(SlowestProgress);
}

void WorkerTable::recordClock(TrackedWorker &Worker, Instant EarliestRead,
                              Instant Now, int64_t ClockMs) {
  // The sample that puts the clock furthest ahead was handled with the least
  // delay. One that is behind the bound at the earliest time at which it can
  // have been read shows that the clock has stood still, or that it is the next
  // process's, which has begun anew.
  std::optional<int64_t> Expected = estimateClockMs(Worker, Now);
  bool IsBehind =
      Expected && ClockMs + 1 < *estimateClockMs(Worker, EarliestRead);
  // Leases that were granted by the samples before end later by that clock.
  if (IsBehind)
    Worker.LeaseEnd = std::max(Worker.LeaseEnd, inheritedLeaseEnd(Worker));
  if (!Expected || ClockMs >= *Expected || IsBehind)
    Worker.Clock = ClockSample{Now, ClockMs};
}

std::optional<int64_t> WorkerTable::grantLease(TrackedWorker &Worker,
                                               Instant Now) {
  std::optional<int64_t> Clock = estimateClockMs(Worker, Now);
  if (!Clock)
    return std::nullopt;
  // The bound holds if the clock has run as slowly as it may since the sample,
  // and goes on so.
  Instant Ends = Now + maxTimeToAdvance(Options.LeaseDuration, Options) +
                 Options.ExpiryMargin;
  Worker.LeaseEnd = std::max(Worker.LeaseEnd, Ends);
  Worker.RenewedAt = Now;
  return *Clock + toMillis(Options.LeaseDuration);
}

Duration WorkerTable::maxLeaseDuration() const {
  return maxTimeToAdvance(Options.LeaseDuration, Options) +
         2 * Options.ExpiryMargin;
}

Instant WorkerTable::inheritedLeaseEnd(const TrackedWorker &Ended) const {
  if (Ended.RenewedAt == Instant())
    return Instant();
  return Ended.RenewedAt + Options.MaxOrderTransit +
         maxTimeToAdvance(Options.MaxAcceptedLease, Options) +
         Options.ExpiryMargin;
}

Resources
WorkerTable::shortRunsReservedBy(const std::string &Organisation) const {
  auto It = ShortRunsByOrganisation.find(Organisation);
  return It == ShortRunsByOrganisation.end() ? Resources{} : It->second;
}

Resources WorkerTable::resourcesUsedBy(const std::string &Organisation) const {
  auto It = UsageByOrganisation.find(Organisation);
  return It == UsageByOrganisation.end() ? Resources{} : It->second;
}

} // namespace mimosashunt
