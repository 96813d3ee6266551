// Decision core of a control VM. It drives the replicated log, applies
// committed commands and replies to entry VMs. On the leader it also plans
// maintenance waves, slices, keepers and group membership.

#ifndef MIMOSASHUNT_CORE_CONTROLCORE_H
#define MIMOSASHUNT_CORE_CONTROLCORE_H

#include "Core/ControlPorts.h"
#include "Core/FleetState.h"
#include "Core/FleetStatus.h"
#include "Core/KeeperPlanner.h"
#include "Core/MembershipChanger.h"
#include "Core/Raft.h"
#include "Core/SlicePlanner.h"
#include "Core/WavePlanner.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

/// A control VM as listed in the settings.
struct ControlVm {
  std::string Vm;
  std::string DataCentre;
  std::string Address;
  bool operator==(const ControlVm &) const = default;
};

/// Timing and policies of the control core.
struct ControlOptions {
  RaftOptions Raft;
  MembershipOptions Membership{.JoinRequestLifetime = milliseconds(1500)};
  /// How long an entry VM may use its configuration without renewal. A
  /// withdrawn key stops working everywhere within this time.
  Duration EntryLeaseDuration = seconds(3);
  /// Silence after which everything that an entry VM could have started has
  /// ended: its lease, the sessions of its backend servers and the longest
  /// request.
  Duration RunExpiryTimeout = seconds(40);
  /// Reports older than this no longer count as current.
  Duration MaxReportAge = seconds(2);
  /// Time between two planning passes of the leader.
  Duration PlanInterval = milliseconds(200);
  /// Interval at which output of the log is collected that its own timers
  /// produced.
  Duration LogPollInterval = milliseconds(20);
  /// Time between two requests of a non-member to join the group.
  Duration JoinInterval = milliseconds(500);
  /// Number of applied log entries after which a snapshot replaces them.
  size_t EntriesPerSnapshot = 2000;
  WavePolicy Waves = BudgetLimited{};
};

/// The command was not accepted, because this is not the leader.
struct NotLeader {
  std::string LeaderVm; // Empty if the leader is unknown.
  bool operator==(const NotLeader &) const = default;
};

/// The command may or may not take effect. Resending it under the same
/// operation id returns its result.
struct ResultUnknown {
  bool operator==(const ResultUnknown &) const = default;
};

using SubmitResult = std::variant<CommandResult, NotLeader, ResultUnknown>;

/// Combines the Raft member, the replicated fleet state and the planners of one
/// control VM. Not thread-safe; all calls and timers run on one thread.
class ControlCore {
public:
  using SubmitCallback = std::function<void(const SubmitResult &)>;
  using AppliedHandler =
      std::function<void(const FleetCommand &, const CommandResult &)>;

  /// \p ConfiguredVms are the control VMs of the settings, including \p Self.
  /// \p Durable is the content of the disk, and \p Seed makes election timeouts
  /// random.
  ControlCore(DiskId Disk, ControlVm Self, std::vector<ControlVm> ConfiguredVms,
              const DurableLog &Durable, ControlOptions Options,
              TimerService &Timers, uint64_t Seed, LogStore &Store,
              RaftTransport &Transport, PlatformPort &Platform);
  ~ControlCore();

  /// Starts the group with this VM as its only voter and \p First as its first
  /// operator. Returns false unless the disk is empty. Other control VMs join
  /// by themselves.
  bool bootstrap(const AddOperator &First);

  /// Handles a Raft message from another control VM.
  void receive(const RaftMessage &Message);
  /// Notes that a control VM wants to join. Ignored unless the settings list
  /// it.
  void handleJoinRequest(const Member &New);
  /// Handles the periodic report of an entry VM. Returns its configuration
  /// lease, slices and peers.
  EntryReply handleSync(const EntryReport &Report);
  /// Replaces the status of all VMs that the platform reports.
  void handlePlatformReport(std::map<std::string, VmStatus> Vms);

  /// Proposes a command. Calls \p OnResult once: when the command is applied,
  /// when its result becomes unknown, or at once if this is not the leader.
  void submit(const FleetCommand &Command, SubmitCallback OnResult);

  /// Sets a function that is called for each applied command, for the journal.
  void setAppliedHandler(AppliedHandler Run) { OnApplied = std::move(Run); }

  /// True while this VM holds the leader lease. Only then may it answer reads.
  bool isLeader() const { return RaftNode.holdsLease(); }
  /// Name of the leader's VM, or empty if unknown.
  std::string leaderVm() const;
  const FleetState &state() const { return State; }
  const FleetStatus &fleetStatus() const { return LatestStatus; }
  const Raft &raft() const { return RaftNode; }
  const std::vector<WaveObstacle> &obstacles() const { return Obstacles; }
  /// Estimates the time until the wave ends from the drains that this leader
  /// has observed. Returns nothing before the first of them has finished.
  std::optional<Duration>
  estimateRemainingWaveTime(const std::string &Wave) const;
  /// Error of the log store. Once it is set, nothing is sent or applied any
  /// more.
  std::error_code storeError() const { return StoreError; }
  size_t pendingSubmissions() const { return PendingCommands.size(); }

private:
  /// A submitted command without a result yet.
  struct PendingCommand {
    Term AtTerm;
    SubmitCallback OnResult;
  };

  /// Writes, sends and applies all output of the Raft member.
  void processRaftOutput();
  void sendMessage(const RaftMessage &Message);
  void applyCommitted(const RaftOutput &Output);
  void applyEntry(LogIndex Index, const LogEntry &Entry);
  void installSnapshot(const Snapshot &Installed);
  /// Reports an unknown result for all submitted commands.
  void failPendingCommands();
  void compactLogIfNeeded();
  void onPlanTimer();
  /// Adds, promotes or removes at most one group member.
  void changeMembership();
  void planWaves();
  /// Orders drains and reboots from the platform and records finished drains.
  void advanceDrains();
  void planSlices();
  void planKeepers();
  /// Proposes the expiry of entry VM runs that were silent too long.
  void expireRuns();
  void requestJoin();
  /// True if no command that the planners proposed is in flight.
  bool hasAppliedPlans() const;
  /// Proposes an action of the control core itself, without operation id.
  void proposeAction(FleetAction Action);
  /// Address of a group member, or empty if unknown.
  std::string addressOf(DiskId Disk) const;
  /// The control VM of this name in the settings, or null.
  const ControlVm *findConfiguredVm(const std::string &Vm) const;
  EntryReply makeEntryReply(const EntryReport &Report) const;

  const ControlVm Self;
  const std::vector<ControlVm> ConfiguredVms;
  const ControlOptions Options;
  TimerService &Timers;
  LogStore &Store;
  RaftTransport &Transport;
  PlatformPort &Platform;

  Raft RaftNode;
  MembershipChanger Changer;
  FleetState State;
  FleetStatus LatestStatus;
  WavePlanner Waves;
  SlicePlanner Slices;
  KeeperPlanner Keepers;

  std::map<LogIndex, PendingCommand> PendingCommands;
  LogIndex LastApplied = 0;
  // Index of the last command that the planners proposed. It must be applied
  // before they plan again, so that nothing is granted twice.
  LogIndex LastPlannedIndex = 0;
  std::optional<Instant> LeaderSince;
  std::vector<WaveObstacle> Obstacles;
  std::map<std::pair<std::string, std::string>, uint32_t> SliceTargets;
  // Runs whose expiry or loss as a keeper is in flight. They get no lease
  // meanwhile, because what they hold may be granted to others as soon as the
  // command commits.
  std::set<EntryRun> Expiring;
  /// When this leader first saw a drain of the wave, and how many VMs of the
  /// wave were finished then.
  struct WaveProgress {
    Instant FirstDrainAt;
    size_t FinishedAtFirstDrain = 0;
  };
  std::map<std::string, WaveProgress> Progress; // Of unfinished waves.
  TimerId LogPollTimer = 0;
  TimerId PlanTimer = 0;
  TimerId JoinTimer = 0;
  std::error_code StoreError;
  bool IsProcessingOutput = false;
  AppliedHandler OnApplied;
};

} // namespace mimosashunt

#endif
