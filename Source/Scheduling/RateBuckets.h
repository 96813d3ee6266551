// Token buckets that tell which jobs an organisation sends beyond its rate. The
// verdict becomes part of the accepted job; the buckets themselves are rebuilt
// by each leader from the acceptance times of the jobs.

#ifndef MIMOSASHUNT_SCHEDULING_RATEBUCKETS_H
#define MIMOSASHUNT_SCHEDULING_RATEBUCKETS_H

#include "Core/Time.h"
#include "Jobs/JobStore.h"

#include <functional>
#include <map>
#include <string>

namespace mimosashunt {

class RateBuckets {
public:
  /// Returns an organisation's rate in jobs per second, which is positive.
  using RateFn = std::function<double(const std::string &Organisation)>;

  /// \p Burst is the time whose jobs a full bucket admits at once; a bucket
  /// holds at least one token.
  explicit RateBuckets(Duration Burst = seconds(2)) : Burst(Burst) {}

  /// Takes a token of the organisation. Returns false if it has none.
  bool take(const std::string &Organisation, double Rate, Instant Now);
  /// Fills the buckets as the jobs' acceptance has left them. \p WallNow is the
  /// wall-clock time at \p Now; jobs accepted later than that count as accepted
  /// now.
  void restore(const std::map<JobId, JobRecord> &Jobs, const RateFn &RateOf,
               Instant Now, UnixMillis WallNow);

  /// Only short jobs of an organisation are subject to its rate.
  static bool isLimited(const AcceptJob &Job) {
    return !Job.Organisation.empty() && !Job.Spec.isLongRunning();
  }

private:
  struct Bucket {
    double Tokens = 0;
    Instant FilledAt;
  };

  double capacity(double Rate) const;
  Bucket &refill(const std::string &Organisation, double Rate, Instant Now);

  const Duration Burst;
  std::map<std::string, Bucket> Buckets;
};

} // namespace mimosashunt

#endif
