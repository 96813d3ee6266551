#include "Agreement/RaftCodec.h"

#include "Codec/Cbor.h"

#include <utility>

namespace mimosashunt {

namespace {

// Each message is a positional array without field names: heartbeats are most
// of the traffic, and field names would be most of their bytes. The values of
// BodyKind are part of the encoding.
enum BodyKind {
  VoteRequestBody,
  VoteReplyBody,
  AppendRequestBody,
  AppendReplyBody,
  SnapshotRequestBody
};

void writeMembers(CborWriter &Out, const std::vector<Member> &Members) {
  Out.array(Members.size());
  for (const Member &Item : Members) {
    Out.array(3);
    Out.number(Item.Disk);
    Out.text(Item.Vm);
    Out.text(Item.Address);
  }
}

std::vector<Member> readMembers(CborReader &In) {
  std::vector<Member> Result;
  for (size_t Left = In.array(); Left > 0; --Left) {
    CborArrayReader Fields(In);
    Member Item;
    Item.Disk = Fields.number<DiskId>();
    Item.Vm = Fields.text();
    Item.Address = Fields.text();
    Fields.finish();
    Result.push_back(std::move(Item));
  }
  return Result;
}

void writeMembership(CborWriter &Out, const Membership &Value) {
  Out.array(2);
  writeMembers(Out, Value.Voters);
  writeMembers(Out, Value.Learners);
}

Membership readMembership(CborReader &In) {
  CborArrayReader Fields(In);
  Membership Result;
  Result.Voters = readMembers(Fields.next());
  Result.Learners = readMembers(Fields.next());
  Fields.finish();
  return Result;
}

void writeEntry(CborWriter &Out, const LogEntry &Entry) {
  bool HasMembers = Entry.Kind == LogEntryKind::Membership;
  Out.array(HasMembers ? 4 : 3);
  Out.number(Entry.AtTerm);
  Out.number(static_cast<uint8_t>(Entry.Kind));
  Out.bytes(Entry.Payload);
  if (HasMembers)
    writeMembership(Out, Entry.Members);
}

LogEntry readEntry(CborReader &In) {
  CborArrayReader Fields(In);
  LogEntry Entry;
  Entry.AtTerm = Fields.number<Term>();
  auto Kind = Fields.number<uint8_t>();
  if (Kind > static_cast<uint8_t>(LogEntryKind::Membership))
    throw CborError("unknown kind of entry");
  Entry.Kind = static_cast<LogEntryKind>(Kind);
  Entry.Payload = Fields.next().bytes();
  if (Entry.Kind == LogEntryKind::Membership)
    Entry.Members = readMembership(Fields.next());
  Fields.finish();
  return Entry;
}

int64_t microsSinceEpoch(Instant At) { return At.time_since_epoch().count(); }
Instant readInstant(CborReader &In) {
  return Instant(Duration(In.number<int64_t>()));
}

/// Writes a message as an array of its header and the fields of its body.
struct BodyWriter {
  CborWriter &Out;
  const RaftMessage &Message;

  void header(BodyKind Kind, size_t FieldCount) const {
    constexpr size_t HeaderFields = 4;
    Out.array(HeaderFields + FieldCount);
    Out.number(Message.From);
    Out.number(Message.To);
    Out.number(Message.AtTerm);
    Out.number(static_cast<uint8_t>(Kind));
  }
  void operator()(const VoteRequest &Body) const {
    header(VoteRequestBody, 3);
    Out.number(Body.LastIndex);
    Out.number(Body.LastTerm);
    Out.boolean(Body.PreVote);
  }
  void operator()(const VoteReply &Body) const {
    header(VoteReplyBody, 2);
    Out.boolean(Body.Granted);
    Out.boolean(Body.PreVote);
  }
  void operator()(const AppendRequest &Body) const {
    header(AppendRequestBody, 5);
    Out.number(Body.PreviousIndex);
    Out.number(Body.PreviousTerm);
    Out.number(Body.CommitIndex);
    Out.number(microsSinceEpoch(Body.SentAt));
    Out.array(Body.Entries.size());
    for (const LogEntry &Entry : Body.Entries)
      writeEntry(Out, Entry);
  }
  void operator()(const AppendReply &Body) const {
    header(AppendReplyBody, 4);
    Out.boolean(Body.Success);
    Out.number(Body.PreviousIndex);
    Out.number(Body.MatchIndex);
    Out.number(microsSinceEpoch(Body.SentAt));
  }
  void operator()(const SnapshotRequest &Body) const {
    header(SnapshotRequestBody, 5);
    Out.number(Body.Content.Index);
    Out.number(Body.Content.AtTerm);
    writeMembership(Out, Body.Content.Members);
    Out.bytes(Body.Content.Data);
    Out.number(microsSinceEpoch(Body.SentAt));
  }
};

AppendRequest readAppend(CborArrayReader &Fields) {
  AppendRequest Body;
  Body.PreviousIndex = Fields.number<LogIndex>();
  Body.PreviousTerm = Fields.number<Term>();
  Body.CommitIndex = Fields.number<LogIndex>();
  Body.SentAt = readInstant(Fields.next());
  CborReader &In = Fields.next();
  for (size_t Left = In.array(); Left > 0; --Left)
    Body.Entries.push_back(readEntry(In));
  return Body;
}

SnapshotRequest readSnapshot(CborArrayReader &Fields) {
  SnapshotRequest Body;
  Body.Content.Index = Fields.number<LogIndex>();
  Body.Content.AtTerm = Fields.number<Term>();
  Body.Content.Members = readMembership(Fields.next());
  Body.Content.Data = Fields.next().bytes();
  Body.SentAt = readInstant(Fields.next());
  return Body;
}

// Braced initializers are evaluated in order.
RaftBody readBody(CborArrayReader &Fields) {
  switch (Fields.number<int>()) {
  case VoteRequestBody:
    return VoteRequest{Fields.number<LogIndex>(), Fields.number<Term>(),
                       Fields.next().boolean()};
  case VoteReplyBody:
    return VoteReply{Fields.next().boolean(), Fields.next().boolean()};
  case AppendRequestBody:
    return readAppend(Fields);
  case AppendReplyBody:
    return AppendReply{Fields.next().boolean(), Fields.number<LogIndex>(),
                       Fields.number<LogIndex>(), readInstant(Fields.next())};
  case SnapshotRequestBody:
    return readSnapshot(Fields);
  default:
    throw CborError("unknown kind of message");
  }
}

RaftMessage readMessage(CborReader &In) {
  CborArrayReader Fields(In);
  RaftMessage Message;
  Message.From = Fields.number<DiskId>();
  Message.To = Fields.number<DiskId>();
  Message.AtTerm = Fields.number<Term>();
  Message.Body = readBody(Fields);
  Fields.finish();
  return Message;
}

} // namespace

std::string encodeRaftMessages(const std::vector<RaftMessage> &Messages) {
  std::string Bytes;
  CborWriter Out(Bytes);
  Out.array(Messages.size());
  for (const RaftMessage &Message : Messages)
    std::visit(BodyWriter{Out, Message}, Message.Body);
  return Bytes;
}

bool decodeRaftMessages(const std::string &Bytes,
                        std::vector<RaftMessage> &Result) {
  Result.clear();
  try {
    CborReader In(Bytes);
    for (size_t Left = In.array(); Left > 0; --Left)
      Result.push_back(readMessage(In));
    if (In.isAtEnd())
      return true;
  } catch (const CborError &) {
    // Reported below.
  }
  Result.clear();
  return false;
}

std::string encodeMembers(const std::vector<Member> &Members) {
  std::string Bytes;
  CborWriter Out(Bytes);
  writeMembers(Out, Members);
  return Bytes;
}

bool decodeMembers(const std::string &Bytes, std::vector<Member> &Result) {
  Result.clear();
  try {
    CborReader In(Bytes);
    std::vector<Member> Members = readMembers(In);
    if (!In.isAtEnd())
      return false;
    Result = std::move(Members);
    return true;
  } catch (const CborError &) {
    return false;
  }
}

} // namespace mimosashunt
