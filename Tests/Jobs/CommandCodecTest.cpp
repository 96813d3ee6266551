// Tests of the encoding of commands and messages: the direct codec and the
// general one through Json give the same values, so a control VM of either
// version reads what the other wrote.

#include "Agreement/RaftCodec.h"
#include "Jobs/JobStore.h"
#include "Support/Mutation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

std::string generalCbor(const Json &Value) {
  std::string Bytes;
  Json::to_cbor(Value, Bytes);
  return Bytes;
}

template <class T> T anything() { return *rc::gen::arbitrary<T>(); }

Resources anyResources() {
  return {anything<int64_t>(), anything<int64_t>(), anything<int64_t>()};
}

WorkerKey anyKey() { return {anything<std::string>(), anything<int64_t>()}; }

TaskId anyTask() {
  return {anything<std::string>(), anything<uint32_t>(), anything<uint32_t>(),
          anything<uint32_t>()};
}

JobSpec anySpec() {
  JobSpec Spec;
  Spec.Payload = anything<std::string>();
  Spec.Recurrence = {anything<uint32_t>(), anything<int64_t>(),
                     anything<int64_t>()};
  for (int Left = *rc::gen::inRange(0, 3); Left > 0; --Left) {
    StepSpec Step;
    Step.Count = anything<uint32_t>();
    Step.TaskResources = anyResources();
    Step.EstimateMs = anything<int64_t>();
    Step.DependsOn = anything<std::vector<uint32_t>>();
    Step.Gang = anything<bool>();
    Step.UsesSpareCpu = anything<bool>();
    Step.RequiredLabel = anything<std::string>();
    Step.MaxUnavailable = anything<uint32_t>();
    Spec.Steps.push_back(std::move(Step));
  }
  return Spec;
}

AcceptJob anyJob() {
  AcceptJob Command;
  Command.Job = anything<std::string>();
  Command.Queue = anything<std::string>();
  Command.MaxAttempts = anything<uint32_t>();
  Command.AcceptedAt = anything<int64_t>();
  Command.Spec = anySpec();
  Command.IsBeyondRate = anything<bool>();
  Command.RecordsPlacements = anything<bool>();
  return Command;
}

WorkerEntry anyWorker() {
  WorkerEntry Entry;
  Entry.Key = anyKey();
  Entry.Address = anything<std::string>();
  Entry.Labels = anything<std::vector<std::string>>();
  Entry.Capacity = anyResources();
  Entry.Leaving = anything<bool>();
  Entry.ReplacedAt = anything<UnixMillis>();
  return Entry;
}

/// One command of each kind.
std::vector<JobCommand> anyCommands() {
  RunLoss Loss;
  Loss.Attempt = anything<uint32_t>();
  Loss.Worker = anyKey();
  Loss.WasAlone = anything<bool>();
  return {
      anyJob(),
      CancelJob{anything<std::string>()},
      RecordRunResults{{{anyTask(), anything<uint32_t>(), anything<bool>()},
                        {anyTask(), anything<uint32_t>(), anything<bool>()}}},
      PutConfiguration{anything<uint64_t>(), anything<std::string>()},
      UpdateWorkers{{anyWorker(), anyWorker()}, {anyKey()}},
      StartWave{anything<uint64_t>(), anything<std::vector<std::string>>(),
                anything<int64_t>(), anything<uint32_t>(), anything<int64_t>()},
      FinishMaintenance{anything<uint64_t>(),
                        anything<std::vector<std::string>>()},
      BeginLeadership{anything<std::string>()},
      RecordLosses{{{anyTask(), {Loss}}, {anyTask(), {}}}},
      RecordPlacements{{{anything<std::string>(), {anyKey(), anyKey()}}}},
      SetEvacuation{anything<std::string>(), anything<bool>(),
                    anything<int64_t>()},
      RecordUsage{anything<int64_t>(),
                  {{anything<std::string>(), anything<double>()}}},
      RecordRunTimes{{{anything<std::string>(), anything<std::string>(),
                       anything<double>(), anything<std::vector<double>>()}}},
      RecordTombstone{anything<int64_t>(),
                      {{anything<std::string>(), anything<std::string>()},
                       anything<std::string>(),
                       anything<int64_t>()}},
      ForgetEnded{anything<int64_t>(), anything<int64_t>()},
      NoteMaintenanceOrder{anything<uint64_t>(), anything<std::string>(),
                           anything<bool>()}};
}

RC_GTEST_PROP(CommandCodec, BothCodecsGiveTheSameCommands, ()) {
  std::vector<JobCommand> Commands = anyCommands();
  RC_ASSERT(Commands.size() == std::variant_size_v<JobCommand>);
  for (const JobCommand &Command : Commands) {
    std::string Bytes = encodeJobCommand(Command);
    // What an earlier version reads, which knows only the general codec.
    Json Tree = Json::from_cbor(Bytes);
    RC_ASSERT(Tree == kindToJson(Command));
    RC_ASSERT(kindFromJson<JobCommand>(Tree) == Command);
    JobCommand Decoded;
    RC_ASSERT(kindFromCbor(Bytes, Decoded));
    RC_ASSERT(Decoded == Command);
    // What an earlier version has written, on disk too.
    RC_ASSERT(decodeJobCommand(generalCbor(kindToJson(Command)), Decoded));
    RC_ASSERT(Decoded == Command);
  }
}

RC_GTEST_PROP(CommandCodec, BothCodecsGiveTheSameMessages, ()) {
  JobRequest Submission;
  Submission.Kind = JobRequestKind::Submit;
  Submission.Job = anything<std::string>();
  Submission.Version = anything<uint64_t>();
  Submission.Spec = anySpec();
  JobRequest Status;
  Status.Queue = anything<std::string>();
  for (const JobRequest &Request : {Submission, Status}) {
    JobRequest Decoded;
    RC_ASSERT(Json::from_cbor(toCbor(Request)) == Json(Request));
    RC_ASSERT(fieldsFromCbor(toCbor(Request), Decoded));
    RC_ASSERT(Decoded == Request);
    RC_ASSERT(fromCbor(generalCbor(Json(Request)), Decoded));
    RC_ASSERT(Decoded == Request);
  }
}

// A field that a later version adds is passed over, as the general codec does.
TEST(CommandCodec, FurtherFieldsArePassedOver) {
  Json Tree = kindToJson(JobCommand(CancelJob{"a"}));
  Tree["new"] = {1, 2};
  JobCommand Decoded;
  ASSERT_TRUE(decodeJobCommand(generalCbor(Tree), Decoded));
  EXPECT_TRUE(Decoded == JobCommand(CancelJob{"a"}));
}

TEST(CommandCodec, MalformedCommandsAreRefused) {
  JobCommand Ignored;
  RecordRunResults Results{{{{"job", 1, 2, 3}, 4, true}}};
  std::string Bytes = encodeJobCommand(Results);
  for (size_t Length = 0; Length < Bytes.size(); ++Length)
    EXPECT_FALSE(decodeJobCommand(Bytes.substr(0, Length), Ignored)) << Length;
  EXPECT_FALSE(decodeJobCommand(Bytes + '\0', Ignored));
  Json Tree = kindToJson(JobCommand(Results));
  Tree["kind"] = "unknown";
  EXPECT_FALSE(decodeJobCommand(generalCbor(Tree), Ignored));
  Tree = kindToJson(JobCommand(Results));
  Tree["ends"][0].erase("task");
  EXPECT_FALSE(decodeJobCommand(generalCbor(Tree), Ignored));
}

// Guards against an exception that ends the process: Json::from_cbor() throws
// on this size even with exceptions off.
TEST(CommandCodec, ExcessiveSizesAreRefused) {
  JobCommand Command;
  JobRequest Request;
  const std::string Array = "\x9b\xe8\x9a\x24\x38\xc7\x17\xd2\x0b";
  const std::string Map = "\xbb\xe8\x9a\x24\x38\xc7\x17\xd2\x0b";
  for (const std::string &Bytes : {Array, Map}) {
    EXPECT_FALSE(decodeJobCommand(Bytes, Command));
    EXPECT_FALSE(fromCbor(Bytes, Request));
  }
}

// Guards against a stack overflow: the general codec reads nested values
// recursively.
TEST(CommandCodec, DeeplyNestedMessagesAreRefused) {
  std::string Nested(1000000, '\x81'); // Arrays of one array each.
  JobCommand Command;
  JobRequest Request;
  EXPECT_FALSE(decodeJobCommand(Nested, Command));
  EXPECT_FALSE(fromCbor(Nested, Request));
}

// Guards against a number that is truncated to its field and taken for another
// one, such as the attempt of another run.
TEST(CommandCodec, NumbersOutOfRangeAreRefused) {
  RecordRunResults Results{{{{"job", 1, 2, 3}, 4, true}}};
  JobCommand Ignored;
  for (const Json &Number : {Json(-1), Json(uint64_t{1} << 32), Json(1.5)}) {
    Json Tree = kindToJson(JobCommand(Results));
    Tree["ends"][0]["try"] = Number;
    EXPECT_FALSE(decodeJobCommand(generalCbor(Tree), Ignored)) << Number;
  }
}

// A damaged or foreign command in the log must not end the control VMs that
// apply it, nor leave a state that they cannot restore.
RC_GTEST_PROP(CommandCodec, DamagedCommandsAreAppliedOrRefused, ()) {
  JobStore Store;
  AcceptJob Accepted;
  Accepted.Job = "job";
  Accepted.Spec.Steps.resize(1);
  Accepted.Spec.Steps[0].Count = 2;
  std::vector<JobCommand> Commands = anyCommands();
  Commands.insert(Commands.begin(), Accepted);
  Commands.push_back(RecordRunResults{{{{"job", 0, 0, 1}, 1, true}}});
  for (const JobCommand &Command : Commands)
    for (const std::string &Bytes :
         {encodeJobCommand(Command), generalCbor(kindToJson(Command))}) {
      JobCommand Decoded;
      if (decodeJobCommand(damaged(Bytes), Decoded))
        Store.apply(Decoded);
      Store.apply(Command);
    }
  const std::string Snapshot = Store.snapshot();
  JobStore Restored;
  RC_ASSERT(Restored.restore(Snapshot));
  RC_ASSERT(Restored.snapshot() == Snapshot);
  if (!Restored.restore(damaged(Snapshot)))
    RC_ASSERT(Restored.jobs() == Store.jobs());
}

RC_GTEST_PROP(CommandCodec, DamagedMessagesAreReadOrRefused, ()) {
  JobRequest Request;
  Request.Kind = JobRequestKind::Submit;
  Request.Spec = anySpec();
  std::string Bytes = damaged(toCbor(Request));
  fromCbor(Bytes, Request);
  JobResponse Response;
  fromCbor(damaged(toCbor(Response)), Response);
  std::vector<Member> Members = {{1, "vm", "address"}};
  decodeMembers(damaged(encodeMembers(Members)), Members);
  std::vector<RaftMessage> Messages = {
      {1, 2, 3,
       AppendRequest{1, 2, {{3, LogEntryKind::Command, "a", {}}}, 5, {}}},
      {1, 2, 3,
       SnapshotRequest{{4, 5, {{{6, "vm", "address"}}, {}}, "b"}, {}}}};
  decodeRaftMessages(damaged(encodeRaftMessages(Messages)), Messages);
}

// The bytes that an earlier version reads and writes.
RC_GTEST_PROP(RaftCodec, GivesTheBytesOfPositionalArrays,
              (std::string Payload, uint64_t Number, bool Flag)) {
  int64_t Micros = anything<int64_t>();
  Instant At{Duration(Micros)};
  Membership Members{{{Number, "vm", "address"}}, {{7, "new", "other"}}};
  Json Lists =
      Json::array({Json::array({Json::array({Number, "vm", "address"})}),
                   Json::array({Json::array({7, "new", "other"})})});
  Json Bytes = Json::binary({Payload.begin(), Payload.end()});
  AppendRequest Append{Number,
                       2,
                       {{Number, LogEntryKind::Command, Payload, {}},
                        {3, LogEntryKind::Membership, {}, Members}},
                       5,
                       At};
  std::vector<RaftMessage> Messages = {
      {1, 2, 3, VoteRequest{Number, 4, Flag}},
      {1, 2, 3, VoteReply{Flag, !Flag}},
      {1, 2, Number, Append},
      {1, 2, 3, AppendReply{Flag, Number, 6, At}},
      {1, 2, 3, SnapshotRequest{{Number, 5, Members, Payload}, At}}};
  Json Expected = Json::array(
      {Json::array({1, 2, 3, 0, Number, 4, Flag}),
       Json::array({1, 2, 3, 1, Flag, !Flag}),
       Json::array(
           {1, 2, Number, 2, Number, 2, 5, Micros,
            Json::array({Json::array({Number, 1, Bytes}),
                         Json::array({3, 2, Json::binary({}), Lists})})}),
       Json::array({1, 2, 3, 3, Flag, Number, 6, Micros}),
       Json::array({1, 2, 3, 4, Number, 5, Lists, Bytes, Micros})});
  std::string Encoded = encodeRaftMessages(Messages);
  RC_ASSERT(Encoded == generalCbor(Expected));
  std::vector<RaftMessage> Decoded;
  RC_ASSERT(decodeRaftMessages(Encoded, Decoded));
  RC_ASSERT(Decoded == Messages);
  RC_ASSERT(encodeMembers(Members.Learners) == generalCbor(Lists.at(1)));
}

TEST(RaftCodec, MalformedMessagesAreRefused) {
  std::vector<RaftMessage> Ignored;
  Json VoteReply = Json::array({1, 2, 3, 1, true, false});
  ASSERT_TRUE(
      decodeRaftMessages(generalCbor(Json::array({VoteReply})), Ignored));
  std::vector<Json> Malformed(5, VoteReply);
  Malformed[0][3] = 9;
  Malformed[1][0] = -1;
  Malformed[2][4] = "text";
  Malformed[3].erase(5);
  Malformed[4] = {{"map", 1}};
  for (const Json &Message : Malformed) {
    EXPECT_FALSE(decodeRaftMessages(
        generalCbor(Json::array({VoteReply, Message})), Ignored))
        << Message;
    EXPECT_TRUE(Ignored.empty());
  }
}

} // namespace
} // namespace mimosashunt::test
