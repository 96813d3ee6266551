// What a new leader does with tasks that an earlier one may have started.

#include "Support/SchedulerFrame.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

TEST(LeaderChange, ANewLeaderTakesUpWhatRuns) {
  SchedulerFrame Frame;
  Frame.addPool("p", 3, 8);
  Frame.lead();
  Frame.submit("a", "p", chain(2, 5, 1000, 600));
  Frame.run(milliseconds(300));
  Frame.lead();
  Frame.run(seconds(3));
  EXPECT_EQ(Frame.stateOf("a"), JobState::Completed);
  for (const auto &[Task, Count] : Frame.Workers.Starts)
    EXPECT_EQ(Count, 1) << Task.Step << "." << Task.Index;
  EXPECT_EQ(Frame.Workers.Broken, std::vector<std::string>());
}

TEST(LeaderChange, AnEndThatWasNotNotedIsReadAgain) {
  SchedulerFrame Frame;
  Frame.addPool("p", 2, 8);
  Frame.lead();
  Frame.submit("a", "p", chain(1, 4, 1000, 200));
  // The tasks end while nobody leads.
  Frame.run(milliseconds(100));
  Frame.Leader.reset();
  Frame.run(milliseconds(500));
  Frame.lead();
  Frame.run(milliseconds(500));
  EXPECT_EQ(Frame.stateOf("a"), JobState::Completed);
  for (const auto &[Task, Count] : Frame.Workers.Starts)
    EXPECT_EQ(Count, 1);
}

TEST(LeaderChange, NothingOfAnEarlierLeaderStartsWhileAWorkerIsUnread) {
  SchedulerFrame Frame;
  Frame.addPool("p", 3, 8);
  Frame.lead();
  Frame.run(milliseconds(100));
  Frame.submit("a", "p", chain(1, 3, 1000, 20000));
  Frame.run(milliseconds(100));
  // The worker runs on, unseen by the new leader, until its lease is over.
  Frame.Workers.at("p-1").Faults.Silent = true;
  Frame.lead();
  Frame.submit("b", "p", chain(1, 2, 1000, 200));
  Frame.run(seconds(2));
  EXPECT_EQ(Frame.stateOf("b"), JobState::Completed);
  EXPECT_EQ(Frame.Workers.Broken, std::vector<std::string>());
  Frame.run(seconds(5));
  EXPECT_EQ(Frame.Workers.Broken, std::vector<std::string>());
  size_t Running = 0;
  for (const auto &[Id, Worker] : Frame.Workers.all())
    Running += Worker.Runs.size();
  EXPECT_EQ(Running, 3U);
}

TEST(LeaderChange, ADeposedLeaderStopsOrdering) {
  SchedulerFrame Frame;
  Frame.addPool("p", 1, 8);
  Frame.lead();
  Frame.run(milliseconds(100));
  Frame.Workers.at("p-0").Token = 99;
  Frame.run(seconds(3));
  EXPECT_TRUE(Frame.Deposed);
  uint64_t Looks = Frame.Leader->counters().Looks;
  Frame.submit("a", "p", chain(1, 1, 1000, 100));
  Frame.run(seconds(2));
  EXPECT_EQ(Frame.Leader->counters().Looks, Looks);
  EXPECT_TRUE(Frame.Workers.Starts.empty());
}

TEST(LeaderChange, WhatMayRunUnseenCountsTowardsTheMaximum) {
  SchedulerFrame Frame;
  Frame.Configuration.Organisations.front().Maximum = {4000, 0, 0};
  Frame.addPool("p", 3, 8);
  Frame.lead();
  Frame.submit("a", "p", chain(1, 4, 1000, 20000));
  Frame.run(milliseconds(200));
  for (const char *Id : {"p-0", "p-1", "p-2"})
    if (!Frame.Workers.at(Id).Runs.empty())
      Frame.Workers.at(Id).Faults.Silent = true;
  Frame.lead();
  Frame.submit("b", "p", chain(1, 3, 1000, 200));
  for (int I = 0; I < 300; ++I) {
    Frame.run(milliseconds(10));
    EXPECT_LE(Frame.Workers.Running["org"].Cpu, 4000);
  }
}

TEST(LeaderChange, AStoreThatIsReplacedLeavesNothingDangling) {
  // A leader that lost touch may be sent a snapshot before it hears that it no
  // longer leads.
  SchedulerFrame Frame;
  Frame.addPool("p", 2, 8);
  Frame.lead();
  Frame.submit("a", "p", chain(2, 4, 1000, 300));
  Frame.run(milliseconds(100));
  Frame.Store.restore(Frame.Store.snapshot());
  Frame.Leader->configurationChanged();
  Frame.run(seconds(2));
  EXPECT_EQ(Frame.stateOf("a"), JobState::Completed);
}

TEST(LeaderChange, TasksOfACancelledJobThatStillRunAreStopped) {
  SchedulerFrame Frame;
  Frame.addPool("p", 2, 8);
  Frame.lead();
  Frame.submit("a", "p", chain(1, 4, 1000, 60000));
  Frame.run(milliseconds(200));
  Frame.Leader.reset();
  Frame.cancel("a");
  Frame.lead();
  Frame.run(milliseconds(500));
  for (const auto &[Id, Worker] : Frame.Workers.all())
    EXPECT_TRUE(Worker.Runs.empty()) << Id;
}

} // namespace
