// Tests how a new leader treats tasks that an earlier leader may have started.

#include "Support/SchedulerFrame.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

TEST(LeaderChange, ANewLeaderAdoptsRunningTasks) {
  SchedulerFrame Harness;
  Harness.addPool("p", 3, 8);
  Harness.lead();
  Harness.submit("a", "p", chain(2, 5, 1000, 600));
  Harness.run(milliseconds(300));
  Harness.lead();
  Harness.run(seconds(3));
  EXPECT_EQ(Harness.stateOf("a"), JobState::Completed);
  for (const auto &[Task, Count] : Harness.Workers.Starts)
    EXPECT_EQ(Count, 1) << Task.Step << "." << Task.Index;
  EXPECT_EQ(Harness.Workers.Broken, std::vector<std::string>());
}

TEST(LeaderChange, UnrecordedRunResultsArePolledAgain) {
  SchedulerFrame Harness;
  Harness.addPool("p", 2, 8);
  Harness.lead();
  Harness.submit("a", "p", chain(1, 4, 1000, 200));
  // The tasks end while there is no leader.
  Harness.run(milliseconds(100));
  Harness.Leader.reset();
  Harness.run(milliseconds(500));
  Harness.lead();
  Harness.run(milliseconds(500));
  EXPECT_EQ(Harness.stateOf("a"), JobState::Completed);
  for (const auto &[Task, Count] : Harness.Workers.Starts)
    EXPECT_EQ(Count, 1);
}

TEST(LeaderChange, InheritedTasksWaitUntilEveryWorkerIsPolled) {
  SchedulerFrame Harness;
  Harness.addPool("p", 3, 8);
  Harness.lead();
  Harness.run(milliseconds(100));
  Harness.submit("a", "p", chain(1, 3, 1000, 20000));
  Harness.run(milliseconds(100));
  // The worker keeps running, unreachable for the new leader, until its lease
  // expires.
  Harness.Workers.at("p-1").Faults.Silent = true;
  Harness.lead();
  Harness.submit("b", "p", chain(1, 2, 1000, 200));
  Harness.run(seconds(2));
  EXPECT_EQ(Harness.stateOf("b"), JobState::Completed);
  EXPECT_EQ(Harness.Workers.Broken, std::vector<std::string>());
  Harness.run(seconds(5));
  EXPECT_EQ(Harness.Workers.Broken, std::vector<std::string>());
  size_t Running = 0;
  for (const auto &[Id, Worker] : Harness.Workers.all())
    Running += Worker.Runs.size();
  EXPECT_EQ(Running, 3U);
}

TEST(LeaderChange, ADeposedLeaderIssuesNoOrders) {
  SchedulerFrame Harness;
  Harness.addPool("p", 1, 8);
  Harness.lead();
  Harness.run(milliseconds(100));
  Harness.Workers.at("p-0").Token = 99;
  Harness.run(seconds(3));
  EXPECT_TRUE(Harness.Deposed);
  uint64_t Looks = Harness.Leader->counters().Looks;
  Harness.submit("a", "p", chain(1, 1, 1000, 100));
  Harness.run(seconds(2));
  EXPECT_EQ(Harness.Leader->counters().Looks, Looks);
  EXPECT_TRUE(Harness.Workers.Starts.empty());
}

TEST(LeaderChange, TasksOnUnreachableWorkersCountTowardsTheMaximum) {
  SchedulerFrame Harness;
  Harness.Configuration.Organisations.front().Maximum = {4000, 0, 0};
  Harness.addPool("p", 3, 8);
  Harness.lead();
  Harness.submit("a", "p", chain(1, 4, 1000, 20000));
  Harness.run(milliseconds(200));
  for (const char *Id : {"p-0", "p-1", "p-2"})
    if (!Harness.Workers.at(Id).Runs.empty())
      Harness.Workers.at(Id).Faults.Silent = true;
  Harness.lead();
  Harness.submit("b", "p", chain(1, 3, 1000, 200));
  for (int I = 0; I < 300; ++I) {
    Harness.run(milliseconds(10));
    EXPECT_LE(Harness.Workers.Running["org"].Cpu, 4000);
  }
}

TEST(LeaderChange, RestoringTheStoreLeavesNoDanglingReferences) {
  // A leader cut off from the group may be sent a snapshot before it learns
  // that it no longer leads. The scheduler must not keep references into the
  // replaced store.
  SchedulerFrame Harness;
  Harness.addPool("p", 2, 8);
  Harness.lead();
  Harness.submit("a", "p", chain(2, 4, 1000, 300));
  Harness.run(milliseconds(100));
  Harness.Store.restore(Harness.Store.snapshot());
  Harness.Leader->configurationChanged();
  Harness.run(seconds(2));
  EXPECT_EQ(Harness.stateOf("a"), JobState::Completed);
}

TEST(LeaderChange, RunningTasksOfACancelledJobAreStopped) {
  SchedulerFrame Harness;
  Harness.addPool("p", 2, 8);
  Harness.lead();
  Harness.submit("a", "p", chain(1, 4, 1000, 60000));
  Harness.run(milliseconds(200));
  Harness.Leader.reset();
  Harness.cancel("a");
  Harness.lead();
  Harness.run(milliseconds(500));
  for (const auto &[Id, Worker] : Harness.Workers.all())
    EXPECT_TRUE(Worker.Runs.empty()) << Id;
}

} // namespace
