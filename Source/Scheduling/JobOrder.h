// Decides in which order jobs of one pool get room. Load pattern: a queue asks
// about five times its mean for some seconds, more than the pool holds, and a
// twentieth in between; first-come then serves almost nobody in time.

#ifndef MIMOSASHUNT_SCHEDULING_JOBORDER_H
#define MIMOSASHUNT_SCHEDULING_JOBORDER_H

#include "Core/Time.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace mimosashunt {

/// What the order looks at; one per job.
struct JobRank {
  size_t Index = 0; // Place in the caller's list.
  int64_t Priority = 0;
  bool LongRunning = false;
  bool Begun = false;
  Instant AcceptedAt;
  Instant Objective;
  double ChainMs = 0;       // Longest chain still to run.
  double RemainingWork = 0; // Core-milliseconds still to run.
  double TotalWork = 0;
  double OrganisationWeight = 1;
  /// What the organisation has running, as a part of its weight.
  double OrganisationLoad = 0;
};

/// In order of arrival.
struct FirstComeFirstServed {};
/// The organisation with the least running for its weight comes first.
struct WeightedFair {};
/// The earliest objective comes first.
struct EarliestObjective {};
/// Among jobs that can still meet their objective, the most worth for each
/// core-second still to run; the others after them.
struct WorthPerWork {
  /// Worth of a job apart from its size, as a part of the mean job's.
  double FixedWorth = 0.3;
};

using OrderPolicy = std::variant<FirstComeFirstServed, WeightedFair,
                                 EarliestObjective, WorthPerWork>;

/// True if the job can still end by its objective if it starts now.
bool feasible(const JobRank &Rank, Instant Now);

/// Sorts \p Ranks, most urgent first. Priority goes before everything else.
void orderJobs(const OrderPolicy &Policy, Instant Now, double MeanWork,
               std::vector<JobRank> &Ranks);

} // namespace mimosashunt

#endif
