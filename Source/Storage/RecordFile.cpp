#include "Storage/RecordFile.h"

#include "Core/Hash.h"
#include "Storage/StorageError.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace mimosashunt {

namespace {

/// Header of each record in the file; the payload follows.
struct RecordHeader {
  uint32_t Length = 0;
  uint32_t Magic = 0;
  uint64_t Checksum = 0;
};

constexpr uint32_t RecordMagic = 0x4d534852;
constexpr uint32_t MaxRecordBytes = 256U << 20;

/// Checksum over the payload, its size and the sequence number.
uint64_t checksum(const char *Data, size_t Size, uint64_t Sequence) {
  return hashBytes({Data, Size}, hashBytes(std::to_string(Sequence), Size));
}

/// True if a complete record with this sequence number and a matching checksum
/// starts at \p Offset; \p Head then holds its header.
bool isValidRecordAt(const std::string &Bytes, size_t Offset, uint64_t Sequence,
                     RecordHeader &Head) {
  if (Bytes.size() - Offset < sizeof(RecordHeader))
    return false;
  std::memcpy(&Head, Bytes.data() + Offset, sizeof(RecordHeader));
  if (Head.Magic != RecordMagic || Head.Length > MaxRecordBytes ||
      Head.Length > Bytes.size() - Offset - sizeof(RecordHeader))
    return false;
  const char *Payload = Bytes.data() + Offset + sizeof(RecordHeader);
  return checksum(Payload, Head.Length, Sequence) == Head.Checksum;
}

/// True if a valid record follows the invalid one at \p Offset. The file is
/// then damaged, since a crash leaves only the records written last incomplete.
bool hasValidRecordAfter(const std::string &Bytes, size_t Offset,
                         uint64_t Sequence) {
  std::string MagicBytes(reinterpret_cast<const char *>(&RecordMagic),
                         sizeof(RecordMagic));
  size_t MagicOffset = Offset;
  RecordHeader Head;
  while ((MagicOffset = Bytes.find(MagicBytes, MagicOffset + 1)) !=
         std::string::npos) {
    size_t Start = MagicOffset - offsetof(RecordHeader, Magic);
    if (MagicOffset < offsetof(RecordHeader, Magic) || Start <= Offset)
      continue;
    // One sync may have covered several records, so the valid record that
    // follows may be any later one of them.
    constexpr uint64_t MaxRecordsSkipped = 4096;
    for (uint64_t Skipped = 1; Skipped <= MaxRecordsSkipped; ++Skipped)
      if (isValidRecordAt(Bytes, Start, Sequence + Skipped, Head))
        return true;
  }
  return false;
}

std::error_code writeAll(int Descriptor, const std::string &Bytes) {
  size_t Written = 0;
  while (Written < Bytes.size()) {
    ssize_t Count =
        write(Descriptor, Bytes.data() + Written, Bytes.size() - Written);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return StorageError::CannotWrite;
    Written += static_cast<size_t>(Count);
  }
  return {};
}

} // namespace

std::string frameRecord(const std::string &Payload, uint64_t Sequence) {
  RecordHeader Head;
  Head.Length = static_cast<uint32_t>(Payload.size());
  Head.Magic = RecordMagic;
  Head.Checksum = checksum(Payload.data(), Payload.size(), Sequence);
  std::string Bytes(reinterpret_cast<const char *>(&Head), sizeof(Head));
  return Bytes + Payload;
}

std::error_code parseRecords(const std::string &Bytes, uint64_t FirstSequence,
                             ParsedRecords &Result) {
  Result = {};
  uint64_t Sequence = FirstSequence;
  RecordHeader Head;
  while (Result.ValidBytes < Bytes.size()) {
    if (!isValidRecordAt(Bytes, Result.ValidBytes, Sequence, Head)) {
      if (hasValidRecordAfter(Bytes, Result.ValidBytes, Sequence))
        return StorageError::Damaged;
      return {};
    }
    Result.Payloads.push_back(
        Bytes.substr(Result.ValidBytes + sizeof(RecordHeader), Head.Length));
    Result.ValidBytes += sizeof(RecordHeader) + Head.Length;
    ++Sequence;
  }
  return {};
}

std::error_code readFile(const std::string &Path, std::string &Bytes) {
  Bytes.clear();
  int Descriptor = open(Path.c_str(), O_RDONLY | O_CLOEXEC);
  if (Descriptor < 0)
    return errno == ENOENT ? std::error_code()
                           : make_error_code(StorageError::CannotOpen);
  constexpr size_t ChunkBytes = 1 << 16;
  std::string Chunk(ChunkBytes, '\0');
  ssize_t Count = 0;
  while ((Count = read(Descriptor, Chunk.data(), Chunk.size())) > 0)
    Bytes.append(Chunk.data(), static_cast<size_t>(Count));
  close(Descriptor);
  return Count < 0 ? make_error_code(StorageError::CannotOpen)
                   : std::error_code();
}

std::error_code syncFolder(const std::string &Folder) {
  int Descriptor = open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (Descriptor < 0)
    return StorageError::CannotOpen;
  int Status = fsync(Descriptor);
  close(Descriptor);
  return Status != 0 ? make_error_code(StorageError::CannotWrite)
                     : std::error_code();
}

std::error_code replaceFile(const std::string &Folder, const std::string &Name,
                            const std::string &Bytes) {
  std::string Path = Folder + "/" + Name;
  std::string TemporaryPath = Path + ".new";
  constexpr mode_t OwnerOnly = 0600;
  int Descriptor = open(TemporaryPath.c_str(),
                        O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, OwnerOnly);
  if (Descriptor < 0)
    return StorageError::CannotOpen;
  std::error_code Error = writeAll(Descriptor, Bytes);
  if (!Error && fsync(Descriptor) != 0)
    Error = StorageError::CannotWrite;
  close(Descriptor);
  if (!Error && rename(TemporaryPath.c_str(), Path.c_str()) != 0)
    Error = StorageError::CannotWrite;
  return Error ? Error : syncFolder(Folder);
}

} // namespace mimosashunt
