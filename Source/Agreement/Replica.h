// One control VM's copy of a replicated state: drives the log, gathers what is
// proposed in one turn into one sync, applies what commits, and keeps the group
// whole: founding, joining, promoting and replacing members.

#ifndef MIMOSASHUNT_AGREEMENT_REPLICA_H
#define MIMOSASHUNT_AGREEMENT_REPLICA_H

#include "Agreement/GroupBootstrap.h"
#include "Core/ControlPorts.h"
#include "Core/Raft.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

/// The state that the log's commands build.
class ReplicatedState {
public:
  virtual ~ReplicatedState() = default;
  virtual void apply(LogIndex Index, const std::string &Command) = 0;
  virtual std::string snapshot() const = 0;
  virtual void restore(const std::string &Data) = 0;
};

enum class ProposalOutcome {
  Committed,
  NotLeader, // It was never appended.
  Unknown,   // It may or may not commit.
};

const char *nameOf(ProposalOutcome Outcome);

struct ReplicaOptions {
  RaftOptions Raft;
  /// A voter that has not answered for this long may be replaced by a learner
  /// that has the whole log.
  Duration VoterReplacementTimeout = seconds(2);
  Duration JoinInterval = milliseconds(300);
  Duration MembershipPlanInterval = milliseconds(200);
  size_t BytesPerSnapshot = 6 << 20;
  size_t MaxVoters = 5;
};

class Replica {
public:
  using ProposalCallback = std::function<void(ProposalOutcome)>;

  Replica(const Member &Self, const DurableLog &Durable, ReplicaOptions Options,
          TimerService &Timers, uint64_t Seed, LogStore &Store,
          RaftTransport &Transport, ReplicatedState &State);
  ~Replica();
  Replica(const Replica &) = delete;
  Replica &operator=(const Replica &) = delete;

  bool bootstrapGroup(const std::vector<Member> &Founders);
  void receive(const RaftMessage &Message);
  /// A VM without a place in the group asks for one.
  void handleJoinRequest(const Member &New);

  /// Proposes at the end of this turn, together with what else comes by then.
  /// \p Finished runs once, never before this returns.
  void propose(std::string Command, ProposalCallback Finished);

  /// Writes, sends and applies what is due. Called at the end of each turn.
  void pump();

  /// True while this VM leads, no other can, and all that was committed before
  /// its term is applied.
  bool isLeader() const;
  /// Address of the leader, or empty.
  std::string leaderAddress() const;
  /// The founding entry's voters or the present ones; empty without a group.
  const Membership &membership() const { return Log.membership(); }
  const Raft &log() const { return Log; }
  LogIndex appliedIndex() const { return LastApplied; }
  size_t pendingProposals() const { return Queued.size() + Pending.size(); }
  std::error_code storeError() const { return StoreError; }
  /// Runs when the role changes, after what is committed was applied.
  void setRoleChangeHandler(std::function<void()> Run) {
    RoleChanged = std::move(Run);
  }

private:
  struct Proposal {
    std::string Command;
    ProposalCallback Finished;
  };
  struct Waiting {
    Term AtTerm;
    ProposalCallback Finished;
  };

  void proposeQueued();
  void drainOutput();
  void applyCommitted(const RaftOutput &Output);
  void failPending();
  void compactIfLong();
  void planMembership();
  bool replaceSilentVoter(const Member &Learner);
  void askToJoin();
  std::string addressOf(DiskId Disk) const;
  size_t wantedVoters() const;

  const Member Self;
  const ReplicaOptions Options;
  TimerService &Timers;
  LogStore &Store;
  RaftTransport &Transport;
  ReplicatedState &State;
  Raft Log;

  std::vector<Proposal> Queued;
  std::map<LogIndex, Waiting> Pending;
  LogIndex LastApplied = 0;
  size_t BytesSinceSnapshot = 0;
  std::map<std::string, Member> JoinRequests; // By address.
  RaftRole LastRole = RaftRole::Follower;
  std::error_code StoreError;
  bool Pumping = false;
  std::function<void()> RoleChanged;
  TimerId JoinTimer = 0;
  TimerId PlanTimer = 0;
  Instant LeadsSince;
};

} // namespace mimosashunt

#endif
