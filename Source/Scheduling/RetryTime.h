// Computes when a caller whose job an overloaded leader rejected may try again:
// after the time that the leader needs for the starts that wait already, by the
// rate at which starts were answered lately.

#ifndef MIMOSASHUNT_SCHEDULING_RETRYTIME_H
#define MIMOSASHUNT_SCHEDULING_RETRYTIME_H

#include "Core/Time.h"
#include "Jobs/JobTypes.h"

#include <array>
#include <cstddef>

namespace mimosashunt {

struct RetryTimeOptions {
  /// Retry-After is in whole seconds.
  Duration Min = seconds(1);
  /// A longer time would exceed what callers of short jobs wait for, three
  /// objectives.
  Duration Max = seconds(5);
  /// Answers that count towards the rate are no older.
  Duration Window = seconds(4);
};

class RetryTime {
public:
  explicit RetryTime(RetryTimeOptions Options) : Options(Options) {}

  void onStartAnswered(Instant Now);
  /// Returns whole seconds. \p WaitingStarts is the number of starts that are
  /// ahead of the job.
  Duration estimate(Instant Now, size_t WaitingStarts, const JobId &Job) const;

private:
  struct Bucket {
    int64_t Number = -1; // Of the slice of time, since the clock's epoch.
    size_t Answers = 0;
  };
  static constexpr int64_t BucketCount = 8;

  int64_t bucketNumber(Instant At) const;
  double answersPerSecond(Instant Now) const;

  const RetryTimeOptions Options;
  std::array<Bucket, BucketCount> Buckets;
};

} // namespace mimosashunt

#endif
