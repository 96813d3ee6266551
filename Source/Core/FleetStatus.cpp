#include "Core/FleetStatus.h"

#include <string_view>
#include <unordered_set>
#include <utility>

namespace mimosashunt {

FleetStatus::FleetStatus(TimerService &Timers, Duration Freshness)
    : Timers(Timers), Freshness(Freshness) {}

void FleetStatus::addReport(const EntryReport &Report) {
  // An earlier run of the same VM is over.
  std::erase_if(Entries, [&](const auto &Item) {
    return Item.first.Vm == Report.Run.Vm &&
           Item.first.Incarnation < Report.Run.Incarnation;
  });
  LastHeard[Report.Run] = Timers.now();
  Entries.insert_or_assign(Report.Run, ReceivedReport{Report, Timers.now()});
}

void FleetStatus::updateVms(std::map<std::string, VmStatus> New) {
  Vms = std::move(New);
  PlatformAt = Timers.now();
}

void FleetStatus::clear() {
  Entries.clear();
  LastHeard.clear();
  Vms.clear();
  PlatformAt.reset();
}

bool FleetStatus::isFresh(const ReceivedReport &Item) const {
  return Timers.now() - Item.ReceivedAt <= Freshness;
}

std::optional<Instant> FleetStatus::lastReportAt(const EntryRun &Run) const {
  auto Found = LastHeard.find(Run);
  if (Found == LastHeard.end())
    return std::nullopt;
  return Found->second;
}

std::optional<Duration> FleetStatus::platformAge() const {
  if (!PlatformAt)
    return std::nullopt;
  return Timers.now() - *PlatformAt;
}

std::optional<VmStatus> FleetStatus::vmStatus(const std::string &Name) const {
  auto Found = Vms.find(Name);
  if (Found == Vms.end() || !PlatformAt ||
      Timers.now() - *PlatformAt > Freshness)
    return std::nullopt;
  return Found->second;
}

LiveInstances FleetStatus::liveInstances() const {
  LiveInstances Result;
  bool PlatformFresh = PlatformAt && Timers.now() - *PlatformAt <= Freshness;
  if (!PlatformFresh)
    return Result;
  std::unordered_map<std::string_view, std::unordered_set<std::string_view>>
      Counted;
  for (const auto &[Run, Item] : Entries) {
    if (!isFresh(Item))
      continue;
    for (const BackendReport &Backend : Item.Report.Backends) {
      auto Status = Vms.find(Backend.Vm);
      bool Up = Status != Vms.end() && Status->second.State == VmState::Up;
      bool Serves = Backend.State == BackendState::Serving && Up;
      // Two entry VMs may both hold a session for a moment.
      if (Serves && Counted[Backend.Service].insert(Backend.Name).second)
        Result.add(Backend.Service, Backend.Vm);
    }
  }
  return Result;
}

void LiveInstances::add(const std::string &Service, const std::string &Vm) {
  ++ByService[Service][Vm];
}

const InstancesByVm &LiveInstances::byVm(const std::string &Service) const {
  static const InstancesByVm None;
  auto Found = ByService.find(Service);
  return Found == ByService.end() ? None : Found->second;
}

} // namespace mimosashunt
