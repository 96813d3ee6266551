#include "Scheduling/RetryTime.h"

#include "Core/Hash.h"

#include <algorithm>
#include <chrono>

namespace mimosashunt {

int64_t RetryTime::bucketNumber(Instant At) const {
  return At.time_since_epoch() / (Options.Window / BucketCount);
}

void RetryTime::onStartAnswered(Instant Now) {
  int64_t Number = bucketNumber(Now);
  Bucket &Current = Buckets[static_cast<size_t>(Number % BucketCount)];
  if (Current.Number != Number)
    Current = {Number, 0};
  ++Current.Answers;
}

double RetryTime::answersPerSecond(Instant Now) const {
  int64_t Newest = bucketNumber(Now);
  size_t Answers = 0;
  for (const Bucket &Each : Buckets)
    Answers += Newest - Each.Number < BucketCount ? Each.Answers : 0;
  return static_cast<double>(Answers) /
         std::chrono::duration<double>(Options.Window).count();
}

Duration RetryTime::estimate(Instant Now, size_t WaitingStarts,
                             const JobId &Job) const {
  double Rate = answersPerSecond(Now);
  double Longest = std::chrono::duration<double>(Options.Max).count();
  double Needed =
      Rate > 0 ? static_cast<double>(WaitingStarts) / Rate : Longest;
  // Callers are told whole seconds. The spread covers two of them at least, so
  // that jobs that were rejected together come back in different ones.
  constexpr double SpreadPart = 0.5;
  constexpr double MinSpread = 2;
  double Shortest = std::chrono::duration<double>(Options.Min).count();
  double Spread = std::max(MinSpread, SpreadPart * Needed);
  double Base = std::clamp(Needed, Shortest, Longest);
  Spread = std::min(Spread, SpreadPart * Longest);
  Base = std::min(Base, Longest + 1 - Spread);
  constexpr uint64_t Steps = 1000;
  double Share =
      static_cast<double>(hashBytes(Job) % Steps) / static_cast<double>(Steps);
  auto Whole = static_cast<int64_t>(Base + Share * Spread);
  return std::clamp<Duration>(seconds(Whole), Options.Min, Options.Max);
}

} // namespace mimosashunt
