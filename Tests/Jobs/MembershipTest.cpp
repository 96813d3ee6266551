// Tests of how the group of the control VMs changes its members: the plan by
// itself, and drawn sequences of losses and replacements of real replicas.

#include "Support/VirtualGroup.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

/// Longer than a VM needs to catch up and a lost one to be replaced.
constexpr Duration CalmTime = seconds(6);

/// What happens to one control VM.
enum class Loss {
  Replaced,        // Gone for good; an empty one comes at another address.
  ReplacedPlanned, // The same, but the empty one comes first.
  ReplacedAtUsed,  // The empty one comes at the address of one that is gone.
  DiskLost,
  DiskComesBack, // Another disk takes the place of the first for a while.
  CutOff,
  Restarted,
  LeaderCutOff,
  LeaderReplaced,
};

/// A group that losses are applied to.
class ChangingGroup {
public:
  explicit ChangingGroup(size_t Size)
      : Group({"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}) {
    Group.Step = milliseconds(5);
    Group.addSeeds();
    while (Group.Vms.size() < Size)
      Group.add(nextAddress(), ++LastDisk, true);
    Group.run(CalmTime);
  }

  /// Applies \p Kind to the VM that \p Choice selects and lets \p Away pass in
  /// which it is lost.
  void apply(Loss Kind, size_t Choice, Duration Away) {
    auto At = std::next(Group.Vms.begin(),
                        static_cast<ptrdiff_t>(Choice % Group.Vms.size()));
    std::string Address = At->first;
    bool HitsLeader =
        Kind == Loss::LeaderCutOff || Kind == Loss::LeaderReplaced;
    if (HitsLeader && Group.leader() != nullptr)
      Address = Group.leader()->Address;
    switch (Kind) {
    case Loss::Replaced:
    case Loss::LeaderReplaced:
      return replace(Address, nextAddress(), Away);
    case Loss::ReplacedAtUsed:
      return replace(Address, UsedAddress.empty() ? nextAddress() : UsedAddress,
                     Away);
    case Loss::ReplacedPlanned:
      Group.add(nextAddress(), ++LastDisk, false);
      Group.run(Away + CalmTime);
      return Group.remove(Address);
    case Loss::DiskLost:
      Group.remove(Address);
      Group.run(Away);
      Group.add(Address, ++LastDisk, false);
      return;
    case Loss::DiskComesBack:
      return comeBack(Address, Away);
    case Loss::CutOff:
    case Loss::LeaderCutOff:
      Group.IsolatedVms.insert(Address);
      Group.run(Away);
      Group.IsolatedVms.erase(Address);
      return;
    case Loss::Restarted:
      Group.Vms[Address]->Node.reset();
      Group.run(Away);
      Group.Vms[Address]->start();
      return;
    }
  }

  /// Checks that the group bears the next loss after a calm time, and that
  /// nothing which was committed is lost.
  void check(const std::string &After) {
    Group.run(CalmTime);
    ASSERT_NE(Group.leader(), nullptr) << After;
    EXPECT_EQ(Group.MostLeaders, 1U) << After;
    Words.push_back("word" + std::to_string(Words.size()));
    EXPECT_TRUE(Group.propose(Words.back())) << After;
    Group.run(milliseconds(300));
    ASSERT_NE(Group.leader(), nullptr) << After;
    const Membership &Members = Group.leader()->Node->membership();
    for (const auto *List : {&Members.Voters, &Members.Learners})
      for (const Member &Item : *List) {
        auto Vm = Group.Vms.find(Item.Address);
        EXPECT_TRUE(Vm != Group.Vms.end() && Vm->second->Disk == Item.Disk)
            << After << ": " << Item.Address << " is gone";
      }
    size_t Size = Group.Vms.size();
    EXPECT_EQ(Members.Voters.size() + Members.Learners.size(), Size) << After;
    size_t OddSize = Size % 2 == 1 ? Size : Size - 1;
    EXPECT_GE(Members.Voters.size(), std::min<size_t>(OddSize, 5)) << After;
    for (const auto &[Address, Vm] : Group.Vms)
      EXPECT_EQ(Vm->State.AppliedWords, Words) << After << ": " << Address;
  }

  VirtualGroup Group;

private:
  std::string nextAddress() {
    return "10.0.1." + std::to_string(++LastHost) + ":1";
  }

  void replace(const std::string &Old, const std::string &New, Duration Away) {
    UsedAddress = Old;
    Group.remove(Old);
    Group.run(Away);
    Group.add(New, ++LastDisk, false);
  }

  void comeBack(const std::string &Address, Duration Away) {
    std::unique_ptr<ControlVm> First = std::move(Group.Vms[Address]);
    First->Node.reset();
    Group.add(Address, ++LastDisk, false);
    Group.run(Away + CalmTime);
    Group.Vms[Address] = std::move(First);
    Group.Vms[Address]->start();
  }

  DiskId LastDisk = 100;
  unsigned LastHost = 0;
  std::string UsedAddress;
  std::vector<std::string> Words;
};

// Guards against a group of three that has no leader from the third replacement
// on, since the lost VMs still count.
TEST(Membership, AGroupOfThreeOutlivesSevenReplacements) {
  ChangingGroup Vms(3);
  for (size_t I = 0; I < 7; ++I) {
    Vms.apply(Loss::Replaced, I, seconds(1));
    Vms.check("replacement " + std::to_string(I + 1));
    if (Vms.Group.leader() == nullptr)
      return;
  }
}

// Guards against one replacement that ends the group at a later lost disk.
TEST(Membership, AGroupOfThreeOutlivesLostDisksAfterAReplacement) {
  ChangingGroup Vms(3);
  Vms.apply(Loss::Replaced, 0, seconds(1));
  Vms.check("the replacement");
  for (size_t I = 0; I < 4 && Vms.Group.leader() != nullptr; ++I) {
    Vms.apply(Loss::DiskLost, I, seconds(1));
    Vms.check("lost disk " + std::to_string(I + 1));
  }
}

// Guards against a new VM that never gets a vote since the leader forgets, at
// the latest a second after its last request to join, that it was there.
TEST(Membership, ANewVmThatIsSlowToReplyBecomesAMember) {
  ChangingGroup Vms(3);
  Vms.Group.add("10.0.9.9:1", 900, false);
  Vms.Group.run(milliseconds(700));
  ASSERT_TRUE(Vms.Group.leader()->Node->membership().isLearner(900));
  Vms.Group.IsolatedVms.insert("10.0.9.9:1");
  Vms.Group.run(seconds(3));
  EXPECT_TRUE(Vms.Group.leader()->Node->membership().isLearner(900));
  Vms.Group.IsolatedVms.clear();
  Vms.check("a slow start");
}

// Guards against logs that do not tell a lost majority from a lost election.
TEST(Membership, ALeaderWithoutAQuorumNamesTheSilentVoters) {
  ChangingGroup Vms(3);
  ControlVm *Deposed = Vms.Group.leader();
  ASSERT_NE(Deposed, nullptr);
  std::vector<Member> Others = Deposed->Node->membership().Voters;
  std::erase_if(Others,
                [&](const Member &M) { return M.Disk == Deposed->Disk; });
  Vms.Group.IsolatedVms.insert(Deposed->Address);
  Vms.Group.run(seconds(2));
  EXPECT_EQ(Deposed->Node->log().silentVoters(), Others);
  Vms.Group.IsolatedVms.clear();
  Vms.check("a cut");
  EXPECT_TRUE(Vms.Group.leader()->Node->log().silentVoters().empty());
}

// Guards against members that are gone and still count, whatever was lost
// before: the next loss must be borne.
RC_GTEST_PROP(Membership, EachLossIsBorneAfterAnyOthers, ()) {
  constexpr int Kinds = static_cast<int>(Loss::LeaderReplaced) + 1;
  ChangingGroup Vms(*rc::gen::inRange<size_t>(3, 9));
  std::string Past;
  for (int Left = 8; Left > 0 && Vms.Group.leader() != nullptr; --Left) {
    auto Kind = static_cast<Loss>(*rc::gen::inRange(0, Kinds));
    auto Choice = *rc::gen::inRange<size_t>(0, 60);
    milliseconds Away(*rc::gen::inRange(300, 5000));
    Past += " " + std::to_string(static_cast<int>(Kind));
    Vms.apply(Kind, Choice, Away);
    Vms.check("losses" + Past);
    RC_ASSERT(!::testing::Test::HasFailure());
  }
}

} // namespace
