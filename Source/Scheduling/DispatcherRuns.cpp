// The part of the scheduler that keeps in touch with workers: looks at their
// lists, starts and stops runs, and takes in how they end.

#include "Scheduling/Dispatcher.h"
#include "Scheduling/StallDetection.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

Json taskFields(const TaskId &Task, uint32_t Attempt) {
  return {{"job", Task.Job},
          {"task", std::to_string(Task.Occurrence) + "." +
                       std::to_string(Task.Step) + "." +
                       std::to_string(Task.Index)},
          {"attempt", Attempt}};
}

const char *nameOf(EndKind How) {
  switch (How) {
  case EndKind::Done:
    return "done";
  case EndKind::Failed:
    return "failed";
  case EndKind::Stopped:
    return "stopped";
  case EndKind::LeaseExpired:
    return "lapsed";
  case EndKind::Broken:
    return "broken";
  case EndKind::Alone:
    return "alone";
  }
  return "unknown";
}

} // namespace

// Looks.

void Dispatcher::processDueWork() {
  if (!mayOrder())
    return;
  lookAtDue();
  Unlocated = unlocated();
  // Scheduling may make other pools dirty, but only for the next turn.
  for (const std::string &Pool : std::exchange(DirtyPools, {}))
    schedule(Pool);
}

void Dispatcher::lookAtDue() {
  // A look that is under way sets the time of the next when it ends.
  for (TrackedWorker *Worker : Table.takeDue(Timers.now()))
    if (!Worker->LookUnderWay)
      look(*Worker);
}

void Dispatcher::look(TrackedWorker &Worker) {
  PollOrder Order;
  Order.Token = Token;
  Order.AcknowledgedEnds = Worker.Noted;
  // A worker that does not answer gets no new lease: what it runs must end
  // some time, so that it can be started elsewhere.
  if (Worker.IsSynced && Worker.IsReachable && Worker.SilentLooks == 0) {
    Order.LeaseEndMs = Table.grant(Worker, Timers.now());
    Duration Wait = Worker.Runs.empty() ? Options.IdleLook : Options.BusyLook;
    Order.MaxWaitMs = toMillis(Wait);
  }
  Worker.LookUnderWay = true;
  Worker.LookSentAt = Timers.now();
  ++Counters.Polls;
  std::shared_ptr<bool> Kept = Alive;
  Port.pollWorker(Worker.Entry, Order,
                  [this, Kept, Key = Worker.key(),
                   SentAt = Timers.now()](const PollResponse &Answer) {
                    if (*Kept)
                      looked(Key, SentAt, Answer);
                  });
}

void Dispatcher::looked(const WorkerKey &Key, Instant SentAt,
                        const PollResponse &Answer) {
  TrackedWorker *Worker = Table.find(Key);
  if (Worker == nullptr)
    return;
  Worker->LookUnderWay = false;
  switch (Answer.Outcome) {
  case OrderOutcome::Accepted:
    break;
  case OrderOutcome::Fenced:
    return fenced(Key);
  case OrderOutcome::WrongIncarnation:
    return gone(Key, "wrong_life");
  default:
    return silent(*Worker, Answer.Outcome == OrderOutcome::Unanswered);
  }
  Worker->LastAnswer = Timers.now();
  Worker->SilentLooks = 0;
  if (!Worker->IsReachable)
    Hooks.LogEvent("worker_in_touch", {{"worker", Key.Id}});
  Worker->IsReachable = true;
  if (Answer.ClockMs)
    Table.noteClock(*Worker, Timers.now(), *Answer.ClockMs);
  for (const FinishedRun &End : Answer.Finished)
    takeEnd(*Worker, End);
  for (const RunningTask &Row : Answer.Running)
    takeRunning(*Worker, Row, SentAt);
  dropVanished(*Worker, Answer, SentAt);
  if (!Worker->IsSynced)
    synced(*Worker);
  checkStandstill(*Worker);
  pace(*Worker);
  dirty(Worker->Entry.Pool);
  lookLater(*Worker, lookPause());
}

void Dispatcher::synced(TrackedWorker &Worker) {
  Worker.IsSynced = true;
  auto Found = Unknown.find(Worker.Entry.Pool);
  if (Found != Unknown.end())
    Found->second.erase(Worker.key());
  Hooks.LogEvent("worker_synced", {{"worker", Worker.key().Id},
                                   {"pool", Worker.Entry.Pool},
                                   {"runs", Worker.Runs.size()}});
}

void Dispatcher::takeRunning(TrackedWorker &Worker, const RunningTask &Row,
                             Instant SentAt) {
  auto Found = Worker.Runs.find(Row.Task);
  if (Found == Worker.Runs.end())
    return adoptRun(Worker, Row);
  Run &Known = Found->second;
  if (Known.Attempt != Row.Attempt)
    return;
  if (Known.State == RunState::Unsure)
    Known.State = RunState::Running;
  if (Known.State == RunState::Starting) {
    Known.State = RunState::Running;
    Known.AnsweredAt = SentAt;
  }
  if (Row.ProgressPercent != Known.Percent) {
    Known.Percent = Row.ProgressPercent;
    Known.PercentAt = Timers.now();
  }
  Known.Gauge = Row.Gauge;
  if (Row.Checkpoint.empty())
    return;
  Known.Saved = Row.Checkpoint;
  auto Job = Jobs.find(Row.Task.Job);
  if (Job != Jobs.end())
    if (TaskSlot *Slot = Job->second->slot(Row.Task))
      Slot->Saved = Row.Checkpoint;
}

void Dispatcher::adoptRun(TrackedWorker &Worker, const RunningTask &Row) {
  const JobRecord *Record = Store.findJob(Row.Task.Job);
  Run Found;
  Found.Attempt = Row.Attempt;
  Found.State = RunState::Running;
  Found.Since = Found.AnsweredAt = Found.PercentAt = Timers.now();
  Found.Percent = Row.ProgressPercent;
  Found.Gauge = Row.Gauge;
  Found.Saved = Row.Checkpoint;
  bool Fits = Record != nullptr &&
              Row.Task.Step < Record->Job.Spec.Steps.size() &&
              Row.Task.Index < Record->Job.Spec.Steps[Row.Task.Step].Count &&
              Row.Task.Occurrence < Record->Job.Spec.Recurrence.occurrences();
  if (Fits) {
    const StepSpec &Spec = Record->Job.Spec.Steps[Row.Task.Step];
    Found.Room = Spec.reservedResources();
    Found.Quota = Spec.TaskResources;
    Found.Organisation = Record->Job.Organisation;
    Found.Fills = Spec.UsesSpareCpu;
    Found.LongRunning = Spec.LongRunning;
    Found.TailTargetMs = Spec.TailTargetMs;
  }
  Table.book(Worker, Row.Task, std::move(Found));
  auto Job = Jobs.find(Row.Task.Job);
  TaskSlot *Slot =
      Fits && Job != Jobs.end() ? Job->second->slot(Row.Task) : nullptr;
  bool Wanted = Slot != nullptr && !Job->second->Ended && !Slot->Done;
  if (Wanted && !Slot->At.empty() &&
      !Job->second->step(Row.Task.Step).Speculative) {
    // Two copies: the one with the lower attempt is the stray.
    TrackedWorker *Other = Table.find(Slot->At.front());
    if (Other != nullptr && Other->Runs.count(Row.Task) &&
        Other->Runs[Row.Task].Attempt < Row.Attempt)
      stopRun(*Other, Row.Task);
    else
      Wanted = false;
  }
  Hooks.LogEvent("run_found", {{"job", Row.Task.Job},
                               {"worker", Worker.key().Id},
                               {"attempt", Row.Attempt},
                               {"wanted", Wanted}});
  if (Slot != nullptr) {
    Job->second->place(Row.Task, Worker.key(), Row.Attempt);
    if (!Row.Checkpoint.empty())
      Slot->Saved = Row.Checkpoint;
  }
  if (!Wanted)
    stopRun(Worker, Row.Task);
}

void Dispatcher::dropVanished(TrackedWorker &Worker, const PollResponse &Answer,
                              Instant SentAt) {
  std::set<TaskId> Listed;
  for (const RunningTask &Row : Answer.Running)
    Listed.insert(Row.Task);
  std::vector<TaskId> Vanished;
  std::vector<TaskId> Unsure;
  for (auto &[Task, Known] : Worker.Runs) {
    if (Listed.count(Task))
      continue;
    bool CannotBegin = Known.StopAnsweredAt && *Known.StopAnsweredAt < SentAt;
    bool WasThere = (Known.State == RunState::Running ||
                     Known.State == RunState::Stopping) &&
                    Known.AnsweredAt > Instant() && Known.AnsweredAt < SentAt;
    if (CannotBegin || WasThere)
      Vanished.push_back(Task);
    else if (Known.State == RunState::Unsure && Known.Since < SentAt)
      Unsure.push_back(Task);
  }
  for (const TaskId &Task : Vanished)
    forgetRun(Worker, Task);
  // An order that was lost may still be on its way; a stop of the attempt
  // makes sure that it cannot begin any more.
  for (const TaskId &Task : Unsure)
    stopRun(Worker, Task);
}

void Dispatcher::takeEnd(TrackedWorker &Worker, const FinishedRun &End) {
  if (End.Number <= Worker.Processed)
    return;
  Worker.Processed = End.Number;
  Instant OrderedAt = Timers.now();
  auto Booked = Worker.Runs.find(End.Task);
  bool Current =
      Booked != Worker.Runs.end() && Booked->second.Attempt == End.Attempt;
  if (Current) {
    OrderedAt = Booked->second.Since;
    forgetRun(Worker, End.Task);
  }
  Json Fields = taskFields(End.Task, End.Attempt);
  Fields["worker"] = Worker.key().Id;
  Fields["how"] = nameOf(End.Kind);
  Fields["ms"] = toMillis(Timers.now() - OrderedAt);
  Hooks.LogEvent("run_ended", Fields);
  if (End.Kind == EndKind::Done)
    ++Counters.CompletedRuns;
  else if (End.Kind == EndKind::Failed)
    ++Counters.FailedRuns;
  else
    ++Counters.OtherEndedRuns;
  auto Found = Jobs.find(End.Task.Job);
  JobProgress *Job = Found == Jobs.end() ? nullptr : Found->second.get();
  TaskSlot *Slot = Job == nullptr ? nullptr : Job->slot(End.Task);
  if (Slot == nullptr)
    return;
  const StepSpec &Spec = Job->step(End.Task.Step);
  Slot->LastAttempt = std::max(Slot->LastAttempt, End.Attempt);
  if (!End.Checkpoint.empty())
    Slot->Saved = End.Checkpoint;
  if (End.Kind == EndKind::Done && !Spec.LongRunning) {
    Health.noteDone(Worker.key());
    double Took = static_cast<double>(toMillis(Timers.now() - OrderedAt));
    double &Factor =
        EstimateFactors.try_emplace(Job->job().Queue, 1.0).first->second;
    constexpr double NewShare = 0.02;
    if (Current && Spec.EstimateMs > 0)
      Factor +=
          NewShare * (Took / static_cast<double>(Spec.EstimateMs) - Factor);
    if (!Slot->Done) {
      Job->noteDone(End.Task);
      noteEnd({End.Task, End.Attempt, true});
      if (!Slot->At.empty() || Spec.Gang)
        for (uint32_t I = 0; I < Spec.Count; ++I) {
          TaskId Member = End.Task;
          Member.Index = I;
          TaskSlot *Other = Job->slot(Member);
          if (!Other->Done)
            continue;
          for (const WorkerKey &At : std::vector<WorkerKey>(Other->At))
            if (TrackedWorker *Holder = Table.find(At))
              if (!Spec.Gang)
                stopRun(*Holder, Member);
        }
    }
  } else if (End.Kind == EndKind::Failed && !Spec.LongRunning && !Job->Ended) {
    bool Elsewhere =
        !Slot->Avoid.empty() && !Slot->Avoid.count(Worker.key().Id);
    Slot->Avoid.insert(Worker.key().Id);
    Health.noteStrike(Worker.key(), Worker.Entry.Pool, End.Task.Job, Elsewhere,
                      poolSize(Worker.Entry.Pool), Timers.now());
    noteEnd({End.Task, End.Attempt, false});
    if (Job->noteFailed(End.Task, End.Attempt) >= Job->MaxAttempts) {
      Hooks.LogEvent("job_failed", taskFields(End.Task, End.Attempt));
      Job->Ended = true;
      stopAll(*Job);
    }
  } else if (Spec.LongRunning) {
    Slot->EndedAt = Timers.now();
    if (End.Kind == EndKind::Failed &&
        Timers.now() - OrderedAt < milliseconds(1500)) {
      Slot->Avoid = {Worker.key().Id};
      Health.noteStrike(Worker.key(), Worker.Entry.Pool, End.Task.Job, false,
                        poolSize(Worker.Entry.Pool), Timers.now());
    }
  }
  dirty(Job->Pool);
  dropIfDone(End.Task.Job);
}

void Dispatcher::silent(TrackedWorker &Worker, bool Lost) {
  // One answer may be lost on its way; the look is repeated at once.
  if (Lost && Worker.IsReachable && Worker.SilentLooks == 0) {
    ++Worker.SilentLooks;
    Table.lookAt(Worker, Timers.now());
    return;
  }
  if (Worker.IsReachable)
    Hooks.LogEvent("worker_silent", {{"worker", Worker.key().Id},
                                     {"lost", Lost},
                                     {"runs", Worker.Runs.size()}});
  Worker.IsReachable = false;
  ++Worker.SilentLooks;
  lookLater(Worker, Options.SilentLook);
}

Duration Dispatcher::lookPause() const {
  auto Workers = static_cast<int64_t>(Table.all().size());
  return std::clamp(Options.LookPausePerWorker * Workers,
                    Options.LeastLookPause, Options.MostLookPause);
}

void Dispatcher::lookLater(TrackedWorker &Worker, Duration Pause) {
  Table.lookAt(Worker, Timers.now() + Pause);
  Timers.scheduleAt(Worker.LookAt, [] {}); // Wakes the loop for that turn.
}

void Dispatcher::lapse(TrackedWorker &Worker) {
  auto Found = Unknown.find(Worker.Entry.Pool);
  if (Found != Unknown.end() && Found->second.erase(Worker.key()))
    dirty(Worker.Entry.Pool);
  if (Worker.Runs.empty())
    return;
  Hooks.LogEvent("worker_lapsed",
                 {{"worker", Worker.key().Id}, {"runs", Worker.Runs.size()}});
  Counters.ExpiredRuns += Worker.Runs.size();
  // Its lists are read anew before it gets work again.
  Worker.IsSynced = false;
  while (!Worker.Runs.empty())
    forgetRun(Worker, Worker.Runs.begin()->first);
}

void Dispatcher::gone(const WorkerKey &Key, const char *Why) {
  TrackedWorker *Worker = Table.find(Key);
  if (Worker == nullptr)
    return;
  Hooks.LogEvent(
      "worker_gone",
      {{"worker", Key.Id}, {"why", Why}, {"runs", Worker->Runs.size()}});
  while (!Worker->Runs.empty())
    forgetRun(*Worker, Worker->Runs.begin()->first);
  for (auto &[Pool, Keys] : Unknown)
    Keys.erase(Key);
  dirty(Worker->Entry.Pool);
  Health.forget(Key);
  bool Agreed = Worker->IsCommitted;
  Table.erase(Key);
  if (!Agreed)
    return;
  UpdateWorkers Command;
  Command.Removed.push_back(Key);
  Hooks.Propose(Command, [](bool) {});
}

void Dispatcher::fenced(const WorkerKey &Key) {
  if (std::exchange(IsDeposed, true))
    return;
  Hooks.LogEvent("deposed", {{"worker", Key.Id}, {"token", Token}});
  Hooks.OnDeposed();
}

// Runs.

void Dispatcher::startRun(JobProgress &Job, const TaskId &Task,
                          TrackedWorker &Worker, uint32_t Attempt) {
  const StepSpec &Spec = Job.step(Task.Step);
  StepProgress &Step = *Job.stepOf(Task);
  TaskSlot &Slot = Step.Tasks[Task.Index];
  StartOrder Order{Task, Attempt, Job.spec().Payload, 0, Token, {}, {}};
  std::optional<int64_t> Until = Table.grant(Worker, Timers.now());
  if (!Until)
    return;
  Order.LeaseEndMs = *Until;
  if (Spec.Checkpointing) {
    Order.Checkpoint = Slot.Saved;
    // Members of a gang start from one state.
    if (Spec.Gang)
      Order.Checkpoint = Step.Tasks.front().Saved;
  }
  auto Ticket = Step.Advice.ByWorker.find(Worker.key().Id);
  if (Ticket != Step.Advice.ByWorker.end())
    Order.Ticket = Ticket->second.Text;
  Run Booked;
  Booked.Attempt = Attempt;
  Booked.Room = Spec.reservedResources();
  Booked.Quota = Spec.TaskResources;
  Booked.Organisation = Job.job().Organisation;
  Booked.Since = Booked.PercentAt = Timers.now();
  Booked.Fills = Spec.UsesSpareCpu;
  Booked.LongRunning = Spec.LongRunning;
  Booked.TailTargetMs = Spec.TailTargetMs;
  Table.book(Worker, Task, std::move(Booked));
  Job.place(Task, Worker.key(), Attempt);
  ++Counters.StartOrders;
  Json Fields = taskFields(Task, Attempt);
  Fields["worker"] = Worker.key().Id;
  Fields["free_cpu"] = Worker.freeRoom().Cpu;
  Fields["left_ms"] = toMillis(Job.Objective - Timers.now());
  Hooks.LogEvent("run_start", Fields);
  std::shared_ptr<bool> Kept = Alive;
  Port.startRun(Worker.Entry, Order,
                [this, Kept, Key = Worker.key(), Task,
                 Attempt](const OrderResponse &Answer) {
                  if (*Kept)
                    started(Key, Task, Attempt, Answer);
                });
}

void Dispatcher::started(const WorkerKey &Key, const TaskId &Task,
                         uint32_t Attempt, const OrderResponse &Answer) {
  TrackedWorker *Worker = Table.find(Key);
  if (Worker == nullptr)
    return;
  if (Answer.ClockMs)
    Table.noteClock(*Worker, Timers.now(), *Answer.ClockMs);
  auto Found = Worker->Runs.find(Task);
  if (Found == Worker->Runs.end() || Found->second.Attempt != Attempt)
    return;
  Run &Known = Found->second;
  if (Answer.Outcome == OrderOutcome::Accepted) {
    Known.AnsweredAt = Timers.now();
    if (Known.State == RunState::Starting)
      Known.State = RunState::Running;
    return;
  }
  Json Fields = taskFields(Task, Attempt);
  Fields["worker"] = Key.Id;
  Fields["why"] = mimosashunt::nameOf(Answer.Outcome);
  Hooks.LogEvent("start_not_taken", Fields);
  if (Answer.Outcome == OrderOutcome::Fenced)
    return fenced(Key);
  if (Answer.Outcome == OrderOutcome::WrongIncarnation)
    return gone(Key, "wrong_life");
  dirty(Worker->Entry.Pool);
  if (Answer.Outcome == OrderOutcome::Unanswered) {
    ++Counters.UnansweredStarts;
    if (Known.State == RunState::Starting)
      Known.State = RunState::Unsure;
    Known.Since = Timers.now();
    Table.lookAt(*Worker, Timers.now());
    return;
  }
  ++Counters.RejectedStarts;
  bool Gang = false;
  auto Job = Jobs.find(Task.Job);
  TaskSlot *Slot = Job == Jobs.end() ? nullptr : Job->second->slot(Task);
  if (Slot != nullptr) {
    Gang = Job->second->step(Task.Step).Gang;
    if (Answer.Outcome == OrderOutcome::StaleAttempt)
      Slot->LastAttempt += Options.AttemptsPerLeadership / 10;
    if (Answer.Outcome == OrderOutcome::NoTicket)
      Job->second->stepOf(Task)->Advice.ByWorker.erase(Key.Id);
    if (Answer.Outcome == OrderOutcome::Invalid)
      Slot->NotBefore = Timers.now() + seconds(1);
  }
  forgetRun(*Worker, Task);
  if (Answer.Outcome == OrderOutcome::Unhealthy)
    Health.noteRefusal(Key, Worker->Entry.Pool, poolSize(Worker->Entry.Pool),
                       Timers.now());
  if (Answer.Outcome == OrderOutcome::NoCapacity ||
      Answer.Outcome == OrderOutcome::LeaseExpired ||
      Answer.Outcome == OrderOutcome::NotSent)
    silent(*Worker, false);
  if (!Gang)
    return;
  // The others of the gang would wait for nothing.
  for (uint32_t I = 0; I < Job->second->step(Task.Step).Count; ++I) {
    TaskId Member = Task;
    Member.Index = I;
    for (const WorkerKey &At :
         std::vector<WorkerKey>(Job->second->slot(Member)->At))
      if (TrackedWorker *Holder = Table.find(At))
        stopRun(*Holder, Member);
  }
}

void Dispatcher::stopRun(TrackedWorker &Worker, const TaskId &Task) {
  auto Found = Worker.Runs.find(Task);
  if (Found == Worker.Runs.end() || Found->second.State == RunState::Stopping)
    return;
  Found->second.State = RunState::Stopping;
  sendStop(Worker, Task);
}

void Dispatcher::sendStop(TrackedWorker &Worker, const TaskId &Task) {
  Run &Known = Worker.Runs.at(Task);
  if (Known.StopUnderWay || !mayOrder())
    return;
  Known.StopUnderWay = true;
  ++Counters.StopOrders;
  Json Fields = taskFields(Task, Known.Attempt);
  Fields["worker"] = Worker.key().Id;
  Hooks.LogEvent("run_stop", Fields);
  std::shared_ptr<bool> Kept = Alive;
  Port.stopRun(Worker.Entry, {Task, Known.Attempt, Token},
               [this, Kept, Key = Worker.key(), Task,
                Attempt = Known.Attempt](const OrderResponse &Answer) {
                 if (!*Kept)
                   return;
                 TrackedWorker *Asked = Table.find(Key);
                 if (Asked == nullptr)
                   return;
                 if (Answer.Outcome == OrderOutcome::Fenced)
                   return fenced(Key);
                 if (Answer.Outcome == OrderOutcome::WrongIncarnation)
                   return gone(Key, "wrong_life");
                 auto Found = Asked->Runs.find(Task);
                 if (Found == Asked->Runs.end() ||
                     Found->second.Attempt != Attempt)
                   return;
                 Found->second.StopUnderWay = false;
                 if (Answer.Outcome == OrderOutcome::Accepted ||
                     Answer.Outcome == OrderOutcome::StaleAttempt) {
                   Found->second.StopAnsweredAt = Timers.now();
                   Table.lookAt(*Asked, Timers.now());
                 }
               });
}

void Dispatcher::forgetRun(TrackedWorker &Worker, const TaskId &Task) {
  auto Job = Jobs.find(Task.Job);
  if (Job != Jobs.end() && Job->second->slot(Task) != nullptr) {
    Job->second->unplace(Task, Worker.key());
    dirty(Job->second->Pool);
  }
  Table.release(Worker, Task);
  dirty(Worker.Entry.Pool);
}

void Dispatcher::stopAll(JobProgress &Job) {
  for (uint32_t K = 0; K < Job.Occurrences.size(); ++K)
    for (uint32_t S = 0; S < Job.Occurrences[K].Steps.size(); ++S) {
      std::vector<TaskSlot> &Tasks = Job.Occurrences[K].Steps[S].Tasks;
      for (uint32_t I = 0; I < Tasks.size(); ++I)
        for (const WorkerKey &At : std::vector<WorkerKey>(Tasks[I].At))
          if (TrackedWorker *Worker = Table.find(At))
            stopRun(*Worker, {Job.id(), K, S, I});
    }
}

void Dispatcher::checkStandstill(TrackedWorker &Worker) {
  for (const TaskId &Task :
       standingStill(Worker, Timers.now(), Options.StandstillLimit)) {
    auto Job = Jobs.find(Task.Job);
    if (Job == Jobs.end() || Job->second->Ended)
      continue;
    ++Counters.StalledRuns;
    const Run &Known = Worker.Runs.at(Task);
    Json Fields = taskFields(Task, Known.Attempt);
    Fields["worker"] = Worker.key().Id;
    Fields["percent"] = Known.Percent;
    Hooks.LogEvent("run_stands_still", Fields);
    if (TaskSlot *Slot = Job->second->slot(Task))
      Slot->Avoid.insert(Worker.key().Id);
    Health.noteStrike(Worker.key(), Worker.Entry.Pool, Task.Job, false,
                      poolSize(Worker.Entry.Pool), Timers.now());
    stopRun(Worker, Task);
  }
}

void Dispatcher::pace(TrackedWorker &Worker) {
  if (!mayOrder())
    return;
  for (const PaceChange &Change :
       paceChanges(Worker, Timers.now(), Options.Pacing)) {
    Run &Known = Worker.Runs.at(Change.Task);
    Known.Pace = Change.Percent;
    Known.PacedAt = Timers.now();
    Json Fields = taskFields(Change.Task, Change.Attempt);
    Fields["worker"] = Worker.key().Id;
    Fields["percent"] = Change.Percent;
    Fields["tail_part"] = worstTail(Worker);
    Hooks.LogEvent("run_paced", Fields);
    Port.setPace(Worker.Entry,
                 {Change.Task, Change.Attempt, Change.Percent, Token},
                 [](const OrderResponse &) {});
  }
}

} // namespace mimosashunt
