// The scheduler when workers fail, stand still, fall silent, start again, or
// carry orders out late.

#include "Support/SchedulerFrame.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

TEST(WorkerFaults, ASilentWorkersTasksStartElsewhereOnlyOnceTheLeaseIsOver) {
  SchedulerFrame Frame;
  Frame.addPool("p", 3, 8);
  Frame.lead();
  Frame.submit("a", "p", chain(1, 3, 1000, 1000));
  Frame.run(milliseconds(100));
  Frame.Workers.at("p-0").Faults.Silent = true;
  Frame.run(seconds(12));
  EXPECT_EQ(Frame.stateOf("a"), JobState::Completed);
  EXPECT_EQ(Frame.Workers.Broken, std::vector<std::string>());
}

TEST(WorkerFaults, ACopyOfASpeculativeTaskDoesNotWaitForTheLease) {
  SchedulerFrame Frame;
  Frame.addPool("p", 3, 8);
  Frame.lead();
  JobSpec Spec = chain(1, 3, 1000, 900);
  Spec.Steps[0].Speculative = true;
  Frame.submit("a", "p", Spec);
  Frame.run(milliseconds(100));
  Frame.Workers.at("p-0").Faults.Silent = true;
  Frame.run(seconds(8));
  EXPECT_EQ(Frame.stateOf("a"), JobState::Completed);
  // Two looks without an answer, then the copy's own 0.9 s.
  EXPECT_LT(Frame.tookMs("a"), 3700);
  EXPECT_EQ(Frame.Workers.Broken, std::vector<std::string>());
}

TEST(WorkerFaults, AWorkerThatStartedAgainLosesItsRunsAtOnce) {
  SchedulerFrame Frame;
  Frame.addPool("p", 2, 8);
  Frame.lead();
  Frame.submit("a", "p", chain(1, 4, 1000, 800));
  Frame.run(milliseconds(200));
  Frame.Workers.restart("p-0");
  Frame.run(seconds(3));
  EXPECT_EQ(Frame.stateOf("a"), JobState::Completed);
  // Not after a lease, which lasts 2.6 s from the last look.
  EXPECT_LT(Frame.tookMs("a"), 2500);
}

TEST(WorkerFaults, ALateOrderNeverMakesATaskRunTwice) {
  SchedulerFrame Frame;
  Frame.addPool("p", 3, 8);
  Frame.lead();
  Frame.run(milliseconds(200));
  for (const char *Id : {"p-0", "p-1"}) {
    Frame.Workers.at(Id).Faults.LateBy = seconds(3);
    Frame.Workers.at(Id).Faults.LateOrders = 2;
  }
  for (int I = 0; I < 6; ++I)
    Frame.submit("j" + std::to_string(I), "p", chain(1, 4, 1000, 300));
  Frame.run(seconds(10));
  EXPECT_EQ(Frame.countIn(JobState::Completed), 6U);
  EXPECT_EQ(Frame.Workers.Broken, std::vector<std::string>());
}

TEST(WorkerFaults, AWorkerThatFailsEverythingIsEjected) {
  SchedulerFrame Frame;
  Frame.addPool("p", 6, 8, /*MaxAttempts=*/3);
  Frame.lead();
  // The one that placement prefers while all are idle.
  Frame.Workers.at("p-0").Faults.FailsAll = true;
  for (int I = 0; I < 30; ++I) {
    Frame.submit("j" + std::to_string(I), "p", chain(1, 4, 1000, 300));
    Frame.run(milliseconds(100));
  }
  Frame.run(seconds(5));
  EXPECT_EQ(Frame.countIn(JobState::Completed), 30U);
  // Idle all the time, it would draw most starts to itself.
  EXPECT_GE(Frame.Leader->counters().EndsFailed, 1U);
  EXPECT_LT(Frame.Leader->counters().EndsFailed, 30U);
}

TEST(WorkerFaults, ATaskThatStandsStillIsStartedElsewhere) {
  SchedulerFrame Frame;
  Frame.addPool("p", 3, 8);
  Frame.lead();
  Frame.Workers.at("p-1").Faults.StandsStill = true;
  // As many tasks as all three workers hold.
  Frame.submit("a", "p", chain(1, 24, 1000, 500));
  Frame.run(seconds(6));
  EXPECT_EQ(Frame.stateOf("a"), JobState::Completed);
  EXPECT_GE(Frame.Leader->counters().Standstills, 1U);
  EXPECT_EQ(Frame.Workers.Broken, std::vector<std::string>());
}

TEST(WorkerFaults, ALeavingWorkerGetsNoNewWork) {
  SchedulerFrame Frame;
  Frame.addPool("p", 2, 8);
  Frame.lead();
  Frame.run(milliseconds(200));
  Frame.Workers.at("p-0").Entry.Leaving = true;
  Frame.heartbeats();
  Frame.run(milliseconds(100));
  Frame.submit("a", "p", chain(1, 6, 1000, 100));
  Frame.run(milliseconds(60));
  EXPECT_TRUE(Frame.Workers.at("p-0").Runs.empty());
  Frame.run(seconds(1));
  EXPECT_EQ(Frame.stateOf("a"), JobState::Completed);
}

TEST(WorkerFaults, ALateReportOfAnEarlierLifeChangesNothing) {
  SchedulerFrame Frame;
  Frame.addPool("p", 1, 8);
  Frame.lead();
  Frame.run(milliseconds(200));
  WorkerEntry Earlier = Frame.Workers.at("p-0").Entry;
  Frame.Workers.restart("p-0");
  Frame.heartbeats();
  Frame.run(milliseconds(100));
  Frame.Leader->report({Earlier, 9999, 5}, [](bool) {});
  Frame.run(milliseconds(100));
  EXPECT_EQ(Frame.Leader->workers().all().size(), 1U);
  EXPECT_EQ(Frame.Leader->workers().all().begin()->first.Born,
            Earlier.Key.Born + 1);
}

TEST(WorkerFaults, AnotherWorkerAtAnAddressEndsTheOneBefore) {
  SchedulerFrame Frame;
  Frame.addPool("p", 2, 8);
  Frame.lead();
  Frame.submit("a", "p", chain(1, 2, 1000, 5000));
  Frame.run(milliseconds(200));
  WorkerEntry Other = Frame.Workers.at("p-0").Entry;
  Other.Key = {"other", Other.Key.Born + 500};
  Other.Pool = "q";
  Frame.Leader->report({Other, 1, 5}, [](bool) {});
  Frame.run(milliseconds(50));
  EXPECT_EQ(Frame.Leader->workers().find({"p-0", 1000}), nullptr);
}

} // namespace
