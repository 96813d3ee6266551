#include "Pools/PoolPlanner.h"

#include <algorithm>
#include <cmath>

namespace mimosashunt {

void PoolPlanner::updateTargets(Instant Now, const PoolDemand &Demand,
                                double VmCores, size_t EqualShare,
                                PoolState &State) const {
  constexpr double MicrosPerSecond = 1e6;
  double Elapsed =
      static_cast<double>((Now - State.At).count()) / MicrosPerSecond;
  if (State.At > Instant() && Elapsed > 0) {
    constexpr double SmoothingFactor = 0.4;
    double Slope = (Demand.BatchCores - State.Cores) / Elapsed;
    State.Slope += SmoothingFactor * (Slope - State.Slope);
  }
  State.At = Now;
  State.Cores = Demand.BatchCores;
  double LookaheadSeconds =
      static_cast<double>(Options.DemandLookahead.count()) / MicrosPerSecond;
  double ForecastCores =
      Demand.BatchCores + std::max(0.0, State.Slope) * LookaheadSeconds;
  double Cores = ForecastCores * Options.Headroom + Demand.LongRunningCores;
  auto NeededVms =
      static_cast<size_t>(std::ceil(Cores / std::max(VmCores, 1.0)));
  State.TargetVms = std::max(NeededVms, Demand.MinVms + Options.ReserveVms);
  State.RetainedVms = std::max(State.TargetVms,
                               EqualShare * Options.RetainedSharePercent / 100);
}

/// State of the plan under construction.
struct PoolPlanner::Draft {
  Instant Now;
  std::string Standby;
  std::vector<const PoolVm *> Available; // VMs that may still be moved.
  std::map<std::string, size_t> Surplus; // VMs that each pool can give away.
  std::vector<VmMove> Moves;
};

void PoolPlanner::addMoves(const std::string &To, size_t Missing,
                           bool OnlySustained, Draft &Plan) const {
  for (auto It = Plan.Available.begin();
       Missing > 0 && It != Plan.Available.end();) {
    const PoolVm &Vm = **It;
    auto Donor = Pools.find(Vm.Pool);
    bool IsSustained =
        Donor == Pools.end() ||
        Plan.Now - Donor->second.SurplusSince >= Options.MinSurplusDuration;
    if (Vm.Pool == To || Plan.Surplus[Vm.Pool] == 0 ||
        (OnlySustained && !IsSustained)) {
      ++It;
      continue;
    }
    --Plan.Surplus[Vm.Pool];
    --Missing;
    Plan.Moves.push_back({Vm.Vm, Vm.Pool, To});
    It = Plan.Available.erase(It);
  }
}

std::vector<VmMove>
PoolPlanner::plan(Instant Now, const std::map<std::string, PoolDemand> &Demands,
                  const std::vector<PoolVm> &Vms,
                  const std::map<std::string, size_t> &Arriving) {
  std::map<std::string, size_t> VmCounts = Arriving;
  std::map<std::string, double> Cores;
  for (const PoolVm &Vm : Vms) {
    ++VmCounts[Vm.Pool];
    Cores[Vm.Pool] = std::max(Cores[Vm.Pool], Vm.Cores);
  }
  double LargestVmCores = 1;
  for (const auto &[Pool, VmCores] : Cores)
    LargestVmCores = std::max(LargestVmCores, VmCores);
  size_t ActivePools = 0;
  for (const auto &[Pool, Demand] : Demands)
    ActivePools += Demand.Standby ? 0 : 1;
  size_t EqualShare = Vms.size() / std::max<size_t>(ActivePools, 1);
  Draft Plan;
  Plan.Now = Now;
  for (const auto &[Pool, Demand] : Demands) {
    if (Demand.Standby) {
      Plan.Standby = Pool;
      continue;
    }
    PoolState &State = Pools[Pool];
    updateTargets(Now, Demand, Cores.count(Pool) ? Cores[Pool] : LargestVmCores,
                  EqualShare, State);
    bool HasSurplus = VmCounts[Pool] > State.RetainedVms;
    if (HasSurplus && !State.HasSurplus)
      State.SurplusSince = Now;
    State.HasSurplus = HasSurplus;
  }
  for (const PoolVm &Vm : Vms)
    if (Vm.IsMovable && Vm.IsIdle)
      Plan.Available.push_back(&Vm);
  // Standby VMs come first, since they cost nothing where they are; then the
  // VMs of the pools with the largest surplus.
  auto SurplusOf = [&](const PoolVm *Vm) {
    auto State = Pools.find(Vm->Pool);
    return State == Pools.end()
               ? 0
               : static_cast<int64_t>(VmCounts[Vm->Pool]) -
                     static_cast<int64_t>(State->second.RetainedVms);
  };
  std::stable_sort(Plan.Available.begin(), Plan.Available.end(),
                   [&](const PoolVm *A, const PoolVm *B) {
                     bool AIsStandby = A->Pool == Plan.Standby;
                     bool BIsStandby = B->Pool == Plan.Standby;
                     return AIsStandby != BIsStandby
                                ? AIsStandby
                                : SurplusOf(A) > SurplusOf(B);
                   });
  // First covers the demands, then what pools retain, then the standby pool.
  if (!Plan.Standby.empty())
    Plan.Surplus[Plan.Standby] = VmCounts[Plan.Standby];
  for (const auto &[Pool, State] : Pools)
    Plan.Surplus[Pool] =
        VmCounts[Pool] - std::min(VmCounts[Pool], State.TargetVms);
  std::vector<std::pair<size_t, std::string>> Deficits;
  for (const auto &[Pool, State] : Pools)
    if (VmCounts[Pool] < State.TargetVms)
      Deficits.emplace_back(State.TargetVms - VmCounts[Pool], Pool);
  std::sort(Deficits.rbegin(), Deficits.rend());
  for (const auto &[Missing, Pool] : Deficits)
    addMoves(Pool, Missing, /*OnlySustained=*/false, Plan);
  for (const VmMove &Chosen : Plan.Moves) {
    ++VmCounts[Chosen.To];
    --VmCounts[Chosen.From];
  }
  for (const auto &[Pool, State] : Pools)
    Plan.Surplus[Pool] =
        VmCounts[Pool] - std::min(VmCounts[Pool], State.RetainedVms);
  for (const auto &[Pool, State] : Pools)
    if (VmCounts[Pool] < State.RetainedVms)
      addMoves(Pool, State.RetainedVms - VmCounts[Pool], /*OnlySustained=*/true,
               Plan);
  if (Plan.Standby.empty())
    return Plan.Moves;
  Plan.Surplus[Plan.Standby] = 0;
  size_t MaxStandby = Vms.size() * Options.MaxStandbyPercent / 100;
  if (VmCounts[Plan.Standby] < MaxStandby)
    addMoves(Plan.Standby, MaxStandby - VmCounts[Plan.Standby],
             /*OnlySustained=*/true, Plan);
  return Plan.Moves;
}

size_t PoolPlanner::targetVmCount(const std::string &Pool) const {
  auto Found = Pools.find(Pool);
  return Found == Pools.end() ? 0 : Found->second.TargetVms;
}

} // namespace mimosashunt
