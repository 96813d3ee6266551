// Plans drains within the availability budgets of all services.

#include "Core/WavePlanner.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace mimosashunt {

namespace {

/// A waiting VM of a wave.
struct Candidate {
  const std::string &wave() const { return *Wave; }
  const std::string &vm() const { return *Vm; }

  // Orders by failure domain, so that a wave finishes one rack before it starts
  // the next and a correlated failure meets few partly maintained domains.
  bool operator<(const Candidate &Other) const {
    return std::tie(Record->DataCentre, Record->Rack, *Vm, *Wave) <
           std::tie(Other.Record->DataCentre, Other.Record->Rack, *Other.Vm,
                    *Other.Wave);
  }

  // These point into the fleet state, which outlives the plan.
  const VmRecord *Record;
  const std::string *Vm;
  const std::string *Wave;
};

/// Tracks the live instances of each service while the plan drains VMs.
class AvailabilityBudgets {
public:
  AvailabilityBudgets(const FleetState &State,
                      const FleetStatus &LatestStatus) {
    std::set<std::string> Draining = State.drainingVms();
    LiveInstances Live = LatestStatus.liveInstances();
    for (const auto &[Team, Record] : State.documents())
      for (const ServiceSpec &Service : Record.Document.Services)
        addService(Service, Live.byVm(Service.Name), Draining);
  }

  /// Returns the name of a service whose budget forbids draining \p Vm in \p
  /// Pool, or an empty string.
  std::string findBlockingService(const std::string &Vm,
                                  const std::string &Pool) const {
    auto Instances = InstancesOnVm.find(Vm);
    if (Instances != InstancesOnVm.end())
      for (const auto &[Service, Count] : Instances->second)
        if (Services[Service].Live < Services[Service].Required + Count)
          return Services[Service].Name;
    // A service that has too few instances anywhere in a pool blocks all drains
    // in that pool.
    auto Blocking = UnderstaffedServices.find(Pool);
    return Blocking == UnderstaffedServices.end()
               ? std::string()
               : Services[Blocking->second].Name;
  }

  /// Removes the instances on \p Vm from the budgets.
  void removeVm(const std::string &Vm) {
    auto Instances = InstancesOnVm.find(Vm);
    if (Instances == InstancesOnVm.end())
      return;
    // The caller drains only VMs that no service blocks, so no service falls
    // below its required number of instances.
    for (const auto &[Service, Count] : Instances->second)
      Services[Service].Live -= Count;
    InstancesOnVm.erase(Instances);
  }

private:
  struct ServiceBudget {
    std::string Name;
    uint32_t Required;
    uint32_t Live;
  };
  using Index = size_t; // Position in Services.

  void addService(const ServiceSpec &Service, const InstancesByVm &ByVm,
                  const std::set<std::string> &Draining) {
    Index ServiceIndex = Services.size();
    uint32_t Live = 0;
    for (const auto &[Vm, Count] : ByVm) {
      if (Draining.contains(Vm))
        continue;
      Live += Count;
      InstancesOnVm[Vm].push_back({ServiceIndex, Count});
    }
    Services.push_back({Service.Name, Service.requiredInstances(), Live});
    if (Live < Service.requiredInstances())
      for (const std::string &Pool : Service.Pools)
        UnderstaffedServices.try_emplace(Pool, ServiceIndex);
  }

  std::vector<ServiceBudget> Services;
  // Instances that count as live, by VM and service. VMs that are being drained
  // are left out.
  std::unordered_map<std::string, std::vector<std::pair<Index, uint32_t>>>
      InstancesOnVm;
  // For each pool, a service that has fewer live instances than it requires.
  std::unordered_map<std::string, Index> UnderstaffedServices;
};

/// Waiting VMs of all waves, grouped by failure domain.
std::vector<Candidate> waitingVms(const FleetState &State) {
  std::vector<Candidate> Result;
  for (const auto &[Name, Wave] : State.waves())
    for (const std::string &Vm : Wave.WaitingVms) {
      Result.push_back({&State.vms().at(Vm), &Vm, &Name});
    }
  std::sort(Result.begin(), Result.end());
  return Result;
}

/// Computes how many VMs a policy allows to drain in addition to those that are
/// draining.
struct MaxNewDrains {
  size_t Draining;

  size_t operator()(const OneAtATime &) const { return Draining > 0 ? 0 : 1; }
  size_t operator()(const FixedBatch &Batch) const {
    return Draining > 0 ? 0 : Batch.Size;
  }
  size_t operator()(const BudgetLimited &) const {
    return std::numeric_limits<size_t>::max();
  }
};

} // namespace

WavePlan WavePlanner::plan(const FleetState &State,
                           const FleetStatus &LatestStatus) const {
  WavePlan Plan;
  std::vector<Candidate> Waiting = waitingVms(State);
  if (Waiting.empty())
    return Plan;
  AvailabilityBudgets Budgets(State, LatestStatus);
  size_t Allowed = std::visit(MaxNewDrains{State.drainingVms().size()}, Policy);
  for (const Candidate &Next : Waiting) {
    auto AddObstacle = [&](std::string Reason) {
      Plan.Obstacles.push_back({Next.wave(), Next.vm(), std::move(Reason)});
    };
    if (Plan.Grants.size() >= Allowed) {
      AddObstacle("the wave policy allows no more VMs at once");
      continue;
    }
    std::optional<VmStatus> Status = LatestStatus.vmStatus(Next.vm());
    if (!Status) {
      AddObstacle("the platform does not report the VM");
      continue;
    }
    std::string Blocking =
        Budgets.findBlockingService(Next.vm(), Next.Record->Pool);
    if (!Blocking.empty()) {
      AddObstacle("availability budget of service " + Blocking);
      continue;
    }
    Budgets.removeVm(Next.vm());
    Plan.Grants.push_back({Next.wave(), Next.vm(), Status->Boots});
  }
  return Plan;
}

} // namespace mimosashunt
