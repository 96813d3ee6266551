// Decides how many VMs each pool should have and which VMs move. Load pattern:
// queues burst in turn beyond the capacity of their own pool while the others
// idle. A VM in a pool is paid for by the second, one in the standby pool is
// free; a move costs about as much as one VM-second and takes longer than a
// second.

#ifndef MIMOSASHUNT_POOLS_POOLPLANNER_H
#define MIMOSASHUNT_POOLS_POOLPLANNER_H

#include "Core/Time.h"
#include "Scheduling/Dispatcher.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mimosashunt {

/// A VM that is a candidate for a move.
struct PoolVm {
  std::string Vm;
  std::string Pool;
  std::string Kind; // VMs move only between pools of their kind.
  double Cores = 0;
  bool IsIdle = false;    // No task runs on the VM.
  bool IsMovable = false; // Up, reachable and not under maintenance.
};

/// One move of a VM between pools.
struct VmMove {
  std::string Vm;
  std::string From;
  std::string To;
  bool operator==(const VmMove &) const = default;
};

struct PoolPlannerOptions {
  /// Factor on the demand that leaves spare capacity.
  double Headroom = 1.15;
  /// How far ahead a rising demand is extrapolated: the time of a move and of
  /// the first report after it.
  Duration DemandLookahead = milliseconds(1700);
  /// A pool must have had surplus VMs for this long before it gives one to the
  /// standby pool. Standby saves twice the price of a move in that time.
  Duration MinSurplusDuration = milliseconds(4000);
  /// VMs that a pool retains beyond the minimum for its long-running tasks.
  size_t ReserveVms = 1;
  /// Percentage of an equal share of all VMs that a pool gets back after it has
  /// lent some: its next burst may come while the platform is unreachable.
  size_t RetainedSharePercent = 70;
  /// Maximum percentage of all VMs in the standby pool.
  size_t MaxStandbyPercent = 25;
};

/// Plans moves from the demand and the VMs of each pool; keeps the demand
/// history that the forecast needs.
class PoolPlanner {
public:
  explicit PoolPlanner(PoolPlannerOptions Options) : Options(Options) {}

  /// Returns the moves to order now. \p Arriving counts the VMs in transit to
  /// each pool.
  std::vector<VmMove> plan(Instant Now,
                           const std::map<std::string, PoolDemand> &Demands,
                           const std::vector<PoolVm> &Vms,
                           const std::map<std::string, size_t> &Arriving);

  /// Returns the VMs that the pool should have according to the last plan.
  size_t targetVmCount(const std::string &Pool) const;

private:
  struct PoolState {
    Instant At;
    double Cores = 0;
    double Slope =
        0; // Growth of the demand in cores a second, exponentially smoothed.
    size_t TargetVms = 0; // Number of VMs that the demand requires.
    size_t RetainedVms =
        0; // Number retained while no other pool needs VMs; at least TargetVms.
    Instant SurplusSince; // Start of the present surplus.
    bool HasSurplus = false;
  };

  /// Updates the forecast of a pool and the numbers of VMs that follow from it.
  void updateTargets(Instant Now, const PoolDemand &Demand, double VmCores,
                     size_t EqualShare, PoolState &State) const;

  struct Draft;
  /// Adds moves of available VMs to \p To until \p Missing VMs are found or the
  /// donors have no surplus left. \p OnlySustained limits the donors to those
  /// whose surplus has lasted for MinSurplusDuration.
  void addMoves(const std::string &To, size_t Missing, bool OnlySustained,
                Draft &Plan) const;

  const PoolPlannerOptions Options;
  std::map<std::string, PoolState> Pools;
};

} // namespace mimosashunt

#endif
