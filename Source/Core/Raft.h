// Raft consensus: elections with pre-vote and check-quorum, log replication,
// snapshots, learners, single-member membership changes and a leader lease for
// reads. Deterministic: time and the random seed come in through the
// constructor, all other input through messages and calls.

#ifndef MIMOSASHUNT_CORE_RAFT_H
#define MIMOSASHUNT_CORE_RAFT_H

#include "Core/RaftTypes.h"
#include "Core/TimerService.h"

#include <map>
#include <optional>
#include <random>
#include <set>

namespace mimosashunt {

struct RaftOptions {
  Duration HeartbeatInterval = milliseconds(100);
  /// Minimum silence of the leader before an election starts. The actual
  /// timeout is random, between one and two times this value.
  Duration ElectionTimeout = milliseconds(500);
  /// Duration of the leader lease as a percentage of the election timeout. The
  /// rest is a margin for clocks that run at different speeds.
  int LeasePercent = 90;
  size_t MaxEntriesPerMessage = 256;
  size_t MaxBytesPerMessage = 256 << 10;
};

/// Role of a member. A PreCandidate asks for pre-votes before it raises its
/// term.
enum class RaftRole { Learner, Follower, PreCandidate, Candidate, Leader };

/// Returns the name used in logs.
const char *nameOf(RaftRole Role);

/// Whether a proposal was appended to the log, and if not, why.
enum class ProposeResult { Accepted, NotLeader, ChangePending, InvalidChange };

/// One member of a Raft group. The caller takes the output after each call and
/// after each timer run, and reports when it is synced.
class Raft {
public:
  /// \p Durable is the content of the disk. With an empty disk this is not a
  /// member of a group until one is bootstrapped or a leader adds it.
  Raft(DiskId Self, DurableLog Durable, RaftOptions Options,
       TimerService &Timers, uint64_t Seed);
  ~Raft();
  Raft(const Raft &) = delete;
  Raft &operator=(const Raft &) = delete;

  /// Starts a group with this disk as its only voter. Returns false unless the
  /// disk is empty.
  bool bootstrap(const Member &Self);

  /// Starts a group of \p Founders, which include this disk. Every founder must
  /// pass the same list in the same order. Returns false unless the disk is
  /// empty.
  bool bootstrapGroup(const std::vector<Member> &Founders);

  /// Handles a message. Messages to other disks are ignored.
  void receive(const RaftMessage &Message);

  /// Appends a command if this is the leader, and sets \p Index to its index.
  ProposeResult propose(std::string Command, LogIndex &Index);

  /// Appends several commands and replicates them with one message to each
  /// member. Sets \p First to the index of the first one.
  ProposeResult proposeBatch(std::vector<std::string> Commands,
                             LogIndex &First);

  /// Membership changes, one member at a time. Refused while an earlier change
  /// is not committed. A learner can be promoted once it has caught up.
  ProposeResult addLearner(const Member &New);
  ProposeResult promoteLearner(DiskId Learner);
  ProposeResult removeMember(DiskId Disk);

  /// True if takeOutput() has something to write, send or apply.
  bool hasOutput() const;
  /// Returns all output since the last call.
  RaftOutput takeOutput();

  /// Must be called when the entries of the last output up to \p Index are
  /// synced.
  void onPersisted(LogIndex Index);

  /// Replaces the log up to \p Index by a snapshot with \p Data. The entry at
  /// \p Index must have been applied. Returns the current snapshot.
  Snapshot compact(LogIndex Index, std::string Data);

  RaftRole role() const { return Role; }
  Term term() const { return State.CurrentTerm; }
  /// The known leader, or NoDisk.
  DiskId leader() const { return Leader; }
  DiskId self() const { return Self; }
  LogIndex commitIndex() const { return CommitIndex; }
  LogIndex lastIndex() const { return Base.Index + Log.size(); }
  LogIndex firstIndex() const { return Base.Index + 1; }
  /// The latest membership in the log, committed or not. Votes are counted by
  /// it.
  const Membership &membership() const { return Members; }
  /// True if membership() is committed, so that it survives the loss of this
  /// member.
  bool isMembershipCommitted() const { return MembershipIndex <= CommitIndex; }

  /// True while no other leader can exist: this is the leader, an entry of its
  /// own term is committed and a quorum has replied within the lease.
  bool holdsLease() const;

  /// True if the member is known to hold all committed entries. Meaningful on
  /// the leader only.
  bool isCaughtUp(DiskId Learner) const;

  /// The voters that had been silent when this member last gave up the lead for
  /// lack of a quorum; empty if it has led since or lost the lead otherwise.
  const std::vector<Member> &silentVoters() const { return SilentVoters; }

  /// When this leader last received a reply from the member, if it did.
  std::optional<Instant> lastReplyTime(DiskId Disk) const;

private:
  /// Replication progress of a member, as the leader knows it.
  struct Progress {
    LogIndex NextIndex = 1;
    LogIndex MatchIndex = 0;
    // Send time of the latest request that was answered.
    std::optional<Instant> AckedRequestSentAt;
    std::optional<Instant> LastReplyAt;
    std::optional<Instant> SnapshotSentAt;
    /// True until the matching index is known. Meanwhile only one request at a
    /// time is sent.
    bool IsProbing = true;
    bool IsProbeInFlight = false;
  };

  Term termAt(LogIndex Index) const;
  const LogEntry &entryAt(LogIndex Index) const;
  void becomeFollower(Term NewTerm, DiskId NewLeader);
  void becomeLeader();
  void startElection(bool PreVote);
  /// Restarts the election timer with a new random timeout.
  void restartElectionTimer();
  void onElectionTimeout();
  void onHeartbeat();
  /// Steps down if no quorum has replied recently.
  void checkQuorum();
  void append(LogEntry Entry);
  /// Reads the latest membership from the log and adjusts the role to it.
  void refreshMembership();
  /// Sends the next entries to a member. With \p Repeat a probe is sent even if
  /// an earlier one has no reply yet.
  void sendAppend(DiskId To, bool Repeat);
  void sendSnapshot(DiskId To, Progress &Peer);
  void send(DiskId To, RaftBody Body);
  void sendInTerm(Term AtTerm, DiskId To, RaftBody Body);
  void broadcastAppend(bool Repeat);
  /// Commits what a quorum has persisted.
  void advanceCommitIndex();
  /// True if \p Granted contains a quorum of the voters.
  bool isQuorum(const std::set<DiskId> &Granted) const;
  size_t quorumSize() const { return Members.Voters.size() / 2 + 1; }
  bool hasRecentLeader() const;
  /// True if a log with this last entry is at least as up to date as ours.
  bool isLogUpToDate(LogIndex LastIndex, Term LastTerm) const;
  bool isChangePending() const;
  ProposeResult proposeMembership(Membership New);

  void handle(const RaftMessage &Message, const VoteRequest &Request);
  void handle(const RaftMessage &Message, const VoteReply &Reply);
  void handle(const RaftMessage &Message, const AppendRequest &Request);
  void handle(const RaftMessage &Message, const AppendReply &Reply);
  void handle(const RaftMessage &Message, const SnapshotRequest &Request);
  void recordReply(Progress &Peer, Instant SentAt);
  void handleRejection(DiskId From, Progress &Peer, const AppendReply &Reply);
  void appendEntries(const AppendRequest &Request);

  const DiskId Self;
  const RaftOptions Options;
  TimerService &Timers;
  std::mt19937_64 Random;

  HardState State;
  Snapshot Base;
  // Entries after Base.Index; the entry at index I is Log[I - Base.Index - 1].
  std::vector<LogEntry> Log;
  Membership Members; // Latest membership in the log, committed or not.
  LogIndex MembershipIndex = 0;
  LogIndex CommitIndex = 0; // Never decreases; at most lastIndex().
  /// Last index that is synced to this member's disk.
  LogIndex PersistedIndex = 0;
  // Index of the last committed entry that takeOutput() returned.
  LogIndex LastDelivered = 0;

  RaftRole Role = RaftRole::Follower;
  DiskId Leader = NoDisk;
  // Starts at the time of construction: a member may have replied to a leader
  // just before it restarted, and must not vote until that leader's lease has
  // expired.
  Instant LastLeaderMessageAt;
  std::set<DiskId> Votes;
  std::map<DiskId, Progress> Peers;
  LogIndex FirstOwnIndex = 0; // Index of this leader's first entry in its term.
  Instant LeaderSince;
  std::vector<Member> SilentVoters;
  TimerId ElectionTimer = 0;
  TimerId HeartbeatTimer = 0;

  RaftOutput Output;
};

} // namespace mimosashunt

#endif
