#include "Pools/PoolMover.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr double MillicoresPerCore = 1000;

std::string kindOf(const std::vector<std::string> &Labels) {
  return Labels.empty() ? std::string() : Labels.front();
}

} // namespace

PoolMover::PoolMover(
    const ServiceConfiguration &Configuration, Dispatcher &Scheduler,
    VmPort &Port, TimerService &Timers, PoolMoverOptions Options,
    LeaderHooks Hooks,
    std::function<bool(const std::string &)> IsUnderMaintenance)
    : Configuration(Configuration), Scheduler(Scheduler), Port(Port),
      Timers(Timers), Options(Options), Hooks(std::move(Hooks)),
      IsUnderMaintenance(std::move(IsUnderMaintenance)),
      Takeover(Options.Takeover, Timers.now()), Planner(Options.Planner),
      Alive(std::make_shared<bool>(true)) {
  TickTimer = Timers.scheduleEvery(Options.TickInterval, [this] { onTick(); });
}

PoolMover::~PoolMover() {
  *Alive = false;
  Port.discardOrders();
  Timers.cancel(TickTimer);
}

void PoolMover::requestVmList() {
  ListInFlight = true;
  ListRequestedAt = Timers.now();
  std::shared_ptr<bool> StillAlive = Alive;
  Port.listVms([this, StillAlive](std::optional<VmList> List) {
    if (!*StillAlive)
      return;
    ListInFlight = false;
    if (!List)
      return;
    HasVmList = true;
    Vms.clear();
    for (const VmEntry &Entry : List->Vms)
      Vms[Entry.Vm] = Entry;
    // Only a list requested after the order was accepted shows that the move is
    // over.
    std::erase_if(InFlight, [&](const auto &Item) {
      auto Found = Vms.find(Item.first);
      bool HasEnded =
          Found == Vms.end() || Found->second.Phase != VmPhase::Moving;
      return Item.second.IsAccepted && Item.second.Since < ListRequestedAt &&
             HasEnded;
    });
  });
}

std::map<std::string, PoolDemand> PoolMover::collectDemands() const {
  std::map<std::string, PoolDemand> Result;
  for (const PoolConfiguration &Pool : Configuration.Pools) {
    PoolDemand Demand = Scheduler.computeDemand(Pool.Name);
    Demand.Standby = Pool.Standby;
    Result[Pool.Name] = Demand;
  }
  return Result;
}

std::vector<PoolVm> PoolMover::listCandidates() {
  // A worker that has ended may still be known beside its successor.
  std::map<std::string, std::vector<const TrackedWorker *>> ByVm;
  for (const auto &[Key, Worker] : Scheduler.workers().all())
    if (!Worker.Entry.Vm.empty())
      ByVm[Worker.Entry.Vm].push_back(&Worker);
  std::vector<PoolVm> Result;
  for (const auto &[Name, Entry] : Vms) {
    // In an evacuated data centre a VM is of no use to any pool.
    if (InFlight.count(Name) || Entry.Phase != VmPhase::Up ||
        Scheduler.isEvacuated(Entry.DataCentre))
      continue;
    PoolVm Vm{Name,
              Entry.Pool,
              kindOf(Entry.Labels),
              static_cast<double>(Entry.Capacity.Cpu) / MillicoresPerCore,
              true,
              !IsUnderMaintenance(Name)};
    Vm.IsMovable &= Takeover.isOver(Timers.now(), Hooks.WallNow(),
                                    Scheduler.workerStartTime(Name));
    auto Found = ByVm.find(Name);
    const PoolConfiguration *Pool = Configuration.findPool(Entry.Pool);
    bool IsStandby = Pool != nullptr && Pool->Standby;
    if (Found != ByVm.end()) {
      bool IsReachable = false;
      for (const TrackedWorker *Worker : Found->second) {
        IsReachable |= Worker->IsReachable;
        Vm.IsIdle &= Scheduler.isKnownIdle(*Worker);
        Vm.IsMovable &= !Worker->Entry.Leaving && !Worker->IsCordoned &&
                        Worker->Entry.Pool == Entry.Pool;
      }
      Vm.IsMovable &= IsReachable;
    } else {
      Vm.IsMovable &= IsStandby;
    }
    Result.push_back(Vm);
  }
  return Result;
}

void PoolMover::onTick() {
  if (!Hooks.MayIssueOrders())
    return;
  if (!ListInFlight && Timers.now() - ListRequestedAt >= Options.ListInterval)
    requestVmList();
  if (!HasVmList)
    return;
  endUnansweredMoves();
  std::map<std::string, size_t> Arriving;
  for (const auto &[Vm, Item] : InFlight)
    ++Arriving[Item.To];
  constexpr double MicrosPerSecond = 1e6;
  double TickSeconds =
      static_cast<double>(Options.TickInterval.count()) / MicrosPerSecond;
  double Allowed =
      Options.OrdersPerSecond * Options.OrderRateShare * TickSeconds;
  size_t Remaining = std::max<size_t>(1, static_cast<size_t>(Allowed));
  for (const VmMove &Chosen : Planner.plan(Timers.now(), collectDemands(),
                                           listCandidates(), Arriving)) {
    if (Remaining-- == 0)
      return;
    sendOrder(Chosen);
  }
}

bool PoolMover::hasArrived(const std::string &Vm,
                           const std::string &Pool) const {
  const std::map<WorkerKey, TrackedWorker> &Workers = Scheduler.workers().all();
  return std::any_of(Workers.begin(), Workers.end(), [&](const auto &Item) {
    const WorkerEntry &Entry = Item.second.Entry;
    return Entry.Vm == Vm && Entry.Pool == Pool;
  });
}

void PoolMover::endUnansweredMoves() {
  std::erase_if(InFlight, [this](const auto &Item) {
    const auto &[Vm, Entry] = Item;
    bool HasEnded = Timers.now() - Entry.Since > Options.MoveTimeout ||
                    (!Entry.IsAccepted && hasArrived(Vm, Entry.To));
    if (HasEnded)
      Scheduler.setCordoned(Vm, false);
    return HasEnded;
  });
}

void PoolMover::sendOrder(const VmMove &Chosen) {
  InFlight[Chosen.Vm] = {Chosen.To, Timers.now(), false};
  Scheduler.setCordoned(Chosen.Vm, true);
  Hooks.LogEvent("vm_move", {{"pool_vm", Chosen.Vm},
                             {"from", Chosen.From},
                             {"to", Chosen.To},
                             {"wanted", Planner.targetVmCount(Chosen.To)}});
  std::shared_ptr<bool> StillAlive = Alive;
  Port.moveVm(Chosen.Vm, Chosen.To, Scheduler.token(), Hooks.MayIssueOrders,
              [this, StillAlive, Chosen,
               OrderedWorkers =
                   Scheduler.workersOn(Chosen.Vm)](VmOrderOutcome Outcome) {
                if (*StillAlive)
                  handleOrderOutcome(Chosen, OrderedWorkers, Outcome);
              });
}

void PoolMover::handleOrderOutcome(const VmMove &Chosen,
                                   const std::set<WorkerKey> &OrderedWorkers,
                                   VmOrderOutcome Outcome) {
  if (Outcome != VmOrderOutcome::Accepted)
    Hooks.LogEvent("vm_move_not_taken",
                   {{"pool_vm", Chosen.Vm}, {"outcome", nameOf(Outcome)}});
  if (Outcome == VmOrderOutcome::Fenced)
    return Hooks.OnDeposed();
  auto Found = InFlight.find(Chosen.Vm);
  if (Outcome == VmOrderOutcome::Accepted) {
    Scheduler.setCordoned(Chosen.Vm, false);
    Scheduler.onWorkersTerminated(OrderedWorkers);
    Vms[Chosen.Vm].Pool = Chosen.To;
    Vms[Chosen.Vm].Phase = VmPhase::Moving;
    if (Found != InFlight.end()) {
      Found->second.Since = Timers.now();
      Found->second.IsAccepted = true;
    }
    return;
  }
  // An unanswered order may still be carried out. The VM gets no tasks until
  // its worker reports the other pool or the move timeout has passed.
  if (Outcome == VmOrderOutcome::Unanswered)
    return;
  Scheduler.setCordoned(Chosen.Vm, false);
  if (Found != InFlight.end())
    InFlight.erase(Found);
}

} // namespace mimosashunt
