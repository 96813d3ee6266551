// A data centre that is cut off from the others serves requests without a key,
// refuses those with a key at once (its lease has expired) and, after the
// partition, adopts the configuration that the others have changed meanwhile.

#include <gtest/gtest.h>

#include "Support/FaultSchedule.h"
#include "Support/VirtualFleet.h"

#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

RC_GTEST_PROP(CutOff, OpenRequestsAreServedAndKeyedOnesRefusedAtOnce, ()) {
  FleetShape Shape = arbitraryShape();
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  auto Centre = *rc::gen::inRange<size_t>(0, 3);
  Fleet.network().cut(Centre, seconds(25));
  Fleet.run(seconds(5));
  Fleet.request("open", "", true, Centre);
  Fleet.request("keyed", VirtualFleet::Key, true, Centre);
  Fleet.run(seconds(1));
  const auto &Open = Fleet.requests().at("open").Outcomes;
  RC_ASSERT(!Open.empty());
  RC_ASSERT(std::holds_alternative<Answered>(Open.front()));
  const auto &Keyed = Fleet.requests().at("keyed").Outcomes;
  RC_ASSERT(Keyed.size() == 1U);
  const auto *Refused = std::get_if<NotRun>(&Keyed.front());
  RC_ASSERT(Refused != nullptr);
  RC_ASSERT(Refused->Reason == Refusal::LeaseExpired);
  RC_ASSERT(Refused->RetryAfter.has_value());
  // The side with the quorum changes the configuration during the partition.
  TeamDocument Document;
  Document.Team = "guides";
  Document.Limit = 3;
  auto Result = Fleet.change("edit", ApplyDocument{Document, 0}, seconds(10));
  RC_ASSERT(Result.has_value());
  Fleet.run(seconds(20));
  RC_ASSERT(
      Fleet.runUntil([&] { return Fleet.inForceEverywhere(); }, seconds(18)));
  RC_ASSERT(Fleet.entry(Centre).lease().activeRevision() >= Result->AtRevision);
  auto Leader = Fleet.leader();
  RC_ASSERT(Leader.has_value());
  RC_ASSERT(Fleet.control(*Leader)->state().documents().contains("guides"));
}

} // namespace
} // namespace mimosashunt::test
