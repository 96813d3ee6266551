// The scheduler on a sound fleet: order of steps, room, limits, attempts,
// cancellation, gangs, speculative copies and long-running tasks.

#include "Support/SchedulerFrame.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

TEST(Dispatcher, RunsStepsInOrder) {
  SchedulerFrame Frame;
  Frame.addPool("p", 4, 8);
  Frame.lead();
  Frame.submit("a", "p", chain(3, 6, 1000, 200));
  Frame.run(seconds(2));
  EXPECT_EQ(Frame.stateOf("a"), JobState::Completed);
  EXPECT_EQ(Frame.Workers.Broken, std::vector<std::string>());
  // Three steps of 200 ms, and what looks and commits add.
  EXPECT_LT(Frame.tookMs("a"), 800);
}

TEST(Dispatcher, StartsEachTaskOnce) {
  SchedulerFrame Frame;
  Frame.addPool("p", 3, 8);
  Frame.lead();
  for (int I = 0; I < 20; ++I)
    Frame.submit("j" + std::to_string(I), "p", chain(2, 4, 1500, 150));
  Frame.run(seconds(6));
  EXPECT_EQ(Frame.countIn(JobState::Completed), 20U);
  for (const auto &[Task, Count] : Frame.Workers.Starts)
    EXPECT_EQ(Count, 1) << Task.Job;
  EXPECT_EQ(Frame.Workers.Broken, std::vector<std::string>());
}

TEST(Dispatcher, NeverAsksForMoreThanAWorkersRoom) {
  SchedulerFrame Frame;
  Frame.addPool("p", 2, 4);
  Frame.lead();
  for (int I = 0; I < 10; ++I)
    Frame.submit("j" + std::to_string(I), "p", chain(1, 3, 3000, 100));
  Frame.run(seconds(5));
  EXPECT_EQ(Frame.countIn(JobState::Completed), 10U);
  EXPECT_EQ(Frame.Leader->counters().StartsRefused, 0U);
}

TEST(Dispatcher, FailsAJobAfterItsAttemptsAndNeverStartsItAgain) {
  // Of two tasks one always fails; the other ends after the job has failed,
  // which must not make the job startable again.
  SchedulerFrame Frame([](const TaskName &Task, const StepSpec &) {
    return Task.Index == 0 ? -50 : 700;
  });
  Frame.addPool("p", 4, 8);
  Frame.lead();
  Frame.submit("a", "p", chain(1, 2, 1000, 100));
  Frame.run(seconds(4));
  EXPECT_EQ(Frame.stateOf("a"), JobState::Failed);
  EXPECT_EQ((Frame.Workers.Starts[{"a", 0, 0, 0}]), 2);
  EXPECT_EQ((Frame.Workers.Starts[{"a", 0, 0, 1}]), 1);
}

TEST(Dispatcher, StopsAllTasksOfACancelledJob) {
  SchedulerFrame Frame;
  Frame.addPool("p", 2, 8);
  Frame.lead();
  Frame.submit("a", "p", chain(2, 6, 1000, 5000));
  Frame.run(milliseconds(300));
  Frame.cancel("a");
  Frame.run(milliseconds(300));
  EXPECT_EQ(Frame.stateOf("a"), JobState::Cancelled);
  for (const auto &[Id, Worker] : Frame.Workers.all())
    EXPECT_TRUE(Worker.Runs.empty()) << Id;
}

TEST(Dispatcher, KeepsAnOrganisationWithinItsMaximum) {
  SchedulerFrame Frame;
  Frame.Configuration.Organisations.front().Maximum = {5000, 0, 0};
  Frame.addPool("p", 4, 16);
  Frame.lead();
  for (int I = 0; I < 6; ++I)
    Frame.submit("j" + std::to_string(I), "p", chain(1, 4, 1000, 100));
  for (int I = 0; I < 300; ++I) {
    Frame.run(milliseconds(10));
    EXPECT_LE(Frame.Workers.Running["org"].Cpu, 5000);
  }
  EXPECT_EQ(Frame.countIn(JobState::Completed), 6U);
}

TEST(Dispatcher, SpreadsAStepThatMayNotShareAWorker) {
  SchedulerFrame Frame;
  Frame.addPool("p", 3, 16);
  Frame.lead();
  JobSpec Spec = chain(1, 6, 1000, 200);
  Spec.Steps[0].MaxPerWorker = 1;
  Frame.submit("a", "p", Spec);
  Frame.run(seconds(2));
  EXPECT_EQ(Frame.stateOf("a"), JobState::Completed);
  EXPECT_EQ(Frame.Workers.Broken, std::vector<std::string>());
}

TEST(Dispatcher, StartsAGangWholeAndOnOneRackIfItFits) {
  SchedulerFrame Frame;
  Frame.addPool("p", 8, 8);
  Frame.lead();
  JobSpec Spec = chain(1, 4, 6000, 300);
  Spec.Steps[0].Gang = true;
  Spec.Steps[0].RackLocal = true;
  Frame.submit("a", "p", Spec);
  Frame.run(milliseconds(100));
  std::set<std::string> Racks;
  size_t Members = 0;
  for (const auto &[Id, Worker] : Frame.Workers.all())
    if (!Worker.Runs.empty()) {
      Racks.insert(Worker.Entry.rack());
      Members += Worker.Runs.size();
    }
  EXPECT_EQ(Members, 4U);
  EXPECT_EQ(Racks.size(), 1U);
  Frame.run(seconds(1));
  EXPECT_EQ(Frame.stateOf("a"), JobState::Completed);
}

TEST(Dispatcher, WaitsWithAGangUntilAllOfItFits) {
  SchedulerFrame Frame;
  Frame.addPool("p", 2, 4);
  Frame.lead();
  Frame.submit("busy", "p", chain(1, 1, 4000, 600));
  Frame.run(milliseconds(100));
  JobSpec Spec = chain(1, 2, 4000, 100);
  Spec.Steps[0].Gang = true;
  Frame.submit("gang", "p", Spec);
  Frame.run(milliseconds(300));
  EXPECT_EQ((Frame.Workers.Starts[{"gang", 0, 0, 0}]), 0);
  Frame.run(seconds(1));
  EXPECT_EQ(Frame.stateOf("gang"), JobState::Completed);
}

TEST(Dispatcher, RunsARepeatedJobWhenItIsDue) {
  SchedulerFrame Frame;
  Frame.addPool("p", 2, 8);
  Frame.lead();
  JobSpec Spec = chain(1, 1, 1000, 50);
  Spec.Times.Count = 3;
  Spec.Times.StartAt = 1800000000000 + 1000000 + 500;
  Spec.Times.IntervalMs = 400;
  Frame.submit("a", "p", Spec);
  Frame.run(milliseconds(450));
  EXPECT_TRUE(Frame.Workers.Starts.empty());
  Frame.run(milliseconds(200));
  EXPECT_EQ(Frame.Workers.Starts.size(), 1U);
  Frame.run(seconds(1));
  EXPECT_EQ(Frame.Workers.Starts.size(), 3U);
  EXPECT_EQ(Frame.stateOf("a"), JobState::Completed);
}

TEST(Dispatcher, RestartsALongRunningTaskHoweverItEnds) {
  SchedulerFrame Frame;
  Frame.addPool("p", 3, 8);
  Frame.lead();
  JobSpec Spec = chain(1, 2, 1000, 400);
  Spec.Steps[0].LongRunning = true;
  Frame.submit("a", "p", Spec);
  Frame.run(seconds(3));
  EXPECT_GE((Frame.Workers.Starts[{"a", 0, 0, 0}]), 5);
  EXPECT_FALSE(Frame.Store.job("a")->ended());
}

TEST(Dispatcher, PacesWhatFillsWhileATailIsTooLong) {
  SchedulerFrame Frame;
  Frame.addPool("p", 1, 8);
  Frame.lead();
  JobSpec Serving = chain(1, 1, 1000, 100000);
  Serving.Steps[0].LongRunning = true;
  Serving.Steps[0].TailTargetMs = 100;
  JobSpec Filling = chain(1, 1, 8000, 100000);
  Filling.Steps[0].Fills = true;
  Frame.submit("serves", "p", Serving);
  Frame.submit("fills", "p", Filling);
  Frame.run(seconds(1));
  EXPECT_TRUE(Frame.Workers.Paces.empty());
  Frame.Workers.Gauges[{"serves", 0, 0, 0}] = 150;
  Frame.run(seconds(3));
  ASSERT_FALSE(Frame.Workers.Paces.empty());
  EXPECT_EQ(Frame.Workers.Paces.front().Task.Job, "fills");
  EXPECT_LT(Frame.Workers.Paces.back().Percent, 50U);
  Frame.Workers.Gauges[{"serves", 0, 0, 0}] = 10;
  Frame.run(seconds(5));
  EXPECT_EQ(Frame.Workers.Paces.back().Percent, 100U);
}

TEST(Dispatcher, CountsJobsThatHaveNotBegun) {
  SchedulerFrame Frame;
  Frame.addPool("p", 1, 1);
  Frame.lead();
  for (int I = 0; I < 5; ++I)
    Frame.submit("j" + std::to_string(I), "p", chain(1, 1, 1000, 1000));
  Frame.run(milliseconds(200));
  EXPECT_EQ(Frame.Leader->pendingOf("p"), 4U);
  EXPECT_EQ(Frame.Leader->pendingOf("other"), 0U);
}

TEST(Dispatcher, WorkThatIsLateStillAsksForRoom) {
  // A burst that the pool can't hold: what waits becomes late, and the pool
  // must not shrink on that account.
  SchedulerFrame Frame;
  Frame.addPool("p", 1, 8);
  Frame.lead();
  for (int I = 0; I < 40; ++I)
    Frame.submit("j" + std::to_string(I), "p", chain(1, 8, 1000, 500));
  Frame.run(seconds(3));
  EXPECT_GT(Frame.Leader->demandOf("p").PassingCores, 8.0);
}

TEST(Dispatcher, WorkThatCanNeverRunAsksForNoRoom) {
  SchedulerFrame Frame;
  Frame.addPool("p", 2, 8);
  Frame.lead();
  JobSpec Large = chain(1, 4, 9000, 500);
  JobSpec Labelled = chain(1, 4, 1000, 500);
  Labelled.Steps[0].Requirement = "no such kind";
  Frame.submit("large", "p", Large);
  Frame.submit("labelled", "p", Labelled);
  Frame.run(seconds(3));
  EXPECT_EQ(Frame.Leader->demandOf("p").PassingCores, 0.0);
}

TEST(Dispatcher, WorkAsksForRoomNoLongerThanItsCallersWait) {
  SchedulerFrame Frame;
  Frame.addPool("p", 1, 8);
  Frame.lead();
  Frame.Workers.at("p-0").Faults.Silent = true;
  Frame.submit("a", "p", chain(1, 4, 1000, 500));
  // Its objective is 1.4 s, and three of them have gone by.
  Frame.run(milliseconds(4300));
  EXPECT_EQ(Frame.Leader->demandOf("p").PassingCores, 0.0);
}

} // namespace
