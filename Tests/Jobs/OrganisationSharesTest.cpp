// Tests of the shares and rates of organisations: the module on its own, the
// order of jobs that follows from it, and what a new leader knows of them.

#include "Scheduling/OrganisationShares.h"
#include "Scheduling/JobOrder.h"
#include "Scheduling/RateBuckets.h"
#include "Support/SchedulerHarness.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <limits>
#include <numeric>
#include <rapidcheck/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

constexpr Duration TickPeriod = milliseconds(100);
constexpr Resources Capacity{100000, 100000, 0};

ServiceConfiguration makeConfiguration(const std::vector<double> &Weights) {
  ServiceConfiguration Result;
  for (size_t I = 0; I < Weights.size(); ++I)
    Result.Organisations.push_back(
        {"org" + std::to_string(I), {}, Weights[I], 0, {}});
  return Result;
}

/// Shares under a given use of each organisation.
class SharesModel {
public:
  explicit SharesModel(const std::vector<double> &Weights)
      : Used(Weights.size()), Waiting(Weights.size(), true) {
    Shares.setConfiguration(makeConfiguration(Weights));
    for (size_t I = 0; I < Weights.size(); ++I)
      Shares.indexOf("org" + std::to_string(I));
  }

  /// Advances by one tick. Returns the number of levels that changed between
  /// over and not over.
  size_t tick() {
    Now += TickPeriod;
    std::vector<bool> WasOver;
    for (size_t I = 0; I < Used.size(); ++I)
      WasOver.push_back(Shares.level(I) == ShareLevel::Over);
    Shares.resetJobCounts();
    for (size_t I = 0; I < Used.size(); ++I)
      Shares.countJob(I, Waiting[I], Used[I].Cpu > 0, false);
    Changes = Shares.update(
        Now, Capacity,
        [this](const std::string &Name) {
          return Used[std::stoul(Name.substr(3))];
        },
        MeanJobUsage);
    size_t Count = 0;
    for (size_t I = 0; I < Used.size(); ++I)
      Count += WasOver[I] != (Shares.level(I) == ShareLevel::Over) ? 1 : 0;
    return Count;
  }

  OrganisationShares Shares;
  Instant Now{seconds(1000)};
  std::vector<Resources> Used;
  std::vector<bool> Waiting;
  std::vector<ShareChange> Changes;
  double MeanJobUsage = 0; // Seconds of the capacity.
};

std::vector<double> arbitraryWeights() {
  auto Numbers = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 400)));
  std::vector<double> Result;
  Result.reserve(Numbers.size());
  for (int Number : Numbers)
    Result.push_back(Number / 10.0);
  return Result;
}

JobRank arbitraryRank(size_t Index, Instant Now) {
  JobRank Rank;
  Rank.Index = Index;
  Rank.Priority = *rc::gen::inRange(0, 2);
  Rank.LongRunning = *rc::gen::inRange(0, 6) == 0;
  Rank.AcceptedAt = Now - milliseconds(*rc::gen::inRange(0, 50));
  Rank.Objective = Now + milliseconds(*rc::gen::inRange(0, 3000));
  Rank.CriticalPathMs = *rc::gen::inRange(0, 3000);
  Rank.RemainingCoreMs = *rc::gen::inRange(0, 20);
  Rank.TotalCoreMs = Rank.RemainingCoreMs + *rc::gen::inRange(0, 20);
  Rank.IsBeyondRate = *rc::gen::arbitrary<bool>();
  Rank.Level = static_cast<ShareLevel>(*rc::gen::inRange(0, 3));
  return Rank;
}

std::vector<JobRank> arbitraryRanks(Instant Now) {
  std::vector<JobRank> Result(*rc::gen::inRange<size_t>(1, 30));
  for (size_t I = 0; I < Result.size(); ++I)
    Result[I] = arbitraryRank(I, Now);
  return Result;
}

std::vector<size_t> indicesOf(const std::vector<JobRank> &Ranks) {
  std::vector<size_t> Result;
  Result.reserve(Ranks.size());
  for (const JobRank &Rank : Ranks)
    Result.push_back(Rank.Index);
  return Result;
}

// The order.

// If two jobs could tie, the order would depend on that of the input and could
// differ from pass to pass.
RC_GTEST_PROP(SharedValueOrder, IsTotal, ()) {
  Instant Now(seconds(1000));
  std::vector<JobRank> Ranks = arbitraryRanks(Now);
  std::vector<JobRank> Reversed(Ranks.rbegin(), Ranks.rend());
  orderJobs(SharedValue{}, Now, 10, Ranks);
  orderJobs(SharedValue{}, Now, 10, Reversed);
  RC_ASSERT(indicesOf(Ranks) == indicesOf(Reversed));
}

RC_GTEST_PROP(SharedValueOrder, FollowsTheClassesInTheirOrder, ()) {
  Instant Now(seconds(1000));
  std::vector<JobRank> Ranks = arbitraryRanks(Now);
  orderJobs(SharedValue{}, Now, 10, Ranks);
  auto ClassOf = [Now](const JobRank &Rank) {
    return Rank.LongRunning
               ? std::make_tuple(0, Rank.Priority, false, false, 0)
               : std::make_tuple(1, Rank.Priority, !canMeetObjective(Rank, Now),
                                 Rank.IsBeyondRate,
                                 static_cast<int>(Rank.Level));
  };
  for (size_t I = 1; I < Ranks.size(); ++I)
    RC_ASSERT(ClassOf(Ranks[I - 1]) <= ClassOf(Ranks[I]));
}

// With one organisation no job is beyond the rate, and all have one level.
RC_GTEST_PROP(SharedValueOrder, OfOneOrganisationEqualsValuePerWork, ()) {
  Instant Now(seconds(1000));
  std::vector<JobRank> Ranks = arbitraryRanks(Now);
  auto Level = static_cast<ShareLevel>(*rc::gen::inRange(0, 3));
  for (JobRank &Rank : Ranks) {
    Rank.IsBeyondRate = false;
    Rank.Level = Level;
  }
  std::vector<JobRank> ByValue = Ranks;
  orderJobs(SharedValue{}, Now, 10, Ranks);
  orderJobs(ValuePerWork{}, Now, 10, ByValue);
  RC_ASSERT(indicesOf(Ranks) == indicesOf(ByValue));
}

// Long-running jobs are bounded by the quota alone.
RC_GTEST_PROP(SharedValueOrder, IgnoresSharesOfLongRunningJobs, ()) {
  Instant Now(seconds(1000));
  std::vector<JobRank> Ranks = arbitraryRanks(Now);
  for (JobRank &Rank : Ranks)
    Rank.LongRunning = true;
  std::vector<JobRank> ByValue = Ranks;
  orderJobs(SharedValue{}, Now, 10, Ranks);
  orderJobs(ValuePerWork{}, Now, 10, ByValue);
  RC_ASSERT(indicesOf(Ranks) == indicesOf(ByValue));
}

// The shares.

RC_GTEST_PROP(OrganisationSharesProperties, SumToEverything, ()) {
  SharesModel Model(arbitraryWeights());
  size_t Active = 0;
  for (size_t I = 0; I < Model.Used.size(); ++I) {
    Model.Waiting[I] = *rc::gen::arbitrary<bool>();
    Active += Model.Waiting[I] ? 1 : 0;
  }
  Model.tick();
  double Sum = 0;
  for (size_t I = 0; I < Model.Used.size(); ++I) {
    Sum += Model.Shares.share(I);
    RC_ASSERT((Model.Shares.share(I) > 0) == Model.Waiting[I]);
  }
  RC_ASSERT(std::abs(Sum - (Active > 0 ? 1 : 0)) < 1e-9);
}

// If all were over their share at once, shares would order nothing.
RC_GTEST_PROP(OrganisationSharesProperties, SomeOneWithWorkIsWithinItsShare,
              ()) {
  SharesModel Model(arbitraryWeights());
  for (int I = 0; I < 30; ++I) {
    for (size_t K = 0; K < Model.Used.size(); ++K) {
      Model.Used[K].Cpu = *rc::gen::inRange(0, 50000);
      Model.Waiting[K] = *rc::gen::arbitrary<bool>();
    }
    Model.tick();
    bool HasWork = false;
    bool IsSomeWithin = false;
    for (size_t K = 0; K < Model.Used.size(); ++K) {
      bool Works = Model.Shares.all()[K].hasWork();
      HasWork |= Works;
      IsSomeWithin |= Works && Model.Shares.level(K) != ShareLevel::Over;
    }
    RC_ASSERT(!HasWork || IsSomeWithin);
  }
}

// A changing order would interrupt jobs of several steps between their steps.
RC_GTEST_PROP(OrganisationSharesProperties, DoNotFlapUnderSteadyUse, ()) {
  std::vector<double> Weights = arbitraryWeights();
  SharesModel Model(Weights);
  std::vector<int64_t> Mean;
  for (Resources &Used : Model.Used)
    Mean.push_back(Used.Cpu = *rc::gen::inRange(1000, 20000));
  for (int I = 0; I < 300; ++I)
    Model.tick();
  std::vector<size_t> Changes(Model.Used.size());
  for (int I = 0; I < 300; ++I) {
    for (size_t K = 0; K < Mean.size(); ++K)
      Model.Used[K].Cpu = Mean[K] * *rc::gen::inRange(80, 121) / 100;
    std::vector<ShareLevel> Before;
    for (size_t K = 0; K < Mean.size(); ++K)
      Before.push_back(Model.Shares.level(K));
    Model.tick();
    for (size_t K = 0; K < Mean.size(); ++K)
      Changes[K] += (Before[K] == ShareLevel::Over) !=
                            (Model.Shares.level(K) == ShareLevel::Over)
                        ? 1
                        : 0;
  }
  // Use that differs by a fifth from tick to tick averages to less than the
  // hysteresis, so that a level settles after one change.
  for (size_t Count : Changes)
    RC_ASSERT(Count <= 1U);
}

TEST(OrganisationShares, TheUnusedShareOfAnOrganisationIsLent) {
  SharesModel Model({1, 1, 1});
  // The first needs little; the others use equally much more than a third.
  Model.Waiting = {false, true, true};
  Model.Used = {{4000, 0, 0}, {48000, 0, 0}, {48000, 0, 0}};
  for (int I = 0; I < 100; ++I)
    Model.tick();
  for (size_t I = 0; I < 3; ++I)
    EXPECT_NE(Model.Shares.level(I), ShareLevel::Over) << I;
}

TEST(OrganisationShares, AnOrganisationAloneIsWithinItsShare) {
  SharesModel Model({1, 30});
  Model.Waiting = {true, false};
  Model.Used[0] = {100000, 0, 0};
  for (int I = 0; I < 100; ++I) {
    Model.tick();
    EXPECT_NE(Model.Shares.level(0), ShareLevel::Over);
  }
}

TEST(OrganisationShares, CountTheDominantResource) {
  SharesModel Model({1, 1});
  // Half of the memory is more than a third of the processors.
  Model.Used = {{10000, 50000, 0}, {33000, 10000, 0}};
  for (int I = 0; I < 50; ++I)
    Model.tick();
  EXPECT_EQ(Model.Shares.level(0), ShareLevel::Over);
  EXPECT_NE(Model.Shares.level(1), ShareLevel::Over);
}

TEST(OrganisationShares, DebtIsForgottenAfterTheHistory) {
  SharesModel Model({1, 1});
  Model.Used = {{100000, 0, 0}, {}};
  for (int I = 0; I < 600; ++I)
    Model.tick();
  EXPECT_EQ(Model.Shares.level(0), ShareLevel::Over);
  // A minute of use alone is owed for no longer than 5 s of it would be.
  Model.Used = {{}, {100000, 0, 0}};
  int Ticks = 0;
  while (Model.Shares.level(0) == ShareLevel::Over && Ticks < 100) {
    Model.tick();
    ++Ticks;
  }
  EXPECT_LE(Ticks * toMillis(TickPeriod), 5000);
}

TEST(OrganisationShares, ChangesAreReportedOnceAndOnlyWhileJobsWait) {
  SharesModel Model({1, 1});
  Model.Waiting = {false, true};
  Model.Used = {{80000, 0, 0}, {10000, 0, 0}};
  for (int I = 0; I < 50; ++I) {
    Model.tick();
    EXPECT_TRUE(Model.Changes.empty());
  }
  Model.Waiting[0] = true;
  size_t Reports = 0;
  for (int I = 0; I < 50; ++I) {
    Model.tick();
    for (const ShareChange &Change : Model.Changes) {
      EXPECT_EQ(Change.Index, 0U);
      EXPECT_TRUE(Change.IsExceeded);
      ++Reports;
    }
  }
  EXPECT_EQ(Reports, 1U);
  Model.Used[0] = {};
  for (int I = 0; I < 100; ++I) {
    Model.tick();
    for (const ShareChange &Change : Model.Changes) {
      EXPECT_FALSE(Change.IsExceeded);
      ++Reports;
    }
  }
  EXPECT_EQ(Reports, 2U);
}

TEST(OrganisationShares, UnusableWeightsCountAsTheSmallest) {
  OrganisationShares Shares;
  Shares.setConfiguration(
      makeConfiguration({0, -3, std::numeric_limits<double>::quiet_NaN(),
                         std::numeric_limits<double>::infinity(), 1e-9, 2}));
  for (const char *Name : {"org0", "org1", "org2", "org3", "org4", "missing"})
    EXPECT_EQ(Shares.weightOf(Name), MinOrganisationWeight) << Name;
  EXPECT_EQ(Shares.weightOf("org5"), 2);
  EXPECT_EQ(Shares.weightOf(""), 1);
}

TEST(OrganisationShares, RecordedUsageIsAgedAndUnusableValuesAreIgnored) {
  OrganisationShares Shares;
  Shares.setConfiguration(makeConfiguration({2, 1, 1, 1, 1}));
  RecordUsage Recorded{100000,
                       {{"org0", 0.5},
                        {"org1", -1},
                        {"org2", std::numeric_limits<double>::quiet_NaN()},
                        {"org3", 1e300},
                        {"gone", 2}}};
  Shares.restore(Recorded, 105000);
  auto UsageOf = [&](const std::string &Name) {
    return Shares.all()[Shares.indexOf(Name)].Usage;
  };
  EXPECT_NEAR(UsageOf("org0"), 1 / std::exp(1), 1e-9);
  EXPECT_EQ(UsageOf("org1"), 0);
  EXPECT_EQ(UsageOf("org2"), 0);
  EXPECT_EQ(UsageOf("org3"), 5);
  EXPECT_NEAR(UsageOf("gone"), 2 * MinOrganisationWeight / std::exp(1), 1e-9);
}

TEST(OrganisationShares, AJumpOfTheWallClockAtMostForgetsUsage) {
  RecordUsage Recorded{100000, {{"org0", 0.5}}};
  auto UsageAt = [&](UnixMillis Now) {
    OrganisationShares Shares;
    Shares.setConfiguration(makeConfiguration({1}));
    Shares.restore(Recorded, Now);
    return Shares.all()[Shares.indexOf("org0")].Usage;
  };
  EXPECT_EQ(UsageAt(100000), 0.5);
  EXPECT_EQ(UsageAt(1000), 0.5); // Backward: nothing ages.
  EXPECT_LT(UsageAt(10000000), 1e-9);
  EXPECT_EQ(UsageAt(std::numeric_limits<int64_t>::min()), 0.5);
  EXPECT_EQ(UsageAt(std::numeric_limits<int64_t>::max()), 0);
}

// The rate.

TEST(RateBuckets, AdmitTwoSecondsAtOnceAndThenTheRate) {
  RateBuckets Buckets;
  Instant Now(seconds(1000));
  auto TakeAll = [&] {
    int Count = 0;
    while (Buckets.take("a", 3, Now))
      ++Count;
    return Count;
  };
  EXPECT_EQ(TakeAll(), 6);
  Now += seconds(1);
  EXPECT_EQ(TakeAll(), 3);
  Now += seconds(60);
  EXPECT_EQ(TakeAll(), 6);
}

// A bucket that could never hold one token would put every job beyond the rate.
TEST(RateBuckets, ASmallRateStillAdmitsOneJob) {
  RateBuckets Buckets;
  Instant Now(seconds(1000));
  EXPECT_TRUE(Buckets.take("a", MinOrganisationWeight, Now));
  EXPECT_FALSE(Buckets.take("a", MinOrganisationWeight, Now + seconds(999)));
  EXPECT_TRUE(Buckets.take("a", MinOrganisationWeight, Now + seconds(1001)));
}

RC_GTEST_PROP(RateBucketsProperties, ANewLeaderJudgesAsTheOldOneWould, ()) {
  RateBuckets Old;
  JobStore Store;
  Instant Start(seconds(1000));
  constexpr UnixMillis WallStart = 1800000000000;
  auto RateOf = [](const std::string &Name) { return Name == "a" ? 3.0 : 0.4; };
  int64_t AtMs = 0;
  int Jobs = *rc::gen::inRange(0, 60);
  for (int I = 0; I < Jobs; ++I) {
    AtMs += *rc::gen::inRange(0, 400);
    AcceptJob Job;
    Job.Job = "j" + std::to_string(I);
    Job.Organisation = *rc::gen::arbitrary<bool>() ? "a" : "b";
    Job.AcceptedAt = WallStart + AtMs;
    Job.Spec = makeChainSpec(1, 1, 1000, 100);
    Job.IsBeyondRate = !Old.take(Job.Organisation, RateOf(Job.Organisation),
                                 Start + milliseconds(AtMs));
    Store.apply(Job);
  }
  AtMs += *rc::gen::inRange(0, 1000);
  // The new leader's boot clock reads otherwise.
  Instant NewNow = Start + seconds(5000);
  RateBuckets New;
  New.restore(Store.jobs(), RateOf, NewNow, WallStart + AtMs);
  for (const char *Name : {"a", "b"}) {
    int OldCount = 0;
    while (Old.take(Name, RateOf(Name), Start + milliseconds(AtMs)))
      ++OldCount;
    int NewCount = 0;
    while (New.take(Name, RateOf(Name), NewNow))
      ++NewCount;
    RC_ASSERT(OldCount == NewCount);
  }
}

TEST(RateBuckets, AJumpOfTheWallClockGrantsAtMostOneBurst) {
  JobStore Store;
  for (int I = 0; I < 6; ++I) {
    AcceptJob Job;
    Job.Job = "j" + std::to_string(I);
    Job.Organisation = "a";
    Job.AcceptedAt = 1800000000000;
    Job.Spec = makeChainSpec(1, 1, 1000, 100);
    Store.apply(Job);
  }
  auto CountAt = [&](UnixMillis WallNow) {
    RateBuckets Buckets;
    Instant Now(seconds(1000));
    Buckets.restore(
        Store.jobs(), [](const std::string &) { return 3.0; }, Now, WallNow);
    int Count = 0;
    while (Buckets.take("a", 3, Now))
      ++Count;
    return Count;
  };
  EXPECT_EQ(CountAt(1800000000000), 0);
  EXPECT_EQ(CountAt(1800000000000 - 86400000), 0);
  EXPECT_EQ(CountAt(1800000000000 + 86400000), 6);
  EXPECT_EQ(CountAt(std::numeric_limits<int64_t>::min()), 0);
}

// The leader.

DispatcherOptions withShares() {
  DispatcherOptions Options;
  Options.JobOrderPolicy = SharedValue{};
  return Options;
}

int64_t estimatedDuration(const TaskId &, const StepSpec &Spec) {
  return Spec.EstimateMs;
}

/// One small pool for organisations with these weights.
class SharedPool : public SchedulerHarness {
public:
  explicit SharedPool(const std::vector<double> &Weights, size_t Count = 2,
                      int64_t Cores = 8)
      : SchedulerHarness(estimatedDuration, withShares()) {
    Configuration.Organisations = makeConfiguration(Weights).Organisations;
    addPool("p", Count, Cores);
    beginLeadership();
    advanceTime(milliseconds(200));
  }

  const OrganisationShare &shareOf(const std::string &Name) const {
    const auto &All = Scheduler->shares().all();
    return *std::find_if(All.begin(), All.end(),
                         [&](const auto &Entry) { return Entry.Name == Name; });
  }

  size_t countEvents(const std::string &Kind) const {
    return std::count_if(
        LoggedEvents.begin(), LoggedEvents.end(),
        [&](const auto &Event) { return Event.first == Kind; });
  }
};

TEST(SharedPool, JobsBeyondTheRateAreMarkedDurably) {
  SharedPool Fleet({1.5, 1});
  for (int I = 0; I < 5; ++I)
    Fleet.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(1, 1, 1000, 300), "org0");
  JobStore Restored;
  Restored.restore(Fleet.Store.snapshot());
  for (int I = 0; I < 5; ++I)
    EXPECT_EQ(Restored.findJob("j" + std::to_string(I))->Job.IsBeyondRate,
              I >= 3)
        << I;
}

// A rate protects the others, of which there are none.
TEST(SharedPool, TheOnlyOrganisationHasNoRate) {
  SharedPool Fleet({1});
  for (int I = 0; I < 9; ++I) {
    Fleet.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(1, 1, 1000, 300), "org0");
    EXPECT_FALSE(
        Fleet.Store.findJob("j" + std::to_string(I))->Job.IsBeyondRate);
  }
}

TEST(SharedPool, LongRunningAndPublicJobsTakeNoTokens) {
  SharedPool Fleet({1, 1});
  JobSpec LongRunning = makeChainSpec(1, 1, 100, 100000);
  LongRunning.Steps[0].LongRunning = true;
  for (int I = 0; I < 5; ++I) {
    Fleet.submitJob("long" + std::to_string(I), "p", LongRunning, "org0");
    Fleet.submitJob("public" + std::to_string(I), "p",
                    makeChainSpec(1, 1, 100, 100), "");
  }
  Fleet.submitJob("a", "p", makeChainSpec(1, 1, 100, 100), "org0");
  for (const auto &[Id, Record] : Fleet.Store.jobs())
    EXPECT_FALSE(Record.Job.IsBeyondRate) << Id;
}

// Jobs of one organisation that fit a hundred times must not hold up those of
// another one, whose value per work is lower.
TEST(SharedPool, AnOrganisationWithinItsShareIsServedBeforeOneThatIsOver) {
  SharedPool Fleet({50, 50});
  for (int I = 0; I < 60; ++I)
    Fleet.submitJob("busy" + std::to_string(I), "p",
                    makeChainSpec(1, 2, 1000, 500), "org0");
  Fleet.advanceTime(milliseconds(700));
  ASSERT_EQ(Fleet.shareOf("org0").Level, ShareLevel::Within); // Alone.
  for (int I = 0; I < 4; ++I)
    Fleet.submitJob("calm" + std::to_string(I), "p",
                    makeChainSpec(1, 4, 1000, 500), "org1");
  Fleet.advanceTime(milliseconds(200));
  EXPECT_EQ(Fleet.shareOf("org0").Level, ShareLevel::Over);
  EXPECT_GE(Fleet.countEvents("share_exceeded"), 1U);
  Fleet.advanceTime(seconds(15));
  for (int I = 0; I < 4; ++I) {
    int64_t Took = Fleet.completionTimeMs("calm" + std::to_string(I));
    // Half a run until there is room, the run, and the objective's slack.
    EXPECT_GE(Took, 0);
    EXPECT_LE(Took, 1400);
  }
  EXPECT_EQ(Fleet.countJobsInState(JobState::Completed), 64U);
  EXPECT_EQ(Fleet.countEvents("share_exceeded"),
            Fleet.countEvents("share_within"));
  EXPECT_EQ(Fleet.Workers.Violations, std::vector<std::string>());
}

TEST(SharedPool, ANewLeaderStartsFromTheRecordedUsage) {
  SharedPool Fleet({50, 50});
  for (int I = 0; I < 60; ++I)
    Fleet.submitJob("busy" + std::to_string(I), "p",
                    makeChainSpec(1, 2, 1000, 500), "org0");
  Fleet.advanceTime(seconds(2));
  double Before = Fleet.shareOf("org0").Usage;
  ASSERT_GT(Before, 0.5);
  ASSERT_FALSE(Fleet.Store.usage().Organisations.empty());
  auto RestoredUsage = [&] {
    Fleet.beginLeadership();
    return Fleet.shareOf("org0").Usage;
  };
  // The record is up to 1 s old, within which usage grows by a fifth of what
  // the whole fleet would add.
  EXPECT_NEAR(RestoredUsage(), Before, 1.3);
  EXPECT_GT(RestoredUsage(), 0.3);
  // After a restart from a snapshot nothing differs.
  double Restored = RestoredUsage();
  Fleet.Store.restore(std::string(Fleet.Store.snapshot()));
  EXPECT_EQ(RestoredUsage(), Restored);
  // A clock behind the recorded time ages nothing.
  Fleet.WallOffsetMs = -3600000;
  EXPECT_GE(RestoredUsage(), Restored);
  Fleet.WallOffsetMs = 3600000;
  EXPECT_LT(RestoredUsage(), 1e-9);
  Fleet.advanceTime(seconds(20));
  EXPECT_EQ(Fleet.Workers.Violations, std::vector<std::string>());
}

TEST(SharedPool, UsageIsRecordedEachSecondOnlyWhileJobsWait) {
  SharedPool Fleet({50, 50});
  Fleet.submitJob("small", "p", makeChainSpec(1, 1, 1000, 2000), "org0");
  Fleet.advanceTime(seconds(3));
  EXPECT_EQ(Fleet.Store.usage(), RecordUsage());
  for (int I = 0; I < 60; ++I)
    Fleet.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(1, 2, 1000, 500), "org0");
  std::set<UnixMillis> Times;
  for (int I = 0; I < 200; ++I) {
    Fleet.advanceTime(milliseconds(10));
    Times.insert(Fleet.Store.usage().At);
  }
  Times.erase(0);
  EXPECT_GE(Times.size(), 2U);
  EXPECT_LE(Times.size(), 3U);
}

// The next record must not wait for one that was never committed.
TEST(SharedPool, AFailedRecordIsFollowedByTheNextOne) {
  SharedPool Fleet({50, 50});
  for (int I = 0; I < 60; ++I)
    Fleet.submitJob("j" + std::to_string(I), "p",
                    makeChainSpec(1, 2, 1000, 500), "org0");
  Fleet.FailsProposals = true;
  Fleet.advanceTime(milliseconds(500));
  EXPECT_EQ(Fleet.Store.usage(), RecordUsage());
  Fleet.FailsProposals = false;
  Fleet.advanceTime(milliseconds(1500));
  EXPECT_FALSE(Fleet.Store.usage().Organisations.empty());
}

TEST(SharedPool, AnOrganisationThatDisappearsKeepsItsRunsAndWaitsBehindOthers) {
  SharedPool Fleet({50, 50});
  for (const char *Name : {"org0", "org1"})
    for (int I = 0; I < 12; ++I)
      Fleet.submitJob(std::string(Name) + "-" + std::to_string(I), "p",
                      makeChainSpec(1, 2, 1000, 500), Name);
  Fleet.advanceTime(milliseconds(300));
  Resources Running = Fleet.Workers.RunningByOrganisation["org0"];
  ASSERT_GT(Running.Cpu, 0);
  Fleet.Configuration.Organisations.erase(
      Fleet.Configuration.Organisations.begin());
  Fleet.Scheduler->onConfigurationChanged();
  EXPECT_EQ(Fleet.shareOf("org0").Weight, MinOrganisationWeight);
  Fleet.advanceTime(milliseconds(100));
  EXPECT_EQ(Fleet.Workers.RunningByOrganisation["org0"], Running);
  EXPECT_EQ(Fleet.Scheduler->counters().StopOrders, 0U);
  EXPECT_EQ(Fleet.shareOf("org0").Level, ShareLevel::Over);
  Fleet.advanceTime(seconds(6));
  EXPECT_EQ(Fleet.countJobsInState(JobState::Completed), 24U);
  EXPECT_EQ(Fleet.Workers.Violations, std::vector<std::string>());
}

TEST(SharedPool, QuotasHold) {
  SharedPool Fleet({50, 50});
  constexpr int64_t MaxCpu = 4000;
  Fleet.Configuration.Organisations[0].Maximum = {MaxCpu, 0, 0};
  for (const char *Name : {"org0", "org1"})
    for (int I = 0; I < 20; ++I)
      Fleet.submitJob(std::string(Name) + "-" + std::to_string(I), "p",
                      makeChainSpec(1, 2, 1000, 300), Name);
  for (int I = 0; I < 700; ++I) {
    Fleet.advanceTime(milliseconds(10));
    ASSERT_LE(Fleet.Workers.RunningByOrganisation["org0"].Cpu, MaxCpu);
  }
  EXPECT_EQ(Fleet.countJobsInState(JobState::Completed), 40U);
}

// An organisation whose only job fits nowhere would otherwise claim a share for
// good, which puts all others over theirs.
TEST(SharedPool, AJobThatFitsNowhereClaimsNoShareForLong) {
  SharedPool Fleet({50, 50});
  Fleet.submitJob("never", "p", makeChainSpec(1, 1, 90000, 300), "org0");
  Fleet.advanceTime(milliseconds(200));
  EXPECT_TRUE(Fleet.shareOf("org0").hasWork());
  Fleet.advanceTime(seconds(4));
  EXPECT_FALSE(Fleet.shareOf("org0").hasWork());
}

// docs/design/organisation-shares.md derives the bound: an organisation within
// its share gets room at the latest when, after MaxOverlooked and one tick,
// each other overlooked organisation has had one pass and a run has ended.
RC_GTEST_PROP(SharedPoolProperties, NoOrganisationWithinItsShareStarves, ()) {
  constexpr size_t Organisations = 5;
  constexpr int64_t RunMs = 400;
  std::vector<double> Weights;
  for (size_t I = 0; I < Organisations; ++I)
    Weights.push_back(*rc::gen::inRange(20, 200));
  SharedPool Fleet(Weights, 2, 4);
  constexpr Duration Bound =
      milliseconds(1000 + 100) +
      static_cast<int64_t>(Organisations) * milliseconds(RunMs + 100);
  std::vector<Instant> LastServed(Organisations, Fleet.Timers.now());
  int Number = 0;
  for (int Tick = 0; Tick < 80; ++Tick) {
    // The first organisation has one large job at a time, whose value per work
    // is the lowest; the others always have more than fits.
    for (size_t I = 0; I < Organisations; ++I)
      for (int K = 0; K < (I == 0 ? 1 : 2); ++K)
        Fleet.submitJob("j" + std::to_string(Number++), "p",
                        makeChainSpec(I == 0 ? 2 : 1, 1, 1000, RunMs),
                        "org" + std::to_string(I));
    Fleet.advanceTime(milliseconds(100));
    for (size_t I = 0; I < Organisations; ++I) {
      std::string Name = "org" + std::to_string(I);
      const OrganisationShare &Share = Fleet.shareOf(Name);
      bool IsServed = Fleet.Workers.RunningByOrganisation[Name].Cpu > 0;
      if (IsServed || Share.Level == ShareLevel::Over || Share.WaitingJobs == 0)
        LastServed[I] = Fleet.Timers.now();
      RC_ASSERT(Fleet.Timers.now() - LastServed[I] <= Bound);
    }
  }
  RC_ASSERT(Fleet.Workers.Violations.empty());
}

// With few jobs each of them lifts the usage above the share for a while, so an
// organisation of small weight would nearly always wait behind the large ones.
TEST(OrganisationShares, AFewJobsMoreThanItsShareDoNotPutAnOrganisationBack) {
  SharesModel Model({9, 1});
  // A job of mean size takes a tenth of the capacity for a second.
  Model.MeanJobUsage = 0.1;
  Model.Used = {{80000, 0, 0}, {20000, 0, 0}};
  for (int Tick = 0; Tick < 100; ++Tick) {
    Model.tick();
    EXPECT_NE(Model.Shares.level(1), ShareLevel::Over);
  }
  // Several times its share is no chance.
  Model.Used = {{40000, 0, 0}, {60000, 0, 0}};
  for (int Tick = 0; Tick < 30; ++Tick)
    Model.tick();
  EXPECT_EQ(Model.Shares.level(1), ShareLevel::Over);
  EXPECT_NE(Model.Shares.level(0), ShareLevel::Over);
}

} // namespace
