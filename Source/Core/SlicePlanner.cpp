// Plans slices by max-min fair division of each team's limit.

#include "Core/SlicePlanner.h"

#include <algorithm>

namespace mimosashunt {

namespace {

/// An entry VM that can hold a slice, with its slice, demand and fair share.
struct Holder {
  EntryRun Run;
  uint32_t Held = 0;
  uint32_t Demand = 0; // Running and waiting requests together.
  uint32_t Target = 0;
};

/// The registered entry VMs that report in time, with their slice and demand
/// for \p Team.
std::vector<Holder> activeHolders(const std::string &Team,
                                  const FleetState &State,
                                  const FleetStatus &LatestStatus) {
  std::vector<Holder> Result;
  for (const auto &[Vm, Entry] : State.entryVms()) {
    EntryRun Run{Vm, Entry.Incarnation};
    auto Heard = LatestStatus.latestReports().find(Run);
    if (Entry.IsExpired || Heard == LatestStatus.latestReports().end() ||
        !LatestStatus.isFresh(Heard->second))
      continue;
    Holder H{Run};
    if (auto Slice = State.slice(Team, Run))
      H.Held = Slice->Count;
    for (const TeamUsage &Usage : Heard->second.Report.Teams)
      if (Usage.Team == Team)
        H.Demand = Usage.Running + Usage.Waiting;
    Result.push_back(H);
  }
  return Result;
}

/// Sets targets by max-min fair division of \p Limit. What exceeds the total
/// demand is spread evenly, so that a burst on any entry VM finds capacity at
/// once.
void computeTargets(std::vector<Holder> &Holders, uint32_t Limit) {
  uint32_t Remaining = Limit;
  for (bool CapAtDemand : {true, false}) {
    bool Progress = true;
    while (Remaining > 0 && Progress) {
      Progress = false;
      for (Holder &H : Holders) {
        bool AcceptsMore = !CapAtDemand || H.Target < H.Demand;
        if (Remaining == 0 || !AcceptsMore)
          continue;
        ++H.Target;
        --Remaining;
        Progress = true;
      }
    }
  }
}

} // namespace

SlicePlan SlicePlanner::plan(const FleetState &State,
                             const FleetStatus &LatestStatus) const {
  SlicePlan Plan;
  for (const auto &[Team, Record] : State.documents()) {
    uint32_t Limit = Record.Document.Limit;
    std::vector<Holder> Holders = activeHolders(Team, State, LatestStatus);
    uint32_t Granted = State.sliceTotal(Team);
    uint32_t HeldByOthers = Granted;
    for (const Holder &H : Holders)
      HeldByOthers -= H.Held;
    computeTargets(Holders, Limit > HeldByOthers ? Limit - HeldByOthers : 0);
    uint32_t Unassigned = Limit > Granted ? Limit - Granted : 0;
    bool HasUnmetDemand = false;
    for (const Holder &H : Holders) {
      uint32_t Shortfall = H.Target > H.Held ? H.Target - H.Held : 0;
      uint32_t Add = std::min(Shortfall, Unassigned);
      if (Add > 0)
        Plan.Grants.push_back({H.Run, Team, Add});
      Unassigned -= Add;
      HasUnmetDemand = HasUnmetDemand || (H.Held + Add < H.Demand);
    }
    // Holders are asked to shrink only if another entry VM has unmet demand, or
    // if the limit was lowered.
    if (!HasUnmetDemand && Granted <= Limit)
      continue;
    for (const Holder &H : Holders)
      if (H.Target < H.Held)
        Plan.ShrinkTargets[{Team, FleetState::holderName(H.Run)}] = H.Target;
  }
  return Plan;
}

} // namespace mimosashunt
