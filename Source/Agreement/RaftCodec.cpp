#include "Agreement/RaftCodec.h"

#include "Core/JsonFields.h"

#include <exception>
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

Json binaryToJson(const std::string &Bytes) {
  return Json::binary({Bytes.begin(), Bytes.end()});
}

std::string bytesFromJson(const Json &In) {
  const auto &Bytes = In.get_binary();
  return {Bytes.begin(), Bytes.end()};
}

Json membersToJson(const std::vector<Member> &Members) {
  Json Out = Json::array();
  for (const Member &Item : Members)
    Out.push_back(Json::array({Item.Disk, Item.Vm, Item.Address}));
  return Out;
}

std::vector<Member> membersFromJson(const Json &In) {
  std::vector<Member> Result;
  for (const Json &Item : In)
    Result.push_back({Item.at(0).get<DiskId>(), Item.at(1).get<std::string>(),
                      Item.at(2).get<std::string>()});
  return Result;
}

Json membershipToJson(const Membership &Value) {
  return Json::array(
      {membersToJson(Value.Voters), membersToJson(Value.Learners)});
}

Membership membershipFromJson(const Json &In) {
  return {membersFromJson(In.at(0)), membersFromJson(In.at(1))};
}

Json entryToJson(const LogEntry &Entry) {
  Json Out = Json::array({Entry.AtTerm, static_cast<uint8_t>(Entry.Kind),
                          binaryToJson(Entry.Payload)});
  if (Entry.Kind == LogEntryKind::Membership)
    Out.push_back(membershipToJson(Entry.Members));
  return Out;
}

LogEntry entryFromJson(const Json &In) {
  LogEntry Entry;
  Entry.AtTerm = In.at(0).get<Term>();
  auto Kind = In.at(1).get<uint8_t>();
  if (Kind > static_cast<uint8_t>(LogEntryKind::Membership))
    throw std::invalid_argument("unknown kind of entry");
  Entry.Kind = static_cast<LogEntryKind>(Kind);
  Entry.Payload = bytesFromJson(In.at(2));
  if (Entry.Kind == LogEntryKind::Membership)
    Entry.Members = membershipFromJson(In.at(3));
  return Entry;
}

int64_t microsSinceEpoch(Instant At) { return At.time_since_epoch().count(); }
Instant instantFromJson(const Json &In) {
  return Instant(Duration(In.get<int64_t>()));
}

struct BodyWriter {
  Json &Out;
  void operator()(const VoteRequest &Body) const {
    Out.push_back(VoteRequestBody);
    Out.push_back(Body.LastIndex);
    Out.push_back(Body.LastTerm);
    Out.push_back(Body.PreVote);
  }
  void operator()(const VoteReply &Body) const {
    Out.push_back(VoteReplyBody);
    Out.push_back(Body.Granted);
    Out.push_back(Body.PreVote);
  }
  void operator()(const AppendRequest &Body) const {
    Out.push_back(AppendRequestBody);
    Out.push_back(Body.PreviousIndex);
    Out.push_back(Body.PreviousTerm);
    Out.push_back(Body.CommitIndex);
    Out.push_back(microsSinceEpoch(Body.SentAt));
    Json Entries = Json::array();
    for (const LogEntry &Entry : Body.Entries)
      Entries.push_back(entryToJson(Entry));
    Out.push_back(std::move(Entries));
  }
  void operator()(const AppendReply &Body) const {
    Out.push_back(AppendReplyBody);
    Out.push_back(Body.Success);
    Out.push_back(Body.PreviousIndex);
    Out.push_back(Body.MatchIndex);
    Out.push_back(microsSinceEpoch(Body.SentAt));
  }
  void operator()(const SnapshotRequest &Body) const {
    Out.push_back(SnapshotRequestBody);
    Out.push_back(Body.Content.Index);
    Out.push_back(Body.Content.AtTerm);
    Out.push_back(membershipToJson(Body.Content.Members));
    Out.push_back(binaryToJson(Body.Content.Data));
    Out.push_back(microsSinceEpoch(Body.SentAt));
  }
};

RaftBody appendFromJson(const Json &In) {
  AppendRequest Body;
  Body.PreviousIndex = In.at(4).get<LogIndex>();
  Body.PreviousTerm = In.at(5).get<Term>();
  Body.CommitIndex = In.at(6).get<LogIndex>();
  Body.SentAt = instantFromJson(In.at(7));
  for (const Json &Entry : In.at(8))
    Body.Entries.push_back(entryFromJson(Entry));
  return Body;
}

RaftBody bodyFromJson(const Json &In) {
  switch (In.at(3).get<int>()) {
  case VoteRequestBody:
    return VoteRequest{In.at(4).get<LogIndex>(), In.at(5).get<Term>(),
                       In.at(6).get<bool>()};
  case VoteReplyBody:
    return VoteReply{In.at(4).get<bool>(), In.at(5).get<bool>()};
  case AppendRequestBody:
    return appendFromJson(In);
  case AppendReplyBody:
    return AppendReply{In.at(4).get<bool>(), In.at(5).get<LogIndex>(),
                       In.at(6).get<LogIndex>(), instantFromJson(In.at(7))};
  case SnapshotRequestBody:
    return SnapshotRequest{{In.at(4).get<LogIndex>(), In.at(5).get<Term>(),
                            membershipFromJson(In.at(6)),
                            bytesFromJson(In.at(7))},
                           instantFromJson(In.at(8))};
  default:
    throw std::invalid_argument("unknown kind of message");
  }
}

Json parseCbor(const std::string &Bytes) {
  return Json::from_cbor(Bytes, true, /*allow_exceptions=*/false);
}

std::string toCborBytes(const Json &Value) {
  std::vector<uint8_t> Bytes = Json::to_cbor(Value);
  return {Bytes.begin(), Bytes.end()};
}

} // namespace

std::string encodeRaftMessages(const std::vector<RaftMessage> &Messages) {
  Json Out = Json::array();
  for (const RaftMessage &Message : Messages) {
    Json Item = Json::array({Message.From, Message.To, Message.AtTerm});
    std::visit(BodyWriter{Item}, Message.Body);
    Out.push_back(std::move(Item));
  }
  return toCborBytes(Out);
}

bool decodeRaftMessages(const std::string &Bytes,
                        std::vector<RaftMessage> &Result) {
  Result.clear();
  Json In = parseCbor(Bytes);
  if (!In.is_array())
    return false;
  try {
    for (const Json &Item : In)
      Result.push_back({Item.at(0).get<DiskId>(), Item.at(1).get<DiskId>(),
                        Item.at(2).get<Term>(), bodyFromJson(Item)});
    return true;
  } catch (const std::exception &) {
    Result.clear();
    return false;
  }
}

std::string encodeMembers(const std::vector<Member> &Members) {
  return toCborBytes(membersToJson(Members));
}

bool decodeMembers(const std::string &Bytes, std::vector<Member> &Result) {
  Result.clear();
  Json In = parseCbor(Bytes);
  if (!In.is_array())
    return false;
  try {
    Result = membersFromJson(In);
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace mimosashunt
