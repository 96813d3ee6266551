#include "Core/FleetStatus.h"

#include <string_view>
#include <unordered_set>
#include <utility>

namespace mimosashunt {

FleetStatus::FleetStatus(TimerService &Timers, Duration Freshness)
    : Timers(Timers), Freshness(Freshness) {}

void FleetStatus::addReport(const EntryReport &Report) {
  // An earlier run of the same VM has ended.
  std::erase_if(LatestReports, [&](const auto &Entry) {
    return Entry.first.Vm == Report.Run.Vm &&
           Entry.first.Incarnation < Report.Run.Incarnation;
  });
  LastReportAt[Report.Run] = Timers.now();
  LatestReports.insert_or_assign(Report.Run,
                                 ReceivedReport{Report, Timers.now()});
}

void FleetStatus::updateVms(std::map<std::string, VmStatus> New) {
  Vms = std::move(New);
  PlatformAt = Timers.now();
}

void FleetStatus::clear() {
  LatestReports.clear();
  LastReportAt.clear();
  Vms.clear();
  PlatformAt.reset();
}

bool FleetStatus::isFresh(const ReceivedReport &Received) const {
  return Timers.now() - Received.ReceivedAt <= Freshness;
}

std::optional<Instant> FleetStatus::lastReportAt(const EntryRun &Run) const {
  auto Found = LastReportAt.find(Run);
  if (Found == LastReportAt.end())
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
  bool PlatformIsFresh = PlatformAt && Timers.now() - *PlatformAt <= Freshness;
  if (!PlatformIsFresh)
    return Result;
  std::unordered_map<std::string_view, std::unordered_set<std::string_view>>
      Counted;
  for (const auto &[Run, Received] : LatestReports) {
    if (!isFresh(Received))
      continue;
    for (const BackendReport &Backend : Received.Report.Backends) {
      auto Status = Vms.find(Backend.Vm);
      bool VmIsUp = Status != Vms.end() && Status->second.State == VmState::Up;
      bool IsServing = Backend.State == BackendState::Serving && VmIsUp;
      // Two entry VMs may report a session of the same backend server while it
      // changes its owner; it counts once.
      if (IsServing && Counted[Backend.Service].insert(Backend.Name).second)
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
