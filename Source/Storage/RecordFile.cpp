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

struct Header {
  uint32_t Length = 0;
  uint32_t Magic = 0;
  uint64_t Checksum = 0;
};

constexpr uint32_t RecordMagic = 0x4d534852;
constexpr uint32_t MaxRecordBytes = 256U << 20;

uint64_t checksum(const char *Data, size_t Size, uint64_t Sequence) {
  return hashBytes({Data, Size}, hashBytes(std::to_string(Sequence), Size));
}

/// Whole record at \p Offset, with its payload's place; false if there is none.
bool wholeAt(const std::string &Bytes, size_t Offset, uint64_t Sequence,
             Header &Head) {
  if (Bytes.size() - Offset < sizeof(Header))
    return false;
  std::memcpy(&Head, Bytes.data() + Offset, sizeof(Header));
  if (Head.Magic != RecordMagic || Head.Length > MaxRecordBytes ||
      Head.Length > Bytes.size() - Offset - sizeof(Header))
    return false;
  const char *Payload = Bytes.data() + Offset + sizeof(Header);
  return checksum(Payload, Head.Length, Sequence) == Head.Checksum;
}

/// True if a later record stands whole behind the broken one at \p Offset: then
/// the break is damage, since a crash tears only what was written last.
bool wholeRecordFollows(const std::string &Bytes, size_t Offset,
                        uint64_t Sequence) {
  std::string Mark(reinterpret_cast<const char *>(&RecordMagic),
                   sizeof(RecordMagic));
  size_t At = Offset;
  Header Head;
  while ((At = Bytes.find(Mark, At + 1)) != std::string::npos) {
    size_t Start = At - offsetof(Header, Magic);
    if (At < offsetof(Header, Magic) || Start <= Offset)
      continue;
    // One sync may have covered several records, so the one that follows may
    // be any later one of them.
    constexpr uint64_t MaxRecordsSkipped = 4096;
    for (uint64_t Skip = 1; Skip <= MaxRecordsSkipped; ++Skip)
      if (wholeAt(Bytes, Start, Sequence + Skip, Head))
        return true;
  }
  return false;
}

std::error_code writeAll(int File, const std::string &Bytes) {
  size_t Done = 0;
  while (Done < Bytes.size()) {
    ssize_t Count = write(File, Bytes.data() + Done, Bytes.size() - Done);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return StorageError::CannotWrite;
    Done += static_cast<size_t>(Count);
  }
  return {};
}

} // namespace

std::string frameRecord(const std::string &Payload, uint64_t Sequence) {
  Header Head;
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
  Header Head;
  while (Result.ValidBytes < Bytes.size()) {
    if (!wholeAt(Bytes, Result.ValidBytes, Sequence, Head)) {
      if (wholeRecordFollows(Bytes, Result.ValidBytes, Sequence))
        return StorageError::Damaged;
      return {};
    }
    Result.Payloads.push_back(
        Bytes.substr(Result.ValidBytes + sizeof(Header), Head.Length));
    Result.ValidBytes += sizeof(Header) + Head.Length;
    ++Sequence;
  }
  return {};
}

std::error_code readFile(const std::string &Path, std::string &Bytes) {
  Bytes.clear();
  int File = open(Path.c_str(), O_RDONLY | O_CLOEXEC);
  if (File < 0)
    return errno == ENOENT ? std::error_code()
                           : make_error_code(StorageError::CannotOpen);
  constexpr size_t ChunkBytes = 1 << 16;
  std::string Chunk(ChunkBytes, '\0');
  ssize_t Count = 0;
  while ((Count = read(File, Chunk.data(), Chunk.size())) > 0)
    Bytes.append(Chunk.data(), static_cast<size_t>(Count));
  close(File);
  return Count < 0 ? make_error_code(StorageError::CannotOpen)
                   : std::error_code();
}

std::error_code syncFolder(const std::string &Folder) {
  int File = open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (File < 0)
    return StorageError::CannotOpen;
  int Failed = fsync(File);
  close(File);
  return Failed != 0 ? make_error_code(StorageError::CannotWrite)
                     : std::error_code();
}

std::error_code replaceFile(const std::string &Folder, const std::string &Name,
                            const std::string &Bytes) {
  std::string Path = Folder + "/" + Name;
  std::string Fresh = Path + ".new";
  constexpr mode_t OwnerOnly = 0600;
  int File =
      open(Fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, OwnerOnly);
  if (File < 0)
    return StorageError::CannotOpen;
  std::error_code Error = writeAll(File, Bytes);
  if (!Error && fsync(File) != 0)
    Error = StorageError::CannotWrite;
  close(File);
  if (!Error && rename(Fresh.c_str(), Path.c_str()) != 0)
    Error = StorageError::CannotWrite;
  return Error ? Error : syncFolder(Folder);
}

} // namespace mimosashunt
