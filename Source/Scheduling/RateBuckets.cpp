#include "Scheduling/RateBuckets.h"

#include <algorithm>
#include <vector>

namespace mimosashunt {

namespace {

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// One token that was taken earlier.
struct TakenToken {
  double Age = 0; // In seconds.
  const std::string *Organisation = nullptr;
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
  constexpr double MillisPerSecond = 1000;
  std::vector<TakenToken> Taken;
  std::map<std::string, double> Rates;
  for (const auto &[Id, Record] : Jobs) {
    const AcceptJob &Job = Record.Job;
    if (Job.IsBeyondRate || !isLimited(Job))
      continue;
    auto [Rate, IsNew] = Rates.try_emplace(Job.Organisation, 0);
    if (IsNew)
      Rate->second = RateOf(Job.Organisation);
    double Age = std::max(0.0, (static_cast<double>(WallNow) -
                                static_cast<double>(Job.AcceptedAt)) /
                                   MillisPerSecond);
    // Any bucket has been refilled since then.
    if (Age * Rate->second >= capacity(Rate->second))
      continue;
    Taken.push_back({Age, &Job.Organisation, Rate->second});
  }
  std::sort(
      Taken.begin(), Taken.end(),
      [](const TakenToken &A, const TakenToken &B) { return A.Age > B.Age; });
  Buckets.clear();
  for (const TakenToken &Token : Taken) {
    auto Age = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Token.Age));
    take(*Token.Organisation, Token.Rate, Now - Age);
  }
}

} // namespace mimosashunt
