#include "Storage/DiskLog.h"

#include "Codec/Cbor.h"
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

const char *const LogFileName = "log";
const char *const SnapshotFileName = "snapshot";
// The log is rewritten when it holds more superseded records than this.
constexpr size_t MaxStaleRecords = 10000;

std::string encodeCbor(const Json &Value) {
  std::vector<uint8_t> Bytes = Json::to_cbor(Value);
  return {Bytes.begin(), Bytes.end()};
}

Json memberToJson(const Member &Value) {
  return {{"disk", Value.Disk}, {"vm", Value.Vm}, {"address", Value.Address}};
}

Json membershipToJson(const Membership &Value) {
  Json Out = {{"voters", Json::array()}, {"learners", Json::array()}};
  for (const Member &Peer : Value.Voters)
    Out["voters"].push_back(memberToJson(Peer));
  for (const Member &Peer : Value.Learners)
    Out["learners"].push_back(memberToJson(Peer));
  return Out;
}

std::vector<Member> membersFromJson(const Json &In) {
  std::vector<Member> Result;
  for (const Json &Peer : In)
    Result.push_back({Peer.at("disk").get<DiskId>(),
                      Peer.at("vm").get<std::string>(),
                      Peer.at("address").get<std::string>()});
  return Result;
}

Membership membershipFromJson(const Json &In) {
  return {membersFromJson(In.at("voters")), membersFromJson(In.at("learners"))};
}

Json encodeBinary(const std::string &Bytes) {
  return Json::binary({Bytes.begin(), Bytes.end()});
}

std::string decodeBinary(const Json &In) {
  const auto &Bytes = In.get_binary();
  return {Bytes.begin(), Bytes.end()};
}

// The records of the log are written without a tree: they are most of what the
// leader writes. The names are in the order in which Json::to_cbor() writes
// them.

std::string encodeState(const HardState &State) {
  std::string Bytes;
  CborWriter Out(Bytes);
  Out.map(3);
  Out.text("kind");
  Out.text("state");
  Out.text("term");
  Out.number(State.CurrentTerm);
  Out.text("vote");
  Out.number(State.VotedFor);
  return Bytes;
}

void writeMembers(CborWriter &Out, const std::vector<Member> &Members) {
  Out.array(Members.size());
  for (const Member &Peer : Members) {
    Out.map(3);
    Out.text("address");
    Out.text(Peer.Address);
    Out.text("disk");
    Out.number(Peer.Disk);
    Out.text("vm");
    Out.text(Peer.Vm);
  }
}

std::string encodeEntry(LogIndex Index, const LogEntry &Entry) {
  constexpr size_t NamesBytes = 64;
  bool HasMembers = Entry.Kind == LogEntryKind::Membership;
  std::string Bytes;
  Bytes.reserve(NamesBytes + Entry.Payload.size());
  CborWriter Out(Bytes);
  Out.map(HasMembers ? 6 : 5);
  Out.text("index");
  Out.number(Index);
  Out.text("kind");
  Out.text("entry");
  if (HasMembers) {
    Out.text("members");
    Out.map(2);
    Out.text("learners");
    writeMembers(Out, Entry.Members.Learners);
    Out.text("voters");
    writeMembers(Out, Entry.Members.Voters);
  }
  Out.text("payload");
  Out.bytes(Entry.Payload);
  Out.text("term");
  Out.number(Entry.AtTerm);
  Out.text("type");
  Out.number(static_cast<uint8_t>(Entry.Kind));
  return Bytes;
}

LogEntry decodeEntry(const Json &In) {
  LogEntry Entry;
  Entry.AtTerm = In.at("term").get<Term>();
  auto Kind = In.at("type").get<uint8_t>();
  if (Kind > static_cast<uint8_t>(LogEntryKind::Membership))
    throw std::invalid_argument("unknown entry kind");
  Entry.Kind = static_cast<LogEntryKind>(Kind);
  Entry.Payload = decodeBinary(In.at("payload"));
  if (Entry.Kind == LogEntryKind::Membership)
    Entry.Members = membershipFromJson(In.at("members"));
  return Entry;
}

std::string encodeSnapshot(const Snapshot &Base) {
  return encodeCbor({{"index", Base.Index},
                     {"term", Base.AtTerm},
                     {"members", membershipToJson(Base.Members)},
                     {"data", encodeBinary(Base.Data)}});
}

Snapshot decodeSnapshot(const std::string &Bytes) {
  Json In = readCbor(Bytes);
  return {In.at("index").get<LogIndex>(), In.at("term").get<Term>(),
          membershipFromJson(In.at("members")), decodeBinary(In.at("data"))};
}

/// Applies one record to the log read so far. Throws if the record is malformed
/// or leaves a gap between entries.
void applyRecord(const Json &Record, DurableLog &Log) {
  if (Record.at("kind") == "state") {
    Log.State = {Record.at("term").get<Term>(),
                 Record.at("vote").get<DiskId>()};
    return;
  }
  auto Index = Record.at("index").get<LogIndex>();
  if (Index <= Log.Base.Index)
    return; // The snapshot covers this entry.
  size_t Position = Index - Log.Base.Index - 1;
  if (Position > Log.Entries.size())
    throw std::out_of_range("gap between log entries");
  Log.Entries.resize(Position);
  Log.Entries.push_back(decodeEntry(Record));
}

} // namespace

DiskLog::~DiskLog() {
  if (Descriptor >= 0)
    close(Descriptor);
}

std::error_code DiskLog::load(DurableLog &Result) {
  Result = {};
  std::string SnapshotBytes;
  if (std::error_code Error =
          readFile(Folder + "/" + SnapshotFileName, SnapshotBytes))
    return Error;
  ParsedRecords SnapshotRecords;
  if (!SnapshotBytes.empty()) {
    // The snapshot file is replaced atomically, so a crash cannot leave it
    // incomplete.
    std::error_code Error = parseRecords(SnapshotBytes, 0, SnapshotRecords);
    if (Error || SnapshotRecords.Payloads.size() != 1)
      return StorageError::Damaged;
  }
  std::string LogBytes;
  if (std::error_code Error = readFile(Folder + "/" + LogFileName, LogBytes))
    return Error;
  ParsedRecords LogRecords;
  if (std::error_code Error = parseRecords(LogBytes, 0, LogRecords))
    return Error;
  try {
    if (!SnapshotBytes.empty())
      Result.Base = decodeSnapshot(SnapshotRecords.Payloads.front());
    for (const std::string &Payload : LogRecords.Payloads)
      applyRecord(readCbor(Payload), Result);
  } catch (const std::exception &) {
    return StorageError::Damaged;
  }
  State = Result.State;
  Base = Result.Base;
  Entries = Result.Entries;
  return rewriteLog();
}

std::error_code DiskLog::rewriteLog() {
  if (Descriptor >= 0)
    close(Descriptor);
  Descriptor = -1;
  NextSequence = 0;
  StaleRecords = 0;
  std::string Bytes = frameRecord(encodeState(State), NextSequence++);
  LogIndex Index = Base.Index;
  for (const LogEntry &Entry : Entries)
    Bytes += frameRecord(encodeEntry(++Index, Entry), NextSequence++);
  if (std::error_code Error = replaceFile(Folder, LogFileName, Bytes))
    return Error;
  return openLog();
}

std::error_code DiskLog::openLog() {
  std::string Path = Folder + "/" + LogFileName;
  Descriptor = open(Path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  return Descriptor < 0 ? make_error_code(StorageError::CannotOpen)
                        : std::error_code();
}

std::error_code DiskLog::appendRecords(const std::string &Bytes) {
  size_t Written = 0;
  while (Written < Bytes.size()) {
    ssize_t Count =
        ::write(Descriptor, Bytes.data() + Written, Bytes.size() - Written);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return StorageError::CannotWrite;
    Written += static_cast<size_t>(Count);
  }
  return fdatasync(Descriptor) != 0 ? make_error_code(StorageError::CannotWrite)
                                    : std::error_code();
}

std::error_code DiskLog::writeSnapshot(const Snapshot &NewSnapshot) {
  return replaceFile(Folder, SnapshotFileName,
                     frameRecord(encodeSnapshot(NewSnapshot), 0));
}

std::error_code DiskLog::write(const RaftOutput &Output) {
  if (Output.StateChanged)
    State = Output.State;
  std::string Bytes;
  if (Output.StateChanged) {
    Bytes += frameRecord(encodeState(State), NextSequence++);
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
    size_t RetainedCount = Output.FirstAppendedIndex - Base.Index - 1;
    StaleRecords += Entries.size() - std::min(RetainedCount, Entries.size());
    Entries.resize(RetainedCount);
    LogIndex Index = Output.FirstAppendedIndex;
    for (const LogEntry &Entry : Output.AppendedEntries) {
      Bytes += frameRecord(encodeEntry(Index++, Entry), NextSequence++);
      Entries.push_back(Entry);
    }
  }
  if (StaleRecords > MaxStaleRecords)
    return rewriteLog();
  return Bytes.empty() ? std::error_code() : appendRecords(Bytes);
}

std::error_code DiskLog::compact(const Snapshot &NewSnapshot) {
  if (NewSnapshot.Index <= Base.Index)
    return {};
  // The snapshot must be durable before the entries that it covers are dropped.
  if (std::error_code Error = writeSnapshot(NewSnapshot))
    return Error;
  size_t Covered =
      std::min<size_t>(NewSnapshot.Index - Base.Index, Entries.size());
  Entries.erase(Entries.begin(),
                Entries.begin() + static_cast<ptrdiff_t>(Covered));
  Base = NewSnapshot;
  return rewriteLog();
}

} // namespace mimosashunt
