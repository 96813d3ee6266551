// Every VM is in exactly one pool, and maintenance waves keep every service's
// availability budget.

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
  const std::vector<std::string> Names = {"stables", "office", "feed"};
  for (const std::string &Pool : Names)
    Apply(CreatePool{Pool, false});
  Apply(AddVm{"vm", "stables", "dc-0", "rack-0"});
  std::string Expected = "stables";
  auto Moves = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3)));
  for (const auto &[From, To] : Moves) {
    const std::string &Source = Names[static_cast<size_t>(From)];
    const std::string &Target = Names[static_cast<size_t>(To)];
    CommandResult Result = Apply(MoveVm{"vm", Source, Target});
    bool WasThere = Source == Expected;
    RC_ASSERT((Result.Status == CommandStatus::Accepted) == WasThere);
    if (WasThere)
      Expected = Target;
    RC_ASSERT(State.vms().at("vm").Pool == Expected);
  }
}

AnnounceWave waveOver(const VirtualFleet &Fleet, size_t Count) {
  AnnounceWave Wave{"autumn", {}};
  for (size_t I = 0; I < Count; ++I)
    Wave.Vms.push_back(Fleet.vmOf(I));
  return Wave;
}

bool waveEnded(VirtualFleet &Fleet) {
  auto Leads = Fleet.leader();
  if (!Leads)
    return false;
  const auto &Waves = Fleet.control(*Leads)->state().waves();
  auto Found = Waves.find("autumn");
  return Found != Waves.end() && Found->second.hasEnded();
}

RC_GTEST_PROP(Waves, BudgetsHoldThroughChangesOfLeader, ()) {
  FleetShape Shape = arbitraryShape(10);
  Shape.MaxUnavailable = *rc::gen::inRange(1U, 5U);
  // Faults of the control VMs only: nothing but the wave takes instances down.
  auto Schedule = *faultSchedules(seconds(12), 8);
  std::erase_if(Schedule, [](const Fault &Item) {
    return Item.Kind != FaultKind::CrashControl &&
           Item.Kind != FaultKind::WipeControl &&
           Item.Kind != FaultKind::FreezeControl;
  });
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  RC_ASSERT(Fleet.change("wave", waveOver(Fleet, 6), seconds(5)).has_value());
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
  RC_ASSERT(Fleet.change("wave", waveOver(Fleet, 6), seconds(5)).has_value());
  Fleet.run(milliseconds(*rc::gen::inRange(0, 3000)));
  // A rack is lost, the budget with it.
  size_t Rack = *rc::gen::inRange<size_t>(0, 3);
  Fleet.crashBackend(2 * Rack);
  Fleet.crashBackend(2 * Rack + 1);
  // The entry VMs that own their sessions fall silent with them, so nobody
  // says that they are gone.
  Fleet.network().freeze({NodeKind::Entry, 2 * Rack % 3}, seconds(14));
  Fleet.network().freeze({NodeKind::Entry, (2 * Rack + 1) % 3}, seconds(14));
  Duration Lost = Fleet.now();
  Fleet.run(seconds(15));
  // What is silent counts as down once its session and the report of it have
  // aged: two seconds each, and a planning period.
  constexpr Duration Noticed = milliseconds(4700);
  for (const auto &Drain : Fleet.drains())
    RC_ASSERT(Drain.At <= Lost + Noticed || Drain.Left >= Fleet.required());
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
  FleetStatus Picture(Timers, seconds(2));
  WavePlanner Planner(BudgetLimited{});
  EXPECT_TRUE(Planner.plan(State, Picture).Grants.empty());
  Picture.updateVms({{"vm", {VmState::Up, 1}}});
  EXPECT_EQ(Planner.plan(State, Picture).Grants.size(), 1U);
  Timers.advance(Timers.now() + seconds(3));
  EXPECT_TRUE(Planner.plan(State, Picture).Grants.empty());
}

} // namespace
} // namespace mimosashunt::test
