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
      [&](const EntryRun &Run) { return Keepers.isKeeper(Run); });
}

/// True if every current keeper that is not lost has reported, recently, that
/// it holds all records of this epoch.
bool isTransferComplete(const KeeperSet &Keepers,
                        const FleetPicture &LatestStatus) {
  for (const EntryRun &Run : survivingRuns(Keepers, Keepers.Now)) {
    auto Found = LatestStatus.entries().find(Run);
    if (Found == LatestStatus.entries().end() ||
        !LatestStatus.fresh(Found->second) ||
        Found->second.Report.KeptEpoch != Keepers.Epoch)
      return false;
  }
  return true;
}

/// Runs that can be keepers: registered, reporting in time and not stopping.
Runs eligibleRuns(const FleetState &State, const FleetPicture &LatestStatus) {
  Runs Result;
  for (const auto &[Run, Item] : LatestStatus.entries()) {
    auto Registration = State.entries().find(Run.Vm);
    bool Registered = Registration != State.entries().end() &&
                      Registration->second.Incarnation == Run.Incarnation &&
                      !Registration->second.Expired;
    if (Registered && LatestStatus.fresh(Item) && !Item.Report.Stopping)
      Result[Run.Vm] = Run.Incarnation;
  }
  return Result;
}

} // namespace

std::optional<FleetAction> KeeperPlanner::plan(const FleetState &State,
                                               const FleetPicture &LatestStatus,
                                               Instant Now,
                                               Instant LeaderSince) const {
  const KeeperSet &Keepers = State.keepers();
  bool TransferComplete = isTransferComplete(Keepers, LatestStatus);
  std::set<EntryRun> Needed = survivingRuns(Keepers, Keepers.Now);
  // A previous keeper that only transfers its records is needed until all
  // transfers are complete.
  if (!TransferComplete)
    Needed.merge(survivingRuns(Keepers, Keepers.Before));
  for (const EntryRun &Run : Needed) {
    Instant Heard = LatestStatus.lastHeard(Run).value_or(LeaderSince);
    if (Now - std::max(Heard, LeaderSince) > LossTimeout)
      return LoseKeeper{Keepers.Epoch, Run};
  }
  Runs Eligible = eligibleRuns(State, LatestStatus);
  bool IsUnchanged = Eligible == Keepers.Now && !hasLostKeeper(Keepers);
  if (!TransferComplete || Eligible.empty() || IsUnchanged)
    return std::nullopt;
  return SetKeepers{Keepers.Epoch + 1, std::move(Eligible)};
}

} // namespace mimosashunt
