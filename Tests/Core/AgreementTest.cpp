// Tests that accepted configuration changes are replicated, durable, take
// effect everywhere and are never reverted, and that each command of concurrent
// operators has one result, also when it is resent.

#include <gtest/gtest.h>

#include "Support/FaultSchedule.h"
#include "Support/VirtualFleet.h"

#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

constexpr Duration Horizon = seconds(12);

TeamDocument makeDocument(uint32_t Share) {
  TeamDocument Document;
  Document.Team = "guides";
  Document.Share = Share;
  Document.Limit = 4;
  return Document;
}

/// Simulates an operator who edits the document that was last read and resends
/// each edit under the same operation id until there is a result.
struct Operator {
  std::string Name;
  unsigned Edits = 0;
  std::string PendingId;
  ApplyDocument Action;
  Duration NextAttemptAt{};
};

Revision readRevision(VirtualFleet &Fleet) {
  auto Leader = Fleet.leader();
  if (!Leader)
    return 0;
  const auto &Documents = Fleet.control(*Leader)->state().documents();
  auto Found = Documents.find("guides");
  return Found == Documents.end() ? 0 : Found->second.ChangedRevision;
}

void editDocument(Operator &Editor, VirtualFleet &Fleet,
                  std::mt19937_64 &Random) {
  if (Fleet.now() < Editor.NextAttemptAt)
    return;
  Editor.NextAttemptAt = Fleet.now() + milliseconds(200 + Random() % 300);
  if (Editor.PendingId.empty()) {
    Editor.PendingId = Editor.Name + "-" + std::to_string(++Editor.Edits);
    Editor.Action = {makeDocument(static_cast<uint32_t>(1 + Random() % 90)),
                     readRevision(Fleet)};
  }
  Fleet.submit(Editor.PendingId, Editor.Action, Random() % 3);
  if (Fleet.answerOf(Editor.PendingId))
    Editor.PendingId.clear();
}

/// Checks that no two accepted edits have the same revision, and that no edit
/// has two.
void checkHistory(const VirtualFleet &Fleet) {
  std::map<Revision, std::string> ByRevision;
  std::map<std::string, Revision> ByOperation;
  for (const AcceptedChange &Change : Fleet.accepted()) {
    auto [RevisionEntry, IsNewRevision] =
        ByRevision.emplace(Change.Result.AtRevision, Change.OperationId);
    RC_ASSERT(IsNewRevision || RevisionEntry->second == Change.OperationId);
    auto [OperationEntry, IsNewOperation] =
        ByOperation.emplace(Change.OperationId, Change.Result.AtRevision);
    RC_ASSERT(IsNewOperation ||
              OperationEntry->second == Change.Result.AtRevision);
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
    for (Operator &Editor : Operators)
      editDocument(Editor, Fleet, Random);
    Step();
  }
  Faults.healAll();
  // Once all VMs can communicate, every accepted change takes effect within
  // seconds.
  RC_ASSERT(
      Fleet.runUntil([&] { return Fleet.inForceEverywhere(); }, seconds(18)));
  checkHistory(Fleet);
  Revision Last = 0;
  for (const AcceptedChange &Change : Fleet.accepted())
    if (Change.OperationId.rfind("start", 0) != 0)
      Last = std::max(Last, Change.Result.AtRevision);
  RC_ASSERT(readRevision(Fleet) >= Last);
  RC_ASSERT(Fleet.logsAgree());
}

RC_GTEST_PROP(Agreement, AResendReturnsTheFirstResultAfterRestartsAndSnapshots,
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
    // Every second edit names an outdated revision. Its resend must be refused,
    // too.
    Revision Read = I % 2 == 0 ? readRevision(Fleet) : 1;
    Actions[Id] = {makeDocument(static_cast<uint32_t>(I + 1)), Read};
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
    auto Resent = Fleet.change(Id, Actions[Id], seconds(5));
    RC_ASSERT(Resent.has_value());
    RC_ASSERT(*Resent == Result);
  }
  RC_ASSERT(readRevision(Fleet) == Before);
}

RC_GTEST_PROP(Agreement, AReplacedDiskNeverCostsAnAcceptedChange, ()) {
  FleetShape Shape = arbitraryShape(40);
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  // A VM loses its disk as soon as the group is complete after the previous
  // loss.
  auto Order = *rc::gen::container<std::vector<size_t>>(
      4, rc::gen::inRange<size_t>(0, 3));
  Revision Accepted = 0;
  unsigned LastEdit = 0;
  for (size_t Lost : Order) {
    auto Result =
        Fleet.change("edit-" + std::to_string(++LastEdit),
                     ApplyDocument{makeDocument(LastEdit), readRevision(Fleet)},
                     seconds(10));
    RC_ASSERT(Result.has_value());
    if (Result->Status == CommandStatus::Accepted)
      Accepted = Result->AtRevision;
    Fleet.crashControl(Lost, /*LoseDisk=*/true);
    Fleet.run(milliseconds(*rc::gen::inRange(0, 400)));
    Fleet.restartControl(Lost);
    auto IsGroupComplete = [&] {
      auto Leader = Fleet.leader();
      return Leader && Fleet.disksAreMembers(*Leader) &&
             Fleet.control(*Leader)->raft().membership().Voters.size() == 3;
    };
    RC_ASSERT(Fleet.runUntil(IsGroupComplete, seconds(60)));
    RC_ASSERT(readRevision(Fleet) == Accepted);
  }
}

/// True if the leader lists the present disk of each control VM as a voter, and
/// no other disk.
bool hasNoLostMembers(VirtualFleet &Fleet, size_t Controls) {
  auto Leader = Fleet.leader();
  if (!Leader || !Fleet.disksAreMembers(*Leader))
    return false;
  const Membership &Members = Fleet.control(*Leader)->raft().membership();
  return Members.Voters.size() == Controls && Members.Learners.empty();
}

// Guards against a disk that was lost before it got a vote and stays listed,
// and is sent snapshots, for good.
TEST(Agreement, ALearnerThatLosesItsDiskDoesNotStayListed) {
  VirtualFleet Fleet({});
  ASSERT_TRUE(Fleet.start());
  size_t Leader = *Fleet.leader();
  size_t Lost = (Leader + 1) % 3;
  Fleet.crashControl(Lost, /*LoseDisk=*/true);
  Fleet.restartControl(Lost);
  auto IsLearnerListed = [&] {
    return !Fleet.control(Leader)->raft().membership().Learners.empty();
  };
  ASSERT_TRUE(Fleet.runUntil(IsLearnerListed, seconds(10)));
  Fleet.crashControl(Lost, /*LoseDisk=*/true);
  Fleet.restartControl(Lost);
  EXPECT_TRUE(
      Fleet.runUntil([&] { return hasNoLostMembers(Fleet, 3); }, seconds(60)));
}

// Guards against a request to join that is answered long after its disk was
// lost, by a leader that was cut off meanwhile.
TEST(Agreement, ALeaderThatWasCutOffAddsNoDiskThatIsGone) {
  constexpr size_t Count = 5;
  constexpr size_t CutOff = 2; // Alone in its data centre.
  FleetShape Shape;
  Shape.Controls = Count;
  VirtualFleet Fleet(Shape);
  ASSERT_TRUE(Fleet.start());
  size_t Lost = Fleet.leader() == 4 ? 3 : 4;
  auto LoseDisk = [&] {
    Fleet.crashControl(Lost, /*LoseDisk=*/true);
    Fleet.restartControl(Lost);
    auto IsReplaced = [&] {
      auto Leader = Fleet.leader();
      if (!Leader)
        return false;
      const Membership &Members = Fleet.control(*Leader)->raft().membership();
      DiskId New = Fleet.control(Lost)->raft().self();
      return Members.isVoter(New) || Members.isLearner(New);
    };
    return Fleet.runUntil(IsReplaced, seconds(20));
  };
  ASSERT_TRUE(LoseDisk());
  DiskId Gone = Fleet.control(Lost)->raft().self();
  Fleet.network().cut(CutOff, seconds(20));
  ASSERT_TRUE(LoseDisk());
  Fleet.run(seconds(22));
  // Whoever leads is stopped until it is the one that was cut off.
  for (int Attempt = 0; Attempt < 40 && Fleet.leader() != CutOff; ++Attempt) {
    size_t Leader = Fleet.leader().value_or(Lost);
    Fleet.crashControl(Leader, /*LoseDisk=*/false);
    Fleet.run(seconds(2));
    Fleet.restartControl(Leader);
    Fleet.run(seconds(1));
  }
  ASSERT_EQ(Fleet.leader(), CutOff);
  auto IsGoneListed = [&] {
    return Fleet.control(CutOff)->raft().membership().isLearner(Gone);
  };
  EXPECT_FALSE(Fleet.runUntil(IsGoneListed, seconds(10)));
  EXPECT_TRUE(Fleet.runUntil([&] { return hasNoLostMembers(Fleet, Count); },
                             seconds(60)));
}

RC_GTEST_PROP(Agreement, AnIsolatedVoterDoesNotUnseatTheLeader, ()) {
  FleetShape Shape = arbitraryShape();
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  size_t Leader = *Fleet.leader();
  size_t Isolated = (Leader + 1) % 3;
  Fleet.network().cut(Isolated, seconds(30));
  Fleet.run(seconds(30));
  Term Before = Fleet.control(Leader)->raft().term();
  RC_ASSERT(Fleet.leader() == Leader);
  Fleet.run(seconds(5));
  RC_ASSERT(Fleet.leader() == Leader);
  RC_ASSERT(Fleet.control(Leader)->raft().term() == Before);
}

RC_GTEST_PROP(Agreement, AChangeIsInForceWithinTwoSecondsWhereReachable, ()) {
  constexpr Duration ActivationBound = seconds(2);
  FleetShape Shape = arbitraryShape();
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  // A frozen entry VM and a lost control VM must not delay the others.
  auto Frozen = *rc::gen::inRange<size_t>(0, 4);
  if (Frozen < Shape.Entries)
    Fleet.network().freeze({NodeKind::Entry, Frozen}, seconds(30));
  size_t Leader = *Fleet.leader();
  if (*rc::gen::arbitrary<bool>())
    Fleet.crashControl((Leader + 1) % Shape.Controls, /*LoseDisk=*/false);
  Fleet.run(milliseconds(*rc::gen::inRange(0, 1000)));
  TeamDocument Document;
  Document.Team = "guides";
  Document.Limit = 3;
  auto Result = Fleet.change("edit", ApplyDocument{Document, 0}, seconds(10));
  RC_ASSERT(Result.has_value());
  Fleet.run(ActivationBound);
  for (size_t I = 0; I < Shape.Entries; ++I)
    if (I != Frozen)
      RC_ASSERT(Fleet.entry(I).lease().activeRevision() >= Result->AtRevision);
}

RC_GTEST_PROP(Agreement, AtMostOneLeaderLease, ()) {
  FleetShape Shape = arbitraryShape(20);
  auto Schedule = *faultSchedules(Horizon, 12);
  VirtualFleet Fleet(Shape);
  RC_ASSERT(Fleet.start());
  FaultDriver Faults(Fleet, Schedule);
  Duration Until = Fleet.now() + Horizon;
  while (Fleet.now() < Until) {
    Faults.drive();
    Fleet.run(VirtualFleet::Tick);
    unsigned LeaseHolders = 0;
    for (size_t I = 0; I < Shape.Controls; ++I) {
      bool Frozen = Fleet.network().frozen({NodeKind::Control, I});
      if (Fleet.control(I) && !Frozen && Fleet.control(I)->isLeader())
        ++LeaseHolders;
    }
    RC_ASSERT(LeaseHolders <= 1U);
  }
}

} // namespace
} // namespace mimosashunt::test
