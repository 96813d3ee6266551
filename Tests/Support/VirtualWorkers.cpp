#include "Support/VirtualWorkers.h"

#include <algorithm>
#include <utility>

namespace mimosashunt::test {

namespace {

constexpr Duration OneWay = milliseconds(1);
constexpr Duration Unanswered = milliseconds(700);
constexpr Duration LongestLease = seconds(6);

} // namespace

VirtualWorkers::VirtualWorkers(TimerService &Timers, const JobStore &Store,
                               RealMs Real)
    : Timers(Timers), Store(Store), Real(std::move(Real)) {
  Timers.scheduleEvery(milliseconds(5), [this] { tick(); });
}

VirtualWorker &VirtualWorkers::add(const std::string &Id,
                                   const std::string &Pool,
                                   const std::string &Rack, Resources Room) {
  VirtualWorker &Worker = Workers[Id];
  Worker.Entry = {{Id, 1000}, "10.0.0." + std::to_string(Workers.size()) + ":1",
                  Pool,       "vm-" + Id,
                  "dc",       {"a", Rack},
                  Room,       false};
  Worker.Born = Timers.now();
  return Worker;
}

void VirtualWorkers::restart(const std::string &Id) {
  VirtualWorker &Worker = Workers.at(Id);
  WorkerEntry Entry = Worker.Entry;
  for (const auto &[Task, Held] : Worker.Runs)
    if (const JobRecord *Record = Store.findJob(Task.Job))
      RunningByOrganisation[Record->Job.Organisation] -=
          Record->Job.Spec.Steps[Task.Step].TaskResources;
  ++Entry.Key.Incarnation;
  Worker = {};
  Worker.Entry = Entry;
  Worker.Born = Timers.now();
}

VirtualWorker *VirtualWorkers::find(const WorkerEntry &To) {
  auto Found = Workers.find(To.Key.Id);
  return Found == Workers.end() ? nullptr : &Found->second;
}

int64_t VirtualWorkers::clockOf(const VirtualWorker &Worker) const {
  return toMillis(Timers.now() - Worker.Born);
}

void VirtualWorkers::carry(const WorkerEntry &To,
                           std::function<OrderOutcome()> Run,
                           const OrderCallback &Done) {
  VirtualWorker *Worker = find(To);
  if (Worker == nullptr || Worker->Faults.IsUnreachable) {
    Timers.scheduleAt(Timers.now() + Unanswered, [Done] { Done({}); });
    return;
  }
  if (Worker->Faults.LateOrders > 0) {
    --Worker->Faults.LateOrders;
    Timers.scheduleAt(Timers.now() + Worker->Faults.LateBy, [Run] { Run(); });
    Timers.scheduleAt(Timers.now() + Unanswered, [Done] { Done({}); });
    return;
  }
  Timers.scheduleAt(Timers.now() + OneWay, [this, To, Run, Done] {
    VirtualWorker *Then = find(To);
    OrderResponse Answer;
    Answer.Outcome =
        Then->Entry.Key == To.Key ? Run() : OrderOutcome::WrongIncarnation;
    Answer.ClockMs = clockOf(*Then);
    Timers.scheduleAt(Timers.now() + OneWay, [Done, Answer] { Done(Answer); });
  });
}

void VirtualWorkers::startRun(const WorkerEntry &To, const StartOrder &Order,
                              OrderCallback Done) {
  carry(
      To,
      [this, Id = To.Key.Id, Order] { return doStart(Workers.at(Id), Order); },
      Done);
}

void VirtualWorkers::stopRun(const WorkerEntry &To, const StopOrder &Order,
                             OrderCallback Done) {
  carry(
      To,
      [this, Id = To.Key.Id, Order] { return doStop(Workers.at(Id), Order); },
      Done);
}

void VirtualWorkers::setPace(const WorkerEntry &To, const PaceOrder &Order,
                             OrderCallback Done) {
  Paces.push_back(Order);
  carry(
      To, [] { return OrderOutcome::Accepted; }, Done);
}

OrderOutcome VirtualWorkers::doStart(VirtualWorker &Worker,
                                     const StartOrder &Order) {
  if (Order.Token < Worker.Token)
    return OrderOutcome::Fenced;
  Worker.Token = Order.Token;
  if (Order.LeaseEndMs <= clockOf(Worker))
    return OrderOutcome::LeaseExpired;
  auto Ended = Worker.HighestEnded.find(Order.Task);
  if (Ended != Worker.HighestEnded.end() && Order.Attempt <= Ended->second)
    return OrderOutcome::StaleAttempt;
  auto There = Worker.Runs.find(Order.Task);
  if (There != Worker.Runs.end())
    return There->second.Attempt == Order.Attempt ? OrderOutcome::Accepted
                                                  : OrderOutcome::StaleAttempt;
  const JobRecord *Record = Store.findJob(Order.Task.Job);
  if (Record == nullptr) {
    Violations.push_back("a task of an unknown job was started");
    return OrderOutcome::Invalid;
  }
  const StepSpec &Spec = Record->Job.Spec.Steps[Order.Task.Step];
  Resources Free = Worker.Entry.Capacity;
  for (const auto &[Task, Held] : Worker.Runs)
    Free -= Held.Room;
  if (!Free.canFit(Spec.reservedResources()))
    return OrderOutcome::NoCapacity;
  checkStart(Worker, Order, Spec);
  int64_t Ms = Real(Order.Task, Spec);
  WorkerRun Held{Order.Attempt,
                 Timers.now(),
                 Timers.now(),
                 Worker.Faults.StandsStill,
                 Spec.reservedResources(),
                 Ms < 0};
  Held.EndsAt += milliseconds(Ms < 0 ? -Ms : Ms);
  if (Worker.Faults.FailsAll) {
    Held.Fails = true;
    Held.EndsAt = Timers.now() + milliseconds(50);
  }
  Worker.Runs[Order.Task] = Held;
  Worker.LeaseUntil =
      std::max(Worker.LeaseUntil, Worker.Born + milliseconds(Order.LeaseEndMs));
  RunningByOrganisation[Record->Job.Organisation] += Spec.TaskResources;
  ++StartCounts[Order.Task];
  return OrderOutcome::Accepted;
}

void VirtualWorkers::checkStart(const VirtualWorker &Worker,
                                const StartOrder &Order, const StepSpec &Spec) {
  std::string Name = Order.Task.Job + "." + std::to_string(Order.Task.Step) +
                     "." + std::to_string(Order.Task.Index);
  for (const auto &[Id, Other] : Workers)
    if (Other.Runs.count(Order.Task) && !Spec.Speculative)
      Violations.push_back(Name + " runs twice at once");
  if (CompletedTasks.count(Order.Task) && !Spec.Speculative)
    Violations.push_back(Name + " was started after it was done");
  const JobRecord *Record = Store.findJob(Order.Task.Job);
  for (uint32_t Earlier : Spec.DependsOn)
    for (uint32_t I = 0; I < Record->Job.Spec.Steps[Earlier].Count; ++I)
      if (!CompletedTasks.count(
              {Order.Task.Job, Order.Task.Occurrence, Earlier, I}))
        Violations.push_back(Name +
                             " was started before an earlier step ended");
  uint32_t OfStep = 0;
  for (const auto &[Task, Held] : Worker.Runs)
    OfStep += Task.Job == Order.Task.Job && Task.Step == Order.Task.Step;
  if (Spec.MaxPerWorker > 0 && OfStep >= Spec.MaxPerWorker)
    Violations.push_back(Name + " shares a worker with too many of its step");
}

OrderOutcome VirtualWorkers::doStop(VirtualWorker &Worker,
                                    const StopOrder &Order) {
  if (Order.Token < Worker.Token)
    return OrderOutcome::Fenced;
  Worker.Token = Order.Token;
  uint32_t &Highest = Worker.HighestEnded[Order.Task];
  Highest = std::max(Highest, Order.Attempt);
  auto Found = Worker.Runs.find(Order.Task);
  if (Found != Worker.Runs.end() && Found->second.Attempt <= Order.Attempt)
    end(Worker, Order.Task, EndKind::Stopped);
  return OrderOutcome::Accepted;
}

void VirtualWorkers::end(VirtualWorker &Worker, const TaskId &Task,
                         EndKind How) {
  WorkerRun Held = Worker.Runs.at(Task);
  Worker.Runs.erase(Task);
  uint32_t &Highest = Worker.HighestEnded[Task];
  Highest = std::max(Highest, Held.Attempt);
  Worker.Finished.push_back({++Worker.LastNumber, Task, Held.Attempt, How, {}});
  if (How == EndKind::Done)
    CompletedTasks.insert(Task);
  if (const JobRecord *Record = Store.findJob(Task.Job))
    RunningByOrganisation[Record->Job.Organisation] -=
        Record->Job.Spec.Steps[Task.Step].TaskResources;
  for (auto &Wake : std::exchange(Worker.Looking, {}))
    Wake();
}

void VirtualWorkers::tick() {
  for (auto &[Id, Worker] : Workers) {
    std::vector<std::pair<TaskId, EndKind>> Ended;
    for (const auto &[Task, Held] : Worker.Runs) {
      if (Timers.now() >= Worker.LeaseUntil)
        Ended.emplace_back(Task, EndKind::LeaseExpired);
      else if (!Held.Stands && Timers.now() >= Held.EndsAt)
        Ended.emplace_back(Task, Held.Fails ? EndKind::Failed : EndKind::Done);
    }
    for (const auto &[Task, How] : Ended)
      end(Worker, Task, How);
    // An end that was not noted before the lease lapsed does not count.
    if (Timers.now() >= Worker.LeaseUntil)
      for (const FinishedRun &End : Worker.Finished)
        CompletedTasks.erase(End.Task);
  }
}

PollResponse VirtualWorkers::listsOf(const VirtualWorker &Worker) const {
  PollResponse Answer;
  Answer.Outcome = OrderOutcome::Accepted;
  Answer.ClockMs = clockOf(Worker);
  for (const auto &[Task, Held] : Worker.Runs) {
    RunningTask Row{Task, Held.Attempt, {}, 0, 0};
    auto Whole = std::max<int64_t>(1, toMillis(Held.EndsAt - Held.Began));
    if (!Held.Stands)
      Row.ProgressPercent = static_cast<int32_t>(std::min<int64_t>(
          100, 100 * toMillis(Timers.now() - Held.Began) / Whole));
    const JobRecord *Record = Store.findJob(Task.Job);
    if (Record != nullptr && Record->Job.Spec.Steps[Task.Step].LongRunning)
      Row.ProgressPercent = 100;
    auto Gauge = Gauges.find(Task);
    Row.Gauge = Gauge == Gauges.end() ? 0 : Gauge->second;
    Answer.Running.push_back(Row);
  }
  Answer.Finished = Worker.Finished;
  return Answer;
}

void VirtualWorkers::pollWorker(const WorkerEntry &To, const PollOrder &Order,
                                PollCallback Done) {
  VirtualWorker *Known = find(To);
  if (Known == nullptr || Known->Faults.IsUnreachable) {
    Timers.scheduleAt(Timers.now() + milliseconds(Order.MaxWaitMs) + Unanswered,
                      [Done] { Done({}); });
    return;
  }
  Timers.scheduleAt(Timers.now() + OneWay, [this, To, Order, Done] {
    VirtualWorker &Worker = *find(To);
    if (Worker.Entry.Key != To.Key)
      return Done({OrderOutcome::WrongIncarnation, std::nullopt, {}, {}});
    if (Order.Token < Worker.Token)
      return Done({OrderOutcome::Fenced, std::nullopt, {}, {}});
    Worker.Token = Order.Token;
    std::erase_if(Worker.Finished, [&](const FinishedRun &End) {
      return End.Number <= Order.AcknowledgedEnds;
    });
    if (Order.LeaseEndMs) {
      Instant Until = Worker.Born + milliseconds(*Order.LeaseEndMs);
      Until = std::min(Until, Timers.now() + LongestLease);
      Worker.LeaseUntil = std::max(Worker.LeaseUntil, Until);
    }
    auto Answered = std::make_shared<bool>(false);
    auto Answer = [this, To, Done, Answered] {
      if (std::exchange(*Answered, true))
        return;
      VirtualWorker &Then = *find(To);
      if (Then.Faults.IsUnreachable)
        return Timers.scheduleAt(Timers.now() + Unanswered,
                                 [Done] { Done({}); }),
               void();
      PollResponse Lists = listsOf(Then);
      if (Then.Entry.Key != To.Key)
        Lists = {OrderOutcome::WrongIncarnation, std::nullopt, {}, {}};
      Timers.scheduleAt(Timers.now() + OneWay, [Done, Lists] { Done(Lists); });
    };
    if (!Worker.Finished.empty() || Order.MaxWaitMs == 0)
      return Answer();
    Worker.Looking.push_back(Answer);
    Timers.scheduleAt(Timers.now() + milliseconds(Order.MaxWaitMs), Answer);
  });
}

void VirtualWorkers::requestAdvice(const TaskId &,
                                   const std::vector<std::string> &,
                                   AdviceCallback Done) {
  Timers.scheduleAt(Timers.now() + OneWay, [Done] { Done({}); });
}

} // namespace mimosashunt::test
