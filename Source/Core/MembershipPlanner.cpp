// Implements the rules of MembershipPlanner.h. Lost members never count towards
// the wanted number of voters: they would raise it, and with it the majority
// that has to agree, until the lost ones are the majority.

#include "Core/MembershipPlanner.h"

#include <algorithm>
#include <vector>

namespace mimosashunt {

namespace {

struct ChangeName {
  const char *operator()(const AddLearner &) const { return "add_learner"; }
  const char *operator()(const PromoteLearner &) const {
    return "promote_learner";
  }
  const char *operator()(const RemoveMember &) const { return "remove_member"; }
};

struct ChangedDisk {
  DiskId operator()(const AddLearner &Change) const { return Change.New.Disk; }
  DiskId operator()(const PromoteLearner &Change) const { return Change.Disk; }
  DiskId operator()(const RemoveMember &Change) const { return Change.Disk; }
};

} // namespace

const char *nameOf(const MembershipChange &Change) {
  return std::visit(ChangeName(), Change);
}

DiskId diskOf(const MembershipChange &Change) {
  return std::visit(ChangedDisk(), Change);
}

const char *nameOf(MembershipReason Reason) {
  switch (Reason) {
  case MembershipReason::VoterWanted:
    return "voter_wanted";
  case MembershipReason::VoterReplaced:
    return "voter_replaced";
  case MembershipReason::VoterLost:
    return "voter_lost";
  case MembershipReason::LearnerLost:
    return "learner_lost";
  case MembershipReason::JoinRequested:
    return "join_requested";
  }
  return "unknown";
}

namespace {

/// One planning pass over a view.
class MembershipPass {
public:
  MembershipPass(const MembershipView &View, const MembershipOptions &Options)
      : View(View), Options(Options) {}

  std::optional<PlannedMembershipChange> plan() const;

private:
  Instant lastHeardAt(const Member &Item) const;
  bool wasHeardWithin(const Member &Item, Duration Age) const;
  /// A member whose replies arrive can carry a vote; one that only asks to join
  /// may not hear the leader.
  bool hasRepliedRecently(const Member &Item) const;
  bool hasNewerDisk(const Member &Item) const;
  bool isLost(const Member &Item, Duration Timeout) const;
  bool isReady(const Member &Learner) const;
  bool isMember(DiskId Disk) const;
  size_t wantedVoters() const;

  std::vector<Member> lostVoters() const;
  const Member *readyLearner() const;
  const Member *lostLearner() const;
  const Member *candidate() const;

  const MembershipView &View;
  const MembershipOptions &Options;
};

Instant MembershipPass::lastHeardAt(const Member &Item) const {
  if (Item.Disk == View.Self)
    return View.Now;
  Instant HeardAt = View.ListeningSince;
  auto Contact = View.Contacts.find(Item.Disk);
  if (Contact != View.Contacts.end())
    HeardAt = std::max(HeardAt, Contact->second.RepliedAt.value_or(HeardAt));
  auto Request = View.JoinRequests.find(Item.Address);
  if (Request != View.JoinRequests.end() &&
      Request->second.Candidate.Disk == Item.Disk)
    HeardAt = std::max(HeardAt, Request->second.ReceivedAt);
  return HeardAt;
}

bool MembershipPass::wasHeardWithin(const Member &Item, Duration Age) const {
  return View.Now - lastHeardAt(Item) <= Age;
}

/// A VM that has come back with another disk never uses the earlier one again.
bool MembershipPass::hasNewerDisk(const Member &Item) const {
  if (wasHeardWithin(Item, Options.RecentContactAge))
    return false;
  auto IsNewer = [&](const Member &Other, Instant OtherHeardAt) {
    return Other.Address == Item.Address && Other.Disk != Item.Disk &&
           lastHeardAt(Item) < OtherHeardAt;
  };
  auto Request = View.JoinRequests.find(Item.Address);
  if (Request != View.JoinRequests.end() &&
      IsNewer(Request->second.Candidate, Request->second.ReceivedAt))
    return true;
  for (const auto *List : {&View.Members.Voters, &View.Members.Learners})
    for (const Member &Other : *List)
      if (IsNewer(Other, lastHeardAt(Other)))
        return true;
  return false;
}

bool MembershipPass::isLost(const Member &Item, Duration Timeout) const {
  return !wasHeardWithin(Item, Timeout) || hasNewerDisk(Item);
}

bool MembershipPass::hasRepliedRecently(const Member &Item) const {
  if (Item.Disk == View.Self)
    return true;
  auto Contact = View.Contacts.find(Item.Disk);
  return Contact != View.Contacts.end() && Contact->second.RepliedAt &&
         View.Now - *Contact->second.RepliedAt <= Options.RecentContactAge;
}

bool MembershipPass::isReady(const Member &Learner) const {
  return hasRepliedRecently(Learner) &&
         View.Contacts.at(Learner.Disk).IsCaughtUp;
}

bool MembershipPass::isMember(DiskId Disk) const {
  return View.Members.isVoter(Disk) || View.Members.isLearner(Disk);
}

/// The largest odd number of members that are certainly there, up to the
/// maximum: an even group bears no more losses than the next smaller odd one.
size_t MembershipPass::wantedVoters() const {
  size_t Present = 0;
  for (const auto *List : {&View.Members.Voters, &View.Members.Learners})
    Present += std::count_if(List->begin(), List->end(), [&](const Member &M) {
      return hasRepliedRecently(M);
    });
  if (Present == 0)
    return 0;
  size_t LargestOdd = (Present - 1) / 2 * 2 + 1;
  return std::min(LargestOdd, Options.MaxVoters);
}

std::vector<Member> MembershipPass::lostVoters() const {
  std::vector<Member> Lost;
  for (const Member &Voter : View.Members.Voters)
    if (isLost(Voter, Options.LossTimeout))
      Lost.push_back(Voter);
  return Lost;
}

const Member *MembershipPass::readyLearner() const {
  for (const Member &Learner : View.Members.Learners)
    if (isReady(Learner))
      return &Learner;
  return nullptr;
}

const Member *MembershipPass::lostLearner() const {
  for (const Member &Learner : View.Members.Learners)
    if (isLost(Learner, Options.LearnerLossTimeout))
      return &Learner;
  return nullptr;
}

const Member *MembershipPass::candidate() const {
  for (const auto &[Address, Request] : View.JoinRequests)
    if (!isMember(Request.Candidate.Disk) &&
        View.Now - Request.ReceivedAt <= Options.JoinRequestLifetime)
      return &Request.Candidate;
  return nullptr;
}

std::optional<PlannedMembershipChange> MembershipPass::plan() const {
  using Reason = MembershipReason;
  const Member *Ready = readyLearner();
  size_t VoterCount = View.Members.Voters.size();
  if (Ready != nullptr && VoterCount < wantedVoters())
    return {{PromoteLearner{Ready->Disk}, Reason::VoterWanted}};
  std::vector<Member> Lost = lostVoters();
  // The learner has the log by now, so that the group is one voter short only
  // until the next change.
  if (Ready != nullptr && !Lost.empty())
    return {{RemoveMember{Lost.front().Disk}, Reason::VoterReplaced}};
  // Without it no more of the others have to agree. In the smallest group it
  // keeps its place, since it may come back sooner than another one comes.
  if (!Lost.empty() && VoterCount > Options.MinVoters)
    return {{RemoveMember{Lost.front().Disk}, Reason::VoterLost}};
  if (const Member *Learner = lostLearner())
    return {{RemoveMember{Learner->Disk}, Reason::LearnerLost}};
  if (const Member *New = candidate())
    return {{AddLearner{*New}, Reason::JoinRequested}};
  return std::nullopt;
}

} // namespace

std::optional<PlannedMembershipChange>
planMembership(const MembershipView &View, const MembershipOptions &Options) {
  return MembershipPass(View, Options).plan();
}

} // namespace mimosashunt
