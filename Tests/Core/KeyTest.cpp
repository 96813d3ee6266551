// Tests that a withdrawn key stops working on all entry VMs within seconds,
// also for requests that already wait in queues.

#include <gtest/gtest.h>

#include "Support/FaultSchedule.h"
#include "Support/VirtualFleet.h"

#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

/// Maximum time from the accepted withdrawal to the last use of the key that
/// users are promised.
constexpr Duration MaxUseAfterWithdrawal = seconds(5);
constexpr Duration Horizon = seconds(10);

RC_GTEST_PROP(Keys, AWithdrawnKeyStopsWithinSeconds, ()) {
  FleetShape Shape = arbitraryShape(10);
  Shape.DeadlineMillis = *rc::gen::inRange(1000U, 30000U);
  auto Schedule = *faultSchedules(Horizon, 8);
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  FaultDriver Faults(Fleet, Schedule);
  std::mt19937_64 Random(Shape.Seed);
  Duration StartedAt = Fleet.now();
  Duration WithdrawAt = StartedAt + milliseconds(*rc::gen::inRange(0, 4000));
  Duration NextAttemptAt{};
  unsigned LastRequest = 0;
  while (Fleet.now() < StartedAt + Horizon + MaxUseAfterWithdrawal) {
    Faults.drive();
    // Send more than the slots can run, so that requests wait in queues.
    for (int I = 0; I < 2; ++I)
      Fleet.request("r-" + std::to_string(++LastRequest), VirtualFleet::Key,
                    true, Random() % Shape.Entries);
    bool Due = Fleet.now() >= WithdrawAt && Fleet.now() >= NextAttemptAt;
    if (Due && !Fleet.answerOf("withdraw")) {
      NextAttemptAt = Fleet.now() + milliseconds(300);
      if (auto Leader = Fleet.leader())
        Fleet.submit("withdraw", WithdrawKey{VirtualFleet::Key}, *Leader);
    }
    Fleet.run(4 * VirtualFleet::Tick);
  }
  std::optional<Duration> Accepted;
  for (const AcceptedChange &Change : Fleet.accepted())
    if (Change.OperationId == "withdraw" && !Accepted)
      Accepted = Change.At;
  if (!Accepted)
    return;
  for (const RunRecord &Run : Fleet.runs())
    RC_ASSERT(Run.At <= *Accepted + MaxUseAfterWithdrawal);
}

RC_GTEST_PROP(Keys, AnEntryVmCutFromControlStopsUsingKeys, ()) {
  FleetShape Shape = arbitraryShape();
  Shape.DeadlineMillis = 30000;
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  auto Entry = *rc::gen::inRange<size_t>(0, 3);
  // Its backend servers still reach it, so only the expiry of its lease can
  // stop it.
  for (size_t I = 0; I < Shape.Controls; ++I) {
    Fleet.network().silence({NodeKind::Entry, Entry}, {NodeKind::Control, I},
                            seconds(60));
    Fleet.network().silence({NodeKind::Control, I}, {NodeKind::Entry, Entry},
                            seconds(60));
  }
  auto Result =
      Fleet.change("withdraw", WithdrawKey{VirtualFleet::Key}, seconds(5));
  RC_ASSERT(Result.has_value());
  Duration Accepted = Fleet.now();
  for (int I = 0; I < 400; ++I) {
    Fleet.request("r-" + std::to_string(I), VirtualFleet::Key, true, Entry);
    Fleet.run(4 * VirtualFleet::Tick);
  }
  for (const RunRecord &Run : Fleet.runs())
    RC_ASSERT(Run.At <= Accepted + MaxUseAfterWithdrawal);
}

RC_GTEST_PROP(Keys, AFrozenEntryVmDoesNotUseAKeyOnWaking, ()) {
  FleetShape Shape = arbitraryShape();
  Shape.Work = milliseconds(200);
  Shape.DeadlineMillis = 30000;
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  // Requests are waiting in queues and in flight when the process freezes.
  for (int I = 0; I < 60; ++I)
    Fleet.request("r-" + std::to_string(I), VirtualFleet::Key, true, 0);
  Fleet.run(milliseconds(*rc::gen::inRange(0, 100)));
  Fleet.network().freeze({NodeKind::Entry, 0},
                         seconds(*rc::gen::inRange(6, 20)));
  Fleet.network().freeze({NodeKind::Entry, 1},
                         seconds(*rc::gen::inRange(6, 20)));
  auto Result =
      Fleet.change("withdraw", WithdrawKey{VirtualFleet::Key}, seconds(5));
  RC_ASSERT(Result.has_value());
  Duration Accepted = Fleet.now();
  Fleet.run(seconds(30));
  for (const RunRecord &Run : Fleet.runs())
    RC_ASSERT(Run.At <= Accepted + MaxUseAfterWithdrawal);
}

TEST(Keys, AWithdrawnKeyCannotBeGrantedAgain) {
  FleetState State;
  auto Apply = [&](const FleetAction &Action) {
    return State.apply({{}, {}, Action}).Status;
  };
  TeamDocument Document;
  Document.Team = "guides";
  Apply(ApplyDocument{Document, 0});
  EXPECT_EQ(Apply(GrantKey{"guides", "d"}), CommandStatus::Accepted);
  EXPECT_EQ(Apply(WithdrawKey{"d"}), CommandStatus::Accepted);
  EXPECT_EQ(Apply(WithdrawKey{"d"}), CommandStatus::Accepted);
  EXPECT_EQ(Apply(GrantKey{"guides", "d"}), CommandStatus::Conflict);
}

TEST(Keys, WorkIsTakenOnlyForTheKeysTeam) {
  VirtualFleet Fleet(FleetShape{});
  ASSERT_TRUE(Fleet.start());
  Fleet.request("right", VirtualFleet::Key, true, 0);
  Fleet.request("wrong", "another-key", true, 1);
  Fleet.request("open", "", true, 2);
  Fleet.run(seconds(1));
  EXPECT_EQ(Fleet.requests().at("right").Runs, 1U);
  EXPECT_EQ(Fleet.requests().at("open").Runs, 1U);
  EXPECT_EQ(Fleet.requests().at("wrong").Runs, 0U);
  Outcome Expected = NotRun{Refusal::KeyRefused, std::nullopt, false};
  EXPECT_EQ(Fleet.requests().at("wrong").Outcomes.at(0), Expected);
}

} // namespace
} // namespace mimosashunt::test
