#include "Storage/DataFolder.h"

#include "Core/JsonFields.h"
#include "Storage/RecordFile.h"
#include "Storage/StorageError.h"

#include <exception>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

namespace mimosashunt {

/// Content of the identity file. Declared outside the anonymous namespace,
/// where argument-dependent lookup would not find its JSON conversions.
struct DiskIdentity {
  std::string Vm;
  DiskId Disk = NoDisk;
  static void describe(auto &Self, auto Field) {
    Field("vm", Self.Vm);
    Field("disk", Self.Disk);
  }
};

namespace {

const char *const IdentityFileName = "identity.json";
const char *const LockFileName = "lock";

/// True if the folder holds files other than the lock file and the temporary
/// file of an interrupted identity write.
bool containsState(const std::string &Path) {
  std::error_code Ignored;
  for (const auto &File : std::filesystem::directory_iterator(Path, Ignored)) {
    std::string Name = File.path().filename().string();
    if (Name != LockFileName && Name != std::string(IdentityFileName) + ".new")
      return true;
  }
  return false;
}

} // namespace

DataFolder::~DataFolder() {
  if (LockDescriptor >= 0)
    close(LockDescriptor);
}

std::error_code DataFolder::open(const std::string &Folder,
                                 const std::string &Vm, DiskId NewDisk) {
  std::error_code Error;
  std::filesystem::create_directories(Folder, Error);
  if (Error)
    return StorageError::CannotOpen;
  constexpr mode_t OwnerOnly = 0600;
  std::string LockPath = Folder + "/" + LockFileName;
  LockDescriptor =
      ::open(LockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, OwnerOnly);
  if (LockDescriptor < 0)
    return StorageError::CannotOpen;
  if (flock(LockDescriptor, LOCK_EX | LOCK_NB) != 0)
    return StorageError::InUse;
  std::string Bytes;
  Error = readFile(Folder + "/" + IdentityFileName, Bytes);
  if (Error)
    return Error;
  Path = Folder;
  if (Bytes.empty()) {
    // The owner of existing state is unknown without its identity file.
    if (containsState(Folder))
      return StorageError::Damaged;
    Disk = NewDisk;
    return replaceFile(Folder, IdentityFileName,
                       Json(DiskIdentity{Vm, Disk}).dump());
  }
  try {
    auto Identity = Json::parse(Bytes).get<DiskIdentity>();
    Disk = Identity.Disk;
    if (Disk == NoDisk)
      return StorageError::Damaged;
    return Identity.Vm == Vm ? std::error_code()
                             : make_error_code(StorageError::ForeignFolder);
  } catch (const std::exception &) {
    return StorageError::Damaged;
  }
}

} // namespace mimosashunt
