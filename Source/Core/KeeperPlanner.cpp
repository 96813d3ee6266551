// Plans the keepers of request ids: first marks keepers whose lease has expired
// as lost, then starts a new epoch once all transfers are complete.

#include "Core/KeeperPlanner.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace mimosashunt {

namespace {

/// Incarnation by VM.
using Runs = std::map<std::string, uint64_t>;

/// The runs among \p Candidates that are not marked as lost.
std::set<EntryRun> survivingRuns(const KeeperSet &Keepers,
                                 const Runs &Candidates) {
  std::set<EntryRun> Result;
  for (const auto &[Vm, Incarnation] : Candidates)
    if (!Keepers.isLost({Vm, Incarnation}))
      Result.insert({Vm, Incarnation});
  return Result;
}

bool hasLostKeeper(const KeeperSet &Keepers) {
  return std::any_of(
      Keepers.Lost.begin(), Keepers.Lost.end(),
      [&](const EntryRun &Run) { return Keepers.isCurrentKeeper(Run); });
}

/// True if every current keeper that is not lost has reported, recently, that
/// it holds all records of this epoch.
bool isTransferComplete(const KeeperSet &Keepers,
                        const FleetStatus &LatestStatus) {
  for (const EntryRun &Run : survivingRuns(Keepers, Keepers.Current)) {
    auto Found = LatestStatus.latestReports().find(Run);
    if (Found == LatestStatus.latestReports().end() ||
        !LatestStatus.isFresh(Found->second) ||
        Found->second.Report.SettledEpoch != Keepers.Epoch)
      return false;
  }
  return true;
}

/// Runs that can be keepers: registered, reporting in time and not stopping.
Runs eligibleRuns(const FleetState &State, const FleetStatus &LatestStatus) {
  Runs Result;
  for (const auto &[Run, Item] : LatestStatus.latestReports()) {
    auto Registration = State.entryVms().find(Run.Vm);
    bool Registered = Registration != State.entryVms().end() &&
                      Registration->second.Incarnation == Run.Incarnation &&
                      !Registration->second.IsExpired;
    if (Registered && LatestStatus.isFresh(Item) && !Item.Report.Stopping)
      Result[Run.Vm] = Run.Incarnation;
  }
  return Result;
}

} // namespace

std::optional<FleetAction> KeeperPlanner::plan(const FleetState &State,
                                               const FleetStatus &LatestStatus,
                                               Instant Now,
                                               Instant LeaderSince) const {
  const KeeperSet &Keepers = State.keepers();
  bool TransferComplete = isTransferComplete(Keepers, LatestStatus);
  std::set<EntryRun> Needed = survivingRuns(Keepers, Keepers.Current);
  // A previous keeper that only transfers its records is needed until all
  // transfers are complete.
  if (!TransferComplete)
    Needed.merge(survivingRuns(Keepers, Keepers.Previous));
  for (const EntryRun &Run : Needed) {
    Instant Heard = LatestStatus.lastReportAt(Run).value_or(LeaderSince);
    if (Now - std::max(Heard, LeaderSince) > LossTimeout)
      return MarkKeeperLost{Keepers.Epoch, Run};
  }
  Runs Eligible = eligibleRuns(State, LatestStatus);
  bool IsUnchanged = Eligible == Keepers.Current && !hasLostKeeper(Keepers);
  if (!TransferComplete || Eligible.empty() || IsUnchanged)
    return std::nullopt;
  return SetKeepers{Keepers.Epoch + 1, std::move(Eligible)};
}

} // namespace mimosashunt
