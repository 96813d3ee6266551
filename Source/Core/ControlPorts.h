// Interfaces through which the control core reaches disk, network and platform.
// Daemons implement them with disks and sockets, tests with small fakes.

#ifndef MIMOSASHUNT_CORE_CONTROLPORTS_H
#define MIMOSASHUNT_CORE_CONTROLPORTS_H

#include "Core/RaftTypes.h"

#include <string>
#include <system_error>

namespace mimosashunt {

/// Durable storage of the Raft log.
class LogStore {
public:
  virtual ~LogStore() = default;

  /// Makes the state, snapshot and entries of \p Output durable before it
  /// returns. After an error the content of the disk is unknown, so the process
  /// must stop.
  virtual std::error_code write(const RaftOutput &Output) = 0;

  /// Replaces the log entries up to the index of \p Base by that snapshot and
  /// keeps the entries after it.
  virtual std::error_code compact(const Snapshot &Base) = 0;
};

/// Sends messages to other control VMs.
class RaftTransport {
public:
  virtual ~RaftTransport() = default;

  /// Sends \p Message to \p Address. The message may be lost, repeated or
  /// reordered.
  virtual void send(const RaftMessage &Message, const std::string &Address) = 0;

  /// Asks the control VM at \p Address to add this one to the group. The
  /// request may be lost.
  virtual void sendJoinRequest(const Member &Self,
                               const std::string &Address) = 0;
};

/// Orders to the platform that runs the VMs. Both orders are idempotent and may
/// be lost; their effect shows in the platform's next report.
class PlatformPort {
public:
  virtual ~PlatformPort() = default;

  /// Orders the platform to drain the VM.
  virtual void drainVm(const std::string &Vm) = 0;
  /// Orders the platform to reboot the VM.
  virtual void rebootVm(const std::string &Vm) = 0;
};

} // namespace mimosashunt

#endif
