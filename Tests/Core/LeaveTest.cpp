// A leaving backend server gets nothing new after a few seconds, also when its
// notice is lost; a stopping entry VM cuts nothing off.

#include <gtest/gtest.h>

#include "Support/FaultSchedule.h"
#include "Support/VirtualFleet.h"

#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

constexpr Duration Bound = seconds(3);

RC_GTEST_PROP(Leaving, NothingNewAfterSeconds, ()) {
  FleetShape Shape = arbitraryShape(20);
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  auto Leaving = *rc::gen::inRange<size_t>(0, 6);
  bool NoticeLost = *rc::gen::arbitrary<bool>();
  unsigned Number = 0;
  auto Load = [&](Duration Span) {
    Duration Until = Fleet.now() + Span;
    while (Fleet.now() < Until) {
      ++Number;
      Fleet.request("r-" + std::to_string(Number), "", true,
                    Number % Shape.Entries);
      Fleet.run(2 * VirtualFleet::Tick);
    }
  };
  Load(milliseconds(*rc::gen::inRange(0, 1000)));
  Fleet.leaveBackend(Leaving, NoticeLost);
  Duration Left = Fleet.now();
  Load(seconds(8));
  for (const RunRecord &Run : Fleet.runs())
    RC_ASSERT(Run.Backend != Leaving || Run.At <= Left + Bound);
}

RC_GTEST_PROP(Leaving, AStoppingEntryVmCutsNothingOff, ()) {
  FleetShape Shape = arbitraryShape();
  Shape.Work = milliseconds(*rc::gen::inRange(5, 300));
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  auto Stopping = *rc::gen::inRange<size_t>(0, 3);
  unsigned Number = 0;
  Duration Began = Fleet.now();
  while (Fleet.now() < Began + seconds(5)) {
    Duration Since = Fleet.now() - Began;
    if (Since == seconds(1))
      Fleet.entry(Stopping).beginStop();
    if (Since == milliseconds(1500))
      Fleet.entry(Stopping).releaseBackends();
    // The balancer sends elsewhere once readiness has failed for a moment.
    size_t Entry = Number % Shape.Entries;
    if (Entry == Stopping && Since > milliseconds(1500))
      Entry = (Entry + 1) % Shape.Entries;
    Fleet.request("r-" + std::to_string(++Number), "", false, Entry);
    Fleet.run(10 * VirtualFleet::Tick);
  }
  Fleet.run(seconds(5));
  RC_ASSERT(Fleet.entry(Stopping).isIdle());
  for (const auto &[Id, Of] : Fleet.requests()) {
    RC_ASSERT(Of.Outcomes.size() == 1U);
    RC_ASSERT(std::holds_alternative<Answered>(Of.Outcomes.front()));
  }
}

} // namespace
} // namespace mimosashunt::test
