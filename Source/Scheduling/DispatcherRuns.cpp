// The part of the scheduler that communicates with workers: polls them, starts
// and stops runs, and processes ended runs.

#include "Scheduling/Dispatcher.h"
#include "Scheduling/LogFields.h"
#include "Scheduling/StallDetection.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

/// A poll that fails sooner than this after the time that the worker may take
/// did not time out.
constexpr Duration SuddenMargin = milliseconds(300);

} // namespace

// Polling of workers.

void Dispatcher::processDueWork() {
  if (!mayIssueOrders())
    return;
  // Renewals first: the rest may take long.
  renewAgingLeases();
  pollDueWorkers();
  scheduleDirtyPools();
  sendAdviceCall();
  proposePlacements();
  proposeLosses();
}

void Dispatcher::renewAgingLeases() {
  Instant Now = Timers.now();
  if (!isLate() || Now - RenewalsCheckedAt < Options.RenewalCheckInterval)
    return;
  RenewalsCheckedAt = Now;
  for (auto &[Key, Worker] : Table.all()) {
    if (mayRenew(Worker) && Now - Worker.RenewedAt >= Options.RenewalInterval)
      renewLease(Worker);
  }
}

bool Dispatcher::mayRenew(const TrackedWorker &Worker) const {
  // An unreachable worker's runs must end, as for polls.
  return Worker.IsSynced && Worker.IsReachable && Worker.FailedPolls == 0 &&
         !Worker.Runs.empty();
}

void Dispatcher::renewLease(TrackedWorker &Worker) {
  std::optional<int64_t> LeaseEndMs = Table.grantLease(Worker, Timers.now());
  if (!LeaseEndMs)
    return;
  ++Counters.Renewals;
  std::shared_ptr<bool> IsAlive = AliveFlag;
  Port.renewLease(
      Worker.Entry, {*LeaseEndMs, Token},
      [this, IsAlive, Key = Worker.key(),
       SentAt = Timers.now()](const OrderResponse &Response) {
        if (!*IsAlive)
          return;
        if (Response.Outcome == OrderOutcome::Fenced)
          return onFenced(Key);
        if (Response.Outcome == OrderOutcome::WrongIncarnation)
          return removeWorker(Key, "wrong_life", /*HasCrashed=*/true);
        if (Response.Outcome == OrderOutcome::Accepted)
          Delay.record(Timers.now(), Timers.now() - SentAt);
        TrackedWorker *Renewed = Table.find(Key);
        if (Renewed == nullptr)
          return;
        if (Response.Outcome == OrderOutcome::Restarted)
          return onRestarted(*Renewed, Response.Incarnation);
        // Otherwise its polls decide whether a worker is reachable.
        if (Response.ClockMs)
          Table.recordClock(*Renewed, SentAt, Timers.now(), *Response.ClockMs);
        if (Response.Outcome == OrderOutcome::Accepted)
          onAlive(*Renewed, SentAt);
      });
}

void Dispatcher::pollDueWorkers() {
  // When a poll in flight ends, it schedules the next one.
  for (TrackedWorker *Worker : Table.takeDueWorkers(Timers.now()))
    if (!Worker->PollInFlight)
      pollWorker(*Worker);
}

void Dispatcher::pollWorker(TrackedWorker &Worker) {
  PollOrder Order;
  Order.Token = Token;
  // A worker that has stopped answering may have restarted and counts its ends
  // anew.
  if (Worker.IsReachable && Worker.FailedPolls == 0)
    Order.AcknowledgedEnds = Worker.CommittedEnds;
  // A worker that does not answer gets no new lease: its runs must end
  // eventually, so that the tasks can be started elsewhere.
  if (Worker.IsSynced && Worker.IsReachable && Worker.FailedPolls == 0) {
    Order.LeaseEndMs = Table.grantLease(Worker, Timers.now());
    Duration Wait =
        Worker.Runs.empty() ? Options.IdlePollTimeout : Options.BusyPollTimeout;
    // The lists tell what became of a start that was not answered.
    if (!Worker.hasStartInDoubt())
      Order.MaxWaitMs = toMillis(Wait);
  }
  Worker.PollInFlight = true;
  ++Counters.Polls;
  std::shared_ptr<bool> IsAlive = AliveFlag;
  Port.pollWorker(
      Worker.Entry, Order,
      [this, IsAlive, Key = Worker.key(), SentAt = Timers.now(),
       Wait = milliseconds(Order.MaxWaitMs)](const PollResponse &Response) {
        if (!*IsAlive)
          return;
        // A response that carries ends was not kept for the time.
        if (Response.Outcome == OrderOutcome::Accepted &&
            Response.Finished.empty())
          Delay.record(Timers.now(), Timers.now() - SentAt - Wait);
        onPollResponse(Key, SentAt, Wait, Response);
      });
}

namespace {

/// Restarts the stall timeouts of runs whose rows cannot be read, since they
/// may progress unseen.
void restartStallTimeouts(TrackedWorker &Worker, const PollResponse &Response,
                          Instant Now) {
  for (const TaskId &Task : Response.UnreadableRuns) {
    auto It = Worker.Runs.find(Task);
    if (It != Worker.Runs.end())
      It->second.ProgressChangedAt = Now;
  }
}

/// Returns true if neither the list of \p Response nor a later one may tell
/// what became of the run, unless it is stopped first.
bool isInDoubt(const TaskId &Task, const Run &Unlisted,
               const PollResponse &Response, Instant SentAt) {
  // An unanswered start order may still arrive. Stopping the attempt ensures
  // that it cannot start afterwards.
  if (Unlisted.State == RunState::Unconfirmed && Unlisted.OrderedAt < SentAt)
    return true;
  return Unlisted.State == RunState::Running &&
         Response.UnreadableEnds.count(Task) > 0;
}

} // namespace

void Dispatcher::onPollResponse(const WorkerKey &Key, Instant SentAt,
                                Duration MaxWait,
                                const PollResponse &Response) {
  TrackedWorker *Worker = Table.find(Key);
  if (Worker == nullptr)
    return;
  Worker->PollInFlight = false;
  switch (Response.Outcome) {
  case OrderOutcome::Accepted:
    break;
  case OrderOutcome::Fenced:
    return onFenced(Key);
  case OrderOutcome::WrongIncarnation:
    return removeWorker(Key, "wrong_life", /*HasCrashed=*/true);
  case OrderOutcome::Restarted:
    return onRestarted(*Worker, Response.Incarnation);
  default:
    return handleFailedPoll(*Worker, Response.Outcome,
                            Timers.now() - SentAt < MaxWait + SuddenMargin);
  }
  Worker->LastResponseAt = Timers.now();
  Worker->FailedPolls = 0;
  onAlive(*Worker, SentAt);
  if (!Worker->IsReachable)
    Hooks.LogEvent("worker_in_touch", {{"worker", Key.Id}});
  Worker->IsReachable = true;
  resolveLosses(Key, /*HasCrashed=*/false);
  if (Response.ClockMs)
    Table.recordClock(*Worker, SentAt, Timers.now(), *Response.ClockMs);
  for (const FinishedRun &End : Response.Finished)
    handleRunEnd(*Worker, End);
  for (const RunningTask &Reported : Response.Running)
    updateRun(*Worker, Reported);
  restartStallTimeouts(*Worker, Response, Timers.now());
  removeVanishedRuns(*Worker, Response, SentAt);
  // What is not listed may run on under a lease of an earlier leader.
  bool MayRunUnlisted =
      mayHideRuns(Response) && Timers.now() < Worker->LeaseEnd;
  bool IsNewlySynced = !Worker->IsSynced && !MayRunUnlisted;
  if (IsNewlySynced)
    markSynced(*Worker);
  // The last lease of runs that another leader started may be about to end.
  bool MustRenewNow = IsNewlySynced && !Worker->Runs.empty();
  stopStalledRuns(*Worker);
  adjustPaces(*Worker);
  markPoolDirty(Worker->Entry.Pool);
  schedulePollAfter(*Worker, MustRenewNow ? Duration::zero() : pollInterval());
}

void Dispatcher::markSynced(TrackedWorker &Worker) {
  Worker.IsSynced = true;
  markRead(Worker.key());
  Hooks.LogEvent("worker_synced", {{"worker", Worker.key().Id},
                                   {"pool", Worker.Entry.Pool},
                                   {"runs", Worker.Runs.size()}});
}

void Dispatcher::updateRun(TrackedWorker &Worker, const RunningTask &Reported) {
  auto It = Worker.Runs.find(Reported.Task);
  if (It != Worker.Runs.end() && It->second.State == RunState::Booked) {
    // What already runs there makes the start needless.
    withdrawStart(Worker, Reported.Task);
    It = Worker.Runs.end();
  }
  if (It == Worker.Runs.end())
    return adoptRun(Worker, Reported);
  Run &CurrentRun = It->second;
  if (CurrentRun.Attempt != Reported.Attempt)
    return;
  if (CurrentRun.ListedAt == Instant())
    CurrentRun.ListedAt = Timers.now();
  // A stop that was not carried out in time has nothing left to prevent.
  bool IsNeedlesslyStopped =
      CurrentRun.State == RunState::Stopping && CurrentRun.IsStoppedInDoubt &&
      !CurrentRun.StopAckedAt && findWantedTask(Reported.Task) != nullptr;
  if (CurrentRun.State == RunState::Unconfirmed || IsNeedlesslyStopped)
    removeLoss(Reported.Task, Reported.Attempt);
  if (CurrentRun.State == RunState::Unconfirmed ||
      CurrentRun.State == RunState::Starting || IsNeedlesslyStopped) {
    CurrentRun.State = RunState::Running;
    CurrentRun.StartAckedAt = Timers.now();
    markStarted(Reported.Task);
  }
  if (Reported.ProgressPercent != CurrentRun.ProgressPercent) {
    CurrentRun.ProgressPercent = Reported.ProgressPercent;
    CurrentRun.ProgressChangedAt = Timers.now();
  }
  CurrentRun.Gauge = Reported.Gauge;
  if (CurrentRun.LongRunning) {
    checkSurvival(Worker, Reported.Task, CurrentRun);
    recordIfLasting(Worker, Reported.Task, CurrentRun);
  }
  if (Reported.Checkpoint.empty())
    return;
  CurrentRun.Checkpoint = Reported.Checkpoint;
  auto Job = Jobs.find(Reported.Task.Job);
  if (Job != Jobs.end())
    if (TaskProgress *TaskState = Job->second->findTask(Reported.Task))
      TaskState->Checkpoint = Reported.Checkpoint;
}

void Dispatcher::adoptRun(TrackedWorker &Worker, const RunningTask &Reported) {
  const JobRecord *Record = Store.findJob(Reported.Task.Job);
  bool IsValid =
      Record != nullptr && Reported.Task.Step < Record->Job.Spec.Steps.size() &&
      Reported.Task.Index < Record->Job.Spec.Steps[Reported.Task.Step].Count &&
      Reported.Task.Occurrence < Record->Job.Spec.Recurrence.occurrences();
  RunProperties Properties;
  if (IsValid)
    Properties = RunProperties::of(Record->Job.Spec.Steps[Reported.Task.Step],
                                   Record->Job.Organisation, Worker.Entry);
  Run Adopted(std::move(Properties));
  Adopted.Attempt = Reported.Attempt;
  Adopted.IsAdopted = true;
  Adopted.State = RunState::Running;
  Adopted.OrderedAt = Adopted.StartAckedAt = Adopted.ListedAt =
      Adopted.ProgressChangedAt = Timers.now();
  Adopted.ProgressPercent = Reported.ProgressPercent;
  Adopted.Gauge = Reported.Gauge;
  Adopted.Checkpoint = Reported.Checkpoint;
  Table.addRun(Worker, Reported.Task, std::move(Adopted));
  openOccurrence(Reported.Task);
  auto Job = Jobs.find(Reported.Task.Job);
  TaskProgress *TaskState = IsValid && Job != Jobs.end()
                                ? Job->second->findTask(Reported.Task)
                                : nullptr;
  bool IsWanted =
      TaskState != nullptr && !Job->second->HasEnded && !TaskState->Done;
  bool MayHaveCopies =
      IsWanted && Job->second->stepSpec(Reported.Task.Step).Speculative;
  if (IsWanted && !MayHaveCopies && !TaskState->Workers.empty()) {
    // A start that was not ordered yet gives way to the run.
    TrackedWorker *Holder = Table.find(TaskState->Workers.front());
    bool IsBooked = Holder != nullptr &&
                    Holder->Runs.count(Reported.Task) > 0 &&
                    Holder->Runs.at(Reported.Task).State == RunState::Booked;
    if (IsBooked)
      withdrawStart(*Holder, Reported.Task);
  }
  if (IsWanted && !MayHaveCopies && !TaskState->Workers.empty()) {
    // The task has two runs; the one with the lower attempt is stopped.
    TrackedWorker *Other = Table.find(TaskState->Workers.front());
    if (Other != nullptr && Other->Runs.count(Reported.Task) &&
        Other->Runs[Reported.Task].Attempt < Reported.Attempt)
      stopRun(*Other, Reported.Task);
    else
      IsWanted = false;
  }
  Json Fields = taskFields(Reported.Task, Reported.Attempt);
  Fields["worker"] = Worker.key().Id;
  Fields["born"] = Worker.key().Incarnation;
  Fields["pool"] = Worker.Entry.Pool;
  Fields["wanted"] = IsWanted;
  Hooks.LogEvent("run_found", std::move(Fields));
  if (TaskState != nullptr) {
    Job->second->addPlacement(Reported.Task, Worker.key(), Reported.Attempt);
    Job->second->HasStarted = true;
    if (!Reported.Checkpoint.empty())
      TaskState->Checkpoint = Reported.Checkpoint;
  }
  if (!IsWanted)
    stopRun(Worker, Reported.Task);
}

void Dispatcher::markStarted(const TaskId &Task) {
  auto Job = Jobs.find(Task.Job);
  if (Job != Jobs.end())
    Job->second->HasStarted = true;
}

bool Dispatcher::mayHideRuns(const PollResponse &Response) {
  auto IsWanted = [this](const TaskId &Task) {
    return findWantedTask(Task) != nullptr;
  };
  const std::set<TaskId> &Runs = Response.UnreadableRuns;
  const std::set<TaskId> &Ends = Response.UnreadableEnds;
  return Response.HasMoreEnds ||
         std::any_of(Runs.begin(), Runs.end(), IsWanted) ||
         std::any_of(Ends.begin(), Ends.end(), IsWanted);
}

bool Dispatcher::hasVanished(const TaskId &Task, const Run &Unlisted,
                             const PollResponse &Response,
                             Instant SentAt) const {
  if (Response.HasMoreEnds)
    return false;
  bool CannotStart = Unlisted.StopAckedAt && *Unlisted.StopAckedAt < SentAt;
  // The row may be the run's own, which is there until a stop has ended it.
  if (Response.isNamedUnreadably(Task))
    return CannotStart &&
           Timers.now() - *Unlisted.StopAckedAt > Options.UnreadableRowTimeout;
  bool WasRunning = (Unlisted.State == RunState::Running ||
                     Unlisted.State == RunState::Stopping) &&
                    Unlisted.StartAckedAt > Instant() &&
                    Unlisted.StartAckedAt <= SentAt;
  return CannotStart || WasRunning;
}

void Dispatcher::removeVanishedRuns(TrackedWorker &Worker,
                                    const PollResponse &Response,
                                    Instant SentAt) {
  std::set<TaskId> Listed;
  for (const RunningTask &Reported : Response.Running)
    Listed.insert(Reported.Task);
  std::vector<TaskId> Vanished;
  std::vector<TaskId> Doubtful;
  for (const auto &[Task, CurrentRun] : Worker.Runs) {
    if (Listed.count(Task))
      continue;
    if (hasVanished(Task, CurrentRun, Response, SentAt))
      Vanished.push_back(Task);
    else if (isInDoubt(Task, CurrentRun, Response, SentAt))
      Doubtful.push_back(Task);
  }
  for (const TaskId &Task : Vanished)
    removeRun(Worker, Task);
  for (const TaskId &Task : Doubtful) {
    Run &CurrentRun = Worker.Runs.at(Task);
    Json Fields = taskFields(Task, CurrentRun.Attempt);
    Fields["worker"] = Worker.key().Id;
    Fields["unreadable"] = Response.isNamedUnreadably(Task);
    Hooks.LogEvent("run_in_doubt", std::move(Fields));
    CurrentRun.IsStoppedInDoubt = true;
    stopRun(Worker, Task);
  }
}

Duration Dispatcher::oldestRenewalAge() const {
  Duration Oldest{};
  for (const auto &[Key, Worker] : Table.all())
    if (Worker.IsSynced && Worker.IsReachable && Worker.hasOrderedRuns())
      Oldest = std::max(Oldest, Timers.now() - Worker.RenewedAt);
  return Oldest;
}

void Dispatcher::handleFailedPoll(TrackedWorker &Worker, OrderOutcome Outcome,
                                  bool WasSudden) {
  bool Lost = Outcome == OrderOutcome::Unanswered;
  // A single response may be lost in transit, so the poll is repeated at once.
  if (Lost && Worker.IsReachable && Worker.FailedPolls == 0) {
    ++Worker.FailedPolls;
    Table.schedulePoll(Worker, Timers.now());
    return;
  }
  bool HasAnswered = !Lost && Outcome != OrderOutcome::NotSent;
  withdrawStarts(Worker);
  if (Worker.IsReachable) {
    Hooks.LogEvent("worker_silent", {{"worker", Worker.key().Id},
                                     {"lost", Lost},
                                     {"sudden", WasSudden},
                                     {"runs", Worker.Runs.size()}});
    if (!HasAnswered)
      onWorkerSilent(Worker, WasSudden);
  }
  Worker.IsReachable = false;
  ++Worker.FailedPolls;
  schedulePollAfter(Worker, Options.UnreachablePollInterval);
}

Duration Dispatcher::pollInterval() const {
  auto Workers = static_cast<int64_t>(Table.all().size());
  Duration Interval =
      std::clamp(Options.PollIntervalPerWorker * Workers,
                 Options.MinPollInterval, Options.MaxPollInterval);
  // An overloaded leader reads more ends with fewer polls.
  if (responseDelay() > Options.Starts.TargetDelay)
    Interval = Options.OverloadPollInterval;
  return Interval;
}

void Dispatcher::schedulePollAfter(TrackedWorker &Worker, Duration Pause) {
  Table.schedulePoll(Worker, Timers.now() + Pause);
  // Wakes the event loop at that time.
  Timers.scheduleAt(Worker.NextPollAt, [] {});
}

void Dispatcher::onFenced(const WorkerKey &Key) {
  if (std::exchange(HasBeenDeposed, true))
    return;
  Hooks.LogEvent("deposed", {{"worker", Key.Id}, {"token", Token}});
  Hooks.OnDeposed();
}

// Starting, stopping and pacing of runs.

void Dispatcher::onStartResponse(const WorkerKey &Key, const TaskId &Task,
                                 uint32_t Attempt, Instant SentAt,
                                 const OrderResponse &Response) {
  TrackedWorker *Worker = Table.find(Key);
  if (Worker == nullptr)
    return;
  if (Response.ClockMs)
    Table.recordClock(*Worker, SentAt, Timers.now(), *Response.ClockMs);
  auto It = Worker->Runs.find(Task);
  if (It == Worker->Runs.end() || It->second.Attempt != Attempt)
    return;
  Run &CurrentRun = It->second;
  if (Response.Outcome == OrderOutcome::Accepted) {
    CurrentRun.StartAckedAt = Timers.now();
    if (CurrentRun.State == RunState::Starting)
      CurrentRun.State = RunState::Running;
    return markStarted(Task);
  }
  Json Fields = taskFields(Task, Attempt);
  Fields["worker"] = Key.Id;
  Fields["why"] = mimosashunt::nameOf(Response.Outcome);
  Hooks.LogEvent("start_not_taken", Fields);
  if (Response.Outcome == OrderOutcome::Fenced)
    return onFenced(Key);
  if (Response.Outcome == OrderOutcome::WrongIncarnation)
    return removeWorker(Key, "wrong_life", /*HasCrashed=*/true);
  markPoolDirty(Worker->Entry.Pool);
  if (Response.Outcome == OrderOutcome::Unanswered) {
    ++Counters.UnansweredStarts;
    if (CurrentRun.State == RunState::Starting)
      CurrentRun.State = RunState::Unconfirmed;
    CurrentRun.OrderedAt = Timers.now();
    Table.schedulePoll(*Worker, Timers.now());
    return;
  }
  ++Counters.RejectedStarts;
  removeLoss(Task, Attempt);
  bool Gang = false;
  auto Job = Jobs.find(Task.Job);
  TaskProgress *TaskState =
      Job == Jobs.end() ? nullptr : Job->second->findTask(Task);
  if (TaskState != nullptr) {
    Gang = Job->second->stepSpec(Task.Step).Gang;
    if (Response.Outcome == OrderOutcome::StaleAttempt)
      TaskState->LastAttempt += Options.AttemptsPerLeadership / 10;
    if (Response.Outcome == OrderOutcome::NoTicket)
      Job->second->findStep(Task)->Advice.TicketsByWorker.erase(Key.Id);
    if (Response.Outcome == OrderOutcome::Invalid)
      TaskState->NotBefore = Timers.now() + seconds(1);
  }
  removeRun(*Worker, Task);
  if (Response.Outcome == OrderOutcome::Unhealthy &&
      Health.recordRefusal(Key, Worker->Entry.Pool,
                           poolSize(Worker->Entry.Pool), Timers.now()))
    reportEjection(*Worker, "refused");
  if (Response.Outcome == OrderOutcome::NoCapacity ||
      Response.Outcome == OrderOutcome::LeaseExpired ||
      Response.Outcome == OrderOutcome::NotSent)
    handleFailedPoll(*Worker, Response.Outcome, /*WasSudden=*/true);
  if (!Gang)
    return;
  // The other members of the gang cannot proceed without this one.
  for (uint32_t I = 0; I < Job->second->stepSpec(Task.Step).Count; ++I) {
    TaskId Member = Task;
    Member.Index = I;
    for (const WorkerKey &At :
         std::vector<WorkerKey>(Job->second->findTask(Member)->Workers))
      if (TrackedWorker *Holder = Table.find(At))
        stopRun(*Holder, Member);
  }
}

void Dispatcher::stopRun(TrackedWorker &Worker, const TaskId &Task) {
  auto It = Worker.Runs.find(Task);
  if (It == Worker.Runs.end() || It->second.State == RunState::Stopping)
    return;
  if (It->second.State == RunState::Booked)
    return withdrawStart(Worker, Task);
  It->second.State = RunState::Stopping;
  sendStop(Worker, Task);
}

void Dispatcher::sendStop(TrackedWorker &Worker, const TaskId &Task) {
  Run &CurrentRun = Worker.Runs.at(Task);
  if (CurrentRun.StopInFlight || !mayIssueOrders())
    return;
  CurrentRun.StopInFlight = true;
  ++Counters.StopOrders;
  Json Fields = taskFields(Task, CurrentRun.Attempt);
  Fields["worker"] = Worker.key().Id;
  Hooks.LogEvent("run_stop", Fields);
  std::shared_ptr<bool> IsAlive = AliveFlag;
  Port.stopRun(Worker.Entry, {Task, CurrentRun.Attempt, Token},
               [this, IsAlive, Key = Worker.key(), Task,
                Attempt = CurrentRun.Attempt](const OrderResponse &Response) {
                 if (!*IsAlive)
                   return;
                 TrackedWorker *Target = Table.find(Key);
                 if (Target == nullptr)
                   return;
                 if (Response.Outcome == OrderOutcome::Fenced)
                   return onFenced(Key);
                 if (Response.Outcome == OrderOutcome::WrongIncarnation)
                   return removeWorker(Key, "wrong_life", /*HasCrashed=*/true);
                 auto It = Target->Runs.find(Task);
                 if (It == Target->Runs.end() || It->second.Attempt != Attempt)
                   return;
                 It->second.StopInFlight = false;
                 if (Response.Outcome == OrderOutcome::Accepted ||
                     Response.Outcome == OrderOutcome::StaleAttempt) {
                   It->second.StopAckedAt = Timers.now();
                   Table.schedulePoll(*Target, Timers.now());
                 }
               });
}

void Dispatcher::removeRun(TrackedWorker &Worker, const TaskId &Task) {
  auto It = Worker.Runs.find(Task);
  if (It != Worker.Runs.end() && It->second.State == RunState::Booked)
    return withdrawStart(Worker, Task);
  eraseRun(Worker, Task);
}

void Dispatcher::eraseRun(TrackedWorker &Worker, const TaskId &Task) {
  auto Job = Jobs.find(Task.Job);
  if (Job != Jobs.end() && Job->second->findTask(Task) != nullptr) {
    Job->second->removePlacement(Task, Worker.key());
    markPoolDirty(Job->second->Pool);
  }
  Table.removeRun(Worker, Task);
  markPoolDirty(Worker.Entry.Pool);
}

void Dispatcher::stopAllRuns(JobProgress &Job) {
  for (auto &[K, Occurrence] : Job.Occurrences)
    for (uint32_t S = 0; S < Occurrence.Steps.size(); ++S) {
      std::vector<TaskProgress> &Tasks = Occurrence.Steps[S].Tasks;
      for (uint32_t I = 0; I < Tasks.size(); ++I)
        for (const WorkerKey &At : std::vector<WorkerKey>(Tasks[I].Workers))
          if (TrackedWorker *Worker = Table.find(At))
            stopRun(*Worker, {Job.id(), K, S, I});
    }
}

void Dispatcher::stopStalledRuns(TrackedWorker &Worker) {
  for (const TaskId &Task :
       findStalledTasks(Worker, Timers.now(), Options.StallTimeout)) {
    auto Job = Jobs.find(Task.Job);
    if (Job == Jobs.end() || Job->second->HasEnded)
      continue;
    ++Counters.StalledRuns;
    const Run &CurrentRun = Worker.Runs.at(Task);
    Json Fields = taskFields(Task, CurrentRun.Attempt);
    Fields["worker"] = Worker.key().Id;
    Fields["percent"] = CurrentRun.ProgressPercent;
    Hooks.LogEvent("run_stands_still", Fields);
    if (Job->second->findTask(Task) != nullptr)
      recordRunFailure(Worker, *Job->second, Task);
    stopRun(Worker, Task);
  }
}

void Dispatcher::adjustPaces(TrackedWorker &Worker) {
  std::vector<PaceChange> Changes =
      computePaceChanges(Worker, Timers.now(), Options.Pacing);
  if (Changes.empty() || !mayIssueOrders())
    return;
  for (const PaceChange &Change : Changes) {
    Run &CurrentRun = Worker.Runs.at(Change.Task);
    CurrentRun.PacePercent = Change.Percent;
    CurrentRun.PaceChangedAt = Timers.now();
    Json Fields = taskFields(Change.Task, Change.Attempt);
    Fields["worker"] = Worker.key().Id;
    Fields["percent"] = Change.Percent;
    Fields["tail_part"] = worstTailRatio(Worker);
    Hooks.LogEvent("run_paced", Fields);
    Port.setPace(Worker.Entry,
                 {Change.Task, Change.Attempt, Change.Percent, Token},
                 [](const OrderResponse &) {});
  }
}

} // namespace mimosashunt
