#include "Core/SlicePlanner.h"

#include <algorithm>

namespace mimosashunt {

namespace {

struct Holder {
  EntryRun Run;
  uint32_t Held = 0;
  uint32_t Demand = 0; // Running and waiting together.
  uint32_t Target = 0;
};

std::vector<Holder> holdersOf(const std::string &Team, const FleetState &State,
                              const FleetStatus &Picture) {
  std::vector<Holder> Result;
  for (const auto &[Vm, Entry] : State.entryVms()) {
    EntryRun Run{Vm, Entry.Incarnation};
    auto Heard = Picture.latestReports().find(Run);
    if (Entry.IsExpired || Heard == Picture.latestReports().end() ||
        !Picture.isFresh(Heard->second))
      continue;
    Holder Item{Run};
    if (auto Slice = State.slice(Team, Run))
      Item.Held = Slice->Count;
    for (const TeamUsage &Usage : Heard->second.Report.Teams)
      if (Usage.Team == Team)
        Item.Demand = Usage.Running + Usage.Waiting;
    Result.push_back(Item);
  }
  return Result;
}

/// Max-min fair division of \p Limit by demand; what nobody demands is spread
/// evenly, so that a burst anywhere finds some room at once.
void setTargets(std::vector<Holder> &Holders, uint32_t Limit) {
  uint32_t Left = Limit;
  for (bool Demanded : {true, false}) {
    bool Progress = true;
    while (Left > 0 && Progress) {
      Progress = false;
      for (Holder &Item : Holders) {
        bool Wants = !Demanded || Item.Target < Item.Demand;
        if (Left == 0 || !Wants)
          continue;
        ++Item.Target;
        --Left;
        Progress = true;
      }
    }
  }
}

} // namespace

SlicePlan SlicePlanner::plan(const FleetState &State,
                             const FleetStatus &Picture) const {
  SlicePlan Plan;
  for (const auto &[Team, Record] : State.documents()) {
    uint32_t Limit = Record.Document.Limit;
    std::vector<Holder> Holders = holdersOf(Team, State, Picture);
    uint32_t Granted = State.sliceTotal(Team);
    uint32_t HeldByOthers = Granted;
    for (const Holder &Item : Holders)
      HeldByOthers -= Item.Held;
    setTargets(Holders, Limit > HeldByOthers ? Limit - HeldByOthers : 0);
    uint32_t Free = Limit > Granted ? Limit - Granted : 0;
    bool Starved = false;
    for (const Holder &Item : Holders) {
      uint32_t Missing = Item.Target > Item.Held ? Item.Target - Item.Held : 0;
      uint32_t Add = std::min(Missing, Free);
      if (Add > 0)
        Plan.Grants.push_back({Item.Run, Team, Add});
      Free -= Add;
      Starved = Starved || (Item.Held + Add < Item.Demand);
    }
    // Unused room moves only when somebody waits for it, or the limit sank.
    if (!Starved && Granted <= Limit)
      continue;
    for (const Holder &Item : Holders)
      if (Item.Target < Item.Held)
        Plan.Wanted[{Team, FleetState::holderName(Item.Run)}] = Item.Target;
  }
  return Plan;
}

} // namespace mimosashunt
