#include "Storage/DiskLog.h"

#include "Core/JsonFields.h"
#include "Storage/RecordFile.h"
#include "Storage/StorageError.h"

#include <algorithm>
#include <cerrno>
#include <exception>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace mimosashunt {

namespace {

const char *const LogName = "log";
const char *const SnapshotName = "snapshot";
constexpr size_t MaxStaleRecords = 10000;

std::string toBytes(const Json &Value) {
  std::vector<uint8_t> Bytes = Json::to_cbor(Value);
  return {Bytes.begin(), Bytes.end()};
}

Json memberToJson(const Member &Value) {
  return {{"disk", Value.Disk}, {"vm", Value.Vm}, {"address", Value.Address}};
}

Json membershipToJson(const Membership &Value) {
  Json Out = {{"voters", Json::array()}, {"learners", Json::array()}};
  for (const Member &Item : Value.Voters)
    Out["voters"].push_back(memberToJson(Item));
  for (const Member &Item : Value.Learners)
    Out["learners"].push_back(memberToJson(Item));
  return Out;
}

std::vector<Member> membersFromJson(const Json &In) {
  std::vector<Member> Result;
  for (const Json &Item : In)
    Result.push_back({Item.at("disk").get<DiskId>(),
                      Item.at("vm").get<std::string>(),
                      Item.at("address").get<std::string>()});
  return Result;
}

Membership membershipFromJson(const Json &In) {
  return {membersFromJson(In.at("voters")), membersFromJson(In.at("learners"))};
}

Json binary(const std::string &Bytes) {
  return Json::binary({Bytes.begin(), Bytes.end()});
}

std::string bytesOf(const Json &In) {
  const auto &Bytes = In.get_binary();
  return {Bytes.begin(), Bytes.end()};
}

std::string encodeState(const HardState &State) {
  return toBytes({{"kind", "state"},
                  {"term", State.CurrentTerm},
                  {"vote", State.VotedFor}});
}

std::string encodeEntry(LogIndex Index, const LogEntry &Entry) {
  Json Out = {{"kind", "entry"},
              {"index", Index},
              {"term", Entry.AtTerm},
              {"type", static_cast<uint8_t>(Entry.Kind)},
              {"payload", binary(Entry.Payload)}};
  if (Entry.Kind == EntryKind::Membership)
    Out["members"] = membershipToJson(Entry.Members);
  return toBytes(Out);
}

LogEntry decodeEntry(const Json &In) {
  LogEntry Entry;
  Entry.AtTerm = In.at("term").get<Term>();
  auto Kind = In.at("type").get<uint8_t>();
  if (Kind > static_cast<uint8_t>(EntryKind::Membership))
    throw std::invalid_argument("unknown kind of entry");
  Entry.Kind = static_cast<EntryKind>(Kind);
  Entry.Payload = bytesOf(In.at("payload"));
  if (Entry.Kind == EntryKind::Membership)
    Entry.Members = membershipFromJson(In.at("members"));
  return Entry;
}

std::string encodeSnapshot(const Snapshot &Base) {
  return toBytes({{"index", Base.Index},
                  {"term", Base.AtTerm},
                  {"members", membershipToJson(Base.Members)},
                  {"data", binary(Base.Data)}});
}

Snapshot decodeSnapshot(const std::string &Bytes) {
  Json In = Json::from_cbor(Bytes);
  return {In.at("index").get<LogIndex>(), In.at("term").get<Term>(),
          membershipFromJson(In.at("members")), bytesOf(In.at("data"))};
}

/// Applies one record to what was read so far. Throws for what cannot follow.
void replay(const Json &Record, DurableLog &Log) {
  if (Record.at("kind") == "state") {
    Log.State = {Record.at("term").get<Term>(),
                 Record.at("vote").get<DiskId>()};
    return;
  }
  auto Index = Record.at("index").get<LogIndex>();
  if (Index <= Log.Base.Index)
    return; // The snapshot covers it.
  size_t Place = Index - Log.Base.Index - 1;
  if (Place > Log.Entries.size())
    throw std::out_of_range("an entry is missing");
  Log.Entries.resize(Place);
  Log.Entries.push_back(decodeEntry(Record));
}

} // namespace

DiskLog::~DiskLog() {
  if (File >= 0)
    close(File);
}

std::error_code DiskLog::load(DurableLog &Result) {
  Result = {};
  std::string Bytes;
  if (std::error_code Error = readFile(Folder + "/" + SnapshotName, Bytes))
    return Error;
  ParsedRecords Parsed;
  if (!Bytes.empty()) {
    // The snapshot is replaced as a whole, so it is never torn.
    std::error_code Error = parseRecords(Bytes, 0, Parsed);
    if (Error || Parsed.Payloads.size() != 1)
      return StorageError::Damaged;
  }
  std::string LogBytes;
  if (std::error_code Error = readFile(Folder + "/" + LogName, LogBytes))
    return Error;
  ParsedRecords Records;
  if (std::error_code Error = parseRecords(LogBytes, 0, Records))
    return Error;
  try {
    if (!Bytes.empty())
      Result.Base = decodeSnapshot(Parsed.Payloads.front());
    for (const std::string &Payload : Records.Payloads)
      replay(Json::from_cbor(Payload), Result);
  } catch (const std::exception &) {
    return StorageError::Damaged;
  }
  State = Result.State;
  Base = Result.Base;
  Entries = Result.Entries;
  return rewriteLog();
}

std::error_code DiskLog::rewriteLog() {
  if (File >= 0)
    close(File);
  File = -1;
  Sequence = 0;
  StaleRecords = 0;
  std::string Bytes = frameRecord(encodeState(State), Sequence++);
  LogIndex Index = Base.Index;
  for (const LogEntry &Entry : Entries)
    Bytes += frameRecord(encodeEntry(++Index, Entry), Sequence++);
  if (std::error_code Error = replaceFile(Folder, LogName, Bytes))
    return Error;
  return openLog();
}

std::error_code DiskLog::openLog() {
  std::string Path = Folder + "/" + LogName;
  File = open(Path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  return File < 0 ? make_error_code(StorageError::CannotOpen)
                  : std::error_code();
}

std::error_code DiskLog::appendRecords(const std::string &Bytes) {
  size_t Done = 0;
  while (Done < Bytes.size()) {
    ssize_t Count = ::write(File, Bytes.data() + Done, Bytes.size() - Done);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return StorageError::CannotWrite;
    Done += static_cast<size_t>(Count);
  }
  return fdatasync(File) != 0 ? make_error_code(StorageError::CannotWrite)
                              : std::error_code();
}

std::error_code DiskLog::writeSnapshot(const Snapshot &New) {
  return replaceFile(Folder, SnapshotName, frameRecord(encodeSnapshot(New), 0));
}

std::error_code DiskLog::write(const RaftOutput &Output) {
  if (Output.StateChanged)
    State = Output.State;
  std::string Bytes;
  if (Output.StateChanged) {
    Bytes += frameRecord(encodeState(State), Sequence++);
    ++StaleRecords;
  }
  if (Output.HasInstalledSnapshot) {
    if (std::error_code Error = writeSnapshot(Output.InstalledSnapshot))
      return Error;
    Base = Output.InstalledSnapshot;
    Entries = Output.AppendedEntries;
    return rewriteLog();
  }
  if (!Output.AppendedEntries.empty()) {
    size_t Keep = Output.FirstAppendedIndex - Base.Index - 1;
    StaleRecords += Entries.size() - std::min(Keep, Entries.size());
    Entries.resize(Keep);
    LogIndex Index = Output.FirstAppendedIndex;
    for (const LogEntry &Entry : Output.AppendedEntries) {
      Bytes += frameRecord(encodeEntry(Index++, Entry), Sequence++);
      Entries.push_back(Entry);
    }
  }
  if (StaleRecords > MaxStaleRecords)
    return rewriteLog();
  return Bytes.empty() ? std::error_code() : appendRecords(Bytes);
}

std::error_code DiskLog::compact(const Snapshot &New) {
  if (New.Index <= Base.Index)
    return {};
  // The snapshot is durable before the entries that it covers go.
  if (std::error_code Error = writeSnapshot(New))
    return Error;
  size_t Covered = std::min<size_t>(New.Index - Base.Index, Entries.size());
  Entries.erase(Entries.begin(),
                Entries.begin() + static_cast<ptrdiff_t>(Covered));
  Base = New;
  return rewriteLog();
}

} // namespace mimosashunt
