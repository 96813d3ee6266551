// Plans changes of a consensus group's membership: which VMs are added, which
// learners get a vote and which members are removed. The plan depends on
// nothing but what the leader knows at one instant, so a member that is gone
// leaves no trace in a later plan.

#ifndef MIMOSASHUNT_CORE_MEMBERSHIPPLANNER_H
#define MIMOSASHUNT_CORE_MEMBERSHIPPLANNER_H

#include "Core/RaftTypes.h"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace mimosashunt {

/// What the leader knows about another member.
struct MemberContact {
  /// When the member last replied to this leader, if it has.
  std::optional<Instant> RepliedAt;
  /// It is known to hold all committed entries.
  bool IsCaughtUp = false;
  bool operator==(const MemberContact &) const = default;
};

/// A VM's latest request to become a member. One that is a member already has
/// not heard of that.
struct JoinRequest {
  Member Candidate;
  Instant ReceivedAt;
  bool operator==(const JoinRequest &) const = default;
};

/// What the leader knows when it plans. The membership must be committed.
struct MembershipView {
  DiskId Self = NoDisk;
  Membership Members;
  std::map<DiskId, MemberContact> Contacts;
  /// By address: a VM has one disk at a time. Requests count as signs of life
  /// longer than they are answered, so they are kept for LearnerLossTimeout.
  std::map<std::string, JoinRequest> JoinRequests;
  /// Since when the leader has listened without a pause. A member that it has
  /// not heard since then may have replied before.
  Instant ListeningSince;
  Instant Now;
};

struct MembershipOptions {
  /// A voter that has not been heard for this long counts as lost.
  Duration LossTimeout = seconds(2);
  /// The same of a learner. It may be at work on a snapshot, and would begin
  /// anew if it were removed; a lost one costs little.
  Duration LearnerLossTimeout = seconds(5);
  /// A member that was heard within this time is there: it may get a vote, and
  /// no other disk has taken its place.
  Duration RecentContactAge = milliseconds(500);
  /// Candidates repeat their request until they are members; one that stops
  /// asking is gone. Three times the interval of their requests.
  Duration JoinRequestLifetime = milliseconds(900);
  /// Lost voters beyond this number are removed without a replacement. Fewer
  /// voters bear no loss.
  size_t MinVoters = 3;
  /// Further members stay learners. Odd.
  size_t MaxVoters = 5;
};

struct AddLearner {
  Member New;
  bool operator==(const AddLearner &) const = default;
};
struct PromoteLearner {
  DiskId Disk = NoDisk;
  bool operator==(const PromoteLearner &) const = default;
};
struct RemoveMember {
  DiskId Disk = NoDisk;
  bool operator==(const RemoveMember &) const = default;
};
using MembershipChange = std::variant<AddLearner, PromoteLearner, RemoveMember>;

/// Returns the name used in logs.
const char *nameOf(const MembershipChange &Change);
/// Returns the disk that is added, promoted or removed.
DiskId diskOf(const MembershipChange &Change);

/// Why a change is planned.
enum class MembershipReason {
  VoterWanted,   // The group has fewer voters than its size calls for.
  VoterReplaced, // A learner stands ready to take a lost voter's place.
  VoterLost,     // The group bears as many losses without the lost voter.
  LearnerLost,
  JoinRequested,
};

/// Returns the name used in logs.
const char *nameOf(MembershipReason Reason);

struct PlannedMembershipChange {
  MembershipChange Change;
  MembershipReason Reason = MembershipReason::JoinRequested;
  bool operator==(const PlannedMembershipChange &) const = default;
};

/// Returns the next change, or nothing if the membership is as it should be.
/// Never removes View.Self. The caller carries out one change at a time and
/// plans again once it is committed.
std::optional<PlannedMembershipChange>
planMembership(const MembershipView &View, const MembershipOptions &Options);

} // namespace mimosashunt

#endif
