#include "Core/KeeperPlanner.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace mimosashunt {

namespace {

using Runs = std::map<std::string, uint64_t>;

std::set<EntryRun> notLost(const KeeperSet &Set, const Runs &Of) {
  std::set<EntryRun> Result;
  for (const auto &[Vm, Incarnation] : Of)
    if (!Set.isLost({Vm, Incarnation}))
      Result.insert({Vm, Incarnation});
  return Result;
}

bool hasLostKeeper(const KeeperSet &Set) {
  return std::any_of(
      Set.Lost.begin(), Set.Lost.end(),
      [&](const EntryRun &Run) { return Set.isCurrentKeeper(Run); });
}

/// True if every keeper has said that all has moved.
bool complete(const KeeperSet &Set, const FleetStatus &Picture) {
  for (const EntryRun &Run : notLost(Set, Set.Current)) {
    auto Found = Picture.latestReports().find(Run);
    if (Found == Picture.latestReports().end() ||
        !Picture.isFresh(Found->second) ||
        Found->second.Report.SettledEpoch != Set.Epoch)
      return false;
  }
  return true;
}

Runs wanted(const FleetState &State, const FleetStatus &Picture) {
  Runs Result;
  for (const auto &[Run, Item] : Picture.latestReports()) {
    auto Known = State.entryVms().find(Run.Vm);
    bool Registered = Known != State.entryVms().end() &&
                      Known->second.Incarnation == Run.Incarnation &&
                      !Known->second.IsExpired;
    if (Registered && Picture.isFresh(Item) && !Item.Report.Stopping)
      Result[Run.Vm] = Run.Incarnation;
  }
  return Result;
}

} // namespace

std::optional<FleetAction> KeeperPlanner::plan(const FleetState &State,
                                               const FleetStatus &Picture,
                                               Instant Now,
                                               Instant LeadsSince) const {
  const KeeperSet &Set = State.keepers();
  bool Complete = complete(Set, Picture);
  std::set<EntryRun> Needed = notLost(Set, Set.Current);
  // Who only hands over is needed until all has moved.
  if (!Complete)
    Needed.merge(notLost(Set, Set.Previous));
  for (const EntryRun &Run : Needed) {
    Instant Heard = Picture.lastReportAt(Run).value_or(LeadsSince);
    if (Now - std::max(Heard, LeadsSince) > LossSilence)
      return MarkKeeperLost{Set.Epoch, Run};
  }
  Runs Wanted = wanted(State, Picture);
  bool Same = Wanted == Set.Current && !hasLostKeeper(Set);
  if (!Complete || Wanted.empty() || Same)
    return std::nullopt;
  return SetKeepers{Set.Epoch + 1, std::move(Wanted)};
}

} // namespace mimosashunt
