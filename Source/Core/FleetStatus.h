// The leader's present view of what runs: reports of entry VMs and the
// platform's states of VMs, each with its age. It is not replicated; a new
// leader starts with an empty view, in which everything counts as down.

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

/// Counts of live instances by VM.
using InstancesByVm = std::map<std::string, uint32_t>;

class LiveInstances {
public:
  void add(const std::string &Service, const std::string &Vm);
  const InstancesByVm &byVm(const std::string &Service) const;

private:
  std::unordered_map<std::string, InstancesByVm> ByService;
};

class FleetStatus {
public:
  /// Reports older than \p Freshness say nothing about what is up.
  FleetStatus(TimerService &Timers, Duration Freshness);

  void addReport(const EntryReport &Report);
  void updateVms(std::map<std::string, VmStatus> Vms);
  void clear();

  struct ReceivedReport {
    EntryReport Report;
    Instant ReceivedAt;
  };
  const std::map<EntryRun, ReceivedReport> &latestReports() const {
    return Entries;
  }
  bool isFresh(const ReceivedReport &Item) const;
  /// When the run was last heard, also after a later run of the VM was.
  std::optional<Instant> lastReportAt(const EntryRun &Run) const;
  /// Forgets when the run was last heard, once it has expired.
  void forgetRun(const EntryRun &Run) { LastHeard.erase(Run); }

  /// Status by the platform's last fresh word; none if it is unknown.
  std::optional<VmStatus> vmStatus(const std::string &Name) const;
  std::optional<Duration> platformAge() const;

  /// Serving instances by service and VM, as far as they are known to be up.
  LiveInstances liveInstances() const;

private:
  TimerService &Timers;
  const Duration Freshness;
  std::map<EntryRun, ReceivedReport> Entries; // The latest run of each VM.
  // Of every run since this view began. What an earlier run started may still
  // be running after a later one reports.
  std::map<EntryRun, Instant> LastHeard;
  std::map<std::string, VmStatus> Vms;
  std::optional<Instant> PlatformAt;
};

} // namespace mimosashunt

#endif
