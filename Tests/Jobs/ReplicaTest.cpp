// Tests of bootstrapping, joining and replacing control VMs over an in-memory
// network in virtual time.

#include "Agreement/RaftCodec.h"
#include "Support/VirtualGroup.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

const std::vector<std::string> ThreeSeeds = {"a:1", "b:1", "c:1"};

TEST(Replica, SeedsBootstrapOneGroupThatAFourthVmJoins) {
  VirtualGroup Group(ThreeSeeds);
  Group.addSeeds();
  Group.add("d:1", 13, true);
  Group.run(seconds(4));
  ASSERT_NE(Group.leader(), nullptr);
  EXPECT_EQ(Group.leader()->Node->membership().Voters.size(), 3U);
  EXPECT_EQ(Group.leader()->Node->membership().Learners.size(), 1U);
  EXPECT_TRUE(Group.propose("word"));
  Group.run(milliseconds(300));
  for (const auto &[Address, Item] : Group.Vms)
    EXPECT_EQ(Item->State.AppliedWords, std::vector<std::string>{"word"})
        << Address;
}

TEST(Replica, NoGroupIsBootstrappedWhileASeedIsMissing) {
  VirtualGroup Group(ThreeSeeds);
  Group.add("a:1", 10, true);
  Group.add("b:1", 11, true);
  Group.run(seconds(4));
  EXPECT_EQ(Group.leader(), nullptr);
  EXPECT_TRUE(Group.Vms["a:1"]->Node->membership().Voters.empty());
  Group.add("c:1", 12, true);
  Group.run(seconds(3));
  EXPECT_NE(Group.leader(), nullptr);
}

TEST(Replica, EmptyDisksDoNotBootstrapAfterTheFirstStart) {
  VirtualGroup Group(ThreeSeeds);
  for (size_t I = 0; I < ThreeSeeds.size(); ++I)
    Group.add(ThreeSeeds[I], 10 + I, /*IsFirstStart=*/false);
  Group.run(seconds(4));
  EXPECT_EQ(Group.leader(), nullptr);
}

TEST(Replica, ANewDiskReplacesTheLostDiskOfItsVm) {
  VirtualGroup Group(ThreeSeeds);
  for (size_t I = 0; I < ThreeSeeds.size(); ++I)
    Group.add(ThreeSeeds[I], 10 + I, true);
  Group.run(seconds(3));
  ASSERT_TRUE(Group.propose("before"));
  std::string ReplacedVm;
  for (const std::string &Address : ThreeSeeds)
    if (Group.leader()->Address != Address)
      ReplacedVm = Address;
  Group.add(ReplacedVm, 99, /*IsFirstStart=*/false);
  Group.run(seconds(4));
  ASSERT_NE(Group.leader(), nullptr);
  EXPECT_TRUE(Group.leader()->Node->membership().isVoter(99));
  EXPECT_EQ(Group.leader()->Node->membership().Voters.size(), 3U);
  EXPECT_EQ(Group.Vms[ReplacedVm]->State.AppliedWords,
            std::vector<std::string>{"before"});
}

TEST(Replica, AnUnresponsiveVoterIsReplacedAndRejoinsTheGroup) {
  VirtualGroup Group(ThreeSeeds);
  for (size_t I = 0; I < ThreeSeeds.size(); ++I)
    Group.add(ThreeSeeds[I], 10 + I, true);
  Group.add("d:1", 20, true);
  Group.run(seconds(4));
  std::string IsolatedVoter;
  for (const std::string &Address : ThreeSeeds)
    if (Group.leader()->Address != Address)
      IsolatedVoter = Address;
  Group.IsolatedVms.insert(IsolatedVoter);
  Group.run(seconds(5));
  ASSERT_NE(Group.leader(), nullptr);
  EXPECT_TRUE(Group.leader()->Node->membership().isVoter(20));
  EXPECT_EQ(Group.leader()->Node->membership().Voters.size(), 3U);
  EXPECT_TRUE(Group.propose("while it was away"));
  Group.IsolatedVms.erase(IsolatedVoter);
  Group.run(seconds(5));
  EXPECT_EQ(Group.Vms[IsolatedVoter]->State.AppliedWords,
            std::vector<std::string>{"while it was away"});
}

TEST(Replica, AnIsolatedLeaderCommitsNothing) {
  VirtualGroup Group(ThreeSeeds);
  for (size_t I = 0; I < ThreeSeeds.size(); ++I)
    Group.add(ThreeSeeds[I], 10 + I, true);
  Group.run(seconds(3));
  ControlVm *OldLeader = Group.leader();
  Group.IsolatedVms.insert(OldLeader->Address);
  ProposalOutcome Result = ProposalOutcome::Committed;
  OldLeader->Node->propose("lost", [&](ProposalOutcome O) { Result = O; });
  Group.run(seconds(3));
  EXPECT_NE(Result, ProposalOutcome::Committed);
  EXPECT_FALSE(OldLeader->Node->isLeader());
  ASSERT_NE(Group.leader(), nullptr);
  EXPECT_TRUE(Group.propose("kept"));
  Group.IsolatedVms.clear();
  Group.run(seconds(2));
  EXPECT_EQ(OldLeader->State.AppliedWords, std::vector<std::string>{"kept"});
}

TEST(Replica, NewMembersReceiveALongLogAsASnapshot) {
  VirtualGroup Group(ThreeSeeds);
  for (size_t I = 0; I < ThreeSeeds.size(); ++I)
    Group.add(ThreeSeeds[I], 10 + I, true);
  Group.run(seconds(3));
  for (int I = 0; I < 60; ++I)
    ASSERT_TRUE(Group.propose(std::string(200, 'x') + std::to_string(I)));
  EXPECT_GT(Group.leader()->Node->log().firstIndex(), 20U);
  ControlVm &NewVm = Group.add("d:1", 20, true);
  Group.run(seconds(4));
  EXPECT_EQ(NewVm.State.AppliedWords.size(), 60U);
}

// A pause for the whole state's snapshot could not be told from other pauses.
TEST(Replica, EachCompactionIsReportedWithItsIndexAndSize) {
  VirtualGroup Group(ThreeSeeds);
  Group.addSeeds();
  Group.run(seconds(3));
  ASSERT_NE(Group.leader(), nullptr);
  Replica &Leader = *Group.leader()->Node;
  std::vector<std::pair<LogIndex, size_t>> Reported;
  Leader.setCompactionHandler([&](LogIndex Index, size_t Bytes) {
    Reported.emplace_back(Index, Bytes);
  });
  size_t WordBytes = 0;
  for (int I = 0; I < 60; ++I) {
    std::string Word = std::string(200, 'x') + std::to_string(I);
    WordBytes += Word.size();
    ASSERT_TRUE(Group.propose(Word));
  }
  ASSERT_GT(Reported.size(), 1U);
  EXPECT_EQ(Reported.back().first + 1, Leader.log().firstIndex());
  EXPECT_GT(Reported.back().second, Reported.front().second);
  EXPECT_LE(Reported.back().second, WordBytes + 60);
}

TEST(Founding, AnExistingGroupTakesPrecedenceOverCollectedOffers) {
  Member A{10, "a:1", "a:1"};
  Member B{11, "b:1", "b:1"};
  Member C{12, "c:1", "c:1"};
  Member WipedC{13, "c:1", "c:1"};
  GroupBootstrap Bootstrap(B, ThreeSeeds, true);
  EXPECT_EQ(Bootstrap.receive({WipedC, {}}), std::nullopt);
  auto List = Bootstrap.receive({A, {A, B, C}});
  ASSERT_TRUE(List.has_value());
  EXPECT_EQ(*List, (std::vector<Member>{A, B, C}));
}

TEST(Founding, OffersOfNonSeedsAreIgnored) {
  GroupBootstrap Bootstrap({10, "a:1", "a:1"}, ThreeSeeds, true);
  EXPECT_EQ(Bootstrap.receive({{11, "b:1", "b:1"}, {}}), std::nullopt);
  EXPECT_EQ(Bootstrap.receive({{14, "x:1", "x:1"}, {}}), std::nullopt);
  EXPECT_EQ(Bootstrap.receive({{NoDisk, "c:1", "c:1"}, {}}), std::nullopt);
}

TEST(RaftCodec, RejectsMalformedBytes) {
  std::vector<RaftMessage> Result;
  EXPECT_FALSE(decodeRaftMessages("", Result));
  EXPECT_FALSE(decodeRaftMessages("garbage", Result));
  std::string Whole = encodeRaftMessages(
      {{1, 2, 3, AppendRequest{4, 5, {LogEntry{}}, 6, Instant(seconds(7))}}});
  ASSERT_TRUE(decodeRaftMessages(Whole, Result));
  for (size_t Length = 1; Length < Whole.size(); ++Length)
    EXPECT_FALSE(decodeRaftMessages(Whole.substr(0, Length), Result));
}

// Guards against a member that stores such a snapshot and ends by it.
TEST(Replica, ASnapshotThatCannotBeReadIsNotInstalled) {
  VirtualGroup Group(ThreeSeeds);
  Group.addSeeds();
  Group.run(seconds(4));
  ASSERT_NE(Group.leader(), nullptr);
  const Raft &Leader = Group.leader()->Node->log();
  for (auto &[Address, Item] : Group.Vms)
    if (Item.get() != Group.leader())
      Item->Node->receive({Leader.self(), Item->Node->log().self(),
                           Leader.term(),
                           SnapshotRequest{{1000, Leader.term(),
                                            Leader.membership(), "unreadable"},
                                           Group.Timers.now()}});
  EXPECT_TRUE(Group.propose("word"));
  Group.run(milliseconds(300));
  for (const auto &[Address, Item] : Group.Vms) {
    EXPECT_FALSE(Item->Node->storeError());
    EXPECT_EQ(Item->State.AppliedWords, std::vector<std::string>{"word"});
  }
}

// Guards against a read beyond the log after a reply with a damaged index, and
// against a leader's lease that only a reply with a time in the future has
// confirmed.
TEST(Replica, RepliesWithOddIndicesAndTimesChangeNothing) {
  VirtualGroup Group(ThreeSeeds);
  Group.addSeeds();
  Group.run(seconds(4));
  ASSERT_NE(Group.leader(), nullptr);
  ASSERT_TRUE(Group.propose("word"));
  Replica &Leader = *Group.leader()->Node;
  for (const std::string &Address : ThreeSeeds)
    if (Address != Group.leader()->Address)
      Group.IsolatedVms.insert(Address);
  Instant Start = Group.Timers.now();
  for (const Member &Voter : Leader.membership().Voters)
    for (uint64_t Index : {uint64_t{1} << 40, UINT64_MAX}) {
      AppendReply Rejection{false, Index, Index, Start};
      AppendReply Late{true, 0, 0, Instant(Duration::max())};
      for (const AppendReply &Reply : {Rejection, Late})
        Leader.receive(
            {Voter.Disk, Leader.log().self(), Leader.log().term(), Reply});
    }
  RaftOptions Options;
  while (Leader.log().role() == RaftRole::Leader) {
    Group.run(milliseconds(1));
    if (Group.Timers.now() - Start > Options.ElectionTimeout * 9 / 10) {
      EXPECT_FALSE(Leader.isLeader());
    }
  }
}

} // namespace
