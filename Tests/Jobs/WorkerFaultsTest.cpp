// The scheduler when workers fail, stand still, fall silent, start again, or
// carry orders out late.

#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

TEST(WorkerFaults, ASilentWorkersTasksStartElsewhereOnlyOnceTheLeaseIsOver) {
  SchedulerHarness Frame;
  Frame.addPool("p", 3, 8);
  Frame.beginLeadership();
  Frame.submitJob("a", "p", makeChainSpec(1, 3, 1000, 1000));
  Frame.advanceTime(milliseconds(100));
  Frame.Workers.at("p-0").Faults.IsUnreachable = true;
  Frame.advanceTime(seconds(12));
  EXPECT_EQ(Frame.jobState("a"), JobState::Completed);
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
}

TEST(WorkerFaults, ACopyOfASpeculativeTaskDoesNotWaitForTheLease) {
  SchedulerHarness Frame;
  Frame.addPool("p", 3, 8);
  Frame.beginLeadership();
  JobSpec Spec = makeChainSpec(1, 3, 1000, 900);
  Spec.Steps[0].Speculative = true;
  Frame.submitJob("a", "p", Spec);
  Frame.advanceTime(milliseconds(100));
  Frame.Workers.at("p-0").Faults.IsUnreachable = true;
  Frame.advanceTime(seconds(8));
  EXPECT_EQ(Frame.jobState("a"), JobState::Completed);
  // Two looks without an answer, then the copy's own 0.9 s.
  EXPECT_LT(Frame.completionTimeMs("a"), 3700);
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
}

TEST(WorkerFaults, AWorkerThatStartedAgainLosesItsRunsAtOnce) {
  SchedulerHarness Frame;
  Frame.addPool("p", 2, 8);
  Frame.beginLeadership();
  Frame.submitJob("a", "p", makeChainSpec(1, 4, 1000, 800));
  Frame.advanceTime(milliseconds(200));
  Frame.Workers.restart("p-0");
  Frame.advanceTime(seconds(3));
  EXPECT_EQ(Frame.jobState("a"), JobState::Completed);
  // Not after a lease, which lasts 2.6 s from the last look.
  EXPECT_LT(Frame.completionTimeMs("a"), 2500);
}

TEST(WorkerFaults, ALateOrderNeverMakesATaskRunTwice) {
  SchedulerHarness Frame;
  Frame.addPool("p", 3, 8);
  Frame.beginLeadership();
  Frame.advanceTime(milliseconds(200));
  for (const char *Id : {"p-0", "p-1"}) {
    Frame.Workers.at(Id).Faults.LateBy = seconds(3);
    Frame.Workers.at(Id).Faults.LateOrders = 2;
  }
  for (int I = 0; I < 6; ++I)
    Frame.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(1, 4, 1000, 300));
  Frame.advanceTime(seconds(10));
  EXPECT_EQ(Frame.countJobsInState(JobState::Completed), 6U);
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
}

TEST(WorkerFaults, AWorkerThatFailsEverythingIsEjected) {
  SchedulerHarness Frame;
  Frame.addPool("p", 6, 8, /*MaxAttempts=*/3);
  Frame.beginLeadership();
  // The one that placement prefers while all are idle.
  Frame.Workers.at("p-0").Faults.FailsAll = true;
  for (int I = 0; I < 30; ++I) {
    Frame.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(1, 4, 1000, 300));
    Frame.advanceTime(milliseconds(100));
  }
  Frame.advanceTime(seconds(5));
  EXPECT_EQ(Frame.countJobsInState(JobState::Completed), 30U);
  // Idle all the time, it would draw most starts to itself.
  EXPECT_GE(Frame.Scheduler->counters().FailedRuns, 1U);
  EXPECT_LT(Frame.Scheduler->counters().FailedRuns, 30U);
}

TEST(WorkerFaults, ATaskThatStandsStillIsStartedElsewhere) {
  SchedulerHarness Frame;
  Frame.addPool("p", 3, 8);
  Frame.beginLeadership();
  Frame.Workers.at("p-1").Faults.StandsStill = true;
  // As many tasks as all three workers hold.
  Frame.submitJob("a", "p", makeChainSpec(1, 24, 1000, 500));
  Frame.advanceTime(seconds(6));
  EXPECT_EQ(Frame.jobState("a"), JobState::Completed);
  EXPECT_GE(Frame.Scheduler->counters().StalledRuns, 1U);
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
}

TEST(WorkerFaults, ALeavingWorkerGetsNoNewWork) {
  SchedulerHarness Frame;
  Frame.addPool("p", 2, 8);
  Frame.beginLeadership();
  Frame.advanceTime(milliseconds(200));
  Frame.Workers.at("p-0").Entry.Leaving = true;
  Frame.heartbeats();
  Frame.advanceTime(milliseconds(100));
  Frame.submitJob("a", "p", makeChainSpec(1, 6, 1000, 100));
  Frame.advanceTime(milliseconds(60));
  EXPECT_TRUE(Frame.Workers.at("p-0").Runs.empty());
  Frame.advanceTime(seconds(1));
  EXPECT_EQ(Frame.jobState("a"), JobState::Completed);
}

TEST(WorkerFaults, ALateReportOfAnEarlierLifeChangesNothing) {
  SchedulerHarness Frame;
  Frame.addPool("p", 1, 8);
  Frame.beginLeadership();
  Frame.advanceTime(milliseconds(200));
  WorkerEntry Earlier = Frame.Workers.at("p-0").Entry;
  Frame.Workers.restart("p-0");
  Frame.heartbeats();
  Frame.advanceTime(milliseconds(100));
  Frame.Scheduler->handleReport({Earlier, 9999, 5}, [](bool) {});
  Frame.advanceTime(milliseconds(100));
  EXPECT_EQ(Frame.Scheduler->workers().all().size(), 1U);
  EXPECT_EQ(Frame.Scheduler->workers().all().begin()->first.Incarnation,
            Earlier.Key.Incarnation + 1);
}

TEST(WorkerFaults, AnotherWorkerAtAnAddressEndsTheOneBefore) {
  SchedulerHarness Frame;
  Frame.addPool("p", 2, 8);
  Frame.beginLeadership();
  Frame.submitJob("a", "p", makeChainSpec(1, 2, 1000, 5000));
  Frame.advanceTime(milliseconds(200));
  WorkerEntry Other = Frame.Workers.at("p-0").Entry;
  Other.Key = {"other", Other.Key.Incarnation + 500};
  Other.Pool = "q";
  Frame.Scheduler->handleReport({Other, 1, 5}, [](bool) {});
  Frame.advanceTime(milliseconds(50));
  EXPECT_EQ(Frame.Scheduler->workers().find({"p-0", 1000}), nullptr);
}

} // namespace
