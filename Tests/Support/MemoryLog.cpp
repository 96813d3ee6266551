#include "Support/MemoryLog.h"

namespace mimosashunt::test {

std::error_code MemoryLog::write(const RaftOutput &Output) {
  if (Output.StateChanged)
    Held.State = Output.State;
  if (Output.HasInstalledSnapshot) {
    Held.Base = Output.InstalledSnapshot;
    Held.Entries = Output.AppendedEntries;
    return {};
  }
  if (!Output.AppendedEntries.empty()) {
    Held.Entries.resize(Output.FirstAppendedIndex - Held.Base.Index - 1);
    Held.Entries.insert(Held.Entries.end(), Output.AppendedEntries.begin(),
                        Output.AppendedEntries.end());
  }
  return {};
}

std::error_code MemoryLog::compact(const Snapshot &Base) {
  auto Covered = static_cast<ptrdiff_t>(Base.Index - Held.Base.Index);
  Held.Entries.erase(Held.Entries.begin(), Held.Entries.begin() + Covered);
  Held.Base = Base;
  return {};
}

} // namespace mimosashunt::test
