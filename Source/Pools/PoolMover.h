// Executes the moves that the pool planner chooses through the platform and
// tracks the VMs in transit.

#ifndef MIMOSASHUNT_POOLS_POOLMOVER_H
#define MIMOSASHUNT_POOLS_POOLMOVER_H

#include "Core/TimerService.h"
#include "Jobs/ServiceConfiguration.h"
#include "Pools/PoolPlanner.h"
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

struct PoolMoverOptions {
  Duration TickInterval = milliseconds(200);
  Duration ListInterval = seconds(2);
  TakeoverPauseOptions Takeover;
  /// A move that has not completed within this time is no longer tracked; the
  /// next list shows where the VM is.
  Duration MoveTimeout = seconds(6);
  /// Orders a second that the platform accepts from all its clients;
  /// OrderRateShare is the part used for moves, and the rest is left for
  /// maintenance.
  double OrdersPerSecond = 4;
  double OrderRateShare = 0.75;
  PoolPlannerOptions Planner;
};

/// Runs on the leader only and is rebuilt with each leadership.
class PoolMover {
public:
  /// \p IsUnderMaintenance tells whether a VM is being prepared for maintenance
  /// or maintained.
  PoolMover(const ServiceConfiguration &Configuration, Dispatcher &Scheduler,
            VmPort &Port, TimerService &Timers, PoolMoverOptions Options,
            LeaderHooks Hooks,
            std::function<bool(const std::string &)> IsUnderMaintenance);
  ~PoolMover();
  PoolMover(const PoolMover &) = delete;
  PoolMover &operator=(const PoolMover &) = delete;

  size_t movesInFlight() const { return InFlight.size(); }

private:
  struct Move {
    std::string To;
    Instant Since; // When the order was sent, then when it was accepted.
    bool IsAccepted = false; // The platform has accepted the order.
  };

  void onTick();
  void requestVmList();
  std::map<std::string, PoolDemand> collectDemands() const;
  std::vector<PoolVm> listCandidates();
  /// Ends moves that have timed out, or that were carried out without an
  /// answer.
  void endUnansweredMoves();
  /// Returns true if a worker on the VM reports the pool.
  bool hasArrived(const std::string &Vm, const std::string &Pool) const;
  void sendOrder(const VmMove &Chosen);
  /// \p OrderedWorkers were on the VM when the order was sent; it ends no
  /// others.
  void handleOrderOutcome(const VmMove &Chosen,
                          const std::set<WorkerKey> &OrderedWorkers,
                          VmOrderOutcome Outcome);

  const ServiceConfiguration &Configuration;
  Dispatcher &Scheduler;
  VmPort &Port;
  TimerService &Timers;
  const PoolMoverOptions Options;
  const LeaderHooks Hooks;
  const std::function<bool(const std::string &)> IsUnderMaintenance;
  const TakeoverPause Takeover;
  PoolPlanner Planner;

  std::map<std::string, VmEntry>
      Vms; // As of the last list, updated by accepted moves.
  bool HasVmList = false;
  bool ListInFlight = false;
  Instant ListRequestedAt;
  std::map<std::string, Move> InFlight; // Moves, by VM.
  TimerId TickTimer = 0;
  // Cleared by the destructor; callbacks that may outlive this check a copy.
  std::shared_ptr<bool> Alive;
};

} // namespace mimosashunt

#endif
