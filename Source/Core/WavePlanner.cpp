#include "Core/WavePlanner.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace mimosashunt {

namespace {

struct Candidate {
  const std::string &wave() const { return *Wave; }
  const std::string &vm() const { return *Vm; }

  // By failure domain, so that a wave is through with one rack before the
  // next and a correlated loss meets few half-maintained domains.
  bool operator<(const Candidate &Other) const {
    return std::tie(Record->DataCentre, Record->Rack, *Vm, *Wave) <
           std::tie(Other.Record->DataCentre, Other.Record->Rack, *Other.Vm,
                    *Other.Wave);
  }

  // All of the state, which outlives the plan.
  const VmRecord *Record;
  const std::string *Vm;
  const std::string *Wave;
};

/// Live instances of each service, reduced by what is drained.
class Budgets {
public:
  Budgets(const FleetState &State, const FleetStatus &Picture) {
    std::set<std::string> Draining = State.drainingVms();
    LiveInstances Live = Picture.liveInstances();
    for (const auto &[Team, Record] : State.documents())
      for (const ServiceSpec &Service : Record.Document.Services)
        add(Service, Live.byVm(Service.Name), Draining);
  }

  /// Name of a service whose budget forbids draining \p Vm, or empty.
  std::string blocking(const std::string &Vm, const std::string &Pool) const {
    auto Instances = OnVm.find(Vm);
    if (Instances != OnVm.end())
      for (const auto &[Service, Count] : Instances->second)
        if (Services[Service].Live < Services[Service].Required + Count)
          return Services[Service].Name;
    // A service that is short anywhere in the pool keeps the whole pool.
    auto Short = ShortIn.find(Pool);
    return Short == ShortIn.end() ? std::string()
                                  : Services[Short->second].Name;
  }

  void drain(const std::string &Vm) {
    auto Instances = OnVm.find(Vm);
    if (Instances == OnVm.end())
      return;
    // What a drain takes never makes a service short: blocking() forbids it.
    for (const auto &[Service, Count] : Instances->second)
      Services[Service].Live -= Count;
    OnVm.erase(Instances);
  }

private:
  struct Item {
    std::string Name;
    uint32_t Required;
    uint32_t Live;
  };
  using Index = size_t; // Into Services.

  void add(const ServiceSpec &Service, const InstancesByVm &ByVm,
           const std::set<std::string> &Draining) {
    Index At = Services.size();
    uint32_t Live = 0;
    for (const auto &[Vm, Count] : ByVm) {
      if (Draining.contains(Vm))
        continue;
      Live += Count;
      OnVm[Vm].push_back({At, Count});
    }
    Services.push_back({Service.Name, Service.requiredInstances(), Live});
    if (Live < Service.requiredInstances())
      for (const std::string &Pool : Service.Pools)
        ShortIn.try_emplace(Pool, At);
  }

  std::vector<Item> Services;
  // Instances that count as live, by VM and service.
  std::unordered_map<std::string, std::vector<std::pair<Index, uint32_t>>> OnVm;
  // A service of the pool that has fewer instances than it requires.
  std::unordered_map<std::string, Index> ShortIn;
};

std::vector<Candidate> candidates(const FleetState &State) {
  std::vector<Candidate> Result;
  for (const auto &[Name, Wave] : State.waves())
    for (const std::string &Vm : Wave.WaitingVms) {
      Result.push_back({&State.vms().at(Vm), &Vm, &Name});
    }
  std::sort(Result.begin(), Result.end());
  return Result;
}

struct Allowance {
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
                           const FleetStatus &Picture) const {
  WavePlan Plan;
  std::vector<Candidate> Waiting = candidates(State);
  if (Waiting.empty())
    return Plan;
  Budgets Left(State, Picture);
  size_t Allowed = std::visit(Allowance{State.drainingVms().size()}, Policy);
  for (const Candidate &Next : Waiting) {
    auto Hold = [&](std::string Reason) {
      Plan.Obstacles.push_back({Next.wave(), Next.vm(), std::move(Reason)});
    };
    if (Plan.Grants.size() >= Allowed) {
      Hold("the wave policy allows no more VMs at once");
      continue;
    }
    std::optional<VmStatus> Status = Picture.vmStatus(Next.vm());
    if (!Status) {
      Hold("the platform does not report the VM");
      continue;
    }
    std::string Blocking = Left.blocking(Next.vm(), Next.Record->Pool);
    if (!Blocking.empty()) {
      Hold("availability budget of service " + Blocking);
      continue;
    }
    Left.drain(Next.vm());
    Plan.Grants.push_back({Next.wave(), Next.vm(), Status->Boots});
  }
  return Plan;
}

} // namespace mimosashunt
