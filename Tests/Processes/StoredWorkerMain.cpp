// Writes the data folder of a control VM that is the only voter and has stored
// a worker with any address and amounts, as earlier versions took them.

#include "Jobs/JobCommands.h"
#include "Storage/DataFolder.h"
#include "Storage/DiskLog.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <limits>

DEFINE_string(folder, "", "data folder to write");
DEFINE_string(vm, "", "name of the control VM");
DEFINE_string(internal, "", "its internal address");
DEFINE_string(worker_address, "", "address of the stored worker");

using namespace mimosashunt;

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  constexpr DiskId Disk = 7;
  DataFolder Folder;
  if (Folder.open(FLAGS_folder, FLAGS_vm, Disk))
    return 1;
  DiskLog Log(Folder.path());
  DurableLog Empty;
  if (Log.load(Empty))
    return 1;
  RaftOutput Output;
  Output.StateChanged = true;
  Output.State.CurrentTerm = 1;
  Output.FirstAppendedIndex = 1;
  LogEntry Founding{1, LogEntryKind::Membership, {}, {}};
  Founding.Members.Voters = {{Disk, FLAGS_vm, FLAGS_internal}};
  Output.AppendedEntries.push_back(Founding);
  constexpr int64_t Most = std::numeric_limits<int64_t>::max();
  UpdateWorkers Command;
  for (const char *Id : {"i-odd-1", "i-odd-2"}) {
    WorkerEntry Worker;
    Worker.Key.Id = Id;
    Worker.Address = FLAGS_worker_address;
    Worker.Pool = "s1";
    Worker.Capacity = {Most, Most, Most};
    Command.Workers.push_back(Worker);
  }
  Output.AppendedEntries.push_back(
      {1, LogEntryKind::Command, encodeJobCommand(Command), {}});
  return Log.write(Output) ? 1 : 0;
}
