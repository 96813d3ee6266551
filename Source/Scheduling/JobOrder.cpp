#include "Scheduling/JobOrder.h"

#include <algorithm>
#include <tuple>

namespace mimosashunt {

namespace {

/// Computes a policy's sort key; smaller keys come first.
struct ComputeKey {
  Instant Now;
  double MeanJobCoreMs;
  const JobRank &Rank;

  std::tuple<int, double> operator()(const FirstComeFirstServed &) const {
    return {0, static_cast<double>(Rank.AcceptedAt.time_since_epoch().count())};
  }
  std::tuple<int, double> operator()(const WeightedFair &) const {
    return {0, Rank.OrganisationLoad};
  }
  std::tuple<int, double> operator()(const EarliestObjective &) const {
    return {canMeetObjective(Rank, Now) ? 0 : 1,
            static_cast<double>(Rank.Objective.time_since_epoch().count())};
  }
  std::tuple<int, double> operator()(const ValuePerWork &Policy) const {
    if (!canMeetObjective(Rank, Now))
      return {1, Rank.RemainingCoreMs};
    double Mean = std::max(MeanJobCoreMs, 1.0);
    double Value =
        Policy.FixedValue + (1 - Policy.FixedValue) * Rank.TotalCoreMs / Mean;
    return {0, -Value / std::max(Rank.RemainingCoreMs, 1.0)};
  }
  std::tuple<int, double> operator()(const SharedValue &Policy) const {
    auto [IsLate, Value] = (*this)(Policy.Value);
    if (Rank.LongRunning)
      return {IsLate, Value};
    constexpr int Levels = static_cast<int>(ShareLevel::Over) + 1;
    int RateAndLate = 2 * IsLate + (Rank.IsBeyondRate ? 1 : 0);
    return {Levels * RateAndLate + static_cast<int>(Rank.Level), Value};
  }
};

} // namespace

bool canMeetObjective(const JobRank &Rank, Instant Now) {
  return Now + milliseconds(static_cast<int64_t>(Rank.CriticalPathMs)) <=
         Rank.Objective;
}

void orderJobs(const OrderPolicy &Policy, Instant Now, double MeanJobCoreMs,
               std::vector<JobRank> &Ranks) {
  using Key = std::tuple<int, int64_t, int, double, Instant, size_t>;
  std::vector<std::pair<Key, JobRank>> Keyed;
  Keyed.reserve(Ranks.size());
  for (const JobRank &Rank : Ranks) {
    auto [Class, Value] =
        std::visit(ComputeKey{Now, MeanJobCoreMs, Rank}, Policy);
    // Long-running jobs are of use during every second that they run, so they
    // never wait behind short-running ones.
    Key SortKey{Rank.LongRunning ? 0 : 1, Rank.Priority, Class, Value,
                Rank.AcceptedAt,          Rank.Index};
    Keyed.emplace_back(SortKey, Rank);
  }
  std::sort(Keyed.begin(), Keyed.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  for (size_t I = 0; I < Ranks.size(); ++I)
    Ranks[I] = Keyed[I].second;
}

} // namespace mimosashunt
