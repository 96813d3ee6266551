// Decides in which order the jobs of one pool are placed. Expected load: for
// some seconds a queue requests about five times its mean, more than the pool's
// capacity, and a twentieth of its mean in between. Serving in order of arrival
// then finishes almost no job by its objective.

#ifndef MIMOSASHUNT_SCHEDULING_JOBORDER_H
#define MIMOSASHUNT_SCHEDULING_JOBORDER_H

#include "Core/Time.h"
#include "Scheduling/OrganisationShares.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace mimosashunt {

/// The properties of one job that determine its position.
struct JobRank {
  size_t Index = 0; // Position in the caller's list.
  int64_t Priority = 0;
  bool LongRunning = false;
  Instant AcceptedAt;
  Instant Objective;
  double CriticalPathMs = 0;  // Remaining duration of the critical path.
  double RemainingCoreMs = 0; // Remaining work.
  double TotalCoreMs = 0;
  bool IsBeyondRate = false;
  ShareLevel Level = ShareLevel::Within; // Of the organisation.
  /// Set only for WeightedFair: CPU that the organisation uses now, in
  /// thousandths of a core, divided by its weight.
  double OrganisationLoad = 0;
};

/// Orders jobs by arrival.
struct FirstComeFirstServed {};
/// Puts the organisation with the least running CPU per weight first.
struct WeightedFair {};
/// Puts the earliest objective first, among jobs that can still meet theirs;
/// the others follow.
struct EarliestObjective {};
/// Among jobs that can still meet their objective, puts the highest value per
/// remaining core-second first; the others follow, least remaining work first.
struct ValuePerWork {
  /// The part of a job's value that does not depend on its size, where a job of
  /// mean size has value 1.
  double FixedValue = 0.3;
};

/// Puts jobs that can still meet their objective first; among those, jobs
/// within their organisation's rate; among those, jobs of organisations within
/// their share; then orders by value per work. Long-running jobs are ordered by
/// value per work alone.
struct SharedValue {
  ValuePerWork Value;
};

using OrderPolicy = std::variant<FirstComeFirstServed, WeightedFair,
                                 EarliestObjective, ValuePerWork, SharedValue>;

/// Returns true if the job can still end by its objective if it starts now.
bool canMeetObjective(const JobRank &Rank, Instant Now);

/// Sorts \p Ranks, most urgent first. Long-running jobs precede all others,
/// then priority precedes the policy.
void orderJobs(const OrderPolicy &Policy, Instant Now, double MeanJobCoreMs,
               std::vector<JobRank> &Ranks);

} // namespace mimosashunt

#endif
