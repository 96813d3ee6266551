// Tests of jobs that recur: their occurrences take memory only while they are
// due and have not ended, and each still runs once and in order.

#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

#include <malloc.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

constexpr int64_t MinuteMs = 60000;
constexpr uint32_t MinutesOfAMonth = 43200;

JobSpec makeRecurring(uint32_t Count, UnixMillis StartAt, int64_t IntervalMs) {
  JobSpec Spec = makeChainSpec(1, 1, 500, 200);
  Spec.Recurrence = {Count, StartAt, IntervalMs};
  return Spec;
}

/// Returns the bytes that the process has allocated; zero under a sanitizer.
size_t allocatedBytes() {
  struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

JobId idOf(uint32_t Number) { return "job" + std::to_string(Number); }

// Guards against a leader, and after it each next one, that is ended for its
// memory by a dozen accepted jobs of a month of occurrences each (review/6).
TEST(RecurringJobs, TakeNoMemoryForOccurrencesThatAreNotDue) {
  SchedulerHarness Harness;
  Harness.addPool("p", 3, 4);
  Harness.beginLeadership();
  size_t Before = allocatedBytes();
  constexpr uint32_t Jobs = 16;
  for (uint32_t I = 0; I < Jobs; ++I)
    Harness.submitJob(idOf(I), "p",
                      makeRecurring(MinutesOfAMonth,
                                    Harness.wallNow() + 60 * MinuteMs,
                                    MinuteMs));
  Harness.advanceTime(milliseconds(300));
  std::string Snapshot = Harness.Store.snapshot();
  Harness.beginLeadership();
  constexpr size_t MaxBytesPerJob = 100000;
  EXPECT_LT(allocatedBytes(), Before + Jobs * MaxBytesPerJob);
  EXPECT_LT(Snapshot.size(), Jobs * MaxBytesPerJob);
}

// Guards against a leader that opens all that its predecessors have missed, or
// that leaves out a part of it.
TEST(RecurringJobs, OverdueOccurrencesRunInOrderAndAllOfThem) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 4);
  Harness.beginLeadership();
  constexpr uint32_t Count = 200;
  JobSpec Spec =
      makeRecurring(Count, Harness.wallNow() - Count * MinuteMs, MinuteMs);
  Harness.submitJob("a", "p", Spec);
  uint32_t MostStarted = 0;
  while (Harness.jobState("a") != JobState::Completed) {
    Harness.advanceTime(milliseconds(50));
    auto Started = static_cast<uint32_t>(Harness.Workers.StartCounts.size());
    for (uint32_t K = 0; K < Started; ++K)
      EXPECT_EQ(Harness.Workers.StartCounts.count({"a", K, 0, 0}), 1U) << K;
    const TaskRecords &Tasks = Harness.Store.findJob("a")->Tasks;
    MostStarted = std::max(MostStarted, Started);
    if (Started < Count) {
      EXPECT_LE(Started,
                Tasks.firstUnfinished() + 2 * maxOpenOccurrences(Spec));
    }
    ASSERT_LT(toMillis(Harness.Timers.now().time_since_epoch()), 1060000);
  }
  EXPECT_EQ(MostStarted, Count);
  EXPECT_TRUE(Harness.Workers.Violations.empty());
  for (const auto &[Task, Starts] : Harness.Workers.StartCounts)
    EXPECT_EQ(Starts, 1) << Task.Occurrence;
}

// Guards against occurrences that wait for lasting ones to end, which never do.
TEST(RecurringJobs, AllOccurrencesOfALastingStepRun) {
  SchedulerHarness Harness([](const TaskId &, const StepSpec &) -> int64_t {
    return 60 * MinuteMs;
  });
  Harness.addPool("p", 4, 32);
  Harness.beginLeadership();
  constexpr uint32_t Count = 100;
  JobSpec Spec = makeRecurring(Count, Harness.wallNow(), 10);
  Spec.Steps[0].LongRunning = true;
  Harness.submitJob("a", "p", Spec);
  Harness.advanceTime(seconds(4));
  EXPECT_EQ(Harness.Workers.StartCounts.size(), Count);
}

// Guards against occurrences that a new leader forgets or runs again.
TEST(RecurringJobs, ANewLeaderGoesOnWithTheOccurrences) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 4);
  Harness.beginLeadership();
  constexpr uint32_t Count = 12;
  Harness.submitJob("a", "p",
                    makeRecurring(Count, Harness.wallNow() + 500, 1000));
  for (int I = 0; I < 4; ++I) {
    Harness.advanceTime(milliseconds(3050));
    Harness.beginLeadership();
  }
  Harness.advanceTime(seconds(6));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  EXPECT_TRUE(Harness.Workers.Violations.empty());
  EXPECT_EQ(Harness.Workers.CompletedTasks.size(), Count);
}

// Guards against a lost end of a run that a leader with a late clock did not
// expect yet, which would let the task run twice.
TEST(RecurringJobs, ARunOfAnOccurrenceThatIsNotDueByTheNextClockCounts) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 4);
  Harness.beginLeadership();
  JobSpec Spec = makeRecurring(3, Harness.wallNow() + 100, 60 * MinuteMs);
  Spec.Steps[0].EstimateMs = 2000;
  Harness.submitJob("a", "p", Spec);
  Harness.advanceTime(seconds(1));
  Harness.WallOffsetMs = -MinuteMs;
  Harness.beginLeadership();
  Harness.advanceTime(seconds(5));
  EXPECT_TRUE(Harness.Store.findJob("a")->Tasks.hasEnded(0));
  Harness.WallOffsetMs = 0;
  Harness.advanceTime(seconds(5));
  EXPECT_EQ(Harness.Workers.StartCounts.at({"a", 0, 0, 0}), 1);
  EXPECT_TRUE(Harness.Workers.Violations.empty());
}

} // namespace
