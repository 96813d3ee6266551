// Decides how many VMs each pool should have and which VMs move. Load pattern:
// queues burst in turn beyond what their own pool holds while the others idle;
// a VM in a pool is paid for by the second, one in the standby pool is not, and
// a move costs about as much as a second of it and takes longer than that.

#ifndef MIMOSASHUNT_POOLS_POOLPLANNER_H
#define MIMOSASHUNT_POOLS_POOLPLANNER_H

#include "Core/Time.h"
#include "Scheduling/Dispatcher.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mimosashunt {

/// A VM that could be moved now.
struct PoolVm {
  std::string Vm;
  std::string Pool;
  std::string Kind; // VMs move only among pools of their kind.
  double Cores = 0;
  bool Empty = false;   // Nothing runs on it.
  bool Movable = false; // Up, in touch and not under maintenance.
};

struct VmMove {
  std::string Vm;
  std::string From;
  std::string To;
  bool operator==(const VmMove &) const = default;
};

struct PoolPlannerOptions {
  /// Room beyond the demand, as a factor.
  double Headroom = 1.15;
  /// How far ahead a rising demand is followed: a move and its first report.
  Duration LeadTime = milliseconds(1700);
  /// A pool must have had VMs to spare for so long before it gives one away to
  /// the standby pool; twice the price of a move is earned back in that time.
  Duration SpareTime = milliseconds(4000);
  /// VMs that a pool keeps beyond its long-running tasks' fewest.
  size_t ReserveVms = 1;
  /// Part of an equal share of all VMs that a pool gets back after it lent
  /// some, in percent: its burst may come while the platform cannot be reached.
  size_t KeptSharePercent = 70;
  /// Most of all VMs that stand by, in percent.
  size_t MostStandbyPercent = 25;
};

class PoolPlanner {
public:
  explicit PoolPlanner(PoolPlannerOptions Options) : Options(Options) {}

  /// \p Arriving counts the VMs that are on their way to each pool.
  std::vector<VmMove> plan(Instant Now,
                           const std::map<std::string, PoolDemand> &Demands,
                           const std::vector<PoolVm> &Vms,
                           const std::map<std::string, size_t> &Arriving);

  /// VMs that the pool should have by the last plan.
  size_t wanted(const std::string &Pool) const;

private:
  struct History {
    Instant At;
    double Cores = 0;
    double Slope = 0;    // Cores a second, smoothed.
    size_t Wanted = 0;   // For its demand.
    size_t Kept = 0;     // When others need nothing; at least Wanted.
    Instant EnoughSince; // Since when it has had VMs to spare.
    bool HasSpare = false;
  };

  void follow(Instant Now, const PoolDemand &Demand, double VmCores,
              size_t EqualShare, History &Known) const;

  /// Moves free VMs to \p To while \p Missing and givers with VMs to spare
  /// last.
  struct Draft;
  void fill(const std::string &To, size_t Missing, bool OnlySettled,
            Draft &Plan) const;

  const PoolPlannerOptions Options;
  std::map<std::string, History> Pools;
};

} // namespace mimosashunt

#endif
