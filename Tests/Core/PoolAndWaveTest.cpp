// Tests that every VM is in exactly one pool and that maintenance waves respect
// the availability budget of every service.

#include <gtest/gtest.h>

#include "Support/FaultSchedule.h"
#include "Support/VirtualFleet.h"

#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

RC_GTEST_PROP(Pools, RacingMovesLeaveAVmInOnePool, ()) {
  FleetState State;
  auto Apply = [&](const FleetAction &Action) {
    return State.apply({{}, {}, Action});
  };
  const std::vector<std::string> Pools = {"stables", "office", "feed"};
  for (const std::string &Pool : Pools)
    Apply(CreatePool{Pool, false});
  Apply(AddVm{"vm", "stables", "dc-0", "rack-0"});
  std::string Expected = "stables";
  auto Moves = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3)));
  for (const auto &[From, To] : Moves) {
    const std::string &Source = Pools[static_cast<size_t>(From)];
    const std::string &Target = Pools[static_cast<size_t>(To)];
    CommandResult Result = Apply(MoveVm{"vm", Source, Target});
    bool WasInSource = Source == Expected;
    RC_ASSERT((Result.Status == CommandStatus::Accepted) == WasInSource);
    if (WasInSource)
      Expected = Target;
    RC_ASSERT(State.vms().at("vm").Pool == Expected);
  }
}

AnnounceWave makeWave(const VirtualFleet &Fleet, size_t Count) {
  AnnounceWave Wave{"autumn", {}};
  for (size_t I = 0; I < Count; ++I)
    Wave.Vms.push_back(Fleet.vmOf(I));
  return Wave;
}

bool waveEnded(VirtualFleet &Fleet) {
  auto Leader = Fleet.leader();
  if (!Leader)
    return false;
  const auto &Waves = Fleet.control(*Leader)->state().waves();
  auto Found = Waves.find("autumn");
  return Found != Waves.end() && Found->second.hasEnded();
}

RC_GTEST_PROP(Waves, BudgetsHoldThroughChangesOfLeader, ()) {
  FleetShape Shape = arbitraryShape(10);
  Shape.MaxUnavailable = *rc::gen::inRange(1U, 5U);
  // Keep only faults of control VMs, so that nothing but the wave takes
  // instances down.
  auto Schedule = *faultSchedules(seconds(12), 8);
  std::erase_if(Schedule, [](const Fault &F) {
    return F.Kind != FaultKind::CrashControl &&
           F.Kind != FaultKind::WipeControl &&
           F.Kind != FaultKind::FreezeControl;
  });
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  RC_ASSERT(Fleet.change("wave", makeWave(Fleet, 6), seconds(5)).has_value());
  FaultDriver Faults(Fleet, Schedule);
  Duration Until = Fleet.now() + seconds(12);
  auto Step = [&] {
    Fleet.run(VirtualFleet::Tick);
    RC_ASSERT(Fleet.trulyAvailable() >= Fleet.required());
  };
  while (Fleet.now() < Until) {
    Faults.drive();
    Step();
  }
  Faults.healAll();
  Until = Fleet.now() + seconds(40);
  while (Fleet.now() < Until && !waveEnded(Fleet))
    Step();
  RC_ASSERT(waveEnded(Fleet));
  RC_ASSERT(Fleet.drains().size() == 6U);
}

RC_GTEST_PROP(Waves, CorrelatedLossStopsTheWaveAndItGoesOnAfter, ()) {
  FleetShape Shape = arbitraryShape();
  Shape.MaxUnavailable = 2;
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  RC_ASSERT(Fleet.change("wave", makeWave(Fleet, 6), seconds(5)).has_value());
  Fleet.run(milliseconds(*rc::gen::inRange(0, 3000)));
  // The loss of a rack uses up the availability budget.
  size_t Rack = *rc::gen::inRange<size_t>(0, 3);
  Fleet.crashBackend(2 * Rack);
  Fleet.crashBackend(2 * Rack + 1);
  // The entry VMs that own the sessions of the lost backend servers freeze at
  // the same time, so nobody reports the loss.
  Fleet.network().freeze({NodeKind::Entry, 2 * Rack % 3}, seconds(14));
  Fleet.network().freeze({NodeKind::Entry, (2 * Rack + 1) % 3}, seconds(14));
  Duration LostAt = Fleet.now();
  Fleet.run(seconds(15));
  // An unreported instance counts as down once its session and the last report
  // of it have expired: two seconds each, plus a planning interval.
  constexpr Duration DetectionTime = milliseconds(4700);
  for (const auto &Drain : Fleet.drains())
    RC_ASSERT(Drain.At <= LostAt + DetectionTime ||
              Drain.Left >= Fleet.required());
  Fleet.restartBackend(2 * Rack);
  Fleet.restartBackend(2 * Rack + 1);
  RC_ASSERT(Fleet.runUntil([&] { return waveEnded(Fleet); }, seconds(60)));
}

TEST(Waves, NothingIsDrainedWhileThePlatformIsSilent) {
  TimerService Timers{Instant(seconds(100))};
  FleetState State;
  State.apply({{}, {}, CreatePool{"stables", false}});
  State.apply({{}, {}, AddVm{"vm", "stables", "dc-0", "rack-0"}});
  State.apply({{}, {}, AnnounceWave{"autumn", {"vm"}}});
  FleetStatus LatestStatus(Timers, seconds(2));
  WavePlanner Planner(BudgetLimited{});
  EXPECT_TRUE(Planner.plan(State, LatestStatus).Grants.empty());
  LatestStatus.updateVms({{"vm", {VmState::Up, 1}}});
  EXPECT_EQ(Planner.plan(State, LatestStatus).Grants.size(), 1U);
  Timers.advance(Timers.now() + seconds(3));
  EXPECT_TRUE(Planner.plan(State, LatestStatus).Grants.empty());
}

} // namespace
} // namespace mimosashunt::test
