#include "Storage/StorageError.h"

#include <string>

namespace mimosashunt {

namespace {

class StorageErrorCategory : public std::error_category {
public:
  const char *name() const noexcept override { return "storage"; }
  std::string message(int Value) const override {
    switch (static_cast<StorageError>(Value)) {
    case StorageError::CannotOpen:
      return "cannot open a file of the data folder";
    case StorageError::CannotWrite:
      return "cannot write or sync a file of the data folder";
    case StorageError::Damaged:
      return "the data folder is damaged; replace this VM's disk with an "
             "empty one";
    case StorageError::ForeignFolder:
      return "the data folder belongs to another VM";
    case StorageError::InUse:
      return "another process uses the data folder";
    }
    return "unknown storage error";
  }
};

} // namespace

const std::error_category &storageErrorCategory() {
  static const StorageErrorCategory Category;
  return Category;
}

std::error_code make_error_code(StorageError Error) {
  return {static_cast<int>(Error), storageErrorCategory()};
}

} // namespace mimosashunt
