// The Raft log on disk: the hard state, the latest snapshot and the log entries
// after it. Writes are synced to disk before they return.

#ifndef MIMOSASHUNT_STORAGE_DISKLOG_H
#define MIMOSASHUNT_STORAGE_DISKLOG_H

#include "Core/ControlPorts.h"
#include "Core/RaftTypes.h"

#include <string>
#include <system_error>
#include <vector>

namespace mimosashunt {

class DiskLog : public LogStore {
public:
  explicit DiskLog(std::string Folder) : Folder(std::move(Folder)) {}
  ~DiskLog() override;
  DiskLog(const DiskLog &) = delete;
  DiskLog &operator=(const DiskLog &) = delete;

  /// Reads the snapshot and the log of the folder into \p Result and opens the
  /// log for writing. An incomplete record at the end of the log, which a crash
  /// leaves behind, is discarded; any other damage fails with
  /// StorageError::Damaged.
  std::error_code load(DurableLog &Result);

  /// Appends changed hard state and new entries to the log, and replaces the
  /// snapshot if \p Output holds an installed one. Requires load().
  std::error_code write(const RaftOutput &Output) override;
  /// Writes \p Base as the snapshot and drops the entries that it covers. Does
  /// nothing if the present snapshot is as recent.
  std::error_code compact(const Snapshot &Base) override;

private:
  /// Opens the log file for appending.
  std::error_code openLog();
  /// Replaces the log file by one with the present state and entries only.
  std::error_code rewriteLog();
  /// Appends framed records to the log file and syncs it.
  std::error_code appendRecords(const std::string &Bytes);
  std::error_code writeSnapshot(const Snapshot &Base);

  const std::string Folder;
  int Descriptor = -1; // Of the log file; -1 if it is not open.
  HardState State;
  Snapshot Base;                 // Covers all entries up to Base.Index.
  std::vector<LogEntry> Entries; // The first has index Base.Index + 1.
  uint64_t NextSequence = 0; // Sequence number of the next record in the file.
  // Count of records superseded by later ones; rewriting the log drops them.
  size_t StaleRecords = 0;
};

} // namespace mimosashunt

#endif
