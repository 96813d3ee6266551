#include "Pools/PoolPlanner.h"

#include <algorithm>
#include <cmath>

namespace mimosashunt {

void PoolPlanner::follow(Instant Now, const PoolDemand &Demand, double VmCores,
                         History &Known) const {
  constexpr double MicrosPerSecond = 1e6;
  double Elapsed =
      static_cast<double>((Now - Known.At).count()) / MicrosPerSecond;
  if (Known.At > Instant() && Elapsed > 0) {
    constexpr double NewShare = 0.4;
    double Slope = (Demand.PassingCores - Known.Cores) / Elapsed;
    Known.Slope += NewShare * (Slope - Known.Slope);
  }
  Known.At = Now;
  Known.Cores = Demand.PassingCores;
  double Lead = static_cast<double>(Options.LeadTime.count()) / MicrosPerSecond;
  double Ahead = Demand.PassingCores + std::max(0.0, Known.Slope) * Lead;
  double Cores = Ahead * Options.Headroom + Demand.LastingCores;
  auto Needed = static_cast<size_t>(std::ceil(Cores / std::max(VmCores, 1.0)));
  Known.Wanted = std::max(Needed, Demand.FewestVms + Options.ReserveVms);
}

std::vector<VmMove>
PoolPlanner::plan(Instant Now, const std::map<std::string, PoolDemand> &Demands,
                  const std::vector<PoolVm> &Vms,
                  const std::map<std::string, size_t> &Arriving) {
  std::map<std::string, size_t> Have = Arriving;
  std::map<std::string, double> Cores;
  for (const PoolVm &Vm : Vms) {
    ++Have[Vm.Pool];
    Cores[Vm.Pool] = std::max(Cores[Vm.Pool], Vm.Cores);
  }
  double AnyCores = 1;
  for (const auto &[Pool, Size] : Cores)
    AnyCores = std::max(AnyCores, Size);
  std::string Standby;
  std::vector<std::pair<size_t, std::string>> Short;
  std::map<std::string, size_t> Spare;
  for (const auto &[Pool, Demand] : Demands) {
    if (Demand.Standby) {
      Standby = Pool;
      Spare[Pool] = Have[Pool];
      continue;
    }
    History &Known = Pools[Pool];
    follow(Now, Demand, Cores.count(Pool) ? Cores[Pool] : AnyCores, Known);
    bool HasSpare = Have[Pool] > Known.Wanted;
    if (HasSpare && !Known.HasSpare)
      Known.EnoughSince = Now;
    Known.HasSpare = HasSpare;
    if (HasSpare)
      Spare[Pool] = Have[Pool] - Known.Wanted;
    else if (Have[Pool] < Known.Wanted)
      Short.emplace_back(Known.Wanted - Have[Pool], Pool);
  }
  std::sort(Short.rbegin(), Short.rend());
  std::vector<VmMove> Moves;
  std::vector<const PoolVm *> Free;
  for (const PoolVm &Vm : Vms)
    if (Vm.Movable && Vm.Empty)
      Free.push_back(&Vm);
  // VMs that stand by cost nothing where they are, so they go first.
  std::stable_sort(Free.begin(), Free.end(),
                   [&](const PoolVm *A, const PoolVm *B) {
                     return (A->Pool == Standby) > (B->Pool == Standby);
                   });
  auto take = [&](const std::string &To, bool OnlySettled) -> bool {
    for (auto It = Free.begin(); It != Free.end(); ++It) {
      const PoolVm &Vm = **It;
      bool Settled = Pools.count(Vm.Pool) == 0 ||
                     Now - Pools[Vm.Pool].EnoughSince >= Options.SpareTime;
      if (Vm.Pool == To || Spare[Vm.Pool] == 0 || (OnlySettled && !Settled))
        continue;
      --Spare[Vm.Pool];
      Moves.push_back({Vm.Vm, Vm.Pool, To});
      Free.erase(It);
      return true;
    }
    return false;
  };
  for (auto &[Missing, Pool] : Short)
    while (Missing > 0 && take(Pool, /*OnlySettled=*/false))
      --Missing;
  if (Standby.empty())
    return Moves;
  Spare[Standby] = 0;
  while (take(Standby, /*OnlySettled=*/true)) {
  }
  return Moves;
}

size_t PoolPlanner::wanted(const std::string &Pool) const {
  auto Found = Pools.find(Pool);
  return Found == Pools.end() ? 0 : Found->second.Wanted;
}

} // namespace mimosashunt
