// Tests of moves between pools and of maintenance waves on a virtual platform.

#include "Pools/Maintenance.h"
#include "Pools/PoolMover.h"
#include "Pools/PoolPlanner.h"
#include "Pools/WavePace.h"
#include "Support/BusyLeaderPort.h"
#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

std::vector<PoolVm> makeVms(const std::string &Pool, size_t Count) {
  std::vector<PoolVm> Result;
  for (size_t I = 0; I < Count; ++I)
    Result.push_back({Pool + std::to_string(I), Pool, "a", 32, true, true});
  return Result;
}

std::vector<PoolVm> concatenate(std::vector<PoolVm> A,
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

TEST(PoolPlanner, BurstsTakeStandbyVmsFirst) {
  PoolPlanner Planner({});
  std::vector<PoolVm> All = concatenate(
      concatenate(makeVms("busy", 8), makeVms("idle", 8)), makeVms("spare", 8));
  std::map<std::string, PoolDemand> Demands;
  Demands["busy"].BatchCores = 400;
  Demands["idle"];
  Demands["spare"].Standby = true;
  std::vector<VmMove> Moves =
      Planner.plan(Instant(seconds(1)), Demands, All, {});
  ASSERT_EQ(movesTo(Moves, "busy"), Planner.targetVmCount("busy") - 8);
  for (const VmMove &Move : Moves)
    EXPECT_EQ(Move.From, "spare");
}

TEST(PoolPlanner, ArrivingVmsCountTowardsTheTarget) {
  PoolPlanner Planner({});
  std::map<std::string, PoolDemand> Demands;
  Demands["busy"].BatchCores = 300;
  Demands["spare"].Standby = true;
  std::vector<PoolVm> All =
      concatenate(makeVms("busy", 4), makeVms("spare", 20));
  size_t First = Planner.plan(Instant(seconds(1)), Demands, All, {}).size();
  ASSERT_GT(First, 0U);
  EXPECT_EQ(movesTo(Planner.plan(Instant(seconds(1) + milliseconds(200)),
                                 Demands, All, {{"busy", First}}),
                    "busy"),
            0U);
}

TEST(PoolPlanner, PoolsKeepTheVmsThatLongRunningTasksNeed) {
  PoolPlanner Planner({});
  std::map<std::string, PoolDemand> Demands;
  Demands["busy"].BatchCores = 5000;
  Demands["other"].MinVms = 5;
  std::vector<PoolVm> All =
      concatenate(makeVms("busy", 4), makeVms("other", 9));
  EXPECT_EQ(Planner.plan(Instant(seconds(1)), Demands, All, {}).size(), 3U);
}

TEST(PoolPlanner, OnlyIdleVmsMove) {
  PoolPlanner Planner({});
  std::map<std::string, PoolDemand> Demands;
  Demands["busy"].BatchCores = 5000;
  Demands["other"];
  std::vector<PoolVm> All =
      concatenate(makeVms("busy", 1), makeVms("other", 9));
  for (PoolVm &Vm : All)
    Vm.IsIdle = Vm.Vm == "other3";
  std::vector<VmMove> Moves =
      Planner.plan(Instant(seconds(1)), Demands, All, {});
  ASSERT_EQ(Moves.size(), 1U);
  EXPECT_EQ(Moves.front(), (VmMove{"other3", "other", "busy"}));
}

TEST(PoolPlanner, IdlePoolsReleaseSomeVmsAfterTheSurplusDuration) {
  PoolPlanner Planner({});
  std::map<std::string, PoolDemand> Demands;
  Demands["idle"];
  Demands["spare"].Standby = true;
  std::vector<PoolVm> All = makeVms("idle", 12);
  EXPECT_TRUE(Planner.plan(Instant(seconds(1)), Demands, All, {}).empty());
  EXPECT_TRUE(Planner.plan(Instant(seconds(3)), Demands, All, {}).empty());
  std::vector<VmMove> Moves =
      Planner.plan(Instant(seconds(6)), Demands, All, {});
  EXPECT_EQ(movesTo(Moves, "spare"), 3U);
}

/// A platform on which the maintenance of a VM takes two seconds.
class VirtualPlatform : public VmPort {
public:
  VirtualPlatform(SchedulerHarness &Fleet) : Fleet(Fleet) {}

  void listVms(ListCallback Done) override {
    VmList List;
    List.UnreadableVms = UnreadableVms;
    List.HasNamelessEntry = HasNamelessEntry;
    for (const auto &[Id, Worker] : Fleet.Workers.all()) {
      VmPhase Phase = DownUntil.count(Worker.Entry.Vm) &&
                              Fleet.Timers.now() < DownUntil[Worker.Entry.Vm]
                          ? VmPhase::Maintenance
                          : VmPhase::Up;
      if (!RemovedVms.count(Worker.Entry.Vm) &&
          !UnreadableVms.count(Worker.Entry.Vm))
        List.Vms.push_back({Worker.Entry.Vm, Worker.Entry.Pool, Phase, "dc",
                            Worker.Entry.Labels, Worker.Entry.Capacity, Id});
    }
    Fleet.Timers.scheduleAt(Fleet.Timers.now() + milliseconds(2),
                            [Done, List] { Done(List); });
  }
  void moveVm(const std::string &Vm, const std::string &, uint64_t Token,
              VmOrderGuard MaySend, OrderCallback Done) override {
    if (!MaySend())
      return;
    if (HoldsOrders) {
      HeldOrders.emplace_back(Vm, Token);
      return;
    }
    receiveToken(Vm, Token);
    Moves.emplace_back(Fleet.Timers.now(), Vm);
    Fleet.Timers.scheduleAt(Fleet.Timers.now() + milliseconds(2),
                            [Done] { Done(VmOrderOutcome::Accepted); });
  }
  void discardOrders() override { HeldOrders.clear(); }

  /// Delivers the orders that the network has held up.
  void deliverHeldOrders() {
    for (const auto &[Vm, Token] : HeldOrders)
      receiveToken(Vm, Token);
    HeldOrders.clear();
  }
  void receiveToken(const std::string &Vm, uint64_t Token) {
    LowerTokens += Token < HighestTokens[Vm] ? 1 : 0;
    HighestTokens[Vm] = std::max(HighestTokens[Vm], Token);
  }

  void startMaintenance(const std::string &Vm, uint64_t, uint64_t Token,
                        VmOrderGuard, OrderCallback Done) override {
    receiveToken(Vm, Token);
    if (OrdersToLose > 0) {
      --OrdersToLose;
      LostOrders.emplace_back(Vm, Token);
      Fleet.Timers.scheduleAt(Fleet.Timers.now() + AnswerDelay,
                              [Done] { Done(VmOrderOutcome::Unanswered); });
      return;
    }
    bool Lost = AnswersToLose > 0;
    AnswersToLose -= Lost ? 1 : 0;
    takeDown(Vm);
    Fleet.Timers.scheduleAt(Fleet.Timers.now() + AnswerDelay, [Done, Lost] {
      Done(Lost ? VmOrderOutcome::Unanswered : VmOrderOutcome::Accepted);
    });
  }

  /// Carries out the orders that were lost, unless a higher token has come.
  void carryOutLostOrders() {
    for (const auto &[Vm, Token] : LostOrders)
      if (Token >= HighestTokens[Vm])
        takeDown(Vm);
  }
  void takeDown(const std::string &Vm) {
    if (!DownUntil.try_emplace(Vm, Fleet.Timers.now() + seconds(2)).second)
      return;
    Orders.emplace_back(Fleet.Timers.now(), Vm);
    size_t Down = 0;
    for (const auto &[Other, Until] : DownUntil)
      Down += Until > Fleet.Timers.now() ? 1 : 0;
    MaxVmsDown = std::max(MaxVmsDown, Down);
    for (const auto &[Id, Worker] : Fleet.Workers.all())
      if (Worker.Entry.Vm == Vm) {
        RunsAtOrder += Worker.Runs.size();
        Fleet.Workers.restart(Id);
        return;
      }
  }

  SchedulerHarness &Fleet;
  std::vector<std::pair<std::string, uint64_t>> LostOrders;
  std::map<std::string, Instant> DownUntil;
  std::set<std::string> RemovedVms;
  std::set<std::string> UnreadableVms;
  bool HasNamelessEntry = false;
  std::vector<std::pair<Instant, std::string>> Orders;
  size_t MaxVmsDown = 0;
  size_t RunsAtOrder = 0;
  int OrdersToLose = 0; // Maintenance orders that never arrive.
  int AnswersToLose = 0;
  Duration AnswerDelay = milliseconds(2); // For maintenance orders.
  std::vector<std::pair<Instant, std::string>> Moves;
  /// While set, move orders stay on the network.
  bool HoldsOrders = false;
  std::vector<std::pair<std::string, uint64_t>> HeldOrders;
  std::map<std::string, uint64_t> HighestTokens;
  /// Orders that arrived with a lower token than an earlier one.
  size_t LowerTokens = 0;
};

struct MaintenanceHarness {
  /// Adds workers that started \p Age before the leadership began.
  MaintenanceHarness(size_t Workers, uint32_t MaxDown,
                     Duration Age = seconds(1))
      : Platform(Fleet) {
    Fleet.addPool("p", Workers, 16);
    for (size_t I = 0; I < Workers; ++I)
      Fleet.Workers.at("p-" + std::to_string(I)).Entry.Key.Incarnation =
          1800000000000 + 1000000 - toMillis(Age);
    beginLeadership();
    announceWave(1, MaxDown);
  }

  void announceWave(uint64_t Number, uint32_t MaxDown) {
    int64_t Now =
        1800000000000 + toMillis(Fleet.Timers.now().time_since_epoch());
    StartWave Wave{Number, {}, 30000, MaxDown, Now};
    for (const auto &[Id, Worker] : Fleet.Workers.all())
      Wave.Vms.push_back(Worker.Entry.Vm);
    Fleet.Store.apply(Wave);
  }

  LeaderHooks makeHooks() {
    LeaderHooks Hooks;
    Hooks.Propose = [this](const JobCommand &Command,
                           const std::function<void(bool)> &Done) {
      Fleet.Store.apply(Command);
      Done(true);
    };
    Hooks.MayIssueOrders = [] { return true; };
    Hooks.OnDeposed = [] {};
    Hooks.WallNow = [this] {
      return 1800000000000 + toMillis(Fleet.Timers.now().time_since_epoch());
    };
    Hooks.LogEvent = [](const char *, const Json &) {};
    return Hooks;
  }

  /// Starts a new leadership, whose scheduler has polled no worker yet.
  void beginLeadership() {
    Controller.reset();
    Fleet.beginLeadership();
    MaintenanceOptions Options;
    Options.Takeover.PlatformChecksTokens = PlatformChecksTokens;
    Controller =
        std::make_unique<Maintenance>(Fleet.Store, *Fleet.Scheduler, Platform,
                                      Fleet.Timers, Options, makeHooks());
  }

  /// Starts a new leadership that moves VMs instead of maintaining them.
  void beginMovingLeadership() {
    Controller.reset();
    Mover.reset();
    Fleet.beginLeadership();
    PoolMoverOptions Options;
    Options.Takeover.PlatformChecksTokens = PlatformChecksTokens;
    Mover = std::make_unique<PoolMover>(
        Fleet.Configuration, *Fleet.Scheduler, Platform, Fleet.Timers, Options,
        makeHooks(), [](const std::string &) { return false; });
  }

  SchedulerHarness Fleet;
  VirtualPlatform Platform;
  std::unique_ptr<Maintenance> Controller;
  std::unique_ptr<PoolMover> Mover;
  bool PlatformChecksTokens = true;
};

TEST(Maintenance, CompletesAWaveWithoutExceedingMaxDown) {
  MaintenanceHarness Harness(8, 3);
  Harness.Fleet.advanceTime(seconds(25));
  EXPECT_TRUE(Harness.Fleet.Store.waves().at(1).isCompleted());
  EXPECT_EQ(Harness.Platform.Orders.size(), 8U);
  EXPECT_LE(Harness.Platform.MaxVmsDown, 3U);
}

TEST(Maintenance, IssuesNoOrdersDuringTheGracePeriod) {
  MaintenanceHarness Harness(4, 4);
  Harness.Fleet.advanceTime(seconds(3));
  EXPECT_TRUE(Harness.Platform.Orders.empty());
}

TEST(Maintenance, VmsWithLongUptimeSkipTheGracePeriod) {
  MaintenanceHarness Harness(4, 4, /*Age=*/seconds(60));
  Harness.Fleet.advanceTime(seconds(1));
  EXPECT_FALSE(Harness.Platform.Orders.empty());
}

TEST(Maintenance, RunningTasksEndBeforeTheOrder) {
  MaintenanceHarness Harness(4, 1);
  for (int I = 0; I < 60; ++I) {
    Harness.Fleet.submitJob("j" + std::to_string(I), "p",
                            makeChainSpec(1, 2, 1000, 600));
    Harness.Fleet.advanceTime(milliseconds(250));
  }
  Harness.Fleet.advanceTime(seconds(8));
  EXPECT_TRUE(Harness.Fleet.Store.waves().at(1).isCompleted());
  EXPECT_EQ(Harness.Platform.RunsAtOrder, 0U);
  EXPECT_EQ(Harness.Fleet.countJobsInState(JobState::Completed), 60U);
}

TEST(Maintenance, RespectsMaxUnavailableOfLongRunningSteps) {
  MaintenanceHarness Harness(6, 6);
  JobSpec Spec = makeChainSpec(1, 4, 1000, 600000);
  Spec.Steps[0].LongRunning = true;
  Spec.Steps[0].MaxUnavailable = 1;
  Spec.Steps[0].MaxPerWorker = 1;
  Harness.Fleet.submitJob("serves", "p", Spec);
  Harness.Fleet.advanceTime(seconds(1));
  size_t MaxMissing = 0;
  for (int I = 0; I < 2500; ++I) {
    Harness.Fleet.advanceTime(milliseconds(10));
    size_t RunningTasks = 0;
    for (const auto &[Id, Worker] : Harness.Fleet.Workers.all())
      RunningTasks += Worker.Runs.size();
    MaxMissing = std::max(MaxMissing, 4 - RunningTasks);
  }
  EXPECT_LE(MaxMissing, 1U);
  EXPECT_TRUE(Harness.Fleet.Store.waves().at(1).isCompleted());
}

// A sibling counts as serving only by a view that is not old: here its worker
// has not answered for 1.6 s, which is too short for it to count as silent.
TEST(Maintenance, DoesNotDrainByAnOldView) {
  SchedulerHarness Fleet;
  Fleet.addPool("p", 4, 8);
  Fleet.beginLeadership();
  Fleet.advanceTime(milliseconds(100));
  JobSpec Spec = makeChainSpec(1, 4, 1000, 3600000);
  Spec.Steps[0].LongRunning = true;
  Spec.Steps[0].MaxUnavailable = 1;
  Spec.Steps[0].MaxPerWorker = 1;
  Fleet.submitJob("serves", "p", Spec);
  Fleet.advanceTime(seconds(2));
  Fleet.Workers.at("p-0").Faults.IsUnreachable = true;
  Fleet.advanceTime(milliseconds(1600));
  ASSERT_EQ(Fleet.Scheduler->counters().StopOrders, 0U);
  Fleet.Scheduler->drainVm("vm-p-1");
  EXPECT_EQ(Fleet.Scheduler->counters().StopOrders, 0U);
}

// A leader that is behind with its work would not start elsewhere what it
// stops.
TEST(Maintenance, AnOverloadedLeaderDrainsNothing) {
  SchedulerHarness Fleet;
  BusyLeaderPort Leader(Fleet.Timers, Fleet.Workers, milliseconds(1));
  Fleet.LeaderPort = &Leader;
  Fleet.addPool("p", 8, 8);
  Fleet.beginLeadership();
  Fleet.advanceTime(seconds(3));
  JobSpec Spec = makeChainSpec(1, 4, 1000, 3600000);
  Spec.Steps[0].LongRunning = true;
  Spec.Steps[0].MaxUnavailable = 1;
  Spec.Steps[0].MaxPerWorker = 1;
  Fleet.submitJob("serves", "p", Spec);
  Fleet.advanceTime(seconds(3));
  Leader.TimePerResponse = milliseconds(200);
  Fleet.advanceTime(seconds(5));
  size_t Drained = 0;
  for (const auto &[Id, Worker] : Fleet.Workers.all()) {
    ASSERT_LE(Worker.Runs.size(), 1U);
    Fleet.Scheduler->drainVm(Worker.Entry.Vm);
    Drained += Worker.Runs.size();
  }
  ASSERT_EQ(Drained, 4U);
  EXPECT_EQ(Fleet.Scheduler->counters().StopOrders, 0U);
}

TEST(Maintenance, AWorkerThatANewLeaderHasNotReadIsNotEmpty) {
  MaintenanceHarness Harness(4, 4, seconds(1000));
  Harness.Fleet.advanceTime(seconds(12));
  ASSERT_TRUE(Harness.Fleet.Store.waves().at(1).isCompleted());
  JobSpec Spec = makeChainSpec(1, 4, 1000, 600000);
  Spec.Steps[0].LongRunning = true;
  Spec.Steps[0].MaxUnavailable = 1;
  Spec.Steps[0].MaxPerWorker = 1;
  Harness.Fleet.submitJob("serves", "p", Spec);
  Harness.Fleet.advanceTime(seconds(1));
  Harness.Platform.Orders.clear();
  Harness.Platform.DownUntil.clear();
  std::vector<std::string> Ids;
  for (const auto &[Id, Worker] : Harness.Fleet.Workers.all())
    Ids.push_back(Id);
  for (const std::string &Id : Ids)
    Harness.Fleet.Workers.at(Id).Faults.IsUnreachable = true;
  Harness.beginLeadership();
  Harness.announceWave(2, 4);
  // The leases of the workers last longer than this.
  Harness.Fleet.advanceTime(milliseconds(1500));
  EXPECT_TRUE(Harness.Platform.Orders.empty());
}

TEST(Maintenance, UnansweredOrdersAreRetried) {
  MaintenanceHarness Harness(3, 1);
  Harness.Platform.AnswersToLose = 2;
  Harness.Fleet.advanceTime(seconds(25));
  EXPECT_TRUE(Harness.Fleet.Store.waves().at(1).isCompleted());
  EXPECT_LE(Harness.Platform.MaxVmsDown, 1U);
}

// The answer to an order, or to its repetition, ends none of the workers that
// have come up on the VM since: what runs there would be started again.
TEST(Maintenance, LateAnswersEndNoLaterWorkers) {
  for (int AnswersToLose : {0, 4}) {
    MaintenanceHarness Harness(2, 1);
    Harness.Platform.AnswersToLose = AnswersToLose;
    Harness.Platform.AnswerDelay = milliseconds(1650);
    for (int I = 0; I < 40; ++I) {
      Harness.Fleet.submitJob("j" + std::to_string(I), "p",
                              makeChainSpec(1, 16, 2000, 700));
      Harness.Fleet.advanceTime(milliseconds(400));
    }
    Harness.Fleet.advanceTime(seconds(25));
    EXPECT_TRUE(Harness.Fleet.Store.waves().at(1).isCompleted());
    EXPECT_EQ(Harness.Fleet.Workers.Violations, std::vector<std::string>());
  }
}

// Guards against tasks that a repeated order ends: a worker that restarts while
// its VM waits for the order must get none before the next tick.
TEST(Maintenance, WorkersThatRegisterOnAClaimedVmGetNoTasks) {
  MaintenanceHarness Harness(2, 1);
  Harness.Platform.OrdersToLose = 1;
  for (int I = 0; Harness.Platform.OrdersToLose > 0; ++I) {
    ASSERT_LT(I, 1000);
    Harness.Fleet.advanceTime(milliseconds(10));
  }
  for (const char *Id : {"p-0", "p-1"})
    Harness.Fleet.Workers.restart(Id);
  Harness.Fleet.submitJob("a", "p", makeChainSpec(1, 64, 1000, 2000));
  // Both are known at once; the order is repeated 0.4 s after the first one.
  Harness.Fleet.advanceTime(milliseconds(320));
  Harness.Fleet.sendHeartbeats();
  Harness.Fleet.advanceTime(seconds(25));
  EXPECT_TRUE(Harness.Fleet.Store.waves().at(1).isCompleted());
  EXPECT_EQ(Harness.Platform.RunsAtOrder, 0U);
  EXPECT_EQ(Harness.Fleet.Workers.Violations, std::vector<std::string>());
}

TEST(Maintenance, RemovedVmsCountAsMaintained) {
  MaintenanceHarness Harness(3, 1);
  Harness.Platform.RemovedVms.insert("vm-p-1");
  Harness.Fleet.advanceTime(seconds(20));
  EXPECT_TRUE(Harness.Fleet.Store.waves().at(1).isCompleted());
  EXPECT_EQ(Harness.Platform.Orders.size(), 2U);
}

// Guards against a wave that is completed without a VM that stays, since its
// entry could not be read (review/4, review/14).
TEST(Maintenance, AWaveWaitsForAVmWhoseEntryCannotBeRead) {
  MaintenanceHarness Harness(3, 1);
  Harness.Platform.UnreadableVms.insert("vm-p-1");
  Harness.Fleet.advanceTime(seconds(25));
  EXPECT_FALSE(Harness.Fleet.Store.waves().at(1).isCompleted());
  EXPECT_EQ(Harness.Platform.Orders.size(), 2U);
  Harness.Platform.UnreadableVms.clear();
  Harness.Fleet.advanceTime(seconds(10));
  EXPECT_TRUE(Harness.Fleet.Store.waves().at(1).isCompleted());
  EXPECT_EQ(Harness.Platform.Orders.size(), 3U);
  EXPECT_EQ(Harness.Platform.MaxVmsDown, 1U);
}

// The same for an entry that does not tell which VM it is of.
TEST(Maintenance, ANamelessEntryMakesNoWorkingVmGone) {
  MaintenanceHarness Harness(3, 1);
  Harness.Platform.RemovedVms.insert("vm-p-1");
  Harness.Platform.HasNamelessEntry = true;
  Harness.Fleet.advanceTime(seconds(25));
  EXPECT_FALSE(Harness.Fleet.Store.waves().at(1).isCompleted());
  Harness.Platform.RemovedVms.clear();
  Harness.Fleet.advanceTime(seconds(10));
  EXPECT_TRUE(Harness.Fleet.Store.waves().at(1).isCompleted());
  EXPECT_EQ(Harness.Platform.Orders.size(), 3U);
}

// Guards against a wave that never ends since some entry, perhaps another VM's,
// stays unreadable.
TEST(Maintenance, AVmThatIsGoneEndsItsWaveBesideANamelessEntry) {
  MaintenanceHarness Harness(3, 1);
  Harness.Platform.RemovedVms.insert("vm-p-1");
  Harness.Platform.HasNamelessEntry = true;
  Harness.Fleet.Workers.at("p-1").Faults.IsDown = true;
  Harness.Fleet.advanceTime(seconds(30));
  EXPECT_TRUE(Harness.Fleet.Store.waves().at(1).isCompleted());
  EXPECT_EQ(Harness.Platform.Orders.size(), 2U);
}

// Guards against a VM that counts as gone for good by one list.
TEST(Maintenance, AVmThatIsMissingFromOneListIsNotGone) {
  MaintenanceHarness Harness(3, 1);
  Harness.Platform.RemovedVms.insert("vm-p-1");
  Harness.Fleet.advanceTime(milliseconds(1000));
  Harness.Platform.RemovedVms.clear();
  Harness.Fleet.advanceTime(seconds(25));
  EXPECT_TRUE(Harness.Fleet.Store.waves().at(1).isCompleted());
  EXPECT_EQ(Harness.Platform.Orders.size(), 3U);
}

// Guards against another VM that is ordered down while one that cannot be read
// may be down, by an order of an earlier leader.
TEST(Maintenance, AVmThatMayBeDownCountsAsDown) {
  MaintenanceHarness Harness(3, 1);
  Harness.Platform.UnreadableVms.insert("vm-p-1");
  Harness.Fleet.Workers.at("p-1").Faults.IsDown = true;
  Harness.Fleet.advanceTime(seconds(25));
  EXPECT_TRUE(Harness.Platform.Orders.empty());
}

// Guards against two VMs that are down at once where one may be: the order of a
// leader that has ended is carried out while the next one maintains another VM
// (review/13).
TEST(Maintenance, TheLateOrderOfAnEarlierLeaderTakesNoSecondVmDown) {
  for (int64_t LateMs = 500; LateMs <= 12000; LateMs += 500) {
    MaintenanceHarness Harness(4, 1, /*Age=*/seconds(1000));
    Harness.Platform.OrdersToLose = 100;
    // The others have work, so that the idle one is ordered first.
    JobSpec Spec = makeChainSpec(1, 3, 1000, 1500);
    Spec.Steps[0].MaxPerWorker = 1;
    Harness.Fleet.submitJob("a", "p", Spec);
    Harness.Fleet.advanceTime(milliseconds(1200));
    ASSERT_FALSE(Harness.Platform.LostOrders.empty());
    Harness.Platform.OrdersToLose = 0;
    Harness.Controller.reset();
    Harness.Fleet.Scheduler.reset();
    Harness.Fleet.advanceTime(seconds(1)); // All are idle then.
    Harness.beginLeadership();
    Harness.Fleet.advanceTime(milliseconds(LateMs));
    Harness.Platform.carryOutLostOrders();
    Harness.Fleet.advanceTime(seconds(25));
    EXPECT_EQ(Harness.Platform.MaxVmsDown, 1U) << LateMs;
    EXPECT_TRUE(Harness.Fleet.Store.waves().at(1).isCompleted()) << LateMs;
    EXPECT_EQ(Harness.Platform.Orders.size(), 4U) << LateMs;
  }
}

/// A pool whose burst asks for the VMs of another one, on a platform that does
/// not check fencing tokens.
struct TakeoverHarness : MaintenanceHarness {
  TakeoverHarness() : MaintenanceHarness(2, 1, seconds(1000)) {
    PlatformChecksTokens = false;
    Fleet.addPool("spare", 6, 16);
    for (const auto &[Id, Worker] : Fleet.Workers.all())
      Fleet.Workers.at(Id).Entry.Key.Incarnation = 1800000000000;
    beginMovingLeadership();
    for (int I = 0; I < 30; ++I)
      Fleet.submitJob("j" + std::to_string(I), "p",
                      makeChainSpec(1, 8, 4000, 2000));
  }
};

TEST(Takeover, OrdersOfAnEarlierLeaderNeverArriveAfterThoseOfTheNext) {
  TakeoverHarness Harness;
  Harness.Platform.HoldsOrders = true;
  Harness.Fleet.advanceTime(seconds(2));
  ASSERT_FALSE(Harness.Platform.HeldOrders.empty());
  Harness.Platform.HoldsOrders = false;
  Harness.beginMovingLeadership();
  Harness.Fleet.advanceTime(seconds(4));
  EXPECT_FALSE(Harness.Platform.Moves.empty());
  Harness.Platform.deliverHeldOrders();
  EXPECT_EQ(Harness.Platform.LowerTokens, 0U);
}

TEST(Takeover, ANewLeaderOrdersNothingWhileAnEarlierOrderMayArrive) {
  TakeoverHarness Harness;
  Harness.Fleet.advanceTime(milliseconds(1400));
  EXPECT_TRUE(Harness.Platform.Moves.empty());
  Harness.Fleet.advanceTime(milliseconds(1000));
  EXPECT_FALSE(Harness.Platform.Moves.empty());
}

TEST(Takeover, NothingWaitsWhereThePlatformChecksTokens) {
  TakeoverHarness Harness;
  Harness.PlatformChecksTokens = true;
  Harness.beginMovingLeadership();
  Harness.Fleet.advanceTime(milliseconds(1400));
  EXPECT_FALSE(Harness.Platform.Moves.empty());
}

TEST(Takeover, MaintenanceWaitsAsMovesDo) {
  MaintenanceHarness Harness(4, 4, /*Age=*/seconds(60));
  Harness.PlatformChecksTokens = false;
  Harness.beginLeadership();
  Harness.Fleet.advanceTime(milliseconds(1400));
  EXPECT_TRUE(Harness.Platform.Orders.empty());
  Harness.Fleet.advanceTime(milliseconds(1000));
  EXPECT_FALSE(Harness.Platform.Orders.empty());
}

// Guards against a VM that is kept from tasks and moves for good since its move
// was neither answered nor carried out.
TEST(PoolMover, AVmWhoseMoveTimedOutIsUsableAgain) {
  TakeoverHarness Harness;
  Harness.Platform.HoldsOrders = true;
  Harness.Fleet.advanceTime(seconds(3));
  ASSERT_FALSE(Harness.Platform.HeldOrders.empty());
  for (int I = 0; I < 30; ++I)
    Harness.Fleet.cancelJob("j" + std::to_string(I));
  Harness.Fleet.advanceTime(seconds(10));
  for (const auto &[Key, Worker] : Harness.Fleet.Scheduler->workers().all())
    EXPECT_FALSE(Worker.IsCordoned) << Key.Id;
}

// Guards against a move that ends the runs of the second of two workers on a
// VM, such as a restarted one under a new id.
TEST(PoolMover, AVmWithABusyWorkerBesideAnIdleOneStays) {
  TakeoverHarness Harness;
  Harness.Fleet.Workers.at("spare-1").Entry.Vm = "vm-spare-0";
  JobSpec Spec = makeChainSpec(1, 1, 1000, 60000);
  Spec.Steps[0].RequiredLabel = "busy";
  Harness.Fleet.Workers.at("spare-0").Entry.Labels = {"a", "r0", "busy"};
  Harness.Fleet.submitJob("stays", "spare", Spec);
  Harness.Fleet.sendHeartbeats();
  Harness.Fleet.advanceTime(seconds(6));
  ASSERT_EQ(Harness.Fleet.Workers.at("spare-0").Runs.size(), 1U);
  ASSERT_FALSE(Harness.Platform.Moves.empty());
  for (const auto &[At, Vm] : Harness.Platform.Moves)
    EXPECT_NE(Vm, "vm-spare-0");
}

TEST(WavePace, UsesTheLowestSufficientConcurrency) {
  WaveProgress Progress{20, 0, 10, seconds(49), milliseconds(4500)};
  EXPECT_EQ(computeWavePace(Progress), (WavePace{3, false}));
  // Half of the time has passed without progress.
  Progress.TimeLeft = seconds(25);
  EXPECT_EQ(computeWavePace(Progress), (WavePace{6, false}));
  Progress.TimeLeft = seconds(12);
  EXPECT_EQ(computeWavePace(Progress), (WavePace{10, true}));
  Progress.TimeLeft = seconds(-3);
  EXPECT_EQ(computeWavePace(Progress), (WavePace{10, true}));
}

TEST(WavePace, ConcurrencyNeverExceedsMaxDown) {
  EXPECT_EQ(
      computeWavePace({20, 0, 2, seconds(40), milliseconds(4500)}).Concurrency,
      2U);
  EXPECT_EQ(
      computeWavePace({1, 0, 5, seconds(400), milliseconds(4500)}).Concurrency,
      1U);
}

} // namespace
