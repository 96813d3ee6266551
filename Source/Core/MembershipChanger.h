// Changes the membership of a consensus group, one member at a time: keeps what
// a leader has to know about the other members, plans with MembershipPlanner
// and proposes the planned change.

#ifndef MIMOSASHUNT_CORE_MEMBERSHIPCHANGER_H
#define MIMOSASHUNT_CORE_MEMBERSHIPCHANGER_H

#include "Core/MembershipPlanner.h"
#include "Core/Raft.h"

#include <map>
#include <optional>
#include <string>

namespace mimosashunt {

/// Plans and begins changes of the membership for one member of the group.
class MembershipChanger {
public:
  /// \p Log must outlive this object.
  MembershipChanger(MembershipOptions Options, Raft &Log, TimerService &Timers);

  /// Records that a VM asks to join the group.
  void handleJoinRequest(const Member &Candidate);

  /// Must be called at regular intervals on each member, leader or not: a pause
  /// between two calls means that what others sent has not been read. Begins
  /// the next change if \p IsLeader, every earlier one is committed and one is
  /// due, and returns it.
  std::optional<PlannedMembershipChange> beginNextChange(bool IsLeader);

private:
  void noticePause();
  /// Forgets requests that no plan depends on any more.
  void forgetOldJoinRequests();
  MembershipView view() const;

  const MembershipOptions Options;
  Raft &Log;
  TimerService &Timers;
  std::map<std::string, JoinRequest> JoinRequests; // By address.
  /// Since when this member has listened to the others without a pause, in its
  /// present role.
  Instant ListeningSince;
  Instant LastCalledAt;
  RaftRole LastRole;
  Term LastTerm;
};

} // namespace mimosashunt

#endif
