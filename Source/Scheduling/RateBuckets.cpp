#include "Scheduling/RateBuckets.h"

#include <algorithm>
#include <vector>

namespace mimosashunt {

namespace {

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// A job that was accepted earlier.
struct EarlierJob {
  int64_t AgeMs = 0;
  const AcceptJob *Job = nullptr;
  double Rate = 0;
};

} // namespace

double RateBuckets::capacity(double Rate) const {
  return std::max(1.0, Rate * toSeconds(Burst));
}

RateBuckets::Bucket &RateBuckets::refill(const std::string &Organisation,
                                         double Rate, Instant Now) {
  auto [It, IsNew] =
      Buckets.try_emplace(Organisation, Bucket{capacity(Rate), Now});
  Bucket &Result = It->second;
  double Elapsed = std::max(0.0, toSeconds(Now - Result.FilledAt));
  // The capacity may have changed with the rate.
  Result.Tokens = std::min(capacity(Rate), Result.Tokens + Rate * Elapsed);
  Result.FilledAt = std::max(Result.FilledAt, Now);
  return Result;
}

bool RateBuckets::take(const std::string &Organisation, double Rate,
                       Instant Now) {
  // Fractions of a token that rounding has lost must not cost a whole one.
  constexpr double Tolerance = 1e-9;
  Bucket &From = refill(Organisation, Rate, Now);
  if (From.Tokens < 1 - Tolerance)
    return false;
  From.Tokens = std::max(0.0, From.Tokens - 1);
  return true;
}

void RateBuckets::restore(const std::map<JobId, JobRecord> &Jobs,
                          const RateFn &RateOf, Instant Now,
                          UnixMillis WallNow) {
  // Older jobs matter only to an organisation that has sent at its full rate
  // since; its bucket is then too full by at most one burst.
  constexpr double MaxAgeMs = 60000;
  std::vector<EarlierJob> Earlier;
  std::map<std::string, double> Rates;
  for (const auto &[Id, Record] : Jobs) {
    const AcceptJob &Job = Record.Job;
    double AgeMs = std::max(0.0, static_cast<double>(WallNow) -
                                     static_cast<double>(Job.AcceptedAt));
    if (!isLimited(Job) || AgeMs > MaxAgeMs)
      continue;
    auto [Rate, IsNew] = Rates.try_emplace(Job.Organisation, 0);
    if (IsNew)
      Rate->second = RateOf(Job.Organisation);
    Earlier.push_back({static_cast<int64_t>(AgeMs), &Job, Rate->second});
  }
  std::stable_sort(Earlier.begin(), Earlier.end(),
                   [](const EarlierJob &A, const EarlierJob &B) {
                     return A.AgeMs > B.AgeMs;
                   });
  Buckets.clear();
  for (const EarlierJob &Item : Earlier) {
    Instant At = Now - milliseconds(Item.AgeMs);
    const std::string &Organisation = Item.Job->Organisation;
    if (!Item.Job->IsBeyondRate) {
      take(Organisation, Item.Rate, At);
      continue;
    }
    // There was no token for this job.
    Bucket &From = refill(Organisation, Item.Rate, At);
    From.Tokens = std::min(From.Tokens, 1.0);
  }
}

} // namespace mimosashunt
