// Consensus over the replicated log: elections with pre-vote and check-quorum,
// replication, snapshots, learners, one membership change at a time and a
// leader's lease for reads. Deterministic: time and randomness come in through
// the constructor, everything else through messages.

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
  /// An election starts after one to two times this silence.
  Duration ElectionTimeout = milliseconds(500);
  /// Part of the election timeout that a leader's lease lasts, in percent;
  /// the rest allows for clocks that run at different speeds.
  int LeasePercent = 90;
  size_t MaxEntriesPerMessage = 256;
  size_t MaxBytesPerMessage = 256 << 10;
};

enum class RaftRole { Learner, Follower, PreCandidate, Candidate, Leader };

/// Why a proposal was not taken.
enum class ProposeResult { Accepted, NotLeader, ChangePending, InvalidChange };

class Raft {
public:
  /// \p Durable is what the disk holds; empty for a new disk, which then is
  /// no member of any group until a leader adds it.
  Raft(DiskId Self, DurableLog Durable, RaftOptions Options,
       TimerService &Timers, uint64_t Seed);
  ~Raft();
  Raft(const Raft &) = delete;
  Raft &operator=(const Raft &) = delete;

  /// Founds a group with this disk as its only voter. Only for an empty disk.
  bool bootstrap(const Member &Self);

  /// Founds a group of \p Founders, this disk among them. Every founder must
  /// pass the same list in the same order. Only for an empty disk.
  bool bootstrapGroup(const std::vector<Member> &Founders);

  void receive(const RaftMessage &Message);

  /// Appends a command if this is the leader; \p Index is its place.
  ProposeResult propose(std::string Command, LogIndex &Index);

  /// Appends several commands under one message to each member; \p First is
  /// the first one's place.
  ProposeResult proposeBatch(std::vector<std::string> Commands,
                             LogIndex &First);

  /// Changes one member. Refused while an earlier change is not committed.
  ProposeResult addLearner(const Member &New);
  ProposeResult promoteLearner(DiskId Learner);
  ProposeResult removeMember(DiskId Disk);

  bool hasOutput() const;
  RaftOutput takeOutput();

  /// Tells that everything of the last output up to \p Index is synced.
  void onPersisted(LogIndex Index);

  /// Replaces the log up to \p Index, which must be applied, by \p Data.
  Snapshot compact(LogIndex Index, std::string Data);

  RaftRole role() const { return Role; }
  Term term() const { return State.CurrentTerm; }
  DiskId leader() const { return Leader; }
  DiskId self() const { return Self; }
  LogIndex commitIndex() const { return Committed; }
  LogIndex lastIndex() const { return Base.Index + Log.size(); }
  LogIndex firstIndex() const { return Base.Index + 1; }
  /// The latest membership in the log, by which votes are counted.
  const Membership &membership() const { return Members; }
  /// True if that membership can no longer be lost with this member.
  bool isMembershipCommitted() const { return MembershipIndex <= Committed; }

  /// True while no other leader can exist: this is the leader, an entry of its
  /// own term is committed and a quorum answered within the lease.
  bool holdsLease() const;

  /// True if the learner has everything that is committed.
  bool isCaughtUp(DiskId Learner) const;

  /// When the member last answered this leader, if it did.
  std::optional<Instant> lastReplyTime(DiskId Disk) const;

private:
  struct Progress {
    LogIndex Next = 1;
    LogIndex Match = 0;
    std::optional<Instant> AckedSentAt; // Send time of the latest answered.
    std::optional<Instant> HeardAt;
    std::optional<Instant> SnapshotSentAt;
    /// While it is not known what matches, one message at a time asks.
    bool Probing = true;
    bool ProbeSent = false;
  };

  Term termAt(LogIndex Index) const;
  const LogEntry &entryAt(LogIndex Index) const;
  void becomeFollower(Term NewTerm, DiskId NewLeader);
  void becomeLeader();
  void startElection(bool PreVote);
  void armElection();
  void onElectionTimeout();
  void onHeartbeat();
  void checkQuorum();
  void append(LogEntry Entry);
  void refreshMembership();
  /// \p Repeat asks again although an earlier probe has no answer yet.
  void sendAppend(DiskId To, bool Repeat);
  void sendSnapshot(DiskId To, Progress &Peer);
  void send(DiskId To, RaftBody Body);
  void sendAt(Term AtTerm, DiskId To, RaftBody Body);
  void broadcast(bool Repeat);
  void advanceCommit();
  bool quorumOf(const std::set<DiskId> &Granted) const;
  size_t quorumSize() const { return Members.Voters.size() / 2 + 1; }
  bool leaderHeardRecently() const;
  bool logUpToDate(LogIndex LastIndex, Term LastTerm) const;
  bool changePending() const;
  ProposeResult proposeMembership(Membership New);

  void on(const RaftMessage &Message, const VoteRequest &Request);
  void on(const RaftMessage &Message, const VoteReply &Reply);
  void on(const RaftMessage &Message, const AppendRequest &Request);
  void on(const RaftMessage &Message, const AppendReply &Reply);
  void on(const RaftMessage &Message, const SnapshotRequest &Request);
  void noteAnswer(Progress &Peer, Instant SentAt);
  void noteRefusal(DiskId From, Progress &Peer, const AppendReply &Reply);
  void acceptEntries(const AppendRequest &Request);

  const DiskId Self;
  const RaftOptions Options;
  TimerService &Timers;
  std::mt19937_64 Random;

  HardState State;
  Snapshot Base;
  // Entries after Base.Index; the entry at index I is Log[I - Base.Index - 1].
  std::vector<LogEntry> Log;
  Membership Members; // The latest in the log, committed or not.
  LogIndex MembershipIndex = 0;
  LogIndex Committed = 0; // Never decreases; at most lastIndex().
  LogIndex Persisted = 0;
  LogIndex HandedOut = 0; // Committed entries given out up to here.

  RaftRole Role = RaftRole::Follower;
  DiskId Leader = NoDisk;
  // A member that restarts may have answered a leader just before, so it must
  // not vote until that leader's lease has ended.
  Instant LeaderHeardAt;
  std::set<DiskId> Votes;
  std::map<DiskId, Progress> Peers;
  LogIndex TermStart = 0; // Index of this leader's first entry.
  Instant LeaderSince;
  TimerId ElectionTimer = 0;
  TimerId HeartbeatTimer = 0;

  RaftOutput Output;
};

} // namespace mimosashunt

#endif
