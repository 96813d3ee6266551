// Records of request ids outlive the entry VM that keeps them: they move on a
// planned stop, and a lost keeper is replaced, without two homes at once.

#include <gtest/gtest.h>

#include "Support/FaultSchedule.h"
#include "Support/VirtualFleet.h"

#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

constexpr int Ids = 12;

std::string dues(int Number) { return "dues-" + std::to_string(Number); }

std::string describe(const Outcome &Result) {
  if (const auto *Refused = std::get_if<NotRun>(&Result))
    return "refused, " + std::to_string(static_cast<int>(Refused->Reason));
  if (const auto *Lost = std::get_if<OutcomeUnknown>(&Result))
    return Lost->Detail;
  return std::holds_alternative<Answered>(Result) ? "answered" : "failed";
}

/// An entry VM other than \p Gone.
size_t other(size_t Gone, int Number) {
  return (Gone + 1 + static_cast<size_t>(Number) % 2) % 3;
}

RC_GTEST_PROP(Keepers, AStoppedHomeHandsItsRecordsOver, ()) {
  FleetShape Shape = arbitraryShape();
  Shape.Work = milliseconds(*rc::gen::inRange(5, 900));
  Shape.DeadlineMillis = 8000;
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  auto Stopping = *rc::gen::inRange<size_t>(0, 3);
  for (int I = 0; I < Ids; ++I)
    Fleet.request(dues(I), VirtualFleet::Key, false, other(Stopping, I));
  Fleet.run(milliseconds(*rc::gen::inRange(0, 1500)));
  Fleet.entry(Stopping).beginStop();
  // New ids keep coming through the others while the keepers change.
  auto Stopped = [&] { return Fleet.entry(Stopping).mayStop(); };
  Duration Until = Fleet.now() + seconds(15);
  int Number = Ids;
  while (!Stopped() && Fleet.now() < Until) {
    Fleet.request(dues(Number), "", false, other(Stopping, Number));
    ++Number;
    Fleet.run(10 * VirtualFleet::Tick);
  }
  RC_ASSERT(Stopped());
  Fleet.stopEntry(Stopping);
  Fleet.run(seconds(3));
  for (int I = 0; I < Number; ++I)
    Fleet.request(dues(I), I < Ids ? VirtualFleet::Key : "", false,
                  other(Stopping, I + 1));
  Fleet.run(seconds(10));
  for (const auto &[Id, Of] : Fleet.requests()) {
    for (const Outcome &Result : Of.Outcomes)
      RC_LOG() << Id << ": " << describe(Result) << "\n";
    RC_ASSERT(Of.Runs == 1U);
    RC_ASSERT(Of.Outcomes.size() == 2U);
    for (const Outcome &Result : Of.Outcomes) {
      RC_ASSERT(std::holds_alternative<Answered>(Result));
      RC_ASSERT(std::get<Answered>(Result).Response.Body == Id);
    }
  }
}

RC_GTEST_PROP(Keepers, ALostHomeIsReplaced, ()) {
  FleetShape Shape = arbitraryShape();
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  auto Lost = *rc::gen::inRange<size_t>(0, 3);
  for (int I = 0; I < Ids; ++I)
    Fleet.request(dues(I), VirtualFleet::Key, false, other(Lost, I));
  Fleet.run(milliseconds(*rc::gen::inRange(0, 300)));
  Fleet.stopEntry(Lost);
  Fleet.run(seconds(12));
  // What was sent before runs no second time; what is new runs.
  for (int I = 0; I < Ids; ++I) {
    Fleet.request(dues(I), VirtualFleet::Key, false, other(Lost, I + 1));
    Fleet.request(dues(Ids + I), "", false, other(Lost, I));
  }
  Fleet.run(seconds(5));
  for (int I = 0; I < Ids; ++I) {
    RC_ASSERT(Fleet.requests().at(dues(I)).Runs <= 1U);
    const CallerRequest &New = Fleet.requests().at(dues(Ids + I));
    RC_ASSERT(New.Runs == 1U);
    RC_ASSERT(New.Outcomes.size() == 1U);
    RC_ASSERT(std::holds_alternative<Answered>(New.Outcomes.front()));
  }
}

struct RecordingPort : EntryPort {
  std::vector<Forward> Forwards;
  std::vector<Outcome> Outcomes;

  void dispatchAttempt(const Dispatch &) override {}
  void forwardRequest(const Forward &Order) override {
    Forwards.push_back(Order);
  }
  void sendRecords(const RecordTransfer &) override {}
  void finishRequest(LocalRequestId, const Outcome &Result) override {
    Outcomes.push_back(Result);
  }
};

/// Keeps \p Core's lease alive under the keepers of \p Set, with a backend
/// server's slots free on entry VM "c".
void renew(EntryCore &Core, TimerService &Timers, const KeeperSet &Set) {
  EntryReply Reply;
  Reply.Status = SyncStatus::Ok;
  Reply.LeaseMillis = 3000;
  ServiceSpec Service{
      "lessons", {"stables"}, 1, 0, {{"open", true, 9000, false}}};
  EntryConfiguration Configuration;
  Configuration.AtRevision = Set.Epoch;
  Configuration.Documents["lessons"] = {"lessons", 1, 4, {Service}};
  Configuration.Keepers = Set;
  Reply.Configuration = Configuration;
  Reply.Peers = {{"c", "dc", "c", 0, {{"lessons", 4, 0, 0}}}};
  Core.handleSyncReply(Timers.now(), Reply);
}

TEST(Keepers, AskingForAMovingHomeIsNoTry) {
  TimerService Timers{Instant(seconds(1000))};
  RecordingPort Port;
  std::vector<EntryVm> All = {
      {"a", "dc", "a"}, {"b", "dc", "b"}, {"c", "dc", "c"}};
  EntryCore Core(All[0], All, 1, {}, Timers, Port);
  renew(Core, Timers, {1, {{"b", 1}}, {}, {}});
  EntryRequest Request;
  Request.Queue = "open";
  Request.RequestId = "dues";
  Request.FirstSend = true;
  Core.submitRequest(1, Request);
  // The home says several times that it is not the home any more.
  for (int I = 0; I < 5; ++I) {
    ASSERT_EQ(Port.Forwards.size(), static_cast<size_t>(I) + 1);
    Core.onForwardDone(
        1, Outcome(NotRun{Refusal::KeeperUnreachable, seconds(1), false}));
    Timers.advance(Timers.now() + milliseconds(100));
  }
  Core.onForwardDone(
      1, Outcome(NotRun{Refusal::KeeperUnreachable, seconds(1), false}));
  // Then the id is kept here; the request still finds the free slots elsewhere.
  renew(Core, Timers, {2, {{"a", 1}}, {{"b", 1}}, {{"b", 1}}});
  Timers.advance(Timers.now() + milliseconds(100));
  EXPECT_TRUE(Port.Outcomes.empty());
  ASSERT_EQ(Port.Forwards.size(), 7U);
  EXPECT_EQ(Port.Forwards.back().Vm, "c");
}

RC_GTEST_PROP(Keepers, NeverTwoHomesAtOnce, ()) {
  FleetShape Shape = arbitraryShape(10);
  auto Schedule = *faultSchedules(seconds(20), 10);
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  FaultDriver Faults(Fleet, Schedule);
  auto Stopping = *rc::gen::inRange<size_t>(0, 3);
  auto StopAt = Fleet.now() + milliseconds(*rc::gen::inRange(0, 20000));
  Duration Until = Fleet.now() + seconds(20);
  while (Fleet.now() < Until) {
    Faults.drive();
    if (Fleet.now() >= StopAt)
      Fleet.entry(Stopping).beginStop();
    Fleet.run(VirtualFleet::Tick);
    for (int I = 0; I < Ids; ++I) {
      int Homes = 0;
      for (size_t E = 0; E < Shape.Entries; ++E)
        if (!Fleet.network().frozen({NodeKind::Entry, E}) &&
            Fleet.entry(E).recordCoverage(dues(I)) != Duty::None)
          ++Homes;
      RC_ASSERT(Homes <= 1);
    }
  }
}

} // namespace
} // namespace mimosashunt::test
