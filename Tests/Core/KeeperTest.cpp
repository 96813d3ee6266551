// Tests that the records of request ids are transferred when their keeper
// stops, that a lost keeper is replaced, and that an id never has two keepers
// at once.

#include <gtest/gtest.h>

#include "Support/FaultSchedule.h"
#include "Support/VirtualFleet.h"

#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

constexpr int IdCount = 12;

std::string requestId(int Number) { return "dues-" + std::to_string(Number); }

std::string describe(const Outcome &Result) {
  if (const auto *Refused = std::get_if<NotRun>(&Result))
    return "refused, " + std::to_string(static_cast<int>(Refused->Reason));
  if (const auto *Lost = std::get_if<OutcomeUnknown>(&Result))
    return Lost->Detail;
  return std::holds_alternative<Answered>(Result) ? "answered" : "failed";
}

/// An entry VM other than \p Excluded, alternating with \p Number.
size_t otherEntry(size_t Excluded, int Number) {
  return (Excluded + 1 + static_cast<size_t>(Number) % 2) % 3;
}

RC_GTEST_PROP(Keepers, AStoppingKeeperTransfersItsRecords, ()) {
  FleetShape Shape = arbitraryShape();
  Shape.Work = milliseconds(*rc::gen::inRange(5, 900));
  Shape.DeadlineMillis = 8000;
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  auto Stopping = *rc::gen::inRange<size_t>(0, 3);
  for (int I = 0; I < IdCount; ++I)
    Fleet.request(requestId(I), VirtualFleet::Key, false,
                  otherEntry(Stopping, I));
  Fleet.run(milliseconds(*rc::gen::inRange(0, 1500)));
  Fleet.entry(Stopping).beginStop();
  // Requests with new ids keep arriving through the other entry VMs while the
  // keepers change.
  auto HasStopped = [&] { return Fleet.entry(Stopping).mayStop(); };
  Duration Until = Fleet.now() + seconds(15);
  int NextId = IdCount;
  while (!HasStopped() && Fleet.now() < Until) {
    Fleet.request(requestId(NextId), "", false, otherEntry(Stopping, NextId));
    ++NextId;
    Fleet.run(10 * VirtualFleet::Tick);
  }
  RC_ASSERT(HasStopped());
  Fleet.stopEntry(Stopping);
  Fleet.run(seconds(3));
  for (int I = 0; I < NextId; ++I)
    Fleet.request(requestId(I), I < IdCount ? VirtualFleet::Key : "", false,
                  otherEntry(Stopping, I + 1));
  Fleet.run(seconds(10));
  for (const auto &[Id, Request] : Fleet.requests()) {
    for (const Outcome &Result : Request.Outcomes)
      RC_LOG() << Id << ": " << describe(Result) << "\n";
    RC_ASSERT(Request.Runs == 1U);
    RC_ASSERT(Request.Outcomes.size() == 2U);
    for (const Outcome &Result : Request.Outcomes) {
      RC_ASSERT(std::holds_alternative<Answered>(Result));
      RC_ASSERT(std::get<Answered>(Result).Response.Body == Id);
    }
  }
}

RC_GTEST_PROP(Keepers, ALostKeeperIsReplaced, ()) {
  FleetShape Shape = arbitraryShape();
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  auto Lost = *rc::gen::inRange<size_t>(0, 3);
  for (int I = 0; I < IdCount; ++I)
    Fleet.request(requestId(I), VirtualFleet::Key, false, otherEntry(Lost, I));
  Fleet.run(milliseconds(*rc::gen::inRange(0, 300)));
  Fleet.stopEntry(Lost);
  Fleet.run(seconds(12));
  // Requests sent before the loss do not run a second time; new ones run.
  for (int I = 0; I < IdCount; ++I) {
    Fleet.request(requestId(I), VirtualFleet::Key, false,
                  otherEntry(Lost, I + 1));
    Fleet.request(requestId(IdCount + I), "", false, otherEntry(Lost, I));
  }
  Fleet.run(seconds(5));
  for (int I = 0; I < IdCount; ++I) {
    RC_ASSERT(Fleet.requests().at(requestId(I)).Runs <= 1U);
    const CallerRequest &New = Fleet.requests().at(requestId(IdCount + I));
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

/// Renews the lease of \p Core with the keepers of \p Set. Entry VM "c" reports
/// free slots of a backend server.
void renewLease(EntryCore &Core, TimerService &Timers, const KeeperSet &Set) {
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

TEST(Keepers, ForwardsDuringAKeeperChangeAreNotAttempts) {
  TimerService Timers{Instant(seconds(1000))};
  RecordingPort Port;
  std::vector<EntryVm> All = {
      {"a", "dc", "a"}, {"b", "dc", "b"}, {"c", "dc", "c"}};
  EntryCore Core(All[0], All, 1, {}, Timers, Port);
  renewLease(Core, Timers, {1, {{"b", 1}}, {}, {}});
  EntryRequest Request;
  Request.Queue = "open";
  Request.RequestId = "dues";
  Request.FirstSend = true;
  Core.submitRequest(1, Request);
  // The former keeper rejects the request several times, since it is no longer
  // the keeper.
  for (int I = 0; I < 5; ++I) {
    ASSERT_EQ(Port.Forwards.size(), static_cast<size_t>(I) + 1);
    Core.onForwardDone(
        1, Outcome(NotRun{Refusal::KeeperUnreachable, seconds(1), false}));
    Timers.advance(Timers.now() + milliseconds(100));
  }
  Core.onForwardDone(
      1, Outcome(NotRun{Refusal::KeeperUnreachable, seconds(1), false}));
  // Then this entry VM becomes the keeper. The request is still sent to the
  // free slots on the other one.
  renewLease(Core, Timers, {2, {{"a", 1}}, {{"b", 1}}, {{"b", 1}}});
  Timers.advance(Timers.now() + milliseconds(100));
  EXPECT_TRUE(Port.Outcomes.empty());
  ASSERT_EQ(Port.Forwards.size(), 7U);
  EXPECT_EQ(Port.Forwards.back().Vm, "c");
}

RC_GTEST_PROP(Keepers, AtMostOneKeeperPerRequestId, ()) {
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
    for (int I = 0; I < IdCount; ++I) {
      int KeeperCount = 0;
      for (size_t E = 0; E < Shape.Entries; ++E)
        if (!Fleet.network().frozen({NodeKind::Entry, E}) &&
            Fleet.entry(E).recordCoverage(requestId(I)) != RecordCoverage::None)
          ++KeeperCount;
      RC_ASSERT(KeeperCount <= 1);
    }
  }
}

} // namespace
} // namespace mimosashunt::test
