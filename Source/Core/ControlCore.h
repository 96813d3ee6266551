// The control VM's decisions: it drives the replicated log, applies commands,
// answers entry VMs, and as leader plans waves, slices and membership.

#ifndef MIMOSASHUNT_CORE_CONTROLCORE_H
#define MIMOSASHUNT_CORE_CONTROLCORE_H

#include "Core/ControlPorts.h"
#include "Core/FleetState.h"
#include "Core/FleetStatus.h"
#include "Core/KeeperPlanner.h"
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

/// A control VM as the settings name it.
struct ControlVm {
  std::string Vm;
  std::string DataCentre;
  std::string Address;
  bool operator==(const ControlVm &) const = default;
};

struct ControlOptions {
  RaftOptions Raft;
  /// How long an entry VM may use a configuration without renewal. A withdrawn
  /// key stops everywhere within this time.
  Duration EntryLeaseDuration = seconds(3);
  /// After this silence all that an entry VM could have started has ended:
  /// its lease, the sessions of its backend servers and the longest run.
  Duration RunExpiryTimeout = seconds(40);
  Duration MaxReportAge = seconds(2);
  Duration PlanInterval = milliseconds(200);
  /// How long what the log's own timers decided may wait to be carried out.
  Duration LogPollInterval = milliseconds(20);
  Duration JoinInterval = milliseconds(500);
  size_t EntriesPerSnapshot = 2000;
  WavePolicy Waves = BudgetLimited{};
};

/// The command was not taken here.
struct NotLeader {
  std::string LeaderVm; // Empty if unknown.
  bool operator==(const NotLeader &) const = default;
};

/// The command may or may not take effect; a resend under the same operation
/// id tells.
struct ResultUnknown {
  bool operator==(const ResultUnknown &) const = default;
};

using SubmitResult = std::variant<CommandResult, NotLeader, ResultUnknown>;

class ControlCore {
public:
  using SubmitCallback = std::function<void(const SubmitResult &)>;
  using AppliedHandler =
      std::function<void(const FleetCommand &, const CommandResult &)>;

  /// \p Known are the control VMs of the settings, this one included.
  ControlCore(DiskId Disk, ControlVm Self, std::vector<ControlVm> Known,
              const DurableLog &Durable, ControlOptions Options,
              TimerService &Timers, uint64_t Seed, LogStore &Store,
              RaftTransport &Transport, PlatformPort &Platform);
  ~ControlCore();

  /// Founds the group with this VM as its only voter and first operator. Only
  /// on an empty disk; others join by themselves.
  bool bootstrap(const AddOperator &First);

  void receive(const RaftMessage &Message);
  void handleJoinRequest(const Member &New);
  EntryReply handleSync(const EntryReport &Report);
  void handlePlatformReport(std::map<std::string, VmStatus> Vms);

  /// Runs \p Done once: after commit, or at once if this is not the leader.
  void submit(const FleetCommand &Command, SubmitCallback Done);

  /// Runs for each command that is applied, for the journal.
  void setAppliedHandler(AppliedHandler Run) { OnApplied = std::move(Run); }

  /// True while this VM may answer reads: it leads and no other can.
  bool isLeader() const { return Log.holdsLease(); }
  std::string leaderVm() const;
  const FleetState &state() const { return State; }
  const FleetStatus &fleetStatus() const { return Picture; }
  const Raft &raft() const { return Log; }
  const std::vector<WaveObstacle> &obstacles() const { return Obstacles; }
  /// Time until the wave is expected to end, from the drains that this leader
  /// saw; none before the first has ended.
  std::optional<Duration>
  estimateRemainingWaveTime(const std::string &Wave) const;
  /// Error of the store; once set, nothing more is sent or applied.
  std::error_code storeError() const { return StoreError; }
  size_t pendingSubmissions() const { return Pending.size(); }

private:
  struct Waiting {
    Term AtTerm;
    SubmitCallback Done;
  };

  void pump();
  void sendOut(const RaftMessage &Message);
  void applyCommitted(const RaftOutput &Output);
  void applyEntry(LogIndex Index, const LogEntry &Entry);
  void installSnapshot(const Snapshot &Whole);
  void failPending();
  void compactIfLong();
  void onPlan();
  void planMembership();
  void planWaves();
  void driveDrains();
  void planSlices();
  void planKeepers();
  void expireRuns();
  void askToJoin();
  bool quiet() const;
  void proposeInternal(FleetAction Action);
  std::string addressOf(DiskId Disk) const;
  const ControlVm *known(const std::string &Vm) const;
  EntryReply answerFor(const EntryReport &Report) const;

  const ControlVm Self;
  const std::vector<ControlVm> Known;
  const ControlOptions Options;
  TimerService &Timers;
  LogStore &Store;
  RaftTransport &Transport;
  PlatformPort &Platform;

  Raft Log;
  FleetState State;
  FleetStatus Picture;
  WavePlanner Waves;
  SlicePlanner Slices;
  KeeperPlanner Keepers;

  std::map<LogIndex, Waiting> Pending;
  LogIndex LastApplied = 0;
  // Commands of the planners up to here must be applied before they plan
  // again, so that nothing is granted twice.
  LogIndex LastInternal = 0;
  std::optional<Instant> LeadsSince;
  std::vector<WaveObstacle> Obstacles;
  std::map<std::pair<std::string, std::string>, uint32_t> WantedSlices;
  std::map<std::string, Member> JoinRequests; // By VM.
  // Runs whose expiry or loss as a keeper is in flight; they get no lease
  // meanwhile, since what they hold may go to others as soon as it commits.
  std::set<EntryRun> Expiring;
  struct WaveProgress {
    Instant FirstDrain;
    size_t DoneAtFirst = 0;
  };
  std::map<std::string, WaveProgress> Progress; // Of waves under way.
  TimerId PumpTimer = 0;
  TimerId PlanTimer = 0;
  TimerId JoinTimer = 0;
  std::error_code StoreError;
  bool Pumping = false;
  AppliedHandler OnApplied;
};

} // namespace mimosashunt

#endif
