// Tests of orders that are meant for one process of a worker and reach the next
// one, which has the same id and knows nothing of the first.

#include "Support/ForwardingPort.h"
#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

/// Expects that the job, the only one so far, is completed and that each of its
/// tasks was started once.
void expectEachTaskRanOnce(const SchedulerHarness &Harness, const JobId &Job) {
  EXPECT_EQ(Harness.jobState(Job), JobState::Completed);
  for (const auto &[Task, Count] : Harness.Workers.StartCounts)
    EXPECT_EQ(Count, 1) << Task.Step << "." << Task.Index;
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

/// A pool of four workers, the first of which has just restarted; the leader
/// does not know. Job "a" is running there by an order for the first process.
class RestartedWorker : public testing::Test {
protected:
  RestartedWorker() {
    Harness.addPool("p", 4, 8);
    Harness.beginLeadership();
    Harness.advanceTime(seconds(5));
    Harness.Workers.restart("p-0");
    Harness.submitJob("a", "p", makeChainSpec(1, 1, 1000, 4000));
    Harness.advanceTime(milliseconds(30));
    EXPECT_EQ(restarted().Runs.size(), 1U);
  }

  VirtualWorker &restarted() { return Harness.Workers.at("p-0"); }

  /// The leader learns of the restart, and orders starts of job "b" that are
  /// meant for the next process.
  void startMoreOnTheNextProcess() {
    Harness.sendHeartbeats();
    Harness.advanceTime(milliseconds(100));
    Harness.submitJob("b", "p", makeChainSpec(1, 12, 1000, 9000));
    Harness.advanceTime(milliseconds(100));
    EXPECT_GT(restarted().Runs.size(), 1U);
  }

  /// Passes time, after which the job is done, with no rule broken.
  void expectSafeCompletion(const JobId &Job, Duration Within) {
    Harness.advanceTime(Within);
    EXPECT_EQ(Harness.jobState(Job), JobState::Completed);
    EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
  }

  SchedulerHarness Harness;
};

TEST_F(RestartedWorker, AStartThatTheNextProcessTookIsNotRepeatedElsewhere) {
  Harness.sendHeartbeats();
  Harness.advanceTime(seconds(6));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  EXPECT_EQ(Harness.Workers.StartCounts.begin()->second, 1);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

// A poll may tell of the restart before a report does.
TEST_F(RestartedWorker, AStartIsNotRepeatedAfterAPollOfTheNextProcess) {
  Harness.SendsHeartbeats = false;
  Harness.advanceTime(seconds(6));
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
  Harness.SendsHeartbeats = true;
  expectSafeCompletion("a", seconds(3));
}

TEST_F(RestartedWorker, ANewLeaderWaitsForTheNextProcessToBeRead) {
  restarted().Faults.IsUnreachable = true;
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(100));
  restarted().Faults.IsUnreachable = false;
  Harness.sendHeartbeats();
  // The next process is known and silent when the leader could start the job.
  restarted().Faults.IsUnreachable = true;
  Harness.advanceTime(seconds(2));
  restarted().Faults.IsUnreachable = false;
  expectSafeCompletion("a", seconds(8));
}

TEST_F(RestartedWorker, ARunThatLeavesTheNextProcessesListsIsStartedAgain) {
  Harness.sendHeartbeats();
  Harness.advanceTime(milliseconds(500));
  EXPECT_EQ(Harness.Workers.StartCounts.begin()->second, 1);
  restarted().Runs.clear();
  Harness.advanceTime(milliseconds(500));
  EXPECT_EQ(Harness.Workers.StartCounts.begin()->second, 2);
}

// The lease in the order is an instant of the first process's clock, which is
// far ahead of the next one's.
TEST_F(RestartedWorker, TheLeaseOfTheNextProcessIsNotTakenForAShortOne) {
  startMoreOnTheNextProcess();
  restarted().Faults.IsUnreachable = true;
  expectSafeCompletion("b", seconds(25));
}

// Nothing but the answer to the start, with its clock, tells of the restart.
TEST_F(RestartedWorker, TheClockOfItsAnswerBoundsItsLeases) {
  Harness.SendsHeartbeats = false;
  restarted().Faults.IsUnreachable = true;
  expectSafeCompletion("a", seconds(15));
}

// Also a lease that an order for the first process has given to the next one.
TEST_F(RestartedWorker, ANewLeaderWaitsForTheLeasesOfTheNextProcess) {
  startMoreOnTheNextProcess();
  restarted().Faults.IsUnreachable = true;
  Harness.beginLeadership();
  expectSafeCompletion("b", seconds(25));
}

// The time of day may be 5 s off on the old leader's VM, and on the new one's.
TEST_F(RestartedWorker, ANewLeaderWhoseTimeOfDayIsAheadWaitsAsLong) {
  Harness.sendHeartbeats();
  Harness.advanceTime(milliseconds(100));
  restarted().Faults.IsUnreachable = true;
  constexpr int64_t BothOffMs = 10000;
  Harness.WallOffsetMs += BothOffMs;
  Harness.beginLeadership();
  expectSafeCompletion("a", seconds(25));
}

// Also when it has not reported yet.
TEST_F(RestartedWorker, ANewLeaderWaitsForTheLeasesOfAnUnreportedProcess) {
  Harness.SendsHeartbeats = false;
  Harness.advanceTime(milliseconds(2500)); // Polls tell of the restart.
  restarted().Faults.IsUnreachable = true;
  Harness.submitJob("b", "p", makeChainSpec(1, 1, 1000, 300));
  Harness.beginLeadership();
  Harness.advanceTime(seconds(25));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  EXPECT_EQ(Harness.jobState("b"), JobState::Completed);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

TEST_F(RestartedWorker, TheBoundOfItsLeasesHoldsOverASecondRestart) {
  VirtualWorker &Running = restarted();
  Running.Faults.IsUnreachable = true;
  Harness.advanceTime(seconds(3));
  // A report of the process that runs "a", and of a third one that does not
  // exist.
  Harness.FailsProposals = true;
  WorkerReport Report{Running.Entry, 1, 5};
  Harness.Scheduler->handleReport(Report, [](bool) {});
  ++Report.Entry.Key.Incarnation;
  Harness.Scheduler->handleReport(Report, [](bool) {});
  Harness.advanceTime(milliseconds(900));
  Harness.FailsProposals = false;
  EXPECT_EQ(Harness.Workers.StartCounts.begin()->second, 1);
  Running.Faults.IsUnreachable = false;
  expectSafeCompletion("a", seconds(10));
  // It is no predecessor of itself, so its own reports count.
  const TrackedWorker *Known =
      Harness.Scheduler->workers().find(Running.Entry.Key);
  ASSERT_NE(Known, nullptr);
  EXPECT_TRUE(Known->IsCommitted);
}

TEST(Incarnations, AnUnansweredStartMayRunOnTheNextProcess) {
  SchedulerHarness Harness;
  Harness.addPool("p", 4, 8);
  Harness.beginLeadership();
  Harness.advanceTime(seconds(5));
  Harness.SendsHeartbeats = false;
  Harness.Workers.restart("p-0");
  Harness.Workers.at("p-0").Faults.LosesResponses = true;
  Harness.submitJob("a", "p", makeChainSpec(1, 1, 1000, 4000));
  Harness.advanceTime(milliseconds(30));
  ASSERT_EQ(Harness.Workers.at("p-0").Runs.size(), 1U);
  Harness.advanceTime(seconds(15));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

/// A report that names the address of \p Worker as its own.
WorkerReport otherReportFrom(const VirtualWorker &Worker) {
  WorkerReport Report{Worker.Entry, 1, 5};
  Report.Entry.Key = {"other", Worker.Entry.Key.Incarnation + 500};
  return Report;
}

// Another writer may name an address that is not its own.
TEST(Incarnations, AReportFromAWorkersAddressEndsNothingThere) {
  SchedulerHarness Harness;
  Harness.addPool("p", 4, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(1, 8, 1000, 3000));
  Harness.advanceTime(milliseconds(200));
  bool WasAcknowledged = true;
  Harness.Scheduler->handleReport(
      otherReportFrom(Harness.Workers.at("p-0")),
      [&WasAcknowledged](bool Done) { WasAcknowledged = Done; });
  Harness.advanceTime(seconds(5));
  EXPECT_FALSE(WasAcknowledged);
  expectEachTaskRanOnce(Harness, "a");
}

// A late report of an ended process may name a later start, as may one of
// another writer.
TEST(Incarnations, AReportOfALaterStartEndsNothingOnAWorkerThatAnswers) {
  SchedulerHarness Harness;
  Harness.addPool("p", 4, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(1, 8, 1000, 6000));
  // Its lists have told the leader of the runs.
  Harness.advanceTime(seconds(3));
  WorkerReport Report{Harness.Workers.at("p-0").Entry, 1, 5};
  Report.Entry.Key.Incarnation += 500;
  Harness.Scheduler->handleReport(Report, [](bool) {});
  Harness.advanceTime(seconds(8));
  expectEachTaskRanOnce(Harness, "a");
  Harness.submitJob("b", "p", makeChainSpec(1, 32, 1000, 300));
  Harness.advanceTime(milliseconds(250));
  EXPECT_FALSE(Harness.Workers.at("p-0").Runs.empty());
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

/// Passes orders on; the first start arrives late and is not answered.
class LateStartPort : public ForwardingPort {
public:
  LateStartPort(TimerService &Timers, WorkerPort &Inner)
      : ForwardingPort(Inner), Timers(Timers) {}

  void startRun(const WorkerEntry &To, const StartOrder &Order,
                OrderCallback Done) override {
    if (!FirstWorker.empty())
      return Inner.startRun(To, Order, Done);
    FirstWorker = To.Key.Id;
    Timers.scheduleAt(Timers.now() + milliseconds(1390), [this, To, Order] {
      Inner.startRun(To, Order, [](const OrderResponse &) {});
    });
    Timers.scheduleAt(Timers.now() + milliseconds(700), [Done] { Done({}); });
  }

  std::string FirstWorker; // The late start is for it.

private:
  TimerService &Timers;
};

TEST(Incarnations, AStopOfTheEndedProcessKeepsNoLateStartFromTheNext) {
  SchedulerHarness Harness;
  LateStartPort Port(Harness.Timers, Harness.Workers);
  Harness.LeaderPort = &Port;
  Harness.addPool("p", 4, 8);
  Harness.beginLeadership();
  Harness.advanceTime(seconds(5));
  Harness.submitJob("a", "p", makeChainSpec(1, 1, 1000, 4000));
  Harness.advanceTime(milliseconds(100));
  Harness.Scheduler->setCordoned("vm-" + Port.FirstWorker, true);
  for (int I = 0; I < 1200 && Harness.Workers.StartCounts.empty(); ++I)
    Harness.advanceTime(milliseconds(1));
  ASSERT_FALSE(Harness.Workers.StartCounts.empty());
  Harness.Workers.restart(Port.FirstWorker);
  Harness.advanceTime(seconds(10));
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

TEST(Incarnations, ALateDeregistrationTakesNoLaterProcessAway) {
  SchedulerHarness Harness;
  Harness.addPool("p", 1, 8);
  Harness.beginLeadership();
  Harness.advanceTime(seconds(1));
  int64_t Ended = Harness.Workers.at("p-0").Entry.Key.Incarnation;
  Harness.Workers.restart("p-0");
  Harness.advanceTime(seconds(2));
  Harness.Scheduler->deregisterWorker("p-0", Ended);
  Harness.submitJob("a", "p", makeChainSpec(1, 1, 1000, 300));
  Harness.advanceTime(seconds(2));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  Harness.Scheduler->deregisterWorker(
      "p-0", Harness.Workers.at("p-0").Entry.Key.Incarnation);
  Harness.submitJob("b", "p", makeChainSpec(1, 1, 1000, 300));
  Harness.advanceTime(seconds(2));
  EXPECT_NE(Harness.jobState("b"), JobState::Completed);
}

// A response that is lost confirms no report.
TEST(Incarnations, AReportOfALaterStartEndsNothingWhenItsProbeIsLost) {
  SchedulerHarness Harness;
  Harness.addPool("p", 4, 8);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(1, 8, 1000, 7000));
  Harness.advanceTime(seconds(3));
  WorkerReport Report{Harness.Workers.at("p-0").Entry, 1, 5};
  Report.Entry.Key.Incarnation += 500;
  ASSERT_FALSE(Harness.Workers.at("p-0").Runs.empty());
  Harness.Scheduler->handleReport(Report, [](bool) {});
  Harness.Workers.at("p-0").Faults.LosesResponses = true;
  Harness.advanceTime(milliseconds(2));
  Harness.Workers.at("p-0").Faults.LosesResponses = false;
  Harness.advanceTime(seconds(8));
  expectEachTaskRanOnce(Harness, "a");
}

// The process is not read before the leases of the one before it have ended.
TEST_F(RestartedWorker, APartialListOfTheNextProcessIsNotAskedForWithoutPause) {
  restarted().Faults.HasUnreadableRuns = true;
  Harness.sendHeartbeats();
  Harness.advanceTime(milliseconds(10));
  uint64_t Polls = Harness.Scheduler->counters().Polls;
  Harness.advanceTime(seconds(5));
  constexpr uint64_t ManyPolls = 500; // Of four workers.
  EXPECT_LT(Harness.Scheduler->counters().Polls - Polls, ManyPolls);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

// Reports may come from another writer; a lease must rest on the worker's own
// answers.
TEST(Incarnations, AReportedClockDoesNotLengthenLeases) {
  SchedulerHarness Harness;
  Harness.addPool("p", 4, 8);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(100));
  Harness.submitJob("a", "p", makeChainSpec(1, 8, 1000, 9000));
  Harness.advanceTime(milliseconds(500));
  const VirtualWorker &Worker = Harness.Workers.at("p-0");
  Harness.Scheduler->handleReport(
      {Worker.Entry, 1000,
       toMillis(Harness.Timers.now() - Worker.StartedAt) + 400},
      [](bool) {});
  Harness.advanceTime(seconds(2));
  Harness.Workers.at("p-0").Faults.IsUnreachable = true;
  Harness.advanceTime(seconds(20));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

// A response holds a limited number of ends; what ended beyond them is neither
// running nor listed as ended.
TEST(Incarnations, ARunWhoseEndIsNotOnThePageIsNotStartedAgain) {
  SchedulerHarness Harness;
  Harness.Workers.MaxEndsPerResponse = 3;
  Harness.addPool("p", 4, 8);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(100));
  Harness.submitJob("a", "p", makeChainSpec(2, 8, 1000, 200));
  Harness.advanceTime(milliseconds(50));
  // The tasks end while there is no leader.
  Harness.Scheduler.reset();
  Harness.advanceTime(milliseconds(500));
  Harness.beginLeadership();
  Harness.advanceTime(seconds(4));
  expectEachTaskRanOnce(Harness, "a");
}

TEST(Incarnations, EndsBeyondThePageDoNotMakeRunsVanish) {
  SchedulerHarness Harness;
  Harness.Workers.MaxEndsPerResponse = 3;
  Harness.addPool("p", 2, 8);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(100));
  Harness.submitJob("a", "p", makeChainSpec(2, 16, 1000, 200));
  Harness.advanceTime(seconds(5));
  expectEachTaskRanOnce(Harness, "a");
}

} // namespace
