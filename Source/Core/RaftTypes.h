// Types of the Raft log: entries, membership, snapshots and the messages that
// members exchange.

#ifndef MIMOSASHUNT_CORE_RAFTTYPES_H
#define MIMOSASHUNT_CORE_RAFTTYPES_H

#include "Core/Time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

/// Identifies a disk. It is drawn at random when the data folder is first used,
/// so a VM that comes back with an empty disk is a different member of the
/// group.
using DiskId = uint64_t;
using Term = uint64_t;
using LogIndex = uint64_t;

/// Stands for no disk, such as an unknown leader.
constexpr DiskId NoDisk = 0;

/// A member of the group: a disk and the VM that it belongs to.
struct Member {
  DiskId Disk = NoDisk;
  std::string Vm;
  std::string Address;
  auto operator<=>(const Member &) const = default; // NOLINT
};

/// Members of the group. A disk is in at most one of the lists.
struct Membership {
  /// Members that count for elections and commits.
  std::vector<Member> Voters;
  /// Members that receive the log but do not vote.
  std::vector<Member> Learners;
  bool operator==(const Membership &) const = default;

  bool isVoter(DiskId Disk) const;
  bool isLearner(DiskId Disk) const;
};

/// What a log entry contains. A leader appends a Noop at the start of its term.
enum class LogEntryKind : uint8_t { Noop = 0, Command = 1, Membership = 2 };

/// An entry of the replicated log.
struct LogEntry {
  Term AtTerm = 0;
  LogEntryKind Kind = LogEntryKind::Noop;
  std::string Payload; // Encoded command; unused for other kinds.
  Membership Members;  // New membership; unused for other kinds.
  bool operator==(const LogEntry &) const = default;
};

/// The state after the entry at Index. It replaces the log up to and including
/// that entry.
struct Snapshot {
  LogIndex Index = 0;
  Term AtTerm = 0;
  Membership Members;
  /// Encoded state of the state machine.
  std::string Data;
  bool operator==(const Snapshot &) const = default;
};

/// State that a member must sync before it answers messages of that term.
struct HardState {
  Term CurrentTerm = 0;
  DiskId VotedFor = NoDisk;
  bool operator==(const HardState &) const = default;
};

/// Asks for a vote. A pre-vote asks whether the vote would be granted and
/// changes no term.
struct VoteRequest {
  LogIndex LastIndex = 0;
  Term LastTerm = 0;
  bool PreVote = false;
  bool operator==(const VoteRequest &) const = default;
};

/// Reply to a VoteRequest.
struct VoteReply {
  bool Granted = false;
  bool PreVote = false;
  bool operator==(const VoteReply &) const = default;
};

/// Replicates entries after PreviousIndex. Without entries it is a heartbeat.
struct AppendRequest {
  LogIndex PreviousIndex = 0;
  Term PreviousTerm = 0;
  std::vector<LogEntry> Entries;
  LogIndex CommitIndex = 0;
  /// Send time on the leader's clock. The reply returns it, and the leader's
  /// lease is counted from it.
  Instant SentAt;
  bool operator==(const AppendRequest &) const = default;
};

/// Reply to an AppendRequest or SnapshotRequest.
struct AppendReply {
  bool Success = false;
  /// PreviousIndex of the request, by which the leader recognises stale
  /// rejections.
  LogIndex PreviousIndex = 0;
  /// On success the last index known to match the leader's log. On rejection
  /// the highest index that the leader may try as PreviousIndex next.
  LogIndex MatchIndex = 0;
  Instant SentAt;
  bool operator==(const AppendReply &) const = default;
};

/// Sends a snapshot to a member that needs entries which are already compacted.
struct SnapshotRequest {
  Snapshot Content;
  Instant SentAt;
  bool operator==(const SnapshotRequest &) const = default;
};

using RaftBody = std::variant<VoteRequest, VoteReply, AppendRequest,
                              AppendReply, SnapshotRequest>;

/// A message between two members, tagged with the sender's term.
struct RaftMessage {
  DiskId From = NoDisk;
  DiskId To = NoDisk;
  Term AtTerm = 0;
  RaftBody Body;
  bool operator==(const RaftMessage &) const = default;
};

/// The content of a disk, as read after a restart.
struct DurableLog {
  HardState State;
  Snapshot Base;
  std::vector<LogEntry> Entries; // Starts at index Base.Index + 1.
  bool operator==(const DurableLog &) const = default;
};

/// What the caller must write, sync, send and apply. Messages may be sent only
/// after the state, snapshot and entries are synced.
struct RaftOutput {
  bool StateChanged = false;
  HardState State;
  bool HasInstalledSnapshot = false;
  Snapshot InstalledSnapshot;
  /// Index of the first of AppendedEntries, which replace all entries from this
  /// index on.
  LogIndex FirstAppendedIndex = 0;
  std::vector<LogEntry> AppendedEntries;
  std::vector<RaftMessage> Messages;
  /// Index of the first of CommittedEntries, the newly committed entries.
  LogIndex FirstCommittedIndex = 0;
  std::vector<LogEntry> CommittedEntries;

  /// True if something must be written and synced before messages are sent.
  bool needsSync() const {
    return StateChanged || HasInstalledSnapshot || !AppendedEntries.empty();
  }
};

} // namespace mimosashunt

#endif
