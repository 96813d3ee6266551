// Tests of the scheduler without faults: step order, capacity, quotas,
// attempts, cancellation, gangs, pacing, demand and long-running tasks.

#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

TEST(Dispatcher, RunsStepsInOrder) {
  SchedulerHarness Harness;
  Harness.addPool("p", 4, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(3, 6, 1000, 200));
  Harness.advanceTime(seconds(2));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
  // Three steps of 200 ms, plus the time for polls and commits.
  EXPECT_LT(Harness.completionTimeMs("a"), 800);
}

TEST(Dispatcher, StartsEachTaskOnce) {
  SchedulerHarness Harness;
  Harness.addPool("p", 3, 8);
  Harness.beginLeadership();
  for (int I = 0; I < 20; ++I)
    Harness.submitJob("j" + std::to_string(I), "p",
                      makeChainSpec(2, 4, 1500, 150));
  Harness.advanceTime(seconds(6));
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed), 20U);
  for (const auto &[Task, Count] : Harness.Workers.StartCounts)
    EXPECT_EQ(Count, 1) << Task.Job;
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

TEST(Dispatcher, NeverExceedsAWorkersCapacity) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 4);
  Harness.beginLeadership();
  for (int I = 0; I < 10; ++I)
    Harness.submitJob("j" + std::to_string(I), "p",
                      makeChainSpec(1, 3, 3000, 100));
  Harness.advanceTime(seconds(5));
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed), 10U);
  EXPECT_EQ(Harness.Scheduler->counters().RejectedStarts, 0U);
}

TEST(Dispatcher, FailsAJobAfterItsAttemptsAndNeverStartsItAgain) {
  // One of two tasks always fails. The other one succeeds after the job has
  // failed, which must not make the job startable again.
  SchedulerHarness Harness([](const TaskId &Task, const StepSpec &) {
    return Task.Index == 0 ? -50 : 700;
  });
  Harness.addPool("p", 4, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(1, 2, 1000, 100));
  Harness.advanceTime(seconds(4));
  EXPECT_EQ(Harness.jobState("a"), JobState::Failed);
  EXPECT_EQ((Harness.Workers.StartCounts[{"a", 0, 0, 0}]), 2);
  EXPECT_EQ((Harness.Workers.StartCounts[{"a", 0, 0, 1}]), 1);
}

TEST(Dispatcher, StopsAllTasksOfACancelledJob) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(2, 6, 1000, 5000));
  Harness.advanceTime(milliseconds(300));
  Harness.cancelJob("a");
  Harness.advanceTime(milliseconds(300));
  EXPECT_EQ(Harness.jobState("a"), JobState::Cancelled);
  for (const auto &[Id, Worker] : Harness.Workers.all())
    EXPECT_TRUE(Worker.Runs.empty()) << Id;
}

TEST(Dispatcher, KeepsAnOrganisationWithinItsMaximum) {
  SchedulerHarness Harness;
  Harness.Configuration.Organisations.front().Maximum = {5000, 0, 0};
  Harness.addPool("p", 4, 16);
  Harness.beginLeadership();
  for (int I = 0; I < 6; ++I)
    Harness.submitJob("j" + std::to_string(I), "p",
                      makeChainSpec(1, 4, 1000, 100));
  for (int I = 0; I < 300; ++I) {
    Harness.advanceTime(milliseconds(10));
    EXPECT_LE(Harness.Workers.RunningByOrganisation["org"].Cpu, 5000);
  }
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed), 6U);
}

TEST(Dispatcher, SpreadsAStepThatMayNotShareAWorker) {
  SchedulerHarness Harness;
  Harness.addPool("p", 3, 16);
  Harness.beginLeadership();
  JobSpec Spec = makeChainSpec(1, 6, 1000, 200);
  Spec.Steps[0].MaxPerWorker = 1;
  Harness.submitJob("a", "p", Spec);
  Harness.advanceTime(seconds(2));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

TEST(Dispatcher, StartsAGangWholeAndOnOneRackIfItFits) {
  SchedulerHarness Harness;
  Harness.addPool("p", 8, 8);
  Harness.beginLeadership();
  JobSpec Spec = makeChainSpec(1, 4, 6000, 300);
  Spec.Steps[0].Gang = true;
  Spec.Steps[0].RackLocal = true;
  Harness.submitJob("a", "p", Spec);
  Harness.advanceTime(milliseconds(100));
  std::set<std::string> Racks;
  size_t Members = 0;
  for (const auto &[Id, Worker] : Harness.Workers.all())
    if (!Worker.Runs.empty()) {
      Racks.insert(Worker.Entry.rack());
      Members += Worker.Runs.size();
    }
  EXPECT_EQ(Members, 4U);
  EXPECT_EQ(Racks.size(), 1U);
  Harness.advanceTime(seconds(1));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
}

TEST(Dispatcher, WaitsWithAGangUntilAllOfItFits) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 4);
  Harness.beginLeadership();
  Harness.submitJob("busy", "p", makeChainSpec(1, 1, 4000, 600));
  Harness.advanceTime(milliseconds(100));
  JobSpec Spec = makeChainSpec(1, 2, 4000, 100);
  Spec.Steps[0].Gang = true;
  Harness.submitJob("gang", "p", Spec);
  Harness.advanceTime(milliseconds(300));
  EXPECT_EQ((Harness.Workers.StartCounts[{"gang", 0, 0, 0}]), 0);
  Harness.advanceTime(seconds(1));
  EXPECT_EQ(Harness.jobState("gang"), JobState::Completed);
}

TEST(Dispatcher, RunsARecurringJobWhenItIsDue) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 8);
  Harness.beginLeadership();
  JobSpec Spec = makeChainSpec(1, 1, 1000, 50);
  Spec.Recurrence.Count = 3;
  Spec.Recurrence.StartAt = 1800000000000 + 1000000 + 500;
  Spec.Recurrence.IntervalMs = 400;
  Harness.submitJob("a", "p", Spec);
  Harness.advanceTime(milliseconds(450));
  EXPECT_TRUE(Harness.Workers.StartCounts.empty());
  Harness.advanceTime(milliseconds(200));
  EXPECT_EQ(Harness.Workers.StartCounts.size(), 1U);
  Harness.advanceTime(seconds(1));
  EXPECT_EQ(Harness.Workers.StartCounts.size(), 3U);
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
}

TEST(Dispatcher, RestartsALongRunningTaskHoweverItEnds) {
  SchedulerHarness Harness;
  Harness.addPool("p", 3, 8);
  Harness.beginLeadership();
  JobSpec Spec = makeChainSpec(1, 2, 1000, 400);
  Spec.Steps[0].LongRunning = true;
  Harness.submitJob("a", "p", Spec);
  Harness.advanceTime(seconds(3));
  EXPECT_GE((Harness.Workers.StartCounts[{"a", 0, 0, 0}]), 5);
  EXPECT_FALSE(Harness.Store.findJob("a")->hasEnded());
}

TEST(Dispatcher, SlowsTasksOnSpareCpuWhileTailLatencyIsTooHigh) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 8);
  Harness.beginLeadership();
  JobSpec Serving = makeChainSpec(1, 1, 1000, 100000);
  Serving.Steps[0].LongRunning = true;
  Serving.Steps[0].TailTargetMs = 100;
  JobSpec Filling = makeChainSpec(1, 1, 8000, 100000);
  Filling.Steps[0].UsesSpareCpu = true;
  Harness.submitJob("serves", "p", Serving);
  Harness.submitJob("fills", "p", Filling);
  Harness.advanceTime(seconds(1));
  EXPECT_TRUE(Harness.Workers.PaceOrders.empty());
  Harness.Workers.Gauges[{"serves", 0, 0, 0}] = 150;
  Harness.advanceTime(seconds(3));
  ASSERT_FALSE(Harness.Workers.PaceOrders.empty());
  EXPECT_EQ(Harness.Workers.PaceOrders.front().Task.Job, "fills");
  EXPECT_LT(Harness.Workers.PaceOrders.back().Percent, 50U);
  Harness.Workers.Gauges[{"serves", 0, 0, 0}] = 10;
  Harness.advanceTime(seconds(5));
  EXPECT_EQ(Harness.Workers.PaceOrders.back().Percent, 100U);
}

// Responses of many workers arrive in quick succession; a pass over all waiting
// jobs for each of them cost the leader of a large fleet its processor.
TEST(Dispatcher, OnePassHandlesWhatSeveralResponsesChange) {
  constexpr size_t Workers = 20;
  auto CountPasses = [](Duration IntervalPerWorker) {
    DispatcherOptions Options;
    Options.PassIntervalPerWorker = IntervalPerWorker;
    SchedulerHarness Fleet(
        [](const TaskId &Task, const StepSpec &Spec) {
          return Spec.EstimateMs + int64_t{7} * Task.Index;
        },
        Options);
    Fleet.addPool("p", Workers, 16);
    Fleet.beginLeadership();
    for (int I = 0; I < 100; ++I) {
      Fleet.submitJob("j" + std::to_string(I), "p",
                      makeChainSpec(2, 8, 1000, 300));
      Fleet.advanceTime(milliseconds(10));
    }
    Fleet.advanceTime(seconds(3));
    EXPECT_EQ(Fleet.countJobsInState(JobState::Completed), 100U);
    EXPECT_TRUE(Fleet.Workers.Violations.empty());
    return Fleet.Scheduler->counters().SchedulingPasses;
  };
  constexpr uint64_t RunMillis = 4000;
  constexpr uint64_t IntervalMillis = Workers * 1;
  EXPECT_LE(CountPasses(milliseconds(1)), RunMillis / IntervalMillis + 1);
  EXPECT_GT(CountPasses(Duration(0)), RunMillis / IntervalMillis + 1);
}

TEST(Dispatcher, CountsJobsThatHaveNotStarted) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 1);
  Harness.beginLeadership();
  for (int I = 0; I < 5; ++I)
    Harness.submitJob("j" + std::to_string(I), "p",
                      makeChainSpec(1, 1, 1000, 1000));
  Harness.advanceTime(milliseconds(200));
  EXPECT_EQ(Harness.Scheduler->pendingJobCount("p"), 4U);
  EXPECT_EQ(Harness.Scheduler->pendingJobCount("other"), 0U);
}

// Guards against a job that counts as started because a start was booked,
// though no worker has begun a task of it (review/5, review/16x).
TEST(Dispatcher, AJobIsPendingUntilAWorkerHasBegunATask) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 4);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(200));
  WorkerFaults &Faults = Harness.Workers.at("p-0").Faults;
  Faults.OrderDelay = milliseconds(500);
  Faults.DelayedOrderCount = 1;
  Harness.submitJob("late", "p", makeChainSpec(1, 1, 1000, 3000));
  Harness.advanceTime(milliseconds(300));
  EXPECT_EQ(Harness.Scheduler->pendingJobCount("p"), 1U);
  const JobRecord *Late = Harness.Store.findJob("late");
  EXPECT_EQ(Harness.Scheduler->jobState(*Late), JobState::Queued);
  Harness.advanceTime(milliseconds(1700));
  EXPECT_EQ(Harness.Scheduler->pendingJobCount("p"), 0U);
  EXPECT_EQ(Harness.Scheduler->jobState(*Late), JobState::Running);
  Faults.IsUnreachable = true;
  Harness.submitJob("lost", "p", makeChainSpec(1, 1, 1000, 3000));
  for (int I = 0; I < 20; ++I) {
    Harness.advanceTime(milliseconds(300));
    EXPECT_EQ(Harness.Scheduler->pendingJobCount("p"), 1U);
  }
}

// Guards against a new leader that reports that no job waits before it has
// counted them.
TEST(Dispatcher, ANewLeaderCountsPendingJobsAtOnce) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 1);
  Harness.beginLeadership();
  for (int I = 0; I < 5; ++I)
    Harness.submitJob("j" + std::to_string(I), "p",
                      makeChainSpec(1, 1, 1000, 3000));
  Harness.advanceTime(milliseconds(200));
  Harness.beginLeadership();
  EXPECT_GE(Harness.Scheduler->pendingJobCount("p"), 4U);
  Harness.advanceTime(milliseconds(1000));
  EXPECT_EQ(Harness.Scheduler->pendingJobCount("p"), 4U);
}

TEST(Dispatcher, OverdueJobsStillCountInDemand) {
  // In a burst beyond the pool's capacity, waiting jobs become overdue. They
  // must still count in the demand, or the pool would shrink.
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 8);
  Harness.beginLeadership();
  for (int I = 0; I < 40; ++I)
    Harness.submitJob("j" + std::to_string(I), "p",
                      makeChainSpec(1, 8, 1000, 500));
  Harness.advanceTime(seconds(3));
  EXPECT_GT(Harness.Scheduler->computeDemand("p").BatchCores, 8.0);
}

TEST(Dispatcher, JobsThatFitNowhereDoNotCountInDemand) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 8);
  Harness.beginLeadership();
  JobSpec Large = makeChainSpec(1, 4, 9000, 500);
  JobSpec Labelled = makeChainSpec(1, 4, 1000, 500);
  Labelled.Steps[0].RequiredLabel = "no such kind";
  Harness.submitJob("large", "p", Large);
  Harness.submitJob("labelled", "p", Labelled);
  Harness.advanceTime(seconds(3));
  EXPECT_EQ(Harness.Scheduler->computeDemand("p").BatchCores, 0.0);
}

TEST(Dispatcher, JobsCountInDemandOnlyWhileTheirCallersWait) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 8);
  Harness.beginLeadership();
  Harness.Workers.at("p-0").Faults.IsUnreachable = true;
  Harness.submitJob("a", "p", makeChainSpec(1, 4, 1000, 500));
  // The objective is 1.4 s after acceptance, and three times that has passed.
  Harness.advanceTime(milliseconds(4300));
  EXPECT_EQ(Harness.Scheduler->computeDemand("p").BatchCores, 0.0);
}

} // namespace
