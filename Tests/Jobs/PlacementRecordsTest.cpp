// Tests that a start order follows the commit of its job's record, and that a
// new leader waits only for the workers on that record.

#include "Scheduling/PlacementRecords.h"
#include "Support/ForwardingPort.h"
#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

// The module alone.

class RecordsOfJobs : public testing::Test {
protected:
  RecordsOfJobs() {
    for (const char *Id : {"w1", "w2"}) {
      WorkerEntry Entry;
      Entry.Key = {Id, 1};
      Store.apply(UpdateWorkers{{Entry}, {}});
    }
    for (const char *Job : {"a", "b"}) {
      AcceptJob Command;
      Command.Job = Job;
      Command.Spec = makeChainSpec(1, 4, 1000, 100);
      Command.RecordsPlacements = true;
      Store.apply(Command);
    }
  }

  static StartGroup makeGroup(const JobId &Job, uint32_t FirstIndex,
                              const std::vector<std::string> &Workers) {
    StartGroup Group;
    for (const std::string &Id : Workers)
      Group.push_back({{Job, 0, 0, FirstIndex++}, {Id, 1}, 1});
    return Group;
  }

  JobStore Store;
  PlacementRecords Records{Store};
};

TEST_F(RecordsOfJobs, StartsOfOnePassShareACommand) {
  Records.await(makeGroup("a", 0, {"w1"}));
  Records.await(makeGroup("a", 1, {"w1"}));
  Records.await(makeGroup("a", 2, {"w2"}));
  Records.await(makeGroup("b", 0, {"w1"}));
  std::optional<RecordPlacements> Command = Records.takeProposal();
  ASSERT_TRUE(Command);
  std::vector<JobPlacements> Expected = {{"a", {{"w1", 1}, {"w2", 1}}},
                                         {"b", {{"w1", 1}}}};
  EXPECT_EQ(Command->Jobs, Expected);
  Store.apply(*Command);
  EXPECT_EQ(Records.onProposed().Recorded.size(), 4U);
  EXPECT_EQ(Records.waitingStarts(), 0U);
  EXPECT_FALSE(Records.takeProposal());
}

// A gang must not start while a pair of it is in no committed command.
TEST_F(RecordsOfJobs, AGroupWaitsForEachOfItsCommands) {
  Records.await(makeGroup("a", 0, {"w1"}));
  std::optional<RecordPlacements> First = Records.takeProposal();
  ASSERT_TRUE(First);
  Records.await(makeGroup("a", 1, {"w1", "w2"}));
  EXPECT_FALSE(Records.takeProposal()); // The first one is in flight.
  Store.apply(*First);
  PlacementRecords::Decided Decided = Records.onProposed();
  EXPECT_EQ(Decided.Recorded.size(), 1U);
  EXPECT_TRUE(Decided.Failed.empty());
  std::optional<RecordPlacements> Second = Records.takeProposal();
  ASSERT_TRUE(Second);
  Store.apply(*Second);
  Decided = Records.onProposed();
  ASSERT_EQ(Decided.Recorded.size(), 1U);
  EXPECT_EQ(Decided.Recorded.front().size(), 2U);
}

// A start left behind by a failed command would hold its capacity for ever.
TEST_F(RecordsOfJobs, AFailedCommandFailsAllGroupsThatNeedIt) {
  Records.await(makeGroup("a", 0, {"w1"}));
  ASSERT_TRUE(Records.takeProposal());
  Records.await(makeGroup("a", 1, {"w1", "w2"}));
  Records.await(makeGroup("b", 0, {"w1"}));
  PlacementRecords::Decided Decided = Records.onProposed();
  EXPECT_EQ(Decided.Failed.size(), 2U);
  EXPECT_TRUE(Decided.Recorded.empty());
  std::optional<RecordPlacements> Next = Records.takeProposal();
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Jobs, (std::vector<JobPlacements>{{"b", {{"w1", 1}}}}));
}

TEST_F(RecordsOfJobs, AWithdrawnStartTakesItsGangAlong) {
  Records.await(makeGroup("a", 0, {"w1", "w2", "w2"}));
  EXPECT_EQ(Records.withdraw({"a", 0, 0, 1}).size(), 3U);
  EXPECT_TRUE(Records.withdraw({"a", 0, 0, 2}).empty());
  EXPECT_FALSE(Records.takeProposal());
}

// The record of a job that has ended stays empty, so nothing of it may wait for
// it.
TEST_F(RecordsOfJobs, AnEndedJobFailsItsGroups) {
  Records.await(makeGroup("a", 0, {"w1"}));
  std::optional<RecordPlacements> Command = Records.takeProposal();
  Store.apply(CancelJob{"a"});
  Store.apply(*Command);
  EXPECT_EQ(Records.onProposed().Failed.size(), 1U);
}

// The record of a job that runs for months must not grow with each restart of
// a worker.
TEST_F(RecordsOfJobs, RemovedWorkersLeaveTheRecordWithTheNextPair) {
  Store.apply(RecordPlacements{{{"a", {{"w1", 1}}}}});
  Store.apply(UpdateWorkers{{}, {{"w1", 1}}});
  Store.apply(RecordPlacements{{{"a", {{"w1", 1}, {"w2", 1}}}}});
  EXPECT_EQ(Store.findJob("a")->Placements, (std::set<WorkerKey>{{"w2", 1}}));
}

// A leader of an earlier version starts tasks without records, so a later one
// must not rely on what the records name.
TEST_F(RecordsOfJobs, ALeaderWithoutRecordsMakesThemInvalid) {
  Store.apply(RecordPlacements{{{"a", {{"w1", 1}}}}});
  JobCommand Earlier;
  ASSERT_TRUE(decodeJobCommand(encodeJobCommand(BeginLeadership{"vm", false}),
                               Earlier));
  Store.apply(Earlier);
  EXPECT_FALSE(Store.findJob("a")->Job.RecordsPlacements);
  EXPECT_TRUE(Store.findJob("a")->Placements.empty());
  JobCommand Later;
  ASSERT_TRUE(decodeJobCommand(encodeJobCommand(BeginLeadership{"vm"}), Later));
  EXPECT_TRUE(std::get<BeginLeadership>(Later).RecordsPlacements);
}

TEST_F(RecordsOfJobs, AreInSnapshots) {
  Store.apply(RecordPlacements{{{"a", {{"w1", 1}, {"w2", 1}}}}});
  JobStore Copy;
  Copy.restore(Store.snapshot());
  EXPECT_EQ(Copy.jobs(), Store.jobs());
  EXPECT_EQ(Copy.findJob("a")->Placements.size(), 2U);
}

// The scheduler with records.

/// Notes each start order whose worker is not on the job's committed record,
/// and passes all orders on.
class RecordCheckingPort : public ForwardingPort {
public:
  RecordCheckingPort(WorkerPort &Inner, const JobStore &Store)
      : ForwardingPort(Inner), Store(Store) {}

  void startRun(const WorkerEntry &To, const StartOrder &Order,
                OrderCallback Done) override {
    const JobRecord *Record = Store.findJob(Order.Task.Job);
    if (Record == nullptr ||
        (Record->Job.RecordsPlacements && !Record->Placements.count(To.Key)))
      Unrecorded.push_back(Order.Task.Job + " on " + To.Key.Id);
    ++Orders[Order.Task.Job];
    Inner.startRun(To, Order, std::move(Done));
  }

  std::vector<std::string> Unrecorded;
  std::map<JobId, int> Orders; // Start orders.

private:
  const JobStore &Store;
};

DispatcherOptions optionsWithRecords() {
  DispatcherOptions Options;
  Options.RecordsPlacements = true;
  return Options;
}

/// Longer than a pass, shorter than a commit.
constexpr Duration BeforeCommit = milliseconds(5);
constexpr Duration AfterCommit = milliseconds(30);
/// By then each reachable worker has been read and what may start has.
constexpr Duration TakeoverTime = milliseconds(300);

class RecordingFleet : public SchedulerHarness {
public:
  explicit RecordingFleet(
      size_t WorkerCount, int64_t Cores = 8,
      const DispatcherOptions &Options = optionsWithRecords())
      : SchedulerHarness([](const TaskId &,
                            const StepSpec &Spec) { return Spec.EstimateMs; },
                         Options),
        Port(Workers, Store) {
    LeaderPort = &Port;
    addPool("p", WorkerCount, Cores);
    beginLeadership();
    advanceTime(milliseconds(100));
  }
  ~RecordingFleet() { Scheduler.reset(); }
  RecordingFleet(const RecordingFleet &) = delete;
  RecordingFleet &operator=(const RecordingFleet &) = delete;

  /// Accepts a job as a version without records does.
  void submitUnrecorded(const JobId &Job, JobSpec Spec) {
    AcceptJob Command;
    Command.Job = Job;
    Command.Queue = "p";
    Command.Organisation = "org";
    Command.AcceptedAt = 1800000000000;
    Command.Spec = std::move(Spec);
    Store.apply(Command);
    Scheduler->onJobAccepted(Job);
  }

  int startsOf(const JobId &Job) const {
    int Count = 0;
    for (const auto &[Task, Starts] : Workers.StartCounts)
      Count += Task.Job == Job ? Starts : 0;
    return Count;
  }
  int countRuns(const JobId &Job) const {
    int Count = 0;
    for (const auto &[Id, Worker] : Workers.all())
      for (const auto &[Task, CurrentRun] : Worker.Runs)
        Count += Task.Job == Job ? 1 : 0;
    return Count;
  }
  size_t countEvents(const std::string &Kind) const {
    return static_cast<size_t>(
        std::count_if(LoggedEvents.begin(), LoggedEvents.end(),
                      [&](const auto &Event) { return Event.first == Kind; }));
  }
  size_t countBookedRuns() const {
    size_t Count = 0;
    for (const auto &[Key, Worker] : Scheduler->workers().all())
      Count += Worker.Runs.size();
    return Count;
  }
  /// Returns the id of the worker that runs most of the job.
  std::string workerOf(const JobId &Job) const {
    std::map<std::string, int> Counts;
    for (const auto &[Id, Worker] : Workers.all())
      for (const auto &[Task, CurrentRun] : Worker.Runs)
        Counts[Id] += Task.Job == Job ? 1 : 0;
    return std::max_element(Counts.begin(), Counts.end(),
                            [](const auto &Left, const auto &Right) {
                              return Left.second < Right.second;
                            })
        ->first;
  }
  void expectSafe() const {
    EXPECT_EQ(Workers.Violations, std::vector<std::string>());
    EXPECT_EQ(Port.Unrecorded, std::vector<std::string>());
  }

  RecordCheckingPort Port;
};

TEST(PlacementRecords, OrdersFollowTheCommit) {
  RecordingFleet Fleet(2);
  Fleet.submitJob("a", "p", makeChainSpec(2, 4, 1000, 200));
  Fleet.advanceTime(BeforeCommit);
  EXPECT_EQ(Fleet.countBookedRuns(), 4U);
  EXPECT_EQ(Fleet.startsOf("a"), 0);
  EXPECT_EQ(Fleet.Scheduler->counters().StartOrders, 0U);
  EXPECT_EQ(Fleet.Scheduler->unrecordedStarts(), 4U);
  Fleet.advanceTime(AfterCommit);
  EXPECT_EQ(Fleet.startsOf("a"), 4);
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.jobState("a"), JobState::Completed);
  // The second step needed no record where the first one had run.
  EXPECT_EQ(Fleet.Scheduler->counters().RecordedPlacements, 1U);
  Fleet.expectSafe();
}

// The next leader may rely on the record, whatever this one's settings say.
TEST(PlacementRecords, AreCommittedWhateverTheLeadersSettings) {
  RecordingFleet Fleet(2, 8, DispatcherOptions());
  AcceptJob Command;
  Command.Job = "a";
  Command.Queue = "p";
  Command.Organisation = "org";
  Command.Spec = makeChainSpec(1, 4, 1000, 200);
  Command.RecordsPlacements = true;
  Fleet.Store.apply(Command);
  Fleet.Scheduler->onJobAccepted("a");
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.jobState("a"), JobState::Completed);
  Fleet.expectSafe();
}

TEST(PlacementRecords, AFailedProposalStartsNothingAndLeavesNothing) {
  RecordingFleet Fleet(2);
  Fleet.FailsProposals = true;
  Fleet.submitJob("a", "p", makeChainSpec(1, 4, 1000, 200));
  // Each failure gives its attempt numbers back.
  Fleet.advanceTime(seconds(20));
  EXPECT_EQ(Fleet.startsOf("a"), 0);
  EXPECT_EQ(Fleet.Scheduler->counters().LostRuns, 0U);
  EXPECT_EQ(Fleet.Scheduler->counters().StopOrders, 0U);
  EXPECT_GT(Fleet.countEvents("placements_not_committed"), 100U);
  Fleet.FailsProposals = false;
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.jobState("a"), JobState::Completed);
  for (const auto &[Key, Worker] : Fleet.Scheduler->workers().all()) {
    EXPECT_EQ(Worker.UsedResources, Resources{});
    for (const auto &[Task, Attempt] :
         Fleet.Workers.at(Key.Id).HighestEndedAttempts)
      EXPECT_EQ(Attempt, 1U);
  }
  Fleet.expectSafe();
}

TEST(PlacementRecords, ALeaderThatMayNoLongerIssueOrdersSendsNoneAfterACommit) {
  RecordingFleet Fleet(2);
  Fleet.submitJob("a", "p", makeChainSpec(1, 4, 1000, 200));
  Fleet.advanceTime(BeforeCommit);
  Fleet.MayIssueOrders = false;
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.startsOf("a"), 0);
  EXPECT_EQ(Fleet.countBookedRuns(), 0U);
  EXPECT_EQ(Fleet.Scheduler->unrecordedStarts(), 0U);
  Fleet.expectSafe();
}

TEST(PlacementRecords, ALeaderThatDiesBeforeTheCommitLeavesNothingToWaitFor) {
  RecordingFleet Fleet(2);
  Fleet.FailsProposals = true;
  Fleet.submitJob("a", "p", makeChainSpec(1, 4, 1000, 20000));
  Fleet.advanceTime(BeforeCommit);
  Fleet.Workers.at("p-0").Faults.IsUnreachable = true;
  Fleet.beginLeadership();
  Fleet.advanceTime(AfterCommit);
  Fleet.FailsProposals = false;
  Fleet.advanceTime(TakeoverTime);
  EXPECT_EQ(Fleet.startsOf("a"), 4);
  Fleet.expectSafe();
}

TEST(PlacementRecords, ALeaderThatDiesBeforeTheOrderCostsNoMoreThanARead) {
  RecordingFleet Fleet(2);
  Fleet.submitJob("a", "p", makeChainSpec(1, 4, 1000, 20000));
  Fleet.advanceTime(BeforeCommit);
  Fleet.MayIssueOrders = false;
  Fleet.advanceTime(AfterCommit);
  ASSERT_EQ(Fleet.Store.findJob("a")->Placements.size(), 1U);
  ASSERT_EQ(Fleet.startsOf("a"), 0);
  Fleet.beginLeadership();
  Fleet.advanceTime(TakeoverTime);
  EXPECT_EQ(Fleet.startsOf("a"), 4);
  Fleet.expectSafe();
}

TEST(PlacementRecords,
     ALeaderThatDiesBeforeTheOrderToASilentWorkerCostsALease) {
  RecordingFleet Fleet(2);
  Fleet.submitJob("a", "p", makeChainSpec(1, 4, 1000, 20000));
  Fleet.advanceTime(BeforeCommit);
  Fleet.MayIssueOrders = false;
  Fleet.advanceTime(AfterCommit);
  ASSERT_EQ(Fleet.Store.findJob("a")->Placements.size(), 1U);
  std::string Recorded = Fleet.Store.findJob("a")->Placements.begin()->Id;
  Fleet.Workers.at(Recorded).Faults.IsUnreachable = true;
  Fleet.beginLeadership();
  Fleet.advanceTime(seconds(2));
  EXPECT_EQ(Fleet.startsOf("a"), 0);
  EXPECT_EQ(Fleet.Scheduler->unlocatedJobs(), 1U);
  Fleet.advanceTime(seconds(2));
  EXPECT_EQ(Fleet.startsOf("a"), 4);
  EXPECT_EQ(Fleet.Scheduler->unlocatedJobs(), 0U);
  Fleet.expectSafe();
}

TEST(PlacementRecords, AJobCancelledMeanwhileIsNeverOrdered) {
  RecordingFleet Fleet(2);
  Fleet.submitJob("a", "p", makeChainSpec(1, 4, 1000, 200));
  Fleet.advanceTime(BeforeCommit);
  Fleet.cancelJob("a");
  EXPECT_EQ(Fleet.countBookedRuns(), 0U);
  EXPECT_EQ(Fleet.Scheduler->activeJobCount(), 0U);
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.startsOf("a"), 0);
  EXPECT_EQ(Fleet.Scheduler->counters().StopOrders, 0U);
  EXPECT_EQ(Fleet.Scheduler->counters().WithdrawnStarts, 4U);
  Fleet.expectSafe();
}

// A run that was never ordered says nothing about the crash of its worker.
TEST(PlacementRecords, AWorkerThatRestartsMeanwhileLosesNoRuns) {
  RecordingFleet Fleet(1);
  Fleet.submitJob("a", "p", makeChainSpec(1, 4, 1000, 200));
  Fleet.advanceTime(BeforeCommit);
  Fleet.Workers.restart("p-0");
  Fleet.sendHeartbeats();
  EXPECT_EQ(Fleet.countBookedRuns(), 0U);
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.jobState("a"), JobState::Completed);
  EXPECT_EQ(Fleet.startsOf("a"), 4);
  EXPECT_EQ(Fleet.Scheduler->counters().LostRuns, 0U);
  EXPECT_EQ(Fleet.Scheduler->counters().CrashedWorkers, 0U);
  EXPECT_TRUE(Fleet.Store.findJob("a")->Losses.empty());
  Fleet.expectSafe();
}

TEST(PlacementRecords, AVmOrderedOffMeanwhileGetsNoOrder) {
  RecordingFleet Fleet(1);
  Fleet.submitJob("a", "p", makeChainSpec(1, 4, 1000, 200));
  Fleet.advanceTime(BeforeCommit);
  Fleet.Scheduler->onWorkersTerminated(Fleet.Scheduler->workersOn("vm-p-0"));
  Fleet.Workers.at("p-0").Faults.IsDown = true;
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.startsOf("a"), 0);
  EXPECT_EQ(Fleet.Scheduler->counters().StartOrders, 0U);
  EXPECT_EQ(Fleet.Scheduler->counters().LostRuns, 0U);
  Fleet.expectSafe();
}

TEST(PlacementRecords, AWorkerThatFallsSilentMeanwhileGetsNoOrder) {
  RecordingFleet Fleet(2);
  // Its poll is under way, so the silence shows only after the booking.
  Fleet.FailsProposals = true;
  Fleet.Workers.at("p-0").Faults.IsUnreachable = true;
  Fleet.submitJob("a", "p", makeChainSpec(1, 16, 1000, 200));
  Fleet.advanceTime(seconds(5));
  Fleet.FailsProposals = false;
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.jobState("a"), JobState::Completed);
  EXPECT_EQ(Fleet.Scheduler->counters().LostRuns, 0U);
  EXPECT_EQ(Fleet.countEvents("run_lost"), 0U);
  Fleet.expectSafe();
}

TEST(PlacementRecords, ADataCentreEvacuatedMeanwhileGetsNoOrder) {
  RecordingFleet Fleet(1);
  Fleet.submitJob("a", "p", makeChainSpec(1, 4, 1000, 200));
  Fleet.advanceTime(BeforeCommit);
  Fleet.setEvacuation("dc", true);
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.startsOf("a"), 0);
  EXPECT_EQ(Fleet.countBookedRuns(), 0U);
  Fleet.setEvacuation("dc", false);
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.jobState("a"), JobState::Completed);
  Fleet.expectSafe();
}

TEST(PlacementRecords, ACordonedWorkerGetsNoOrder) {
  RecordingFleet Fleet(1);
  Fleet.submitJob("a", "p", makeChainSpec(1, 4, 1000, 200));
  Fleet.advanceTime(BeforeCommit);
  Fleet.Scheduler->setCordoned("vm-p-0", true);
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.startsOf("a"), 0);
  EXPECT_TRUE(Fleet.Scheduler->isKnownIdle(
      Fleet.Scheduler->workers().all().begin()->second));
  Fleet.expectSafe();
}

// A gang that starts in part holds its workers for nothing.
TEST(PlacementRecords, AGangIsOrderedAsAWholeOrNotAtAll) {
  RecordingFleet Fleet(2, 4);
  JobSpec Spec = makeChainSpec(1, 8, 1000, 300);
  Spec.Steps[0].Gang = true;
  Fleet.submitJob("a", "p", Spec);
  Fleet.advanceTime(BeforeCommit);
  ASSERT_EQ(Fleet.countBookedRuns(), 8U);
  Fleet.Scheduler->setCordoned("vm-p-1", true);
  Fleet.advanceTime(milliseconds(500));
  EXPECT_EQ(Fleet.Port.Orders["a"], 0);
  EXPECT_EQ(Fleet.countBookedRuns(), 0U);
  Fleet.Scheduler->setCordoned("vm-p-1", false);
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.jobState("a"), JobState::Completed);
  EXPECT_EQ(Fleet.startsOf("a"), 8);
  Fleet.expectSafe();
}

TEST(PlacementRecords, AGangOfACancelledJobIsWithdrawnAsAWhole) {
  RecordingFleet Fleet(3, 4);
  JobSpec Spec = makeChainSpec(1, 8, 1000, 300);
  Spec.Steps[0].Gang = true;
  Fleet.submitJob("a", "p", Spec);
  Fleet.advanceTime(BeforeCommit);
  Fleet.cancelJob("a");
  EXPECT_EQ(Fleet.countBookedRuns(), 0U);
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.startsOf("a"), 0);
  Fleet.expectSafe();
}

// Bookings beyond the window would be sent all at once after the commit.
TEST(PlacementRecords, BookedStartsCountAgainstTheStartWindow) {
  DispatcherOptions Options = optionsWithRecords();
  Options.Starts.MinFullSize = 8;
  Options.Starts.StartsPerWorker = 0;
  RecordingFleet Fleet(4, 16, Options);
  Fleet.submitJob("a", "p", makeChainSpec(1, 40, 1000, 2000));
  for (int I = 0; I < 100; ++I) {
    Fleet.advanceTime(milliseconds(1));
    uint64_t Answered = static_cast<uint64_t>(Fleet.startsOf("a"));
    EXPECT_LE(Fleet.Scheduler->unrecordedStarts() +
                  Fleet.Scheduler->counters().StartOrders - Answered,
              8U);
  }
  Fleet.advanceTime(seconds(1));
  EXPECT_EQ(Fleet.startsOf("a"), 40);
}

TEST(PlacementRecords, ALateOrderOfTheOldLeaderIsFencedOnceItsWorkerIsRead) {
  RecordingFleet Fleet(2);
  Fleet.submitJob("a", "p", makeChainSpec(1, 1, 1000, 500));
  Fleet.advanceTime(BeforeCommit);
  for (const char *Id : {"p-0", "p-1"}) {
    Fleet.Workers.at(Id).Faults.DelayedOrderCount = 1;
    Fleet.Workers.at(Id).Faults.OrderDelay = milliseconds(400);
  }
  Fleet.advanceTime(AfterCommit);
  ASSERT_EQ(Fleet.Scheduler->counters().StartOrders, 1U);
  for (const char *Id : {"p-0", "p-1"})
    Fleet.Workers.at(Id).Faults.DelayedOrderCount = 0;
  Fleet.beginLeadership();
  Fleet.advanceTime(seconds(2));
  EXPECT_EQ(Fleet.jobState("a"), JobState::Completed);
  EXPECT_EQ(Fleet.startsOf("a"), 1);
  Fleet.expectSafe();
}

TEST(PlacementRecords, ALateOrderToAnUnreadWorkerIsBoundByItsLease) {
  RecordingFleet Fleet(2);
  Fleet.submitJob("a", "p", makeChainSpec(1, 1, 1000, 20000));
  Fleet.advanceTime(BeforeCommit);
  for (const char *Id : {"p-0", "p-1"}) {
    Fleet.Workers.at(Id).Faults.DelayedOrderCount = 1;
    Fleet.Workers.at(Id).Faults.OrderDelay = milliseconds(1500);
  }
  Fleet.advanceTime(AfterCommit);
  ASSERT_EQ(Fleet.Scheduler->counters().StartOrders, 1U);
  ASSERT_EQ(Fleet.Store.findJob("a")->Placements.size(), 1U);
  std::string Recorded = Fleet.Store.findJob("a")->Placements.begin()->Id;
  for (const char *Id : {"p-0", "p-1"})
    Fleet.Workers.at(Id).Faults.DelayedOrderCount = 0;
  Fleet.Workers.at(Recorded).Faults.IsUnreachable = true;
  Fleet.beginLeadership();
  Fleet.advanceTime(seconds(6));
  EXPECT_EQ(Fleet.startsOf("a"), 2);
  EXPECT_EQ(Fleet.countRuns("a"), 1);
  Fleet.expectSafe();
}

// One unreachable worker held up each job of an earlier leader in its pool.
TEST(PlacementRecords, OnlyJobsOnAnUnreachableWorkersRecordWait) {
  RecordingFleet Fleet(4, 4);
  for (const char *Job : {"a", "b", "c"})
    Fleet.submitJob(Job, "p", makeChainSpec(2, 4, 1000, 250));
  Fleet.advanceTime(milliseconds(100));
  std::string Silent = Fleet.workerOf("b");
  Fleet.Workers.at(Silent).Faults.IsUnreachable = true;
  Fleet.beginLeadership();
  Fleet.submitJob("new", "p", makeChainSpec(1, 4, 1000, 250));
  Fleet.advanceTime(seconds(2));
  EXPECT_EQ(Fleet.jobState("a"), JobState::Completed);
  EXPECT_EQ(Fleet.jobState("c"), JobState::Completed);
  EXPECT_EQ(Fleet.jobState("new"), JobState::Completed);
  EXPECT_EQ(Fleet.startsOf("b"), 4);
  EXPECT_EQ(Fleet.Scheduler->unlocatedJobs(), 1U);
  ASSERT_EQ(Fleet.countEvents("job_unlocated"), 1U);
  for (const auto &[Kind, Fields] : Fleet.LoggedEvents)
    if (Kind == "job_unlocated") {
      EXPECT_EQ(Fields,
                (Json{{"job", "b"}, {"workers", Json::array({Silent})}}));
    }
  Fleet.advanceTime(seconds(4));
  EXPECT_EQ(Fleet.jobState("b"), JobState::Completed);
  Fleet.expectSafe();
}

TEST(PlacementRecords, JobsWithoutARecordWaitForEveryWorker) {
  RecordingFleet Fleet(3);
  Fleet.submitUnrecorded("a", makeChainSpec(1, 8, 1000, 20000));
  Fleet.advanceTime(AfterCommit);
  Fleet.submitUnrecorded("b", makeChainSpec(1, 20, 1000, 20000));
  Fleet.submitJob("c", "p", makeChainSpec(1, 20, 1000, 20000));
  for (const char *Id : {"p-1", "p-2"})
    Fleet.Workers.at(Id).Faults.IsUnreachable = true;
  Fleet.beginLeadership();
  int Before = Fleet.startsOf("a") + Fleet.startsOf("b");
  Fleet.advanceTime(seconds(2));
  EXPECT_EQ(Fleet.startsOf("a") + Fleet.startsOf("b"), Before);
  EXPECT_GT(Fleet.Scheduler->unlocatedJobs(), 0U);
  Fleet.expectSafe();
}

// What may run on an unread worker counts towards its organisation's maximum;
// jobs that wait for no worker have nothing there.
TEST(PlacementRecords, OnlyWaitingJobsCountAsUnlocatedUsage) {
  RecordingFleet Fleet(3);
  Fleet.Configuration.Organisations.front().Maximum = {6000, 0, 0};
  Fleet.submitJob("a", "p", makeChainSpec(1, 4, 1000, 20000));
  Fleet.advanceTime(milliseconds(200));
  Fleet.Workers.at(Fleet.workerOf("a")).Faults.IsUnreachable = true;
  Fleet.submitJob("b", "p", makeChainSpec(1, 4, 1000, 20000));
  Fleet.beginLeadership();
  for (int I = 0; I < 300; ++I) {
    Fleet.advanceTime(milliseconds(10));
    EXPECT_LE(Fleet.Workers.RunningByOrganisation["org"].Cpu, 6000);
  }
  EXPECT_EQ(Fleet.startsOf("b"), 2);
  Fleet.expectSafe();
}

// Changes leaders at random moments while some workers are unreachable. After
// each change the jobs with no unreachable worker on record run as a whole, and
// nothing of the others starts before the longest lease has passed.
RC_GTEST_PROP(PlacementRecordsProperty, OnlyRecordedWorkersHoldJobsUp, ()) {
  constexpr int WorkerCount = 8;
  constexpr int64_t Long = 60000;
  RecordingFleet Fleet(WorkerCount, 8);
  auto JobCount = *rc::gen::inRange(1, 7);
  for (int I = 0; I < JobCount; ++I) {
    JobSpec Spec = makeChainSpec(1, 4, 1000, Long);
    Spec.Steps[0].Gang = *rc::gen::inRange(0, 4) == 0;
    Fleet.submitJob("j" + std::to_string(I), "p", Spec);
    Fleet.advanceTime(milliseconds(*rc::gen::inRange(0, 60)));
  }
  auto Unreachable = *rc::gen::inRange(0, 1 << (WorkerCount / 2));
  for (int I = 0; I < WorkerCount / 2; ++I)
    Fleet.Workers.at("p-" + std::to_string(I)).Faults.IsUnreachable =
        (Unreachable >> I) % 2 == 1;
  Fleet.beginLeadership();
  std::map<JobId, int> OrdersBefore = Fleet.Port.Orders;
  std::map<JobId, std::set<WorkerKey>> RecordBefore;
  for (const auto &[Id, Record] : Fleet.Store.jobs())
    RecordBefore[Id] = Record.Placements;
  Fleet.advanceTime(TakeoverTime);
  for (const auto &[Id, Record] : RecordBefore) {
    bool Waits =
        std::any_of(Record.begin(), Record.end(), [&](const WorkerKey &Key) {
          return Fleet.Workers.at(Key.Id).Faults.IsUnreachable;
        });
    if (Waits)
      RC_ASSERT(Fleet.Port.Orders[Id] == OrdersBefore[Id]);
    else
      RC_ASSERT(Fleet.countRuns(Id) == 4);
  }
  Fleet.advanceTime(seconds(6));
  for (const auto &[Id, Record] : RecordBefore)
    RC_ASSERT(Fleet.countRuns(Id) == 4);
  RC_ASSERT(Fleet.Workers.Violations == std::vector<std::string>());
  RC_ASSERT(Fleet.Port.Unrecorded.empty());
}

/// One random event of the property below.
void disturb(RecordingFleet &Fleet, int &Jobs) {
  std::string Worker = "p-" + std::to_string(*rc::gen::inRange(0, 6));
  WorkerFaults &Faults = Fleet.Workers.at(Worker).Faults;
  switch (*rc::gen::inRange(0, 9)) {
  case 0:
  case 1: {
    Fleet.FailsProposals = false;
    Fleet.beginLeadership();
    break;
  }
  case 2:
    Faults.IsUnreachable = !Faults.IsUnreachable;
    break;
  case 3:
    Faults.DelayedOrderCount = 2;
    Faults.OrderDelay = milliseconds(*rc::gen::inRange(100, 3000));
    break;
  case 4:
    // A leader that commits nothing for a lease does not remain leader.
    Fleet.FailsProposals = true;
    Fleet.advanceTime(milliseconds(*rc::gen::inRange(1, 200)));
    Fleet.FailsProposals = false;
    break;
  case 5:
    if (Jobs > 0)
      Fleet.cancelJob("j" + std::to_string(*rc::gen::inRange(0, Jobs)));
    break;
  case 6:
    Fleet.MayIssueOrders = false;
    break;
  default: {
    // One step: VirtualWorkers does not count an end towards the steps behind
    // it that its worker listed only after its lease had expired.
    JobSpec Spec =
        makeChainSpec(1, static_cast<uint32_t>(*rc::gen::inRange(1, 9)), 1000,
                      *rc::gen::inRange(100, 2500));
    Spec.Steps[0].Gang = *rc::gen::inRange(0, 3) == 0;
    Fleet.submitJob("j" + std::to_string(Jobs++), "p", Spec);
    break;
  }
  }
}

RC_GTEST_PROP(PlacementRecordsProperty, NoTaskRunsTwiceUnderFaults, ()) {
  RecordingFleet Fleet(6, 4);
  int Jobs = 0;
  for (int I = 0; I < 40; ++I) {
    disturb(Fleet, Jobs);
    Fleet.advanceTime(milliseconds(*rc::gen::inRange(1, 400)));
    RC_ASSERT(Fleet.Workers.Violations == std::vector<std::string>());
    RC_ASSERT(Fleet.Port.Unrecorded.empty());
  }
  for (int I = 0; I < 6; ++I)
    Fleet.Workers.at("p-" + std::to_string(I)).Faults = {};
  Fleet.FailsProposals = false;
  Fleet.beginLeadership();
  Fleet.advanceTime(seconds(60));
  RC_ASSERT(Fleet.Workers.Violations == std::vector<std::string>());
  RC_ASSERT(Fleet.countBookedRuns() == 0U);
  RC_ASSERT(Fleet.countJobsInState(JobState::Queued) == 0U);
  RC_ASSERT(Fleet.countJobsInState(JobState::Running) == 0U);
}

} // namespace
