// Replays of the loads that the scheduler is built for: a burst beyond the
// pool, wrong estimates, cancellations in waves, jobs that can never run, a
// black-hole worker and a lost rack within a burst, and many jobs for one rack.

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

/// A queue that asks about five times its mean for 4.5 s, then a twentieth.
std::vector<Arrival> burst(uint32_t Seed) {
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

/// Worth of the jobs that were done by their objective, by the users' measure:
/// 0.3 plus 0.7 of the work against the mean, at most four times the mean's.
double worthInTime(const SchedulerHarness &Frame) {
  double MeanWork = 0;
  for (const auto &[Id, Record] : Frame.Store.jobs())
    MeanWork += static_cast<double>(Record.Job.Spec.totalCoreMs()) /
                static_cast<double>(Frame.Store.jobs().size());
  double Sum = 0;
  for (const auto &[Id, Record] : Frame.Store.jobs()) {
    int64_t Took = Frame.completionTimeMs(Id);
    auto Objective = static_cast<int64_t>(
        1.6 * static_cast<double>(Record.Job.Spec.criticalPathMs()) + 600);
    double Work = static_cast<double>(Record.Job.Spec.totalCoreMs());
    double Worth = std::min(4.0, 0.3 + 0.7 * Work / MeanWork);
    if (Took >= 0 && Took <= Objective)
      Sum += Worth;
  }
  return Sum;
}

double play(OrderPolicy Order, uint32_t Seed) {
  DispatcherOptions Options;
  Options.Order = Order;
  SchedulerHarness Frame(
      [](const TaskId &, const StepSpec &Spec) { return Spec.EstimateMs; },
      Options);
  Frame.addPool("p", 9, 32);
  Frame.beginLeadership();
  Frame.advanceTime(milliseconds(200));
  int Number = 0;
  for (const Arrival &Next : burst(Seed)) {
    Duration Gap = milliseconds(Next.AtMs + 200) -
                   (Frame.Timers.now() - Instant(seconds(1000)));
    if (Gap > Duration::zero())
      Frame.advanceTime(Gap);
    Frame.submitJob("j" + std::to_string(Number++), "p", Next.Spec);
  }
  Frame.advanceTime(seconds(12));
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
  EXPECT_EQ(Frame.countJobsInState(JobState::Completed),
            Frame.Store.jobs().size());
  return worthInTime(Frame);
}

TEST(BurstReplay, WorthForWorkServesHalfAsMuchAgainAsFirstComeAndFairShares) {
  for (uint32_t Seed : {1U, 2U, 3U}) {
    double Chosen = play(WorthPerWork{}, Seed);
    EXPECT_GE(Chosen, 1.5 * play(FirstComeFirstServed{}, Seed))
        << "seed " << Seed;
    EXPECT_GE(Chosen, 1.5 * play(WeightedFair{}, Seed)) << "seed " << Seed;
  }
}

TEST(BurstReplay, CancellationsInWavesLeaveNothingBehind) {
  SchedulerHarness Frame;
  Frame.addPool("p", 6, 16);
  Frame.beginLeadership();
  int Number = 0;
  for (int Wave = 0; Wave < 5; ++Wave) {
    for (int I = 0; I < 12; ++I)
      Frame.submitJob("j" + std::to_string(Number++), "p",
                      makeChainSpec(2, 5, 2000, 500));
    Frame.advanceTime(milliseconds(250));
    for (int I = Number - 12; I < Number; I += 2)
      Frame.cancelJob("j" + std::to_string(I));
    Frame.advanceTime(milliseconds(250));
  }
  Frame.advanceTime(seconds(8));
  EXPECT_EQ(Frame.countJobsInState(JobState::Cancelled), 30U);
  EXPECT_EQ(Frame.countJobsInState(JobState::Completed), 30U);
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
  EXPECT_EQ(Frame.Scheduler->activeJobCount(), 0U);
}

TEST(BurstReplay, JobsThatCanNeverRunDoNotHoldUpTheOthers) {
  SchedulerHarness Frame;
  Frame.addPool("p", 4, 8);
  Frame.beginLeadership();
  for (int I = 0; I < 10; ++I)
    Frame.submitJob("never" + std::to_string(I), "p",
                    makeChainSpec(1, 1, 90000, 100));
  for (int I = 0; I < 10; ++I)
    Frame.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(1, 2, 1000, 100));
  Frame.advanceTime(seconds(1));
  EXPECT_EQ(Frame.countJobsInState(JobState::Completed), 10U);
}

TEST(BurstReplay, ARackLostInABurstDelaysItsTasksByOneLease) {
  SchedulerHarness Frame;
  Frame.addPool("p", 8, 16);
  Frame.beginLeadership();
  for (int I = 0; I < 20; ++I)
    Frame.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(1, 6, 1000, 700));
  Frame.advanceTime(milliseconds(400));
  for (const char *Id : {"p-0", "p-1", "p-2", "p-3"})
    Frame.Workers.at(Id).Faults.IsUnreachable = true;
  Frame.advanceTime(seconds(9));
  EXPECT_EQ(Frame.countJobsInState(JobState::Completed), 20U);
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
}

TEST(BurstReplay, ALostPartOfThePoolDelaysNoLargerPartOfTheJobs) {
  // Each job needs all of its eight tasks: spread over the pool, nearly every
  // job would lose one of them.
  SchedulerHarness Frame;
  Frame.addPool("p", 12, 32);
  Frame.beginLeadership();
  Frame.advanceTime(milliseconds(200));
  constexpr size_t Jobs = 12;
  for (size_t I = 0; I < Jobs; ++I)
    Frame.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(1, 8, 3800, 1700));
  Frame.advanceTime(milliseconds(400));
  for (const char *Id : {"p-0", "p-1", "p-2", "p-3"})
    Frame.Workers.at(Id).Faults.IsUnreachable = true;
  Frame.advanceTime(seconds(9));
  size_t InTime = 0;
  for (size_t I = 0; I < Jobs; ++I) {
    int64_t Took = Frame.completionTimeMs("j" + std::to_string(I));
    InTime += Took >= 0 && Took <= 1700 * 16 / 10 + 600 ? 1 : 0;
  }
  EXPECT_GE(InTime, Jobs * 2 / 3);
  EXPECT_EQ(Frame.countJobsInState(JobState::Completed), Jobs);
  EXPECT_EQ(Frame.Workers.Violations, std::vector<std::string>());
}

TEST(BurstReplay, WorkGoesToTheRackOfItsDataWhileThereIsRoom) {
  SchedulerHarness Frame;
  Frame.addPool("p", 8, 16);
  Frame.beginLeadership();
  JobSpec Spec = makeChainSpec(1, 8, 1000, 300);
  Spec.Steps[0].DataRack = "r1";
  Frame.submitJob("a", "p", Spec);
  Frame.advanceTime(milliseconds(100));
  for (const auto &[Id, Worker] : Frame.Workers.all())
    if (Worker.Entry.rack() != "r1") {
      EXPECT_TRUE(Worker.Runs.empty()) << Id;
    }
  // With that rack full the rest goes elsewhere instead of waiting.
  Spec.Steps[0].Count = 90;
  Frame.submitJob("b", "p", Spec);
  Frame.advanceTime(milliseconds(150));
  EXPECT_EQ(Frame.Scheduler->counters().StartOrders, 98U);
}

} // namespace
