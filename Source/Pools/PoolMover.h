// Carries the pool planner's moves out through the platform and keeps track of
// VMs that are on their way.

#ifndef MIMOSASHUNT_POOLS_POOLMOVER_H
#define MIMOSASHUNT_POOLS_POOLMOVER_H

#include "Core/TimerService.h"
#include "Jobs/ServiceConfiguration.h"
#include "Pools/PoolPlanner.h"
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
  /// No order within this time after the leadership began, since the leader
  /// before may just have given one.
  Duration OrderGracePeriod = milliseconds(3100);
  /// A VM that was moved is expected back by then; otherwise the list tells.
  Duration MoveTimeout = seconds(6);
  /// Orders that the platform takes from everybody; a part of it is left for
  /// maintenance.
  double OrdersPerSecond = 4;
  double OrderRateShare = 0.75;
  PoolPlannerOptions Planner;
};

class PoolMover {
public:
  /// \p Reserved tells whether a VM is under maintenance.
  PoolMover(const ServiceConfiguration &Configuration, Dispatcher &Scheduler,
            VmPort &Port, TimerService &Timers, PoolMoverOptions Options,
            LeaderHooks Hooks,
            std::function<bool(const std::string &)> Reserved);
  ~PoolMover();
  PoolMover(const PoolMover &) = delete;
  PoolMover &operator=(const PoolMover &) = delete;

  size_t movesInFlight() const { return UnderWay.size(); }

private:
  struct Move {
    std::string To;
    Instant Since;
    bool Taken = false; // The platform has taken the order.
  };

  void onTick();
  void refreshList();
  std::map<std::string, PoolDemand> demands() const;
  std::vector<PoolVm> movable();
  void order(const VmMove &Chosen);
  void ordered(const VmMove &Chosen, VmOrderOutcome Outcome);

  const ServiceConfiguration &Configuration;
  Dispatcher &Scheduler;
  VmPort &Port;
  TimerService &Timers;
  const PoolMoverOptions Options;
  const LeaderHooks Hooks;
  const std::function<bool(const std::string &)> Reserved;
  const Instant Began;
  PoolPlanner Planner;

  std::map<std::string, VmEntry> Vms; // By the last list, with moves since.
  bool ListRead = false;
  bool ListUnderWay = false;
  Instant ListAskedAt;
  std::map<std::string, Move> UnderWay; // By VM.
  TimerId TickTimer = 0;
  std::shared_ptr<bool> Alive;
};

} // namespace mimosashunt

#endif
