// Tests that the leases of running tasks are renewed in time by a leader that
// has more work than its processor can do.

#include "Support/BusyLeaderPort.h"
#include "Support/SchedulerHarness.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

constexpr uint32_t LongRunningTasks = 24;

JobSpec makeLongRunningSpec() {
  constexpr int64_t HourMs = 3600000;
  JobSpec Spec = makeChainSpec(1, LongRunningTasks, 500, HourMs);
  Spec.Steps[0].LongRunning = true;
  Spec.Steps[0].MaxPerWorker = 1;
  Spec.Steps[0].MaxUnavailable = 3;
  return Spec;
}

size_t countEvents(const SchedulerHarness &Harness, const std::string &Kind) {
  return static_cast<size_t>(
      std::count_if(Harness.LoggedEvents.begin(), Harness.LoggedEvents.end(),
                    [&](const auto &Event) { return Event.first == Kind; }));
}

/// Expects that each task of "lasting" was started exactly once.
void expectLastingTasksStartedOnce(SchedulerHarness &Harness) {
  for (uint32_t I = 0; I < LongRunningTasks; ++I)
    EXPECT_EQ((Harness.Workers.StartCounts[{"lasting", 0, 0, I}]), 1) << I;
}

/// Submits 20 short jobs of eight tasks a second for this long.
void submitJobsFor(SchedulerHarness &Harness, Duration For) {
  constexpr Duration Interval = milliseconds(50);
  static int Number = 0;
  for (Duration Passed{}; Passed < For; Passed += Interval) {
    Harness.submitJob("short" + std::to_string(++Number), "p",
                      makeChainSpec(1, 8, 1000, 300));
    Harness.advanceTime(Interval);
  }
}

/// A pool of 60 workers whose leader processes 160 responses a second; polls
/// and the jobs of submitJobsFor() need some 400.
struct BusyFleet : SchedulerHarness {
  BusyFleet() {
    LeaderPort = &Leader;
    addPool("p", 60, 16);
    beginLeadership();
    advanceTime(seconds(1));
  }

  void startLastingTasks() {
    submitJob("lasting", "p", makeLongRunningSpec());
    advanceTime(seconds(2));
  }

  BusyLeaderPort Leader{Timers, Workers, Duration(6250)};
};

// The incident AVAIL of 2026-12-04: renewals waited behind other work, and the
// long-running tasks of a step lapsed together.
TEST(LeaseRenewal, TasksDoNotLapseTogetherWhileTheLeaderIsOverloaded) {
  BusyFleet Harness;
  Harness.startLastingTasks();
  ASSERT_EQ(Harness.Workers.StartCounts.size(), LongRunningTasks);
  submitJobsFor(Harness, seconds(20));
  expectLastingTasksStartedOnce(Harness);
  EXPECT_EQ(countEvents(Harness, "lease_not_renewed"), 0U);
  EXPECT_EQ(countEvents(Harness, "worker_lapsed"), 0U);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

// The polls of an overloaded leader are rare; renewals ask first.
TEST(LeaseRenewal, ARenewalTellsThatAWorkerHasRestarted) {
  BusyFleet Harness;
  Harness.startLastingTasks();
  submitJobsFor(Harness, seconds(6));
  Harness.SendsHeartbeats = false;
  for (int I = 0; I < 10; ++I)
    Harness.Workers.restart("p-" + std::to_string(I));
  submitJobsFor(Harness, seconds(3));
  EXPECT_EQ(countEvents(Harness, "worker_gone"), 10U);
  EXPECT_EQ(countEvents(Harness, "worker_silent"), 0U);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

// A change of leader costs up to half of a lease; the next leader must not let
// the rest run out while it is busy with the work that has waited for it.
TEST(LeaseRenewal, TasksDoNotLapseWhenABusyLeaderIsReplaced) {
  BusyFleet Harness;
  Harness.startLastingTasks();
  for (int Change = 0; Change < 5; ++Change) {
    submitJobsFor(Harness, seconds(4));
    Harness.Scheduler.reset();
    submitJobsFor(Harness, milliseconds(1000));
    Harness.beginLeadership();
  }
  submitJobsFor(Harness, seconds(4));
  expectLastingTasksStartedOnce(Harness);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

// What the leader cannot do in time it must not begin: its backlog stays below
// the lease however much work there is, and short jobs go on.
TEST(LeaseRenewal, AnOverloadedLeaderStartsLess) {
  BusyFleet Harness;
  submitJobsFor(Harness, seconds(20));
  EXPECT_LT(Harness.Leader.backlog(), milliseconds(1300));
  int StartsSoFar = Harness.Leader.Starts;
  submitJobsFor(Harness, seconds(2));
  EXPECT_GT(Harness.Leader.Starts, StartsSoFar + 20);
}

// The leader learns a worker's clock from responses. One that it handles late
// must not make it grant shorter leases from then on.
TEST(LeaseRenewal, ALateResponseDoesNotShortenTheLeasesAfterIt) {
  LeaseOptions Options;
  WorkerTable Table(Options);
  Instant Start{seconds(100)};
  WorkerEntry Entry;
  Entry.Key = {"w", 1};
  TrackedWorker &Worker = Table.add(Entry, Start);
  // The worker's clock reads the time since Start.
  Table.recordClock(Worker, Start, Start, 0);
  for (int Second = 1; Second <= 4; ++Second) {
    Instant Read = Start + seconds(Second);
    Instant Handled = Read + milliseconds(700);
    Table.recordClock(Worker, Read - milliseconds(5), Handled,
                      toMillis(Read - Start));
    std::optional<int64_t> LeaseEndMs = Table.grantLease(Worker, Handled);
    ASSERT_TRUE(LeaseEndMs);
    int64_t GrantedMs = *LeaseEndMs - toMillis(Handled - Start);
    // The clock may run 2% slow, so the estimate loses that much.
    EXPECT_GE(GrantedMs,
              toMillis(Options.LeaseDuration) - int64_t{20} * Second - 20);
    EXPECT_LE(GrantedMs, toMillis(Options.LeaseDuration));
  }
}

// A worker that was suspended has a clock that lags what was expected; leases
// by the old estimate would last too long.
TEST(LeaseRenewal, AnAnswerThatWasOvertakenShowsNoClockThatStoodStill) {
  WorkerTable Table({});
  Instant Start(seconds(1000));
  TrackedWorker &Worker =
      Table.add({{"w", 1}, "10.0.0.1:1", "p", "", "", {}, {}}, Start);
  // The clock goes right; each way takes 1 ms.
  Table.recordClock(Worker, Start, Start + milliseconds(2), 110001);
  Table.grantLease(Worker, Start);
  Instant LeaseEnd = Worker.LeaseEnd;
  Table.recordClock(Worker, Start + milliseconds(390),
                    Start + milliseconds(392), 110391);
  Table.recordClock(Worker, Start, Start + milliseconds(402), 110001);
  EXPECT_EQ(Worker.LeaseEnd, LeaseEnd);
  EXPECT_GE(*Table.estimateClockMs(Worker, Start + milliseconds(402)), 110391);
}

TEST(LeaseRenewal, AClockThatStoodStillIsLearnedAnew) {
  LeaseOptions Options;
  WorkerTable Table(Options);
  Instant Start{seconds(100)};
  WorkerEntry Entry;
  Entry.Key = {"w", 1};
  TrackedWorker &Worker = Table.add(Entry, Start);
  Table.recordClock(Worker, Start, Start, 0);
  constexpr int64_t LostMs = 4000;
  Instant Now = Start + seconds(9);
  Table.recordClock(Worker, Now - milliseconds(4), Now, 9000 - LostMs);
  EXPECT_EQ(Table.grantLease(Worker, Now),
            9000 - LostMs + toMillis(Options.LeaseDuration));
}

// The bound until which runs may go on covers a clock that is 2% slow.
TEST(LeaseRenewal, TheBoundOfALeaseCoversASlowClock) {
  LeaseOptions Options;
  WorkerTable Table(Options);
  Instant Start{seconds(100)};
  WorkerEntry Entry;
  Entry.Key = {"w", 1};
  TrackedWorker &Worker = Table.add(Entry, Start);
  Table.recordClock(Worker, Start, Start, 0);
  Instant Now = Start + seconds(60);
  std::optional<int64_t> LeaseEndMs = Table.grantLease(Worker, Now);
  ASSERT_TRUE(LeaseEndMs);
  constexpr int64_t SlowestPercent = 98;
  int64_t LatestEndMs = *LeaseEndMs * 100 / SlowestPercent;
  EXPECT_GE(Worker.LeaseEnd, Start + milliseconds(LatestEndMs));
  EXPECT_LE(Worker.LeaseEnd, Now + seconds(3));
}

// The pools share what an overloaded leader may start: none is always last.
TEST(LeaseRenewal, EveryPoolOfAnOverloadedLeaderGetsStarts) {
  SchedulerHarness Harness;
  BusyLeaderPort Leader(Harness.Timers, Harness.Workers, milliseconds(25));
  Harness.LeaderPort = &Leader;
  const std::vector<std::string> Pools = {"a", "b", "c", "d"};
  for (const std::string &Pool : Pools)
    Harness.addPool(Pool, 12, 16);
  Harness.beginLeadership();
  Harness.advanceTime(seconds(3));
  constexpr int JobsPerPool = 60;
  for (int I = 0; I < JobsPerPool; ++I)
    for (const std::string &Pool : Pools)
      Harness.submitJob(Pool + std::to_string(I), Pool,
                        makeChainSpec(1, 8, 1000, 300));
  Harness.advanceTime(seconds(15));
  std::map<char, int> StartsByPool;
  for (const auto &[Task, Count] : Harness.Workers.StartCounts)
    StartsByPool[Task.Job.front()] += Count;
  int Most = 0;
  for (const auto &[Pool, Count] : StartsByPool)
    Most = std::max(Most, Count);
  for (const std::string &Pool : Pools)
    EXPECT_GT(StartsByPool[Pool.front()] * 3, Most) << Pool;
}

TEST(StartWindow, ShrinksWhileResponsesAreLateAndGrowsBack) {
  StartWindow Window{StartWindowOptions()};
  Instant Now{seconds(1)};
  constexpr size_t Workers = 400;
  auto AdjustFor = [&](Duration Time, Duration Delay) {
    for (Duration Passed{}; Passed < Time; Passed += milliseconds(50))
      Window.adjust(Now += milliseconds(50), Delay, Workers);
  };
  AdjustFor(seconds(5), milliseconds(20));
  size_t FullSize = Window.size();
  EXPECT_GE(FullSize, Workers);
  AdjustFor(seconds(5), milliseconds(900));
  EXPECT_EQ(Window.size(), StartWindowOptions().MinSize);
  AdjustFor(seconds(5), milliseconds(20));
  EXPECT_EQ(Window.size(), FullSize);
}

TEST(StartWindow, CountsStartsUntilTheirResponseIsHandled) {
  StartWindow Window{StartWindowOptions()};
  size_t Size = Window.size();
  for (size_t I = 0; I < Size; ++I)
    Window.onStartOrdered();
  EXPECT_EQ(Window.startsLeft(), 0U);
  Window.onStartAnswered();
  EXPECT_EQ(Window.startsLeft(), 1U);
}

TEST(StartWindow, OnlyLastingShortageIsOverload) {
  StartWindow Window{StartWindowOptions()};
  Instant Now{seconds(1)};
  Window.recordPass(Now, true);
  EXPECT_FALSE(Window.isOverloaded(Now + milliseconds(900)));
  EXPECT_TRUE(Window.isOverloaded(Now + milliseconds(1100)));
  Window.recordPass(Now + milliseconds(1200), false);
  EXPECT_FALSE(Window.isOverloaded(Now + milliseconds(1300)));
}

TEST(ResponseDelay, ForgetsAfterTwoPeriods) {
  ResponseDelay Delay;
  Instant Now{seconds(10)};
  auto Record = [&](Duration Length) {
    for (int I = 0; I < 10; ++I)
      Delay.record(Now, Length);
  };
  Record(milliseconds(500));
  EXPECT_EQ(Delay.mean(Now), milliseconds(500));
  Now += milliseconds(1100);
  Record(milliseconds(20));
  EXPECT_EQ(Delay.mean(Now), milliseconds(500));
  Now += milliseconds(1100);
  Record(milliseconds(30));
  EXPECT_EQ(Delay.mean(Now), milliseconds(30));
  EXPECT_EQ(Delay.mean(Now + seconds(9)), Duration::zero());
}

// Workers behind a link that loses packets answer seconds late. That is no
// reason to start less elsewhere.
TEST(ResponseDelay, AFewSlowWorkersAreNoBusyLeader) {
  ResponseDelay Delay;
  Instant Now{seconds(10)};
  for (int I = 0; I < 100; ++I)
    Delay.record(Now, I % 20 == 0 ? milliseconds(2000) : milliseconds(20));
  EXPECT_LT(Delay.mean(Now), DispatcherOptions().MaxResponseDelay);
  ResponseDelay Few;
  Few.record(Now, milliseconds(2000));
  EXPECT_EQ(Few.mean(Now), Duration::zero());
}

} // namespace
