// Tests of the replicated ids that were cancelled before a submission of them
// was accepted: how they end, and that all replicas keep the same ones.

#include "Jobs/JobStore.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace mimosashunt;

namespace {

RecordTombstone record(LogMillis Now, const JobId &Job, LogMillis EndsAt,
                       const JobOwner &Owner = {"q", "org"}) {
  return {Now, {Owner, Job, EndsAt}};
}

TEST(Tombstones, EndAtTheTimeInTheLog) {
  JobStore Store;
  Store.apply(record(0, "a", 100));
  Store.apply(record(50, "b", 200));
  EXPECT_TRUE(Store.tombstones().covers("a", "q", "org"));
  EXPECT_EQ(Store.tombstones().nextEnd(), 100);
  Store.apply(ForgetEnded{100, 0});
  EXPECT_FALSE(Store.tombstones().covers("a", "q", "org"));
  EXPECT_TRUE(Store.tombstones().covers("b", "q", "org"));
  // A leader that knows an earlier time brings nothing back.
  Store.apply(record(20, "c", 90));
  EXPECT_EQ(Store.tombstones().now(), 100);
  EXPECT_EQ(Store.tombstones().size(), 1U);
}

// Guards against a tombstone that ends at the time of its first cancellation.
TEST(Tombstones, AProlongedOneEndsOnceAndLater) {
  Tombstones Ids;
  Ids.add({{"q", "org"}, "a", 100});
  Ids.add({{"q", "org"}, "a", 200});
  Ids.add({{"q", "org"}, "a", 150});
  Ids.advance(150);
  EXPECT_TRUE(Ids.covers("a", "q", "org"));
  EXPECT_EQ(Ids.countOf("org"), 1U);
  Ids.advance(200);
  EXPECT_EQ(Ids.size(), 0U);
  EXPECT_EQ(Ids.countOf("org"), 0U);
  EXPECT_EQ(Ids.nextEnd(), std::nullopt);
}

TEST(Tombstones, AreKeyedByQueueAndOrganisation) {
  Tombstones Ids;
  Ids.add({{"q", "org"}, "a", 100});
  Ids.add({{"open", ""}, "b", 100});
  EXPECT_TRUE(Ids.covers("a", "q", "org"));
  EXPECT_FALSE(Ids.covers("a", "q", "other"));
  EXPECT_FALSE(Ids.covers("a", "q", ""));
  EXPECT_FALSE(Ids.covers("a", "open", "org"));
  EXPECT_TRUE(Ids.covers("b", "open", "anybody"));
}

TEST(Tombstones, ChangeNoJob) {
  JobStore Store;
  AcceptJob Job;
  Job.Job = "a";
  Job.Queue = "q";
  Job.Organisation = "org";
  Job.Spec.Steps.resize(1);
  Job.Spec.Steps[0].Count = 1;
  Store.apply(Job);
  Store.apply(record(0, "a", 100));
  Store.apply(record(0, "b", 100));
  Job.Job = "b";
  Store.apply(Job);
  EXPECT_EQ(Store.jobs().size(), 2U);
  for (const auto &[Id, Record] : Store.jobs())
    EXPECT_FALSE(Record.hasEnded()) << Id;
}

// Guards against a snapshot of the version before tombstones that is refused.
TEST(Tombstones, SnapshotsWithoutThemAreRead) {
  JobStore Store;
  Store.apply(PutConfiguration{3, "text"});
  Json Tree = Json::from_cbor(Store.snapshot());
  Tree.erase("tombstones");
  Tree.erase("logTime");
  std::vector<uint8_t> Bytes = Json::to_cbor(Tree);
  JobStore Read;
  ASSERT_TRUE(Read.restore({Bytes.begin(), Bytes.end()}));
  EXPECT_EQ(Read.configurationVersion(), 3U);
  EXPECT_EQ(Read.tombstones().size(), 0U);
}

// Guards against replicas that keep different ids after a snapshot, and so
// against leaders that decide differently.
RC_GTEST_PROP(Tombstones, AReplicaOfASnapshotEndsTheSameOnes, ()) {
  JobStore Store;
  JobStore Other;
  LogMillis Now = 0;
  for (int Left = *rc::gen::inRange(0, 60); Left > 0; --Left) {
    Now += *rc::gen::inRange(0, 40);
    JobCommand Command = ForgetEnded{Now, 0};
    if (*rc::gen::inRange(0, 4) > 0)
      Command = record(Now, std::string(1, *rc::gen::inRange('a', 'h')),
                       Now + *rc::gen::inRange(-10, 200),
                       {"q", *rc::gen::element<std::string>("", "org")});
    Store.apply(Command);
    Other.apply(Command);
    if (*rc::gen::inRange(0, 5) == 0)
      RC_ASSERT(Other.restore(Store.snapshot()));
    RC_ASSERT(Other.snapshot() == Store.snapshot());
    RC_ASSERT(Other.tombstones().nextEnd().has_value() ==
              (Other.tombstones().size() > 0));
    size_t Counted = 0;
    for (const auto &[Owner, Ends] : Store.tombstones().byOwner())
      for (const auto &[Job, EndsAt] : Ends) {
        RC_ASSERT(EndsAt > Now);
        ++Counted;
      }
    RC_ASSERT(Counted == Store.tombstones().size());
  }
}

} // namespace
