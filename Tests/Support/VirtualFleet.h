// Simulates a small fleet in virtual time: real control and entry cores on a
// lossy in-memory network, with fake disks, backend servers, platform and
// callers. It records what ran where, so that tests can check invariants.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_VIRTUALFLEET_H
#define MIMOSASHUNT_TESTS_SUPPORT_VIRTUALFLEET_H

#include "Core/ControlCore.h"
#include "Core/EntryCore.h"
#include "Support/MemoryLog.h"
#include "Support/VirtualNetwork.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt::test {

/// Size, policies and faults of a simulated fleet. Percentages apply to
/// messages.
struct FleetShape {
  uint64_t Seed = 1;
  size_t Controls = 3;
  size_t Entries = 3;
  size_t Backends = 6;
  unsigned LossPercent = 0;
  unsigned DuplicatePercent = 0;
  uint32_t Limit = 8;
  uint32_t MaxUnavailable = 2;
  Duration Work = milliseconds(40); // How long a run takes.
  uint32_t DeadlineMillis = 3000;
  WavePolicy Waves = BudgetLimited{};
  size_t EntriesPerSnapshot = 20;
};

/// A caller's request with the outcome of every time it was sent.
struct CallerRequest {
  std::string Id;
  std::string Key; // Digest of the key; empty for open work.
  bool Idempotent = false;
  unsigned Sendings = 0; // The first attempt and all resends.
  std::vector<Outcome> Outcomes;
  unsigned Runs = 0; // How often a backend server started it.
};

/// A dispatch that reached a backend server and started to run.
struct RunRecord {
  Duration At;
  std::string RequestId;
  std::string Key;
  size_t Backend;
};

/// A change whose acceptance was reported to the operator.
struct AcceptedChange {
  std::string OperationId;
  CommandResult Result;
  Duration At;
};

/// Runs the simulated fleet tick by tick and drives its callers and operators.
class VirtualFleet {
public:
  static constexpr Duration Tick = VirtualNetwork::Tick;
  static const char *const Team;
  static const char *const Key;

  explicit VirtualFleet(FleetShape Shape);
  ~VirtualFleet();

  /// Bootstraps the control group, applies the team's document and key, adds
  /// the VMs, waits until the configuration is in force on all entry VMs and
  /// the group is complete, and enables message loss. Returns false on failure.
  bool start();

  /// Advances the simulation by \p Span.
  void run(Duration Span);
  /// Advances until \p Condition returns true; returns false if \p Timeout
  /// passes first.
  bool runUntil(const std::function<bool()> &Condition, Duration Timeout);

  // Fault injection. Durations count from now().

  /// Ends a control VM's process; with \p LoseDisk it later starts with an
  /// empty disk of a new identity.
  void crashControl(size_t Index, bool LoseDisk);
  /// Starts a crashed control VM; does nothing if it is running.
  void restartControl(size_t Index);
  /// Replaces an entry VM's process by a new incarnation without its memory.
  void restartEntry(size_t Index);
  /// Ends an entry VM's process until restartEntry().
  void stopEntry(size_t Index);
  /// Ends a backend server's process and its runs without an answer.
  void crashBackend(size_t Index);
  /// Starts a crashed backend server in a new epoch; does nothing if it is
  /// running.
  void restartBackend(size_t Index);
  /// Lets a backend server announce that it is leaving. With \p NoticeLost all
  /// its messages to entry VMs are lost for 60 s.
  void leaveBackend(size_t Index, bool NoticeLost);
  VirtualNetwork &network() { return Network; }

  /// Sends a change to a control VM once; the caller resends under the same
  /// operation id if needed.
  void submit(const std::string &OperationId, const FleetAction &Action,
              size_t Control);
  /// Resends a change to the current leader until one answers with a result;
  /// returns nothing if \p Timeout passes first.
  std::optional<CommandResult> change(const std::string &OperationId,
                                      const FleetAction &Action,
                                      Duration Timeout);

  /// Sends a request once through an entry VM.
  void request(const std::string &Id, const std::string &Key, bool Idempotent,
               size_t Entry);

  /// Returns the result of an operation, or null if there is none yet.
  const CommandResult *answerOf(const std::string &OperationId) const;

  Duration now() const { return Network.now(); }
  /// Index of the first control VM that considers itself leader.
  std::optional<size_t> leader() const;
  /// Null while the control VM is down.
  ControlCore *control(size_t Index) { return Controls[Index].Core.get(); }
  EntryCore &entry(size_t Index) { return *Entries[Index].Core; }
  const std::map<std::string, CallerRequest> &requests() const {
    return Requests;
  }
  const std::vector<RunRecord> &runs() const { return Runs; }
  const std::vector<AcceptedChange> &accepted() const { return Accepted; }
  /// Largest number of concurrent runs of the team so far.
  uint32_t mostRunning() const { return MostRunning; }
  /// Runs with a key that are in progress on any backend server.
  uint32_t runningNow() const;
  /// Counts backend servers that are alive, not leaving and on a VM that is up,
  /// from the simulation's own state and not from reports.
  uint32_t trulyAvailable() const;
  /// A drain ordered from the platform; Left is trulyAvailable() right after
  /// it.
  struct DrainRecord {
    Duration At;
    std::string Vm;
    uint32_t Left;
  };
  const std::vector<DrainRecord> &drains() const { return Drains; }
  /// True if every entry VM has a valid lease and applies the leader's latest
  /// configuration.
  bool inForceEverywhere();
  std::string vmOf(size_t Backend) const;
  /// Instances that the service must keep available.
  uint32_t required() const { return Service.requiredInstances(); }
  /// True if the current disk of every control VM is a voter according to the
  /// membership in \p Control's log.
  bool disksAreMembers(size_t Control) const;
  /// False if running control VMs with the same commit index differ in state.
  bool logsAgree() const;

private:
  struct Transport;
  struct Platform;
  struct Port;

  struct ControlNode {
    std::unique_ptr<TimerService> Timers;
    std::unique_ptr<MemoryLog> Disk;
    std::unique_ptr<Transport> Link;
    std::unique_ptr<ControlCore> Core;
    DiskId DiskIdentity = NoDisk;
  };
  struct EntryNode {
    std::unique_ptr<TimerService> Timers;
    std::unique_ptr<Port> Link;
    std::unique_ptr<EntryCore> Core;
    uint64_t Incarnation = 1;
    size_t ControlIndex = 0;
    bool SyncPending = false;
    uint64_t SyncNumber = 0;
    Duration NextSync{};
  };
  struct BackendNode {
    bool Alive = true;
    bool Leaving = false;
    uint64_t Epoch = 1;
    size_t EntryIndex = 0;
    Duration SessionUntil{};
    Duration NextHeartbeat{};
    bool HeartbeatPending = false;
    uint64_t HeartbeatNumber = 0;
    bool Released = false;
    struct RunningAttempt {
      std::string RequestId;
      std::string Key;
      Duration EndsAt;
      std::function<void(AttemptResult)> OnResult;
    };
    std::map<AttemptId, RunningAttempt> Running;
  };
  struct VmNode {
    VmStatus Status{VmState::Up, 1};
    Duration RebootEndsAt{};
  };

  /// Index of the entry VM named \p Vm; 0 if there is none.
  size_t entryIndexOf(const std::string &Vm) const;
  /// Updates the time that a node's core sees before a message arrives.
  void updateNodeTime(NodeName Node);
  void makeControl(size_t Index);
  void makeEntry(size_t Index);
  void step();
  void stepEntry(size_t Index);
  void stepBackend(size_t Index);
  void stepPlatform();
  /// Announces a backend server to its entry VM.
  void sendHeartbeat(size_t Index);
  /// Sends an entry VM's report to the control VM it currently uses.
  void sendSync(size_t Index);
  /// Starts an attempt on a backend server, or refuses it if the epoch is
  /// stale, the session has expired or all slots are taken. A crashed server
  /// does not answer.
  void handleAttempt(size_t Backend, const Dispatch &Order,
                     const std::string &RequestId, const std::string &Key,
                     const std::function<void(AttemptResult)> &OnResult);
  BackendAnnouncement makeAnnouncement(size_t Index) const;

  const FleetShape Shape;
  ServiceSpec Service;
  VirtualNetwork Network;
  std::vector<ControlVm> ControlVms;
  std::vector<EntryVm> EntryVms;
  std::vector<ControlNode> Controls;
  std::vector<EntryNode> Entries;
  std::vector<BackendNode> Backends;
  std::unique_ptr<Platform> FakePlatform;
  std::map<std::string, VmNode> Vms;
  Duration NextPlatformReport{};
  uint64_t LastDiskIdentity = 0;
  LocalRequestId LastLocalRequestId = 0;
  std::map<LocalRequestId, std::string> CallerRequestIds;
  std::map<std::string, CallerRequest> Requests;
  std::vector<RunRecord> Runs;
  std::vector<AcceptedChange> Accepted;
  std::map<std::string, SubmitResult> Answers;
  std::vector<DrainRecord> Drains;
  // Transports and ports of ended processes; messages in flight still refer to
  // them.
  std::vector<std::shared_ptr<void>> Retired;
  uint32_t MostRunning = 0;
};

} // namespace mimosashunt::test

#endif
