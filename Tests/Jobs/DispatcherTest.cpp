// The scheduler on a sound fleet: order of steps, room, limits, attempts,
// cancellation, gangs, speculative copies and long-running tasks.

#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

TEST(Dispatcher, RunsStepsInOrder) {
  SchedulerHarness Frame;
  Frame.addPool("p", 4, 8);
  Frame.beginLeadership();
  Frame.submitJob("a", "p", makeChainSpec(3, 6, 1000, 200));
  Frame.advanceTime(seconds(2));
  EXPECT_EQ(Frame.jobState("a"), JobState::Completed);
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
  // Three steps of 200 ms, and what looks and commits add.
  EXPECT_LT(Frame.completionTimeMs("a"), 800);
}

TEST(Dispatcher, StartsEachTaskOnce) {
  SchedulerHarness Frame;
  Frame.addPool("p", 3, 8);
  Frame.beginLeadership();
  for (int I = 0; I < 20; ++I)
    Frame.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(2, 4, 1500, 150));
  Frame.advanceTime(seconds(6));
  EXPECT_EQ(Frame.countJobsInState(JobState::Completed), 20U);
  for (const auto &[Task, Count] : Frame.Workers.StartCounts)
    EXPECT_EQ(Count, 1) << Task.Job;
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
}

TEST(Dispatcher, NeverAsksForMoreThanAWorkersRoom) {
  SchedulerHarness Frame;
  Frame.addPool("p", 2, 4);
  Frame.beginLeadership();
  for (int I = 0; I < 10; ++I)
    Frame.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(1, 3, 3000, 100));
  Frame.advanceTime(seconds(5));
  EXPECT_EQ(Frame.countJobsInState(JobState::Completed), 10U);
  EXPECT_EQ(Frame.Scheduler->counters().RejectedStarts, 0U);
}

TEST(Dispatcher, FailsAJobAfterItsAttemptsAndNeverStartsItAgain) {
  // Of two tasks one always fails; the other ends after the job has failed,
  // which must not make the job startable again.
  SchedulerHarness Frame([](const TaskId &Task, const StepSpec &) {
    return Task.Index == 0 ? -50 : 700;
  });
  Frame.addPool("p", 4, 8);
  Frame.beginLeadership();
  Frame.submitJob("a", "p", makeChainSpec(1, 2, 1000, 100));
  Frame.advanceTime(seconds(4));
  EXPECT_EQ(Frame.jobState("a"), JobState::Failed);
  EXPECT_EQ((Frame.Workers.StartCounts[{"a", 0, 0, 0}]), 2);
  EXPECT_EQ((Frame.Workers.StartCounts[{"a", 0, 0, 1}]), 1);
}

TEST(Dispatcher, StopsAllTasksOfACancelledJob) {
  SchedulerHarness Frame;
  Frame.addPool("p", 2, 8);
  Frame.beginLeadership();
  Frame.submitJob("a", "p", makeChainSpec(2, 6, 1000, 5000));
  Frame.advanceTime(milliseconds(300));
  Frame.cancelJob("a");
  Frame.advanceTime(milliseconds(300));
  EXPECT_EQ(Frame.jobState("a"), JobState::Cancelled);
  for (const auto &[Id, Worker] : Frame.Workers.all())
    EXPECT_TRUE(Worker.Runs.empty()) << Id;
}

TEST(Dispatcher, KeepsAnOrganisationWithinItsMaximum) {
  SchedulerHarness Frame;
  Frame.Configuration.Organisations.front().Maximum = {5000, 0, 0};
  Frame.addPool("p", 4, 16);
  Frame.beginLeadership();
  for (int I = 0; I < 6; ++I)
    Frame.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(1, 4, 1000, 100));
  for (int I = 0; I < 300; ++I) {
    Frame.advanceTime(milliseconds(10));
    EXPECT_LE(Frame.Workers.RunningByOrganisation["org"].Cpu, 5000);
  }
  EXPECT_EQ(Frame.countJobsInState(JobState::Completed), 6U);
}

TEST(Dispatcher, SpreadsAStepThatMayNotShareAWorker) {
  SchedulerHarness Frame;
  Frame.addPool("p", 3, 16);
  Frame.beginLeadership();
  JobSpec Spec = makeChainSpec(1, 6, 1000, 200);
  Spec.Steps[0].MaxPerWorker = 1;
  Frame.submitJob("a", "p", Spec);
  Frame.advanceTime(seconds(2));
  EXPECT_EQ(Frame.jobState("a"), JobState::Completed);
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
}

TEST(Dispatcher, StartsAGangWholeAndOnOneRackIfItFits) {
  SchedulerHarness Frame;
  Frame.addPool("p", 8, 8);
  Frame.beginLeadership();
  JobSpec Spec = makeChainSpec(1, 4, 6000, 300);
  Spec.Steps[0].Gang = true;
  Spec.Steps[0].RackLocal = true;
  Frame.submitJob("a", "p", Spec);
  Frame.advanceTime(milliseconds(100));
  std::set<std::string> Racks;
  size_t Members = 0;
  for (const auto &[Id, Worker] : Frame.Workers.all())
    if (!Worker.Runs.empty()) {
      Racks.insert(Worker.Entry.rack());
      Members += Worker.Runs.size();
    }
  EXPECT_EQ(Members, 4U);
  EXPECT_EQ(Racks.size(), 1U);
  Frame.advanceTime(seconds(1));
  EXPECT_EQ(Frame.jobState("a"), JobState::Completed);
}

TEST(Dispatcher, WaitsWithAGangUntilAllOfItFits) {
  SchedulerHarness Frame;
  Frame.addPool("p", 2, 4);
  Frame.beginLeadership();
  Frame.submitJob("busy", "p", makeChainSpec(1, 1, 4000, 600));
  Frame.advanceTime(milliseconds(100));
  JobSpec Spec = makeChainSpec(1, 2, 4000, 100);
  Spec.Steps[0].Gang = true;
  Frame.submitJob("gang", "p", Spec);
  Frame.advanceTime(milliseconds(300));
  EXPECT_EQ((Frame.Workers.StartCounts[{"gang", 0, 0, 0}]), 0);
  Frame.advanceTime(seconds(1));
  EXPECT_EQ(Frame.jobState("gang"), JobState::Completed);
}

TEST(Dispatcher, RunsARepeatedJobWhenItIsDue) {
  SchedulerHarness Frame;
  Frame.addPool("p", 2, 8);
  Frame.beginLeadership();
  JobSpec Spec = makeChainSpec(1, 1, 1000, 50);
  Spec.Recurrence.Count = 3;
  Spec.Recurrence.StartAt = 1800000000000 + 1000000 + 500;
  Spec.Recurrence.IntervalMs = 400;
  Frame.submitJob("a", "p", Spec);
  Frame.advanceTime(milliseconds(450));
  EXPECT_TRUE(Frame.Workers.StartCounts.empty());
  Frame.advanceTime(milliseconds(200));
  EXPECT_EQ(Frame.Workers.StartCounts.size(), 1U);
  Frame.advanceTime(seconds(1));
  EXPECT_EQ(Frame.Workers.StartCounts.size(), 3U);
  EXPECT_EQ(Frame.jobState("a"), JobState::Completed);
}

TEST(Dispatcher, RestartsALongRunningTaskHoweverItEnds) {
  SchedulerHarness Frame;
  Frame.addPool("p", 3, 8);
  Frame.beginLeadership();
  JobSpec Spec = makeChainSpec(1, 2, 1000, 400);
  Spec.Steps[0].LongRunning = true;
  Frame.submitJob("a", "p", Spec);
  Frame.advanceTime(seconds(3));
  EXPECT_GE((Frame.Workers.StartCounts[{"a", 0, 0, 0}]), 5);
  EXPECT_FALSE(Frame.Store.findJob("a")->hasEnded());
}

TEST(Dispatcher, PacesWhatFillsWhileATailIsTooLong) {
  SchedulerHarness Frame;
  Frame.addPool("p", 1, 8);
  Frame.beginLeadership();
  JobSpec Serving = makeChainSpec(1, 1, 1000, 100000);
  Serving.Steps[0].LongRunning = true;
  Serving.Steps[0].TailTargetMs = 100;
  JobSpec Filling = makeChainSpec(1, 1, 8000, 100000);
  Filling.Steps[0].UsesSpareCpu = true;
  Frame.submitJob("serves", "p", Serving);
  Frame.submitJob("fills", "p", Filling);
  Frame.advanceTime(seconds(1));
  EXPECT_TRUE(Frame.Workers.Paces.empty());
  Frame.Workers.Gauges[{"serves", 0, 0, 0}] = 150;
  Frame.advanceTime(seconds(3));
  ASSERT_FALSE(Frame.Workers.Paces.empty());
  EXPECT_EQ(Frame.Workers.Paces.front().Task.Job, "fills");
  EXPECT_LT(Frame.Workers.Paces.back().Percent, 50U);
  Frame.Workers.Gauges[{"serves", 0, 0, 0}] = 10;
  Frame.advanceTime(seconds(5));
  EXPECT_EQ(Frame.Workers.Paces.back().Percent, 100U);
}

TEST(Dispatcher, CountsJobsThatHaveNotBegun) {
  SchedulerHarness Frame;
  Frame.addPool("p", 1, 1);
  Frame.beginLeadership();
  for (int I = 0; I < 5; ++I)
    Frame.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(1, 1, 1000, 1000));
  Frame.advanceTime(milliseconds(200));
  EXPECT_EQ(Frame.Scheduler->pendingJobCount("p"), 4U);
  EXPECT_EQ(Frame.Scheduler->pendingJobCount("other"), 0U);
}

TEST(Dispatcher, WorkThatIsLateStillAsksForRoom) {
  // A burst that the pool can't hold: what waits becomes late, and the pool
  // must not shrink on that account.
  SchedulerHarness Frame;
  Frame.addPool("p", 1, 8);
  Frame.beginLeadership();
  for (int I = 0; I < 40; ++I)
    Frame.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(1, 8, 1000, 500));
  Frame.advanceTime(seconds(3));
  EXPECT_GT(Frame.Scheduler->computeDemand("p").BatchCores, 8.0);
}

TEST(Dispatcher, WorkThatCanNeverRunAsksForNoRoom) {
  SchedulerHarness Frame;
  Frame.addPool("p", 2, 8);
  Frame.beginLeadership();
  JobSpec Large = makeChainSpec(1, 4, 9000, 500);
  JobSpec Labelled = makeChainSpec(1, 4, 1000, 500);
  Labelled.Steps[0].RequiredLabel = "no such kind";
  Frame.submitJob("large", "p", Large);
  Frame.submitJob("labelled", "p", Labelled);
  Frame.advanceTime(seconds(3));
  EXPECT_EQ(Frame.Scheduler->computeDemand("p").BatchCores, 0.0);
}

TEST(Dispatcher, WorkAsksForRoomNoLongerThanItsCallersWait) {
  SchedulerHarness Frame;
  Frame.addPool("p", 1, 8);
  Frame.beginLeadership();
  Frame.Workers.at("p-0").Faults.IsUnreachable = true;
  Frame.submitJob("a", "p", makeChainSpec(1, 4, 1000, 500));
  // Its objective is 1.4 s, and three of them have gone by.
  Frame.advanceTime(milliseconds(4300));
  EXPECT_EQ(Frame.Scheduler->computeDemand("p").BatchCores, 0.0);
}

} // namespace
