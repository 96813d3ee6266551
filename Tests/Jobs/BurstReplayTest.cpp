// Replays of the loads that the scheduler is designed for: a burst beyond the
// pool's capacity, cancellations in waves, jobs that can never run, a rack lost
// during a burst, and many jobs with data on one rack.

#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>
#include <random>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

struct Arrival {
  int64_t AtMs;
  JobSpec Spec;
};

/// Returns the arrivals of a queue that requests about five times its mean for
/// 4.5 s and nothing after that.
std::vector<Arrival> makeBurst(uint32_t Seed) {
  std::mt19937 Random(Seed);
  std::vector<Arrival> Result;
  std::uniform_int_distribution<uint32_t> Width(2, 12);
  std::uniform_int_distribution<uint32_t> Steps(1, 2);
  std::uniform_int_distribution<int64_t> Cpu(800, 3000);
  std::exponential_distribution<double> Gap(1);
  constexpr double BurstGapMs = 24;
  for (double At = 0; At < 4500; At += Gap(Random) * BurstGapMs)
    Result.push_back(
        {static_cast<int64_t>(At),
         makeChainSpec(Steps(Random), Width(Random), Cpu(Random), 640)});
  return Result;
}

/// Returns the total value of the jobs completed by their objective, by the
/// users' measure: 0.3 plus 0.7 times the ratio of the job's work to the mean,
/// at most 4.
double valueCompletedInTime(const SchedulerHarness &Harness) {
  double MeanJobCoreMs = 0;
  for (const auto &[Id, Record] : Harness.Store.jobs())
    MeanJobCoreMs += static_cast<double>(Record.Job.Spec.totalCoreMs()) /
                     static_cast<double>(Harness.Store.jobs().size());
  double Sum = 0;
  for (const auto &[Id, Record] : Harness.Store.jobs()) {
    int64_t DurationMs = Harness.completionTimeMs(Id);
    auto Objective = static_cast<int64_t>(
        1.6 * static_cast<double>(Record.Job.Spec.criticalPathMs()) + 600);
    double Work = static_cast<double>(Record.Job.Spec.totalCoreMs());
    double Value = std::min(4.0, 0.3 + 0.7 * Work / MeanJobCoreMs);
    if (DurationMs >= 0 && DurationMs <= Objective)
      Sum += Value;
  }
  return Sum;
}

double replayBurst(OrderPolicy Order, uint32_t Seed) {
  DispatcherOptions Options;
  Options.JobOrderPolicy = Order;
  SchedulerHarness Harness(
      [](const TaskId &, const StepSpec &Spec) { return Spec.EstimateMs; },
      Options);
  Harness.addPool("p", 9, 32);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(200));
  int Number = 0;
  for (const Arrival &Next : makeBurst(Seed)) {
    Duration Gap = milliseconds(Next.AtMs + 200) -
                   (Harness.Timers.now() - Instant(seconds(1000)));
    if (Gap > Duration::zero())
      Harness.advanceTime(Gap);
    Harness.submitJob("j" + std::to_string(Number++), "p", Next.Spec);
  }
  Harness.advanceTime(seconds(12));
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed),
            Harness.Store.jobs().size());
  return valueCompletedInTime(Harness);
}

TEST(BurstReplay, ValuePerWorkEarnsHalfAsMuchAgainAsFirstComeAndWeightedFair) {
  for (uint32_t Seed : {1U, 2U, 3U}) {
    double Chosen = replayBurst(ValuePerWork{}, Seed);
    EXPECT_GE(Chosen, 1.5 * replayBurst(FirstComeFirstServed{}, Seed))
        << "seed " << Seed;
    EXPECT_GE(Chosen, 1.5 * replayBurst(WeightedFair{}, Seed))
        << "seed " << Seed;
  }
}

TEST(BurstReplay, CancellationsInWavesLeaveNothingBehind) {
  SchedulerHarness Harness;
  Harness.addPool("p", 6, 16);
  Harness.beginLeadership();
  int Number = 0;
  for (int Wave = 0; Wave < 5; ++Wave) {
    for (int I = 0; I < 12; ++I)
      Harness.submitJob("j" + std::to_string(Number++), "p",
                        makeChainSpec(2, 5, 2000, 500));
    Harness.advanceTime(milliseconds(250));
    for (int I = Number - 12; I < Number; I += 2)
      Harness.cancelJob("j" + std::to_string(I));
    Harness.advanceTime(milliseconds(250));
  }
  Harness.advanceTime(seconds(8));
  EXPECT_EQ(Harness.countJobsInState(JobState::Cancelled), 30U);
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed), 30U);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
  EXPECT_EQ(Harness.Scheduler->activeJobCount(), 0U);
}

TEST(BurstReplay, JobsThatCanNeverRunDoNotHoldUpTheOthers) {
  SchedulerHarness Harness;
  Harness.addPool("p", 4, 8);
  Harness.beginLeadership();
  for (int I = 0; I < 10; ++I)
    Harness.submitJob("never" + std::to_string(I), "p",
                      makeChainSpec(1, 1, 90000, 100));
  for (int I = 0; I < 10; ++I)
    Harness.submitJob("j" + std::to_string(I), "p",
                      makeChainSpec(1, 2, 1000, 100));
  Harness.advanceTime(seconds(1));
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed), 10U);
}

TEST(BurstReplay, ALostRackDelaysItsTasksByOneLease) {
  SchedulerHarness Harness;
  Harness.addPool("p", 8, 16);
  Harness.beginLeadership();
  for (int I = 0; I < 20; ++I)
    Harness.submitJob("j" + std::to_string(I), "p",
                      makeChainSpec(1, 6, 1000, 700));
  Harness.advanceTime(milliseconds(400));
  for (const char *Id : {"p-0", "p-1", "p-2", "p-3"})
    Harness.Workers.at(Id).Faults.IsUnreachable = true;
  Harness.advanceTime(seconds(9));
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed), 20U);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

TEST(BurstReplay, LosingAThirdOfThePoolDelaysAtMostAThirdOfTheJobs) {
  // A job is late if any of its eight tasks is. If tasks were spread over the
  // whole pool, nearly every job would lose one of them.
  SchedulerHarness Harness;
  Harness.addPool("p", 12, 32);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(200));
  constexpr size_t Jobs = 12;
  for (size_t I = 0; I < Jobs; ++I)
    Harness.submitJob("j" + std::to_string(I), "p",
                      makeChainSpec(1, 8, 3800, 1700));
  Harness.advanceTime(milliseconds(400));
  for (const char *Id : {"p-0", "p-1", "p-2", "p-3"})
    Harness.Workers.at(Id).Faults.IsUnreachable = true;
  Harness.advanceTime(seconds(9));
  size_t InTime = 0;
  for (size_t I = 0; I < Jobs; ++I) {
    int64_t DurationMs = Harness.completionTimeMs("j" + std::to_string(I));
    InTime += DurationMs >= 0 && DurationMs <= 1700 * 16 / 10 + 600 ? 1 : 0;
  }
  EXPECT_GE(InTime, Jobs * 2 / 3);
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed), Jobs);
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
}

TEST(BurstReplay, WorkGoesToTheRackOfItsDataWhileThereIsRoom) {
  SchedulerHarness Harness;
  Harness.addPool("p", 8, 16);
  Harness.beginLeadership();
  JobSpec Spec = makeChainSpec(1, 8, 1000, 300);
  Spec.Steps[0].DataRack = "r1";
  Harness.submitJob("a", "p", Spec);
  Harness.advanceTime(milliseconds(100));
  for (const auto &[Id, Worker] : Harness.Workers.all())
    if (Worker.Entry.rack() != "r1") {
      EXPECT_TRUE(Worker.Runs.empty()) << Id;
    }
  // Once that rack is full, the other tasks run elsewhere instead of waiting.
  Spec.Steps[0].Count = 90;
  Harness.submitJob("b", "p", Spec);
  Harness.advanceTime(milliseconds(150));
  EXPECT_EQ(Harness.Scheduler->counters().StartOrders, 98U);
}

} // namespace
