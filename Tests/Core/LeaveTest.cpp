// A leaving backend server gets no attempts after three seconds, even if its
// leave notice is lost. A stopping entry VM answers every request that it has
// accepted.

#include <gtest/gtest.h>

#include "Support/FaultSchedule.h"
#include "Support/VirtualFleet.h"

#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

/// Longest time after a leave notice in which an attempt may start.
constexpr Duration MaxLeaveDelay = seconds(3);

RC_GTEST_PROP(Leaving, BackendServerGetsNoAttemptsAfterThreeSeconds, ()) {
  FleetShape Shape = arbitraryShape(20);
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  auto Leaving = *rc::gen::inRange<size_t>(0, 6);
  bool IsNoticeLost = *rc::gen::arbitrary<bool>();
  unsigned Number = 0;
  auto SendRequests = [&](Duration Span) {
    Duration Until = Fleet.now() + Span;
    while (Fleet.now() < Until) {
      ++Number;
      Fleet.request("r-" + std::to_string(Number), "", true,
                    Number % Shape.Entries);
      Fleet.run(2 * VirtualFleet::Tick);
    }
  };
  SendRequests(milliseconds(*rc::gen::inRange(0, 1000)));
  Fleet.leaveBackend(Leaving, IsNoticeLost);
  Duration LeftAt = Fleet.now();
  SendRequests(seconds(8));
  for (const RunRecord &Run : Fleet.runs())
    RC_ASSERT(Run.Backend != Leaving || Run.At <= LeftAt + MaxLeaveDelay);
}

RC_GTEST_PROP(Leaving, StoppingEntryVmAnswersEveryRequest, ()) {
  FleetShape Shape = arbitraryShape();
  Shape.Work = milliseconds(*rc::gen::inRange(5, 300));
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  auto Stopping = *rc::gen::inRange<size_t>(0, 3);
  unsigned Number = 0;
  Duration StartedAt = Fleet.now();
  while (Fleet.now() < StartedAt + seconds(5)) {
    Duration Elapsed = Fleet.now() - StartedAt;
    if (Elapsed == seconds(1))
      Fleet.entry(Stopping).beginStop();
    if (Elapsed == milliseconds(1500))
      Fleet.entry(Stopping).releaseBackends();
    // The load balancer uses the other entry VMs shortly after readiness fails.
    size_t Entry = Number % Shape.Entries;
    if (Entry == Stopping && Elapsed > milliseconds(1500))
      Entry = (Entry + 1) % Shape.Entries;
    Fleet.request("r-" + std::to_string(++Number), "", false, Entry);
    Fleet.run(10 * VirtualFleet::Tick);
  }
  Fleet.run(seconds(5));
  RC_ASSERT(Fleet.entry(Stopping).isIdle());
  for (const auto &[Id, Request] : Fleet.requests()) {
    RC_ASSERT(Request.Outcomes.size() == 1U);
    RC_ASSERT(std::holds_alternative<Answered>(Request.Outcomes.front()));
  }
}

} // namespace
} // namespace mimosashunt::test
