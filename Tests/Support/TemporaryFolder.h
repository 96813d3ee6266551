// Provides a temporary folder that is removed with its object.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_TEMPORARYFOLDER_H
#define MIMOSASHUNT_TESTS_SUPPORT_TEMPORARYFOLDER_H

#include <cstdlib>
#include <filesystem>
#include <string>

namespace mimosashunt::test {

/// Creates an empty folder and removes it with its contents on destruction.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "mimosashunt-XXXXXX")
            .string();
    Path = mkdtemp(Pattern.data());
  }
  ~TemporaryFolder() {
    std::error_code Ignored;
    std::filesystem::remove_all(Path, Ignored);
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  const std::string &path() const { return Path; }
  /// Returns the path of the file \p Name in the folder.
  std::string file(const std::string &Name) const { return Path + "/" + Name; }

private:
  std::string Path;
};

} // namespace mimosashunt::test

#endif
