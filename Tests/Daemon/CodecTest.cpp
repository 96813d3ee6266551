// Tests the decoders of data from the network and the disk: encoded values are
// decoded unchanged, and arbitrary bytes are rejected without crashing or
// changing state.

#include <gtest/gtest.h>

#include "Control/PlatformClient.h"
#include "Core/FleetState.h"
#include "Core/RecordTransfer.h"
#include "Daemon/Secrets.h"
#include "Entry/OutcomeCodec.h"
#include "Entry/RequestHeaders.h"
#include "Rpc/RpcCodec.h"
#include "Support/Mutation.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

rc::Gen<LogEntry> logEntries() {
  return rc::gen::apply(
      [](Term AtTerm, int Kind, std::string Payload) {
        LogEntry Entry;
        Entry.AtTerm = AtTerm;
        Entry.Kind = static_cast<LogEntryKind>(Kind);
        Entry.Payload = std::move(Payload);
        if (Entry.Kind == LogEntryKind::Membership)
          Entry.Members.Voters = {{AtTerm + 1, "vm", "address"}};
        return Entry;
      },
      rc::gen::arbitrary<Term>(), rc::gen::inRange(0, 3),
      rc::gen::arbitrary<std::string>());
}

RaftMessage encodeAndDecode(const RaftMessage &Message) {
  capnp::MallocMessageBuilder Builder;
  writeRaftMessage(Message, Builder.initRoot<rpc::RaftMessage>());
  auto Words = capnp::messageToFlatArray(Builder);
  capnp::FlatArrayMessageReader Reader(Words);
  return readRaftMessage(Reader.getRoot<rpc::RaftMessage>());
}

RC_GTEST_PROP(RpcCodec, RaftMessagesRoundTrip,
              (uint64_t A, uint64_t B, bool C, bool D, int64_t Micros)) {
  auto Entries = *rc::gen::container<std::vector<LogEntry>>(logEntries());
  auto Data = *rc::gen::arbitrary<std::string>();
  Instant At{Duration(Micros)};
  const RaftBody Bodies[] = {
      VoteRequest{A, B, C}, VoteReply{C, D},
      AppendRequest{A, B, Entries, A, At}, AppendReply{C, A, B, At},
      SnapshotRequest{{A, B, {{{A, "vm", "x"}}, {}}, Data}, At}};
  for (const RaftBody &Body : Bodies) {
    RaftMessage Message{A, B, A, Body};
    RC_ASSERT(encodeAndDecode(Message) == Message);
  }
}

RC_GTEST_PROP(RpcCodec, ReportsAndRepliesRoundTrip,
              (uint32_t A, uint64_t B, bool C)) {
  auto Text = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
  EntryReport Report{{Text, B},
                     Text,
                     Text,
                     B,
                     {{Text, A, A, B, A, C}},
                     {{Text, Text, Text, BackendState::Leaving, A, A}},
                     {{Text, A, A, A}},
                     Text,
                     B,
                     C};
  EntryReply Reply{
      SyncStatus::Ok,
      Text,
      A,
      EntryConfiguration{B,
                         {},
                         {{Text, Text}},
                         {Text},
                         {B, {{Text, A}}, {{Text, B}}, {{Text, B}}}},
      {{Text, A, B, A}},
      {{Text, Text, Text, A, {{Text, A, A, A}}}}};
  capnp::MallocMessageBuilder First;
  writeReport(Report, First.initRoot<rpc::EntryReport>());
  RC_ASSERT(readReport(First.getRoot<rpc::EntryReport>().asReader()) == Report);
  capnp::MallocMessageBuilder Second;
  writeReply(Reply, Second.initRoot<rpc::EntryReply>());
  RC_ASSERT(readReply(Second.getRoot<rpc::EntryReply>().asReader()) == Reply);
}

RC_GTEST_PROP(HandOverCodec, RecordPagesRoundTrip,
              (uint64_t Epoch, bool Last, uint32_t Millis,
               const std::string &Body)) {
  RecordPage Page{{"entry-1", Epoch}, Epoch, {}, Last, Millis};
  for (RecordState State :
       {RecordState::InFlight, RecordState::Answered, RecordState::Failed,
        RecordState::Unknown, RecordState::NotRun})
    Page.Records.push_back({"id", "scope", State, 200, "text/plain", Body});
  RC_ASSERT(decodeRecordPage(encodeRecordPage(Page)) == Page);
}

RC_GTEST_PROP(HandOverCodec, ArbitraryBytesDoNotCrash,
              (const std::string &Bytes)) {
  decodeRecordPage(Bytes);
  std::string Truncated =
      encodeRecordPage({{"entry-1", 1},
                        1,
                        {{"id", "s", RecordState::InFlight, 0, "", ""}},
                        true,
                        0});
  Truncated.resize(*rc::gen::inRange<size_t>(0, Truncated.size()));
  RC_ASSERT(!decodeRecordPage(Truncated).has_value());
}

RC_GTEST_PROP(RpcCodec, ArbitraryWordsDoNotCrash, ()) {
  auto Words = *rc::gen::container<std::vector<uint64_t>>(
      rc::gen::arbitrary<uint64_t>());
  auto Pointer = reinterpret_cast<const capnp::word *>(Words.data());
  auto ReadIgnoringExceptions = [&](auto Decode) {
    try {
      capnp::FlatArrayMessageReader Reader(kj::arrayPtr(Pointer, Words.size()));
      Decode(Reader);
    } catch (const kj::Exception &) {
    } catch (const std::exception &) {
    }
  };
  ReadIgnoringExceptions([](auto &In) {
    readRaftMessage(In.template getRoot<rpc::RaftMessage>());
  });
  ReadIgnoringExceptions(
      [](auto &In) { readReport(In.template getRoot<rpc::EntryReport>()); });
  ReadIgnoringExceptions(
      [](auto &In) { readReply(In.template getRoot<rpc::EntryReply>()); });
}

RC_GTEST_PROP(Decoders, ArbitraryBytesDoNotCrashOrChangeState,
              (const std::string &Bytes)) {
  FleetCommand Command;
  decodeCommand(Bytes, Command);
  FleetState State;
  FleetState Before = State;
  if (!State.restore(Bytes))
    RC_ASSERT(State == Before);
  parsePlatformReport(Bytes);
  decodeOutcome({200, {{"mimosashunt-outcome", "not-run"}}, Bytes});
  QueuePath Path;
  parseQueuePath(Bytes, Path);
  bearerKey(Bytes);
}

RC_GTEST_PROP(Decoders, TruncatedSnapshotsAndCommandsAreRejected, ()) {
  FleetState State;
  TeamDocument Document;
  Document.Team = "guides";
  State.apply({"op", "ada", ApplyDocument{Document, 0}});
  std::string Bytes = State.snapshot();
  size_t KeptBytes = *rc::gen::inRange<size_t>(0, Bytes.size());
  FleetState Restored;
  RC_ASSERT(!Restored.restore(Bytes.substr(0, KeptBytes)));
  RC_ASSERT(Restored.restore(Bytes));
  RC_ASSERT(Restored == State);
  std::string Encoded = encodeCommand({"op", "ada", GrantKey{"guides", "d"}});
  FleetCommand Command;
  RC_ASSERT(!decodeCommand(Encoded.substr(0, Encoded.size() / 2), Command));
  RC_ASSERT(decodeCommand(Encoded, Command));
}

// A damaged or foreign command in the log, or a message of another version,
// must not end the process that reads it.
RC_GTEST_PROP(Decoders, DamagedMessagesAreReadOrRefused, ()) {
  TeamDocument Document;
  Document.Team = "guides";
  Document.Limit = 4;
  FleetState State;
  const FleetCommand Commands[] = {
      {"op-1", "ada", ApplyDocument{Document, 0}},
      {"op-2", "ada", GrantKey{"guides", "d"}},
      {"", "", RegisterEntryVm{{"entry-1", 5}, "dc-1", "127.0.0.1:80"}},
      {"", "", GrantSlice{{"entry-1", 5}, "guides", 3}}};
  for (const FleetCommand &Command : Commands) {
    FleetCommand Decoded;
    if (decodeCommand(damaged(encodeCommand(Command)), Decoded))
      State.apply(Decoded);
    State.apply(Command);
  }
  FleetState Restored;
  if (Restored.restore(damaged(State.snapshot())))
    for (const FleetCommand &Command : Commands)
      Restored.apply(Command);
  RC_ASSERT(Restored.restore(State.snapshot()));
  TransferredRecord Record{"id", "s", RecordState::Answered, 200, "", ""};
  decodeRecordPage(
      damaged(encodeRecordPage({{"entry-1", 1}, 1, {Record}, true, 0})));
  HttpResponse Refused =
      encodeOutcome(NotRun{Refusal::QueueFull, seconds(1), false});
  Refused.Body = damaged(Refused.Body);
  if (auto Decoded = decodeOutcome(Refused))
    encodeOutcome(*Decoded);
}

// Guards against a stack overflow: nested values are read recursively, and a
// message of some hundred kilobytes is enough.
TEST(Decoders, DeeplyNestedMessagesAreRefused) {
  std::string Nested(1000000, '\x81'); // Arrays of one array each.
  EXPECT_FALSE(decodeRecordPage(Nested).has_value());
  FleetCommand Command;
  EXPECT_FALSE(decodeCommand(Nested, Command));
  EXPECT_FALSE(FleetState().restore(Nested));
}

// Guards against -1 slots that are taken for 4294967295, whose sum with those
// of other backend servers wraps around.
TEST(Decoders, NumbersOutOfRangeAreRefused) {
  BackendAnnouncement Announcement{"b", "s",   "vm", "127.0.0.1:80",
                                   4,   false, 1,    {}};
  for (const Json &Number : {Json(-1), Json(uint64_t{1} << 32), Json(INT64_MAX),
                             Json(1.5), Json(1e300), Json(true)}) {
    Json Body = Announcement;
    Body["slots"] = Number;
    EXPECT_THROW(Body.get<BackendAnnouncement>(), std::exception) << Number;
    Body["slots"] = 4;
    EXPECT_EQ(Body.get<BackendAnnouncement>(), Announcement);
  }
}

RC_GTEST_PROP(OutcomeCodec, OutcomesRoundTrip,
              (const std::string &Detail, bool RanEarlier)) {
  auto Reason = static_cast<Refusal>(
      *rc::gen::inRange(0, static_cast<int>(Refusal::Cancelled) + 1));
  auto Millis = *rc::gen::inRange<int64_t>(0, 100000);
  auto Text = *rc::gen::container<std::string>(rc::gen::inRange(' ', 'z'));
  const Outcome Outcomes[] = {Answered{{200, "text/plain", Detail}},
                              NotRun{Reason, std::nullopt, RanEarlier},
                              NotRun{Reason, milliseconds(Millis), RanEarlier},
                              RanAndFailed{Text}, OutcomeUnknown{Text}};
  for (const Outcome &Result : Outcomes)
    RC_ASSERT(decodeOutcome(encodeOutcome(Result)) == Result);
}

TEST(RequestHeaders, CallersCannotImpersonateEntryVms) {
  HttpRequest Request{
      "POST", "/v1/queues/q/x", "", {{"mimosashunt-hop", "owner"}}, ""};
  QueuePath Path;
  ASSERT_TRUE(parseQueuePath(Request.Path, Path));
  EXPECT_EQ(readWork(Request, Path, /*FromPeer=*/false).Via, Hop::Caller);
  EXPECT_EQ(readWork(Request, Path, /*FromPeer=*/true).Via, Hop::Owner);
}

TEST(RequestHeaders, NonBearerCredentialsCountAsInvalidKey) {
  HttpRequest Request{
      "GET", "/v1/queues/q", "", {{"authorization", "Basic abc"}}, ""};
  QueuePath Path;
  ASSERT_TRUE(parseQueuePath(Request.Path, Path));
  EXPECT_FALSE(readWork(Request, Path, false).Digest.empty());
}

TEST(Secrets, DigestIsSha256) {
  EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223"
                              "b00361a396177a9cb410ff61f20015ad");
}

} // namespace
} // namespace mimosashunt::test
