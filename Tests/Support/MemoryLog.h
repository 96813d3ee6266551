// Implements a log store in memory, in place of a disk.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_MEMORYLOG_H
#define MIMOSASHUNT_TESTS_SUPPORT_MEMORYLOG_H

#include "Core/ControlPorts.h"

namespace mimosashunt::test {

/// Stores the Raft state, snapshot and log entries of one simulated disk.
/// Writes never fail.
class MemoryLog : public LogStore {
public:
  std::error_code write(const RaftOutput &Output) override;
  std::error_code compact(const Snapshot &Base) override;

  /// Everything written so far, as a restarted process would read it.
  const DurableLog &held() const { return Stored; }

private:
  DurableLog Stored;
};

} // namespace mimosashunt::test

#endif
