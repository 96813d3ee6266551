// The replicated fleet state. It changes only through apply() and restore().
// The same commands give the same state and results on every control VM.

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

/// The first result of an operation, returned again if the operation is resent.
struct OperationRecord {
  /// Detects an operation id that is reused for a different action.
  uint64_t ActionHash = 0;
  CommandResult Result;

  static void describe(auto &Self, auto Field) {
    Field("actionHash", Self.ActionHash);
    Field("result", Self.Result);
  }
  bool operator==(const OperationRecord &) const = default;
};

/// The state machine that the control VMs replicate.
class FleetState {
public:
  /// Number of operations whose results are kept for resends; the oldest are
  /// dropped.
  static constexpr size_t MaxOperationRecords = 20000;

  /// Applies a command. A resent operation returns its first result and changes
  /// nothing.
  CommandResult apply(const FleetCommand &Command);

  /// Revision of the last acceptChange change.
  Revision revision() const { return LatestRevision; }
  /// Revision of the last change to what entry VMs use. At most revision().
  Revision configurationRevision() const { return LatestConfigurationRevision; }
  /// The part of the state that entry VMs use, at configurationRevision().
  EntryConfiguration entryConfiguration() const;

  const std::map<std::string, DocumentRecord> &documents() const {
    return Documents;
  }
  const std::map<KeyDigest, KeyRecord> &keys() const { return Keys; }
  const std::map<std::string, PoolRecord> &pools() const { return Pools; }
  const std::map<std::string, VmRecord> &vms() const { return Vms; }
  const std::map<std::string, WaveRecord> &waves() const { return Waves; }
  const std::map<std::string, EntryVmRecord> &entryVms() const {
    return EntryVms;
  }
  /// Slices by team and holder name.
  const std::map<std::string, std::map<std::string, SliceRecord>> &
  slices() const {
    return Slices;
  }
  const KeeperSet &keepers() const { return Keepers; }
  /// Name of the operator whose key has this digest, if there is one.
  std::optional<std::string> operatorName(const KeyDigest &Digest) const;
  bool hasOperators() const { return !Operators.empty(); }

  /// VMs that a wave is draining.
  std::set<std::string> drainingVms() const;
  /// Sum of the team's slices over all holders.
  uint32_t sliceTotal(const std::string &Team) const;
  /// The slice of a team's limit that a run holds, if it holds one.
  std::optional<SliceRecord> slice(const std::string &Team,
                                   const EntryRun &Run) const;

  /// Name under which a run is listed in slices().
  static std::string holderName(const EntryRun &Run);
  /// Reverses holderName(). Returns nothing if \p Name is malformed.
  static std::optional<EntryRun> parseHolderName(const std::string &Name);

  /// Encodes the whole state as CBOR.
  std::string snapshot() const;
  /// Replaces the state by one that snapshot() encoded. Returns false and
  /// leaves the state unchanged if the bytes are not a valid snapshot.
  bool restore(const std::string &Bytes);

  bool operator==(const FleetState &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("revision", Self.LatestRevision);
    Field("configured", Self.LatestConfigurationRevision);
    Field("documents", Self.Documents);
    Field("keys", Self.Keys);
    Field("withdrawnKeys", Self.WithdrawnKeys);
    Field("operators", Self.Operators);
    Field("pools", Self.Pools);
    Field("vms", Self.Vms);
    Field("waves", Self.Waves);
    Field("entries", Self.EntryVms);
    Field("slices", Self.Slices);
    Field("keepers", Self.Keepers);
    Field("operations", Self.Operations);
    Field("operationOrder", Self.OperationOrder);
  }

private:
  CommandResult applyAction(const ApplyDocument &Action);
  CommandResult applyAction(const RemoveDocument &Action);
  CommandResult applyAction(const GrantKey &Action);
  CommandResult applyAction(const WithdrawKey &Action);
  CommandResult applyAction(const AddOperator &Action);
  CommandResult applyAction(const RemoveOperator &Action);
  CommandResult applyAction(const CreatePool &Action);
  CommandResult applyAction(const AddVm &Action);
  CommandResult applyAction(const MoveVm &Action);
  CommandResult applyAction(const AnnounceWave &Action);
  CommandResult applyAction(const CancelWave &Action);
  CommandResult applyAction(const GrantDrain &Action);
  CommandResult applyAction(const FinishDrain &Action);
  CommandResult applyAction(const RegisterEntryVm &Action);
  CommandResult applyAction(const GrantSlice &Action);
  CommandResult applyAction(const ReleaseSlice &Action);
  CommandResult applyAction(const ExpireRun &Action);
  CommandResult applyAction(const SetKeepers &Action);
  CommandResult applyAction(const MarkKeeperLost &Action);

  /// Counts an acceptChange change.
  CommandResult acceptChange();
  /// Counts an acceptChange change to what entry VMs use.
  CommandResult acceptConfigurationChange();
  /// True if this is the latest registered run of its VM and has not expired.
  bool isCurrentRun(const EntryRun &Run) const;
  /// Keeps the result of an operation for resends and drops the oldest one when
  /// there are too many.
  void recordOperation(const std::string &Id, const OperationRecord &Record);

  Revision LatestRevision = 0;
  // Invariant: at most LatestRevision.
  Revision LatestConfigurationRevision = 0;
  std::map<std::string, DocumentRecord> Documents;
  std::map<KeyDigest, KeyRecord> Keys;
  // Invariant: disjoint from the digests in Keys.
  std::set<KeyDigest> WithdrawnKeys;
  std::map<KeyDigest, std::string> Operators;
  std::map<std::string, PoolRecord> Pools;
  // Invariant: each VM's pool exists in Pools.
  std::map<std::string, VmRecord> Vms;
  std::map<std::string, WaveRecord> Waves;
  std::map<std::string, EntryVmRecord> EntryVms;
  // Slices by team and holder name. For each team, the sum over its holders is
  // at most the limit that applied when the last slice was granted.
  std::map<std::string, std::map<std::string, SliceRecord>> Slices;
  KeeperSet Keepers;
  // Results by operation id. OperationOrder lists the ids, oldest first.
  std::map<std::string, OperationRecord> Operations;
  std::deque<std::string> OperationOrder;
};

} // namespace mimosashunt

#endif
