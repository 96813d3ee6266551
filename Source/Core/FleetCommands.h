// Commands that change the replicated state, and their results.

#ifndef MIMOSASHUNT_CORE_FLEETCOMMANDS_H
#define MIMOSASHUNT_CORE_FLEETCOMMANDS_H

#include "Core/FleetTypes.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

/// Replaces a team's document. Expected names the revision that was read, or
/// zero for a new document.
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

/// Withdraws a key for good; its digest can never be granted again.
struct WithdrawKey {
  static constexpr const char *Kind = "withdrawKey";
  KeyDigest Digest;

  static void describe(auto &Self, auto Field) { Field("digest", Self.Digest); }
  bool operator==(const WithdrawKey &) const = default;
};

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

struct RemoveOperator {
  static constexpr const char *Kind = "removeOperator";
  std::string Name;

  static void describe(auto &Self, auto Field) { Field("name", Self.Name); }
  bool operator==(const RemoveOperator &) const = default;
};

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

/// Leaves one pool and joins another in one step; refused unless the VM is in
/// the pool that it is said to leave.
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

/// Ends a wave early: waiting VMs leave it, draining ones finish.
struct CancelWave {
  static constexpr const char *Kind = "cancelWave";
  std::string Wave;

  static void describe(auto &Self, auto Field) { Field("wave", Self.Wave); }
  bool operator==(const CancelWave &) const = default;
};

/// The planner's leave to drain a VM, valid once committed.
struct GrantDrain {
  static constexpr const char *Kind = "grantDrain";
  std::string Wave;
  std::string Vm;
  /// The VM's boots so far, by the platform's count.
  uint64_t Boots = 0;

  static void describe(auto &Self, auto Field) {
    Field("wave", Self.Wave);
    Field("vm", Self.Vm);
    Field("boots", Self.Boots);
  }
  bool operator==(const GrantDrain &) const = default;
};

/// The VM was maintained and is up again.
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

/// Gives a run of an entry VM more of a team's limit. Refused beyond it.
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

/// The holder gave back what is above Keep, in answer to version Version.
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

/// All that the run could have started has ended: its slices return. The run
/// gets no slice afterwards, unless it registers again as a new run.
struct ExpireRun {
  static constexpr const char *Kind = "expireRun";
  EntryRun Run;

  static void describe(auto &Self, auto Field) { Field("run", Self.Run); }
  bool operator==(const ExpireRun &) const = default;
};

/// Begins the next epoch of keepers of request ids.
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

/// Gives up a keeper's records inside the present epoch. Its lease must have
/// ended.
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

using FleetAction =
    std::variant<ApplyDocument, RemoveDocument, GrantKey, WithdrawKey,
                 AddOperator, RemoveOperator, CreatePool, AddVm, MoveVm,
                 AnnounceWave, CancelWave, GrantDrain, FinishDrain,
                 RegisterEntryVm, GrantSlice, ReleaseSlice, ExpireRun,
                 SetKeepers, MarkKeeperLost>;

/// An action with the name under which it runs at most once. Actions of the
/// system itself carry no operation id; their own checks make them idempotent.
struct FleetCommand {
  std::string OperationId;
  /// Who asked, for the journal.
  std::string Operator;
  FleetAction Action;
  bool operator==(const FleetCommand &) const = default;
};

enum class CommandStatus : uint8_t {
  Accepted = 0,
  Conflict = 1, // Somebody else was first; the revision says with what.
  NotFound = 2,
  Invalid = 3,
  OperationIdReused = 4, // The same id with another action.
};

struct CommandResult {
  CommandStatus Status = CommandStatus::Accepted;
  /// The revision that this command made, or on a conflict the present one of
  /// the object concerned.
  Revision AtRevision = 0;
  std::string Detail;

  static void describe(auto &Self, auto Field) {
    Field("status", Self.Status);
    Field("revision", Self.AtRevision);
    Field("detail", Self.Detail);
  }
  bool operator==(const CommandResult &) const = default;
};

std::string encodeCommand(const FleetCommand &Command);

/// Reverses encodeCommand(). Returns false for bytes that are no command.
bool decodeCommand(const std::string &Bytes, FleetCommand &Command);

} // namespace mimosashunt

#endif
