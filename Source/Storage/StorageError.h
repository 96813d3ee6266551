// Errors of the durable state. Each of them stops the daemon, which never tries
// to repair or reinterpret damaged data.

#ifndef MIMOSASHUNT_STORAGE_STORAGEERROR_H
#define MIMOSASHUNT_STORAGE_STORAGEERROR_H

#include <system_error>

namespace mimosashunt {

enum class StorageError {
  /// A file of the folder cannot be opened or read.
  CannotOpen = 1,
  /// A file of the folder cannot be written or synced.
  CannotWrite,
  /// The content of the folder is corrupt or incomplete.
  Damaged,
  /// The folder belongs to another VM.
  ForeignFolder,
  /// Another process has locked the folder.
  InUse,
};

const std::error_category &storageErrorCategory();
std::error_code make_error_code(StorageError Error);

} // namespace mimosashunt

template <>
struct std::is_error_code_enum<mimosashunt::StorageError> : std::true_type {};

#endif
