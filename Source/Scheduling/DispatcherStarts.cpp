// The part of the scheduler that starts runs: books them, waits until their
// workers are on their jobs' records, and sends the orders.

#include "Scheduling/Dispatcher.h"
#include "Scheduling/LogFields.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

size_t Dispatcher::startsLeft() const {
  size_t Left = Starts.startsLeft();
  return Left - std::min(Left, Records.waitingStarts());
}

bool Dispatcher::mayBookStarts(const JobProgress &Job) const {
  return !Job.job().RecordsPlacements || Timers.now() >= RecordsRetriedAt;
}

void Dispatcher::startRuns(JobProgress &Job, const StartGroup &Group,
                           bool IsCanary) {
  // A lease is an instant of the worker's clock.
  bool AreClocksKnown =
      std::all_of(Group.begin(), Group.end(), [this](const BookedStart &Start) {
        const TrackedWorker *Worker = Table.find(Start.Worker);
        return Table.estimateClockMs(*Worker, Timers.now()).has_value();
      });
  if (!AreClocksKnown)
    return;
  for (const BookedStart &Start : Group)
    bookRun(Job, Start, IsCanary);
  // Also under a leader whose own settings record nothing: the next one may
  // rely on the record.
  if (Job.job().RecordsPlacements && !Records.areRecorded(Group))
    return Records.await(Group);
  for (const BookedStart &Start : Group)
    sendStart(Start);
}

void Dispatcher::bookRun(JobProgress &Job, const BookedStart &Start,
                         bool IsCanary) {
  const StepSpec &Spec = Job.stepSpec(Start.Task.Step);
  TrackedWorker &Worker = *Table.find(Start.Worker);
  Run NewRun(RunProperties::of(Spec, Job.job().Organisation, Worker.Entry));
  NewRun.Attempt = Start.Attempt;
  NewRun.State = RunState::Booked;
  NewRun.OrderedAt = NewRun.ProgressChangedAt = Timers.now();
  NewRun.IsCanary = IsCanary;
  endLocalityWait(Start.Task, NewRun.IsRemote && !Spec.Gang ? "far" : "near");
  updateForecast(Job, Spec, Worker, NewRun.IsRemote);
  Table.addRun(Worker, Start.Task, std::move(NewRun));
  Job.addPlacement(Start.Task, Start.Worker, Start.Attempt);
}

Run *Dispatcher::findBookedRun(const BookedStart &Start) {
  TrackedWorker *Worker = Table.find(Start.Worker);
  if (Worker == nullptr)
    return nullptr;
  auto It = Worker->Runs.find(Start.Task);
  bool IsBooked = It != Worker->Runs.end() &&
                  It->second.State == RunState::Booked &&
                  It->second.Attempt == Start.Attempt;
  return IsBooked ? &It->second : nullptr;
}

void Dispatcher::sendStart(const BookedStart &Start) {
  const TaskId &Task = Start.Task;
  // An earlier member of the gang may have been rejected at once.
  Run *BookedRun = findBookedRun(Start);
  if (BookedRun == nullptr)
    return;
  TrackedWorker &Worker = *Table.find(Start.Worker);
  std::optional<int64_t> Until = Table.grantLease(Worker, Timers.now());
  if (!Until)
    return removeRun(Worker, Task);
  JobProgress &Job = *Jobs.at(Task.Job);
  const StepSpec &Spec = Job.stepSpec(Task.Step);
  StepProgress &Step = *Job.findStep(Task);
  StartOrder Order{Task, Start.Attempt, Job.spec().Payload, *Until, Token, {},
                   {}};
  if (Spec.Checkpointing) {
    Order.Checkpoint = Step.Tasks[Task.Index].Checkpoint;
    // All members of a gang start from the same checkpoint.
    if (Spec.Gang)
      Order.Checkpoint = Step.Tasks.front().Checkpoint;
  }
  auto Ticket = Step.Advice.TicketsByWorker.find(Worker.key().Id);
  if (Ticket != Step.Advice.TicketsByWorker.end())
    Order.Ticket = Ticket->second.Text;
  BookedRun->State = RunState::Starting;
  BookedRun->OrderedAt = BookedRun->ProgressChangedAt = Timers.now();
  if (!Spec.LongRunning)
    Shares.recordStart(Job.ShareIndex, Timers.now());
  ++Counters.StartOrders;
  if (BookedRun->IsCanary) {
    ++Counters.Canaries;
    CanaryWorkers.insert(Worker.key());
  }
  Starts.onStartOrdered();
  Json Fields = taskFields(Task, Start.Attempt);
  Fields["worker"] = Worker.key().Id;
  Fields["free_cpu"] = Worker.freeResources().Cpu;
  Fields["left_ms"] = toMillis(Job.Objective - Timers.now());
  if (BookedRun->IsCanary)
    Fields["canary"] = true;
  Hooks.LogEvent("run_start", std::move(Fields));
  std::shared_ptr<bool> IsAlive = AliveFlag;
  Port.startRun(Worker.Entry, Order,
                [this, IsAlive, Start,
                 SentAt = Timers.now()](const OrderResponse &Response) {
                  if (!*IsAlive)
                    return;
                  Starts.onStartAnswered();
                  Retries.onStartAnswered(Timers.now());
                  if (Response.Outcome == OrderOutcome::Accepted)
                    Delay.record(Timers.now(), Timers.now() - SentAt);
                  onStartResponse(Start.Worker, Start.Task, Start.Attempt,
                                  SentAt, Response);
                });
}

void Dispatcher::proposePlacements() {
  std::optional<RecordPlacements> Command = Records.takeProposal();
  if (!Command)
    return;
  size_t Pairs = 0;
  for (const JobPlacements &Recorded : Command->Jobs)
    Pairs += Recorded.Workers.size();
  std::shared_ptr<bool> IsAlive = AliveFlag;
  Hooks.Propose(*Command, [this, IsAlive, Pairs](bool Committed) {
    if (!*IsAlive)
      return;
    Counters.RecordedPlacements += Committed ? Pairs : 0;
    onPlacementsProposed(Committed);
  });
}

void Dispatcher::onPlacementsProposed(bool Committed) {
  PlacementRecords::Decided Decided = Records.onProposed();
  if (!Committed) {
    RecordsRetriedAt = Timers.now() + Options.RecordRetryInterval;
    Hooks.LogEvent("placements_not_committed",
                   {{"starts", Decided.Failed.size()}});
  }
  for (const StartGroup &Group : Decided.Failed)
    releaseBookings(Group);
  for (const StartGroup &Group : Decided.Recorded) {
    bool MayStart =
        mayIssueOrders() && std::all_of(Group.begin(), Group.end(),
                                        [this](const BookedStart &Start) {
                                          return isStillPossible(Start);
                                        });
    if (!MayStart) {
      releaseBookings(Group);
      continue;
    }
    for (const BookedStart &Start : Group)
      sendStart(Start);
  }
}

bool Dispatcher::isStillPossible(const BookedStart &Start) {
  if (findBookedRun(Start) == nullptr || findWantedTask(Start.Task) == nullptr)
    return false;
  const TrackedWorker &Worker = *Table.find(Start.Worker);
  return isUsable(Worker, Store) &&
         Worker.Entry.Capacity.canFit(Worker.UsedResources) &&
         isWithinQuota(*Jobs.at(Start.Task.Job), {});
}

void Dispatcher::releaseBookings(const StartGroup &Group) {
  for (const BookedStart &Start : Group) {
    if (findBookedRun(Start) == nullptr)
      continue;
    ++Counters.WithdrawnStarts;
    eraseRun(*Table.find(Start.Worker), Start.Task);
    auto Job = Jobs.find(Start.Task.Job);
    if (Job != Jobs.end())
      Job->second->reuseAttempt(Start.Task, Start.Attempt);
  }
}

void Dispatcher::withdrawStart(TrackedWorker &Worker, const TaskId &Task) {
  StartGroup Group = Records.withdraw(Task);
  if (!Group.empty())
    return releaseBookings(Group);
  // Its gang is being started.
  ++Counters.WithdrawnStarts;
  eraseRun(Worker, Task);
}

void Dispatcher::withdrawStarts(TrackedWorker &Worker) {
  std::vector<TaskId> Booked;
  for (const auto &[Task, CurrentRun] : Worker.Runs)
    if (CurrentRun.State == RunState::Booked)
      Booked.push_back(Task);
  for (const TaskId &Task : Booked)
    if (Worker.Runs.count(Task))
      withdrawStart(Worker, Task);
}

// Jobs of earlier leaders.

bool Dispatcher::mayHaveUnlocatedRuns(const JobProgress &Job) const {
  if (!Job.IsInherited || !hasUnreadWorkers())
    return false;
  if (!Options.RecordsPlacements || !Job.job().RecordsPlacements)
    return Job.mayHaveChangedPool() || !isReconciled(Job.Pool);
  return std::any_of(Job.InheritedWorkers.begin(), Job.InheritedWorkers.end(),
                     [this](const WorkerKey &Key) { return isUnread(Key); });
}

void Dispatcher::reportUnlocatedJobs() {
  UnlocatedJobs = 0;
  if (!hasUnreadWorkers())
    return;
  UnixMillis Now = Hooks.WallNow();
  for (const auto &[Id, Job] : Jobs) {
    bool IsWaiting = !Job->HasEnded && mayHaveUnlocatedRuns(*Job) &&
                     hasSchedulableStep(*Job, Now);
    if (!IsWaiting)
      continue;
    ++UnlocatedJobs;
    Json Unread = Json::array();
    for (const WorkerKey &Key : Job->InheritedWorkers)
      if (isUnread(Key))
        Unread.push_back(Key.Id);
    bool IsDue = Timers.now() - StartedAt >= Options.UnlocatedReportDelay &&
                 !Unread.empty();
    if (IsDue && !std::exchange(Job->IsUnlocatedReported, true))
      Hooks.LogEvent("job_unlocated", {{"job", Id}, {"workers", Unread}});
  }
}

} // namespace mimosashunt
