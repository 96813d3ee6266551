// Types of the replicated fleet state: teams' documents, keys, pools, VMs,
// maintenance waves, entry VMs and their slices of the teams' limits.

#ifndef MIMOSASHUNT_CORE_FLEETTYPES_H
#define MIMOSASHUNT_CORE_FLEETTYPES_H

#include "Core/JsonFields.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

/// Sequence number of an accepted change. Zero stands for no change.
using Revision = uint64_t;

/// SHA-256 of a key in lower-case hexadecimal. Keys themselves are never
/// stored.
using KeyDigest = std::string;

/// A queue of a service, as its team's document declares it.
struct QueueSpec {
  std::string Name;
  /// An open queue accepts requests without a key.
  bool IsOpen = false;
  uint32_t DeadlineMillis = 10000;
  /// Requests of an urgent queue go ahead of others, within a bounded share of
  /// the slots.
  bool IsUrgent = false;

  static void describe(auto &Self, auto Field) {
    Field("name", Self.Name);
    Field("open", Self.IsOpen);
    Field("deadlineMillis", Self.DeadlineMillis);
    Field("urgent", Self.IsUrgent);
  }
  bool operator==(const QueueSpec &) const = default;
};

/// The service that a team runs: its pools, its number of instances and its
/// availability budget.
struct ServiceSpec {
  std::string Name;
  std::vector<std::string> Pools;
  uint32_t Instances = 0;
  /// Availability budget: the number of instances that may be down or drained
  /// at once.
  uint32_t MaxUnavailable = 0;
  std::vector<QueueSpec> Queues;

  static void describe(auto &Self, auto Field) {
    Field("name", Self.Name);
    Field("pools", Self.Pools);
    Field("instances", Self.Instances);
    Field("maxUnavailable", Self.MaxUnavailable);
    Field("queues", Self.Queues);
  }
  bool operator==(const ServiceSpec &) const = default;

  /// Number of instances that must stay available.
  uint32_t requiredInstances() const {
    return Instances > MaxUnavailable ? Instances - MaxUnavailable : 0;
  }
};

/// The configuration that a team maintains for itself.
struct TeamDocument {
  std::string Team;
  /// Weight of the team in fair queueing when the fleet has no free slots.
  uint32_t Share = 1;
  /// Maximum number of requests of the team that run at once across the fleet.
  uint32_t Limit = 0;
  /// Empty for a team that only sends requests; otherwise exactly one service.
  std::vector<ServiceSpec> Services;

  static void describe(auto &Self, auto Field) {
    Field("team", Self.Team);
    Field("share", Self.Share);
    Field("limit", Self.Limit);
    Field("services", Self.Services);
  }
  bool operator==(const TeamDocument &) const = default;
};

/// A team's document and the revision of its last change.
struct DocumentRecord {
  TeamDocument Document;
  Revision ChangedRevision = 0;

  static void describe(auto &Self, auto Field) {
    Field("document", Self.Document);
    Field("revision", Self.ChangedRevision);
  }
  bool operator==(const DocumentRecord &) const = default;
};

/// The team that a key belongs to, and the revision that granted the key.
struct KeyRecord {
  std::string Team;
  Revision GrantedRevision = 0;

  static void describe(auto &Self, auto Field) {
    Field("team", Self.Team);
    Field("granted", Self.GrantedRevision);
  }
  bool operator==(const KeyRecord &) const = default;
};

/// A pool of VMs.
struct PoolRecord {
  /// The VMs of a spare pool are idle until another pool needs them.
  bool IsSpare = false;
  Revision ChangedRevision = 0;

  static void describe(auto &Self, auto Field) {
    Field("spare", Self.IsSpare);
    Field("revision", Self.ChangedRevision);
  }
  bool operator==(const PoolRecord &) const = default;
};

/// A VM and the pool that it is in. A VM is in exactly one pool.
struct VmRecord {
  std::string Pool;
  std::string DataCentre;
  std::string Rack;
  Revision ChangedRevision = 0;

  static void describe(auto &Self, auto Field) {
    Field("pool", Self.Pool);
    Field("dataCentre", Self.DataCentre);
    Field("rack", Self.Rack);
    Field("revision", Self.ChangedRevision);
  }
  bool operator==(const VmRecord &) const = default;
};

/// A maintenance wave. Each of its VMs is in exactly one of the three
/// collections.
struct WaveRecord {
  std::set<std::string> WaitingVms;
  /// VMs that are being drained, with their boot count when the drain was
  /// granted. Maintenance of a VM is finished once it is up with a higher
  /// count.
  std::map<std::string, uint64_t> DrainingVms;
  std::set<std::string> FinishedVms;
  Revision AnnouncedRevision = 0;

  static void describe(auto &Self, auto Field) {
    Field("waiting", Self.WaitingVms);
    Field("draining", Self.DrainingVms);
    Field("done", Self.FinishedVms);
    Field("announced", Self.AnnouncedRevision);
  }
  bool operator==(const WaveRecord &) const = default;

  /// True if no VM of the wave waits or is being drained.
  bool hasEnded() const { return WaitingVms.empty() && DrainingVms.empty(); }
};

/// Part of a team's limit that is assigned to one run of an entry VM.
struct SliceRecord {
  uint32_t Count = 0;
  /// Revision of the last change. A release names the version that it refers
  /// to.
  Revision Version = 0;

  static void describe(auto &Self, auto Field) {
    Field("count", Self.Count);
    Field("version", Self.Version);
  }
  bool operator==(const SliceRecord &) const = default;
};

/// One run of an entry VM's process. A restart is a new run with a higher
/// incarnation.
struct EntryRun {
  std::string Vm;
  uint64_t Incarnation = 0;

  static void describe(auto &Self, auto Field) {
    Field("vm", Self.Vm);
    Field("incarnation", Self.Incarnation);
  }
  auto operator<=>(const EntryRun &) const = default; // NOLINT
};

/// The entry VMs that keep the records of request ids. It changes one epoch at
/// a time: the next epoch starts only when every keeper has received the
/// records that move to it in the current one.
struct KeeperSet {
  uint64_t Epoch = 0;
  /// Keepers of this epoch: incarnation by VM.
  std::map<std::string, uint64_t> Current;
  /// Keepers of the previous epoch, which transfer their records to the current
  /// ones.
  std::map<std::string, uint64_t> Previous;
  /// Runs among the current or previous keepers whose lease has expired and
  /// whose records count as lost.
  std::set<EntryRun> Lost;

  bool isCurrentKeeper(const EntryRun &Run) const {
    return contains(Current, Run);
  }
  bool isPreviousKeeper(const EntryRun &Run) const {
    return contains(Previous, Run);
  }
  bool isLost(const EntryRun &Run) const { return Lost.contains(Run); }

  static void describe(auto &Self, auto Field) {
    Field("epoch", Self.Epoch);
    Field("now", Self.Current);
    Field("before", Self.Previous);
    Field("lost", Self.Lost);
  }
  bool operator==(const KeeperSet &) const = default;

private:
  static bool contains(const std::map<std::string, uint64_t> &Keepers,
                       const EntryRun &Run) {
    auto Keeper = Keepers.find(Run.Vm);
    return Keeper != Keepers.end() && Keeper->second == Run.Incarnation;
  }
};

/// The latest registered run of an entry VM.
struct EntryVmRecord {
  uint64_t Incarnation = 0;
  std::string DataCentre;
  std::string PeerAddress;
  /// True once the run's slices were returned. The entry VM must register as a
  /// new run.
  bool IsExpired = false;

  static void describe(auto &Self, auto Field) {
    Field("incarnation", Self.Incarnation);
    Field("dataCentre", Self.DataCentre);
    Field("peerAddress", Self.PeerAddress);
    Field("expired", Self.IsExpired);
  }
  bool operator==(const EntryVmRecord &) const = default;
};

/// The part of the replicated state that entry VMs use. It is sent as a whole
/// when it has changed.
struct EntryConfiguration {
  Revision AtRevision = 0;
  std::map<std::string, TeamDocument> Documents;
  /// Team by key digest.
  std::map<KeyDigest, std::string> Keys;
  /// VMs that get no new requests, since a wave drains them.
  std::set<std::string> DrainingVms;
  KeeperSet Keepers;

  static void describe(auto &Self, auto Field) {
    Field("revision", Self.AtRevision);
    Field("documents", Self.Documents);
    Field("keys", Self.Keys);
    Field("drainingVms", Self.DrainingVms);
    Field("keepers", Self.Keepers);
  }
  bool operator==(const EntryConfiguration &) const = default;
};

} // namespace mimosashunt

#endif
