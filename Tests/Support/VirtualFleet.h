// A small fleet in virtual time: real control and entry cores over one lossy
// in-memory network, with fake disks, backend servers, platform and callers. It
// keeps account of what ran where, so that properties can be checked.

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

struct FleetShape {
  uint64_t Seed = 1;
  size_t Controls = 3;
  size_t Entries = 3;
  size_t Backends = 6;
  unsigned LossPercent = 0;
  unsigned DuplicatePercent = 0;
  uint32_t Limit = 8;
  uint32_t MaxUnavailable = 2;
  Duration Work = milliseconds(40);
  uint32_t DeadlineMillis = 3000;
  WavePolicy Waves = BudgetLimited{};
  size_t EntriesPerSnapshot = 20;
};

/// One request of a caller, with all its sendings.
struct CallerRequest {
  std::string Id;
  std::string Key; // Digest; empty without a key.
  bool Idempotent = false;
  unsigned Sendings = 0;
  std::vector<Outcome> Outcomes;
  unsigned Runs = 0;
};

/// A dispatch that reached a backend server and started to run.
struct RunRecord {
  Duration At;
  std::string RequestId;
  std::string Key;
  size_t Backend;
};

/// A change that an operator was told is accepted.
struct AcceptedChange {
  std::string OperationId;
  CommandResult Result;
  Duration At;
};

class VirtualFleet {
public:
  static constexpr Duration Tick = VirtualNetwork::Tick;
  static const char *const Team;
  static const char *const Key;

  explicit VirtualFleet(FleetShape Shape);
  ~VirtualFleet();

  /// Founds the group, applies the team's document and key, adds the VMs and
  /// waits until everything is in force. Returns false if that failed.
  bool start();

  void run(Duration Span);
  /// Runs until \p Holds or the time is over; returns whether it held.
  bool runUntil(const std::function<bool()> &Holds, Duration Most);

  // Faults. Durations count from now.
  void crashControl(size_t Index, bool LoseDisk);
  void restartControl(size_t Index);
  void restartEntry(size_t Index);
  /// Ends an entry VM until it is restarted.
  void stopEntry(size_t Index);
  void crashBackend(size_t Index);
  void restartBackend(size_t Index);
  void leaveBackend(size_t Index, bool NoticeLost);
  VirtualNetwork &network() { return Network; }

  /// Sends a change to a control VM; resends under the same id are the
  /// caller's to make.
  void submit(const std::string &OperationId, const FleetAction &Action,
              size_t Control);
  /// Sends until it is answered by a leader, or \p Most is over.
  std::optional<CommandResult> change(const std::string &OperationId,
                                      const FleetAction &Action, Duration Most);

  /// Sends a request once through an entry VM.
  void request(const std::string &Id, const std::string &Key, bool Idempotent,
               size_t Entry);

  /// Final answer to an operation, if it was given.
  const CommandResult *answerOf(const std::string &OperationId) const;

  Duration now() const { return Network.now(); }
  std::optional<size_t> leader() const;
  ControlCore *control(size_t Index) { return Controls[Index].Core.get(); }
  EntryCore &entry(size_t Index) { return *Entries[Index].Core; }
  const std::map<std::string, CallerRequest> &requests() const {
    return Requests;
  }
  const std::vector<RunRecord> &runs() const { return Runs; }
  const std::vector<AcceptedChange> &accepted() const { return Accepted; }
  /// Most runs of the team that were under way at once.
  uint32_t mostRunning() const { return MostRunning; }
  uint32_t runningNow() const;
  /// Serving backend servers whose VM is not being drained, as they truly are.
  uint32_t trulyAvailable() const;
  /// Times at which the platform was asked to drain, with the truly available
  /// instances left.
  struct DrainRecord {
    Duration At;
    std::string Vm;
    uint32_t Left;
  };
  const std::vector<DrainRecord> &drains() const { return Drains; }
  bool inForceEverywhere();
  std::string vmOf(size_t Backend) const;
  uint32_t required() const { return Service.requiredInstances(); }
  /// True if every control VM's present disk is a voter by \p Control's log.
  bool disksAreMembers(size_t Control) const;
  /// True if control VMs that have committed equally much have the same state.
  bool logsAgree() const;

private:
  struct Transport;
  struct Platform;
  struct Port;

  struct ControlNode {
    std::unique_ptr<TimerService> Timers;
    std::unique_ptr<MemoryLog> Disk;
    std::unique_ptr<Transport> Wire;
    std::unique_ptr<ControlCore> Core;
    DiskId DiskName = NoDisk;
  };
  struct EntryNode {
    std::unique_ptr<TimerService> Timers;
    std::unique_ptr<Port> Wire;
    std::unique_ptr<EntryCore> Core;
    uint64_t Incarnation = 1;
    size_t ControlAt = 0;
    bool SyncPending = false;
    uint64_t SyncNumber = 0;
    Duration NextSync{};
  };
  struct BackendNode {
    bool Alive = true;
    bool Leaving = false;
    uint64_t Epoch = 1;
    size_t EntryAt = 0;
    Duration SessionUntil{};
    Duration NextHeartbeat{};
    bool HeartbeatPending = false;
    uint64_t HeartbeatNumber = 0;
    bool Released = false;
    struct RunState {
      std::string RequestId;
      std::string Key;
      Duration Ends;
      std::function<void(AttemptResult)> Answer;
    };
    std::map<AttemptId, RunState> Running;
  };
  struct VmNode {
    VmStatus Status{VmState::Up, 1};
    Duration RebootedAt{};
  };

  size_t entryNamed(const std::string &Vm) const;
  /// Lets a node see the time at which a message arrives.
  void wake(NodeName Node);
  void makeControl(size_t Index);
  void makeEntry(size_t Index);
  void step();
  void stepEntry(size_t Index);
  void stepBackend(size_t Index);
  void stepPlatform();
  void heartbeat(size_t Index);
  void sync(size_t Index);
  void arriveAttempt(size_t Backend, const Dispatch &Order,
                     const std::string &RequestId, const std::string &Key,
                     const std::function<void(AttemptResult)> &Answer);
  BackendAnnouncement announcement(size_t Index) const;

  const FleetShape Shape;
  ServiceSpec Service;
  VirtualNetwork Network;
  std::vector<ControlVm> ControlVms;
  std::vector<EntryVm> EntryVms;
  std::vector<ControlNode> Controls;
  std::vector<EntryNode> Entries;
  std::vector<BackendNode> Backends;
  std::unique_ptr<Platform> Machines;
  std::map<std::string, VmNode> Vms;
  Duration NextPlatformReport{};
  uint64_t LastDisk = 0;
  LocalRequestId LastWork = 0;
  std::map<LocalRequestId, std::string> WorkNames;
  std::map<std::string, CallerRequest> Requests;
  std::vector<RunRecord> Runs;
  std::vector<AcceptedChange> Accepted;
  std::map<std::string, SubmitResult> Answers;
  std::vector<DrainRecord> Drains;
  // Ports of processes that ended; messages under way still refer to them.
  std::vector<std::shared_ptr<void>> Retired;
  uint32_t MostRunning = 0;
};

} // namespace mimosashunt::test

#endif
