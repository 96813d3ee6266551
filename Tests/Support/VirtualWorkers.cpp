#include "Support/VirtualWorkers.h"

#include <algorithm>
#include <utility>

namespace mimosashunt::test {

namespace {

constexpr Duration OneWayDelay = milliseconds(1);
constexpr Duration ResponseTimeout = milliseconds(700);
constexpr Duration LongestLease = seconds(6);
/// The rule LIMIT: time for which a worker's former capacity still counts.
constexpr Duration CapacityGrace = milliseconds(4500);
/// The rule BUDGET: a task that crashes its workers may be started this often
/// less one after the third crash.
constexpr int CrashesBeforeBudget = 3;
constexpr int StartsThatBreakBudget = 3;

} // namespace

VirtualWorkers::VirtualWorkers(TimerService &Timers, const JobStore &Store,
                               ActualDurationFn ActualDurationMs)
    : Timers(Timers), Store(Store),
      ActualDurationMs(std::move(ActualDurationMs)) {
  Timers.scheduleEvery(milliseconds(5), [this] { onTick(); });
}

VirtualWorker &VirtualWorkers::add(const std::string &Id,
                                   const std::string &Pool,
                                   const std::string &Rack,
                                   Resources Capacity) {
  VirtualWorker &Worker = Workers[Id];
  Worker.Entry = {{Id, 1000}, "10.0.0." + std::to_string(Workers.size()) + ":1",
                  Pool,       "vm-" + Id,
                  "dc",       {"a", Rack},
                  Capacity,   false};
  Worker.StartedAt = Timers.now();
  return Worker;
}

void VirtualWorkers::restart(const std::string &Id) {
  VirtualWorker &Worker = Workers.at(Id);
  WorkerEntry Entry = Worker.Entry;
  forgetEnds(Worker);
  forgetRuns(Worker);
  ++Entry.Key.Incarnation;
  Worker = {};
  Worker.Entry = Entry;
  Worker.StartedAt = Timers.now();
}

void VirtualWorkers::forgetEnds(const VirtualWorker &Worker) {
  for (const FinishedRun &End : Worker.Finished)
    if (End.Number > Worker.DiscountedEnds)
      CompletedTasks.erase(End.Task);
}

void VirtualWorkers::forgetRuns(VirtualWorker &Worker) {
  for (const auto &[Task, CurrentRun] : Worker.Runs)
    if (const JobRecord *Record = Store.findJob(Task.Job))
      RunningByOrganisation[Record->Job.Organisation] -=
          Record->Job.Spec.Steps[Task.Step].TaskResources;
  Worker.Runs.clear();
}

void VirtualWorkers::setCapacity(const std::string &Id, Resources Capacity) {
  VirtualWorker &Worker = Workers.at(Id);
  Worker.FormerCapacity = Worker.Entry.Capacity;
  Worker.CapacityChangedAt = Timers.now();
  Worker.Entry.Capacity = Capacity;
}

Resources VirtualWorkers::permittedCapacity(const VirtualWorker &Worker) const {
  const Resources &Capacity = Worker.Entry.Capacity;
  bool FormerCounts = Timers.now() - Worker.CapacityChangedAt < CapacityGrace &&
                      Worker.FormerCapacity.canFit(Capacity);
  return FormerCounts ? Worker.FormerCapacity : Capacity;
}

void VirtualWorkers::crash(const std::string &Id) {
  VirtualWorker &Worker = Workers.at(Id);
  if (Worker.Faults.IsDown)
    return;
  ++TotalCrashes;
  for (const auto &[Task, CurrentRun] : Worker.Runs)
    ++CrashCounts[Task];
  forgetEnds(Worker);
  std::map<TaskId, WorkerRun> Lost = Worker.Runs;
  forgetRuns(Worker);
  Worker.Faults.IsDown = true;
  for (const auto &[Task, CurrentRun] : Lost)
    breakGang(Task, CurrentRun.Attempt);
  for (auto &Wake : std::exchange(Worker.WaitingPolls, {}))
    Wake();
  if (RestartDelay)
    Timers.scheduleAt(Timers.now() + *RestartDelay,
                      [this, Id] { restart(Id); });
}

void VirtualWorkers::breakGang(const TaskId &Task, uint32_t Attempt) {
  const JobRecord *Record = Store.findJob(Task.Job);
  bool Gang = Record != nullptr && Record->Job.Spec.Steps[Task.Step].Gang;
  if (!Gang)
    return;
  for (auto &[Id, Other] : Workers) {
    std::vector<TaskId> Members;
    for (const auto &[Member, CurrentRun] : Other.Runs)
      if (Task.isOfSameStep(Member) && CurrentRun.Attempt == Attempt)
        Members.push_back(Member);
    for (const TaskId &Member : Members)
      endRun(Other, Member, EndKind::Broken);
  }
}

void VirtualWorkers::scheduleCrash(const VirtualWorker &Worker,
                                   const StartOrder &Order) {
  std::optional<Duration> Delay =
      CrashDelayOf ? CrashDelayOf(Order.Task) : std::nullopt;
  if (!Delay)
    return;
  Timers.scheduleAt(Timers.now() + *Delay, [this, Key = Worker.Entry.Key,
                                            Task = Order.Task,
                                            Attempt = Order.Attempt] {
    VirtualWorker &Host = Workers.at(Key.Id);
    auto It = Host.Runs.find(Task);
    bool IsStillThere = Host.Entry.Key == Key && It != Host.Runs.end() &&
                        It->second.Attempt == Attempt;
    if (IsStillThere)
      crash(Key.Id);
  });
}

void VirtualWorkers::checkCrashBudget(const StartOrder &Order,
                                      const std::string &Name) {
  bool CrashesWorkers = CrashDelayOf && CrashDelayOf(Order.Task);
  if (!CrashesWorkers || CrashCounts[Order.Task] < CrashesBeforeBudget)
    return;
  if (++StartsAfterThirdCrash[Order.Task] == StartsThatBreakBudget)
    Violations.push_back(Name + " was started three times more after three "
                                "workers had crashed under it");
}

VirtualWorker *VirtualWorkers::find(const WorkerEntry &To) {
  auto It = Workers.find(To.Key.Id);
  return It == Workers.end() ? nullptr : &It->second;
}

int64_t VirtualWorkers::workerClockMs(const VirtualWorker &Worker) const {
  return toMillis(Timers.now() - Worker.StartedAt);
}

void VirtualWorkers::deliverOrder(const WorkerEntry &To,
                                  std::function<OrderOutcome()> Run,
                                  const OrderCallback &Done) {
  VirtualWorker *Worker = find(To);
  if (Worker == nullptr || Worker->Faults.IsUnreachable) {
    Timers.scheduleAt(Timers.now() + ResponseTimeout, [Done] { Done({}); });
    return;
  }
  if (Worker->Faults.IsDown) {
    Timers.scheduleAt(Timers.now() + OneWayDelay, [Done] {
      Done({OrderOutcome::NotSent, std::nullopt});
    });
    return;
  }
  if (Worker->Faults.DelayedOrderCount > 0) {
    --Worker->Faults.DelayedOrderCount;
    // A process that ends takes the orders that it holds along.
    Timers.scheduleAt(Timers.now() + Worker->Faults.OrderDelay,
                      [this, Run, Key = Worker->Entry.Key] {
                        if (Workers.at(Key.Id).Entry.Key == Key)
                          Run();
                      });
    Timers.scheduleAt(Timers.now() + ResponseTimeout, [Done] { Done({}); });
    return;
  }
  Timers.scheduleAt(Timers.now() + OneWayDelay, [this, To, Run, Done] {
    VirtualWorker *Receiver = find(To);
    OrderResponse Answer;
    if (Receiver->Faults.IsDown) {
      Answer.Outcome = OrderOutcome::NotSent;
    } else if (Receiver->Faults.IsReplaced) {
      Answer.Outcome = OrderOutcome::WrongIncarnation;
    } else {
      // Orders name a worker by its id, which a restarted one keeps.
      Answer.Outcome = Run();
      Answer.ClockMs = workerClockMs(*Receiver);
    }
    if (Receiver->Faults.LosesResponses) {
      Timers.scheduleAt(Timers.now() + ResponseTimeout, [Done] { Done({}); });
      return;
    }
    Timers.scheduleAt(Timers.now() + OneWayDelay, [this, To, Done, Answer] {
      // The connection is reset with the worker's process.
      Done(find(To)->Faults.IsDown ? OrderResponse{} : Answer);
    });
  });
}

void VirtualWorkers::startRun(const WorkerEntry &To, const StartOrder &Order,
                              OrderCallback Done) {
  deliverOrder(
      To,
      [this, Id = To.Key.Id, Order] {
        return handleStart(Workers.at(Id), Order);
      },
      Done);
}

void VirtualWorkers::stopRun(const WorkerEntry &To, const StopOrder &Order,
                             OrderCallback Done) {
  deliverOrder(
      To,
      [this, Id = To.Key.Id, Order] {
        return handleStop(Workers.at(Id), Order);
      },
      Done);
}

void VirtualWorkers::setPace(const WorkerEntry &To, const PaceOrder &Order,
                             OrderCallback Done) {
  PaceOrders.push_back(Order);
  deliverOrder(
      To, [] { return OrderOutcome::Accepted; }, Done);
}

OrderOutcome VirtualWorkers::handleStart(VirtualWorker &Worker,
                                         const StartOrder &Order) {
  if (Order.Token < Worker.Token)
    return OrderOutcome::Fenced;
  Worker.Token = Order.Token;
  if (Order.LeaseEndMs <= workerClockMs(Worker))
    return OrderOutcome::LeaseExpired;
  auto Ended = Worker.HighestEndedAttempts.find(Order.Task);
  if (Ended != Worker.HighestEndedAttempts.end() &&
      Order.Attempt <= Ended->second)
    return OrderOutcome::StaleAttempt;
  auto ExistingRun = Worker.Runs.find(Order.Task);
  if (ExistingRun != Worker.Runs.end())
    return ExistingRun->second.Attempt == Order.Attempt
               ? OrderOutcome::Accepted
               : OrderOutcome::StaleAttempt;
  const JobRecord *Record = Store.findJob(Order.Task.Job);
  if (Record == nullptr) {
    Violations.push_back("a task of an unknown job was started");
    return OrderOutcome::Invalid;
  }
  const StepSpec &Spec = Record->Job.Spec.Steps[Order.Task.Step];
  Resources Free = permittedCapacity(Worker);
  for (const auto &[Task, CurrentRun] : Worker.Runs)
    Free -= CurrentRun.ReservedResources;
  bool Fits = Free.canFit(Spec.reservedResources());
  if (!Fits && !Worker.Faults.StartsBeyondCapacity)
    return OrderOutcome::NoCapacity;
  if (!Fits)
    Violations.push_back(Order.Task.Job + " was started beyond the capacity");
  checkStartInvariants(Worker, Order, Spec);
  int64_t Ms = ActualDurationMs(Order.Task, Spec);
  if (SlownessOf)
    Ms = static_cast<int64_t>(static_cast<double>(Ms) *
                              SlownessOf(Worker.Entry, Spec));
  WorkerRun NewRun{Order.Attempt,
                   Timers.now(),
                   Timers.now(),
                   Worker.Faults.StallsAllRuns,
                   Spec.reservedResources(),
                   Ms < 0};
  NewRun.EndsAt += milliseconds(Ms < 0 ? -Ms : Ms);
  if (Worker.Faults.FailsAllRuns) {
    NewRun.WillFail = true;
    NewRun.EndsAt = Timers.now() + milliseconds(50);
  }
  Worker.Runs[Order.Task] = NewRun;
  extendLease(Worker, Order.LeaseEndMs);
  RunningByOrganisation[Record->Job.Organisation] += Spec.TaskResources;
  ++StartCounts[Order.Task];
  scheduleCrash(Worker, Order);
  return OrderOutcome::Accepted;
}

void VirtualWorkers::checkStartInvariants(const VirtualWorker &Worker,
                                          const StartOrder &Order,
                                          const StepSpec &Spec) {
  std::string Name = Order.Task.Job + "." + std::to_string(Order.Task.Step) +
                     "." + std::to_string(Order.Task.Index);
  for (const auto &[Id, Other] : Workers)
    if (Other.Runs.count(Order.Task) && !Spec.Speculative)
      Violations.push_back(Name + " runs twice at once");
  if (CompletedTasks.count(Order.Task) && !Spec.Speculative)
    Violations.push_back(Name + " was started after it was done");
  checkCrashBudget(Order, Name);
  const JobRecord *Record = Store.findJob(Order.Task.Job);
  for (uint32_t Earlier : Spec.DependsOn)
    for (uint32_t I = 0; I < Record->Job.Spec.Steps[Earlier].Count; ++I)
      if (!CompletedTasks.count(
              {Order.Task.Job, Order.Task.Occurrence, Earlier, I}))
        Violations.push_back(Name +
                             " was started before an earlier step ended");
  uint32_t RunsOfStep = 0;
  for (const auto &[Task, CurrentRun] : Worker.Runs)
    RunsOfStep += Task.Job == Order.Task.Job && Task.Step == Order.Task.Step;
  if (Spec.MaxPerWorker > 0 && RunsOfStep >= Spec.MaxPerWorker)
    Violations.push_back(Name + " shares a worker with too many of its step");
}

OrderOutcome VirtualWorkers::handleStop(VirtualWorker &Worker,
                                        const StopOrder &Order) {
  if (Order.Token < Worker.Token)
    return OrderOutcome::Fenced;
  Worker.Token = Order.Token;
  uint32_t &Highest = Worker.HighestEndedAttempts[Order.Task];
  Highest = std::max(Highest, Order.Attempt);
  auto It = Worker.Runs.find(Order.Task);
  if (It != Worker.Runs.end() && It->second.Attempt <= Order.Attempt)
    endRun(Worker, Order.Task, EndKind::Stopped);
  return OrderOutcome::Accepted;
}

void VirtualWorkers::endRun(VirtualWorker &Worker, const TaskId &Task,
                            EndKind How) {
  WorkerRun CurrentRun = Worker.Runs.at(Task);
  Worker.Runs.erase(Task);
  uint32_t &Highest = Worker.HighestEndedAttempts[Task];
  Highest = std::max(Highest, CurrentRun.Attempt);
  Worker.Finished.push_back(
      {++Worker.LastSequenceNumber, Task, CurrentRun.Attempt, How, {}});
  if (How == EndKind::Done)
    CompletedTasks.insert(Task);
  if (const JobRecord *Record = Store.findJob(Task.Job))
    RunningByOrganisation[Record->Job.Organisation] -=
        Record->Job.Spec.Steps[Task.Step].TaskResources;
  for (auto &Wake : std::exchange(Worker.WaitingPolls, {}))
    Wake();
}

void VirtualWorkers::onTick() {
  for (auto &[Id, Worker] : Workers) {
    std::vector<std::pair<TaskId, EndKind>> Ended;
    for (const auto &[Task, CurrentRun] : Worker.Runs) {
      if (Timers.now() >= Worker.LeaseEnd)
        Ended.emplace_back(Task, EndKind::LeaseExpired);
      else if (!CurrentRun.IsStalled && Timers.now() >= CurrentRun.EndsAt)
        Ended.emplace_back(Task, CurrentRun.WillFail ? EndKind::Failed
                                                     : EndKind::Done);
    }
    for (const auto &[Task, How] : Ended)
      endRun(Worker, Task, How);
    // A result that was not committed before the lease expired does not count.
    // The task may be done elsewhere later, so each end is discounted once.
    if (Timers.now() < Worker.LeaseEnd)
      continue;
    for (const FinishedRun &End : Worker.Finished)
      if (End.Number > Worker.DiscountedEnds)
        CompletedTasks.erase(End.Task);
    Worker.DiscountedEnds = Worker.LastSequenceNumber;
  }
}

PollResponse
VirtualWorkers::makePollResponse(const VirtualWorker &Worker) const {
  PollResponse Answer;
  Answer.Outcome = OrderOutcome::Accepted;
  Answer.ClockMs = workerClockMs(Worker);
  for (const auto &[Task, CurrentRun] : Worker.Runs) {
    RunningTask Listed{Task, CurrentRun.Attempt, {}, 0, 0};
    auto TotalMs = std::max<int64_t>(
        1, toMillis(CurrentRun.EndsAt - CurrentRun.StartedAt));
    if (!CurrentRun.IsStalled)
      Listed.ProgressPercent = static_cast<int32_t>(std::min<int64_t>(
          100, 100 * toMillis(Timers.now() - CurrentRun.StartedAt) / TotalMs));
    const JobRecord *Record = Store.findJob(Task.Job);
    if (Record != nullptr && Record->Job.Spec.Steps[Task.Step].LongRunning)
      Listed.ProgressPercent = 100;
    auto Gauge = Gauges.find(Task);
    Listed.Gauge = Gauge == Gauges.end() ? 0 : Gauge->second;
    Answer.Running.push_back(Listed);
  }
  Answer.Finished = Worker.Finished;
  Answer.HasMoreEnds = Answer.Finished.size() >= MaxEndsPerResponse;
  if (Answer.Finished.size() > MaxEndsPerResponse)
    Answer.Finished.resize(MaxEndsPerResponse);
  Answer.UnreadableRuns = Worker.Faults.ForeignRows;
  if (Worker.Faults.HasUnreadableRuns)
    for (const RunningTask &Row : std::exchange(Answer.Running, {}))
      Answer.UnreadableRuns.insert(Row.Task);
  if (Worker.Faults.HasUnreadableEnds)
    for (const FinishedRun &Row : std::exchange(Answer.Finished, {}))
      Answer.UnreadableEnds.insert(Row.Task);
  return Answer;
}

void VirtualWorkers::acceptLease(VirtualWorker &Worker,
                                 uint64_t AcknowledgedEnds,
                                 std::optional<int64_t> LeaseEndMs) {
  std::erase_if(Worker.Finished, [&](const FinishedRun &End) {
    return End.Number <= AcknowledgedEnds;
  });
  if (LeaseEndMs)
    extendLease(Worker, *LeaseEndMs);
}

void VirtualWorkers::extendLease(VirtualWorker &Worker, int64_t LeaseEndMs) {
  Instant Until = Worker.StartedAt + milliseconds(LeaseEndMs);
  Until = std::min(Until, Timers.now() + LongestLease);
  Worker.LeaseEnd = std::max(Worker.LeaseEnd, Until);
}

OrderOutcome VirtualWorkers::handleRenewal(VirtualWorker &Worker,
                                           const RenewOrder &Order) {
  if (Order.Token < Worker.Token)
    return OrderOutcome::Fenced;
  Worker.Token = Order.Token;
  acceptLease(Worker, 0, Order.LeaseEndMs);
  return OrderOutcome::Accepted;
}

void VirtualWorkers::renewLease(const WorkerEntry &To, const RenewOrder &Order,
                                OrderCallback Done) {
  // The answer names the process that it comes from.
  auto Response = std::make_shared<OrderResponse>();
  deliverOrder(
      To,
      [this, To, Order, Response] {
        VirtualWorker &Worker = Workers.at(To.Key.Id);
        OrderOutcome Outcome = handleRenewal(Worker, Order);
        Response->Incarnation = Worker.Entry.Key.Incarnation;
        bool IsNext = Worker.Entry.Key != To.Key;
        return IsNext && Outcome == OrderOutcome::Accepted
                   ? OrderOutcome::Restarted
                   : Outcome;
      },
      [Done, Response](const OrderResponse &Answer) {
        OrderResponse Named = Answer;
        Named.Incarnation = Response->Incarnation;
        if (Named.Outcome == OrderOutcome::Restarted)
          Named.ClockMs.reset();
        Done(Named);
      });
}

void VirtualWorkers::pollWorker(const WorkerEntry &To, const PollOrder &Order,
                                PollCallback Done) {
  VirtualWorker *Target = find(To);
  if (Target == nullptr || Target->Faults.IsUnreachable) {
    Timers.scheduleAt(Timers.now() + milliseconds(Order.MaxWaitMs) +
                          ResponseTimeout,
                      [Done] { Done({}); });
    return;
  }
  Timers.scheduleAt(Timers.now() + OneWayDelay, [this, To, Order, Done] {
    VirtualWorker &Worker = *find(To);
    if (Worker.Faults.IsDown)
      return Done({OrderOutcome::NotSent, std::nullopt, {}, {}});
    if (Worker.Faults.IsReplaced)
      return Done({OrderOutcome::WrongIncarnation, std::nullopt, {}, {}});
    if (Order.Token < Worker.Token)
      return Done({OrderOutcome::Fenced, std::nullopt, {}, {}});
    Worker.Token = Order.Token;
    acceptLease(Worker, Order.AcknowledgedEnds, Order.LeaseEndMs);
    auto Answered = std::make_shared<bool>(false);
    auto Answer = [this, To, Done, Answered] {
      if (std::exchange(*Answered, true))
        return;
      VirtualWorker &Receiver = *find(To);
      if (Receiver.Faults.IsUnreachable || Receiver.Faults.LosesResponses)
        return Timers.scheduleAt(Timers.now() + ResponseTimeout,
                                 [Done] { Done({}); }),
               void();
      if (Receiver.Faults.IsDown)
        return Timers.scheduleAt(Timers.now() + OneWayDelay,
                                 [Done] { Done({}); }),
               void();
      PollResponse Lists = makePollResponse(Receiver);
      if (Receiver.Entry.Key != To.Key)
        Lists = {OrderOutcome::Restarted,
                 std::nullopt,
                 {},
                 {},
                 Receiver.Entry.Key.Incarnation};
      Timers.scheduleAt(Timers.now() + OneWayDelay,
                        [Done, Lists] { Done(Lists); });
    };
    if (!Worker.Finished.empty() || Order.MaxWaitMs == 0)
      return Answer();
    Worker.WaitingPolls.push_back(Answer);
    Timers.scheduleAt(Timers.now() + milliseconds(Order.MaxWaitMs), Answer);
  });
}

void VirtualWorkers::requestAdvice(const TaskId &,
                                   const std::vector<std::string> &, Duration,
                                   AdviceCallback Done) {
  Timers.scheduleAt(Timers.now() + OneWayDelay, [Done] { Done({}); });
}

} // namespace mimosashunt::test
