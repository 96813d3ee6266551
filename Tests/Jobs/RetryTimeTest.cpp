// Tests the time after which a rejected job may be sent again.

#include "Scheduling/RetryTime.h"

#include <gtest/gtest.h>
#include <set>

using namespace mimosashunt;

namespace {

constexpr Instant Now{seconds(1000)};

/// Answers \p PerSecond starts a second for as long as they count.
RetryTime makeBusy(int PerSecond) {
  RetryTime Times{RetryTimeOptions()};
  for (int I = 0; I < 4 * PerSecond; ++I)
    Times.onStartAnswered(Now - seconds(3) - milliseconds(400) +
                          Duration(3400000LL * I / (int64_t{4} * PerSecond)));
  return Times;
}

TEST(RetryTime, GrowsWithTheBacklogAndStaysWithinItsBounds) {
  RetryTime Times = makeBusy(100);
  Duration Last{};
  for (size_t Waiting : {0, 100, 200, 300, 10000}) {
    Duration Time = Times.estimate(Now, Waiting, "a");
    EXPECT_GE(Time, Last);
    EXPECT_GE(Time, seconds(1));
    EXPECT_LE(Time, seconds(5));
    Last = Time;
  }
  EXPECT_LE(Times.estimate(Now, 100, "a"), seconds(2));
  EXPECT_GE(Times.estimate(Now, 300, "a"), seconds(3));
}

// Jobs that were rejected in one burst came back in one burst.
TEST(RetryTime, JobsComeBackInDifferentSeconds) {
  RetryTime Times = makeBusy(100);
  for (size_t Waiting : {0, 150, 10000}) {
    std::set<int64_t> Seconds;
    for (int I = 0; I < 100; ++I) {
      Duration Time = Times.estimate(Now, Waiting, "j" + std::to_string(I));
      EXPECT_EQ(Time, Times.estimate(Now, Waiting, "j" + std::to_string(I)));
      Seconds.insert(toMillis(Time) / 1000);
    }
    EXPECT_GE(Seconds.size(), 2U);
  }
}

TEST(RetryTime, WithoutAnswersIsLong) {
  RetryTime Idle{RetryTimeOptions()};
  EXPECT_GE(Idle.estimate(Now, 1, "a"), seconds(3));
  // Old answers say nothing about the present rate.
  RetryTime Times = makeBusy(100);
  EXPECT_GE(Times.estimate(Now + seconds(10), 1, "a"), seconds(3));
}

} // namespace
