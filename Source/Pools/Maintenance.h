// Executes maintenance waves: picks the VMs that are cheapest to take down now,
// cordons them, lets their tasks end or move elsewhere, and orders the
// maintenance once a VM is idle. Never takes down more VMs of a wave than the
// wave allows.

#ifndef MIMOSASHUNT_POOLS_MAINTENANCE_H
#define MIMOSASHUNT_POOLS_MAINTENANCE_H

#include "Core/TimerService.h"
#include "Jobs/JobStore.h"
#include "Pools/TakeoverPause.h"
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
  TakeoverPauseOptions Takeover;
  Duration OrderRetryBackoff = milliseconds(400);
  /// How long the maintenance of one VM takes.
  Duration MaintenanceDuration = seconds(2);
  /// Estimated time to drain a VM, for planning.
  Duration DrainDuration = milliseconds(2500);
  /// A pool is busy if batch tasks take more than this percentage of its
  /// processor capacity.
  int64_t BusyPercent = 50;
  /// A VM of a wave counts as gone for good once it is missing from this many
  /// lists on end.
  int ListsUntilGone = 3;
  /// The same while some entry of the list does not tell which VM it is of.
  int ListsUntilGoneInDoubt = 30;
};

/// Runs on the leader only and is rebuilt with each leadership.
class Maintenance {
public:
  Maintenance(const JobStore &Store, Dispatcher &Scheduler, VmPort &Port,
              TimerService &Timers, MaintenanceOptions Options,
              LeaderHooks Hooks);
  ~Maintenance();
  Maintenance(const Maintenance &) = delete;
  Maintenance &operator=(const Maintenance &) = delete;

  size_t downVmCount() const;
  /// Returns true while the VM is being prepared for maintenance or maintained.
  bool isUnderMaintenance(const std::string &Vm) const {
    return InProgress.count(Vm) > 0;
  }

private:
  enum class Stage : uint8_t {
    Draining, // The VM is cordoned and its tasks are ending.
    Ordering, // The order is in flight or was not answered.
    Ordered,  // The platform has accepted the order.
  };
  struct VmMaintenance {
    uint64_t Wave = 0;
    Stage CurrentStage = Stage::Draining;
    Instant Since; // When draining began, or the order was accepted.
    Instant RetryAt;
    bool OrderInFlight = false;
    /// The incarnations on the VM when it was first ordered, which the order
    /// ends. Those that come up later run on, also when a repeated order is
    /// answered.
    std::set<WorkerKey> OrderedWorkers;
  };

  void onTick();
  void requestVmList();
  void handleVmList(const VmList &List);
  /// Finishes the VMs that have returned from their maintenance.
  void finishReturnedVms();
  /// Finishes the VMs of waves that have left for good.
  void finishGoneVms(const VmList &List);
  /// Returns true once the VM, which the list does not name, counts as gone.
  bool isGone(const std::string &Vm, const VmList &List) const;
  bool hasReachableWorker(const std::string &Vm) const;
  /// Goes on with the VMs that earlier leaders may have ordered down. The order
  /// of this leader, with a higher fencing token, keeps theirs from being
  /// carried out later.
  void resumeOrders();
  void planWave(const WaveRecord &Wave);
  void beginMaintenance(uint64_t Wave, const std::string &Vm);
  /// Commits whether an order for the VM may be carried out from now on.
  void noteOrder(uint64_t Wave, const std::string &Vm, bool IsPending);
  /// Returns true if a VM of the wave may be ordered down beside those that are
  /// down or ordered.
  bool mayOrderOneMore(uint64_t Wave) const;
  void advanceVm(const std::string &Vm, VmMaintenance &Entry);
  /// Returns false while an order of the previous leader for the VM may be
  /// outstanding.
  bool canOrder(const std::string &Vm) const;
  void sendOrder(const std::string &Vm, VmMaintenance &Entry);
  void handleOrderOutcome(uint64_t Wave, const std::string &Vm,
                          VmOrderOutcome Outcome);
  void finishVm(uint64_t Wave, const std::string &Vm);
  bool hasUnfinishedWave() const;
  /// Returns how many VMs of the wave are being drained or are down, those
  /// that an earlier leader ordered included.
  size_t unavailableVms(uint64_t Wave) const;
  /// Returns the cost of taking the VM down now: the millicores of its running
  /// tasks.
  double evictionCost(const std::string &Vm) const;
  bool isPoolBusy(const std::string &Vm) const;
  /// Returns true if the pool keeps at least half of its VMs without this one,
  /// or if no other VM of it is claimed.
  bool canPoolSpare(const std::string &Vm) const;

  const JobStore &Store;
  Dispatcher &Scheduler;
  VmPort &Port;
  TimerService &Timers;
  const MaintenanceOptions Options;
  const LeaderHooks Hooks;
  const TakeoverPause Takeover;

  std::map<std::string, VmEntry> Vms; // As of the last list.
  /// VMs that the last list names in entries that cannot be read.
  std::set<std::string> UnreadableVms;
  /// On how many lists on end VMs of unfinished waves were missing.
  std::map<std::string, int> MissingLists;
  bool HasVmList = false;
  bool ListInFlight = false;
  Instant ListRequestedAt;
  std::map<std::string, VmMaintenance> InProgress;
  std::set<std::pair<uint64_t, std::string>>
      ProposedFinishes; // By wave and VM.
  TimerId TickTimer = 0;
  // Cleared by the destructor; callbacks that may outlive this check a copy.
  std::shared_ptr<bool> Alive;
};

} // namespace mimosashunt

#endif
