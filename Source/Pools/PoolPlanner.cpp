#include "Pools/PoolPlanner.h"

#include <algorithm>
#include <cmath>

namespace mimosashunt {

void PoolPlanner::follow(Instant Now, const PoolDemand &Demand, double VmCores,
                         size_t EqualShare, History &Known) const {
  constexpr double MicrosPerSecond = 1e6;
  double Elapsed =
      static_cast<double>((Now - Known.At).count()) / MicrosPerSecond;
  if (Known.At > Instant() && Elapsed > 0) {
    constexpr double NewShare = 0.4;
    double Slope = (Demand.BatchCores - Known.Cores) / Elapsed;
    Known.Slope += NewShare * (Slope - Known.Slope);
  }
  Known.At = Now;
  Known.Cores = Demand.BatchCores;
  double Lead = static_cast<double>(Options.LeadTime.count()) / MicrosPerSecond;
  double Ahead = Demand.BatchCores + std::max(0.0, Known.Slope) * Lead;
  double Cores = Ahead * Options.Headroom + Demand.LongRunningCores;
  auto Needed = static_cast<size_t>(std::ceil(Cores / std::max(VmCores, 1.0)));
  Known.Wanted = std::max(Needed, Demand.MinVms + Options.ReserveVms);
  Known.Kept =
      std::max(Known.Wanted, EqualShare * Options.KeptSharePercent / 100);
}

/// A plan in the making.
struct PoolPlanner::Draft {
  Instant Now;
  std::string Standby;
  std::vector<const PoolVm *> Free;    // What may still be moved.
  std::map<std::string, size_t> Spare; // VMs that each pool can give.
  std::vector<VmMove> Moves;
};

void PoolPlanner::fill(const std::string &To, size_t Missing, bool OnlySettled,
                       Draft &Plan) const {
  for (auto It = Plan.Free.begin(); Missing > 0 && It != Plan.Free.end();) {
    const PoolVm &Vm = **It;
    auto Giver = Pools.find(Vm.Pool);
    bool Settled = Giver == Pools.end() ||
                   Plan.Now - Giver->second.EnoughSince >= Options.SpareTime;
    if (Vm.Pool == To || Plan.Spare[Vm.Pool] == 0 ||
        (OnlySettled && !Settled)) {
      ++It;
      continue;
    }
    --Plan.Spare[Vm.Pool];
    --Missing;
    Plan.Moves.push_back({Vm.Vm, Vm.Pool, To});
    It = Plan.Free.erase(It);
  }
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
  size_t Served = 0;
  for (const auto &[Pool, Demand] : Demands)
    Served += Demand.Standby ? 0 : 1;
  size_t EqualShare = Vms.size() / std::max<size_t>(Served, 1);
  Draft Plan;
  Plan.Now = Now;
  for (const auto &[Pool, Demand] : Demands) {
    if (Demand.Standby) {
      Plan.Standby = Pool;
      continue;
    }
    History &Known = Pools[Pool];
    follow(Now, Demand, Cores.count(Pool) ? Cores[Pool] : AnyCores, EqualShare,
           Known);
    bool HasSpare = Have[Pool] > Known.Kept;
    if (HasSpare && !Known.HasSpare)
      Known.EnoughSince = Now;
    Known.HasSpare = HasSpare;
  }
  for (const PoolVm &Vm : Vms)
    if (Vm.Movable && Vm.Empty)
      Plan.Free.push_back(&Vm);
  // VMs that stand by cost nothing where they are, so they go first; then those
  // of pools that have most beyond what they keep.
  auto Beyond = [&](const PoolVm *Vm) {
    auto Known = Pools.find(Vm->Pool);
    return Known == Pools.end() ? 0
                                : static_cast<int64_t>(Have[Vm->Pool]) -
                                      static_cast<int64_t>(Known->second.Kept);
  };
  std::stable_sort(Plan.Free.begin(), Plan.Free.end(),
                   [&](const PoolVm *A, const PoolVm *B) {
                     bool First = A->Pool == Plan.Standby;
                     bool Second = B->Pool == Plan.Standby;
                     return First != Second ? First : Beyond(A) > Beyond(B);
                   });
  // First what a demand asks for, then what pools keep, then the standby pool.
  if (!Plan.Standby.empty())
    Plan.Spare[Plan.Standby] = Have[Plan.Standby];
  for (const auto &[Pool, Known] : Pools)
    Plan.Spare[Pool] = Have[Pool] - std::min(Have[Pool], Known.Wanted);
  std::vector<std::pair<size_t, std::string>> Short;
  for (const auto &[Pool, Known] : Pools)
    if (Have[Pool] < Known.Wanted)
      Short.emplace_back(Known.Wanted - Have[Pool], Pool);
  std::sort(Short.rbegin(), Short.rend());
  for (const auto &[Missing, Pool] : Short)
    fill(Pool, Missing, /*OnlySettled=*/false, Plan);
  for (const VmMove &Chosen : Plan.Moves) {
    ++Have[Chosen.To];
    --Have[Chosen.From];
  }
  for (const auto &[Pool, Known] : Pools)
    Plan.Spare[Pool] = Have[Pool] - std::min(Have[Pool], Known.Kept);
  for (const auto &[Pool, Known] : Pools)
    if (Have[Pool] < Known.Kept)
      fill(Pool, Known.Kept - Have[Pool], /*OnlySettled=*/true, Plan);
  if (Plan.Standby.empty())
    return Plan.Moves;
  Plan.Spare[Plan.Standby] = 0;
  size_t Most = Vms.size() * Options.MostStandbyPercent / 100;
  if (Have[Plan.Standby] < Most)
    fill(Plan.Standby, Most - Have[Plan.Standby], /*OnlySettled=*/true, Plan);
  return Plan.Moves;
}

size_t PoolPlanner::wanted(const std::string &Pool) const {
  auto Found = Pools.find(Pool);
  return Found == Pools.end() ? 0 : Found->second.Wanted;
}

} // namespace mimosashunt
