// The part of the scheduler that keeps in touch with workers: looks at their
// lists, starts and stops runs, and takes in how they end.

#include "Scheduling/Dispatcher.h"
#include "Scheduling/Standstill.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

Json taskFields(const TaskName &Task, uint32_t Attempt) {
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
  case EndKind::Lapsed:
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

void Dispatcher::turn() {
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
  for (LiveWorker *Worker : Table.takeDue(Timers.now()))
    if (!Worker->LookUnderWay)
      look(*Worker);
}

void Dispatcher::look(LiveWorker &Worker) {
  LookOrder Order;
  Order.Token = Token;
  Order.Noted = Worker.Noted;
  // A worker that does not answer gets no new lease: what it runs must end
  // some time, so that it can be started elsewhere.
  if (Worker.Synced && Worker.InTouch && Worker.SilentLooks == 0) {
    Order.UntilMs = Table.grant(Worker, Timers.now());
    Duration Wait = Worker.Runs.empty() ? Options.IdleLook : Options.BusyLook;
    Order.WaitMs = toMillis(Wait);
  }
  Worker.LookUnderWay = true;
  Worker.LookSentAt = Timers.now();
  ++Counters.Looks;
  std::shared_ptr<bool> Kept = Alive;
  Port.look(Worker.Entry, Order,
            [this, Kept, Key = Worker.key(),
             SentAt = Timers.now()](const LookAnswer &Answer) {
              if (*Kept)
                looked(Key, SentAt, Answer);
            });
}

void Dispatcher::looked(const WorkerKey &Key, Instant SentAt,
                        const LookAnswer &Answer) {
  LiveWorker *Worker = Table.find(Key);
  if (Worker == nullptr)
    return;
  Worker->LookUnderWay = false;
  switch (Answer.Outcome) {
  case OrderOutcome::Taken:
    break;
  case OrderOutcome::Fenced:
    return fenced(Key);
  case OrderOutcome::WrongLife:
    return gone(Key, "wrong_life");
  default:
    return silent(*Worker, Answer.Outcome == OrderOutcome::Lost);
  }
  Worker->LastAnswer = Timers.now();
  Worker->SilentLooks = 0;
  if (!Worker->InTouch)
    Hooks.Note("worker_in_touch", {{"worker", Key.Id}});
  Worker->InTouch = true;
  if (Answer.ClockMs)
    Table.noteClock(*Worker, Timers.now(), *Answer.ClockMs);
  for (const FinishedRun &End : Answer.Finished)
    takeEnd(*Worker, End);
  for (const RunningTask &Row : Answer.Running)
    takeRunning(*Worker, Row, SentAt);
  dropVanished(*Worker, Answer, SentAt);
  if (!Worker->Synced)
    synced(*Worker);
  checkStandstill(*Worker);
  pace(*Worker);
  dirty(Worker->Entry.Pool);
  lookLater(*Worker, lookPause());
}

void Dispatcher::synced(LiveWorker &Worker) {
  Worker.Synced = true;
  auto Found = Unknown.find(Worker.Entry.Pool);
  if (Found != Unknown.end())
    Found->second.erase(Worker.key());
  Hooks.Note("worker_synced", {{"worker", Worker.key().Id},
                               {"pool", Worker.Entry.Pool},
                               {"runs", Worker.Runs.size()}});
}

void Dispatcher::takeRunning(LiveWorker &Worker, const RunningTask &Row,
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
  if (Row.Percent != Known.Percent) {
    Known.Percent = Row.Percent;
    Known.PercentAt = Timers.now();
  }
  Known.Gauge = Row.Gauge;
  if (Row.Saved.empty())
    return;
  Known.Saved = Row.Saved;
  auto Job = Jobs.find(Row.Task.Job);
  if (Job != Jobs.end())
    if (TaskSlot *Slot = Job->second->slot(Row.Task))
      Slot->Saved = Row.Saved;
}

void Dispatcher::adoptRun(LiveWorker &Worker, const RunningTask &Row) {
  const JobRecord *Record = Store.job(Row.Task.Job);
  Run Found;
  Found.Attempt = Row.Attempt;
  Found.State = RunState::Running;
  Found.Since = Found.AnsweredAt = Found.PercentAt = Timers.now();
  Found.Percent = Row.Percent;
  Found.Gauge = Row.Gauge;
  Found.Saved = Row.Saved;
  bool Fits = Record != nullptr &&
              Row.Task.Step < Record->Job.Spec.Steps.size() &&
              Row.Task.Index < Record->Job.Spec.Steps[Row.Task.Step].Count &&
              Row.Task.Occurrence < Record->Job.Spec.Times.occurrences();
  if (Fits) {
    const StepSpec &Spec = Record->Job.Spec.Steps[Row.Task.Step];
    Found.Room = Spec.room();
    Found.Quota = Spec.Each;
    Found.Organisation = Record->Job.Organisation;
    Found.Fills = Spec.Fills;
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
    LiveWorker *Other = Table.find(Slot->At.front());
    if (Other != nullptr && Other->Runs.count(Row.Task) &&
        Other->Runs[Row.Task].Attempt < Row.Attempt)
      stopRun(*Other, Row.Task);
    else
      Wanted = false;
  }
  Hooks.Note("run_found", {{"job", Row.Task.Job},
                           {"worker", Worker.key().Id},
                           {"attempt", Row.Attempt},
                           {"wanted", Wanted}});
  if (Slot != nullptr) {
    Job->second->place(Row.Task, Worker.key(), Row.Attempt);
    if (!Row.Saved.empty())
      Slot->Saved = Row.Saved;
  }
  if (!Wanted)
    stopRun(Worker, Row.Task);
}

void Dispatcher::dropVanished(LiveWorker &Worker, const LookAnswer &Answer,
                              Instant SentAt) {
  std::set<TaskName> Listed;
  for (const RunningTask &Row : Answer.Running)
    Listed.insert(Row.Task);
  std::vector<TaskName> Vanished;
  std::vector<TaskName> Unsure;
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
  for (const TaskName &Task : Vanished)
    forgetRun(Worker, Task);
  // An order that was lost may still be on its way; a stop of the attempt
  // makes sure that it cannot begin any more.
  for (const TaskName &Task : Unsure)
    stopRun(Worker, Task);
}

void Dispatcher::takeEnd(LiveWorker &Worker, const FinishedRun &End) {
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
  Fields["how"] = nameOf(End.How);
  Fields["ms"] = toMillis(Timers.now() - OrderedAt);
  Hooks.Note("run_ended", Fields);
  if (End.How == EndKind::Done)
    ++Counters.EndsDone;
  else if (End.How == EndKind::Failed)
    ++Counters.EndsFailed;
  else
    ++Counters.EndsOther;
  auto Found = Jobs.find(End.Task.Job);
  JobProgress *Job = Found == Jobs.end() ? nullptr : Found->second.get();
  TaskSlot *Slot = Job == nullptr ? nullptr : Job->slot(End.Task);
  if (Slot == nullptr)
    return;
  const StepSpec &Spec = Job->step(End.Task.Step);
  Slot->LastAttempt = std::max(Slot->LastAttempt, End.Attempt);
  if (!End.Saved.empty())
    Slot->Saved = End.Saved;
  if (End.How == EndKind::Done && !Spec.LongRunning) {
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
          TaskName Member = End.Task;
          Member.Index = I;
          TaskSlot *Other = Job->slot(Member);
          if (!Other->Done)
            continue;
          for (const WorkerKey &At : std::vector<WorkerKey>(Other->At))
            if (LiveWorker *Holder = Table.find(At))
              if (!Spec.Gang)
                stopRun(*Holder, Member);
        }
    }
  } else if (End.How == EndKind::Failed && !Spec.LongRunning && !Job->Ended) {
    bool Elsewhere =
        !Slot->Avoid.empty() && !Slot->Avoid.count(Worker.key().Id);
    Slot->Avoid.insert(Worker.key().Id);
    Health.noteStrike(Worker.key(), Worker.Entry.Pool, End.Task.Job, Elsewhere,
                      poolSize(Worker.Entry.Pool), Timers.now());
    noteEnd({End.Task, End.Attempt, false});
    if (Job->noteFailed(End.Task, End.Attempt) >= Job->MaxAttempts) {
      Hooks.Note("job_failed", taskFields(End.Task, End.Attempt));
      Job->Ended = true;
      stopAll(*Job);
    }
  } else if (Spec.LongRunning) {
    Slot->EndedAt = Timers.now();
    if (End.How == EndKind::Failed &&
        Timers.now() - OrderedAt < milliseconds(1500)) {
      Slot->Avoid = {Worker.key().Id};
      Health.noteStrike(Worker.key(), Worker.Entry.Pool, End.Task.Job, false,
                        poolSize(Worker.Entry.Pool), Timers.now());
    }
  }
  dirty(Job->Pool);
  dropIfDone(End.Task.Job);
}

void Dispatcher::silent(LiveWorker &Worker, bool Lost) {
  // One answer may be lost on its way; the look is repeated at once.
  if (Lost && Worker.InTouch && Worker.SilentLooks == 0) {
    ++Worker.SilentLooks;
    Table.lookAt(Worker, Timers.now());
    return;
  }
  if (Worker.InTouch)
    Hooks.Note("worker_silent", {{"worker", Worker.key().Id},
                                 {"lost", Lost},
                                 {"runs", Worker.Runs.size()}});
  Worker.InTouch = false;
  ++Worker.SilentLooks;
  lookLater(Worker, Options.SilentLook);
}

Duration Dispatcher::lookPause() const {
  auto Workers = static_cast<int64_t>(Table.all().size());
  return std::clamp(Options.LookPausePerWorker * Workers,
                    Options.LeastLookPause, Options.MostLookPause);
}

void Dispatcher::lookLater(LiveWorker &Worker, Duration Pause) {
  Table.lookAt(Worker, Timers.now() + Pause);
  Timers.at(Worker.LookAt, [] {}); // Wakes the loop for that turn.
}

void Dispatcher::lapse(LiveWorker &Worker) {
  auto Found = Unknown.find(Worker.Entry.Pool);
  if (Found != Unknown.end() && Found->second.erase(Worker.key()))
    dirty(Worker.Entry.Pool);
  if (Worker.Runs.empty())
    return;
  Hooks.Note("worker_lapsed",
             {{"worker", Worker.key().Id}, {"runs", Worker.Runs.size()}});
  Counters.Lapsed += Worker.Runs.size();
  // Its lists are read anew before it gets work again.
  Worker.Synced = false;
  while (!Worker.Runs.empty())
    forgetRun(Worker, Worker.Runs.begin()->first);
}

void Dispatcher::gone(const WorkerKey &Key, const char *Why) {
  LiveWorker *Worker = Table.find(Key);
  if (Worker == nullptr)
    return;
  Hooks.Note("worker_gone",
             {{"worker", Key.Id}, {"why", Why}, {"runs", Worker->Runs.size()}});
  while (!Worker->Runs.empty())
    forgetRun(*Worker, Worker->Runs.begin()->first);
  for (auto &[Pool, Keys] : Unknown)
    Keys.erase(Key);
  dirty(Worker->Entry.Pool);
  Health.forget(Key);
  bool Agreed = Worker->Agreed;
  Table.erase(Key);
  if (!Agreed)
    return;
  NoteWorkers Command;
  Command.Gone.push_back(Key);
  Hooks.Propose(Command, [](bool) {});
}

void Dispatcher::fenced(const WorkerKey &Key) {
  if (std::exchange(IsDeposed, true))
    return;
  Hooks.Note("deposed", {{"worker", Key.Id}, {"token", Token}});
  Hooks.Deposed();
}

// Runs.

void Dispatcher::startRun(JobProgress &Job, const TaskName &Task,
                          LiveWorker &Worker, uint32_t Attempt) {
  const StepSpec &Spec = Job.step(Task.Step);
  StepProgress &Step = *Job.stepOf(Task);
  TaskSlot &Slot = Step.Tasks[Task.Index];
  StartOrder Order{Task, Attempt, Job.spec().Payload, 0, Token, {}, {}};
  std::optional<int64_t> Until = Table.grant(Worker, Timers.now());
  if (!Until)
    return;
  Order.UntilMs = *Until;
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
  Booked.Room = Spec.room();
  Booked.Quota = Spec.Each;
  Booked.Organisation = Job.job().Organisation;
  Booked.Since = Booked.PercentAt = Timers.now();
  Booked.Fills = Spec.Fills;
  Booked.LongRunning = Spec.LongRunning;
  Booked.TailTargetMs = Spec.TailTargetMs;
  Table.book(Worker, Task, std::move(Booked));
  Job.place(Task, Worker.key(), Attempt);
  ++Counters.Starts;
  Json Fields = taskFields(Task, Attempt);
  Fields["worker"] = Worker.key().Id;
  Fields["free_cpu"] = Worker.freeRoom().Cpu;
  Fields["left_ms"] = toMillis(Job.Objective - Timers.now());
  Hooks.Note("run_start", Fields);
  std::shared_ptr<bool> Kept = Alive;
  Port.start(Worker.Entry, Order,
             [this, Kept, Key = Worker.key(), Task,
              Attempt](const OrderAnswer &Answer) {
               if (*Kept)
                 started(Key, Task, Attempt, Answer);
             });
}

void Dispatcher::started(const WorkerKey &Key, const TaskName &Task,
                         uint32_t Attempt, const OrderAnswer &Answer) {
  LiveWorker *Worker = Table.find(Key);
  if (Worker == nullptr)
    return;
  if (Answer.ClockMs)
    Table.noteClock(*Worker, Timers.now(), *Answer.ClockMs);
  auto Found = Worker->Runs.find(Task);
  if (Found == Worker->Runs.end() || Found->second.Attempt != Attempt)
    return;
  Run &Known = Found->second;
  if (Answer.Outcome == OrderOutcome::Taken) {
    Known.AnsweredAt = Timers.now();
    if (Known.State == RunState::Starting)
      Known.State = RunState::Running;
    return;
  }
  Json Fields = taskFields(Task, Attempt);
  Fields["worker"] = Key.Id;
  Fields["why"] = mimosashunt::nameOf(Answer.Outcome);
  Hooks.Note("start_not_taken", Fields);
  if (Answer.Outcome == OrderOutcome::Fenced)
    return fenced(Key);
  if (Answer.Outcome == OrderOutcome::WrongLife)
    return gone(Key, "wrong_life");
  dirty(Worker->Entry.Pool);
  if (Answer.Outcome == OrderOutcome::Lost) {
    ++Counters.StartsLost;
    if (Known.State == RunState::Starting)
      Known.State = RunState::Unsure;
    Known.Since = Timers.now();
    Table.lookAt(*Worker, Timers.now());
    return;
  }
  ++Counters.StartsRefused;
  bool Gang = false;
  auto Job = Jobs.find(Task.Job);
  TaskSlot *Slot = Job == Jobs.end() ? nullptr : Job->second->slot(Task);
  if (Slot != nullptr) {
    Gang = Job->second->step(Task.Step).Gang;
    if (Answer.Outcome == OrderOutcome::Outdated)
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
  if (Answer.Outcome == OrderOutcome::NoRoom ||
      Answer.Outcome == OrderOutcome::Late ||
      Answer.Outcome == OrderOutcome::NotSent)
    silent(*Worker, false);
  if (!Gang)
    return;
  // The others of the gang would wait for nothing.
  for (uint32_t I = 0; I < Job->second->step(Task.Step).Count; ++I) {
    TaskName Member = Task;
    Member.Index = I;
    for (const WorkerKey &At :
         std::vector<WorkerKey>(Job->second->slot(Member)->At))
      if (LiveWorker *Holder = Table.find(At))
        stopRun(*Holder, Member);
  }
}

void Dispatcher::stopRun(LiveWorker &Worker, const TaskName &Task) {
  auto Found = Worker.Runs.find(Task);
  if (Found == Worker.Runs.end() || Found->second.State == RunState::Stopping)
    return;
  Found->second.State = RunState::Stopping;
  sendStop(Worker, Task);
}

void Dispatcher::sendStop(LiveWorker &Worker, const TaskName &Task) {
  Run &Known = Worker.Runs.at(Task);
  if (Known.StopUnderWay || !mayOrder())
    return;
  Known.StopUnderWay = true;
  ++Counters.Stops;
  Json Fields = taskFields(Task, Known.Attempt);
  Fields["worker"] = Worker.key().Id;
  Hooks.Note("run_stop", Fields);
  std::shared_ptr<bool> Kept = Alive;
  Port.stop(Worker.Entry, {Task, Known.Attempt, Token},
            [this, Kept, Key = Worker.key(), Task,
             Attempt = Known.Attempt](const OrderAnswer &Answer) {
              if (!*Kept)
                return;
              LiveWorker *Asked = Table.find(Key);
              if (Asked == nullptr)
                return;
              if (Answer.Outcome == OrderOutcome::Fenced)
                return fenced(Key);
              if (Answer.Outcome == OrderOutcome::WrongLife)
                return gone(Key, "wrong_life");
              auto Found = Asked->Runs.find(Task);
              if (Found == Asked->Runs.end() ||
                  Found->second.Attempt != Attempt)
                return;
              Found->second.StopUnderWay = false;
              if (Answer.Outcome == OrderOutcome::Taken ||
                  Answer.Outcome == OrderOutcome::Outdated) {
                Found->second.StopAnsweredAt = Timers.now();
                Table.lookAt(*Asked, Timers.now());
              }
            });
}

void Dispatcher::forgetRun(LiveWorker &Worker, const TaskName &Task) {
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
          if (LiveWorker *Worker = Table.find(At))
            stopRun(*Worker, {Job.id(), K, S, I});
    }
}

void Dispatcher::checkStandstill(LiveWorker &Worker) {
  for (const TaskName &Task :
       standingStill(Worker, Timers.now(), Options.StandstillLimit)) {
    auto Job = Jobs.find(Task.Job);
    if (Job == Jobs.end() || Job->second->Ended)
      continue;
    ++Counters.Standstills;
    const Run &Known = Worker.Runs.at(Task);
    Json Fields = taskFields(Task, Known.Attempt);
    Fields["worker"] = Worker.key().Id;
    Fields["percent"] = Known.Percent;
    Hooks.Note("run_stands_still", Fields);
    if (TaskSlot *Slot = Job->second->slot(Task))
      Slot->Avoid.insert(Worker.key().Id);
    Health.noteStrike(Worker.key(), Worker.Entry.Pool, Task.Job, false,
                      poolSize(Worker.Entry.Pool), Timers.now());
    stopRun(Worker, Task);
  }
}

void Dispatcher::pace(LiveWorker &Worker) {
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
    Hooks.Note("run_paced", Fields);
    Port.pace(Worker.Entry,
              {Change.Task, Change.Attempt, Change.Percent, Token},
              [](const OrderAnswer &) {});
  }
}

} // namespace mimosashunt
