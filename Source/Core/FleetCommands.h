// Commands that change the replicated fleet state, their results and their
// encoding in log entries.

#ifndef MIMOSASHUNT_CORE_FLEETCOMMANDS_H
#define MIMOSASHUNT_CORE_FLEETCOMMANDS_H

#include "Core/FleetTypes.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

/// Creates or replaces a team's document. Refused unless Expected is the
/// revision of the present document, or zero if there is none.
struct ApplyDocument {
  static constexpr const char *Kind = "applyDocument";
  TeamDocument Document;
  Revision Expected = 0;

  static void describe(auto &Self, auto Field) {
    Field("document", Self.Document);
    Field("expected", Self.Expected);
  }
  bool operator==(const ApplyDocument &) const = default;
};

/// Removes a team's document. Refused unless Expected is its revision.
struct RemoveDocument {
  static constexpr const char *Kind = "removeDocument";
  std::string Team;
  Revision Expected = 0;

  static void describe(auto &Self, auto Field) {
    Field("team", Self.Team);
    Field("expected", Self.Expected);
  }
  bool operator==(const RemoveDocument &) const = default;
};

/// Grants a key to a team that has a document.
struct GrantKey {
  static constexpr const char *Kind = "grantKey";
  std::string Team;
  KeyDigest Digest;

  static void describe(auto &Self, auto Field) {
    Field("team", Self.Team);
    Field("digest", Self.Digest);
  }
  bool operator==(const GrantKey &) const = default;
};

/// Withdraws a key permanently. Its digest can never be granted again.
struct WithdrawKey {
  static constexpr const char *Kind = "withdrawKey";
  KeyDigest Digest;

  static void describe(auto &Self, auto Field) { Field("digest", Self.Digest); }
  bool operator==(const WithdrawKey &) const = default;
};

/// Registers an operator by name and key digest. Refused if the name belongs to
/// another key.
struct AddOperator {
  static constexpr const char *Kind = "addOperator";
  std::string Name;
  KeyDigest Digest;

  static void describe(auto &Self, auto Field) {
    Field("name", Self.Name);
    Field("digest", Self.Digest);
  }
  bool operator==(const AddOperator &) const = default;
};

/// Removes an operator. Refused for the last one.
struct RemoveOperator {
  static constexpr const char *Kind = "removeOperator";
  std::string Name;

  static void describe(auto &Self, auto Field) { Field("name", Self.Name); }
  bool operator==(const RemoveOperator &) const = default;
};

/// Creates an empty pool.
struct CreatePool {
  static constexpr const char *Kind = "makePool";
  std::string Pool;
  bool IsSpare = false;

  static void describe(auto &Self, auto Field) {
    Field("pool", Self.Pool);
    Field("spare", Self.IsSpare);
  }
  bool operator==(const CreatePool &) const = default;
};

/// Registers a VM in its first pool.
struct AddVm {
  static constexpr const char *Kind = "addVm";
  std::string Vm;
  std::string Pool;
  std::string DataCentre;
  std::string Rack;

  static void describe(auto &Self, auto Field) {
    Field("vm", Self.Vm);
    Field("pool", Self.Pool);
    Field("dataCentre", Self.DataCentre);
    Field("rack", Self.Rack);
  }
  bool operator==(const AddVm &) const = default;
};

/// Moves a VM from one pool to another in one step. Refused unless the VM is in
/// pool From, or while a wave drains it.
struct MoveVm {
  static constexpr const char *Kind = "moveVm";
  std::string Vm;
  std::string From;
  std::string To;

  static void describe(auto &Self, auto Field) {
    Field("vm", Self.Vm);
    Field("from", Self.From);
    Field("to", Self.To);
  }
  bool operator==(const MoveVm &) const = default;
};

/// Announces a maintenance wave over VMs that are in no other unfinished wave.
struct AnnounceWave {
  static constexpr const char *Kind = "announceWave";
  std::string Wave;
  std::vector<std::string> Vms;

  static void describe(auto &Self, auto Field) {
    Field("wave", Self.Wave);
    Field("vms", Self.Vms);
  }
  bool operator==(const AnnounceWave &) const = default;
};

/// Ends a wave early. VMs that wait are removed from it; the maintenance of VMs
/// that are being drained is completed.
struct CancelWave {
  static constexpr const char *Kind = "cancelWave";
  std::string Wave;

  static void describe(auto &Self, auto Field) { Field("wave", Self.Wave); }
  bool operator==(const CancelWave &) const = default;
};

/// Permits the drain of a waiting VM. The platform is asked to drain it only
/// once this command is committed.
struct GrantDrain {
  static constexpr const char *Kind = "grantDrain";
  std::string Wave;
  std::string Vm;
  /// The VM's boot count when the drain was granted, as the platform reports
  /// it.
  uint64_t Boots = 0;

  static void describe(auto &Self, auto Field) {
    Field("wave", Self.Wave);
    Field("vm", Self.Vm);
    Field("boots", Self.Boots);
  }
  bool operator==(const GrantDrain &) const = default;
};

/// Records that a VM was maintained and is up again.
struct FinishDrain {
  static constexpr const char *Kind = "finishDrain";
  std::string Wave;
  std::string Vm;

  static void describe(auto &Self, auto Field) {
    Field("wave", Self.Wave);
    Field("vm", Self.Vm);
  }
  bool operator==(const FinishDrain &) const = default;
};

/// Registers a run of an entry VM. Refused if a later run is registered or this
/// one has expired.
struct RegisterEntryVm {
  static constexpr const char *Kind = "registerEntry";
  EntryRun Run;
  std::string DataCentre;
  std::string PeerAddress;

  static void describe(auto &Self, auto Field) {
    Field("run", Self.Run);
    Field("dataCentre", Self.DataCentre);
    Field("peerAddress", Self.PeerAddress);
  }
  bool operator==(const RegisterEntryVm &) const = default;
};

/// Adds Amount to the slice that a run of an entry VM holds. Refused if the
/// team's slices would exceed its limit.
struct GrantSlice {
  static constexpr const char *Kind = "grantSlice";
  EntryRun Run;
  std::string Team;
  uint32_t Amount = 0;

  static void describe(auto &Self, auto Field) {
    Field("run", Self.Run);
    Field("team", Self.Team);
    Field("add", Self.Amount);
  }
  bool operator==(const GrantSlice &) const = default;
};

/// Shrinks a slice to Retained. Refused unless Version is the slice's current
/// version.
struct ReleaseSlice {
  static constexpr const char *Kind = "releaseSlice";
  EntryRun Run;
  std::string Team;
  Revision Version = 0;
  uint32_t Retained = 0;

  static void describe(auto &Self, auto Field) {
    Field("run", Self.Run);
    Field("team", Self.Team);
    Field("version", Self.Version);
    Field("keep", Self.Retained);
  }
  bool operator==(const ReleaseSlice &) const = default;
};

/// Returns the slices of a run of an entry VM. Proposed once everything that
/// the run could have started has ended. The run gets no slice afterwards; the
/// entry VM must register as a new run.
struct ExpireRun {
  static constexpr const char *Kind = "expireRun";
  EntryRun Run;

  static void describe(auto &Self, auto Field) { Field("run", Self.Run); }
  bool operator==(const ExpireRun &) const = default;
};

/// Starts the next epoch of keepers of request ids.
struct SetKeepers {
  static constexpr const char *Kind = "setKeepers";
  uint64_t Epoch = 0;
  std::map<std::string, uint64_t> Keepers;

  static void describe(auto &Self, auto Field) {
    Field("epoch", Self.Epoch);
    Field("now", Self.Keepers);
  }
  bool operator==(const SetKeepers &) const = default;
};

/// Marks the records of a keeper as lost in the current epoch. The keeper's
/// lease must have expired.
struct MarkKeeperLost {
  static constexpr const char *Kind = "loseKeeper";
  uint64_t Epoch = 0;
  EntryRun Run;

  static void describe(auto &Self, auto Field) {
    Field("epoch", Self.Epoch);
    Field("run", Self.Run);
  }
  bool operator==(const MarkKeeperLost &) const = default;
};

/// Any of the actions above. Each is stored under its Kind.
using FleetAction =
    std::variant<ApplyDocument, RemoveDocument, GrantKey, WithdrawKey,
                 AddOperator, RemoveOperator, CreatePool, AddVm, MoveVm,
                 AnnounceWave, CancelWave, GrantDrain, FinishDrain,
                 RegisterEntryVm, GrantSlice, ReleaseSlice, ExpireRun,
                 SetKeepers, MarkKeeperLost>;

/// An action with the operation id under which it runs at most once. Actions
/// that the planners propose have no operation id; their own checks make them
/// idempotent.
struct FleetCommand {
  std::string OperationId;
  /// Name of the operator who sent the command, for the journal.
  std::string Operator;
  FleetAction Action;
  bool operator==(const FleetCommand &) const = default;
};

/// Whether a command changed the state, and if not, why.
enum class CommandStatus : uint8_t {
  Accepted = 0,
  Conflict = 1, // Another change came first; the result holds its revision.
  NotFound = 2,
  Invalid = 3,
  OperationIdReused = 4, // The operation id was used for a different action.
};

/// Result of applying a command, the same on every control VM.
struct CommandResult {
  CommandStatus Status = CommandStatus::Accepted;
  /// The revision that this command created, or on a conflict the current
  /// revision of the object concerned.
  Revision AtRevision = 0;
  std::string Detail;

  static void describe(auto &Self, auto Field) {
    Field("status", Self.Status);
    Field("revision", Self.AtRevision);
    Field("detail", Self.Detail);
  }
  bool operator==(const CommandResult &) const = default;
};

/// Encodes a command as CBOR for a log entry.
std::string encodeCommand(const FleetCommand &Command);

/// Decodes what encodeCommand() encoded. Returns false if the bytes are not a
/// valid command.
bool decodeCommand(const std::string &Bytes, FleetCommand &Command);

} // namespace mimosashunt

#endif
