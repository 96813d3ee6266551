// Tests of the plan for a group's membership: what it does with one view, and
// what holds for every view.

#include "Core/MembershipPlanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace mimosashunt;

namespace {

constexpr DiskId LeaderDisk = 1;
const Instant Now(seconds(1000));
const MembershipOptions Options;

Member memberOf(DiskId Disk) {
  std::string Name = "vm-" + std::to_string(Disk);
  return {Disk, Name, Name + ":1"};
}

/// What the leader knows, with members that have just replied.
struct Known {
  explicit Known(size_t Voters) {
    View.Self = LeaderDisk;
    View.Now = Now;
    for (DiskId Disk = 1; Disk <= Voters; ++Disk)
      View.Members.Voters.push_back(memberOf(Disk));
    for (const Member &Voter : View.Members.Voters)
      View.Contacts[Voter.Disk] = {Now, true};
  }

  Known &learner(DiskId Disk, bool IsCaughtUp = true) {
    View.Members.Learners.push_back(memberOf(Disk));
    View.Contacts[Disk] = {Now, IsCaughtUp};
    return *this;
  }
  Known &silent(DiskId Disk, Duration For = seconds(10)) {
    View.Contacts[Disk].RepliedAt = Now - For;
    return *this;
  }
  Known &asks(const Member &Candidate, Duration Ago = Duration::zero()) {
    View.JoinRequests[Candidate.Address] = {Candidate, Now - Ago};
    return *this;
  }
  std::optional<PlannedMembershipChange> plan() const {
    return planMembership(View, Options);
  }

  MembershipView View;
};

TEST(MembershipPlanner, AGroupInWhichAllReplyStaysAsItIs) {
  EXPECT_EQ(Known(3).plan(), std::nullopt);
  EXPECT_EQ(Known(3).learner(4).plan(), std::nullopt);
  EXPECT_EQ(Known(5).learner(6).learner(7).plan(), std::nullopt);
}

TEST(MembershipPlanner, LearnersGetAVoteUpToTheLargestOddSize) {
  PlannedMembershipChange Promotion{PromoteLearner{4},
                                    MembershipReason::VoterWanted};
  EXPECT_EQ(Known(3).learner(4).learner(5).plan(), Promotion);
  EXPECT_EQ(Known(2).learner(4).plan(), Promotion);
  EXPECT_EQ(Known(3).learner(4, false).learner(5, false).plan(), std::nullopt);
}

// Guards against lost learners that raise the number of voters.
TEST(MembershipPlanner, ALearnerThatIsNotHeardCallsForNoFurtherVoter) {
  EXPECT_EQ(Known(3).learner(4).learner(5).silent(5, seconds(1)).plan(),
            std::nullopt);
  EXPECT_EQ(Known(3).learner(4).silent(4).plan(),
            (PlannedMembershipChange{RemoveMember{4},
                                     MembershipReason::LearnerLost}));
}

TEST(MembershipPlanner, AReadyLearnerTakesALostVotersPlace) {
  EXPECT_EQ(Known(3).learner(4).silent(2).plan(),
            (PlannedMembershipChange{RemoveMember{2},
                                     MembershipReason::VoterReplaced}));
  EXPECT_EQ(Known(3).learner(4, false).silent(2).plan(), std::nullopt);
  EXPECT_EQ(Known(3).learner(4).silent(2, seconds(1)).plan(), std::nullopt);
}

// Guards against the lost voters of a larger group that outweigh the others at
// the next loss, and against a group of three that shrinks.
TEST(MembershipPlanner, LostVotersLeaveALargerGroupWithoutAReplacement) {
  PlannedMembershipChange Removal{RemoveMember{2}, MembershipReason::VoterLost};
  EXPECT_EQ(Known(4).silent(2).plan(), Removal);
  EXPECT_EQ(Known(5).silent(2).silent(3).plan(), Removal);
  EXPECT_EQ(Known(3).silent(2).plan(), std::nullopt);
}

// Guards against a lost voter that is added as a learner as soon as it is out,
// since it once asked to join.
TEST(MembershipPlanner, ACandidateThatHasStoppedAskingIsNotAdded) {
  EXPECT_EQ(Known(3).asks(memberOf(4)).plan(),
            (PlannedMembershipChange{AddLearner{memberOf(4)},
                                     MembershipReason::JoinRequested}));
  EXPECT_EQ(Known(3).asks(memberOf(4), seconds(1)).plan(), std::nullopt);
}

TEST(MembershipPlanner, AVmThatComesBackWithAnotherDiskHasLostTheFirst) {
  Member NewDisk = {20, "vm-2", "vm-2:1"};
  Known Group(3);
  Group.silent(2, seconds(1)).asks(NewDisk);
  EXPECT_EQ(Group.plan()->Change, MembershipChange(AddLearner{NewDisk}));
  Group.View.JoinRequests.clear();
  Group.View.Members.Learners.push_back(NewDisk);
  Group.View.Contacts[20] = {Now, true};
  EXPECT_EQ(Group.plan()->Change, MembershipChange(RemoveMember{2}));
}

// Guards against a voter that is taken for lost since a late request names
// another disk at its address.
TEST(MembershipPlanner, AMemberThatRepliesIsThereWhateverAsksAtItsAddress) {
  EXPECT_EQ(Known(4).asks({20, "vm-2", "vm-2:1"}).plan()->Change,
            MembershipChange(AddLearner{{20, "vm-2", "vm-2:1"}}));
}

// Guards against a new leader that takes all others for lost, or counts on
// learners that it has not heard yet.
TEST(MembershipPlanner, ANewLeaderWaitsUntilItHasListened) {
  Known Group(5);
  Group.learner(6);
  for (auto &[Disk, Contact] : Group.View.Contacts)
    Contact.RepliedAt.reset();
  Group.View.ListeningSince = Now - seconds(1);
  EXPECT_EQ(Group.plan(), std::nullopt);
}

// Guards against a learner that is removed while it is at work on a snapshot,
// and begins anew each time: it does not reply then, and has ceased to ask.
TEST(MembershipPlanner, ALearnerThatAskedToJoinALittleAgoIsNotLost) {
  for (Duration Ago : {seconds(0), seconds(2), seconds(4)})
    EXPECT_EQ(
        Known(3).learner(4, false).silent(4).asks(memberOf(4), Ago).plan(),
        std::nullopt);
}

Duration drawnSilence() {
  return milliseconds(*rc::gen::element(0, 400, 800, 1500, 2500, 60000));
}

/// Draws any membership with the leader among the voters, and any contacts and
/// requests.
MembershipView drawnView() {
  Known Group(*rc::gen::inRange<size_t>(1, 8));
  DiskId Last = Group.View.Members.Voters.size();
  for (size_t Left = *rc::gen::inRange<size_t>(0, 5); Left > 0; --Left)
    Group.learner(++Last, *rc::gen::arbitrary<bool>());
  for (DiskId Disk = 2; Disk <= Last; ++Disk)
    Group.silent(Disk, drawnSilence());
  for (size_t Left = *rc::gen::inRange<size_t>(0, 4); Left > 0; --Left) {
    Member Candidate = memberOf(*rc::gen::inRange<DiskId>(2, Last + 3));
    Candidate.Disk += *rc::gen::element<DiskId>(0, 100);
    Group.asks(Candidate, drawnSilence());
  }
  return Group.View;
}

bool isHeard(const MembershipView &View, DiskId Disk) {
  return Disk == View.Self ||
         Now - *View.Contacts.at(Disk).RepliedAt <= Options.RecentContactAge;
}

bool isHeardByMajority(const MembershipView &View) {
  const std::vector<Member> &Voters = View.Members.Voters;
  auto Heard = std::count_if(Voters.begin(), Voters.end(), [&](const auto &M) {
    return isHeard(View, M.Disk);
  });
  return static_cast<size_t>(Heard) > Voters.size() / 2;
}

void carryOut(MembershipView &View, const MembershipChange &Change) {
  Membership &Members = View.Members;
  auto TakeOut = [&](std::vector<Member> &List) {
    std::erase_if(
        List, [&](const Member &Item) { return Item.Disk == diskOf(Change); });
  };
  if (const auto *Added = std::get_if<AddLearner>(&Change))
    return Members.Learners.push_back(Added->New);
  if (std::holds_alternative<PromoteLearner>(Change))
    for (const Member &Learner : Members.Learners)
      if (Learner.Disk == diskOf(Change))
        Members.Voters.push_back(Learner);
  TakeOut(Members.Learners);
  if (std::holds_alternative<RemoveMember>(Change))
    TakeOut(Members.Voters);
}

// Whatever was lost, a leader that hears a majority still does after the
// change.
RC_GTEST_PROP(MembershipPlanner, NoChangeCostsTheMajority, ()) {
  MembershipView View = drawnView();
  bool IsHeardBefore = isHeardByMajority(View);
  auto Planned = planMembership(View, Options);
  if (!Planned || !IsHeardBefore)
    return;
  carryOut(View, Planned->Change);
  RC_ASSERT(isHeardByMajority(View));
}

RC_GTEST_PROP(MembershipPlanner, MembersThatReplyAreNotRemoved, ()) {
  MembershipView View = drawnView();
  auto Planned = planMembership(View, Options);
  if (Planned && std::holds_alternative<RemoveMember>(Planned->Change))
    RC_ASSERT(!isHeard(View, diskOf(Planned->Change)));
}

// Guards against two changes that undo each other for ever.
RC_GTEST_PROP(MembershipPlanner, PlansComeToAnEnd, ()) {
  MembershipView View = drawnView();
  constexpr int MoreThanMembers = 40;
  int Changes = 0;
  while (auto Planned = planMembership(View, Options)) {
    carryOut(View, Planned->Change);
    View.Contacts.try_emplace(diskOf(Planned->Change),
                              MemberContact{Now, true});
    RC_ASSERT(++Changes < MoreThanMembers);
  }
  RC_ASSERT(View.Members.Voters.size() >= 1U);
}

} // namespace
