#include "Scheduling/JobOrder.h"

#include <algorithm>
#include <tuple>

namespace mimosashunt {

namespace {

/// Each policy's key; smaller comes first.
struct KeyOf {
  Instant Now;
  double MeanWork;
  const JobRank &Rank;

  std::tuple<int, double> operator()(const FirstComeFirstServed &) const {
    return {0, static_cast<double>(Rank.AcceptedAt.time_since_epoch().count())};
  }
  std::tuple<int, double> operator()(const WeightedFair &) const {
    return {0, Rank.OrganisationLoad};
  }
  std::tuple<int, double> operator()(const EarliestObjective &) const {
    return {feasible(Rank, Now) ? 0 : 1,
            static_cast<double>(Rank.Objective.time_since_epoch().count())};
  }
  std::tuple<int, double> operator()(const WorthPerWork &Policy) const {
    if (!feasible(Rank, Now))
      return {1, Rank.RemainingWork};
    double Mean = std::max(MeanWork, 1.0);
    double Worth =
        Policy.FixedWorth + (1 - Policy.FixedWorth) * Rank.TotalWork / Mean;
    return {0, -Worth / std::max(Rank.RemainingWork, 1.0)};
  }
};

} // namespace

bool feasible(const JobRank &Rank, Instant Now) {
  return Now + milliseconds(static_cast<int64_t>(Rank.ChainMs)) <=
         Rank.Objective;
}

void orderJobs(const OrderPolicy &Policy, Instant Now, double MeanWork,
               std::vector<JobRank> &Ranks) {
  using Key = std::tuple<int, int64_t, int, double, Instant, size_t>;
  std::vector<std::pair<Key, JobRank>> Keyed;
  Keyed.reserve(Ranks.size());
  for (const JobRank &Rank : Ranks) {
    auto [Class, Value] = std::visit(KeyOf{Now, MeanWork, Rank}, Policy);
    // Long-running work earns with each second, so it never queues behind work
    // that comes and goes.
    Key Sort{Rank.LongRunning ? 0 : 1, Rank.Priority, Class, Value,
             Rank.AcceptedAt,          Rank.Index};
    Keyed.emplace_back(Sort, Rank);
  }
  std::sort(Keyed.begin(), Keyed.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  for (size_t I = 0; I < Ranks.size(); ++I)
    Ranks[I] = Keyed[I].second;
}

} // namespace mimosashunt
