// Values of the consensus log: entries, membership, snapshots and the messages
// that control VMs exchange.

#ifndef MIMOSASHUNT_CORE_RAFTTYPES_H
#define MIMOSASHUNT_CORE_RAFTTYPES_H

#include "Core/Time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

/// Identity of one disk, drawn when its data folder is first used. A VM that
/// comes back with an empty disk is therefore another member of the group.
using DiskId = uint64_t;
using Term = uint64_t;
using LogIndex = uint64_t;

constexpr DiskId NoDisk = 0;

struct Member {
  DiskId Disk = NoDisk;
  std::string Vm;
  std::string Address;
  auto operator<=>(const Member &) const = default; // NOLINT
};

/// Who votes and who only learns. A disk stands in at most one of the lists.
struct Membership {
  std::vector<Member> Voters;
  std::vector<Member> Learners;
  bool operator==(const Membership &) const = default;

  bool isVoter(DiskId Disk) const;
  bool isLearner(DiskId Disk) const;
};

enum class LogEntryKind : uint8_t { Noop = 0, Command = 1, Membership = 2 };

struct LogEntry {
  Term AtTerm = 0;
  EntryKind Kind = EntryKind::Noop;
  std::string Payload; // A command's bytes; unused for other kinds.
  Membership Members;  // The new membership; unused for other kinds.
  bool operator==(const LogEntry &) const = default;
};

/// State after the entry at Index, which replaces the log up to there.
struct Snapshot {
  LogIndex Index = 0;
  Term AtTerm = 0;
  Membership Members;
  std::string Data;
  bool operator==(const Snapshot &) const = default;
};

struct HardState {
  Term CurrentTerm = 0;
  DiskId VotedFor = NoDisk;
  bool operator==(const HardState &) const = default;
};

struct VoteRequest {
  LogIndex LastIndex = 0;
  Term LastTerm = 0;
  bool PreVote = false;
  bool operator==(const VoteRequest &) const = default;
};

struct VoteReply {
  bool Granted = false;
  bool PreVote = false;
  bool operator==(const VoteReply &) const = default;
};

struct AppendRequest {
  LogIndex PreviousIndex = 0;
  Term PreviousTerm = 0;
  std::vector<LogEntry> Entries;
  LogIndex CommitIndex = 0;
  /// The leader's time at sending, echoed in the reply for its lease.
  Instant SentAt;
  bool operator==(const AppendRequest &) const = default;
};

struct AppendReply {
  bool Success = false;
  /// PreviousIndex of the request, which tells late refusals from new ones.
  LogIndex PreviousIndex = 0;
  /// On success the last index known to match; otherwise the index up to
  /// which the sender may try next.
  LogIndex MatchIndex = 0;
  Instant SentAt;
  bool operator==(const AppendReply &) const = default;
};

struct SnapshotRequest {
  Snapshot Content;
  Instant SentAt;
  bool operator==(const SnapshotRequest &) const = default;
};

using RaftBody = std::variant<VoteRequest, VoteReply, AppendRequest,
                              AppendReply, SnapshotRequest>;

struct RaftMessage {
  DiskId From = NoDisk;
  DiskId To = NoDisk;
  Term AtTerm = 0;
  RaftBody Body;
  bool operator==(const RaftMessage &) const = default;
};

/// What a disk holds after a restart.
struct DurableLog {
  HardState State;
  Snapshot Base;
  std::vector<LogEntry> Entries; // From Base.Index + 1 on.
  bool operator==(const DurableLog &) const = default;
};

/// What the log must write, sync and send, in the order of the members: no
/// message may leave before everything above it is synced.
struct RaftOutput {
  bool StateChanged = false;
  HardState State;
  bool HasInstalledSnapshot = false;
  Snapshot InstalledSnapshot;
  /// Entries from this index on are replaced by Appended.
  LogIndex FirstAppendedIndex = 0;
  std::vector<LogEntry> AppendedEntries;
  std::vector<RaftMessage> Messages;
  /// Newly committed entries; the first one's index is CommittedFrom.
  LogIndex FirstCommittedIndex = 0;
  std::vector<LogEntry> CommittedEntries;

  bool needsSync() const {
    return StateChanged || HasInstalledSnapshot || !AppendedEntries.empty();
  }
};

} // namespace mimosashunt

#endif
