#include "Scheduling/Dispatcher.h"

#include "Scheduling/Standstill.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration TickPeriod = milliseconds(100);

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

Dispatcher::Dispatcher(uint64_t Token, const JobStore &Store,
                       const ServiceConfiguration &Configuration,
                       WorkerPort &Port, TimerService &Timers,
                       DispatcherOptions Options, DispatcherHooks Hooks)
    : Token(Token), Store(Store), Configuration(Configuration), Port(Port),
      Timers(Timers), Options(Options), Hooks(std::move(Hooks)),
      FirstAttempt(static_cast<uint32_t>(Token - 1) *
                   Options.AttemptsPerLeadership),
      Began(Timers.now()), Table(Options.Lease), Health(Options.Health),
      Alive(std::make_shared<bool>(true)) {
  adoptStore();
  TickTimer = Timers.every(TickPeriod, [this] { onTick(); });
}

Dispatcher::~Dispatcher() {
  *Alive = false;
  Timers.cancel(TickTimer);
  Timers.cancel(FlushTimer);
}

void Dispatcher::adoptStore() {
  for (const auto &[Key, Entry] : Store.workers()) {
    LiveWorker &Worker = Table.add(Entry, Timers.now());
    Worker.Agreed = true;
    Worker.LeaseEnds = Began + Table.longestLease();
    Worker.LastHeartbeat = Began;
    Unknown[Entry.Pool].insert(Key);
  }
  for (const auto &[Id, Record] : Store.jobs())
    if (!Record.ended())
      addJob(Record, /*Inherited=*/true);
}

void Dispatcher::addJob(const JobRecord &Record, bool Inherited) {
  const QueueConfiguration *Queue = Configuration.queue(Record.Job.Queue);
  QueueConfiguration Removed;
  if (Queue == nullptr)
    Queue = &Removed; // Its route has gone; the job has no pool to run in.
  Duration Age =
      milliseconds(std::max<int64_t>(0, Hooks.WallNow() - Record.Job.At));
  Instant AcceptedAt = Inherited ? Timers.now() - Age : Timers.now();
  auto Job =
      std::make_unique<JobProgress>(Record, *Queue, FirstAttempt, AcceptedAt);
  Job->Inherited = Inherited;
  double Work = static_cast<double>(Record.Job.Spec.workCoreMs());
  constexpr double NewShare = 0.05;
  MeanWork = MeanWork == 0 ? Work : MeanWork + NewShare * (Work - MeanWork);
  dirty(Job->Pool);
  Jobs[Record.Job.Job] = std::move(Job);
}

void Dispatcher::accepted(const JobId &Job) {
  const JobRecord *Record = Store.job(Job);
  if (Record != nullptr && !Record->ended() && !Jobs.count(Job))
    addJob(*Record, /*Inherited=*/false);
}

void Dispatcher::cancelled(const JobId &Job) {
  auto Found = Jobs.find(Job);
  if (Found == Jobs.end())
    return;
  Found->second->Ended = true;
  stopAll(*Found->second);
  dropIfDone(Job);
}

void Dispatcher::configurationChanged() {
  for (auto &[Id, Job] : Jobs) {
    const QueueConfiguration *Queue = Configuration.queue(Job->job().Queue);
    Job->Pool = Queue == nullptr ? std::string() : Queue->Pool;
    if (Queue != nullptr)
      Job->Priority = Queue->Priority;
    dirty(Job->Pool);
  }
}

bool Dispatcher::reconciled(const std::string &Pool) const {
  if (Timers.now() >= Began + Table.longestLease())
    return true;
  auto Found = Unknown.find(Pool);
  return Found == Unknown.end() || Found->second.empty();
}

// Reports.

void Dispatcher::report(const WorkerReport &Report,
                        std::function<void(bool)> Acknowledge) {
  const WorkerKey &Key = Report.Entry.Key;
  LiveWorker *Newest = Table.latest(Key.Id);
  LiveWorker *Holder = Table.byAddress(Report.Entry.Address);
  bool Superseded = (Newest != nullptr && Newest->key().Born > Key.Born) ||
                    (Holder != nullptr && Holder->key().Born > Key.Born);
  if (Superseded)
    return Acknowledge(true);
  LiveWorker *Known = Table.find(Key);
  if (Known != nullptr && Report.Sequence <= Known->LastSequence)
    return Acknowledge(true);
  NoteWorkers Command;
  if (Known == nullptr) {
    // Another life under this id, or at this address, has ended.
    std::vector<WorkerKey> Ended;
    for (const auto &[Other, Worker] : Table.all())
      if (Other.Id == Key.Id || Worker.Entry.Address == Report.Entry.Address)
        Ended.push_back(Other);
    for (const WorkerKey &Other : Ended) {
      gone(Other, "superseded");
      Command.Gone.push_back(Other);
    }
    Known = &Table.add(Report.Entry, Timers.now());
  }
  bool Changed = !Known->Agreed || Known->Entry != Report.Entry;
  bool WasLeaving = Known->Entry.Leaving;
  Known->Entry = Report.Entry;
  Known->Entry.Leaving |= WasLeaving;
  Known->LastSequence = Report.Sequence;
  Known->LastHeartbeat = Timers.now();
  Table.noteClock(*Known, Timers.now(), Report.ClockMs);
  if (!Changed)
    return Acknowledge(true);
  if (Known->Entry.Leaving != WasLeaving)
    Hooks.Note("worker_leaving", {{"worker", Key.Id}});
  Command.Workers.push_back(Known->Entry);
  std::shared_ptr<bool> Kept = Alive;
  Hooks.Propose(Command, [this, Kept, Key, Acknowledge](bool Committed) {
    Acknowledge(Committed);
    if (!*Kept || !Committed)
      return;
    if (LiveWorker *Worker = Table.find(Key)) {
      Worker->Agreed = true;
      dirty(Worker->Entry.Pool);
    }
  });
}

void Dispatcher::deregister(const std::string &Id) {
  LiveWorker *Worker = Table.latest(Id);
  if (Worker == nullptr)
    return;
  Worker->Entry.Leaving = true;
  Worker->LookAt = Timers.now();
}

// Looks.

void Dispatcher::turn() {
  if (!mayOrder())
    return;
  lookAtDue();
  // Scheduling may make other pools dirty, but only for the next turn.
  for (const std::string &Pool : std::exchange(DirtyPools, {}))
    schedule(Pool);
}

void Dispatcher::lookAtDue() {
  for (auto &[Key, Worker] : Table.all())
    if (!Worker.LookUnderWay && Worker.LookAt <= Timers.now())
      look(Worker);
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
  Worker->LookAt = Timers.now() + Options.LookPause;
  Timers.at(Worker->LookAt, [] {}); // Wakes the loop for the next turn.
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
    Worker.LookAt = Timers.now();
    return;
  }
  if (Worker.InTouch)
    Hooks.Note("worker_silent", {{"worker", Worker.key().Id},
                                 {"lost", Lost},
                                 {"runs", Worker.Runs.size()}});
  Worker.InTouch = false;
  ++Worker.SilentLooks;
  Worker.LookAt = Timers.now() + Options.SilentLook;
  Timers.at(Worker.LookAt, [] {});
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
    Worker->LookAt = std::min(Worker->LookAt, Timers.now());
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
                Asked->LookAt = std::min(Asked->LookAt, Timers.now());
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

// Ends.

void Dispatcher::noteEnd(const RunEnd &End) { PendingEnds.push_back(End); }

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
      if (LiveWorker *Worker = Table.find(Key))
        Worker->Noted = std::max(Worker->Noted, Number);
    for (auto It = Jobs.begin(); It != Jobs.end();)
      dropIfDone((It++)->first);
  };
  if (PendingEnds.empty())
    return Settle(true);
  FlushUnderWay = true;
  Hooks.Propose(NoteEnds{std::exchange(PendingEnds, {})}, Settle);
}

void Dispatcher::dropIfDone(const JobId &Job) {
  auto Found = Jobs.find(Job);
  if (Found == Jobs.end() || !Found->second->Ended)
    return;
  const JobRecord *Record = Store.job(Job);
  if (Record == nullptr || !Record->ended())
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
    if (!Worker.InTouch && Now >= Worker.LeaseEnds)
      lapse(Worker);
    Instant Heard = std::max(Worker.LastAnswer, Worker.LastHeartbeat);
    if (!Worker.InTouch && Now - Heard > Options.ForgetAfter &&
        Now - Began > Options.ForgetAfter)
      Forgotten.push_back(Key);
    for (auto &[Task, Known] : Worker.Runs)
      if (Known.State == RunState::Stopping && !Known.StopUnderWay &&
          Worker.InTouch &&
          (!Known.StopAnsweredAt ||
           Now - *Known.StopAnsweredAt > 4 * Options.StopRetry))
        sendStop(Worker, Task);
    if (!Worker.Cordoned && Worker.Entry.Leaving && Worker.InTouch)
      evacuate(Worker.Entry.Vm);
  }
  for (const WorkerKey &Key : Forgotten)
    gone(Key, "forgotten");
  // Due times, waiting objectives and advice move on with the time.
  for (const auto &[Id, Job] : Jobs)
    if (!Job->Ended)
      dirty(Job->Pool);
  flushEnds();
}

// Scheduling.

size_t Dispatcher::poolSize(const std::string &Pool) const {
  size_t Count = 0;
  for (const auto &[Key, Worker] : Table.all())
    Count += Worker.Entry.Pool == Pool ? 1 : 0;
  return Count;
}

double Dispatcher::estimateFactor(const JobProgress &Job) const {
  auto Found = EstimateFactors.find(Job.job().Queue);
  return Found == EstimateFactors.end() ? 1.0 : Found->second;
}

std::vector<JobRank> Dispatcher::rank(const std::string &Pool,
                                      std::vector<JobProgress *> &List) const {
  std::vector<JobRank> Ranks;
  for (const auto &[Id, Job] : Jobs) {
    if (Job->Ended || Job->Pool != Pool)
      continue;
    JobRank Rank;
    Rank.Index = List.size();
    List.push_back(Job.get());
    Rank.Priority = Job->Priority;
    Rank.LongRunning = Job->longRunning();
    Rank.Begun = Job->Begun;
    Rank.AcceptedAt = Job->AcceptedAt;
    Rank.Objective = Job->Objective;
    double Factor = estimateFactor(*Job);
    Rank.ChainMs = Job->remainingChainMs(Factor);
    Rank.RemainingWork = Job->remainingWork(Factor);
    Rank.TotalWork = static_cast<double>(Job->spec().workCoreMs()) * Factor;
    const OrganisationConfiguration *Owner =
        Configuration.organisation(Job->job().Organisation);
    Rank.OrganisationWeight =
        Owner == nullptr ? 1 : std::max(Owner->Weight, 1e-3);
    Rank.OrganisationLoad =
        static_cast<double>(Table.usedBy(Job->job().Organisation).Cpu) /
        Rank.OrganisationWeight;
    Ranks.push_back(Rank);
  }
  return Ranks;
}

void Dispatcher::schedule(const std::string &Pool) {
  if (Pool.empty())
    return;
  std::vector<Candidate> Candidates =
      candidatesOf(Table, Pool, Health, Timers.now());
  if (Candidates.empty())
    return;
  std::vector<JobProgress *> List;
  std::vector<JobRank> Ranks = rank(Pool, List);
  orderJobs(Options.Order, Timers.now(), MeanWork, Ranks);
  for (const JobRank &Rank : Ranks)
    scheduleJob(*List[Rank.Index], Candidates);
}

void Dispatcher::scheduleJob(JobProgress &Job,
                             std::vector<Candidate> &Candidates) {
  WallMillis Now = Hooks.WallNow();
  for (uint32_t K = 0; K < Job.Occurrences.size(); ++K) {
    if (Job.spec().Times.dueAt(K) > Now)
      continue;
    for (uint32_t S = 0; S < Job.Occurrences[K].Steps.size(); ++S) {
      const StepProgress &Step = Job.Occurrences[K].Steps[S];
      bool MayCopy = Job.step(S).Speculative && !Step.done();
      if ((Step.allPlaced() && !MayCopy) || !Job.ready(K, S))
        continue;
      bool MayBeElsewhere =
          Job.Inherited && !reconciled(Job.Pool) && !Job.step(S).Speculative;
      if (MayBeElsewhere)
        continue;
      if (Job.step(S).Gang)
        scheduleGang(Job, K, S, Candidates);
      else
        scheduleStep(Job, K, S, Candidates);
    }
  }
}

Resources Dispatcher::unlocated(const std::string &Organisation) const {
  Resources Sum;
  for (const auto &[Id, Job] : Jobs) {
    if (!Job->Inherited || Job->Ended ||
        Job->job().Organisation != Organisation || reconciled(Job->Pool))
      continue;
    for (uint32_t K = 0; K < Job->Occurrences.size(); ++K)
      for (uint32_t S = 0; S < Job->Occurrences[K].Steps.size(); ++S) {
        const StepProgress &Step = Job->Occurrences[K].Steps[S];
        if (Job->ready(K, S))
          Sum += Job->step(S).Each *
                 static_cast<int64_t>(Step.Tasks.size() - Step.DoneCount -
                                      Step.Placed);
      }
  }
  return Sum;
}

bool Dispatcher::withinQuota(const JobProgress &Job,
                             const Resources &Extra) const {
  const OrganisationConfiguration *Owner =
      Configuration.organisation(Job.job().Organisation);
  if (Owner == nullptr || Owner->Maximum == Resources{})
    return true;
  Resources Used = Table.usedBy(Owner->Name);
  Used += unlocated(Owner->Name);
  Used += Extra;
  const Resources &Most = Owner->Maximum;
  return (Most.Cpu == 0 || Used.Cpu <= Most.Cpu) &&
         (Most.MemoryMb == 0 || Used.MemoryMb <= Most.MemoryMb) &&
         (Most.Accelerators == 0 || Used.Accelerators <= Most.Accelerators);
}

bool Dispatcher::allSilent(const TaskSlot &Slot) const {
  return std::none_of(Slot.At.begin(), Slot.At.end(),
                      [this](const WorkerKey &Key) {
                        const LiveWorker *Worker = Table.find(Key);
                        return Worker != nullptr && Worker->InTouch;
                      });
}

void Dispatcher::scheduleStep(JobProgress &Job, uint32_t Occurrence,
                              uint32_t Step,
                              std::vector<Candidate> &Candidates) {
  const StepSpec &Spec = Job.step(Step);
  const QueueConfiguration *Queue = Configuration.queue(Job.job().Queue);
  bool Advised = Queue != nullptr && Queue->Advice.has_value();
  StepProgress &Progress = Job.Occurrences[Occurrence].Steps[Step];
  for (uint32_t I = 0; I < Spec.Count; ++I) {
    TaskSlot &Slot = Progress.Tasks[I];
    if (Slot.Done || Slot.NotBefore > Timers.now())
      continue;
    // A copy beside a run on a worker that does not answer, where copies may
    // run, saves the wait for its lease.
    if (!Slot.At.empty() && !(Spec.Speculative && allSilent(Slot)))
      continue;
    if (!withinQuota(Job, Spec.Each))
      return;
    Candidate *Found =
        place(Candidates, {&Spec, &Progress, &Slot, Advised, Timers.now()});
    if (Found == nullptr) {
      if (Advised)
        askAdvice(Job, Occurrence, Step, Candidates);
      return;
    }
    TaskName Task{Job.id(), Occurrence, Step, I};
    startRun(Job, Task, *Found->Worker, Job.nextAttempt(Task));
  }
}

void Dispatcher::scheduleGang(JobProgress &Job, uint32_t Occurrence,
                              uint32_t Step,
                              std::vector<Candidate> &Candidates) {
  const StepSpec &Spec = Job.step(Step);
  StepProgress &Progress = Job.Occurrences[Occurrence].Steps[Step];
  // A gang starts whole, once nothing of an earlier attempt is left.
  if (!Progress.PerWorker.empty() || Progress.DoneCount > 0 ||
      !withinQuota(Job, Spec.Each * Spec.Count))
    return;
  const QueueConfiguration *Queue = Configuration.queue(Job.job().Queue);
  bool Advised = Queue != nullptr && Queue->Advice.has_value();
  auto Places = placeGang(
      Candidates,
      {&Spec, &Progress, &Progress.Tasks.front(), Advised, Timers.now()},
      Spec.Count);
  if (!Places) {
    if (Advised)
      askAdvice(Job, Occurrence, Step, Candidates);
    return;
  }
  uint32_t Attempt = Job.nextAttempt({Job.id(), Occurrence, Step, 0});
  for (uint32_t I = 0; I < Spec.Count; ++I)
    startRun(Job, {Job.id(), Occurrence, Step, I}, *(*Places)[I]->Worker,
             Attempt);
}

void Dispatcher::askAdvice(JobProgress &Job, uint32_t Occurrence, uint32_t Step,
                           const std::vector<Candidate> &Candidates) {
  StepProgress &Progress = Job.Occurrences[Occurrence].Steps[Step];
  if (Progress.Advice.UnderWay)
    return;
  constexpr size_t MostAsked = 12;
  std::vector<std::string> Asked;
  for (const Candidate &Option : Candidates) {
    auto Known = Progress.Advice.ByWorker.find(Option.Worker->key().Id);
    bool Refused =
        Known != Progress.Advice.ByWorker.end() && Known->second.Text.empty();
    bool Valid = Known != Progress.Advice.ByWorker.end() && !Refused &&
                 Timers.now() < Known->second.ValidUntil;
    if (!Refused && !Valid && Asked.size() < MostAsked)
      Asked.push_back(Option.Worker->key().Id);
  }
  if (Asked.empty())
    return;
  Progress.Advice.UnderWay = true;
  TaskName Name{Job.id(), Occurrence, Step, 0};
  std::shared_ptr<bool> Kept = Alive;
  Port.advise(
      Name, Asked, [this, Kept, Name, Asked](const AdviceAnswer &Answer) {
        if (!*Kept)
          return;
        auto Found = Jobs.find(Name.Job);
        StepProgress *Progress =
            Found == Jobs.end() ? nullptr : Found->second->stepOf(Name);
        if (Progress == nullptr)
          return;
        Progress->Advice.UnderWay = false;
        if (!Answer.Given)
          return;
        Instant Until = Timers.now() + milliseconds(Answer.ValidMs * 9 / 10);
        for (const std::string &Worker : Asked) {
          auto Ticket = Answer.Tickets.find(Worker);
          Progress->Advice.ByWorker[Worker] = {
              Ticket == Answer.Tickets.end() ? "" : Ticket->second, Until};
        }
        dirty(Found->second->Pool);
      });
}

// What others ask.

JobState Dispatcher::stateOf(const JobRecord &Record) const {
  auto Found = Jobs.find(Record.Job.Job);
  bool Begun = Found != Jobs.end() && Found->second->Begun;
  if (Record.State == JobState::Queued && Begun)
    return JobState::Running;
  return Record.State;
}

size_t Dispatcher::pendingOf(const std::string &Queue) const {
  size_t Count = 0;
  for (const auto &[Id, Job] : Jobs)
    Count += Job->job().Queue == Queue && !Job->Begun && !Job->Ended ? 1 : 0;
  return Count;
}

PoolDemand Dispatcher::demandOf(const std::string &Pool) const {
  PoolDemand Demand;
  constexpr double ThousandthsPerCore = 1000;
  constexpr double ShortestChainMs = 300;
  for (const auto &[Id, Job] : Jobs) {
    if (Job->Ended || Job->Pool != Pool)
      continue;
    if (Job->longRunning()) {
      for (const StepSpec &Step : Job->spec().Steps) {
        Demand.LastingCores += static_cast<double>(Step.Count) *
                               static_cast<double>(Step.room().Cpu) /
                               ThousandthsPerCore;
        if (Step.MaxPerWorker > 0)
          Demand.FewestVms = std::max<size_t>(
              Demand.FewestVms,
              (Step.Count + Step.MaxPerWorker - 1) / Step.MaxPerWorker);
      }
      continue;
    }
    double Factor = estimateFactor(*Job);
    double Chain = Job->remainingChainMs(Factor);
    Duration Left = milliseconds(static_cast<int64_t>(Chain));
    if (Timers.now() + Left > Job->Objective)
      continue;
    Demand.PassingCores +=
        Job->remainingWork(Factor) / std::max(Chain, ShortestChainMs);
  }
  return Demand;
}

void Dispatcher::cordon(const std::string &Vm, bool On) {
  for (auto &[Key, Worker] : Table.all())
    if (Worker.Entry.Vm == Vm)
      Worker.Cordoned = On;
}

bool Dispatcher::evacuate(const std::string &Vm) {
  bool Empty = true;
  constexpr int32_t AtWork = 100;
  for (auto &[Key, Worker] : Table.all()) {
    if (Worker.Entry.Vm != Vm || Vm.empty())
      continue;
    for (auto &[Task, Known] : Worker.Runs) {
      Empty = false;
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
        const LiveWorker *Holder =
            At.empty() ? nullptr : Table.find(At.front());
        TaskName Other = Task;
        Other.Index = I;
        auto Found =
            Holder == nullptr ? Worker.Runs.end() : Holder->Runs.find(Other);
        bool Works = Holder != nullptr && Holder->InTouch &&
                     Found != Holder->Runs.end() &&
                     Found->second.State == RunState::Running &&
                     Found->second.Percent >= AtWork;
        Away += Works ? 0 : 1;
      }
      bool Spared =
          Spec.MayMiss == 0 || Away < Spec.MayMiss || Worker.Entry.Leaving;
      if (Spared)
        stopRun(Worker, Task);
    }
  }
  return Empty;
}

int64_t Dispatcher::bornOn(const std::string &Vm) const {
  int64_t Born = 0;
  for (const auto &[Key, Worker] : Table.all())
    if (Worker.Entry.Vm == Vm)
      Born = std::max(Born, Key.Born);
  return Born;
}

void Dispatcher::vmEnded(const std::string &Vm) {
  std::vector<WorkerKey> Ended;
  for (const auto &[Key, Worker] : Table.all())
    if (Worker.Entry.Vm == Vm)
      Ended.push_back(Key);
  for (const WorkerKey &Key : Ended)
    gone(Key, "vm_ended");
}

} // namespace mimosashunt
