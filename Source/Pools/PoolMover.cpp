#include "Pools/PoolMover.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr double ThousandthsPerCore = 1000;

std::string kindOf(const std::vector<std::string> &Labels) {
  return Labels.empty() ? std::string() : Labels.front();
}

} // namespace

PoolMover::PoolMover(const ServiceConfiguration &Configuration,
                     Dispatcher &Scheduler, VmPort &Port, TimerService &Timers,
                     PoolMoverOptions Options, LeaderHooks Hooks,
                     std::function<bool(const std::string &)> Reserved)
    : Configuration(Configuration), Scheduler(Scheduler), Port(Port),
      Timers(Timers), Options(Options), Hooks(std::move(Hooks)),
      Reserved(std::move(Reserved)), Began(Timers.now()),
      Planner(Options.Planner), Alive(std::make_shared<bool>(true)) {
  TickTimer = Timers.scheduleEvery(Options.TickInterval, [this] { onTick(); });
}

PoolMover::~PoolMover() {
  *Alive = false;
  Timers.cancel(TickTimer);
}

void PoolMover::refreshList() {
  ListUnderWay = true;
  ListAskedAt = Timers.now();
  std::shared_ptr<bool> Kept = Alive;
  Port.listVms([this, Kept](std::optional<std::vector<VmEntry>> List) {
    if (!*Kept)
      return;
    ListUnderWay = false;
    if (!List)
      return;
    ListRead = true;
    Vms.clear();
    for (const VmEntry &Entry : *List)
      Vms[Entry.Vm] = Entry;
    // Only a list that was asked for after the order tells that it is over.
    std::erase_if(UnderWay, [&](const auto &Item) {
      auto Found = Vms.find(Item.first);
      bool Over = Found == Vms.end() || Found->second.Phase != VmPhase::Moving;
      return Item.second.Taken && Item.second.Since < ListAskedAt && Over;
    });
  });
}

std::map<std::string, PoolDemand> PoolMover::demands() const {
  std::map<std::string, PoolDemand> Result;
  for (const PoolConfiguration &Pool : Configuration.Pools) {
    PoolDemand Demand = Scheduler.computeDemand(Pool.Name);
    Demand.Standby = Pool.Standby;
    Result[Pool.Name] = Demand;
  }
  return Result;
}

std::vector<PoolVm> PoolMover::movable() {
  std::map<std::string, const TrackedWorker *> ByVm;
  for (const auto &[Key, Worker] : Scheduler.workers().all())
    if (!Worker.Entry.Vm.empty())
      ByVm[Worker.Entry.Vm] = &Worker;
  std::vector<PoolVm> Result;
  for (const auto &[Name, Entry] : Vms) {
    if (UnderWay.count(Name) || Entry.Phase != VmPhase::Up)
      continue;
    PoolVm Vm{Name,
              Entry.Pool,
              kindOf(Entry.Labels),
              static_cast<double>(Entry.Capacity.Cpu) / ThousandthsPerCore,
              true,
              !Reserved(Name)};
    // The leader before may just have ordered a VM that came up lately.
    Vm.Movable &= Timers.now() - Began >= Options.OrderGracePeriod ||
                  settledFor(Scheduler.workerStartTime(Name), Hooks.WallNow(),
                             toMillis(Options.OrderGracePeriod));
    auto Found = ByVm.find(Name);
    const PoolConfiguration *Pool = Configuration.findPool(Entry.Pool);
    bool Off = Pool != nullptr && Pool->Standby;
    if (Found != ByVm.end()) {
      const TrackedWorker &Worker = *Found->second;
      Vm.Empty = Scheduler.isKnownIdle(Worker);
      Vm.Movable &= Worker.IsReachable && !Worker.Entry.Leaving &&
                    !Worker.IsCordoned && Worker.Entry.Pool == Entry.Pool;
    } else {
      Vm.Movable &= Off;
    }
    Result.push_back(Vm);
  }
  return Result;
}

void PoolMover::onTick() {
  if (!Hooks.MayIssueOrders())
    return;
  if (!ListUnderWay && Timers.now() - ListAskedAt >= Options.ListInterval)
    refreshList();
  if (!ListRead)
    return;
  std::erase_if(UnderWay, [&](const auto &Item) {
    return Timers.now() - Item.second.Since > Options.MoveTimeout;
  });
  std::map<std::string, size_t> Arriving;
  for (const auto &[Vm, Item] : UnderWay)
    ++Arriving[Item.To];
  constexpr double MicrosPerSecond = 1e6;
  double TickSeconds =
      static_cast<double>(Options.TickInterval.count()) / MicrosPerSecond;
  double Allowed =
      Options.OrdersPerSecond * Options.OrderRateShare * TickSeconds;
  size_t Left = std::max<size_t>(1, static_cast<size_t>(Allowed));
  for (const VmMove &Chosen :
       Planner.plan(Timers.now(), demands(), movable(), Arriving)) {
    if (Left-- == 0)
      return;
    order(Chosen);
  }
}

void PoolMover::order(const VmMove &Chosen) {
  UnderWay[Chosen.Vm] = {Chosen.To, Timers.now(), false};
  Scheduler.setCordoned(Chosen.Vm, true);
  Hooks.LogEvent("vm_move", {{"pool_vm", Chosen.Vm},
                             {"from", Chosen.From},
                             {"to", Chosen.To},
                             {"wanted", Planner.wanted(Chosen.To)}});
  std::shared_ptr<bool> Kept = Alive;
  Port.moveVm(Chosen.Vm, Chosen.To, Scheduler.token(),
              [this, Kept, Chosen](VmOrderOutcome Outcome) {
                if (*Kept)
                  ordered(Chosen, Outcome);
              });
}

void PoolMover::ordered(const VmMove &Chosen, VmOrderOutcome Outcome) {
  if (Outcome != VmOrderOutcome::Accepted)
    Hooks.LogEvent("vm_move_not_taken",
                   {{"pool_vm", Chosen.Vm}, {"outcome", nameOf(Outcome)}});
  if (Outcome == VmOrderOutcome::Fenced)
    return Hooks.OnDeposed();
  auto Found = UnderWay.find(Chosen.Vm);
  if (Outcome == VmOrderOutcome::Accepted) {
    Scheduler.onVmTerminated(Chosen.Vm);
    Vms[Chosen.Vm].Pool = Chosen.To;
    Vms[Chosen.Vm].Phase = VmPhase::Moving;
    if (Found != UnderWay.end()) {
      Found->second.Since = Timers.now();
      Found->second.Taken = true;
    }
    return;
  }
  // A lost order may be carried out late; its VM gets no work until the limit
  // for moves has passed and a list tells where it is.
  if (Outcome == VmOrderOutcome::Unanswered)
    return;
  Scheduler.setCordoned(Chosen.Vm, false);
  if (Found != UnderWay.end())
    UnderWay.erase(Found);
}

} // namespace mimosashunt
