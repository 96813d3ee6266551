// Tests of the decision to wait for capacity near a task's data, and of the
// forecast it rests on.

#include "Scheduling/LocalityWait.h"
#include "Scheduling/RackForecast.h"

#include <functional>
#include <gtest/gtest.h>
#include <limits>
#include <random>

using namespace mimosashunt;

namespace {

const Instant Start(seconds(1000));

/// A task of one second that runs far at three times that and can be near in
/// 300 ms, with time to spare.
LocalityInputs makeInputs() {
  LocalityInputs In;
  In.Now = Start;
  In.LocalMs = {1000, 100};
  In.Samples = 50;
  In.RemoteFactor = 3;
  In.RemoteMs = 3000;
  In.FreeInMs = {300, 50};
  In.Objective = Start + seconds(10);
  return In;
}

std::string describe(const LocalityDecision &Decision) {
  if (std::holds_alternative<PlaceNear>(Decision))
    return "near";
  if (const auto *Far = std::get_if<PlaceFar>(&Decision))
    return std::string("far ") + Far->Reason;
  return std::string("wait ") + std::get<WaitUntil>(Decision).Reason;
}

TEST(LocalityWait, DecidesByExpectedEnd) {
  struct Case {
    const char *Name;
    std::function<void(LocalityInputs &)> Change;
    const char *Expected;
  };
  const Case Cases[] = {
      {"pays off", [](auto &) {}, "wait earlier_end"},
      {"free now",
       [](auto &In) {
         In.FreeInMs = {0, 0};
       },
       "near"},
      {"factor 1",
       [](auto &In) {
         In.RemoteFactor = 1;
         In.RemoteMs = 1000;
       },
       "far no_gain"},
      {"factor below 1", [](auto &In) { In.RemoteFactor = 0.5; },
       "far no_gain"},
      {"rack as slow as a remote one", [](auto &In) { In.LocalMs.Mean = 3100; },
       "far no_gain"},
      {"no samples", [](auto &In) { In.Samples = 0; }, "far unknown_kind"},
      {"seven samples", [](auto &In) { In.Samples = 7; }, "far unknown_kind"},
      {"eight samples", [](auto &In) { In.Samples = 8; }, "wait earlier_end"},
      {"waits that succeed often", [](auto &In) { In.SuccessRate = 0.5; },
       "wait earlier_end"},
      {"waits in vain", [](auto &In) { In.SuccessRate = 0.1; },
       "far waits_in_vain"},
      {"never free", [](auto &In) { In.FreeInMs.reset(); }, "far no_capacity"},
      {"wait longer than the gain",
       [](auto &In) {
         In.FreeInMs = {2100, 50};
       },
       "far too_long"},
      {"wait within the margin of the gain",
       [](auto &In) {
         In.FreeInMs = {1950, 50};
       },
       "far too_long"},
      {"same wait, too uncertain",
       [](auto &In) {
         In.FreeInMs = {300, 4000};
       },
       "far too_long"},
      {"objective passed", [](auto &In) { In.Objective = Start - seconds(1); },
       "far objective"},
      {"in time only if started far at once",
       [](auto &In) { In.Objective = Start + milliseconds(3200); },
       "far objective"},
      {"in time only near",
       [](auto &In) { In.Objective = Start + milliseconds(2000); },
       "wait only_in_time_near"},
      {"late in any case",
       [](auto &In) { In.Objective = Start + milliseconds(1200); },
       "far objective"},
      {"run time is no number",
       [](auto &In) {
         In.LocalMs.Mean = std::numeric_limits<double>::quiet_NaN();
       },
       "far no_gain"},
      {"estimate of zero",
       [](auto &In) {
         In.LocalMs = {0, 0};
         In.RemoteMs = 0;
       },
       "far no_gain"},
  };
  for (const Case &Next : Cases) {
    LocalityInputs In = makeInputs();
    Next.Change(In);
    EXPECT_EQ(describe(decideLocality(In)), Next.Expected) << Next.Name;
  }
}

TEST(LocalityWait, TheMarginGrowsWithTheUncertainty) {
  // Guards against a margin that ignores how far off the forecast may be.
  double LongestWait = std::numeric_limits<double>::max();
  for (double Deviation : {0.0, 200.0, 500.0, 1000.0}) {
    double Longest = 0;
    for (double WaitMs = 10; WaitMs < 2000; WaitMs += 10) {
      LocalityInputs In = makeInputs();
      In.FreeInMs = {WaitMs, Deviation};
      if (std::holds_alternative<WaitUntil>(decideLocality(In)))
        Longest = WaitMs;
    }
    EXPECT_LT(Longest, LongestWait) << Deviation;
    LongestWait = Longest;
  }
}

TEST(LocalityWait, NoWaitBreaksItsBounds) {
  size_t Waits = 0;
  for (uint32_t Seed : {1U, 2U, 3U}) {
    std::mt19937 Random(Seed);
    auto Draw = [&](double From, double To) {
      return std::uniform_real_distribution<double>(From, To)(Random);
    };
    for (int I = 0; I < 20000; ++I) {
      LocalityInputs In;
      In.Now = Start;
      In.LocalMs = {Draw(0, 3000), Draw(0, 1000)};
      In.Samples = Draw(0, 30);
      In.RemoteFactor = Draw(0.5, 4);
      In.RemoteMs = In.LocalMs.Mean * In.RemoteFactor * Draw(0.5, 1);
      if (Draw(0, 1) < 0.9)
        In.FreeInMs = {Draw(-10, 3000), Draw(0, 1000)};
      In.Objective = Start + milliseconds(static_cast<int>(Draw(-2000, 8000)));
      LocalityDecision Decision = decideLocality(In);
      const auto *Wait = std::get_if<WaitUntil>(&Decision);
      if (Wait == nullptr)
        continue;
      ++Waits;
      auto WaitMs = static_cast<double>(toMillis(Wait->Until - In.Now));
      ASSERT_GE(In.Samples, 8);
      ASSERT_GT(In.RemoteFactor, 1);
      ASSERT_TRUE(In.FreeInMs);
      ASSERT_LE(Wait->Until, In.Objective);
      ASSERT_LE(WaitMs, (In.RemoteFactor - 1) * In.LocalMs.Mean);
      ASSERT_LT(In.FreeInMs->Mean + In.LocalMs.Mean, In.RemoteMs);
      ASSERT_GE(Wait->Until, Wait->ExpectedAt);
      ASSERT_GE(Wait->Confidence, 0.5);
      ASSERT_LE(Wait->Confidence, 1);
    }
  }
  EXPECT_GT(Waits, 1000U);
}

StepSpec makeStep(int64_t Cpu) {
  StepSpec Spec;
  Spec.Count = 1;
  Spec.TaskResources = {Cpu, 100, 0};
  Spec.EstimateMs = 1000;
  return Spec;
}

TEST(RackForecast, TasksGetPlacesInOrderAsRunsEnd) {
  WorkerEntry A;
  WorkerEntry B;
  RackForecast Forecast;
  Resources Half{4000, 1000, 0};
  Forecast.addWorker(A, {0, 0, 0}, {{{500, 10}, Half}, {{200, 10}, Half}});
  Forecast.addWorker(B, {1000, 5000, 0}, {{{300, 10}, Half}});
  StepSpec Spec = makeStep(4000);
  const TimeEstimate RunMs{1000, 0};
  EXPECT_EQ(Forecast.find(Spec)->Mean, 200);
  EXPECT_EQ(Forecast.reserve(Spec, RunMs)->Mean, 200);
  EXPECT_EQ(Forecast.reserve(Spec, RunMs)->Mean, 300);
  EXPECT_EQ(Forecast.reserve(Spec, RunMs)->Mean, 500);
  // From here on they follow the ones before them.
  EXPECT_EQ(Forecast.reserve(Spec, RunMs)->Mean, 1200);
  EXPECT_EQ(Forecast.reservations(), 4U);
  // It waits for both halves of the first worker, behind all three there.
  EXPECT_EQ(Forecast.find(makeStep(8000))->Mean, 2200);
  EXPECT_FALSE(Forecast.find(makeStep(64000)));
}

TEST(RackForecast, MemoryCountsAsWellAsProcessors) {
  WorkerEntry A;
  RackForecast Forecast;
  Forecast.addWorker(A, {8000, 0, 0}, {{{700, 0}, {0, 4000, 0}}});
  EXPECT_EQ(Forecast.find(makeStep(1000))->Mean, 700);
}

TEST(RackForecast, OnlyWorkersWithTheLabelCount) {
  WorkerEntry A;
  A.Labels = {"plain", "r1"};
  RackForecast Forecast;
  Forecast.addWorker(A, {8000, 8000, 0}, {});
  StepSpec Spec = makeStep(1000);
  Spec.RequiredLabel = "gpu";
  EXPECT_FALSE(Forecast.find(Spec));
  Spec.RequiredLabel = "plain";
  EXPECT_EQ(Forecast.find(Spec)->Mean, 0);
}

TEST(RackForecast, AGangNeedsRoomForAllAtOnce) {
  WorkerEntry A;
  WorkerEntry B;
  RackForecast Forecast;
  Resources Half{4000, 1000, 0};
  Forecast.addWorker(A, {4000, 4000, 0}, {{{800, 0}, Half}});
  Forecast.addWorker(B, {0, 4000, 0}, {{{300, 0}, Half}, {{400, 0}, Half}});
  StepSpec Spec = makeStep(4000);
  EXPECT_EQ(Forecast.findForGang(Spec, 1)->Mean, 0);
  EXPECT_EQ(Forecast.findForGang(Spec, 2)->Mean, 300);
  EXPECT_EQ(Forecast.findForGang(Spec, 4)->Mean, 800);
  EXPECT_FALSE(Forecast.findForGang(Spec, 5));
  EXPECT_EQ(Forecast.reservations(), 0U);
}

TEST(RackForecast, ARunThatBeginsTakesItsPlaceFromThoseThatWait) {
  WorkerEntry A;
  RackForecast Forecast;
  Forecast.addWorker(A, {4000, 4000, 0}, {{{800, 0}, {4000, 0, 0}}});
  StepSpec Spec = makeStep(4000);
  EXPECT_EQ(Forecast.find(Spec)->Mean, 0);
  Forecast.occupy(A, Spec.TaskResources, {600, 0});
  EXPECT_EQ(Forecast.find(Spec)->Mean, 600);
}

} // namespace
