#include "Core/MembershipChanger.h"

#include <utility>
#include <variant>

namespace mimosashunt {

namespace {

/// Proposes a planned change of the membership.
class ChangeProposer {
public:
  explicit ChangeProposer(Raft &Log) : Log(Log) {}

  ProposeResult operator()(const AddLearner &Change) const {
    return Log.addLearner(Change.New);
  }
  ProposeResult operator()(const PromoteLearner &Change) const {
    return Log.promoteLearner(Change.Disk);
  }
  ProposeResult operator()(const RemoveMember &Change) const {
    return Log.removeMember(Change.Disk);
  }

private:
  Raft &Log;
};

} // namespace

MembershipChanger::MembershipChanger(MembershipOptions Options, Raft &Log,
                                     TimerService &Timers)
    : Options(Options), Log(Log), Timers(Timers), ListeningSince(Timers.now()),
      LastCalledAt(Timers.now()), LastRole(Log.role()), LastTerm(Log.term()) {}

void MembershipChanger::handleJoinRequest(const Member &Candidate) {
  if (Candidate.Disk != NoDisk)
    JoinRequests[Candidate.Address] = {Candidate, Timers.now()};
}

void MembershipChanger::noticePause() {
  Instant Now = Timers.now();
  Duration SinceLastCall = Now - std::exchange(LastCalledAt, Now);
  bool HasNewRole = std::exchange(LastRole, Log.role()) != Log.role();
  bool HasNewTerm = std::exchange(LastTerm, Log.term()) != Log.term();
  if (HasNewRole || HasNewTerm || SinceLastCall > Options.LossTimeout / 2)
    ListeningSince = Now;
}

void MembershipChanger::forgetOldJoinRequests() {
  Instant Since = Timers.now() - Options.LearnerLossTimeout;
  std::erase_if(JoinRequests, [&](const auto &Entry) {
    return Entry.second.ReceivedAt < Since;
  });
}

MembershipView MembershipChanger::view() const {
  MembershipView View;
  View.Self = Log.self();
  View.Members = Log.membership();
  View.JoinRequests = JoinRequests;
  View.ListeningSince = ListeningSince;
  View.Now = Timers.now();
  for (const auto *List : {&View.Members.Voters, &View.Members.Learners})
    for (const Member &Item : *List)
      View.Contacts[Item.Disk] = {Log.lastReplyTime(Item.Disk),
                                  Log.isCaughtUp(Item.Disk)};
  return View;
}

std::optional<PlannedMembershipChange>
MembershipChanger::beginNextChange(bool IsLeader) {
  noticePause();
  forgetOldJoinRequests();
  if (!IsLeader || !Log.isMembershipCommitted())
    return std::nullopt;
  std::optional<PlannedMembershipChange> Planned =
      planMembership(view(), Options);
  if (Planned && std::visit(ChangeProposer(Log), Planned->Change) !=
                     ProposeResult::Accepted)
    return std::nullopt;
  return Planned;
}

} // namespace mimosashunt
