// Moves between pools, and maintenance waves, over a virtual platform.

#include "Pools/Maintenance.h"
#include "Pools/PoolPlanner.h"
#include "Pools/WavePace.h"
#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

std::vector<PoolVm> vms(const std::string &Pool, size_t Count) {
  std::vector<PoolVm> Result;
  for (size_t I = 0; I < Count; ++I)
    Result.push_back({Pool + std::to_string(I), Pool, "a", 32, true, true});
  return Result;
}

std::vector<PoolVm> together(std::vector<PoolVm> A,
                             const std::vector<PoolVm> &B) {
  A.insert(A.end(), B.begin(), B.end());
  return A;
}

size_t movesTo(const std::vector<VmMove> &Moves, const std::string &Pool) {
  size_t Count = 0;
  for (const VmMove &Move : Moves)
    Count += Move.To == Pool ? 1 : 0;
  return Count;
}

TEST(PoolPlanner, ABurstDrawsVmsThatStandByFirst) {
  PoolPlanner Planner({});
  std::vector<PoolVm> All =
      together(together(vms("busy", 8), vms("idle", 8)), vms("spare", 8));
  std::map<std::string, PoolDemand> Demands;
  Demands["busy"].BatchCores = 400;
  Demands["idle"];
  Demands["spare"].Standby = true;
  std::vector<VmMove> Moves =
      Planner.plan(Instant(seconds(1)), Demands, All, {});
  ASSERT_EQ(movesTo(Moves, "busy"), Planner.wanted("busy") - 8);
  for (const VmMove &Move : Moves)
    EXPECT_EQ(Move.From, "spare");
}

TEST(PoolPlanner, VmsOnTheirWayAreNotAskedForAgain) {
  PoolPlanner Planner({});
  std::map<std::string, PoolDemand> Demands;
  Demands["busy"].BatchCores = 300;
  Demands["spare"].Standby = true;
  std::vector<PoolVm> All = together(vms("busy", 4), vms("spare", 20));
  size_t First = Planner.plan(Instant(seconds(1)), Demands, All, {}).size();
  ASSERT_GT(First, 0U);
  EXPECT_EQ(movesTo(Planner.plan(Instant(seconds(1) + milliseconds(200)),
                                 Demands, All, {{"busy", First}}),
                    "busy"),
            0U);
}

TEST(PoolPlanner, APoolKeepsWhatItsLongRunningTasksNeed) {
  PoolPlanner Planner({});
  std::map<std::string, PoolDemand> Demands;
  Demands["busy"].BatchCores = 5000;
  Demands["other"].MinVms = 5;
  std::vector<PoolVm> All = together(vms("busy", 4), vms("other", 9));
  EXPECT_EQ(Planner.plan(Instant(seconds(1)), Demands, All, {}).size(), 3U);
}

TEST(PoolPlanner, OnlyEmptyVmsMove) {
  PoolPlanner Planner({});
  std::map<std::string, PoolDemand> Demands;
  Demands["busy"].BatchCores = 5000;
  Demands["other"];
  std::vector<PoolVm> All = together(vms("busy", 1), vms("other", 9));
  for (PoolVm &Vm : All)
    Vm.Empty = Vm.Vm == "other3";
  std::vector<VmMove> Moves =
      Planner.plan(Instant(seconds(1)), Demands, All, {});
  ASSERT_EQ(Moves.size(), 1U);
  EXPECT_EQ(Moves.front(), (VmMove{"other3", "other", "busy"}));
}

TEST(PoolPlanner, AnIdlePoolGivesUpVmsOnlyAfterAWhileAndNeverAll) {
  PoolPlanner Planner({});
  std::map<std::string, PoolDemand> Demands;
  Demands["idle"];
  Demands["spare"].Standby = true;
  std::vector<PoolVm> All = vms("idle", 12);
  EXPECT_TRUE(Planner.plan(Instant(seconds(1)), Demands, All, {}).empty());
  EXPECT_TRUE(Planner.plan(Instant(seconds(3)), Demands, All, {}).empty());
  std::vector<VmMove> Moves =
      Planner.plan(Instant(seconds(6)), Demands, All, {});
  EXPECT_EQ(movesTo(Moves, "spare"), 3U);
}

/// VMs whose maintenance takes two seconds.
class VirtualPlatform : public VmPort {
public:
  VirtualPlatform(SchedulerHarness &Frame) : Frame(Frame) {}

  void listVms(ListCallback Done) override {
    std::vector<VmEntry> List;
    for (const auto &[Id, Worker] : Frame.Workers.all()) {
      VmPhase Phase = DownUntil.count(Worker.Entry.Vm) &&
                              Frame.Timers.now() < DownUntil[Worker.Entry.Vm]
                          ? VmPhase::Maintenance
                          : VmPhase::Up;
      if (!Left.count(Worker.Entry.Vm))
        List.push_back({Worker.Entry.Vm, Worker.Entry.Pool, Phase, "dc",
                        Worker.Entry.Labels, Worker.Entry.Capacity, Id});
    }
    Frame.Timers.scheduleAt(Frame.Timers.now() + milliseconds(2),
                            [Done, List] { Done(List); });
  }
  void moveVm(const std::string &, const std::string &, uint64_t,
              OrderCallback Done) override {
    Frame.Timers.scheduleAt(Frame.Timers.now() + milliseconds(2),
                            [Done] { Done(VmOrderOutcome::Accepted); });
  }
  void startMaintenance(const std::string &Vm, uint64_t, uint64_t,
                        OrderCallback Done) override {
    bool Lost = LoseAnswers > 0;
    LoseAnswers -= Lost ? 1 : 0;
    if (!DownUntil.count(Vm)) {
      Orders.emplace_back(Frame.Timers.now(), Vm);
      DownUntil[Vm] = Frame.Timers.now() + seconds(2);
      size_t Down = 0;
      for (const auto &[Other, Until] : DownUntil)
        Down += Until > Frame.Timers.now() ? 1 : 0;
      MostDown = std::max(MostDown, Down);
      for (const auto &[Id, Worker] : Frame.Workers.all())
        if (Worker.Entry.Vm == Vm) {
          RunsAtOrder += Worker.Runs.size();
          Frame.Workers.restart(Id);
          break;
        }
    }
    Frame.Timers.scheduleAt(Frame.Timers.now() + milliseconds(2), [Done, Lost] {
      Done(Lost ? VmOrderOutcome::Unanswered : VmOrderOutcome::Accepted);
    });
  }

  SchedulerHarness &Frame;
  std::map<std::string, Instant> DownUntil;
  std::set<std::string> Left;
  std::vector<std::pair<Instant, std::string>> Orders;
  size_t MostDown = 0;
  size_t RunsAtOrder = 0;
  int LoseAnswers = 0;
};

struct WaveFrame {
  /// Workers that came up \p Age before the leadership began.
  WaveFrame(size_t Workers, uint32_t MaxDown, Duration Age = seconds(1))
      : Platform(Frame) {
    Frame.addPool("p", Workers, 16);
    for (size_t I = 0; I < Workers; ++I)
      Frame.Workers.at("p-" + std::to_string(I)).Entry.Key.Incarnation =
          1800000000000 + 1000000 - toMillis(Age);
    lead();
    announce(1, MaxDown);
  }

  void announce(uint64_t Number, uint32_t MaxDown) {
    int64_t Now =
        1800000000000 + toMillis(Frame.Timers.now().time_since_epoch());
    StartWave Wave{Number, {}, 30000, MaxDown, Now};
    for (const auto &[Id, Worker] : Frame.Workers.all())
      Wave.Vms.push_back(Worker.Entry.Vm);
    Frame.Store.apply(Wave);
  }

  /// Another leader, which has read no worker yet.
  void lead() {
    Driver.reset();
    Frame.beginLeadership();
    LeaderHooks Hooks;
    Hooks.Propose = [this](const JobCommand &Command,
                           const std::function<void(bool)> &Done) {
      Frame.Store.apply(Command);
      Done(true);
    };
    Hooks.MayIssueOrders = [] { return true; };
    Hooks.OnDeposed = [] {};
    Hooks.WallNow = [this] {
      return 1800000000000 + toMillis(Frame.Timers.now().time_since_epoch());
    };
    Hooks.LogEvent = [](const char *, const Json &) {};
    Driver = std::make_unique<Maintenance>(Frame.Store, *Frame.Scheduler,
                                           Platform, Frame.Timers,
                                           MaintenanceOptions{}, Hooks);
  }

  SchedulerHarness Frame;
  VirtualPlatform Platform;
  std::unique_ptr<Maintenance> Driver;
};

TEST(Maintenance, CompletesAWaveWithinItsBoundOnVmsThatAreDown) {
  WaveFrame Wave(8, 3);
  Wave.Frame.advanceTime(seconds(25));
  EXPECT_TRUE(Wave.Frame.Store.waves().at(1).isCompleted());
  EXPECT_EQ(Wave.Platform.Orders.size(), 8U);
  EXPECT_LE(Wave.Platform.MostDown, 3U);
}

TEST(Maintenance, GivesNoOrderWhileTheLeaderBeforeMayHaveGivenOne) {
  WaveFrame Wave(4, 4);
  Wave.Frame.advanceTime(seconds(3));
  EXPECT_TRUE(Wave.Platform.Orders.empty());
}

TEST(Maintenance, AVmThatHasBeenUpForLongNeedsNoPause) {
  WaveFrame Wave(4, 4, /*Age=*/seconds(60));
  Wave.Frame.advanceTime(seconds(1));
  EXPECT_FALSE(Wave.Platform.Orders.empty());
}

TEST(Maintenance, WorkThatRunsEndsBeforeTheOrder) {
  WaveFrame Wave(4, 1);
  for (int I = 0; I < 60; ++I) {
    Wave.Frame.submitJob("j" + std::to_string(I), "p",
                         makeChainSpec(1, 2, 1000, 600));
    Wave.Frame.advanceTime(milliseconds(250));
  }
  Wave.Frame.advanceTime(seconds(8));
  EXPECT_TRUE(Wave.Frame.Store.waves().at(1).isCompleted());
  EXPECT_EQ(Wave.Platform.RunsAtOrder, 0U);
  EXPECT_EQ(Wave.Frame.countJobsInState(JobState::Completed), 60U);
}

TEST(Maintenance, NeverTakesMoreOfALongRunningStepThanItCanSpare) {
  WaveFrame Wave(6, 6);
  JobSpec Spec = makeChainSpec(1, 4, 1000, 600000);
  Spec.Steps[0].LongRunning = true;
  Spec.Steps[0].MaxUnavailable = 1;
  Spec.Steps[0].MaxPerWorker = 1;
  Wave.Frame.submitJob("serves", "p", Spec);
  Wave.Frame.advanceTime(seconds(1));
  size_t MostAway = 0;
  for (int I = 0; I < 2500; ++I) {
    Wave.Frame.advanceTime(milliseconds(10));
    size_t AtWork = 0;
    for (const auto &[Id, Worker] : Wave.Frame.Workers.all())
      AtWork += Worker.Runs.size();
    MostAway = std::max(MostAway, 4 - AtWork);
  }
  EXPECT_LE(MostAway, 1U);
  EXPECT_TRUE(Wave.Frame.Store.waves().at(1).isCompleted());
}

TEST(Maintenance, AWorkerThatANewLeaderHasNotReadIsNotEmpty) {
  WaveFrame Wave(4, 4, seconds(1000));
  Wave.Frame.advanceTime(seconds(12));
  ASSERT_TRUE(Wave.Frame.Store.waves().at(1).isCompleted());
  JobSpec Spec = makeChainSpec(1, 4, 1000, 600000);
  Spec.Steps[0].LongRunning = true;
  Spec.Steps[0].MaxUnavailable = 1;
  Spec.Steps[0].MaxPerWorker = 1;
  Wave.Frame.submitJob("serves", "p", Spec);
  Wave.Frame.advanceTime(seconds(1));
  Wave.Platform.Orders.clear();
  Wave.Platform.DownUntil.clear();
  std::vector<std::string> Ids;
  for (const auto &[Id, Worker] : Wave.Frame.Workers.all())
    Ids.push_back(Id);
  for (const std::string &Id : Ids)
    Wave.Frame.Workers.at(Id).Faults.IsUnreachable = true;
  Wave.lead();
  Wave.announce(2, 4);
  // Their leases hold for longer than this.
  Wave.Frame.advanceTime(milliseconds(1500));
  EXPECT_TRUE(Wave.Platform.Orders.empty());
}

TEST(Maintenance, AnOrderWithoutAnAnswerIsGivenAgain) {
  WaveFrame Wave(3, 1);
  Wave.Platform.LoseAnswers = 2;
  Wave.Frame.advanceTime(seconds(25));
  EXPECT_TRUE(Wave.Frame.Store.waves().at(1).isCompleted());
  EXPECT_LE(Wave.Platform.MostDown, 1U);
}

TEST(Maintenance, AVmThatHasLeftOwesNone) {
  WaveFrame Wave(3, 1);
  Wave.Platform.Left.insert("vm-p-1");
  Wave.Frame.advanceTime(seconds(20));
  EXPECT_TRUE(Wave.Frame.Store.waves().at(1).isCompleted());
  EXPECT_EQ(Wave.Platform.Orders.size(), 2U);
}

TEST(WavePace, TakesOnlyAsManyAtOnceAsTheWaveNeeds) {
  WaveRest Rest{20, 0, 10, seconds(49), milliseconds(4500)};
  EXPECT_EQ(wavePace(Rest), (WavePace{3, false}));
  // Half of the time has gone and nothing was done.
  Rest.Left = seconds(25);
  EXPECT_EQ(wavePace(Rest), (WavePace{6, false}));
  Rest.Left = seconds(12);
  EXPECT_EQ(wavePace(Rest), (WavePace{10, true}));
  Rest.Left = seconds(-3);
  EXPECT_EQ(wavePace(Rest), (WavePace{10, true}));
}

TEST(WavePace, NeverMoreThanTheWaveAllows) {
  EXPECT_EQ(wavePace({20, 0, 2, seconds(40), milliseconds(4500)}).AtOnce, 2U);
  EXPECT_EQ(wavePace({1, 0, 5, seconds(400), milliseconds(4500)}).AtOnce, 1U);
}

} // namespace
