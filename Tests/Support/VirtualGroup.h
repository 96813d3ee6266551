// Simulates the consensus group of the control VMs in virtual time: real
// replicas on an in-memory network, with disks that outlive their process.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_VIRTUALGROUP_H
#define MIMOSASHUNT_TESTS_SUPPORT_VIRTUALGROUP_H

#include "Agreement/Replica.h"
#include "Support/MemoryLog.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt::test {

/// Keeps the committed commands in order.
class RecordingState : public ReplicatedState {
public:
  void apply(LogIndex, const std::string &Command) override {
    AppliedWords.push_back(Command);
  }
  std::string snapshot() const override;
  bool canRestore(const std::string &Data) override {
    return Data != "unreadable";
  }
  std::error_code restore(const std::string &Data) override;

  std::vector<std::string> AppliedWords;
};

class VirtualGroup;

/// A control VM: its disk, and the process that runs on it, if any.
struct ControlVm : RaftTransport {
  ControlVm(VirtualGroup &Group, std::string Address, DiskId Disk,
            bool IsFirstStart);

  /// Starts the process with what the disk holds.
  void start();
  void send(const RaftMessage &Message, const std::string &To) override;
  void sendJoinRequest(const Member &Self, const std::string &) override;

  VirtualGroup &Group;
  const std::string Address;
  const DiskId Disk;
  RecordingState State;
  MemoryLog Store;
  GroupBootstrap Bootstrap;
  std::unique_ptr<Replica> Node; // Null while the process does not run.
};

/// The control VMs of one deployment, by address.
class VirtualGroup {
public:
  explicit VirtualGroup(std::vector<std::string> Seeds)
      : Seeds(std::move(Seeds)) {}

  /// Starts a VM with an empty disk. One that was at \p Address is gone.
  ControlVm &add(const std::string &Address, DiskId Disk, bool IsFirstStart);
  /// Adds a VM at each seed, with disks 10 and so on, at its first start.
  void addSeeds();
  /// Removes a VM and its disk for good.
  void remove(const std::string &Address) { Vms.erase(Address); }

  void run(Duration For);
  /// Returns the leader that others can reach, or null.
  ControlVm *leader();
  /// Proposes a word to the leader; returns true once it is committed.
  bool propose(const std::string &Word);
  void deliver(const std::string &To, const RaftMessage &Message);

  TimerService Timers{Instant(seconds(100))};
  /// How far run() moves the time at once.
  Duration Step = milliseconds(1);
  const std::vector<std::string> Seeds;
  std::map<std::string, std::unique_ptr<ControlVm>> Vms;
  std::set<std::string> IsolatedVms;
  /// The most leaders that were seen at one instant.
  size_t MostLeaders = 0;

private:
  void exchangeOffers();
};

} // namespace mimosashunt::test

#endif
