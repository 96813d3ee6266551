// The objects of the fleet that the control VMs agree on: teams' documents,
// keys, pools, VMs, maintenance waves, entry VMs and their limit slices.

#ifndef MIMOSASHUNT_CORE_FLEETTYPES_H
#define MIMOSASHUNT_CORE_FLEETTYPES_H

#include "Core/JsonFields.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

/// Counts accepted changes; each one gets the next number.
using Revision = uint64_t;

/// SHA-256 of a key in lower-case hexadecimal. Keys themselves are never kept.
using KeyDigest = std::string;

struct QueueSpec {
  std::string Name;
  /// An open queue takes work that comes with no key.
  bool IsOpen = false;
  uint32_t DeadlineMillis = 10000;
  /// Urgent work goes ahead of the rest, within a bounded part of the slots.
  bool IsUrgent = false;

  static void describe(auto &Self, auto Field) {
    Field("name", Self.Name);
    Field("open", Self.IsOpen);
    Field("deadlineMillis", Self.DeadlineMillis);
    Field("urgent", Self.IsUrgent);
  }
  bool operator==(const QueueSpec &) const = default;
};

/// The service that a team runs: where, how many, and what it can bear.
struct ServiceSpec {
  std::string Name;
  std::vector<std::string> Pools;
  uint32_t Instances = 0;
  /// Availability budget: instances that may be down or drained at once.
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

  uint32_t requiredInstances() const {
    return Instances > MaxUnavailable ? Instances - MaxUnavailable : 0;
  }
};

/// One team's document.
struct TeamDocument {
  std::string Team;
  /// Weight of the team when the fleet is full.
  uint32_t Share = 1;
  /// Most requests that the team may have running across the fleet.
  uint32_t Limit = 0;
  /// Empty for a team that only submits work; otherwise exactly one.
  std::vector<ServiceSpec> Services;

  static void describe(auto &Self, auto Field) {
    Field("team", Self.Team);
    Field("share", Self.Share);
    Field("limit", Self.Limit);
    Field("services", Self.Services);
  }
  bool operator==(const TeamDocument &) const = default;
};

struct DocumentRecord {
  TeamDocument Document;
  Revision ChangedRevision = 0;

  static void describe(auto &Self, auto Field) {
    Field("document", Self.Document);
    Field("revision", Self.ChangedRevision);
  }
  bool operator==(const DocumentRecord &) const = default;
};

struct KeyRecord {
  std::string Team;
  Revision GrantedRevision = 0;

  static void describe(auto &Self, auto Field) {
    Field("team", Self.Team);
    Field("granted", Self.GrantedRevision);
  }
  bool operator==(const KeyRecord &) const = default;
};

struct PoolRecord {
  /// VMs of a spare pool are idle until another pool needs them.
  bool IsSpare = false;
  Revision ChangedRevision = 0;

  static void describe(auto &Self, auto Field) {
    Field("spare", Self.IsSpare);
    Field("revision", Self.ChangedRevision);
  }
  bool operator==(const PoolRecord &) const = default;
};

/// A VM is in exactly one pool: its record names it.
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

/// A maintenance wave. Each of its VMs is in exactly one of the three sets.
struct WaveRecord {
  std::set<std::string> WaitingVms;
  /// VM to its number of boots when the drain was granted: it is maintained
  /// once it is up with more.
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

  bool hasEnded() const { return WaitingVms.empty() && DrainingVms.empty(); }
};

/// Part of a team's limit that one run of an entry VM may spend.
struct SliceRecord {
  uint32_t Count = 0;
  /// Revision of the last change; a release names the one it answers.
  Revision Version = 0;

  static void describe(auto &Self, auto Field) {
    Field("count", Self.Count);
    Field("version", Self.Version);
  }
  bool operator==(const SliceRecord &) const = default;
};

/// One run of an entry VM's process; a restart is another run.
struct EntryRun {
  std::string Vm;
  uint64_t Incarnation = 0;

  static void describe(auto &Self, auto Field) {
    Field("vm", Self.Vm);
    Field("incarnation", Self.Incarnation);
  }
  auto operator<=>(const EntryRun &) const = default; // NOLINT
};

/// Which entry VMs keep the records of request ids. It changes one step at a
/// time: the next only once every keeper has what moved to it in this one.
struct KeeperSet {
  uint64_t Epoch = 0;
  /// Incarnations by VM.
  std::map<std::string, uint64_t> Current;
  /// The keepers of the epoch before, whose records move.
  std::map<std::string, uint64_t> Previous;
  /// Runs of either whose lease has ended and whose records are given up.
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
  static bool contains(const std::map<std::string, uint64_t> &In,
                       const EntryRun &Run) {
    auto Found = In.find(Run.Vm);
    return Found != In.end() && Found->second == Run.Incarnation;
  }
};

struct EntryVmRecord {
  uint64_t Incarnation = 0;
  std::string DataCentre;
  std::string PeerAddress;
  /// True once the run's slices went back; it must register as a new run.
  bool IsExpired = false;

  static void describe(auto &Self, auto Field) {
    Field("incarnation", Self.Incarnation);
    Field("dataCentre", Self.DataCentre);
    Field("peerAddress", Self.PeerAddress);
    Field("expired", Self.IsExpired);
  }
  bool operator==(const EntryVmRecord &) const = default;
};

/// What an entry VM needs of the state, sent whole when it has changed.
struct EntryConfiguration {
  Revision AtRevision = 0;
  std::map<std::string, TeamDocument> Documents;
  /// Team by key digest.
  std::map<KeyDigest, std::string> Keys;
  /// VMs that get no new work.
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
