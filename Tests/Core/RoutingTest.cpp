// Under faults, every outcome matches what happened, every answer is complete
// and belongs to its request, and no request that is not idempotent runs twice.

#include <gtest/gtest.h>

#include "Support/FaultSchedule.h"
#include "Support/VirtualFleet.h"

#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

constexpr Duration FaultDuration = seconds(10);

/// A caller that resends a request under the same id, through a random entry
/// VM, while it does not know the outcome.
struct Caller {
  VirtualFleet &Fleet;
  std::mt19937_64 &Random;
  size_t Entries;
  std::map<std::string, Duration> SentAt;
  unsigned Number = 0;

  void send(const std::string &Id, bool Keyed, bool Idempotent) {
    SentAt[Id] = Fleet.now();
    Fleet.request(Id, Keyed ? VirtualFleet::Key : "", Idempotent,
                  Random() % Entries);
  }
  void sendNew() {
    bool Idempotent = Random() % 4 == 0;
    send("r-" + std::to_string(++Number), Random() % 2 == 0, Idempotent);
  }
  void resend() {
    constexpr Duration ResendTimeout = milliseconds(1200);
    constexpr unsigned MaxSendings = 4;
    std::vector<const CallerRequest *> Unresolved;
    for (const auto &[Id, Request] : Fleet.requests()) {
      bool Unanswered = Fleet.now() - SentAt[Id] > ResendTimeout &&
                        Request.Outcomes.size() < Request.Sendings;
      bool Unknown =
          !Request.Outcomes.empty() &&
          std::holds_alternative<OutcomeUnknown>(Request.Outcomes.back()) &&
          Request.Outcomes.size() == Request.Sendings;
      if ((Unanswered || Unknown) && Request.Sendings < MaxSendings)
        Unresolved.push_back(&Request);
    }
    for (const CallerRequest *Request : Unresolved)
      send(Request->Id, !Request->Key.empty(), Request->Idempotent);
  }
};

void checkOutcomes(const CallerRequest &Request) {
  if (!Request.Idempotent)
    RC_ASSERT(Request.Runs <= 1U);
  bool ReportedNotRun = false;
  for (const Outcome &Result : Request.Outcomes) {
    if (const auto *Complete = std::get_if<Answered>(&Result)) {
      RC_ASSERT(Complete->Response.Body == Request.Id);
      RC_ASSERT(Request.Runs >= 1U);
    }
    const auto *Refused = std::get_if<NotRun>(&Result);
    ReportedNotRun = ReportedNotRun || (Refused && !Refused->EarlierMayHaveRun);
  }
  // A caller that was told "not run" does not resend, so the request must not
  // run later either.
  if (ReportedNotRun && Request.Sendings == 1)
    RC_ASSERT(Request.Runs == 0U);
}

RC_GTEST_PROP(Routing, OutcomesAreCorrectUnderFaults, ()) {
  FleetShape Shape = arbitraryShape(10);
  Shape.Work = milliseconds(*rc::gen::inRange(5, 400));
  auto Schedule = *faultSchedules(FaultDuration, 10);
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  FaultDriver Faults(Fleet, Schedule);
  std::mt19937_64 Random(Shape.Seed);
  Caller Sender{Fleet, Random, Shape.Entries, {}};
  Duration Until = Fleet.now() + FaultDuration;
  while (Fleet.now() < Until) {
    Faults.drive();
    Sender.sendNew();
    Sender.resend();
    Fleet.run(5 * VirtualFleet::Tick);
  }
  Faults.healAll();
  Fleet.run(seconds(10));
  size_t RequestsWithOutcome = 0;
  for (const auto &[Id, Request] : Fleet.requests()) {
    checkOutcomes(Request);
    RequestsWithOutcome += Request.Outcomes.empty() ? 0 : 1;
  }
  RC_ASSERT(RequestsWithOutcome > 0U);
  // After the faults, a new request is answered.
  Sender.send("last", false, true);
  Fleet.run(seconds(5));
  const auto &Last = Fleet.requests().at("last").Outcomes;
  RC_ASSERT(!Last.empty());
  RC_ASSERT(std::holds_alternative<Answered>(Last.back()));
}

RC_GTEST_PROP(Routing, ResendsThroughAnyEntryVmRunOnce, ()) {
  FleetShape Shape = arbitraryShape();
  Shape.Work = milliseconds(*rc::gen::inRange(5, 800));
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  auto Sendings = *rc::gen::container<std::vector<std::pair<size_t, int>>>(
      6,
      rc::gen::pair(rc::gen::inRange<size_t>(0, 3), rc::gen::inRange(0, 600)));
  for (const auto &[Entry, Pause] : Sendings) {
    Fleet.request("dues", VirtualFleet::Key, /*Idempotent=*/false, Entry);
    Fleet.run(milliseconds(Pause));
  }
  Fleet.run(seconds(5));
  const CallerRequest &Request = Fleet.requests().at("dues");
  RC_ASSERT(Request.Runs == 1U);
  RC_ASSERT(Request.Outcomes.size() == Sendings.size());
  for (const Outcome &Result : Request.Outcomes) {
    const auto *Complete = std::get_if<Answered>(&Result);
    RC_ASSERT(Complete != nullptr);
    RC_ASSERT(Complete->Response.Body == "dues");
  }
}

RC_GTEST_PROP(Routing, RestartedKeeperDoesNotRunAnIdAgain, ()) {
  FleetShape Shape = arbitraryShape();
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  auto Restarted = *rc::gen::inRange<size_t>(0, 3);
  for (int I = 0; I < 12; ++I)
    Fleet.request("dues-" + std::to_string(I), VirtualFleet::Key, false,
                  static_cast<size_t>(I) % 3);
  Fleet.run(milliseconds(*rc::gen::inRange(0, 200)));
  Fleet.restartEntry(Restarted);
  // The resends come before or after another keeper is agreed on.
  Fleet.run(milliseconds(*rc::gen::inRange(1000, 12000)));
  for (int I = 0; I < 12; ++I)
    Fleet.request("dues-" + std::to_string(I), VirtualFleet::Key, false,
                  static_cast<size_t>(I + 1) % 3);
  Fleet.run(seconds(5));
  for (const auto &[Id, Request] : Fleet.requests())
    RC_ASSERT(Request.Runs <= 1U);
}

TEST(Routing, ARequestWithoutBackendServersIsRefusedAtOnce) {
  VirtualFleet Fleet(FleetShape{});
  ASSERT_TRUE(Fleet.start());
  for (size_t I = 0; I < 6; ++I)
    Fleet.crashBackend(I);
  Fleet.run(seconds(4));
  Fleet.request("late", VirtualFleet::Key, true, 0);
  Fleet.run(milliseconds(100));
  const auto &Outcomes = Fleet.requests().at("late").Outcomes;
  ASSERT_EQ(Outcomes.size(), 1U);
  const auto *Refused = std::get_if<NotRun>(&Outcomes.front());
  ASSERT_NE(Refused, nullptr);
  EXPECT_EQ(Refused->Reason, Refusal::NoBackendServer);
  EXPECT_TRUE(Refused->RetryAfter.has_value());
}

} // namespace
} // namespace mimosashunt::test
