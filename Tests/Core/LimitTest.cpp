// Tests that a team never has more requests running across the fleet than its
// limit, and that no part of the limit is lost permanently.

#include <gtest/gtest.h>

#include "Support/FaultSchedule.h"
#include "Support/VirtualFleet.h"

#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

constexpr Duration Horizon = seconds(15);
/// Longer than the time after which the slice of a lost entry VM is returned.
constexpr Duration SliceReturnTime = seconds(45);

RC_GTEST_PROP(Limits, NeverExceededUnderFaults, ()) {
  FleetShape Shape = arbitraryShape(10);
  Shape.Limit = *rc::gen::inRange(1U, 9U);
  Shape.Work = milliseconds(*rc::gen::inRange(20, 2500));
  auto Schedule = *faultSchedules(Horizon, 8);
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  FaultDriver Faults(Fleet, Schedule);
  std::mt19937_64 Random(Shape.Seed);
  Duration Until = Fleet.now() + Horizon;
  unsigned LastRequest = 0;
  size_t BusyEntry = 0;
  while (Fleet.now() < Until) {
    Faults.drive();
    // Move the demand between entry VMs, so that slices must move, too.
    if (Random() % 100 == 0)
      BusyEntry = Random() % Shape.Entries;
    for (int I = 0; I < 2; ++I)
      Fleet.request("r-" + std::to_string(++LastRequest), VirtualFleet::Key,
                    true, BusyEntry);
    Fleet.run(4 * VirtualFleet::Tick);
    RC_ASSERT(Fleet.mostRunning() <= Shape.Limit);
  }
  Faults.healAll();
  Fleet.run(SliceReturnTime);
  RC_ASSERT(Fleet.mostRunning() <= Shape.Limit);
  auto Leader = Fleet.leader();
  RC_ASSERT(Leader.has_value());
  const FleetState &State = Fleet.control(*Leader)->state();
  uint32_t Held = 0;
  for (const auto &[Vm, Entry] : State.entryVms())
    if (auto Slice = State.slice(VirtualFleet::Team, {Vm, Entry.Incarnation}))
      Held += Slice->Count;
  RC_ASSERT(Held == Shape.Limit);
}

RC_GTEST_PROP(Limits, OneEntryVmCanUseTheWholeLimit, ()) {
  FleetShape Shape = arbitraryShape();
  Shape.Limit = 8;
  Shape.Work = milliseconds(300);
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  unsigned LastRequest = 0;
  for (int I = 0; I < 300; ++I) {
    Fleet.request("r-" + std::to_string(++LastRequest), VirtualFleet::Key, true,
                  0);
    Fleet.run(2 * VirtualFleet::Tick);
  }
  RC_ASSERT(Fleet.mostRunning() == Shape.Limit);
}

/// Applies grants, releases, expiries and registrations in any order, including
/// early, late and repeated ones.
RC_GTEST_PROP(Limits, AgreedSlicesNeverExceedTheLimit, ()) {
  FleetState State;
  auto Apply = [&](const FleetAction &Action) {
    return State.apply({{}, {}, Action});
  };
  TeamDocument Document;
  Document.Team = "guides";
  Document.Limit = *rc::gen::inRange(0U, 12U);
  Apply(ApplyDocument{Document, 0});
  for (const char *Vm : {"entry-0", "entry-1", "entry-2"})
    Apply(RegisterEntryVm{{Vm, 1}, "dc-0", "e"});
  auto Steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 3),
                     rc::gen::inRange(0, 8)));
  for (const auto &[Kind, Vm, Amount] : Steps) {
    EntryRun Run{"entry-" + std::to_string(Vm), 1};
    auto Count = static_cast<uint32_t>(Amount);
    if (Kind == 0)
      Apply(GrantSlice{Run, "guides", Count});
    else if (Kind == 1)
      Apply(ReleaseSlice{Run, "guides", State.revision(), Count});
    else if (Kind == 2)
      Apply(ExpireRun{Run});
    else
      Apply(RegisterEntryVm{{Run.Vm, Count}, "dc-0", "e"});
    RC_ASSERT(State.sliceTotal("guides") <= Document.Limit);
  }
}

} // namespace
} // namespace mimosashunt::test
