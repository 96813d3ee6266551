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
      Options(Options), Hooks(std::move(Hooks)), Began(Timers.now()),
      Alive(std::make_shared<bool>(true)) {
  TickTimer = Timers.scheduleEvery(Options.TickInterval, [this] { onTick(); });
}

Maintenance::~Maintenance() {
  *Alive = false;
  Timers.cancel(TickTimer);
}

bool Maintenance::hasWork() const {
  return std::any_of(Store.waves().begin(), Store.waves().end(),
                     [](const auto &Item) { return !Item.second.completed(); });
}

size_t Maintenance::downVmCount() const {
  return static_cast<size_t>(
      std::count_if(Works.begin(), Works.end(), [](const auto &Item) {
        return Item.second.At != Stage::Emptying;
      }));
}

void Maintenance::onTick() {
  if (!hasWork() || !Hooks.MayIssueOrders())
    return;
  if (!ListUnderWay && Timers.now() - ListAskedAt >= Options.ListInterval)
    refreshList();
  if (!ListRead)
    return;
  for (const auto &[Number, Wave] : Store.waves())
    if (!Wave.isCompleted())
      planWave(Wave);
  std::vector<std::string> Names;
  for (const auto &[Vm, Item] : Works)
    Names.push_back(Vm);
  for (const std::string &Vm : Names) {
    auto Found = Works.find(Vm);
    if (Found != Works.end())
      drive(Vm, Found->second);
  }
}

void Maintenance::refreshList() {
  ListUnderWay = true;
  ListAskedAt = Timers.now();
  std::shared_ptr<bool> Kept = Alive;
  Port.listVms([this, Kept](std::optional<std::vector<VmEntry>> List) {
    if (!*Kept)
      return;
    ListUnderWay = false;
    if (List)
      takeList(*List);
    else
      Hooks.LogEvent("vm_list_unread", Json::object());
  });
}

void Maintenance::takeList(const std::vector<VmEntry> &List) {
  Vms.clear();
  for (const VmEntry &Entry : List)
    Vms[Entry.Vm] = Entry;
  ListRead = true;
  // Only a list that was asked for after the order was taken tells that the VM
  // is back.
  std::vector<std::pair<uint64_t, std::string>> Back;
  for (auto &[Vm, Item] : Works) {
    auto Found = Vms.find(Vm);
    bool IsBack = Item.At == Stage::Away && Item.Since < ListAskedAt &&
                  Found != Vms.end() && Found->second.Phase == VmPhase::Up;
    bool HasLeft = Found == Vms.end();
    if (IsBack || HasLeft)
      Back.emplace_back(Item.Wave, Vm);
  }
  for (const auto &[Wave, Vm] : Back)
    finish(Wave, Vm);
  // VMs that have left for good owe no maintenance.
  for (const auto &[Number, Wave] : Store.waves())
    for (const std::string &Vm : Wave.Plan.Vms)
      if (!Vms.count(Vm) && !Wave.FinishedVms.count(Vm) && !Works.count(Vm))
        finish(Number, Vm);
}

size_t Maintenance::downIn(uint64_t Wave) const {
  size_t Count = 0;
  for (const auto &[Vm, Item] : Works)
    Count += Item.Wave == Wave ? 1 : 0;
  // What an earlier leader ordered is not among the works.
  auto Found = Store.waves().find(Wave);
  for (const std::string &Vm : Found->second.Plan.Vms) {
    auto Listed = Vms.find(Vm);
    bool Down =
        Listed != Vms.end() && Listed->second.Phase == VmPhase::Maintenance;
    Count += Down && !Works.count(Vm) ? 1 : 0;
  }
  return Count;
}

bool Maintenance::poolBusy(const std::string &Vm) const {
  std::string Pool = Vms.at(Vm).Pool;
  int64_t Room = 0;
  int64_t Passing = 0;
  for (const auto &[Key, Worker] : Scheduler.workers().all()) {
    if (Worker.Entry.Pool != Pool)
      continue;
    Room += Worker.Entry.Capacity.Cpu;
    for (const auto &[Task, Known] : Worker.Runs)
      Passing += Known.LongRunning ? 0 : Known.Room.Cpu;
  }
  return Passing * 100 > Room * Options.BusyPercent;
}

bool Maintenance::poolCanSpare(const std::string &Vm) const {
  const std::string &Pool = Vms.at(Vm).Pool;
  size_t Up = 0;
  size_t Taken = 0;
  for (const auto &[Name, Entry] : Vms) {
    if (Entry.Pool != Pool)
      continue;
    Up += Entry.Phase == VmPhase::Up ? 1 : 0;
    Taken += Works.count(Name);
  }
  // What long-running tasks leave must find a place, and so must new work.
  return Taken == 0 || (Taken + 1) * 2 <= Up;
}

double Maintenance::costOf(const std::string &Vm) const {
  double Cost = 0;
  for (const auto &[Key, Worker] : Scheduler.workers().all()) {
    if (Worker.Entry.Vm != Vm)
      continue;
    for (const auto &[Task, Known] : Worker.Runs)
      Cost += static_cast<double>(Known.Room.Cpu);
  }
  return Cost;
}

void Maintenance::planWave(const WaveRecord &Wave) {
  uint64_t Number = Wave.Plan.Wave;
  int64_t Age = std::max<int64_t>(0, Hooks.WallNow() - Wave.Plan.StartedAt);
  Duration Left = milliseconds(Wave.Plan.DurationMs - Age);
  std::vector<std::pair<double, std::string>> Waiting;
  for (const std::string &Vm : Wave.Plan.Vms) {
    auto Listed = Vms.find(Vm);
    bool Due = !Wave.FinishedVms.count(Vm) && !Works.count(Vm) &&
               !Finishing.count({Number, Vm}) && Listed != Vms.end() &&
               Listed->second.Phase == VmPhase::Up;
    if (Due)
      Waiting.emplace_back(costOf(Vm), Vm);
  }
  std::sort(Waiting.begin(), Waiting.end());
  size_t MaxDown = std::max<uint32_t>(1, Wave.Plan.MaxDown);
  WavePace Pace =
      wavePace({Waiting.size(), downIn(Number), MaxDown, Left,
                Options.MaintenanceDuration + Options.DrainDuration});
  for (const auto &[Cost, Vm] : Waiting) {
    size_t Down = downIn(Number);
    // VMs with work are taken only as many at once as the wave needs.
    if (Down >= MaxDown || (Cost > 0 && Down >= Pace.AtOnce))
      return;
    if ((!Pace.Hurry && poolBusy(Vm)) || !poolCanSpare(Vm))
      continue;
    Works[Vm] = {Number, Stage::Emptying, Timers.now(), Timers.now(), false};
    Scheduler.setCordoned(Vm, true);
    Hooks.LogEvent("maintenance_begins", {{"pool_vm", Vm},
                                          {"wave", Number},
                                          {"cost", Cost},
                                          {"hurry", Pace.Hurry}});
  }
}

void Maintenance::drive(const std::string &Vm, Work &Item) {
  // A worker that started there meanwhile must not get work either.
  Scheduler.setCordoned(Vm, Item.At != Stage::Away);
  if (Item.At == Stage::Emptying) {
    auto Listed = Vms.find(Vm);
    bool Lost = Listed == Vms.end() || Listed->second.Phase != VmPhase::Up;
    if (Lost) {
      Scheduler.setCordoned(Vm, false);
      Works.erase(Vm);
      return;
    }
    bool Empty = Scheduler.drainVm(Vm);
    if (!Empty || !mayOrder(Vm))
      return;
    Item.At = Stage::Ordering;
  }
  if (Item.At == Stage::Ordering && !Item.UnderWay &&
      Item.RetryAt <= Timers.now())
    order(Vm, Item);
}

bool Maintenance::mayOrder(const std::string &Vm) const {
  return Timers.now() - Began >= Options.OrderGracePeriod ||
         settledFor(Scheduler.workerStartTime(Vm), Hooks.WallNow(),
                    toMillis(Options.OrderGracePeriod));
}

void Maintenance::order(const std::string &Vm, Work &Item) {
  Item.UnderWay = true;
  Scheduler.setCordoned(Vm, true);
  std::shared_ptr<bool> Kept = Alive;
  Port.startMaintenance(Vm, Item.Wave, Scheduler.token(),
                        [this, Kept, Vm](VmOrderOutcome Outcome) {
                          if (*Kept)
                            ordered(Vm, Outcome);
                        });
}

void Maintenance::ordered(const std::string &Vm, VmOrderOutcome Outcome) {
  auto Found = Works.find(Vm);
  if (Found == Works.end())
    return;
  Work &Item = Found->second;
  Item.UnderWay = false;
  Hooks.LogEvent(
      "maintenance_ordered",
      {{"pool_vm", Vm}, {"wave", Item.Wave}, {"outcome", nameOf(Outcome)}});
  if (Outcome == VmOrderOutcome::Accepted) {
    Item.At = Stage::Away;
    Item.Since = Timers.now();
    Scheduler.onVmTerminated(Vm);
    return;
  }
  if (Outcome == VmOrderOutcome::Fenced)
    return Hooks.OnDeposed();
  if (Outcome == VmOrderOutcome::Unanswered ||
      Outcome == VmOrderOutcome::RateLimited) {
    Item.RetryAt = Timers.now() + Options.OrderRetryBackoff;
    return;
  }
  // The VM is busy or unknown; the next list tells what became of it.
  Scheduler.setCordoned(Vm, false);
  Works.erase(Found);
}

void Maintenance::finish(uint64_t Wave, const std::string &Vm) {
  Works.erase(Vm);
  Scheduler.setCordoned(Vm, false);
  if (!Finishing.insert({Wave, Vm}).second)
    return;
  Hooks.LogEvent("maintenance_ended", {{"pool_vm", Vm}, {"wave", Wave}});
  std::shared_ptr<bool> Kept = Alive;
  Hooks.Propose(FinishMaintenance{Wave, {Vm}},
                [this, Kept, Wave, Vm](bool Committed) {
                  if (*Kept && !Committed)
                    Finishing.erase({Wave, Vm});
                });
}

} // namespace mimosashunt
