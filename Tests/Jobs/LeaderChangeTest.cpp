// What a new leader does with tasks that an earlier one may have started.

#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

TEST(LeaderChange, ANewLeaderTakesUpWhatRuns) {
  SchedulerHarness Frame;
  Frame.addPool("p", 3, 8);
  Frame.beginLeadership();
  Frame.submitJob("a", "p", makeChainSpec(2, 5, 1000, 600));
  Frame.advanceTime(milliseconds(300));
  Frame.beginLeadership();
  Frame.advanceTime(seconds(3));
  EXPECT_EQ(Frame.jobState("a"), JobState::Completed);
  for (const auto &[Task, Count] : Frame.Workers.StartCounts)
    EXPECT_EQ(Count, 1) << Task.Step << "." << Task.Index;
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
}

TEST(LeaderChange, AnEndThatWasNotNotedIsReadAgain) {
  SchedulerHarness Frame;
  Frame.addPool("p", 2, 8);
  Frame.beginLeadership();
  Frame.submitJob("a", "p", makeChainSpec(1, 4, 1000, 200));
  // The tasks end while nobody leads.
  Frame.advanceTime(milliseconds(100));
  Frame.Scheduler.reset();
  Frame.advanceTime(milliseconds(500));
  Frame.beginLeadership();
  Frame.advanceTime(milliseconds(500));
  EXPECT_EQ(Frame.jobState("a"), JobState::Completed);
  for (const auto &[Task, Count] : Frame.Workers.StartCounts)
    EXPECT_EQ(Count, 1);
}

TEST(LeaderChange, NothingOfAnEarlierLeaderStartsWhileAWorkerIsUnread) {
  SchedulerHarness Frame;
  Frame.addPool("p", 3, 8);
  Frame.beginLeadership();
  Frame.advanceTime(milliseconds(100));
  Frame.submitJob("a", "p", makeChainSpec(1, 3, 1000, 20000));
  Frame.advanceTime(milliseconds(100));
  // The worker runs on, unseen by the new leader, until its lease is over.
  Frame.Workers.at("p-1").Faults.IsUnreachable = true;
  Frame.beginLeadership();
  Frame.submitJob("b", "p", makeChainSpec(1, 2, 1000, 200));
  Frame.advanceTime(seconds(2));
  EXPECT_EQ(Frame.jobState("b"), JobState::Completed);
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
  Frame.advanceTime(seconds(5));
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
  size_t Running = 0;
  for (const auto &[Id, Worker] : Frame.Workers.all())
    Running += Worker.Runs.size();
  EXPECT_EQ(Running, 3U);
}

TEST(LeaderChange, ADeposedLeaderStopsOrdering) {
  SchedulerHarness Frame;
  Frame.addPool("p", 1, 8);
  Frame.beginLeadership();
  Frame.advanceTime(milliseconds(100));
  Frame.Workers.at("p-0").Token = 99;
  Frame.advanceTime(seconds(3));
  EXPECT_TRUE(Frame.WasDeposed);
  uint64_t Looks = Frame.Scheduler->counters().Polls;
  Frame.submitJob("a", "p", makeChainSpec(1, 1, 1000, 100));
  Frame.advanceTime(seconds(2));
  EXPECT_EQ(Frame.Scheduler->counters().Polls, Looks);
  EXPECT_TRUE(Frame.Workers.StartCounts.empty());
}

TEST(LeaderChange, WhatMayRunUnseenCountsTowardsTheMaximum) {
  SchedulerHarness Frame;
  Frame.Configuration.Organisations.front().Maximum = {4000, 0, 0};
  Frame.addPool("p", 3, 8);
  Frame.beginLeadership();
  Frame.submitJob("a", "p", makeChainSpec(1, 4, 1000, 20000));
  Frame.advanceTime(milliseconds(200));
  for (const char *Id : {"p-0", "p-1", "p-2"})
    if (!Frame.Workers.at(Id).Runs.empty())
      Frame.Workers.at(Id).Faults.IsUnreachable = true;
  Frame.beginLeadership();
  Frame.submitJob("b", "p", makeChainSpec(1, 3, 1000, 200));
  for (int I = 0; I < 300; ++I) {
    Frame.advanceTime(milliseconds(10));
    EXPECT_LE(Frame.Workers.RunningByOrganisation["org"].Cpu, 4000);
  }
}

TEST(LeaderChange, AStoreThatIsReplacedLeavesNothingDangling) {
  // A leader that lost touch may be sent a snapshot before it hears that it no
  // longer leads.
  SchedulerHarness Frame;
  Frame.addPool("p", 2, 8);
  Frame.beginLeadership();
  Frame.submitJob("a", "p", makeChainSpec(2, 4, 1000, 300));
  Frame.advanceTime(milliseconds(100));
  Frame.Store.restore(Frame.Store.snapshot());
  Frame.Scheduler->onConfigurationChanged();
  Frame.advanceTime(seconds(2));
  EXPECT_EQ(Frame.jobState("a"), JobState::Completed);
}

TEST(LeaderChange, TasksOfACancelledJobThatStillRunAreStopped) {
  SchedulerHarness Frame;
  Frame.addPool("p", 2, 8);
  Frame.beginLeadership();
  Frame.submitJob("a", "p", makeChainSpec(1, 4, 1000, 60000));
  Frame.advanceTime(milliseconds(200));
  Frame.Scheduler.reset();
  Frame.cancelJob("a");
  Frame.beginLeadership();
  Frame.advanceTime(milliseconds(500));
  for (const auto &[Id, Worker] : Frame.Workers.all())
    EXPECT_TRUE(Worker.Runs.empty()) << Id;
}

} // namespace
