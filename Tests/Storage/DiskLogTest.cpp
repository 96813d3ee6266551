// Tests of the Raft log on disk and of the identity of its folder.

#include <gtest/gtest.h>

#include "Core/JsonFields.h"
#include "Storage/DataFolder.h"
#include "Storage/DiskLog.h"
#include "Storage/RecordFile.h"
#include "Storage/StorageError.h"
#include "Support/TemporaryFolder.h"

#include <fstream>
#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

LogEntry makeCommand(Term AtTerm, const std::string &Payload) {
  LogEntry Entry;
  Entry.AtTerm = AtTerm;
  Entry.Kind = LogEntryKind::Command;
  Entry.Payload = Payload;
  return Entry;
}

/// Reference model: the content that a log must have after the same writes.
struct LogModel {
  DurableLog Content;

  RaftOutput append(LogIndex FirstIndex, std::vector<LogEntry> Entries) {
    Content.Entries.resize(FirstIndex - Content.Base.Index - 1);
    Content.Entries.insert(Content.Entries.end(), Entries.begin(),
                           Entries.end());
    RaftOutput Output;
    Output.FirstAppendedIndex = FirstIndex;
    Output.AppendedEntries = std::move(Entries);
    return Output;
  }
  Snapshot compact(size_t Count) {
    Snapshot Base;
    Base.Index = Content.Base.Index + Count;
    Base.AtTerm = Content.Entries[Count - 1].AtTerm;
    Base.Data = "state at " + std::to_string(Base.Index);
    Content.Base = Base;
    Content.Entries.erase(Content.Entries.begin(),
                          Content.Entries.begin() +
                              static_cast<ptrdiff_t>(Count));
    return Base;
  }
  LogIndex lastIndex() const {
    return Content.Base.Index + Content.Entries.size();
  }
};

RC_GTEST_PROP(DiskLog, ReloadsWhatWasWritten, ()) {
  TemporaryFolder Folder;
  LogModel Expected;
  {
    DiskLog Log(Folder.path());
    DurableLog Loaded;
    RC_ASSERT(!Log.load(Loaded));
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    Term CurrentTerm = 1;
    for (int Step : Steps) {
      if (Step == 0) {
        Expected.Content.State = {++CurrentTerm, 7};
        RaftOutput Output;
        Output.StateChanged = true;
        Output.State = Expected.Content.State;
        RC_ASSERT(!Log.write(Output));
      } else if (Step == 1 && !Expected.Content.Entries.empty()) {
        // The last entry is overwritten, as after a change of leader.
        RC_ASSERT(!Log.write(Expected.append(
            Expected.lastIndex(), {makeCommand(CurrentTerm, "replaced")})));
      } else if (Step == 2 && Expected.Content.Entries.size() > 1) {
        RC_ASSERT(!Log.compact(
            Expected.compact(Expected.Content.Entries.size() / 2)));
      } else {
        RC_ASSERT(!Log.write(Expected.append(
            Expected.lastIndex() + 1,
            {makeCommand(CurrentTerm, "a"), makeCommand(CurrentTerm, "b")})));
      }
    }
  }
  DiskLog Log(Folder.path());
  DurableLog Loaded;
  RC_ASSERT(!Log.load(Loaded));
  RC_ASSERT(Loaded == Expected.Content);
}

void writeThreeEntries(const std::string &Folder) {
  DiskLog Log(Folder);
  DurableLog Loaded;
  ASSERT_FALSE(Log.load(Loaded));
  LogModel Expected;
  for (const char *Payload : {"one", "two", "three"})
    ASSERT_FALSE(Log.write(
        Expected.append(Expected.lastIndex() + 1, {makeCommand(1, Payload)})));
}

std::string readAll(const std::string &File) {
  std::ifstream In(File, std::ios::binary);
  return {std::istreambuf_iterator<char>(In), {}};
}

void writeAll(const std::string &File, const std::string &Bytes) {
  std::ofstream(File, std::ios::binary | std::ios::trunc) << Bytes;
}

TEST(DiskLog, AnIncompleteLastRecordIsDiscardedAndWritingContinues) {
  TemporaryFolder Folder;
  writeThreeEntries(Folder.path());
  std::string Bytes = readAll(Folder.file("log"));
  writeAll(Folder.file("log"), Bytes.substr(0, Bytes.size() - 5));
  DiskLog Log(Folder.path());
  DurableLog Loaded;
  ASSERT_FALSE(Log.load(Loaded));
  ASSERT_EQ(Loaded.Entries.size(), 2U);
  RaftOutput Output;
  Output.FirstAppendedIndex = 3;
  Output.AppendedEntries = {makeCommand(2, "again")};
  ASSERT_FALSE(Log.write(Output));
}

TEST(DiskLog, DamageInTheMiddleIsRefused) {
  TemporaryFolder Folder;
  writeThreeEntries(Folder.path());
  std::string Bytes = readAll(Folder.file("log"));
  Bytes[Bytes.size() / 2] = static_cast<char>(Bytes[Bytes.size() / 2] ^ 1);
  writeAll(Folder.file("log"), Bytes);
  DiskLog Log(Folder.path());
  DurableLog Loaded;
  EXPECT_EQ(Log.load(Loaded), StorageError::Damaged);
}

TEST(DiskLog, ADamagedSnapshotIsRefused) {
  TemporaryFolder Folder;
  {
    DiskLog Log(Folder.path());
    DurableLog Loaded;
    ASSERT_FALSE(Log.load(Loaded));
    LogModel Expected;
    ASSERT_FALSE(Log.write(Expected.append(1, {makeCommand(1, "one")})));
    ASSERT_FALSE(Log.compact(Expected.compact(1)));
  }
  std::string Bytes = readAll(Folder.file("snapshot"));
  writeAll(Folder.file("snapshot"), Bytes.substr(0, Bytes.size() - 1));
  DiskLog Log(Folder.path());
  DurableLog Loaded;
  EXPECT_EQ(Log.load(Loaded), StorageError::Damaged);
}

TEST(DataFolder, KeepsItsIdentity) {
  TemporaryFolder Folder;
  {
    DataFolder First;
    ASSERT_FALSE(First.open(Folder.path(), "control-1", 42));
  }
  DataFolder Again;
  ASSERT_FALSE(Again.open(Folder.path(), "control-1", 43));
  EXPECT_EQ(Again.disk(), 42U);
}

TEST(DataFolder, RefusesAnotherVmsFolder) {
  TemporaryFolder Folder;
  {
    DataFolder First;
    ASSERT_FALSE(First.open(Folder.path(), "control-1", 42));
  }
  DataFolder Other;
  EXPECT_EQ(Other.open(Folder.path(), "control-2", 43),
            StorageError::ForeignFolder);
}

TEST(DataFolder, RefusesAFolderInUse) {
  TemporaryFolder Folder;
  DataFolder First;
  ASSERT_FALSE(First.open(Folder.path(), "control-1", 42));
  DataFolder Second;
  EXPECT_EQ(Second.open(Folder.path(), "control-1", 43), StorageError::InUse);
}

TEST(DataFolder, RefusesStateWithoutAnIdentity) {
  TemporaryFolder Folder;
  writeThreeEntries(Folder.path());
  DataFolder Opened;
  EXPECT_EQ(Opened.open(Folder.path(), "control-1", 42), StorageError::Damaged);
}

// An earlier version reads the log after a downgrade, and this one reads what
// it wrote.
RC_GTEST_PROP(DiskLog, WritesTheBytesOfTheGeneralEncoder,
              (std::string Payload, uint64_t Number)) {
  TemporaryFolder Folder;
  DiskLog Log(Folder.path());
  DurableLog Loaded;
  RC_ASSERT(!Log.load(Loaded));
  LogEntry Change;
  Change.AtTerm = Number;
  Change.Kind = LogEntryKind::Membership;
  Change.Members = {{{Number, "vm", "address"}}, {{7, "new", "other"}}};
  RaftOutput Output;
  Output.StateChanged = true;
  Output.State = {Number, 5};
  Output.FirstAppendedIndex = 1;
  Output.AppendedEntries = {makeCommand(Number, Payload), Change};
  RC_ASSERT(!Log.write(Output));
  std::vector<Json> Expected = {
      {{"kind", "state"}, {"term", 0}, {"vote", 0}},
      {{"kind", "state"}, {"term", Number}, {"vote", 5}},
      {{"kind", "entry"},
       {"index", 1},
       {"term", Number},
       {"type", 1},
       {"payload", Json::binary({Payload.begin(), Payload.end()})}},
      {{"kind", "entry"},
       {"index", 2},
       {"term", Number},
       {"type", 2},
       {"payload", Json::binary({})},
       {"members",
        {{"voters", {{{"disk", Number}, {"vm", "vm"}, {"address", "address"}}}},
         {"learners", {{{"disk", 7}, {"vm", "new"}, {"address", "other"}}}}}}}};
  std::string Bytes;
  RC_ASSERT(!readFile(Folder.path() + "/log", Bytes));
  ParsedRecords Records;
  RC_ASSERT(!parseRecords(Bytes, 0, Records));
  RC_ASSERT(Records.Payloads.size() == Expected.size());
  for (size_t I = 0; I < Expected.size(); ++I) {
    std::string Wanted;
    Json::to_cbor(Expected[I], Wanted);
    RC_ASSERT(Records.Payloads[I] == Wanted);
  }
}

} // namespace
} // namespace mimosashunt::test
