// The leader's view of what runs now: the reports of entry VMs and the
// platform's VM states, each with its age. It is not replicated. A new leader
// starts with an empty view, in which everything counts as down.

#ifndef MIMOSASHUNT_CORE_FLEETSTATUS_H
#define MIMOSASHUNT_CORE_FLEETSTATUS_H

#include "Core/SyncTypes.h"
#include "Core/TimerService.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace mimosashunt {

enum class VmState : uint8_t {
  Up = 0,
  Draining = 1,
  Drained = 2,
  Rebooting = 3,
  Down = 4,
};

struct VmStatus {
  VmState State = VmState::Down;
  uint64_t Boots = 0;
  bool operator==(const VmStatus &) const = default;
};

/// Number of live instances by VM.
using InstancesByVm = std::map<std::string, uint32_t>;

/// Number of live instances by service and VM.
class LiveInstances {
public:
  /// Adds one instance.
  void add(const std::string &Service, const std::string &Vm);
  /// Returns the service's instances; empty for an unknown service.
  const InstancesByVm &byVm(const std::string &Service) const;

private:
  std::unordered_map<std::string, InstancesByVm> ByService;
};

class FleetStatus {
public:
  /// Reports and VM states older than \p Freshness do not show that anything
  /// is up.
  FleetStatus(TimerService &Timers, Duration Freshness);

  /// Stores an entry VM's report, which replaces those of earlier runs of the
  /// same VM.
  void addReport(const EntryReport &Report);
  /// Replaces the VM states by those that the platform lists.
  void updateVms(std::map<std::string, VmStatus> Vms);
  void clear();

  struct ReceivedReport {
    EntryReport Report;
    Instant ReceivedAt;
  };
  const std::map<EntryRun, ReceivedReport> &latestReports() const {
    return LatestReports;
  }
  bool isFresh(const ReceivedReport &Received) const;
  /// Returns when the run last reported, even if a later run of its VM has
  /// reported since.
  std::optional<Instant> lastReportAt(const EntryRun &Run) const;
  /// Drops the time of the run's last report once the run has expired.
  void forgetRun(const EntryRun &Run) { LastReportAt.erase(Run); }

  /// Returns the VM's status by the platform's last list; none if the VM is
  /// not listed or the list is older than Freshness.
  std::optional<VmStatus> vmStatus(const std::string &Name) const;
  /// Returns the age of the platform's last list; none before the first.
  std::optional<Duration> platformAge() const;

  /// Returns the serving instances that are known to be up: listed in a fresh
  /// report and on a VM that the platform's fresh list shows as up.
  LiveInstances liveInstances() const;

private:
  TimerService &Timers;
  const Duration Freshness;
  // Holds the latest run of each VM.
  std::map<EntryRun, ReceivedReport> LatestReports;
  // Holds every run since this view began: what an earlier run started may
  // still be running after a later run has reported.
  std::map<EntryRun, Instant> LastReportAt;
  std::map<std::string, VmStatus> Vms;
  std::optional<Instant> PlatformAt; // When Vms was last replaced.
};

} // namespace mimosashunt

#endif
