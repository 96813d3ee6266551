// Tests how a new leader treats tasks that an earlier leader may have started.

#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

TEST(LeaderChange, ANewLeaderAdoptsRunningTasks) {
  SchedulerHarness Harness;
  Harness.addPool("p", 3, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(2, 5, 1000, 600));
  Harness.advanceTime(milliseconds(300));
  Harness.beginLeadership();
  Harness.advanceTime(seconds(3));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  for (const auto &[Task, Count] : Harness.Workers.StartCounts)
    EXPECT_EQ(Count, 1) << Task.Step << "." << Task.Index;
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

TEST(LeaderChange, UnrecordedRunResultsArePolledAgain) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(1, 4, 1000, 200));
  // The tasks end while there is no leader.
  Harness.advanceTime(milliseconds(100));
  Harness.Scheduler.reset();
  Harness.advanceTime(milliseconds(500));
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(500));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  for (const auto &[Task, Count] : Harness.Workers.StartCounts)
    EXPECT_EQ(Count, 1);
}

// Results whose commit failed must not be acknowledged: the worker would forget
// an end that no later leader knows.
TEST(LeaderChange, ResultsThatWereNotCommittedAreProposedAgain) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 8);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(100));
  Harness.submitJob("a", "p", makeChainSpec(1, 4, 1000, 200));
  Harness.advanceTime(milliseconds(100));
  Harness.FailsProposals = true;
  Harness.advanceTime(seconds(1));
  EXPECT_EQ(Harness.jobState("a"), JobState::Queued);
  Harness.FailsProposals = false;
  Harness.beginLeadership();
  Harness.advanceTime(seconds(1));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  for (const auto &[Task, Count] : Harness.Workers.StartCounts)
    EXPECT_EQ(Count, 1) << Task.Index;
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

// A VM order ends the worker and the ends that it lists. A leader that fails
// before it has committed them must not have taken the VM away: the tasks would
// run again.
TEST(LeaderChange, AWorkerIsNotIdleUntilItsResultsAreCommitted) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 8);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(100));
  Harness.submitJob("a", "p", makeChainSpec(1, 4, 1000, 200));
  Harness.advanceTime(milliseconds(100));
  Harness.FailsProposals = true;
  Harness.advanceTime(seconds(1));
  const TrackedWorker &Worker =
      Harness.Scheduler->workers().all().begin()->second;
  ASSERT_TRUE(Worker.Runs.empty());
  EXPECT_FALSE(Harness.Scheduler->isKnownIdle(Worker));
  Harness.FailsProposals = false;
  Harness.advanceTime(milliseconds(300));
  EXPECT_TRUE(Harness.Scheduler->isKnownIdle(Worker));
}

TEST(LeaderChange, InheritedTasksWaitUntilEveryWorkerIsPolled) {
  SchedulerHarness Harness;
  Harness.addPool("p", 3, 8);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(100));
  Harness.submitJob("a", "p", makeChainSpec(1, 3, 1000, 20000));
  Harness.advanceTime(milliseconds(100));
  // The worker keeps running, unreachable for the new leader, until its lease
  // expires.
  Harness.Workers.at("p-1").Faults.IsUnreachable = true;
  Harness.beginLeadership();
  Harness.submitJob("b", "p", makeChainSpec(1, 2, 1000, 200));
  Harness.advanceTime(seconds(2));
  EXPECT_EQ(Harness.jobState("b"), JobState::Completed);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
  Harness.advanceTime(seconds(5));
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
  size_t Running = 0;
  for (const auto &[Id, Worker] : Harness.Workers.all())
    Running += Worker.Runs.size();
  EXPECT_EQ(Running, 3U);
}

// Guards against a second start of tasks whose queue was directed to another
// pool while they ran: a new leader must not look in the new pool alone.
TEST(LeaderChange, TasksMayStillRunInThePoolThatTheirQueueHadBefore) {
  SchedulerHarness Harness;
  Harness.addPool("p", 3, 8);
  Harness.addPool("q", 2, 8);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(100));
  Harness.submitJob("a", "p", makeChainSpec(1, 3, 1000, 20000));
  Harness.submitJob("c", "q", makeChainSpec(2, 1, 1000, 300));
  Harness.advanceTime(milliseconds(100));
  Harness.Scheduler.reset();
  Harness.Store.apply(PutConfiguration{2, {}});
  ServiceConfiguration Previous = Harness.Configuration;
  Harness.Configuration.Version = 2;
  Harness.Configuration.Queues.front().Pool = "q";
  Harness.Configuration.setPoolVersions(Previous);
  Harness.submitJob("b", "p", makeChainSpec(1, 2, 1000, 200));
  Harness.Store.restore(Harness.Store.snapshot());
  for (const char *Id : {"p-0", "p-1", "p-2"})
    Harness.Workers.at(Id).Faults.IsUnreachable = true;
  Harness.beginLeadership();
  Harness.advanceTime(seconds(2));
  // Jobs that can have run in one pool alone wait for no other.
  EXPECT_EQ(Harness.jobState("b"), JobState::Completed);
  EXPECT_EQ(Harness.jobState("c"), JobState::Completed);
  Harness.advanceTime(seconds(25));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

TEST(LeaderChange, ADeposedLeaderIssuesNoOrders) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 8);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(100));
  Harness.Workers.at("p-0").Token = 99;
  Harness.advanceTime(seconds(3));
  EXPECT_TRUE(Harness.WasDeposed);
  uint64_t Looks = Harness.Scheduler->counters().Polls;
  Harness.submitJob("a", "p", makeChainSpec(1, 1, 1000, 100));
  Harness.advanceTime(seconds(2));
  EXPECT_EQ(Harness.Scheduler->counters().Polls, Looks);
  EXPECT_TRUE(Harness.Workers.StartCounts.empty());
}

TEST(LeaderChange, TasksOnUnreachableWorkersCountTowardsTheMaximum) {
  SchedulerHarness Harness;
  Harness.Configuration.Organisations.front().Maximum = {4000, 0, 0};
  Harness.addPool("p", 3, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(1, 4, 1000, 20000));
  Harness.advanceTime(milliseconds(200));
  for (const char *Id : {"p-0", "p-1", "p-2"})
    if (!Harness.Workers.at(Id).Runs.empty())
      Harness.Workers.at(Id).Faults.IsUnreachable = true;
  Harness.beginLeadership();
  Harness.submitJob("b", "p", makeChainSpec(1, 3, 1000, 200));
  for (int I = 0; I < 300; ++I) {
    Harness.advanceTime(milliseconds(10));
    EXPECT_LE(Harness.Workers.RunningByOrganisation["org"].Cpu, 4000);
  }
}

TEST(LeaderChange, RestoringTheStoreLeavesNoDanglingReferences) {
  // A leader cut off from the group may be sent a snapshot before it learns
  // that it no longer leads. The scheduler must not keep references into the
  // replaced store.
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(2, 4, 1000, 300));
  Harness.advanceTime(milliseconds(100));
  Harness.Store.restore(Harness.Store.snapshot());
  Harness.Scheduler->onConfigurationChanged();
  Harness.advanceTime(seconds(2));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
}

TEST(LeaderChange, RunningTasksOfACancelledJobAreStopped) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(1, 4, 1000, 60000));
  Harness.advanceTime(milliseconds(200));
  Harness.Scheduler.reset();
  Harness.cancelJob("a");
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(500));
  for (const auto &[Id, Worker] : Harness.Workers.all())
    EXPECT_TRUE(Worker.Runs.empty()) << Id;
}

} // namespace
