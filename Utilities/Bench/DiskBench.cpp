// Benchmarks commits of the disk log against plain synced appends of the same
// size, both in the same run.

#include "Storage/DiskLog.h"

#include <benchmark/benchmark.h>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <string>
#include <unistd.h>

using namespace mimosashunt;

namespace {

/// Creates an empty temporary folder and returns its path.
std::string makeTemporaryFolder() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "mimosashunt-XXXXXX").string();
  return mkdtemp(Pattern.data());
}

void syncedAppend(benchmark::State &Run) {
  std::string Folder = makeTemporaryFolder();
  std::string Path = Folder + "/plain";
  int File = open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  std::string Bytes(static_cast<size_t>(Run.range(0)), 'x');
  for (auto _ : Run)
    if (write(File, Bytes.data(), Bytes.size()) < 0 || fdatasync(File) != 0)
      Run.SkipWithError("cannot write");
  close(File);
  std::filesystem::remove_all(Folder);
}
BENCHMARK(syncedAppend)->Arg(400)->Arg(4096)->UseRealTime();

void logCommit(benchmark::State &Run) {
  std::string Folder = makeTemporaryFolder();
  DiskLog Log(Folder);
  DurableLog Loaded;
  Log.load(Loaded);
  LogIndex Index = 0;
  for (auto _ : Run) {
    RaftOutput Output;
    Output.FirstAppendedIndex = ++Index;
    LogEntry Entry;
    Entry.AtTerm = 1;
    Entry.Kind = LogEntryKind::Command;
    Entry.Payload.assign(static_cast<size_t>(Run.range(0)), 'x');
    Output.AppendedEntries.push_back(std::move(Entry));
    if (Log.write(Output))
      Run.SkipWithError("cannot write");
  }
  std::filesystem::remove_all(Folder);
}
BENCHMARK(logCommit)->Arg(400)->Arg(4096)->UseRealTime();

} // namespace

BENCHMARK_MAIN();
