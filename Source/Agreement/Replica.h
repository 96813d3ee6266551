// One control VM's replica of a replicated state. It drives the Raft log,
// batches the proposals of one event-loop turn into one sync, applies committed
// entries, bootstraps the group and carries out the planned changes of its
// membership.

#ifndef MIMOSASHUNT_AGREEMENT_REPLICA_H
#define MIMOSASHUNT_AGREEMENT_REPLICA_H

#include "Agreement/GroupBootstrap.h"
#include "Core/ControlPorts.h"
#include "Core/MembershipChanger.h"
#include "Core/Raft.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

/// The state machine that the commands of the log are applied to.
class ReplicatedState {
public:
  virtual ~ReplicatedState() = default;
  /// Applies one committed command; called once for each, in log order.
  virtual void apply(LogIndex Index, const std::string &Command) = 0;
  /// Returns the whole state in a form that restore() reads.
  virtual std::string snapshot() const = 0;
  /// Returns true if restore() can read \p Data; otherwise logs that.
  virtual bool canRestore(const std::string &Data) = 0;
  /// Replaces the whole state. Fails without a change if the data cannot be
  /// read.
  virtual std::error_code restore(const std::string &Data) = 0;
};

/// What became of a proposed command.
enum class ProposalOutcome {
  Committed,
  NotLeader, // The command was not appended.
  Unknown,   // The command may or may not commit later.
};

/// Returns the name used in logs and messages.
const char *nameOf(ProposalOutcome Outcome);

struct ReplicaOptions {
  RaftOptions Raft;
  MembershipOptions Membership;
  Duration JoinInterval = milliseconds(300);
  Duration MembershipPlanInterval = milliseconds(200);
  /// Bytes of applied commands after which the log is compacted.
  size_t BytesPerSnapshot = 6 << 20;
};

/// One member of the group, or a VM that wants to become one.
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
  /// Handles a message of another member; ignored after a disk error. A
  /// snapshot that the state cannot read is ignored too, before it replaces
  /// what this member has stored.
  void receive(const RaftMessage &Message);
  /// Records that the VM \p New asks to join the group.
  void handleJoinRequest(const Member &Candidate);

  /// Proposes the command at the end of this turn, batched with the other
  /// proposals of the turn. \p OnDone runs once, never before this function
  /// returns.
  void propose(std::string Command, ProposalCallback OnDone);

  /// Proposes queued commands, writes and sends pending output and applies
  /// committed entries. Called at the end of each turn.
  void pump();

  /// Returns true while this VM is the leader, no other VM can be, and
  /// everything committed before its term is applied.
  bool isLeader() const;
  /// Returns the address of the leader; empty if it is unknown.
  std::string leaderAddress() const;
  /// Returns the latest membership in the log; empty while there is no group.
  const Membership &membership() const { return Log.membership(); }
  const Raft &log() const { return Log; }
  LogIndex appliedIndex() const { return LastApplied; }
  /// Proposals whose callback has not run yet.
  size_t pendingProposals() const {
    return QueuedProposals.size() + PendingProposals.size();
  }
  /// Returns true if pump() has something to propose, write, send or apply.
  bool hasWork() const { return !QueuedProposals.empty() || Log.hasOutput(); }
  /// The first disk error, or that of a stored snapshot that cannot be read;
  /// the replica stops writing and leading after one.
  std::error_code storeError() const { return StoreError; }
  /// Sets the function that runs with the previous role when the Raft role has
  /// changed, after committed entries have been applied.
  void setRoleChangeHandler(std::function<void(RaftRole)> Handler) {
    RoleChangeHandler = std::move(Handler);
  }
  /// Sets the function that runs after this VM, as the leader, has begun a
  /// change of the membership.
  void setMembershipChangeHandler(
      std::function<void(const PlannedMembershipChange &)> Handler) {
    MembershipChangeHandler = std::move(Handler);
  }
  /// Sets the function that runs after the log was compacted, with the index of
  /// the last entry that the snapshot covers and the snapshot's size in bytes.
  void setCompactionHandler(std::function<void(LogIndex, size_t)> Handler) {
    CompactionHandler = std::move(Handler);
  }

private:
  /// A command that is proposed at the end of this turn.
  struct QueuedProposal {
    std::string Command;
    ProposalCallback OnDone;
  };
  /// A command that was appended and is not committed yet.
  struct PendingProposal {
    Term AtTerm;
    ProposalCallback OnDone;
  };

  void proposeQueued();
  void drainOutput();
  void applyCommitted(const RaftOutput &Output);
  void abandonPendingProposals();
  void compactIfNeeded();
  void changeMembership();
  void requestToJoin();
  std::string addressOf(DiskId Disk) const;

  const Member Self;
  const ReplicaOptions Options;
  TimerService &Timers;
  LogStore &Store;
  RaftTransport &Transport;
  ReplicatedState &State;
  Raft Log;
  MembershipChanger Changer;

  std::vector<QueuedProposal> QueuedProposals;
  std::map<LogIndex, PendingProposal> PendingProposals;
  LogIndex LastApplied = 0;
  size_t BytesSinceSnapshot = 0;
  RaftRole LastRole = RaftRole::Follower;
  std::error_code StoreError;
  bool IsPumping = false;
  std::function<void(RaftRole)> RoleChangeHandler;
  std::function<void(const PlannedMembershipChange &)> MembershipChangeHandler;
  std::function<void(LogIndex, size_t)> CompactionHandler;
  TimerId JoinTimer = 0;
  TimerId MembershipPlanTimer = 0;
};

} // namespace mimosashunt

#endif
