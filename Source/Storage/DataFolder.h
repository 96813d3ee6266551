// The folder that holds the durable state of a control VM and the identity of
// its disk. A lock file keeps two processes from using one folder, and a folder
// that belongs to another VM is refused.

#ifndef MIMOSASHUNT_STORAGE_DATAFOLDER_H
#define MIMOSASHUNT_STORAGE_DATAFOLDER_H

#include "Core/RaftTypes.h"

#include <string>
#include <system_error>

namespace mimosashunt {

class DataFolder {
public:
  DataFolder() = default;
  ~DataFolder();
  DataFolder(const DataFolder &) = delete;
  DataFolder &operator=(const DataFolder &) = delete;

  /// Opens the folder \p Path for \p Vm, creates it if needed, and locks it
  /// for the lifetime of this object. An empty folder is given the identity of
  /// \p Vm and \p NewDisk.
  /// Fails with StorageError::InUse if another process holds the lock,
  /// StorageError::ForeignFolder if the folder belongs to another VM,
  /// StorageError::Damaged if the identity file is unreadable, or missing
  /// beside other files, and StorageError::CannotOpen or CannotWrite if a file
  /// operation fails.
  std::error_code open(const std::string &Path, const std::string &Vm,
                       DiskId NewDisk);

  /// Path of the opened folder.
  const std::string &path() const { return Path; }
  /// Identity of the disk, NoDisk before open().
  DiskId disk() const { return Disk; }

private:
  std::string Path;
  DiskId Disk = NoDisk;
  int LockDescriptor = -1; // Of the lock file; -1 if it is not open.
};

} // namespace mimosashunt

#endif
