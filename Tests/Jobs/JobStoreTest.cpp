// Tests of the replicated job state: each command, repeated commands, and
// snapshots.

#include "Jobs/JobStore.h"
#include "Jobs/Limits.h"
#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

#include <limits>

using namespace mimosashunt;
using mimosashunt::test::makeChainSpec;

namespace {

AcceptJob makeJob(const JobId &Id, JobSpec Spec, uint32_t MaxAttempts = 2) {
  AcceptJob Command;
  Command.Job = Id;
  Command.Queue = "q";
  Command.MaxAttempts = MaxAttempts;
  Command.Spec = std::move(Spec);
  return Command;
}

TEST(JobStore, RepeatedSubmissionsOfAnIdCreateOneJob) {
  JobStore Store;
  EXPECT_TRUE(Store.apply(makeJob("a", makeChainSpec(1, 2, 1, 1))));
  EXPECT_FALSE(Store.apply(makeJob("a", makeChainSpec(3, 3, 1, 1))));
  EXPECT_EQ(Store.findJob("a")->Job.Spec.Steps.size(), 1U);
}

// Guards against a job that takes more memory than the process has, on each
// control VM and at each start, or that is run by an index beyond its steps.
TEST(JobStore, JobsThatCannotRunAreNotAccepted) {
  JobStore Store;
  std::vector<JobSpec> Odd(6, makeChainSpec(2, 3, 1, 1));
  Odd[0].Recurrence.Count = UINT32_MAX;
  Odd[1].Steps[0].Count = UINT32_MAX;
  Odd[2].Recurrence.Count = Odd[2].Steps[1].Count = 100000;
  Odd[3].Steps[1].DependsOn = {2};
  Odd[4].Steps[0].TaskResources.Cpu = -1;
  Odd[5].Steps[0].TaskResources.MemoryMb = INT64_MAX;
  for (const JobSpec &Spec : Odd) {
    EXPECT_FALSE(limitError(Spec).empty());
    if (!isConsistent(Spec)) {
      EXPECT_FALSE(Store.apply(makeJob("a", Spec)));
    }
  }
  EXPECT_TRUE(isConsistent(Odd[5])); // Stored jobs may exceed the limits.
  EXPECT_TRUE(Store.apply(makeJob("a", makeChainSpec(2, 3, 1, 1))));
}

TEST(JobStore, RepeatedRunResultsCountOnce) {
  JobStore Store;
  Store.apply(makeJob("a", makeChainSpec(1, 2, 1, 1)));
  RunResult Failed{{"a", 0, 0, 0}, 1, false};
  Store.apply(RecordRunResults{{Failed, Failed}});
  Store.apply(RecordRunResults{{Failed}});
  EXPECT_EQ(Store.findJob("a")->State, JobState::Running);
  Store.apply(RecordRunResults{{{{"a", 0, 0, 0}, 2, false}}});
  EXPECT_EQ(Store.findJob("a")->State, JobState::Failed);
}

TEST(JobStore, AJobIsCompletedOnceAllItsTasksAreDone) {
  JobStore Store;
  Store.apply(makeJob("a", makeChainSpec(2, 1, 1, 1)));
  Store.apply(RecordRunResults{{{{"a", 0, 0, 0}, 1, true}}});
  EXPECT_EQ(Store.findJob("a")->State, JobState::Running);
  Store.apply(RecordRunResults{{{{"a", 0, 1, 0}, 1, true}}});
  EXPECT_EQ(Store.findJob("a")->State, JobState::Completed);
}

TEST(JobStore, LateResultsDoNotChangeACompletedJob) {
  JobStore Store;
  Store.apply(makeJob("a", makeChainSpec(1, 1, 1, 1), 1));
  Store.apply(RecordRunResults{{{{"a", 0, 0, 0}, 1, true}}});
  Store.apply(RecordRunResults{{{{"a", 0, 0, 0}, 2, false}}});
  EXPECT_EQ(Store.findJob("a")->State, JobState::Completed);
  Store.apply(CancelJob{"a"});
  EXPECT_EQ(Store.findJob("a")->State, JobState::Completed);
}

TEST(JobStore, GangFailuresCountPerAttemptAndOneSuccessCompletesTheGang) {
  JobStore Store;
  JobSpec Spec = makeChainSpec(1, 3, 1, 1);
  Spec.Steps[0].Gang = true;
  Store.apply(makeJob("a", Spec));
  Store.apply(RecordRunResults{
      {{{"a", 0, 0, 0}, 1, false}, {{"a", 0, 0, 1}, 1, false}}});
  EXPECT_EQ(Store.findJob("a")->State, JobState::Running);
  Store.apply(RecordRunResults{{{{"a", 0, 0, 2}, 2, true}}});
  EXPECT_EQ(Store.findJob("a")->State, JobState::Completed);
}

RunLoss makeLoss(uint32_t Attempt, bool WasAlone, bool IsCertain = true) {
  RunLoss Loss;
  Loss.Attempt = Attempt;
  Loss.Worker = {"w" + std::to_string(Attempt), 1};
  Loss.WasAlone = WasAlone;
  Loss.IsCertain = IsCertain;
  return Loss;
}

TEST(JobStore, AJobFailsWhenATaskOfItCrashesItsWorkers) {
  JobStore Store;
  TaskId Task{"a", 0, 0, 1};
  Store.apply(makeJob("a", makeChainSpec(1, 2, 1, 1)));
  Store.apply(RecordLosses{{{Task, {makeLoss(1, false), makeLoss(2, true)}}}});
  EXPECT_EQ(Store.findJob("a")->State, JobState::Running);
  // A silent worker may only be cut off.
  Store.apply(RecordLosses{{{Task,
                             {makeLoss(1, false), makeLoss(2, true),
                              makeLoss(3, true, /*IsCertain=*/false)}}}});
  EXPECT_EQ(Store.findJob("a")->State, JobState::Running);
  Store.apply(RecordLosses{
      {{Task, {makeLoss(1, false), makeLoss(2, true), makeLoss(3, true)}}}});
  EXPECT_EQ(Store.findJob("a")->State, JobState::Failed);
}

TEST(JobStore, LossesOfDifferentTasksDoNotAddUp) {
  JobStore Store;
  Store.apply(makeJob("a", makeChainSpec(1, 3, 1, 1)));
  for (uint32_t I = 0; I < 3; ++I)
    Store.apply(RecordLosses{
        {{{"a", 0, 0, I}, {makeLoss(1, true), makeLoss(2, true)}}}});
  EXPECT_EQ(Store.findJob("a")->State, JobState::Running);
  EXPECT_EQ(Store.findJob("a")->Losses.size(), 3U);
}

TEST(JobStore, ATaskThatSucceedsOrIsClearedHasNoLosses) {
  JobStore Store;
  Store.apply(makeJob("a", makeChainSpec(1, 3, 1, 1)));
  for (uint32_t I = 0; I < 2; ++I)
    Store.apply(RecordLosses{{{{"a", 0, 0, I}, {makeLoss(1, false)}}}});
  Store.apply(RecordRunResults{{{{"a", 0, 0, 0}, 2, true}}});
  Store.apply(RecordLosses{{{{"a", 0, 0, 1}, {}}}});
  EXPECT_TRUE(Store.findJob("a")->Losses.empty());
  // Late ones of a task that is done change nothing.
  Store.apply(RecordLosses{{{{"a", 0, 0, 0}, {makeLoss(1, false)}}}});
  EXPECT_TRUE(Store.findJob("a")->Losses.empty());
}

TEST(JobStore, LossesSurviveASnapshot) {
  JobStore Store;
  Store.apply(makeJob("a", makeChainSpec(1, 2, 1, 1)));
  Store.apply(makeJob("b", makeChainSpec(1, 2, 1, 1)));
  Store.apply(RecordLosses{{{{"a", 0, 0, 1}, {makeLoss(1, false)}}}});
  JobStore Restored;
  Restored.restore(Store.snapshot());
  EXPECT_EQ(Restored.jobs(), Store.jobs());
}

// Guards against state that grows with all jobs that ever ended (review/11).
TEST(JobStore, AJobThatHasEndedLosesItsPayloadAndIsForgottenInTime) {
  JobStore Store;
  JobSpec Spec = makeChainSpec(1, 1, 1, 1);
  Spec.Payload = std::string(4000, 'x');
  Store.apply(makeJob("a", Spec));
  Store.apply(makeJob("b", Spec));
  // A group that has told the time before, long ago.
  Store.apply(ForgetEnded{5000, 0});
  Store.apply(RecordRunResults{{{{"a", 0, 0, 0}, 1, true}}});
  EXPECT_EQ(Store.findJob("a")->Job.Spec.Payload, "");
  EXPECT_LT(Store.findJob("a")->Job.Spec.Payload.capacity(), 100U);
  EXPECT_EQ(Store.findJob("b")->Job.Spec.Payload, Spec.Payload);
  EXPECT_FALSE(Store.apply(makeJob("a", Spec)));
  Store.apply(ForgetEnded{90000, 85000});
  ASSERT_NE(Store.findJob("a"), nullptr);
  EXPECT_EQ(Store.findJob("a")->EndedAt, 90000);
  JobStore Copy;
  ASSERT_TRUE(Copy.restore(Store.snapshot()));
  EXPECT_EQ(Copy.jobs(), Store.jobs());
  for (JobStore *Replica : {&Store, &Copy}) {
    Replica->apply(ForgetEnded{95000, 89999});
    EXPECT_NE(Replica->findJob("a"), nullptr);
    Replica->apply(ForgetEnded{100000, 90000});
    EXPECT_EQ(Replica->findJob("a"), nullptr);
    EXPECT_NE(Replica->findJob("b"), nullptr);
  }
}

TEST(JobStore, RunResultsOfUnknownTasksAreIgnored) {
  JobStore Store;
  Store.apply(makeJob("a", makeChainSpec(1, 1, 1, 1)));
  Store.apply(RecordRunResults{{{{"a", 1, 0, 0}, 1, true},
                                {{"a", 0, 7, 0}, 1, true},
                                {{"a", 0, 0, 9}, 1, true},
                                {{"b", 0, 0, 0}, 1, true}}});
  EXPECT_EQ(Store.findJob("a")->State, JobState::Queued);
}

TEST(JobStore, OnlyAHigherConfigurationVersionIsAccepted) {
  JobStore Store;
  EXPECT_TRUE(Store.apply(PutConfiguration{7, "seven"}));
  EXPECT_FALSE(Store.apply(PutConfiguration{7, "other seven"}));
  EXPECT_FALSE(Store.apply(PutConfiguration{5, "five"}));
  EXPECT_EQ(Store.configurationText(), "seven");
}

TEST(JobStore, ALeavingWorkerStaysLeaving) {
  JobStore Store;
  WorkerEntry Entry;
  Entry.Key = {"w", 1};
  Entry.Leaving = true;
  Store.apply(UpdateWorkers{{Entry}, {}});
  Entry.Leaving = false;
  Store.apply(UpdateWorkers{{Entry}, {}});
  EXPECT_TRUE(Store.workers().at({"w", 1}).Leaving);
}

TEST(JobStore, AWaveIsCompletedOnceAllItsVmsAreFinished) {
  JobStore Store;
  Store.apply(StartWave{1, {"a", "b"}, 1000, 1, 0});
  Store.apply(FinishMaintenance{1, {"a", "stranger"}});
  EXPECT_FALSE(Store.waves().at(1).isCompleted());
  Store.apply(FinishMaintenance{1, {"b"}});
  EXPECT_TRUE(Store.waves().at(1).isCompleted());
}

TEST(JobStore, SnapshotsRestoreTheWholeState) {
  JobStore Store;
  Store.apply(makeJob("a", makeChainSpec(2, 3, 1, 1)));
  Store.apply(makeJob("b", makeChainSpec(1, 1, 1, 1)));
  Store.apply(RecordRunResults{
      {{{"a", 0, 0, 1}, 1, true}, {{"a", 0, 0, 2}, 1, false}}});
  Store.apply(CancelJob{"b"});
  Store.apply(PutConfiguration{3, "text"});
  WorkerEntry Entry;
  Entry.Key = {"w", 1};
  Entry.Labels = {"a", "r1"};
  Store.apply(UpdateWorkers{{Entry}, {}});
  Store.apply(StartWave{1, {"m"}, 1000, 1, 5});
  Store.apply(BeginLeadership{"vm"});
  JobStore Copy;
  Copy.restore(Store.snapshot());
  EXPECT_EQ(Copy.jobs(), Store.jobs());
  EXPECT_EQ(Copy.configurationVersion(), 3U);
  EXPECT_EQ(Copy.configurationText(), "text");
  EXPECT_EQ(Copy.workers(), Store.workers());
  EXPECT_EQ(Copy.waves().at(1), Store.waves().at(1));
  EXPECT_EQ(Copy.leaderships(), 1U);
}

constexpr uint32_t ManyOccurrences = 100000;

/// Returns a job of six tasks. With many occurrences its snapshot names the
/// open ones alone.
JobSpec makeRecurrence(uint32_t Count = ManyOccurrences) {
  JobSpec Spec = makeChainSpec(2, 3, 1, 1);
  Spec.Recurrence = {Count, 1000, 1000};
  return Spec;
}

RunResult success(const JobId &Job, uint32_t Occurrence, uint32_t Step,
                  uint32_t Index) {
  return {{Job, Occurrence, Step, Index}, 1, true};
}

/// Ends the occurrence.
void succeed(JobStore &Store, const JobId &Job, uint32_t Occurrence) {
  for (uint32_t Step = 0; Step < 2; ++Step)
    for (uint32_t I = 0; I < 3; ++I)
      Store.apply(RecordRunResults{{success(Job, Occurrence, Step, I)}});
}

TEST(JobStore, OccurrencesEndInAnyOrder) {
  JobStore Store;
  Store.apply(makeJob("a", makeRecurrence()));
  for (uint32_t K : {4U, 0U, 2U, 3U, 1U})
    succeed(Store, "a", K);
  Store.apply(RecordRunResults{{success("a", 7, 0, 1)}});
  const TaskRecords &Tasks = Store.findJob("a")->Tasks;
  EXPECT_EQ(Tasks.firstUnfinished(), 5U);
  EXPECT_EQ(Tasks.openOccurrences().size(), 1U);
  EXPECT_EQ(Tasks.unfinishedTasks(), ManyOccurrences * 6U - 5 * 6 - 1);
  // A late result does not open it again.
  Store.apply(RecordRunResults{{{{"a", 2, 0, 0}, 9, false}}});
  EXPECT_EQ(Tasks.openOccurrences().size(), 1U);
  EXPECT_TRUE(Tasks.hasEnded(4));
  EXPECT_FALSE(Tasks.hasEnded(5));
}

TEST(JobStore, SnapshotsRestoreTheOccurrencesOfLongRecurrences) {
  JobStore Store;
  Store.apply(makeJob("a", makeRecurrence()));
  for (uint32_t K : {0U, 1U, 5U})
    succeed(Store, "a", K);
  Store.apply(
      RecordRunResults{{success("a", 3, 0, 1), {{"a", 3, 0, 2}, 1, false}}});
  Store.apply(RecordLosses{{{{"a", 9, 1, 1}, {makeLoss(1, false)}}}});
  JobStore Copy;
  ASSERT_TRUE(Copy.restore(Store.snapshot()));
  EXPECT_EQ(Copy.jobs(), Store.jobs());
  EXPECT_LT(Store.snapshot().size(), 2000U);
}

// Guards against states that differ between versions of one group: earlier ones
// wrote each occurrence of a job, and their fields ordered by name.
TEST(JobStore, SnapshotsOfEarlierVersionsGiveTheSameState) {
  JobStore Store;
  constexpr uint32_t Count = 5000;
  JobSpec Spec = makeRecurrence(Count);
  Store.apply(makeJob("a", Spec));
  Store.apply(makeJob("b", makeChainSpec(2, 3, 1, 1)));
  succeed(Store, "a", 0);
  succeed(Store, "a", 4);
  Store.apply(RecordRunResults{{success("a", 2, 1, 0)}});
  Json Tree = Json::from_cbor(Store.snapshot());
  Json &Stored = Tree["jobs"][0];
  Stored.erase("opened");
  Stored.erase("ended");
  Json Open = {{"done", false}, {"failed", Json::array()}};
  Json Done = {{"done", true}, {"failed", Json::array()}};
  Stored["tasks"] = Json::array();
  for (uint32_t K = 0; K < Spec.Recurrence.Count; ++K) {
    const Json &Each = K == 0 || K == 4 ? Done : Open;
    Stored["tasks"].push_back({{Each, Each, Each}, {Each, Each, Each}});
  }
  Stored["tasks"][2][1][0]["done"] = true;
  std::vector<uint8_t> Bytes = Json::to_cbor(Tree);
  JobStore Read;
  ASSERT_TRUE(Read.restore({Bytes.begin(), Bytes.end()}));
  EXPECT_EQ(Read.jobs(), Store.jobs());
  Stored["tasks"].erase(Count - 1);
  Bytes = Json::to_cbor(Tree);
  EXPECT_FALSE(Read.restore({Bytes.begin(), Bytes.end()}));
}

// Guards against members of the earlier version that cannot take a snapshot
// while all are upgraded in turn: they read each occurrence of a job alone.
TEST(JobStore, RecurrencesAreWrittenInTheEarlierFormWhileTheyAreNotTooMany) {
  constexpr uint32_t MinutesOfAMonth = 43200;
  JobSpec Spec = makeChainSpec(1, 1, 1, 1);
  Spec.Recurrence = {MinutesOfAMonth, 1000, 60000};
  JobStore Store;
  Store.apply(makeJob("a", Spec));
  Store.apply(makeJob("b", Spec));
  for (uint32_t K : {0U, 1U, 7U})
    Store.apply(RecordRunResults{{success("a", K, 0, 0)}});
  Store.apply(makeJob("c", makeRecurrence()));
  Json Tree = Json::from_cbor(Store.snapshot());
  for (size_t I : {0U, 1U}) {
    const Json &Written = Tree["jobs"][I]["tasks"];
    ASSERT_EQ(Written.size(), MinutesOfAMonth);
    EXPECT_EQ(Written[7][0][0]["done"], I == 0);
    EXPECT_EQ(Written[8][0][0]["done"], false);
  }
  EXPECT_TRUE(Tree["jobs"][2].contains("opened"));
  JobStore Copy;
  ASSERT_TRUE(Copy.restore(Store.snapshot()));
  EXPECT_EQ(Copy.jobs(), Store.jobs());
}

// Guards against a snapshot whose occurrences contradict each other.
TEST(JobStore, OddOccurrencesAreRefused) {
  JobStore Store;
  Store.apply(makeJob("a", makeRecurrence()));
  succeed(Store, "a", 0);
  Store.apply(RecordRunResults{{success("a", 2, 1, 0)}});
  std::vector<Json> Odd(7, Json::from_cbor(Store.snapshot()));
  Odd[0]["jobs"][0]["ended"][0]["end"] = ManyOccurrences + 1;
  Odd[1]["jobs"][0]["ended"][0]["end"] = 0;
  Odd[2]["jobs"][0]["ended"][0]["end"] = 3;
  Odd[3]["jobs"][0]["opened"][0]["k"] = ManyOccurrences;
  Odd[4]["jobs"][0]["opened"][0]["tasks"][0].erase(0);
  Odd[5]["jobs"][0]["opened"].push_back(Odd[5]["jobs"][0]["opened"][0]);
  Odd[6]["jobs"][0].erase("ended");
  for (const Json &Tree : Odd) {
    std::vector<uint8_t> Bytes = Json::to_cbor(Tree);
    JobStore Read;
    EXPECT_FALSE(Read.restore({Bytes.begin(), Bytes.end()}));
  }
}

// Guards against a snapshot that ends the process by an exception, or leaves it
// with a part of the state.
TEST(JobStore, UnreadableSnapshotsAreRefusedAndChangeNothing) {
  JobStore Store;
  Store.apply(makeJob("a", makeChainSpec(2, 3, 1, 1)));
  Store.apply(RecordLosses{{{{"a", 0, 0, 1}, {makeLoss(1, false)}}}});
  const std::string Valid = Store.snapshot();
  std::vector<Json> Odd(6, Json::from_cbor(Valid));
  Odd[0].erase("version");
  Odd[1]["jobs"][0]["tasks"][0][1].erase(0);
  Odd[2]["jobs"][0]["open"] = 7;
  Odd[3]["jobs"][0]["losses"][0]["task"]["i"] = 3;
  Odd[4]["jobs"][0]["state"] = 9;
  Odd[5]["jobs"][0]["job"]["spec"]["steps"][1]["after"] = {2};
  std::vector<std::string> Snapshots = {"no snapshot", Valid.substr(0, 50)};
  for (const Json &Tree : Odd) {
    std::vector<uint8_t> Bytes = Json::to_cbor(Tree);
    Snapshots.emplace_back(Bytes.begin(), Bytes.end());
  }
  for (const std::string &Bytes : Snapshots) {
    EXPECT_FALSE(Store.restore(Bytes));
    EXPECT_EQ(Store.snapshot(), Valid);
  }
}

TEST(JobStore, CommandsRoundTripThroughTheEncoding) {
  std::vector<JobCommand> Commands = {
      makeJob("a", makeChainSpec(2, 3, 1, 1)),
      CancelJob{"a"},
      RecordRunResults{{{{"a", 1, 2, 3}, 4, true}}},
      PutConfiguration{3, "text"},
      UpdateWorkers{{WorkerEntry{}}, {{"w", 2}}},
      StartWave{1, {"m"}, 1000, 2, 5},
      FinishMaintenance{1, {"m"}},
      BeginLeadership{"vm"}};
  for (const JobCommand &Command : Commands) {
    JobCommand Decoded;
    ASSERT_TRUE(decodeJobCommand(encodeJobCommand(Command), Decoded));
    EXPECT_TRUE(Decoded == Command) << Command.index();
  }
  JobCommand Ignored;
  EXPECT_FALSE(decodeJobCommand("no command", Ignored));
}

TEST(JobStore, StoredAmountsAreBroughtIntoTheirRange) {
  // Guards against sums of stored amounts that overflow.
  constexpr int64_t Most = std::numeric_limits<int64_t>::max();
  UpdateWorkers Command;
  Command.Workers.emplace_back();
  Command.Workers[0].Capacity = {Most, -1, Most};
  JobStore Store;
  Store.apply(Command);
  EXPECT_EQ(Store.workers().begin()->second.Capacity,
            (Resources{MaxAmount, 0, MaxAmount}));
}

} // namespace
