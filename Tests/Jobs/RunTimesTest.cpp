// Tests of what the leader learns of run times, and of how a new leader gets
// it.

#include "Scheduling/RunTimes.h"
#include "Support/SchedulerHarness.h"

#include <cmath>
#include <gtest/gtest.h>
#include <limits>
#include <random>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

/// Samples a normal ratio around 0.7, and 7 times that in 3% of cases.
double sampleRatio(std::mt19937 &Random) {
  std::lognormal_distribution<double> Normal(std::log(0.7), 0.2);
  std::bernoulli_distribution IsStraggler(0.03);
  return Normal(Random) * (IsStraggler(Random) ? 7 : 1);
}

TEST(RunTimes, TheMeanFactorFollowsAStreamAsTheMovingMeanDoes) {
  // Guards the order of jobs and the demand of pools against a mean that
  // behaves unlike the one they were tuned with.
  for (uint32_t Seed : {1U, 2U, 3U}) {
    std::mt19937 Random(Seed);
    RunTimes Learned;
    double Moving = 1;
    for (int I = 0; I < 500; ++I) {
      double Ratio = sampleRatio(Random);
      Learned.record("q", I % 2 == 0 ? "a" : "b", "r", Ratio);
      Moving += 0.02 * (Ratio - Moving);
      ASSERT_NEAR(Learned.meanFactor("q"), Moving, 1e-9) << "seed " << Seed;
    }
  }
}

TEST(RunTimes, AnUnknownKindTakesItsEstimate) {
  RunTimes Learned;
  EXPECT_EQ(Learned.meanFactor("q"), 1);
  const RunTimeDistribution &Unknown = Learned.find("q", "image");
  EXPECT_EQ(Unknown.samples(), 0);
  EXPECT_EQ(Unknown.ratio().Mean, 1);
  EXPECT_EQ(Unknown.quantile(0.95), 1);
  EXPECT_EQ(Learned.rackFactor("r"), 1);
}

TEST(RunTimes, QuantilesAndMeanAreWithinOneBin) {
  constexpr double BinRatio = 1.19; // Four bins for each doubling.
  for (uint32_t Seed : {1U, 2U, 3U}) {
    std::mt19937 Random(Seed);
    RunTimeDistribution Known;
    std::vector<double> Values;
    for (int I = 0; I < 2000; ++I) {
      std::uniform_real_distribution<double> Uniform(0.5, 2);
      double Ratio = Uniform(Random);
      Known.add(Ratio);
      Values.push_back(Ratio);
    }
    // The decayed weight of the last 100 runs or so counts.
    EXPECT_NEAR(Known.samples(), 100, 1);
    EXPECT_NEAR(std::log(Known.ratio().Mean / 1.25), 0, std::log(BinRatio));
    EXPECT_NEAR(std::log(Known.quantile(0.5) / 1.25), 0,
                1.5 * std::log(BinRatio));
    double Earlier = 0;
    for (double Q = 0; Q <= 1; Q += 0.05) {
      EXPECT_GE(Known.quantile(Q), Earlier);
      Earlier = Known.quantile(Q);
    }
  }
}

TEST(RunTimes, WhatRemainsShrinksWithAgeAndGrowsForStragglers) {
  RunTimeDistribution Known;
  for (int I = 0; I < 100; ++I)
    Known.add(1);
  double Earlier = Known.remaining(0).Mean;
  EXPECT_NEAR(Earlier, 1, 0.2);
  for (double Age : {0.2, 0.4, 0.6, 0.8}) {
    double Left = Known.remaining(Age).Mean;
    EXPECT_LT(Left, Earlier) << Age;
    Earlier = Left;
  }
  // A run beyond everything seen says nothing about its end.
  EXPECT_NEAR(Known.remaining(5).Mean, 5, 0.01);
  // Without samples the estimate is believed.
  EXPECT_GT(RunTimeDistribution().remaining(0).Mean, 0.5);
}

TEST(RunTimes, DurationsThatCannotBeChangeNothingAndEnormousOnesAreBounded) {
  RunTimes Learned;
  Learned.record("q", "i", "r", -5);
  Learned.record("q", "i", "r", std::numeric_limits<double>::quiet_NaN());
  EXPECT_EQ(Learned.kindCount(), 0U);
  EXPECT_EQ(Learned.version(), 0U);
  Learned.record("q", "i", "r", 0);
  Learned.record("q", "i", "r", 1e300);
  Learned.record("q", "i", "r", std::numeric_limits<double>::infinity());
  EXPECT_LT(Learned.meanFactor("q"), 8);
  EXPECT_TRUE(std::isfinite(Learned.find("q", "i").ratio().Mean));
  EXPECT_TRUE(std::isfinite(Learned.find("q", "i").remaining(1e9).Mean));
}

TEST(RunTimes, MemoryIsBoundedAndTheLeastRecentlyUsedKindGoes) {
  RunTimes Learned;
  for (int I = 0; I < 5000; ++I) {
    std::string Name = std::to_string(I);
    Learned.record("q" + Name, "image" + Name, "rack" + Name, 2);
    Learned.record("kept", "", "rack", 2);
  }
  EXPECT_EQ(Learned.kindCount(), RunTimes::MaxKinds);
  EXPECT_GT(Learned.find("kept", "").samples(), 90);
  EXPECT_EQ(Learned.find("q0", "image0").samples(), 0);
  EXPECT_EQ(Learned.meanFactor("q0"), 1);
  EXPECT_EQ(Learned.summarize().Kinds.size(), RunTimes::MaxRecordedKinds);
}

TEST(RunTimes, ARecordedSummaryRestoresWhatWasLearned) {
  for (uint32_t Seed : {1U, 2U, 3U}) {
    std::mt19937 Random(Seed);
    RunTimes Learned;
    for (int I = 0; I < 300; ++I)
      Learned.record("q", "", "r", sampleRatio(Random));
    RunTimes Restored;
    Restored.restore(Learned.summarize());
    const RunTimeDistribution &Before = Learned.find("q", "");
    const RunTimeDistribution &After = Restored.find("q", "");
    EXPECT_NEAR(After.samples(), Before.samples(), 0.01);
    for (double Q : {0.1, 0.5, 0.9})
      EXPECT_NEAR(std::log(After.quantile(Q) / Before.quantile(Q)), 0,
                  std::log(1.25))
          << "seed " << Seed << ", quantile " << Q;
    EXPECT_NEAR(Restored.meanFactor("q"), Learned.meanFactor("q"), 0.2);
  }
}

TEST(RunTimes, ARecordWithValuesThatCannotBeIsRestoredWithoutThem) {
  constexpr double NotANumber = std::numeric_limits<double>::quiet_NaN();
  RecordRunTimes Recorded;
  Recorded.Kinds.push_back({"a", "", NotANumber, {1, 2}});
  Recorded.Kinds.push_back({"b", "", -4, {1, 2}});
  Recorded.Kinds.push_back({"c", "", 10, {}});
  Recorded.Kinds.push_back({"d", "", 1e300, {-1, NotANumber, 2, 1e300}});
  for (int I = 0; I < 1000; ++I)
    Recorded.Kinds.push_back({"e", std::to_string(I), 10, {1}});
  RunTimes Restored;
  Restored.restore(Recorded);
  for (const char *Queue : {"a", "b", "c"}) {
    EXPECT_EQ(Restored.find(Queue, "").samples(), 0) << Queue;
    EXPECT_EQ(Restored.meanFactor(Queue), 1) << Queue;
  }
  EXPECT_NEAR(Restored.find("d", "").samples(), 100, 0.01);
  EXPECT_LE(Restored.meanFactor("d"), 128);
  EXPECT_LE(Restored.kindCount(), RunTimes::MaxRecordedKinds);
}

TEST(RunTimes, TheFactorOfASlowRackGrowsAndRecovers) {
  RunTimes Learned;
  for (int I = 0; I < 200; ++I)
    Learned.record("q", "", "r" + std::to_string(I % 10), 1);
  for (int I = 0; I < 20; ++I)
    Learned.record("q", "", "r0", 4);
  EXPECT_GT(Learned.rackFactor("r0"), 2);
  EXPECT_NEAR(Learned.rackFactor("r1"), 1, 0.2);
  for (int I = 0; I < 200; ++I)
    Learned.record("q", "", "r" + std::to_string(I % 2), 1);
  EXPECT_LT(Learned.rackFactor("r0"), 1.2);
}

// Over the whole scheduler.

int64_t halfOfEstimate(const TaskId &, const StepSpec &Spec) {
  return Spec.EstimateMs / 2;
}

void runJobs(SchedulerHarness &Harness, const std::string &Prefix, int Count) {
  for (int I = 0; I < Count; ++I) {
    JobSpec Spec = makeChainSpec(1, 4, 1000, 400);
    Spec.Steps[0].Image = I % 2 == 0 ? "" : "image";
    Harness.submitJob(Prefix + std::to_string(I), "p", Spec);
    Harness.advanceTime(milliseconds(250));
  }
}

TEST(RunTimes, ANewLeaderKnowsWhatTheLastOneLearnedAlsoAfterASnapshot) {
  SchedulerHarness Harness(halfOfEstimate);
  Harness.addPool("p", 4, 16);
  Harness.beginLeadership();
  runJobs(Harness, "j", 30);
  double Learned = Harness.Scheduler->runTimes().meanFactor("p");
  EXPECT_LT(Learned, 0.75);
  ASSERT_FALSE(Harness.Store.runTimes().Kinds.empty());
  Harness.Store.restore(std::string(Harness.Store.snapshot()));
  Harness.beginLeadership();
  EXPECT_NEAR(Harness.Scheduler->runTimes().meanFactor("p"), Learned, 0.1);
  // The queue without an image and the one with it are kinds of their own.
  EXPECT_GT(Harness.Scheduler->runTimes().find("p", "").samples(), 8);
  EXPECT_GT(Harness.Scheduler->runTimes().find("p", "image").samples(), 8);
}

TEST(RunTimes, TheyAreProposedAtMostEveryFiveSecondsAndOnlyIfChanged) {
  SchedulerHarness Harness(halfOfEstimate);
  Harness.addPool("p", 4, 16);
  Harness.beginLeadership();
  Harness.advanceTime(seconds(12));
  EXPECT_EQ(Harness.CommandCounts["run_times"], 0);
  runJobs(Harness, "j", 40); // Ten seconds.
  Harness.advanceTime(seconds(30));
  EXPECT_GE(Harness.CommandCounts["run_times"], 2);
  EXPECT_LE(Harness.CommandCounts["run_times"], 4);
}

TEST(RunTimes, ARunOfWhichANewLeaderDoesNotKnowTheStartTeachesNothing) {
  // Its age counts from its adoption, so it would look far too short.
  SchedulerHarness Harness;
  Harness.addPool("p", 4, 16);
  Harness.beginLeadership();
  Harness.submitJob("j", "p", makeChainSpec(1, 8, 1000, 3000));
  Harness.advanceTime(milliseconds(2500));
  Harness.beginLeadership();
  Harness.advanceTime(seconds(3));
  EXPECT_EQ(Harness.jobState("j"), JobState::Completed);
  EXPECT_EQ(Harness.Scheduler->runTimes().meanFactor("p"), 1);
}

TEST(RunTimes, ARemoteRunIsLearnedAsIfItHadRunNearItsData) {
  DispatcherOptions Options;
  Options.RemoteFactor = 3;
  SchedulerHarness Harness(
      [](const TaskId &, const StepSpec &Spec) { return Spec.EstimateMs; },
      Options);
  Harness.addPool("p", 4, 16);
  Harness.Workers.SlownessOf = [](const WorkerEntry &At, const StepSpec &Spec) {
    return At.rack() == Spec.DataRack ? 1.0 : 3.0;
  };
  Harness.beginLeadership();
  for (int I = 0; I < 10; ++I) {
    JobSpec Spec = makeChainSpec(1, 4, 1000, 1000);
    Spec.Steps[0].DataRack = "elsewhere";
    Harness.submitJob("j" + std::to_string(I), "p", Spec);
  }
  Harness.advanceTime(seconds(5));
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed), 10U);
  EXPECT_NEAR(Harness.Scheduler->runTimes().find("p", "").ratio().Mean, 1, 0.2);
}

} // namespace
