// Replays of a burst in which one of several organisations sends 7.5 times its
// usual rate on a pool that is too small for it, and of a calm load.

#include "Scheduling/RateBuckets.h"
#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>
#include <random>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

constexpr size_t Organisations = 8;
constexpr double Weight = 2;
constexpr int64_t TraceMs = 12000;
constexpr int64_t BurstStartMs = 2000;
constexpr int64_t BurstEndMs = 8000;

struct Arrival {
  int64_t AtMs = 0;
  size_t Organisation = 0;
  JobSpec Spec;
  bool IsOwed = false; // Within the organisation's rate.
};

/// Returns arrivals at four fifths of each organisation's rate; the first one
/// sends \p BurstFactor times as much during the burst.
std::vector<Arrival> makeTrace(uint32_t Seed, double BurstFactor) {
  std::vector<Arrival> Result;
  for (size_t I = 0; I < Organisations; ++I) {
    // Each organisation has its own generator, so that the others send the same
    // with and without the burst.
    std::mt19937 Random(Seed * 100 + static_cast<uint32_t>(I));
    std::uniform_int_distribution<uint32_t> Width(2, 8);
    std::uniform_int_distribution<int64_t> Cpu(800, 3000);
    std::uniform_int_distribution<int64_t> Ms(400, 800);
    std::exponential_distribution<double> Gap(0.8 * Weight / 1000);
    double AtMs = 0;
    while (true) {
      bool IsBurst = I == 0 && AtMs >= BurstStartMs && AtMs < BurstEndMs;
      AtMs += Gap(Random) / (IsBurst ? BurstFactor : 1);
      if (AtMs >= TraceMs)
        break;
      Result.push_back(
          {static_cast<int64_t>(AtMs), I,
           makeChainSpec(1, Width(Random), Cpu(Random), Ms(Random))});
    }
  }
  std::stable_sort(
      Result.begin(), Result.end(),
      [](const Arrival &A, const Arrival &B) { return A.AtMs < B.AtMs; });
  RateBuckets Buckets;
  for (Arrival &Next : Result)
    Next.IsOwed = Buckets.take(std::to_string(Next.Organisation), Weight,
                               Instant(milliseconds(Next.AtMs)));
  return Result;
}

struct Outcome {
  /// The part of the jobs within their rate of all organisations but the first
  /// that ended by their objective.
  double OthersInTime = 0;
  double WorstOtherInTime = 1; // The same of the worst served organisation.
  std::map<JobId, int64_t> CompletionMs;
};

Outcome replay(const std::vector<Arrival> &Trace, const OrderPolicy &Order,
               size_t Workers) {
  DispatcherOptions Options;
  Options.JobOrderPolicy = Order;
  SchedulerHarness Harness(
      [](const TaskId &, const StepSpec &Spec) { return Spec.EstimateMs; },
      Options);
  Harness.Configuration.Organisations.clear();
  for (size_t I = 0; I < Organisations; ++I)
    Harness.Configuration.Organisations.push_back(
        {"org" + std::to_string(I), {}, Weight, 0, {}});
  Harness.addPool("p", Workers, 16);
  Harness.beginLeadership();
  Harness.advanceTime(milliseconds(200));
  Instant Begin = Harness.Timers.now();
  for (size_t I = 0; I < Trace.size(); ++I) {
    Duration Gap = Begin + milliseconds(Trace[I].AtMs) - Harness.Timers.now();
    if (Gap > Duration::zero())
      Harness.advanceTime(Gap);
    Harness.submitJob("j" + std::to_string(I), "p", Trace[I].Spec,
                      "org" + std::to_string(Trace[I].Organisation));
  }
  Harness.advanceTime(seconds(20));
  EXPECT_EQ(Harness.Workers.Violations, std::vector<std::string>());
  EXPECT_EQ(Harness.countJobsInState(JobState::Completed), Trace.size());
  Outcome Result;
  std::vector<double> InTime(Organisations);
  std::vector<double> Sent(Organisations);
  for (size_t I = 0; I < Trace.size(); ++I) {
    JobId Id = "j" + std::to_string(I);
    int64_t Took = Result.CompletionMs[Id] = Harness.completionTimeMs(Id);
    auto Objective = static_cast<int64_t>(
        1.6 * static_cast<double>(Trace[I].Spec.criticalPathMs()) + 600);
    if (!Trace[I].IsOwed)
      continue;
    ++Sent[Trace[I].Organisation];
    InTime[Trace[I].Organisation] += Took >= 0 && Took <= Objective ? 1 : 0;
  }
  double OthersInTime = 0;
  double OthersSent = 0;
  for (size_t I = 1; I < Organisations; ++I) {
    OthersInTime += InTime[I];
    OthersSent += Sent[I];
    Result.WorstOtherInTime =
        std::min(Result.WorstOtherInTime, InTime[I] / Sent[I]);
  }
  Result.OthersInTime = OthersInTime / OthersSent;
  return Result;
}

/// Enough for the usual load of all organisations, but not for the burst.
constexpr size_t SmallPool = 6;

// Without shares the burst makes jobs of organisations late that send what they
// always do.
TEST(SharesReplay, ABurstOfOneOrganisationDoesNotMakeTheOthersLate) {
  constexpr double BurstFactor = 7.5;
  constexpr double Margin = 0.05;
  for (uint32_t Seed : {1U, 2U, 3U}) {
    std::vector<Arrival> Usual = makeTrace(Seed, 1);
    std::vector<Arrival> Burst = makeTrace(Seed, BurstFactor);
    Outcome Without = replay(Usual, SharedValue{}, SmallPool);
    Outcome Shared = replay(Burst, SharedValue{}, SmallPool);
    Outcome ByValue = replay(Burst, ValuePerWork{}, SmallPool);
    EXPECT_GE(Shared.OthersInTime, Without.OthersInTime - Margin)
        << "seed " << Seed;
    EXPECT_GT(Shared.OthersInTime, ByValue.OthersInTime) << "seed " << Seed;
    EXPECT_GE(Shared.WorstOtherInTime, ByValue.WorstOtherInTime)
        << "seed " << Seed;
  }
}

// Where capacity suffices, the order must not matter.
TEST(SharesReplay, NothingChangesUnderACalmLoad) {
  for (uint32_t Seed : {1U, 2U, 3U}) {
    std::vector<Arrival> Usual = makeTrace(Seed, 1);
    Outcome Shared = replay(Usual, SharedValue{}, 4 * SmallPool);
    Outcome ByValue = replay(Usual, ValuePerWork{}, 4 * SmallPool);
    EXPECT_EQ(Shared.CompletionMs, ByValue.CompletionMs) << "seed " << Seed;
    EXPECT_EQ(Shared.OthersInTime, 1) << "seed " << Seed;
  }
}

} // namespace
