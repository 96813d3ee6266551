// Files made of checksummed records. An incomplete record at the end of a file
// is the trace of a crash and is ignored; damage anywhere else is an error.

#ifndef MIMOSASHUNT_STORAGE_RECORDFILE_H
#define MIMOSASHUNT_STORAGE_RECORDFILE_H

#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

namespace mimosashunt {

/// Returns \p Payload preceded by a header with its length and checksum. The
/// checksum covers \p Sequence, the record's position in the file, so that a
/// stale copy at another position is not accepted.
std::string frameRecord(const std::string &Payload, uint64_t Sequence);

struct ParsedRecords {
  std::vector<std::string> Payloads;
  /// Total size of the complete records; any bytes after them belong to an
  /// incomplete one.
  size_t ValidBytes = 0;
};

/// Reads the records of \p Bytes, the first of which has the sequence number
/// \p FirstSequence. Stops at the first invalid record, and fails with
/// StorageError::Damaged if a valid record follows it.
std::error_code parseRecords(const std::string &Bytes, uint64_t FirstSequence,
                             ParsedRecords &Result);

/// Reads a whole file. A file that does not exist reads as empty; other
/// failures are StorageError::CannotOpen.
std::error_code readFile(const std::string &Path, std::string &Bytes);

/// Replaces a file atomically and durably: after a crash either the old or the
/// new content is there, complete. Fails with StorageError::CannotOpen or
/// CannotWrite.
std::error_code replaceFile(const std::string &Folder, const std::string &Name,
                            const std::string &Bytes);

/// Makes changes to the folder's directory entries durable. Fails with
/// StorageError::CannotOpen or CannotWrite.
std::error_code syncFolder(const std::string &Folder);

} // namespace mimosashunt

#endif
