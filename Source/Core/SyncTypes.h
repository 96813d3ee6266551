// What an entry VM and the leading control VM tell each other at each
// synchronisation.

#ifndef MIMOSASHUNT_CORE_SYNCTYPES_H
#define MIMOSASHUNT_CORE_SYNCTYPES_H

#include "Core/FleetTypes.h"

#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

struct TeamUsage {
  std::string Team;
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  /// The entry VM will not run more than Keep under slice version
  /// SliceVersion; the rest may be granted elsewhere.
  Revision SliceVersion = 0;
  uint32_t Retained = 0;
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

struct ServiceLoad {
  std::string Service;
  uint32_t Slots = 0;
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  bool operator==(const ServiceLoad &) const = default;
};

struct EntryReport {
  EntryRun Run;
  std::string DataCentre;
  std::string PeerAddress;
  /// Revision of the configuration that is in force here.
  Revision ActiveRevision = 0;
  std::vector<TeamUsage> Teams;
  std::vector<BackendReport> Backends;
  std::vector<ServiceLoad> Services;
  std::string TraceParent;
  /// Last epoch of keepers in which everything has moved from and to here.
  uint64_t SettledEpoch = 0;
  bool Stopping = false;
  bool operator==(const EntryReport &) const = default;
};

struct SliceGrant {
  std::string Team;
  uint32_t Count = 0;
  Revision Version = 0;
  /// How much of the slice the holder is asked to keep; Count if all.
  uint32_t Target = 0;
  bool operator==(const SliceGrant &) const = default;
};

/// Another entry VM as the leader sees it.
struct EntryPeer {
  std::string Vm;
  std::string DataCentre;
  std::string PeerAddress;
  uint32_t AgeMillis = 0;
  std::vector<ServiceLoad> Services;
  bool operator==(const EntryPeer &) const = default;
};

enum class SyncStatus : uint8_t {
  Ok = 0,
  NotLeader = 1,
  RunExpired = 2, // The entry VM must register as a new run.
  Pending = 3,    // Being registered; ask again.
};

struct EntryReply {
  SyncStatus Status = SyncStatus::NotLeader;
  /// Where the leader answers, if known.
  std::string LeaderAddress;
  /// Lease of the configuration, counted from when the report was sent.
  uint32_t LeaseMillis = 0;
  /// Present if the entry VM has another revision in force.
  std::optional<EntryConfiguration> Configuration;
  /// All slices of this run.
  std::vector<SliceGrant> Slices;
  std::vector<EntryPeer> Peers;
  bool operator==(const EntryReply &) const = default;
};

} // namespace mimosashunt

#endif
