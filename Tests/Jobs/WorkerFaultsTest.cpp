// Tests of the scheduler with workers that fail, stall, become unreachable,
// restart, or carry out orders late.

#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

TEST(WorkerFaults, AnUnreachableWorkersTasksRestartOnlyAfterLeaseExpiry) {
  SchedulerHarness Harness;
  Harness.addPool("p", 3, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(1, 3, 1000, 1000));
  Harness.advanceTime(milliseconds(100));
  Harness.Workers.at("p-0").Faults.IsUnreachable = true;
  Harness.advanceTime(seconds(12));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

// The stop kept a late start from being carried out, and was repeated when the
// start had been.
TEST(WorkerFaults, ARunThatBeganBeforeItsStopArrivedIsNotEnded) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 8);
  Harness.beginLeadership();
  Harness.advanceTime(seconds(1));
  WorkerFaults &Faults = Harness.Workers.at("p-0").Faults;
  Faults.OrderDelay = milliseconds(1400);
  Faults.DelayedOrderCount = 1;
  Harness.submitJob("a", "p", makeChainSpec(1, 1, 1000, 6000));
  Harness.advanceTime(milliseconds(100));
  ASSERT_EQ(Faults.DelayedOrderCount, 0);
  Faults.OrderDelay = seconds(30); // The first stop is lost.
  Faults.DelayedOrderCount = 1;
  Harness.advanceTime(seconds(9));
  EXPECT_EQ(Faults.DelayedOrderCount, 0);
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  EXPECT_EQ(Harness.Workers.StartCounts.begin()->second, 1);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

TEST(WorkerFaults, ARunWhoseRowCannotBeReadIsNotTakenForEnded) {
  for (bool HasNewLeader : {false, true}) {
    SchedulerHarness Harness;
    Harness.addPool("p", 3, 8);
    Harness.beginLeadership();
    Harness.submitJob("a", "p", makeChainSpec(1, 3, 1000, 2000));
    Harness.advanceTime(milliseconds(500));
    for (const auto &[Id, Worker] : Harness.Workers.all())
      Harness.Workers.at(Id).Faults.HasUnreadableRuns = true;
    if (HasNewLeader)
      Harness.beginLeadership();
    Harness.advanceTime(seconds(12));
    EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
    EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
    for (const auto &[Task, Starts] : Harness.Workers.StartCounts)
      EXPECT_LE(Starts, HasNewLeader ? 2 : 1);
  }
}

/// A worker on which the start of job "b" gets lost, beside a task of "a".
struct LostStart {
  LostStart() {
    Harness.addPool("p", 1, 8);
    Harness.beginLeadership();
    Harness.submitJob("a", "p", makeChainSpec(1, 1, 1000, 60000));
    Harness.advanceTime(seconds(1));
    worker().Faults.OrderDelay = seconds(60);
    worker().Faults.DelayedOrderCount = 1;
  }
  VirtualWorker &worker() { return Harness.Workers.at("p-0"); }

  /// Expects that "b" ends within the time in which work must not wait though
  /// there is room for it, and that it ran once.
  void expectRepeated() {
    Harness.submitJob("b", "p", makeChainSpec(1, 1, 1000, 300));
    Harness.advanceTime(milliseconds(3300));
    EXPECT_EQ(worker().Faults.DelayedOrderCount, 0);
    EXPECT_EQ(Harness.jobState("b"), JobState::Completed);
    const TaskId Task{"b", 0, 0, 0};
    EXPECT_EQ(Harness.Workers.StartCounts[Task], 1);
    EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
  }

  SchedulerHarness Harness;
};

// Guards against a lost start that is never repeated as long as a row of any
// other task cannot be read.
TEST(WorkerFaults, ALostStartIsRepeatedWhileOtherRowsCannotBeRead) {
  LostStart Env;
  Env.worker().Faults.HasUnreadableRuns = true;
  Env.expectRepeated();
}

// Guards against an odd row that keeps the task it names from running for good.
TEST(WorkerFaults, ALostStartIsRepeatedAlthoughAnOddRowNamesItsTask) {
  LostStart Env;
  Env.worker().Faults.ForeignRows = {{"b", 0, 0, 0}};
  Env.expectRepeated();
}

// Guards against a new leader that lets all runs of a worker lapse since its
// list holds a row of another writer.
TEST(WorkerFaults, AForeignRowKeepsNoNewLeaderFromRenewingLeases) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(1, 4, 1000, 5000));
  Harness.advanceTime(seconds(1));
  Harness.Workers.at("p-0").Faults.ForeignRows = {{"foreign", 0, 0, 0}};
  Harness.beginLeadership();
  Harness.advanceTime(seconds(6));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  for (const auto &[Task, Starts] : Harness.Workers.StartCounts)
    EXPECT_EQ(Starts, 1);
}

// Guards against a start after the end of a run whose row could not be read
// when it was listed first.
TEST(WorkerFaults, AnEndThatBecomesReadableIsTaken) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(1, 4, 1000, 500));
  Harness.advanceTime(milliseconds(300));
  Harness.Workers.at("p-0").Faults.HasUnreadableEnds = true;
  Harness.advanceTime(seconds(1));
  Harness.Workers.at("p-0").Faults.HasUnreadableEnds = false;
  Harness.advanceTime(seconds(2));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  for (const auto &[Task, Starts] : Harness.Workers.StartCounts)
    EXPECT_EQ(Starts, 1);
}

// Guards against a task that never runs again since its end cannot be read.
TEST(WorkerFaults, ATaskWhoseEndStaysUnreadableIsStartedAgain) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 8);
  Harness.beginLeadership();
  Harness.Workers.at("p-0").Faults.FailsAllRuns = true;
  Harness.Workers.at("p-0").Faults.HasUnreadableEnds = true;
  Harness.submitJob("a", "p", makeChainSpec(1, 1, 1000, 500));
  Harness.advanceTime(seconds(3));
  const TaskId Task{"a", 0, 0, 0};
  EXPECT_GE(Harness.Workers.StartCounts[Task], 2);
}

TEST(WorkerFaults, ACopyOfASpeculativeTaskDoesNotWaitForTheLease) {
  SchedulerHarness Harness;
  Harness.addPool("p", 3, 8);
  Harness.beginLeadership();
  JobSpec Spec = makeChainSpec(1, 3, 1000, 900);
  Spec.Steps[0].Speculative = true;
  Harness.submitJob("a", "p", Spec);
  Harness.advanceTime(milliseconds(100));
  Harness.Workers.at("p-0").Faults.IsUnreachable = true;
  Harness.advanceTime(seconds(8));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  // Two unanswered polls, then the copy's own 0.9 s.
  EXPECT_LT(Harness.completionTimeMs("a"), 3700);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

TEST(WorkerFaults, ARestartedWorkersRunsAreReplacedAtOnce) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(1, 4, 1000, 800));
  Harness.advanceTime(milliseconds(200));
  Harness.Workers.restart("p-0");
  Harness.advanceTime(seconds(3));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  // It does not wait for the lease, which ends 2.6 s after the last poll.
  EXPECT_LT(Harness.completionTimeMs("a"), 2500);
}

TEST(WorkerFaults, ALateOrderNeverMakesATaskRunTwice) {
  SchedulerHarness Harness;
  Harness.addPool("p", 3, 8);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(200));
  for (const char *Id : {"p-0", "p-1"}) {
    Harness.Workers.at(Id).Faults.OrderDelay = seconds(3);
    Harness.Workers.at(Id).Faults.DelayedOrderCount = 2;
  }
  for (int I = 0; I < 6; ++I)
    Harness.submitJob("j" + std::to_string(I), "p",
                      makeChainSpec(1, 4, 1000, 300));
  Harness.advanceTime(seconds(10));
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed), 6U);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

TEST(WorkerFaults, AWorkerThatFailsEverythingIsEjected) {
  SchedulerHarness Harness;
  Harness.addPool("p", 6, 8, /*MaxAttempts=*/3);
  Harness.beginLeadership();
  // Placement prefers this worker while all are idle.
  Harness.Workers.at("p-0").Faults.FailsAllRuns = true;
  for (int I = 0; I < 30; ++I) {
    Harness.submitJob("j" + std::to_string(I), "p",
                      makeChainSpec(1, 4, 1000, 300));
    Harness.advanceTime(milliseconds(100));
  }
  Harness.advanceTime(seconds(5));
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed), 30U);
  // Without ejection the worker would always be idle and attract most starts.
  EXPECT_GE(Harness.Scheduler->counters().FailedRuns, 1U);
  EXPECT_LT(Harness.Scheduler->counters().FailedRuns, 30U);
}

TEST(WorkerFaults, AStalledTaskIsStartedElsewhere) {
  SchedulerHarness Harness;
  Harness.addPool("p", 3, 8);
  Harness.beginLeadership();
  Harness.Workers.at("p-1").Faults.StallsAllRuns = true;
  // Exactly as many tasks as the three workers can hold.
  Harness.submitJob("a", "p", makeChainSpec(1, 24, 1000, 500));
  Harness.advanceTime(seconds(6));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  EXPECT_GE(Harness.Scheduler->counters().StalledRuns, 1U);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

// The rule LIMIT, with capacity that shrinks and grows while a worker runs.
TEST(WorkerFaults, NothingIsStartedBeyondACapacityThatShrinks) {
  SchedulerHarness Harness;
  Harness.addPool("p", 3, 8);
  for (const char *Id : {"p-0", "p-1", "p-2"})
    Harness.Workers.at(Id).Faults.StartsBeyondCapacity = true;
  Harness.beginLeadership();
  int Jobs = 0;
  constexpr int Changes = 8;
  for (int Change = 0; Change < Changes; ++Change) {
    bool Shrinks = Change % 2 == 0;
    for (const char *Id : {"p-0", "p-1"})
      Harness.Workers.setCapacity(
          Id, {Shrinks ? 2000 : 8000, Shrinks ? 300 : 65536, 0});
    for (int I = 0; I < 60; ++I) {
      Harness.submitJob("j" + std::to_string(++Jobs), "p",
                        makeChainSpec(1, 3, 1000, 300));
      Harness.advanceTime(milliseconds(100));
    }
    // The capacity must be known to the next leader, too.
    if (Change == 2)
      Harness.beginLeadership();
  }
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
  Harness.advanceTime(seconds(20));
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed),
            static_cast<size_t>(Jobs));
}

// What shrinks below what already runs there ends nothing.
TEST(WorkerFaults, RunsBeyondAShrunkCapacityGoOn) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 8);
  Harness.Workers.at("p-0").Faults.StartsBeyondCapacity = true;
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(100));
  Harness.submitJob("a", "p", makeChainSpec(1, 8, 1000, 9000));
  Harness.submitJob("b", "p", makeChainSpec(1, 4, 1000, 500));
  Harness.advanceTime(milliseconds(500));
  Harness.Workers.setCapacity("p-0", {2000, 300, 0});
  Harness.advanceTime(seconds(15));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  EXPECT_EQ(Harness.jobState("b"), JobState::Completed);
  for (const auto &[Task, Count] : Harness.Workers.StartCounts)
    EXPECT_EQ(Count, 1) << Task.Job << Task.Index;
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

TEST(WorkerFaults, ALeavingWorkerGetsNoNewWork) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 8);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(200));
  Harness.Workers.at("p-0").Entry.Leaving = true;
  Harness.sendHeartbeats();
  Harness.advanceTime(milliseconds(100));
  Harness.submitJob("a", "p", makeChainSpec(1, 6, 1000, 100));
  Harness.advanceTime(milliseconds(60));
  EXPECT_TRUE(Harness.Workers.at("p-0").Runs.empty());
  Harness.advanceTime(seconds(1));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
}

TEST(WorkerFaults, ALateReportOfAnEarlierIncarnationIsIgnored) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 8);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(200));
  WorkerEntry Earlier = Harness.Workers.at("p-0").Entry;
  Harness.Workers.restart("p-0");
  Harness.sendHeartbeats();
  Harness.advanceTime(milliseconds(100));
  Harness.Scheduler->handleReport({Earlier, 9999, 5}, [](bool) {});
  Harness.advanceTime(milliseconds(100));
  EXPECT_EQ(Harness.Scheduler->workers().all().size(), 1U);
  EXPECT_EQ(Harness.Scheduler->workers().all().begin()->first.Incarnation,
            Earlier.Key.Incarnation + 1);
}

TEST(WorkerFaults, AWorkerAtTheSameAddressReplacesTheEarlierOne) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(1, 2, 1000, 5000));
  Harness.advanceTime(milliseconds(200));
  WorkerEntry Other = Harness.Workers.at("p-0").Entry;
  Other.Key = {"other", Other.Key.Incarnation + 500};
  Other.Pool = "q";
  Harness.Workers.at("p-0").Faults.IsReplaced = true;
  Harness.Scheduler->handleReport({Other, 1, 5}, [](bool) {});
  Harness.advanceTime(milliseconds(50));
  EXPECT_EQ(Harness.Scheduler->workers().find({"p-0", 1000}), nullptr);
}

} // namespace
