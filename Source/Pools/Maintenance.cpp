#include "Pools/Maintenance.h"

#include "Pools/WavePace.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

const char *nameOf(VmOrderOutcome Outcome) {
  switch (Outcome) {
  case VmOrderOutcome::Accepted:
    return "done";
  case VmOrderOutcome::Fenced:
    return "fenced";
  case VmOrderOutcome::Busy:
    return "busy";
  case VmOrderOutcome::NotInWave:
    return "not_in_wave";
  case VmOrderOutcome::Invalid:
    return "invalid";
  case VmOrderOutcome::RateLimited:
    return "too_many";
  case VmOrderOutcome::Unanswered:
    return "lost";
  }
  return "unknown";
}

Maintenance::Maintenance(const JobStore &Store, Dispatcher &Scheduler,
                         VmPort &Port, TimerService &Timers,
                         MaintenanceOptions Options, LeaderHooks Hooks)
    : Store(Store), Scheduler(Scheduler), Port(Port), Timers(Timers),
      Options(Options), Hooks(std::move(Hooks)),
      Takeover(Options.Takeover, Timers.now()),
      Alive(std::make_shared<bool>(true)) {
  resumeOrders();
  TickTimer = Timers.scheduleEvery(Options.TickInterval, [this] { onTick(); });
}

Maintenance::~Maintenance() {
  *Alive = false;
  Port.discardOrders();
  Timers.cancel(TickTimer);
}

bool Maintenance::hasUnfinishedWave() const {
  return std::any_of(
      Store.waves().begin(), Store.waves().end(),
      [](const auto &Entry) { return !Entry.second.isCompleted(); });
}

size_t Maintenance::downVmCount() const {
  return static_cast<size_t>(std::count_if(
      InProgress.begin(), InProgress.end(), [](const auto &Entry) {
        return Entry.second.CurrentStage != Stage::Draining;
      }));
}

void Maintenance::onTick() {
  if (!hasUnfinishedWave() || !Hooks.MayIssueOrders())
    return;
  if (!ListInFlight && Timers.now() - ListRequestedAt >= Options.ListInterval)
    requestVmList();
  if (!HasVmList)
    return;
  for (const auto &[Number, Wave] : Store.waves())
    if (!Wave.isCompleted())
      planWave(Wave);
  std::vector<std::string> Names;
  for (const auto &[Vm, Entry] : InProgress)
    Names.push_back(Vm);
  for (const std::string &Vm : Names) {
    auto Found = InProgress.find(Vm);
    if (Found != InProgress.end())
      advanceVm(Vm, Found->second);
  }
}

void Maintenance::requestVmList() {
  ListInFlight = true;
  ListRequestedAt = Timers.now();
  std::shared_ptr<bool> StillAlive = Alive;
  Port.listVms([this, StillAlive](std::optional<VmList> List) {
    if (!*StillAlive)
      return;
    ListInFlight = false;
    if (List)
      handleVmList(*List);
    else
      Hooks.LogEvent("vm_list_unread", Json::object());
  });
}

void Maintenance::handleVmList(const VmList &List) {
  Vms.clear();
  for (const VmEntry &Entry : List.Vms)
    Vms[Entry.Vm] = Entry;
  HasVmList = true;
  finishReturnedVms();
  finishGoneVms(List);
  for (const std::string &Vm : List.UnreadableVms)
    if (!UnreadableVms.count(Vm))
      Hooks.LogEvent("vm_state_unknown", {{"pool_vm", Vm}});
  UnreadableVms = List.UnreadableVms;
}

void Maintenance::finishReturnedVms() {
  // Only a list requested after the order was accepted shows that the VM is
  // back.
  std::vector<std::pair<uint64_t, std::string>> Returned;
  for (const auto &[Vm, Entry] : InProgress) {
    auto Found = Vms.find(Vm);
    if (Entry.CurrentStage == Stage::Ordered && Entry.Since < ListRequestedAt &&
        Found != Vms.end() && Found->second.Phase == VmPhase::Up)
      Returned.emplace_back(Entry.Wave, Vm);
  }
  for (const auto &[Wave, Vm] : Returned)
    finishVm(Wave, Vm);
}

void Maintenance::finishGoneVms(const VmList &List) {
  std::map<std::string, int> Missing;
  for (const auto &[Number, Wave] : Store.waves())
    for (const std::string &Vm : Wave.Plan.Vms) {
      if (Wave.FinishedVms.count(Vm) || Vms.count(Vm) ||
          List.UnreadableVms.count(Vm))
        continue;
      Missing[Vm] = MissingLists[Vm] + 1;
    }
  MissingLists = std::move(Missing);
  // VMs that have left for good need no maintenance.
  for (const auto &[Number, Wave] : Store.waves())
    for (const std::string &Vm : Wave.Plan.Vms)
      if (!Wave.FinishedVms.count(Vm) && isGone(Vm, List))
        finishVm(Number, Vm);
}

bool Maintenance::isGone(const std::string &Vm, const VmList &List) const {
  auto Missing = MissingLists.find(Vm);
  if (Missing == MissingLists.end())
    return false;
  if (!List.HasNamelessEntry)
    return Missing->second >= Options.ListsUntilGone;
  return Missing->second >= Options.ListsUntilGoneInDoubt &&
         !hasReachableWorker(Vm);
}

bool Maintenance::hasReachableWorker(const std::string &Vm) const {
  const auto &Workers = Scheduler.workers().all();
  return std::any_of(Workers.begin(), Workers.end(), [&Vm](const auto &Item) {
    return Item.second.Entry.Vm == Vm && Item.second.IsReachable;
  });
}

size_t Maintenance::unavailableVms(uint64_t Wave) const {
  size_t Count = 0;
  for (const auto &[Vm, Entry] : InProgress)
    Count += Entry.Wave == Wave ? 1 : 0;
  // VMs that an earlier leader ordered down are not in InProgress.
  auto Found = Store.waves().find(Wave);
  for (const std::string &Vm : Found->second.Plan.Vms) {
    auto Listed = Vms.find(Vm);
    bool IsDown =
        Listed != Vms.end() && Listed->second.Phase == VmPhase::Maintenance;
    // What cannot be read may be down.
    bool MayBeDown = UnreadableVms.count(Vm) > 0 &&
                     !Found->second.FinishedVms.count(Vm) &&
                     !hasReachableWorker(Vm);
    Count += (IsDown || MayBeDown) && !InProgress.count(Vm) ? 1 : 0;
  }
  return Count;
}

bool Maintenance::isPoolBusy(const std::string &Vm) const {
  std::string Pool = Vms.at(Vm).Pool;
  int64_t CpuCapacity = 0;
  int64_t BatchCpu = 0;
  for (const auto &[Key, Worker] : Scheduler.workers().all()) {
    if (Worker.Entry.Pool != Pool)
      continue;
    CpuCapacity += Worker.Entry.Capacity.Cpu;
    for (const auto &[Task, Run] : Worker.Runs)
      BatchCpu += Run.LongRunning ? 0 : Run.ReservedResources.Cpu;
  }
  return BatchCpu * 100 > CpuCapacity * Options.BusyPercent;
}

bool Maintenance::canPoolSpare(const std::string &Vm) const {
  const std::string &Pool = Vms.at(Vm).Pool;
  size_t Up = 0;
  size_t Claimed = 0;
  for (const auto &[Name, Entry] : Vms) {
    if (Entry.Pool != Pool)
      continue;
    Up += Entry.Phase == VmPhase::Up ? 1 : 0;
    Claimed += InProgress.count(Name);
  }
  // The long-running tasks that are moved off the VM need room elsewhere, and
  // so do new tasks.
  return Claimed == 0 || (Claimed + 1) * 2 <= Up;
}

double Maintenance::evictionCost(const std::string &Vm) const {
  double Cost = 0;
  for (const auto &[Key, Worker] : Scheduler.workers().all()) {
    if (Worker.Entry.Vm != Vm)
      continue;
    for (const auto &[Task, Run] : Worker.Runs)
      Cost += static_cast<double>(Run.ReservedResources.Cpu);
  }
  return Cost;
}

void Maintenance::planWave(const WaveRecord &Wave) {
  uint64_t Number = Wave.Plan.Wave;
  int64_t Age = std::max<int64_t>(0, Hooks.WallNow() - Wave.Plan.StartedAt);
  Duration TimeLeft = milliseconds(Wave.Plan.DurationMs - Age);
  std::vector<std::pair<double, std::string>> Waiting;
  for (const std::string &Vm : Wave.Plan.Vms) {
    auto Listed = Vms.find(Vm);
    bool IsDue = !Wave.FinishedVms.count(Vm) && !InProgress.count(Vm) &&
                 !ProposedFinishes.count({Number, Vm}) && Listed != Vms.end() &&
                 Listed->second.Phase == VmPhase::Up;
    if (IsDue)
      Waiting.emplace_back(evictionCost(Vm), Vm);
  }
  std::sort(Waiting.begin(), Waiting.end());
  size_t MaxDown = std::max<uint32_t>(1, Wave.Plan.MaxDown);
  WavePace Pace = computeWavePace(
      {Waiting.size(), unavailableVms(Number), MaxDown, TimeLeft,
       Options.MaintenanceDuration + Options.DrainDuration});
  for (const auto &[Cost, Vm] : Waiting) {
    size_t Down = unavailableVms(Number);
    // VMs with running tasks are drained only as many at once as the wave
    // needs.
    if (Down >= MaxDown || (Cost > 0 && Down >= Pace.Concurrency))
      return;
    if ((!Pace.IncludeBusyPools && isPoolBusy(Vm)) || !canPoolSpare(Vm))
      continue;
    beginMaintenance(Number, Vm);
    Hooks.LogEvent("maintenance_begins", {{"pool_vm", Vm},
                                          {"wave", Number},
                                          {"cost", Cost},
                                          {"hurry", Pace.IncludeBusyPools}});
  }
}

void Maintenance::beginMaintenance(uint64_t Wave, const std::string &Vm) {
  VmMaintenance &Entry = InProgress[Vm];
  Entry.Wave = Wave;
  Entry.Since = Entry.RetryAt = Timers.now();
  Scheduler.setCordoned(Vm, true);
  if (!Store.waves().at(Wave).OrderedVms.count(Vm))
    noteOrder(Wave, Vm, /*IsPending=*/true);
}

void Maintenance::resumeOrders() {
  for (const auto &[Number, Wave] : Store.waves()) {
    if (Wave.isCompleted())
      continue;
    for (const std::string &Vm : Wave.OrderedVms) {
      beginMaintenance(Number, Vm);
      Hooks.LogEvent("maintenance_resumed",
                     {{"pool_vm", Vm}, {"wave", Number}});
    }
  }
}

void Maintenance::noteOrder(uint64_t Wave, const std::string &Vm,
                            bool IsPending) {
  Hooks.Propose(
      NoteMaintenanceOrder{Wave, Vm, IsPending},
      [this, StillAlive = Alive, Wave, Vm, IsPending](bool Committed) {
        if (Committed || !IsPending || !*StillAlive)
          return;
        // Without the note the VM is not ordered down.
        auto Found = InProgress.find(Vm);
        if (Found == InProgress.end() || Found->second.Wave != Wave)
          return;
        Scheduler.setCordoned(Vm, false);
        InProgress.erase(Found);
      });
}

bool Maintenance::mayOrderOneMore(uint64_t Wave) const {
  size_t Down = 0;
  for (const auto &[Vm, Entry] : InProgress)
    Down += Entry.Wave == Wave && Entry.CurrentStage != Stage::Draining ? 1 : 0;
  for (const std::string &Vm : Store.waves().at(Wave).Plan.Vms) {
    auto Listed = Vms.find(Vm);
    Down += Listed != Vms.end() &&
                    Listed->second.Phase == VmPhase::Maintenance &&
                    !InProgress.count(Vm)
                ? 1
                : 0;
  }
  return Down < std::max<uint32_t>(1, Store.waves().at(Wave).Plan.MaxDown);
}

void Maintenance::advanceVm(const std::string &Vm, VmMaintenance &Entry) {
  if (Entry.CurrentStage == Stage::Ordered)
    return;
  // A move of the VM that ends meanwhile removes its cordon.
  Scheduler.setCordoned(Vm, true);
  if (Entry.OrderInFlight)
    return;
  if (Entry.CurrentStage == Stage::Draining) {
    auto Listed = Vms.find(Vm);
    bool IsUnavailable =
        Listed == Vms.end() || Listed->second.Phase != VmPhase::Up;
    if (IsUnavailable) {
      Scheduler.setCordoned(Vm, false);
      InProgress.erase(Vm);
      return;
    }
  }
  // A repeated order may be the first that is carried out, and would end a
  // worker that has come up since.
  bool IsIdle = Scheduler.drainVm(Vm);
  if (!IsIdle || !canOrder(Vm) || Timers.now() < Entry.RetryAt)
    return;
  bool IsFirstOrder = Entry.CurrentStage == Stage::Draining;
  bool IsNoted = Store.waves().at(Entry.Wave).OrderedVms.count(Vm) > 0;
  if (IsFirstOrder && (!IsNoted || !mayOrderOneMore(Entry.Wave)))
    return;
  if (std::exchange(Entry.CurrentStage, Stage::Ordering) == Stage::Draining)
    Entry.OrderedWorkers = Scheduler.workersOn(Vm);
  sendOrder(Vm, Entry);
}

bool Maintenance::canOrder(const std::string &Vm) const {
  return Takeover.isOver(Timers.now(), Hooks.WallNow(),
                         Scheduler.workerStartTime(Vm));
}

void Maintenance::sendOrder(const std::string &Vm, VmMaintenance &Entry) {
  Entry.OrderInFlight = true;
  std::shared_ptr<bool> StillAlive = Alive;
  Port.startMaintenance(
      Vm, Entry.Wave, Scheduler.token(), Hooks.MayIssueOrders,
      [this, StillAlive, Wave = Entry.Wave, Vm](VmOrderOutcome Outcome) {
        if (*StillAlive)
          handleOrderOutcome(Wave, Vm, Outcome);
      });
}

void Maintenance::handleOrderOutcome(uint64_t Wave, const std::string &Vm,
                                     VmOrderOutcome Outcome) {
  auto Found = InProgress.find(Vm);
  // The VM may have left meanwhile, and may be back in another wave.
  bool IsAwaited = Found != InProgress.end() && Found->second.OrderInFlight &&
                   Found->second.Wave == Wave;
  if (!IsAwaited)
    return;
  VmMaintenance &Entry = Found->second;
  Entry.OrderInFlight = false;
  Hooks.LogEvent(
      "maintenance_ordered",
      {{"pool_vm", Vm}, {"wave", Entry.Wave}, {"outcome", nameOf(Outcome)}});
  if (Outcome == VmOrderOutcome::Accepted) {
    Entry.CurrentStage = Stage::Ordered;
    Entry.Since = Timers.now();
    Scheduler.setCordoned(Vm, false);
    Scheduler.onWorkersTerminated(Entry.OrderedWorkers);
    return;
  }
  if (Outcome == VmOrderOutcome::Fenced)
    return Hooks.OnDeposed();
  if (Outcome == VmOrderOutcome::Unanswered ||
      Outcome == VmOrderOutcome::RateLimited) {
    Entry.RetryAt = Timers.now() + Options.OrderRetryBackoff;
    return;
  }
  // The VM is busy or not known to the platform; the next list shows its state.
  noteOrder(Wave, Vm, /*IsPending=*/false);
  Scheduler.setCordoned(Vm, false);
  InProgress.erase(Found);
}

void Maintenance::finishVm(uint64_t Wave, const std::string &Vm) {
  InProgress.erase(Vm);
  Scheduler.setCordoned(Vm, false);
  if (!ProposedFinishes.insert({Wave, Vm}).second)
    return;
  Hooks.LogEvent("maintenance_ended", {{"pool_vm", Vm}, {"wave", Wave}});
  std::shared_ptr<bool> StillAlive = Alive;
  Hooks.Propose(FinishMaintenance{Wave, {Vm}},
                [this, StillAlive, Wave, Vm](bool Committed) {
                  if (*StillAlive && !Committed)
                    ProposedFinishes.erase({Wave, Vm});
                });
}

} // namespace mimosashunt
