// Accepted configuration is agreed, durable, in force everywhere and never
// reverts; racing operators and resends get one answer each.

#include <gtest/gtest.h>

#include "Support/FaultSchedule.h"
#include "Support/VirtualFleet.h"

#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

constexpr Duration Horizon = seconds(12);

TeamDocument documentWith(uint32_t Share) {
  TeamDocument Document;
  Document.Team = "guides";
  Document.Share = Share;
  Document.Limit = 4;
  return Document;
}

/// An operator that edits the document it last read and resends an edit under
/// the same operation id until it is answered.
struct Operator {
  std::string Name;
  unsigned Edits = 0;
  std::string Pending;
  ApplyDocument Action;
  Duration NextTry{};
};

Revision readRevision(VirtualFleet &Fleet) {
  auto Leads = Fleet.leader();
  if (!Leads)
    return 0;
  const auto &Documents = Fleet.control(*Leads)->state().documents();
  auto Found = Documents.find("guides");
  return Found == Documents.end() ? 0 : Found->second.ChangedRevision;
}

void act(Operator &Who, VirtualFleet &Fleet, std::mt19937_64 &Random) {
  if (Fleet.now() < Who.NextTry)
    return;
  Who.NextTry = Fleet.now() + milliseconds(200 + Random() % 300);
  if (Who.Pending.empty()) {
    Who.Pending = Who.Name + "-" + std::to_string(++Who.Edits);
    Who.Action = {documentWith(static_cast<uint32_t>(1 + Random() % 90)),
                  readRevision(Fleet)};
  }
  Fleet.submit(Who.Pending, Who.Action, Random() % 3);
  if (Fleet.answerOf(Who.Pending))
    Who.Pending.clear();
}

/// Checks that no two accepted edits claim the same place in the history.
void checkHistory(const VirtualFleet &Fleet) {
  std::map<Revision, std::string> ByRevision;
  std::map<std::string, Revision> ByOperation;
  for (const AcceptedChange &Item : Fleet.accepted()) {
    auto [At, IsNew] =
        ByRevision.emplace(Item.Result.AtRevision, Item.OperationId);
    RC_ASSERT(IsNew || At->second == Item.OperationId);
    auto [Of, IsFirst] =
        ByOperation.emplace(Item.OperationId, Item.Result.AtRevision);
    RC_ASSERT(IsFirst || Of->second == Item.Result.AtRevision);
  }
}

RC_GTEST_PROP(Agreement, AcceptedChangesSurviveFaultsAndNeverRevert, ()) {
  FleetShape Shape = arbitraryShape(15);
  Shape.DuplicatePercent = *rc::gen::inRange(0U, 15U);
  auto Schedule = *faultSchedules(Horizon, 8);
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  std::mt19937_64 Random(Shape.Seed);
  std::vector<Operator> Operators(3);
  for (size_t I = 0; I < Operators.size(); ++I)
    Operators[I].Name = "operator-" + std::to_string(I);
  std::vector<Revision> InForce(Shape.Entries, 0);
  FaultDriver Faults(Fleet, Schedule);
  Duration Until = Fleet.now() + Horizon;
  auto Step = [&] {
    Fleet.run(VirtualFleet::Tick);
    for (size_t I = 0; I < Shape.Entries; ++I) {
      Revision Now = Fleet.entry(I).lease().activeRevision();
      bool Restarted = Now == 0;
      RC_ASSERT(Restarted || Now >= InForce[I]);
      InForce[I] = Now;
    }
  };
  while (Fleet.now() < Until) {
    Faults.drive();
    for (Operator &Who : Operators)
      act(Who, Fleet, Random);
    Step();
  }
  Faults.healAll();
  // Everything accepted is in force within seconds once the parts can talk.
  RC_ASSERT(
      Fleet.runUntil([&] { return Fleet.inForceEverywhere(); }, seconds(18)));
  checkHistory(Fleet);
  Revision Last = 0;
  for (const AcceptedChange &Item : Fleet.accepted())
    if (Item.OperationId.rfind("start", 0) != 0)
      Last = std::max(Last, Item.Result.AtRevision);
  RC_ASSERT(readRevision(Fleet) >= Last);
  RC_ASSERT(Fleet.logsAgree());
}

RC_GTEST_PROP(Agreement, ResendGetsItsFirstAnswerAfterRestartsAndSnapshots,
              ()) {
  FleetShape Shape = arbitraryShape();
  Shape.EntriesPerSnapshot = *rc::gen::inRange<size_t>(3, 30);
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  std::map<std::string, CommandResult> First;
  std::map<std::string, ApplyDocument> Actions;
  auto Edits = *rc::gen::inRange(5, 40);
  for (int I = 0; I < Edits; ++I) {
    std::string Id = "edit-" + std::to_string(I);
    // Every second edit loses its race, and must go on losing it.
    Revision Read = I % 2 == 0 ? readRevision(Fleet) : 1;
    Actions[Id] = {documentWith(static_cast<uint32_t>(I + 1)), Read};
    auto Result = Fleet.change(Id, Actions[Id], seconds(5));
    RC_ASSERT(Result.has_value());
    First[Id] = *Result;
  }
  size_t Lost = *rc::gen::inRange<size_t>(0, 3);
  for (size_t I = 0; I < Shape.Controls; ++I) {
    Fleet.crashControl(I, /*LoseDisk=*/false);
    Fleet.restartControl(I);
    if (I == Lost)
      Fleet.run(seconds(2));
  }
  Revision Before = 0;
  RC_ASSERT(
      Fleet.runUntil([&] { return Fleet.leader().has_value(); }, seconds(10)));
  Before = readRevision(Fleet);
  for (const auto &[Id, Result] : First) {
    auto Again = Fleet.change(Id, Actions[Id], seconds(5));
    RC_ASSERT(Again.has_value());
    RC_ASSERT(*Again == Result);
  }
  RC_ASSERT(readRevision(Fleet) == Before);
}

RC_GTEST_PROP(Agreement, AReplacedDiskNeverCostsAnAcceptedChange, ()) {
  FleetShape Shape = arbitraryShape(40);
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  // Each VM in turn loses its disk as soon as the one before is repaired.
  auto Order = *rc::gen::container<std::vector<size_t>>(
      4, rc::gen::inRange<size_t>(0, 3));
  Revision Accepted = 0;
  unsigned Number = 0;
  for (size_t Lost : Order) {
    auto Result = Fleet.change(
        "edit-" + std::to_string(++Number),
        ApplyDocument{documentWith(Number), readRevision(Fleet)}, seconds(10));
    RC_ASSERT(Result.has_value());
    if (Result->Status == CommandStatus::Accepted)
      Accepted = Result->AtRevision;
    Fleet.crashControl(Lost, /*LoseDisk=*/true);
    Fleet.run(milliseconds(*rc::gen::inRange(0, 400)));
    Fleet.restartControl(Lost);
    auto Whole = [&] {
      auto Leads = Fleet.leader();
      return Leads && Fleet.disksAreMembers(*Leads) &&
             Fleet.control(*Leads)->raft().membership().Voters.size() == 3;
    };
    RC_ASSERT(Fleet.runUntil(Whole, seconds(60)));
    RC_ASSERT(readRevision(Fleet) == Accepted);
  }
}

RC_GTEST_PROP(Agreement, AnIsolatedVoterDoesNotUnseatTheLeader, ()) {
  FleetShape Shape = arbitraryShape();
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  size_t Leads = *Fleet.leader();
  size_t Isolated = (Leads + 1) % 3;
  Fleet.network().cut(Isolated, seconds(30));
  Fleet.run(seconds(30));
  Term Before = Fleet.control(Leads)->raft().term();
  RC_ASSERT(Fleet.leader() == Leads);
  Fleet.run(seconds(5));
  RC_ASSERT(Fleet.leader() == Leads);
  RC_ASSERT(Fleet.control(Leads)->raft().term() == Before);
}

RC_GTEST_PROP(Agreement, AChangeIsInForceWithinTwoSecondsWhereReachable, ()) {
  constexpr Duration Bound = seconds(2);
  FleetShape Shape = arbitraryShape();
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  // A frozen entry VM and a lost control VM must not hold up the others.
  auto Frozen = *rc::gen::inRange<size_t>(0, 4);
  if (Frozen < Shape.Entries)
    Fleet.network().freeze({NodeKind::Entry, Frozen}, seconds(30));
  size_t Leads = *Fleet.leader();
  if (*rc::gen::arbitrary<bool>())
    Fleet.crashControl((Leads + 1) % Shape.Controls, /*LoseDisk=*/false);
  Fleet.run(milliseconds(*rc::gen::inRange(0, 1000)));
  TeamDocument Document;
  Document.Team = "guides";
  Document.Limit = 3;
  auto Result = Fleet.change("edit", ApplyDocument{Document, 0}, seconds(10));
  RC_ASSERT(Result.has_value());
  Fleet.run(Bound);
  for (size_t I = 0; I < Shape.Entries; ++I)
    if (I != Frozen)
      RC_ASSERT(Fleet.entry(I).lease().activeRevision() >= Result->AtRevision);
}

RC_GTEST_PROP(Agreement, NeverTwoLeasesAtOnce, ()) {
  FleetShape Shape = arbitraryShape(20);
  auto Schedule = *faultSchedules(Horizon, 12);
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  FaultDriver Faults(Fleet, Schedule);
  Duration Until = Fleet.now() + Horizon;
  while (Fleet.now() < Until) {
    Faults.drive();
    Fleet.run(VirtualFleet::Tick);
    unsigned Leading = 0;
    for (size_t I = 0; I < Shape.Controls; ++I) {
      bool Frozen = Fleet.network().frozen({NodeKind::Control, I});
      if (Fleet.control(I) && !Frozen && Fleet.control(I)->isLeader())
        ++Leading;
    }
    RC_ASSERT(Leading <= 1U);
  }
}

} // namespace
} // namespace mimosashunt::test
