// The replicated state. apply() is the only way to change it, and gives the
// same result for the same commands on every control VM.

#ifndef MIMOSASHUNT_CORE_FLEETSTATE_H
#define MIMOSASHUNT_CORE_FLEETSTATE_H

#include "Core/FleetCommands.h"
#include "Core/FleetTypes.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace mimosashunt {

/// The first answer to an operation, kept for resends.
struct OperationRecord {
  uint64_t ActionHash = 0;
  CommandResult Result;

  static void describe(auto &Self, auto Field) {
    Field("actionHash", Self.ActionHash);
    Field("result", Self.Result);
  }
  bool operator==(const OperationRecord &) const = default;
};

class FleetState {
public:
  /// Operations whose answers are kept for resends.
  static constexpr size_t MaxOperationRecords = 20000;

  CommandResult apply(const FleetCommand &Command);

  Revision revision() const { return Latest; }
  /// Revision of the last change that entry VMs see.
  Revision configurationRevision() const { return Configured; }
  EntryConfiguration entryConfiguration() const;

  const std::map<std::string, DocumentRecord> &documents() const {
    return Documents;
  }
  const std::map<KeyDigest, KeyRecord> &keys() const { return Keys; }
  const std::map<std::string, PoolRecord> &pools() const { return Pools; }
  const std::map<std::string, VmRecord> &vms() const { return Vms; }
  const std::map<std::string, WaveRecord> &waves() const { return Waves; }
  const std::map<std::string, EntryVmRecord> &entryVms() const {
    return Entries;
  }
  /// Slices by team and holder.
  const std::map<std::string, std::map<std::string, SliceRecord>> &
  slices() const {
    return Slices;
  }
  const KeeperSet &keepers() const { return Keepers; }
  std::optional<std::string> operatorName(const KeyDigest &Digest) const;
  bool hasOperators() const { return !Operators.empty(); }

  /// VMs that a wave drains now.
  std::set<std::string> drainingVms() const;
  /// Sum of the team's slices over all holders.
  uint32_t sliceTotal(const std::string &Team) const;
  std::optional<SliceRecord> slice(const std::string &Team,
                                   const EntryRun &Run) const;

  /// Name of a run inside the slice table.
  static std::string holderName(const EntryRun &Run);
  static std::optional<EntryRun> parseHolderName(const std::string &Name);

  std::string snapshot() const;
  /// Reverses snapshot(). Returns false, changing nothing, for bytes that are
  /// no snapshot.
  bool restore(const std::string &Bytes);

  bool operator==(const FleetState &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("revision", Self.Latest);
    Field("configured", Self.Configured);
    Field("documents", Self.Documents);
    Field("keys", Self.Keys);
    Field("withdrawnKeys", Self.WithdrawnKeys);
    Field("operators", Self.Operators);
    Field("pools", Self.Pools);
    Field("vms", Self.Vms);
    Field("waves", Self.Waves);
    Field("entries", Self.Entries);
    Field("slices", Self.Slices);
    Field("keepers", Self.Keepers);
    Field("operations", Self.Operations);
    Field("operationOrder", Self.OperationOrder);
  }

private:
  CommandResult run(const ApplyDocument &Action);
  CommandResult run(const RemoveDocument &Action);
  CommandResult run(const GrantKey &Action);
  CommandResult run(const WithdrawKey &Action);
  CommandResult run(const AddOperator &Action);
  CommandResult run(const RemoveOperator &Action);
  CommandResult run(const CreatePool &Action);
  CommandResult run(const AddVm &Action);
  CommandResult run(const MoveVm &Action);
  CommandResult run(const AnnounceWave &Action);
  CommandResult run(const CancelWave &Action);
  CommandResult run(const GrantDrain &Action);
  CommandResult run(const FinishDrain &Action);
  CommandResult run(const RegisterEntryVm &Action);
  CommandResult run(const GrantSlice &Action);
  CommandResult run(const ReleaseSlice &Action);
  CommandResult run(const ExpireRun &Action);
  CommandResult run(const SetKeepers &Action);
  CommandResult run(const MarkKeeperLost &Action);

  CommandResult accepted();
  CommandResult acceptedForEntries();
  bool isCurrentRun(const EntryRun &Run) const;
  void remember(const std::string &Id, const OperationRecord &Record);

  Revision Latest = 0;
  Revision Configured = 0; // At most Latest.
  std::map<std::string, DocumentRecord> Documents;
  std::map<KeyDigest, KeyRecord> Keys;
  std::set<KeyDigest> WithdrawnKeys; // Disjoint from the digests in Keys.
  std::map<KeyDigest, std::string> Operators;
  std::map<std::string, PoolRecord> Pools;
  std::map<std::string, VmRecord> Vms; // Each names a pool of Pools.
  std::map<std::string, WaveRecord> Waves;
  std::map<std::string, EntryVmRecord> Entries;
  // For each team the sum over holders is at most the limit that held when
  // the last slice was granted.
  std::map<std::string, std::map<std::string, SliceRecord>> Slices;
  KeeperSet Keepers;
  // OperationOrder lists the keys of Operations, oldest first.
  std::map<std::string, OperationRecord> Operations;
  std::deque<std::string> OperationOrder;
};

} // namespace mimosashunt

#endif
