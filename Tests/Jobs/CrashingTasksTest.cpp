// Tests with tasks that crash each worker that starts them, beside busy
// healthy ones. VirtualWorkers counts starts as the rule BUDGET does.

#include "Support/DelayedPort.h"
#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>
#include <random>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

constexpr size_t PoolSize = 10;
constexpr int64_t Cores = 16;

enum class Kind { Copied, Plain, Gang, LongRunning };

JobSpec makeSpec(Kind Which, uint32_t Width) {
  constexpr int64_t ShortMs = 600;
  constexpr int64_t HourMs = 3600000;
  JobSpec Spec = makeChainSpec(1, Width, 1000,
                               Which == Kind::LongRunning ? HourMs : ShortMs);
  Spec.Steps[0].Speculative = Which == Kind::Copied;
  Spec.Steps[0].Gang = Which == Kind::Gang;
  Spec.Steps[0].LongRunning = Which == Kind::LongRunning;
  return Spec;
}

/// A pool in which the tasks of jobs named "poison..." crash their workers.
struct Scene {
  Scene() {
    Harness.addPool("p", PoolSize, Cores);
    Harness.Workers.CrashDelayOf =
        [this](const TaskId &Task) -> std::optional<Duration> {
      bool IsPoison = Task.Job.rfind("poison", 0) == 0 &&
                      (!PoisonIndex || Task.Index == *PoisonIndex);
      return IsPoison ? std::optional(CrashDelay) : std::nullopt;
    };
    Harness.beginLeadership();
    Harness.advanceTime(seconds(1));
  }

  /// Submits a healthy job of eight tasks each 100 ms for this long.
  void work(Duration For, Kind Which = Kind::Copied) {
    constexpr Duration Interval = milliseconds(100);
    for (Duration Passed{}; Passed < For; Passed += Interval) {
      Harness.submitJob("healthy" + std::to_string(++HealthyJobs), "p",
                        makeSpec(Which, 8));
      Harness.advanceTime(Interval);
    }
  }

  void expectNoHealthyJobFailed() {
    for (const auto &[Id, Record] : Harness.Store.jobs()) {
      bool IsHealthy = Id.rfind("poison", 0) != 0;
      EXPECT_FALSE(IsHealthy && Record.State == JobState::Failed) << Id;
    }
  }

  void expectHealthyJobsCompleted() {
    for (const auto &[Id, Record] : Harness.Store.jobs()) {
      bool IsHealthy = Id.rfind("healthy", 0) == 0;
      EXPECT_TRUE(!IsHealthy || Record.State == JobState::Completed) << Id;
    }
  }

  SchedulerHarness Harness;
  Duration CrashDelay = milliseconds(10);
  std::optional<uint32_t> PoisonIndex; // Nothing for all tasks.
  int HealthyJobs = 0;
};

const std::vector<std::string> None;

// The incident BUDGET of 2026-12-04: copies were started as soon as a worker
// fell silent, so one task took down a pool within a second.
TEST(CrashingTasks, ATaskWithCopiesIsNotStartedOnAfterItsThirdCrash) {
  Scene S;
  S.work(seconds(2));
  S.PoisonIndex = 0;
  S.Harness.submitJob("poison", "p", makeSpec(Kind::Copied, 6));
  S.work(seconds(15));
  S.Harness.advanceTime(seconds(10));
  EXPECT_EQ(S.Harness.Workers.Violations, None);
  EXPECT_EQ(S.Harness.jobState("poison"), JobState::Failed);
  EXPECT_LE(S.Harness.Workers.TotalCrashes, 3);
  S.expectHealthyJobsCompleted();
}

TEST(CrashingTasks, ATaskWithoutCopiesIsNotStartedOnAfterItsThirdCrash) {
  Scene S;
  S.work(seconds(2), Kind::Plain);
  S.PoisonIndex = 0;
  S.Harness.submitJob("poison", "p", makeSpec(Kind::Plain, 6));
  S.work(seconds(25), Kind::Plain);
  S.Harness.advanceTime(seconds(10));
  EXPECT_EQ(S.Harness.Workers.Violations, None);
  EXPECT_EQ(S.Harness.jobState("poison"), JobState::Failed);
  EXPECT_LE(S.Harness.Workers.TotalCrashes, 3);
  S.expectHealthyJobsCompleted();
}

// All tasks of the step are alike: each of them crashing its own workers must
// not take down the pool.
TEST(CrashingTasks, AStepWhoseTasksAllCrashTheirWorkersTakesDownFewWorkers) {
  Scene S;
  S.work(seconds(2));
  S.Harness.submitJob("poison", "p", makeSpec(Kind::Copied, 12));
  S.work(seconds(15));
  S.Harness.advanceTime(seconds(10));
  EXPECT_EQ(S.Harness.Workers.Violations, None);
  EXPECT_EQ(S.Harness.jobState("poison"), JobState::Failed);
  EXPECT_LE(S.Harness.Workers.TotalCrashes, 5);
  S.expectHealthyJobsCompleted();
}

TEST(CrashingTasks, ALongRunningTaskIsNotStartedOnAfterItsThirdCrash) {
  Scene S;
  S.PoisonIndex = 1;
  S.Harness.submitJob("poison", "p", makeSpec(Kind::LongRunning, 4));
  S.Harness.submitJob("lasting", "p", makeSpec(Kind::LongRunning, 10));
  S.work(seconds(25));
  S.Harness.advanceTime(seconds(10));
  EXPECT_EQ(S.Harness.Workers.Violations, None);
  EXPECT_EQ(S.Harness.jobState("poison"), JobState::Failed);
  S.expectNoHealthyJobFailed();
}

TEST(CrashingTasks, AGangIsNotStartedOnAfterItsThirdCrash) {
  Scene S;
  S.work(seconds(2));
  S.PoisonIndex = 1;
  S.Harness.submitJob("poison", "p", makeSpec(Kind::Gang, 5));
  S.work(seconds(30));
  S.Harness.advanceTime(seconds(10));
  EXPECT_EQ(S.Harness.Workers.Violations, None);
  EXPECT_EQ(S.Harness.jobState("poison"), JobState::Failed);
  S.expectHealthyJobsCompleted();
}

// The users' day kills the leader; what is known of a crash must outlive it.
TEST(CrashingTasks, ChangesOfLeaderDoNotRenewTheCountOfCrashes) {
  for (Kind Which : {Kind::Copied, Kind::Plain, Kind::LongRunning}) {
    Scene S;
    S.PoisonIndex = 0;
    S.Harness.submitJob("poison", "p", makeSpec(Which, 3));
    int Seen = 0;
    for (int I = 0; I < 300; ++I) {
      S.work(milliseconds(100));
      // A new leader once each crash has been noticed.
      if (S.Harness.Workers.TotalCrashes == Seen || Seen >= 8)
        continue;
      Seen = S.Harness.Workers.TotalCrashes;
      S.work(milliseconds(300));
      S.Harness.beginLeadership();
    }
    S.Harness.advanceTime(seconds(10));
    EXPECT_EQ(S.Harness.Workers.Violations, None);
    EXPECT_EQ(S.Harness.jobState("poison"), JobState::Failed);
    S.expectHealthyJobsCompleted();
  }
}

// Several at once leave most of the pool to the others.
TEST(CrashingTasks, SeveralLeaveMostOfThePoolToTheOthers) {
  Scene S;
  S.PoisonIndex = 0;
  for (int I = 0; I < 4; ++I) {
    S.work(milliseconds(1500));
    S.Harness.submitJob("poison" + std::to_string(I), "p",
                        makeSpec(Kind::Copied, 6));
  }
  S.work(seconds(20));
  S.Harness.advanceTime(seconds(10));
  EXPECT_EQ(S.Harness.Workers.Violations, None);
  EXPECT_LE(S.Harness.Workers.TotalCrashes, 12);
  for (int I = 0; I < 4; ++I)
    EXPECT_EQ(S.Harness.jobState("poison" + std::to_string(I)),
              JobState::Failed);
  S.expectHealthyJobsCompleted();
}

// Where other control VMs carry the orders, a crash is noticed late: the run is
// then older than any that crashes its worker at its start.
TEST(CrashingTasks, ASlowWayToTheWorkersHidesNoCrash) {
  Scene S;
  DelayedPort Slow(S.Harness.Timers, S.Harness.Workers, milliseconds(90));
  S.Harness.LeaderPort = &Slow;
  S.Harness.beginLeadership();
  S.Harness.advanceTime(seconds(1));
  S.PoisonIndex = 0;
  for (int I = 0; I < 4; ++I) {
    S.work(milliseconds(600), Kind::Plain);
    S.Harness.submitJob("poison" + std::to_string(I), "p",
                        makeSpec(Kind::Plain, 6));
  }
  S.work(seconds(40), Kind::Plain);
  S.Harness.advanceTime(seconds(10));
  EXPECT_EQ(S.Harness.Workers.Violations, None);
  for (int I = 0; I < 4; ++I)
    EXPECT_EQ(S.Harness.jobState("poison" + std::to_string(I)),
              JobState::Failed);
  S.expectHealthyJobsCompleted();
  S.Harness.Scheduler.reset();
}

// An unanswered start may be carried out seconds later, and crash its worker.
TEST(CrashingTasks, OrdersThatAreCarriedOutLateBreakNoBudget) {
  for (Kind Which : {Kind::Copied, Kind::Plain, Kind::LongRunning}) {
    Scene S;
    S.work(seconds(1), Kind::Plain);
    S.PoisonIndex = 0;
    for (size_t W = 0; W < PoolSize; W += 2) {
      WorkerFaults &Faults =
          S.Harness.Workers.at("p-" + std::to_string(W)).Faults;
      Faults.OrderDelay = seconds(3);
      Faults.DelayedOrderCount = 10;
    }
    S.Harness.submitJob("poison", "p", makeSpec(Which, 4));
    S.work(seconds(30), Kind::Plain);
    S.Harness.advanceTime(seconds(10));
    EXPECT_EQ(S.Harness.Workers.Violations, None);
    EXPECT_EQ(S.Harness.jobState("poison"), JobState::Failed);
    S.expectNoHealthyJobFailed();
  }
}

// The leader and a data centre are lost while a poison task is about.
TEST(CrashingTasks, ACutWithAChangeOfLeaderBreaksNoBudget) {
  Scene S;
  S.work(seconds(2));
  S.PoisonIndex = 0;
  S.Harness.submitJob("poison", "p", makeSpec(Kind::Copied, 6));
  S.work(milliseconds(200));
  for (const char *Id : {"p-0", "p-1", "p-2"})
    S.Harness.Workers.at(Id).Faults.IsUnreachable = true;
  S.Harness.beginLeadership();
  S.work(seconds(5));
  for (const char *Id : {"p-0", "p-1", "p-2"})
    S.Harness.Workers.at(Id).Faults.IsUnreachable = false;
  S.work(seconds(20));
  S.Harness.advanceTime(seconds(10));
  EXPECT_EQ(S.Harness.Workers.Violations, None);
  EXPECT_EQ(S.Harness.jobState("poison"), JobState::Failed);
  S.expectHealthyJobsCompleted();
}

// The tasks of a long-running step waited for one suspect after the other, for
// as long as new losses came.
TEST(CrashingTasks, LongRunningTasksDoNotWaitForEachOthersCanaries) {
  StepSpec Spec = makeSpec(Kind::LongRunning, 4).Steps[0];
  StepProgress Step;
  Step.Tasks.resize(Spec.Count);
  Step.HasLosses = true;
  Instant Now(seconds(100));
  Step.SuspectedSince = Now - seconds(2);
  for (uint32_t Attempt : {1, 2})
    for (uint32_t I : {0, 1}) {
      RunLoss Loss;
      Loss.Attempt = Attempt;
      Loss.WasSudden = true;
      Step.Tasks[I].Losses.push_back(Loss);
    }
  StepCaution Soon = assessStep(Spec, Step, {}, Now);
  EXPECT_TRUE(Soon.NeedsCanary);
  EXPECT_TRUE(Soon.mayStart(0));
  EXPECT_FALSE(Soon.mayStart(1));
  StepCaution Later = assessStep(Spec, Step, {}, Now + seconds(8));
  EXPECT_FALSE(Later.NeedsCanary);
  for (uint32_t I = 0; I < Spec.Count; ++I)
    EXPECT_TRUE(Later.mayStart(I)) << I;
}

// A worker that was cut off and answers again has not crashed.
TEST(CrashingTasks, ACutOffWorkerIsNoCrash) {
  Scene S;
  S.Harness.submitJob("lasting", "p", makeSpec(Kind::LongRunning, 20));
  S.Harness.advanceTime(seconds(2));
  for (int I = 0; I < 8; ++I) {
    for (size_t W = 0; W < PoolSize; W += 2)
      S.Harness.Workers.at("p-" + std::to_string(W)).Faults.IsUnreachable =
          true;
    S.work(seconds(4));
    for (size_t W = 0; W < PoolSize; W += 2)
      S.Harness.Workers.at("p-" + std::to_string(W)).Faults.IsUnreachable =
          false;
    S.work(seconds(2));
  }
  S.Harness.advanceTime(seconds(10));
  EXPECT_EQ(S.Harness.Workers.Violations, None);
  S.expectNoHealthyJobFailed();
  S.expectHealthyJobsCompleted();
}

// Four workers at once have another cause than a task on one of them.
TEST(CrashingTasks, TheLossOfARackMakesNoTaskASuspect) {
  Scene S;
  S.work(seconds(3));
  for (const char *Id : {"p-0", "p-1", "p-2", "p-3"})
    S.Harness.Workers.crash(Id);
  S.work(seconds(8));
  S.Harness.advanceTime(seconds(10));
  EXPECT_EQ(S.Harness.Scheduler->counters().Canaries, 0U);
  EXPECT_EQ(S.Harness.Workers.Violations, None);
  S.expectHealthyJobsCompleted();
}

// A second fault at the same time must not hide the poison task.
TEST(CrashingTasks, APoisonTaskInALostRackIsStillGivenUp) {
  Scene S;
  S.work(seconds(3));
  S.PoisonIndex = 0;
  S.Harness.submitJob("poison", "p", makeSpec(Kind::Copied, 6));
  S.Harness.advanceTime(milliseconds(8));
  for (const char *Id : {"p-4", "p-5", "p-6", "p-7"})
    S.Harness.Workers.crash(Id);
  S.work(seconds(20));
  S.Harness.advanceTime(seconds(10));
  EXPECT_EQ(S.Harness.jobState("poison"), JobState::Failed);
  EXPECT_EQ(S.Harness.Workers.Violations, None);
  S.expectHealthyJobsCompleted();
}

/// Half of the pool crashes each five seconds, without any poison task.
TEST(CrashingTasks, NoJobIsGivenUpForCrashesOfItsWorkersAlone) {
  Scene S;
  S.Harness.submitJob("lasting", "p", makeSpec(Kind::LongRunning, 20));
  std::mt19937 Random(20261204);
  for (int I = 0; I < 10; ++I) {
    S.work(milliseconds(3500), I % 2 == 0 ? Kind::Copied : Kind::Plain);
    for (size_t W = 0; W < PoolSize; ++W)
      if (Random() % 2 == 0)
        S.Harness.Workers.crash("p-" + std::to_string(W));
    S.work(milliseconds(1500));
  }
  S.Harness.advanceTime(seconds(15));
  EXPECT_EQ(S.Harness.Workers.Violations, None);
  S.expectNoHealthyJobFailed();
  S.expectHealthyJobsCompleted();
}

/// Submits healthy jobs and poison jobs of all kinds while workers crash for
/// reasons of their own and leaders change.
void playMix(uint32_t Seed) {
  Scene S;
  std::mt19937 Random(Seed);
  S.CrashDelay = milliseconds(1 + Random() % 60);
  S.PoisonIndex = 0;
  S.Harness.submitJob("lasting", "p", makeSpec(Kind::LongRunning, 12));
  std::vector<JobId> PoisonJobs;
  for (int I = 0; I < 300; ++I) {
    Kind Which = static_cast<Kind>(Random() % 3);
    S.Harness.submitJob("healthy" + std::to_string(++S.HealthyJobs), "p",
                        makeSpec(Which, 1 + Random() % 8));
    if (Random() % 75 == 0) {
      PoisonJobs.push_back("poison" + std::to_string(I));
      S.Harness.submitJob(PoisonJobs.back(), "p",
                          makeSpec(static_cast<Kind>(Random() % 4), 4));
    }
    // Each worker crashes about once in 20 s.
    if (Random() % 20 == 0)
      S.Harness.Workers.crash("p-" + std::to_string(Random() % PoolSize));
    if (Random() % 100 == 0)
      S.Harness.beginLeadership();
    S.Harness.advanceTime(milliseconds(100));
  }
  S.Harness.advanceTime(seconds(40));
  EXPECT_EQ(S.Harness.Workers.Violations, None);
  for (const JobId &PoisonJob : PoisonJobs)
    EXPECT_EQ(S.Harness.jobState(PoisonJob), JobState::Failed) << PoisonJob;
  S.expectNoHealthyJobFailed();
  S.expectHealthyJobsCompleted();
}

TEST(CrashingTasks, PoisonIsToldFromHealthyJobsBesideUnrelatedCrashes) {
  for (uint32_t Seed = 1; Seed <= 20; ++Seed) {
    SCOPED_TRACE(Seed);
    playMix(Seed);
  }
}

} // namespace
