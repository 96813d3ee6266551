// Tests of whom the failures of runs are held against, the task or the worker:
// tasks that fail everywhere must not keep other work from a pool, and workers
// that fail everything must still be found.

#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

constexpr int64_t Minute = 60000;

bool startsWith(const JobId &Job, const char *Prefix) {
  return Job.rfind(Prefix, 0) == 0;
}

/// A pool of six workers on which lasting jobs "bad" fail after FailureMs, and
/// all others are sound.
struct FailingPool {
  explicit FailingPool(int64_t FailureMs)
      : Harness([FailureMs](const TaskId &Task, const StepSpec &Spec) {
          if (startsWith(Task.Job, "bad"))
            return -FailureMs;
          return Spec.LongRunning ? 60 * Minute : Spec.EstimateMs;
        }) {
    Harness.addPool("p", 6, 32);
    Harness.beginLeadership();
    Harness.advanceTime(milliseconds(300));
  }

  void submitLasting(const char *Prefix, uint32_t Jobs, uint32_t Tasks,
                     int64_t Cpu) {
    for (uint32_t I = 0; I < Jobs; ++I) {
      JobSpec Spec = makeChainSpec(1, Tasks, Cpu, 700);
      Spec.Steps[0].LongRunning = true;
      Harness.submitJob(Prefix + std::to_string(I), "p", Spec);
      Harness.advanceTime(milliseconds(5));
    }
  }

  /// Submits sound jobs and returns how many have not begun after 3 s.
  size_t countHeldUp(uint32_t Jobs) {
    for (uint32_t I = 0; I < Jobs; ++I)
      Harness.submitJob("sound" + std::to_string(I), "p",
                        makeChainSpec(1, 4, 500, 1000));
    Harness.advanceTime(seconds(3));
    std::set<JobId> Begun;
    for (const auto &[Task, Starts] : Harness.Workers.StartCounts)
      if (startsWith(Task.Job, "sound"))
        Begun.insert(Task.Job);
    return Jobs - Begun.size();
  }

  int startsOfBad() const {
    int Sum = 0;
    for (const auto &[Task, Starts] : Harness.Workers.StartCounts)
      Sum += startsWith(Task.Job, "bad") ? Starts : 0;
    return Sum;
  }

  SchedulerHarness Harness;
};

// Guards against lasting tasks that fail at each start and so keep all other
// work from a pool that is nearly idle (review/8).
TEST(FailingTasks, SoundWorkBeginsBesideTasksThatFailEverywhere) {
  for (int64_t FailureMs : {50, 300, 700, 1400, 1700})
    for (int64_t PhaseMs = 0; PhaseMs < 4000; PhaseMs += 190) {
      FailingPool Pool(FailureMs);
      Pool.submitLasting("lasting", 57, 1, 250);
      Pool.Harness.advanceTime(seconds(3));
      Pool.submitLasting("bad", 3, 5, 500);
      Pool.Harness.advanceTime(seconds(10) + milliseconds(PhaseMs));
      EXPECT_EQ(Pool.countHeldUp(20), 0U) << FailureMs << " " << PhaseMs;
      EXPECT_TRUE(Pool.Harness.Workers.Violations.empty());
    }
}

// Guards against the same where nothing sound has run on the workers yet.
TEST(FailingTasks, SoundWorkBeginsOnWorkersThatHaveOnlySeenFailures) {
  for (int64_t FailureMs : {50, 300, 1700})
    for (int64_t PhaseMs = 0; PhaseMs < 4000; PhaseMs += 190) {
      FailingPool Pool(FailureMs);
      Pool.submitLasting("bad", 6, 5, 500);
      Pool.Harness.advanceTime(seconds(10) + milliseconds(PhaseMs));
      EXPECT_EQ(Pool.countHeldUp(20), 0U) << FailureMs << " " << PhaseMs;
    }
}

// Guards against failing tasks that are started again without a pause, which
// takes places and the leader's time, and against a pause of 3 s or more.
TEST(FailingTasks, LastingTasksThatFailAtOnceAreStartedEverLessOften) {
  FailingPool Pool(50);
  Pool.submitLasting("bad", 6, 5, 500);
  Pool.Harness.advanceTime(seconds(10));
  int Before = Pool.startsOfBad();
  Pool.Harness.advanceTime(seconds(30));
  int Starts = Pool.startsOfBad() - Before;
  constexpr int Tasks = 30;
  EXPECT_LE(Starts, Tasks * 30);
  EXPECT_GE(Starts, Tasks * 10);
}

TEST(FailingTasks, ALastingTaskThatHasLastedIsRestartedAtOnce) {
  SchedulerHarness Harness(
      [](const TaskId &, const StepSpec &) -> int64_t { return -5000; });
  Harness.addPool("p", 6, 32);
  Harness.beginLeadership();
  JobSpec Spec = makeChainSpec(1, 4, 500, 700);
  Spec.Steps[0].LongRunning = true;
  Harness.submitJob("a", "p", Spec);
  Harness.advanceTime(milliseconds(25300));
  // Each lasts for 5 s.
  for (const auto &[Task, Starts] : Harness.Workers.StartCounts)
    EXPECT_EQ(Starts, 6) << Task.Index;
}

size_t countEvents(const SchedulerHarness &Harness, const std::string &Kind) {
  return static_cast<size_t>(
      std::count_if(Harness.LoggedEvents.begin(), Harness.LoggedEvents.end(),
                    [&](const auto &Event) { return Event.first == Kind; }));
}

// Guards against workers that are ejected again and again for steps that fail
// wherever they run. Each step may count against two workers, and it takes two
// steps to eject one.
TEST(FailingTasks, StepsThatFailEverywhereEjectFewWorkersOnce) {
  for (int64_t FailureMs : {50, 300, 700}) {
    FailingPool Pool(FailureMs);
    Pool.submitLasting("bad", 3, 5, 500);
    Pool.Harness.advanceTime(seconds(40));
    EXPECT_LE(countEvents(Pool.Harness, "worker_ejected"), 3U) << FailureMs;
  }
}

// Guards against failures of ever more steps, each of which counts against two
// workers, that put a whole pool on probation.
TEST(WorkerHealth, AtMostHalfOfAPoolIsOutOrOnProbation) {
  HealthOptions Options;
  WorkerHealth Health(Options);
  constexpr size_t PoolSize = 6;
  Instant Now(seconds(1000));
  for (int Round = 0; Round < 10; ++Round)
    for (size_t I = 0; I < PoolSize; ++I) {
      Now += Options.InitialEjectionDuration;
      WorkerKey Worker{"w" + std::to_string(I), 1};
      Health.recordFailure(Worker, "p", "a", PoolSize, Now);
      Health.recordFailure(Worker, "p", "b", PoolSize, Now);
      EXPECT_LE(Health.countDistrusted()["p"], PoolSize / 2);
    }
  EXPECT_EQ(Health.countDistrusted()["p"], PoolSize / 2);
  // A run that does well makes room for the next one that fails.
  Health.recordSuccess({"w0", 1});
  EXPECT_EQ(Health.countDistrusted()["p"], PoolSize / 2 - 1);
  EXPECT_TRUE(Health.recordFailure({"w5", 1}, "p", "c", PoolSize, Now));
}

TEST(FailureBlame, AStepIsSuspectOnceItHasFailedOnSeveralWorkers) {
  EXPECT_FALSE(isStepSuspect({1, 1}));
  EXPECT_FALSE(isStepSuspect({1, 2}));
  EXPECT_TRUE(isStepSuspect({2, 2}));
  EXPECT_TRUE(isStepSuspect({1, 3}));
}

TEST(FailureBlame, PausesDoubleAndStayBelowWhatALastingTaskMayBeAway) {
  RestartOptions Options;
  EXPECT_EQ(restartPause(1, Options), Duration::zero());
  EXPECT_EQ(restartPause(2, Options), milliseconds(250));
  EXPECT_EQ(restartPause(3, Options), milliseconds(500));
  EXPECT_EQ(restartPause(5, Options), seconds(2));
  EXPECT_EQ(restartPause(4000000000, Options), seconds(2));
}

// Guards against a rack whose workers fail everything and attract all work,
// being idle, while steps are given the blame.
TEST(FailingTasks, ARackThatFailsEverythingIsStillFound) {
  SchedulerHarness Harness;
  Harness.addPool("p", 12, 8, /*MaxAttempts=*/4);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(300));
  for (const char *Id : {"p-0", "p-1", "p-2", "p-3"})
    Harness.Workers.at(Id).Faults.FailsAllRuns = true;
  // About what the sound workers can do.
  constexpr int Rounds = 100;
  for (int I = 0; I < Rounds; ++I) {
    Harness.submitJob("job" + std::to_string(I), "p",
                      makeChainSpec(1, 6, 1000, 500));
    Harness.advanceTime(milliseconds(100));
  }
  Harness.advanceTime(seconds(10));
  int Starts = 0;
  for (const auto &[Task, Count] : Harness.Workers.StartCounts)
    Starts += Count;
  size_t Failed = Harness.countJobsInState(JobState::Failed);
  EXPECT_LE(Failed, 2U);
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed) + Failed,
            static_cast<size_t>(Rounds));
  // Fewer than a fifth of the starts are wasted on the rack.
  constexpr int Tasks = 6 * Rounds;
  EXPECT_LT(Starts - Tasks, Tasks / 5);
}

} // namespace
