// The part of the scheduler that keeps the shares and rates of organisations up
// to date, while the order of jobs depends on them.

#include "Scheduling/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration UsageRecordInterval = seconds(1);

} // namespace

void Dispatcher::loadShares() {
  Shares.setConfiguration(Configuration);
  if (!usesShares())
    return;
  Shares.restore(Store.usage(), Hooks.WallNow());
  Rates.restore(
      Store.jobs(),
      [this](const std::string &Name) { return Shares.weightOf(Name); },
      Timers.now(), Hooks.WallNow());
}

bool Dispatcher::takeRateToken(const AcceptJob &Job) {
  // A rate protects the other organisations, so the only one needs none.
  bool IsLimited = usesShares() && RateBuckets::isLimited(Job) &&
                   Configuration.Organisations.size() > 1;
  return !IsLimited ||
         Rates.take(Job.Organisation, Shares.weightOf(Job.Organisation),
                    Timers.now());
}

void Dispatcher::countShareOfJob(const JobProgress &Job, UnixMillis Now) {
  bool Waits = false;
  bool Runs = false;
  for (const auto &[K, Occurrence] : Job.Occurrences)
    for (uint32_t S = 0; S < Occurrence.Steps.size(); ++S) {
      const StepProgress &Step = Occurrence.Steps[S];
      Runs |= Step.PlacedCount > 0;
      Waits |= !Step.isFullyPlaced() && Job.spec().Recurrence.dueAt(K) <= Now &&
               Job.isReady(K, S);
    }
  // A job that nobody waits for any more, such as one that fits nowhere, claims
  // no share.
  Shares.countJob(Job.ShareIndex, Waits && isStillAwaited(Job), Runs,
                  Job.job().IsBeyondRate);
}

void Dispatcher::updateShares() {
  if (!usesShares())
    return;
  Resources Capacity;
  for (const auto &[Key, Worker] : Table.all())
    if (Worker.IsReachable)
      Capacity += Worker.Entry.Capacity;
  std::vector<ShareChange> Changes = Shares.update(
      Timers.now(), Capacity,
      [this](const std::string &Name) {
        return Table.shortRunsReservedBy(Name);
      },
      MeanJobCoreMs / static_cast<double>(std::max<int64_t>(Capacity.Cpu, 1)));
  for (const ShareChange &Change : Changes) {
    const OrganisationShare &Organisation = Shares.all()[Change.Index];
    Hooks.LogEvent(Change.IsExceeded ? "share_exceeded" : "share_within",
                   {{"organisation", Organisation.Name},
                    {"usage_over_share", Organisation.UsageOverShare},
                    {"share", Shares.share(Change.Index)},
                    {"waiting", Organisation.WaitingJobs},
                    {"beyond_rate", Organisation.JobsBeyondRate}});
  }
  proposeUsage();
}

void Dispatcher::proposeUsage() {
  if (IsUsageInFlight || !Shares.hasWaitingJobs() || !mayIssueOrders() ||
      Timers.now() - UsageProposedAt < UsageRecordInterval)
    return;
  UsageProposedAt = Timers.now();
  IsUsageInFlight = true;
  std::shared_ptr<bool> IsAlive = AliveFlag;
  Hooks.Propose(Shares.record(Hooks.WallNow()), [this, IsAlive](bool) {
    if (*IsAlive)
      IsUsageInFlight = false;
  });
}

} // namespace mimosashunt
