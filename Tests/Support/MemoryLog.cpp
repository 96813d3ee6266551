#include "Support/MemoryLog.h"

namespace mimosashunt::test {

std::error_code MemoryLog::write(const RaftOutput &Output) {
  if (Output.StateChanged)
    Stored.State = Output.State;
  if (Output.HasInstalledSnapshot) {
    Stored.Base = Output.InstalledSnapshot;
    Stored.Entries = Output.AppendedEntries;
    return {};
  }
  if (!Output.AppendedEntries.empty()) {
    Stored.Entries.resize(Output.FirstAppendedIndex - Stored.Base.Index - 1);
    Stored.Entries.insert(Stored.Entries.end(), Output.AppendedEntries.begin(),
                          Output.AppendedEntries.end());
  }
  return {};
}

std::error_code MemoryLog::compact(const Snapshot &Base) {
  auto CompactedCount = static_cast<ptrdiff_t>(Base.Index - Stored.Base.Index);
  Stored.Entries.erase(Stored.Entries.begin(),
                       Stored.Entries.begin() + CompactedCount);
  Stored.Base = Base;
  return {};
}

} // namespace mimosashunt::test
