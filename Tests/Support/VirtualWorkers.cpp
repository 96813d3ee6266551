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
  Timers.every(milliseconds(5), [this] { tick(); });
}

SimulatedWorker &VirtualWorkers::add(const std::string &Id,
                                     const std::string &Pool,
                                     const std::string &Rack, Resources Room) {
  SimulatedWorker &Worker = Workers[Id];
  Worker.Entry = {{Id, 1000}, "10.0.0." + std::to_string(Workers.size()) + ":1",
                  Pool,       "vm-" + Id,
                  "dc",       {"a", Rack},
                  Room,       false};
  Worker.Born = Timers.now();
  return Worker;
}

void VirtualWorkers::restart(const std::string &Id) {
  SimulatedWorker &Worker = Workers.at(Id);
  WorkerEntry Entry = Worker.Entry;
  for (const auto &[Task, Held] : Worker.Runs)
    if (const JobRecord *Record = Store.job(Task.Job))
      Running[Record->Job.Organisation] -=
          Record->Job.Spec.Steps[Task.Step].Each;
  ++Entry.Key.Born;
  Worker = {};
  Worker.Entry = Entry;
  Worker.Born = Timers.now();
}

SimulatedWorker *VirtualWorkers::find(const WorkerEntry &To) {
  auto Found = Workers.find(To.Key.Id);
  return Found == Workers.end() ? nullptr : &Found->second;
}

int64_t VirtualWorkers::clockOf(const SimulatedWorker &Worker) const {
  return toMillis(Timers.now() - Worker.Born);
}

void VirtualWorkers::carry(const WorkerEntry &To,
                           std::function<OrderOutcome()> Run,
                           const OrderDone &Done) {
  SimulatedWorker *Worker = find(To);
  if (Worker == nullptr || Worker->Faults.Silent) {
    Timers.at(Timers.now() + Unanswered, [Done] { Done({}); });
    return;
  }
  if (Worker->Faults.LateOrders > 0) {
    --Worker->Faults.LateOrders;
    Timers.at(Timers.now() + Worker->Faults.LateBy, [Run] { Run(); });
    Timers.at(Timers.now() + Unanswered, [Done] { Done({}); });
    return;
  }
  Timers.at(Timers.now() + OneWay, [this, To, Run, Done] {
    SimulatedWorker *Then = find(To);
    OrderAnswer Answer;
    Answer.Outcome =
        Then->Entry.Key == To.Key ? Run() : OrderOutcome::WrongLife;
    Answer.ClockMs = clockOf(*Then);
    Timers.at(Timers.now() + OneWay, [Done, Answer] { Done(Answer); });
  });
}

void VirtualWorkers::start(const WorkerEntry &To, const StartOrder &Order,
                           OrderDone Done) {
  carry(
      To,
      [this, Id = To.Key.Id, Order] { return doStart(Workers.at(Id), Order); },
      Done);
}

void VirtualWorkers::stop(const WorkerEntry &To, const StopOrder &Order,
                          OrderDone Done) {
  carry(
      To,
      [this, Id = To.Key.Id, Order] { return doStop(Workers.at(Id), Order); },
      Done);
}

void VirtualWorkers::pace(const WorkerEntry &To, const PaceOrder &Order,
                          OrderDone Done) {
  Paces.push_back(Order);
  carry(
      To, [] { return OrderOutcome::Taken; }, Done);
}

OrderOutcome VirtualWorkers::doStart(SimulatedWorker &Worker,
                                     const StartOrder &Order) {
  if (Order.Token < Worker.Token)
    return OrderOutcome::Fenced;
  Worker.Token = Order.Token;
  if (Order.UntilMs <= clockOf(Worker))
    return OrderOutcome::Late;
  auto Ended = Worker.HighestEnded.find(Order.Task);
  if (Ended != Worker.HighestEnded.end() && Order.Attempt <= Ended->second)
    return OrderOutcome::Outdated;
  auto There = Worker.Runs.find(Order.Task);
  if (There != Worker.Runs.end())
    return There->second.Attempt == Order.Attempt ? OrderOutcome::Taken
                                                  : OrderOutcome::Outdated;
  const JobRecord *Record = Store.job(Order.Task.Job);
  if (Record == nullptr) {
    Broken.push_back("a task of an unknown job was started");
    return OrderOutcome::Invalid;
  }
  const StepSpec &Spec = Record->Job.Spec.Steps[Order.Task.Step];
  Resources Free = Worker.Entry.Room;
  for (const auto &[Task, Held] : Worker.Runs)
    Free -= Held.Room;
  if (!Free.holds(Spec.room()))
    return OrderOutcome::NoRoom;
  checkStart(Worker, Order, Spec);
  int64_t Ms = Real(Order.Task, Spec);
  WorkerRun Held{Order.Attempt, Timers.now(),
                 Timers.now(),  Worker.Faults.StandsStill,
                 Spec.room(),   Ms < 0};
  Held.EndsAt += milliseconds(Ms < 0 ? -Ms : Ms);
  if (Worker.Faults.FailsAll) {
    Held.Fails = true;
    Held.EndsAt = Timers.now() + milliseconds(50);
  }
  Worker.Runs[Order.Task] = Held;
  Worker.LeaseUntil =
      std::max(Worker.LeaseUntil, Worker.Born + milliseconds(Order.UntilMs));
  Running[Record->Job.Organisation] += Spec.Each;
  ++Starts[Order.Task];
  return OrderOutcome::Taken;
}

void VirtualWorkers::checkStart(const SimulatedWorker &Worker,
                                const StartOrder &Order, const StepSpec &Spec) {
  std::string Name = Order.Task.Job + "." + std::to_string(Order.Task.Step) +
                     "." + std::to_string(Order.Task.Index);
  for (const auto &[Id, Other] : Workers)
    if (Other.Runs.count(Order.Task) && !Spec.Speculative)
      Broken.push_back(Name + " runs twice at once");
  if (DoneOnce.count(Order.Task) && !Spec.Speculative)
    Broken.push_back(Name + " was started after it was done");
  const JobRecord *Record = Store.job(Order.Task.Job);
  for (uint32_t Earlier : Spec.After)
    for (uint32_t I = 0; I < Record->Job.Spec.Steps[Earlier].Count; ++I)
      if (!DoneOnce.count({Order.Task.Job, Order.Task.Occurrence, Earlier, I}))
        Broken.push_back(Name + " was started before an earlier step ended");
  uint32_t OfStep = 0;
  for (const auto &[Task, Held] : Worker.Runs)
    OfStep += Task.Job == Order.Task.Job && Task.Step == Order.Task.Step;
  if (Spec.MaxPerWorker > 0 && OfStep >= Spec.MaxPerWorker)
    Broken.push_back(Name + " shares a worker with too many of its step");
}

OrderOutcome VirtualWorkers::doStop(SimulatedWorker &Worker,
                                    const StopOrder &Order) {
  if (Order.Token < Worker.Token)
    return OrderOutcome::Fenced;
  Worker.Token = Order.Token;
  uint32_t &Highest = Worker.HighestEnded[Order.Task];
  Highest = std::max(Highest, Order.Attempt);
  auto Found = Worker.Runs.find(Order.Task);
  if (Found != Worker.Runs.end() && Found->second.Attempt <= Order.Attempt)
    end(Worker, Order.Task, EndKind::Stopped);
  return OrderOutcome::Taken;
}

void VirtualWorkers::end(SimulatedWorker &Worker, const TaskName &Task,
                         EndKind How) {
  WorkerRun Held = Worker.Runs.at(Task);
  Worker.Runs.erase(Task);
  uint32_t &Highest = Worker.HighestEnded[Task];
  Highest = std::max(Highest, Held.Attempt);
  Worker.Finished.push_back({++Worker.LastNumber, Task, Held.Attempt, How, {}});
  if (How == EndKind::Done)
    DoneOnce.insert(Task);
  if (const JobRecord *Record = Store.job(Task.Job))
    Running[Record->Job.Organisation] -= Record->Job.Spec.Steps[Task.Step].Each;
  for (auto &Wake : std::exchange(Worker.Looking, {}))
    Wake();
}

void VirtualWorkers::tick() {
  for (auto &[Id, Worker] : Workers) {
    std::vector<std::pair<TaskName, EndKind>> Ended;
    for (const auto &[Task, Held] : Worker.Runs) {
      if (Timers.now() >= Worker.LeaseUntil)
        Ended.emplace_back(Task, EndKind::Lapsed);
      else if (!Held.Stands && Timers.now() >= Held.EndsAt)
        Ended.emplace_back(Task, Held.Fails ? EndKind::Failed : EndKind::Done);
    }
    for (const auto &[Task, How] : Ended)
      end(Worker, Task, How);
    // An end that was not noted before the lease lapsed does not count.
    if (Timers.now() >= Worker.LeaseUntil)
      for (const FinishedRun &End : Worker.Finished)
        DoneOnce.erase(End.Task);
  }
}

LookAnswer VirtualWorkers::listsOf(const SimulatedWorker &Worker) const {
  LookAnswer Answer;
  Answer.Outcome = OrderOutcome::Taken;
  Answer.ClockMs = clockOf(Worker);
  for (const auto &[Task, Held] : Worker.Runs) {
    RunningTask Row{Task, Held.Attempt, {}, 0, 0};
    auto Whole = std::max<int64_t>(1, toMillis(Held.EndsAt - Held.Began));
    if (!Held.Stands)
      Row.Percent = static_cast<int32_t>(std::min<int64_t>(
          100, 100 * toMillis(Timers.now() - Held.Began) / Whole));
    const JobRecord *Record = Store.job(Task.Job);
    if (Record != nullptr && Record->Job.Spec.Steps[Task.Step].LongRunning)
      Row.Percent = 100;
    auto Gauge = Gauges.find(Task);
    Row.Gauge = Gauge == Gauges.end() ? 0 : Gauge->second;
    Answer.Running.push_back(Row);
  }
  Answer.Finished = Worker.Finished;
  return Answer;
}

void VirtualWorkers::look(const WorkerEntry &To, const LookOrder &Order,
                          LookDone Done) {
  SimulatedWorker *Known = find(To);
  if (Known == nullptr || Known->Faults.Silent) {
    Timers.at(Timers.now() + milliseconds(Order.WaitMs) + Unanswered,
              [Done] { Done({}); });
    return;
  }
  Timers.at(Timers.now() + OneWay, [this, To, Order, Done] {
    SimulatedWorker &Worker = *find(To);
    if (Worker.Entry.Key != To.Key)
      return Done({OrderOutcome::WrongLife, std::nullopt, {}, {}});
    if (Order.Token < Worker.Token)
      return Done({OrderOutcome::Fenced, std::nullopt, {}, {}});
    Worker.Token = Order.Token;
    std::erase_if(Worker.Finished, [&](const FinishedRun &End) {
      return End.Number <= Order.Noted;
    });
    if (Order.UntilMs) {
      Instant Until = Worker.Born + milliseconds(*Order.UntilMs);
      Until = std::min(Until, Timers.now() + LongestLease);
      Worker.LeaseUntil = std::max(Worker.LeaseUntil, Until);
    }
    auto Answered = std::make_shared<bool>(false);
    auto Answer = [this, To, Done, Answered] {
      if (std::exchange(*Answered, true))
        return;
      SimulatedWorker &Then = *find(To);
      if (Then.Faults.Silent)
        return Timers.at(Timers.now() + Unanswered, [Done] { Done({}); }),
               void();
      LookAnswer Lists = listsOf(Then);
      if (Then.Entry.Key != To.Key)
        Lists = {OrderOutcome::WrongLife, std::nullopt, {}, {}};
      Timers.at(Timers.now() + OneWay, [Done, Lists] { Done(Lists); });
    };
    if (!Worker.Finished.empty() || Order.WaitMs == 0)
      return Answer();
    Worker.Looking.push_back(Answer);
    Timers.at(Timers.now() + milliseconds(Order.WaitMs), Answer);
  });
}

void VirtualWorkers::advise(const TaskName &, const std::vector<std::string> &,
                            AdviceDone Done) {
  Timers.at(Timers.now() + OneWay, [Done] { Done({}); });
}

} // namespace mimosashunt::test
