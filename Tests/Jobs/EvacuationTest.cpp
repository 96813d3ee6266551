// Tests of the evacuation of a data centre: nothing starts there, long-running
// tasks leave within their disruption budget, and a new leader knows of it.

#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

/// Two data centres, "east" and "west", with \p Each workers in pool "p".
class TwoDataCentres : public SchedulerHarness {
public:
  explicit TwoDataCentres(size_t Each, int64_t Cores = 8) {
    addPool("p", 2 * Each, Cores);
    for (size_t I = 0; I < 2 * Each; ++I)
      Workers.at("p-" + std::to_string(I)).Entry.DataCentre =
          I < Each ? "east" : "west";
  }

  size_t countRuns(const std::string &DataCentre) const {
    size_t Count = 0;
    for (const auto &[Id, Worker] : Workers.all())
      Count += Worker.Entry.DataCentre == DataCentre ? Worker.Runs.size() : 0;
    return Count;
  }
};

JobSpec makeLongRunningSpec(uint32_t Count, uint32_t MaxUnavailable) {
  JobSpec Spec = makeChainSpec(1, Count, 1000, 100000);
  Spec.Steps[0].LongRunning = true;
  Spec.Steps[0].MaxUnavailable = MaxUnavailable;
  return Spec;
}

TEST(Evacuation, NothingStartsInAnEvacuatedDataCentreUntilItIsTakenBack) {
  TwoDataCentres Fleet(2);
  Fleet.beginLeadership();
  Fleet.setEvacuation("east", true);
  for (int I = 0; I < 4; ++I)
    Fleet.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(2, 8, 1000, 200));
  for (int I = 0; I < 100; ++I) {
    Fleet.advanceTime(milliseconds(10));
    EXPECT_EQ(Fleet.countRuns("east"), 0U);
  }
  EXPECT_EQ(Fleet.countJobsInState(JobState::Completed), 4U);
  Fleet.setEvacuation("east", false);
  Fleet.submitJob("wide", "p", makeChainSpec(1, 32, 1000, 200));
  Fleet.advanceTime(milliseconds(100));
  EXPECT_EQ(Fleet.countRuns("east"), 16U);
}

// Running short tasks would be repeated for nothing if they were stopped.
TEST(Evacuation, ShortTasksRunToCompletion) {
  TwoDataCentres Fleet(2);
  Fleet.beginLeadership();
  Fleet.advanceTime(milliseconds(100));
  Fleet.submitJob("a", "p", makeChainSpec(1, 32, 1000, 800));
  Fleet.advanceTime(milliseconds(100));
  Fleet.setEvacuation("east", true);
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.jobState("a"), JobState::Completed);
  EXPECT_EQ(Fleet.Scheduler->counters().StopOrders, 0U);
}

TEST(Evacuation, LongRunningTasksLeaveWithinTheDisruptionBudget) {
  TwoDataCentres Fleet(3);
  Fleet.beginLeadership();
  Fleet.advanceTime(milliseconds(100));
  constexpr uint32_t Tasks = 12;
  constexpr uint32_t MaxUnavailable = 2;
  Fleet.submitJob("a", "p", makeLongRunningSpec(Tasks, MaxUnavailable));
  Fleet.advanceTime(seconds(2));
  ASSERT_GT(Fleet.countRuns("east"), 0U);
  Fleet.setEvacuation("east", true);
  for (int I = 0; I < 1500; ++I) {
    Fleet.advanceTime(milliseconds(10));
    EXPECT_GE(Fleet.countRuns("east") + Fleet.countRuns("west"),
              Tasks - MaxUnavailable);
  }
  EXPECT_EQ(Fleet.countRuns("east"), 0U);
  EXPECT_EQ(Fleet.countRuns("west"), Tasks);
  EXPECT_EQ(Fleet.Workers.Violations, std::vector<std::string>());
}

// Without capacity elsewhere a stopped task would be away for as long as the
// evacuation lasts.
TEST(Evacuation, LongRunningTasksStayWhileThereIsNoCapacityElsewhere) {
  TwoDataCentres Fleet(1, 4);
  Fleet.beginLeadership();
  Fleet.advanceTime(milliseconds(100));
  Fleet.submitJob("a", "p", makeLongRunningSpec(7, 2));
  Fleet.advanceTime(seconds(2));
  size_t Before = Fleet.countRuns("east");
  size_t Free = 4 - Fleet.countRuns("west");
  Fleet.setEvacuation("east", true);
  Fleet.advanceTime(seconds(6));
  EXPECT_EQ(Fleet.countRuns("east"), Before - Free);
  EXPECT_EQ(Fleet.countRuns("west"), 4U);
}

// A place for one task must not be promised to tasks of several steps.
TEST(Evacuation, OnePlaceElsewhereMovesOneTask) {
  TwoDataCentres Fleet(2, 4);
  Fleet.beginLeadership();
  Fleet.advanceTime(milliseconds(100));
  for (int I = 0; I < 5; ++I)
    Fleet.submitJob("j" + std::to_string(I), "p", makeLongRunningSpec(3, 1));
  Fleet.advanceTime(seconds(2));
  ASSERT_EQ(Fleet.countRuns("east") + Fleet.countRuns("west"), 15U);
  ASSERT_EQ(Fleet.countRuns("west"), 7U);
  Fleet.setEvacuation("east", true);
  Fleet.advanceTime(seconds(6));
  EXPECT_EQ(Fleet.countRuns("west"), 8U);
  EXPECT_EQ(Fleet.countRuns("east"), 7U);
}

TEST(Evacuation, ANewLeaderStartsNothingThere) {
  TwoDataCentres Fleet(2);
  Fleet.beginLeadership();
  Fleet.setEvacuation("east", true);
  Fleet.beginLeadership();
  Fleet.submitJob("a", "p", makeChainSpec(1, 32, 1000, 200));
  for (int I = 0; I < 100; ++I) {
    Fleet.advanceTime(milliseconds(10));
    EXPECT_EQ(Fleet.countRuns("east"), 0U);
  }
  EXPECT_EQ(Fleet.jobState("a"), JobState::Completed);
}

// The workers keep what they run, and what they ran alone is started elsewhere
// after its lease.
TEST(Evacuation, ACutDuringAnEvacuationLosesNoJob) {
  TwoDataCentres Fleet(2);
  Fleet.beginLeadership();
  Fleet.advanceTime(milliseconds(100));
  Fleet.submitJob("a", "p", makeChainSpec(2, 24, 1000, 800));
  Fleet.advanceTime(milliseconds(200));
  Fleet.setEvacuation("east", true);
  for (const char *Id : {"p-0", "p-1"})
    Fleet.Workers.at(Id).Faults.IsUnreachable = true;
  Fleet.advanceTime(seconds(8));
  EXPECT_EQ(Fleet.jobState("a"), JobState::Completed);
  EXPECT_EQ(Fleet.Workers.Violations, std::vector<std::string>());
}

TEST(Evacuation, IsKeptInSnapshotsAndRepeatedOrdersChangeNothing) {
  JobStore Store;
  EXPECT_FALSE(Store.apply(SetEvacuation{"east", false, 1}));
  EXPECT_TRUE(Store.evacuations().empty());
  EXPECT_TRUE(Store.apply(SetEvacuation{"east", true, 2}));
  EXPECT_FALSE(Store.apply(SetEvacuation{"east", true, 3}));
  JobStore Restored;
  Restored.restore(Store.snapshot());
  EXPECT_TRUE(Restored.isEvacuated("east"));
  EXPECT_FALSE(Restored.isEvacuated("west"));
  EXPECT_TRUE(Restored.apply(SetEvacuation{"east", false, 4}));
  // The order to end it may come again, so that it was there stays known.
  EXPECT_EQ(Restored.evacuations().count("east"), 1U);
}

TEST(Evacuation, SnapshotsOfEarlierVersionsHaveNone) {
  Json Old = {
      {"jobs", Json::array()},    {"version", 1},           {"text", "t"},
      {"workers", Json::array()}, {"waves", Json::array()}, {"leaderships", 3}};
  std::vector<uint8_t> Bytes = Json::to_cbor(Old);
  JobStore Store;
  Store.restore({Bytes.begin(), Bytes.end()});
  EXPECT_EQ(Store.leaderships(), 3U);
  EXPECT_TRUE(Store.evacuations().empty());
}

} // namespace
