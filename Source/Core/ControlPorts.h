// What the control core needs of the world around it. Daemons implement these
// with disks and sockets, tests with small fakes.

#ifndef MIMOSASHUNT_CORE_CONTROLPORTS_H
#define MIMOSASHUNT_CORE_CONTROLPORTS_H

#include "Core/RaftTypes.h"

#include <string>
#include <system_error>

namespace mimosashunt {

class LogStore {
public:
  virtual ~LogStore() = default;

  /// Makes the output's state, snapshot and entries durable. After an error
  /// the process must stop: what the disk holds is then unknown.
  virtual std::error_code write(const RaftOutput &Output) = 0;

  /// Replaces the log up to the snapshot's index. \p Rest are the entries
  /// that follow it.
  virtual std::error_code compact(const Snapshot &Base) = 0;
};

class RaftTransport {
public:
  virtual ~RaftTransport() = default;

  /// May lose, repeat or reorder messages.
  virtual void send(const RaftMessage &Message, const std::string &Address) = 0;

  /// Tells another control VM that this one wants to join the group.
  virtual void sendJoinRequest(const Member &Self,
                               const std::string &Address) = 0;
};

class PlatformPort {
public:
  virtual ~PlatformPort() = default;

  /// Both are idempotent and may be lost; their effect shows in the platform's
  /// next report.
  virtual void drainVm(const std::string &Vm) = 0;
  virtual void rebootVm(const std::string &Vm) = 0;
};

} // namespace mimosashunt

#endif
