// Carries maintenance waves out: picks VMs whose loss costs least now, keeps
// new work off them, lets what runs there end or move, and orders the
// maintenance once nothing is left. Never more VMs of a wave are down than it
// allows.

#ifndef MIMOSASHUNT_POOLS_MAINTENANCE_H
#define MIMOSASHUNT_POOLS_MAINTENANCE_H

#include "Core/TimerService.h"
#include "Jobs/JobStore.h"
#include "Pools/VmTypes.h"
#include "Scheduling/Dispatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

struct MaintenanceOptions {
  Duration TickInterval = milliseconds(100);
  Duration ListInterval = milliseconds(600);
  /// No order within this time after the leadership began, since the leader
  /// before may just have given one.
  Duration OrderGracePeriod = milliseconds(3100);
  Duration OrderRetryBackoff = milliseconds(400);
  /// How long one VM is down.
  Duration MaintenanceDuration = seconds(2);
  /// Time that a VM's work takes to end or move, for planning.
  Duration DrainDuration = milliseconds(2500);
  /// A pool is busy when more than this part of its room is taken by work that
  /// comes and goes, in percent.
  int64_t BusyPercent = 50;
};

class Maintenance {
public:
  Maintenance(const JobStore &Store, Dispatcher &Scheduler, VmPort &Port,
              TimerService &Timers, MaintenanceOptions Options,
              LeaderHooks Hooks);
  ~Maintenance();
  Maintenance(const Maintenance &) = delete;
  Maintenance &operator=(const Maintenance &) = delete;

  size_t downVmCount() const;
  /// True while the VM's maintenance is prepared or under way.
  bool isUnderMaintenance(const std::string &Vm) const {
    return Works.count(Vm) > 0;
  }

private:
  enum class Stage : uint8_t {
    Emptying, // Nothing new goes there.
    Ordering, // The order is under way, or its answer was lost.
    Away,     // The platform has taken the order.
  };
  struct Work {
    uint64_t Wave = 0;
    Stage At = Stage::Emptying;
    Instant Since;
    Instant RetryAt;
    bool UnderWay = false;
  };

  void onTick();
  void refreshList();
  void takeList(const std::vector<VmEntry> &List);
  void planWave(const WaveRecord &Wave);
  void drive(const std::string &Vm, Work &Item);
  /// False while the leader before may just have ordered the VM.
  bool mayOrder(const std::string &Vm) const;
  void order(const std::string &Vm, Work &Item);
  void ordered(const std::string &Vm, VmOrderOutcome Outcome);
  void finish(uint64_t Wave, const std::string &Vm);
  bool hasWork() const;
  size_t downIn(uint64_t Wave) const;
  /// What taking the VM away would cost now; less is better.
  double costOf(const std::string &Vm) const;
  bool poolBusy(const std::string &Vm) const;
  /// True if the VM's pool keeps at least half of its VMs without it.
  bool poolCanSpare(const std::string &Vm) const;

  const JobStore &Store;
  Dispatcher &Scheduler;
  VmPort &Port;
  TimerService &Timers;
  const MaintenanceOptions Options;
  const LeaderHooks Hooks;
  const Instant Began;

  std::map<std::string, VmEntry> Vms; // By the last list.
  bool ListRead = false;
  bool ListUnderWay = false;
  Instant ListAskedAt;
  std::map<std::string, Work> Works;
  std::set<std::pair<uint64_t, std::string>> Finishing;
  TimerId TickTimer = 0;
  std::shared_ptr<bool> Alive;
};

} // namespace mimosashunt

#endif
