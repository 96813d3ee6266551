// Messages that an entry VM and the leading control VM exchange at each
// synchronisation: the entry VM's report and the leader's reply.

#ifndef MIMOSASHUNT_CORE_SYNCTYPES_H
#define MIMOSASHUNT_CORE_SYNCTYPES_H

#include "Core/FleetTypes.h"

#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

/// How an entry VM uses its slice of one team's limit.
struct TeamUsage {
  std::string Team;
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  /// The entry VM runs at most Retained requests under slice version
  /// SliceVersion; the rest of the slice may be granted elsewhere.
  Revision SliceVersion = 0;
  uint32_t Retained = 0;
  /// True if the entry VM returns a part of the slice.
  bool Releasing = false;
  bool operator==(const TeamUsage &) const = default;
};

enum class BackendState : uint8_t { Serving = 0, Leaving = 1, Ejected = 2 };

struct BackendReport {
  std::string Name;
  std::string Service;
  std::string Vm;
  BackendState State = BackendState::Serving;
  uint32_t Slots = 0;
  uint32_t Running = 0;
  bool operator==(const BackendReport &) const = default;
};

/// Slots and requests of one service on one entry VM.
struct ServiceLoad {
  std::string Service;
  uint32_t Slots = 0;
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  bool operator==(const ServiceLoad &) const = default;
};

/// What an entry VM sends to the leader.
struct EntryReport {
  EntryRun Run;
  std::string DataCentre;
  std::string PeerAddress;
  /// Revision of the configuration that is active on the entry VM.
  Revision ActiveRevision = 0;
  std::vector<TeamUsage> Teams;
  std::vector<BackendReport> Backends;
  std::vector<ServiceLoad> Services;
  std::string TraceParent;
  /// Last epoch of the keeper set whose record transfers from and to the entry
  /// VM are all done.
  uint64_t SettledEpoch = 0;
  bool Stopping = false;
  bool operator==(const EntryReport &) const = default;
};

/// The slice of one team's limit that an entry VM holds.
struct SliceGrant {
  std::string Team;
  uint32_t Count = 0;
  Revision Version = 0;
  /// How much of the slice the entry VM is asked to retain; Count if nothing
  /// is to be returned.
  uint32_t Target = 0;
  bool operator==(const SliceGrant &) const = default;
};

/// Another entry VM as the leader sees it.
struct EntryPeer {
  std::string Vm;
  std::string DataCentre;
  std::string PeerAddress;
  /// Age of the peer's report.
  uint32_t AgeMillis = 0;
  std::vector<ServiceLoad> Services;
  bool operator==(const EntryPeer &) const = default;
};

enum class SyncStatus : uint8_t {
  Ok = 0,
  NotLeader = 1,
  RunExpired = 2, // The entry VM must register as a new run.
  Pending = 3,    // The registration is in progress; the entry VM asks again.
};

/// What the leader answers to a report.
struct EntryReply {
  SyncStatus Status = SyncStatus::NotLeader;
  /// Address of the leader, if known.
  std::string LeaderAddress;
  /// Duration of the configuration lease, counted from when the report was
  /// sent.
  uint32_t LeaseMillis = 0;
  /// Present if another revision is active on the entry VM.
  std::optional<EntryConfiguration> Configuration;
  /// All slices of this run.
  std::vector<SliceGrant> Slices;
  std::vector<EntryPeer> Peers;
  bool operator==(const EntryReply &) const = default;
};

} // namespace mimosashunt

#endif
