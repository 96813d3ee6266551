// Tests of the memory for jobs that have not ended: what a job is estimated to
// take, who may use it, and when it is free again.

#include "Scheduling/WorkBudget.h"
#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

#include <malloc.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

constexpr int64_t Megabyte = 1 << 20;

AcceptJob makeJob(const JobId &Id, JobSpec Spec) {
  AcceptJob Job;
  Job.Job = Id;
  Job.Queue = "p";
  Job.Organisation = "org";
  Job.Spec = std::move(Spec);
  return Job;
}

ServiceConfiguration makeOrganisations(double First, double Second) {
  ServiceConfiguration Configuration;
  Configuration.Organisations.push_back({"a", {"k1"}, First, 0, {}});
  Configuration.Organisations.push_back({"b", {"k2"}, Second, 0, {}});
  return Configuration;
}

/// Adds jobs of the organisation until one is refused, and returns how many
/// bytes it has then.
int64_t fill(WorkBudget &Budget, const std::string &Organisation,
             int64_t JobBytes) {
  int64_t Sum = 0;
  for (int I = 0;
       std::holds_alternative<Admitted>(Budget.assess(Organisation, JobBytes));
       ++I, Sum += JobBytes)
    Budget.add(Organisation + std::to_string(I), Organisation, JobBytes);
  return Sum;
}

/// Returns the bytes that the process has allocated; zero under a sanitizer.
int64_t allocatedBytes() {
  struct mallinfo2 Info = mallinfo2();
  return static_cast<int64_t>(Info.uordblks + Info.hblkhd);
}

// Guards against an organisation that leaves no memory to the others.
TEST(WorkBudget, AnOrganisationCannotUseUpTheGuaranteesOfOthers) {
  WorkBudget Budget(100 * Megabyte);
  Budget.setOrganisations(makeOrganisations(40, 1));
  int64_t First = fill(Budget, "a", Megabyte / 8);
  EXPECT_GT(First, 60 * Megabyte);
  EXPECT_LT(First, 75 * Megabyte);
  EXPECT_GT(fill(Budget, "b", Megabyte / 8), Megabyte);
  EXPECT_GT(fill(Budget, "", Megabyte / 8), Megabyte);
  EXPECT_LE(Budget.usedBytes(), Budget.bytes());
}

TEST(WorkBudget, TellsJobsThatNeverFitFromThoseThatDoNotFitNow) {
  WorkBudget Budget(100 * Megabyte);
  Budget.setOrganisations(makeOrganisations(1, 1));
  EXPECT_TRUE(
      std::holds_alternative<TooLarge>(Budget.assess("a", 50 * Megabyte)));
  EXPECT_TRUE(
      std::holds_alternative<Admitted>(Budget.assess("a", 20 * Megabyte)));
  Budget.add("x", "a", 40 * Megabyte);
  EXPECT_TRUE(
      std::holds_alternative<NoRoomNow>(Budget.assess("a", 20 * Megabyte)));
  Budget.remove("x");
  Budget.remove("x");
  EXPECT_EQ(Budget.usedBytes(), 0);
  EXPECT_TRUE(
      std::holds_alternative<Admitted>(Budget.assess("a", 20 * Megabyte)));
}

TEST(WorkBudget, AJobCountsOnceHoweverOftenItIsSubmitted) {
  WorkBudget Budget(100 * Megabyte);
  Budget.add("x", "a", Megabyte);
  Budget.add("x", "a", Megabyte);
  EXPECT_EQ(Budget.usedBytes(), Megabyte);
}

TEST(WorkBudget, MemoryIsFreeAgainOnceAJobHasEnded) {
  SchedulerHarness Harness;
  Harness.addPool("p", 2, 4);
  Harness.beginLeadership();
  Harness.submitJob("a", "p", makeChainSpec(1, 2, 500, 200));
  Harness.submitJob("b", "p", makeChainSpec(1, 2, 500, 60000));
  AcceptJob Lost = makeJob("c", makeChainSpec(1, 2, 500, 200));
  Harness.Scheduler->admitJob(Lost);
  Harness.Scheduler->onJobNotAccepted("c");
  EXPECT_GT(Harness.Scheduler->workBudget().usedBytes(), 0);
  Harness.advanceTime(seconds(2));
  Harness.cancelJob("b");
  Harness.advanceTime(seconds(2));
  EXPECT_EQ(Harness.jobState("a"), JobState::Completed);
  EXPECT_EQ(Harness.Scheduler->workBudget().usedBytes(), 0);
}

// Guards against leaders that are ended for their memory by a few accepted jobs
// of many tasks, without any recurrence, one after the other.
TEST(WorkBudget, AdmittedJobsTakeNoMoreThanTheBudget) {
  DispatcherOptions Options;
  Options.WorkBytes = 64 * Megabyte;
  std::vector<JobSpec> Shapes = {makeChainSpec(1, 1, 500, 200),
                                 makeChainSpec(2, 8, 500, 200),
                                 makeChainSpec(2, 9000, 500, 200)};
  Shapes.push_back(makeChainSpec(1, 4, 500, 200));
  Shapes.back().Payload = std::string(4000, 'x');
  for (const JobSpec &Shape : Shapes) {
    SchedulerHarness Harness(
        [](const TaskId &, const StepSpec &) { return 60000; }, Options);
    Harness.addPool("p", 6, 32);
    Harness.beginLeadership();
    int64_t Before = allocatedBytes();
    JobId Id = "0000000000000000";
    uint32_t Count = 0;
    for (; Count < 100000; ++Count) {
      Id = std::to_string(1000000000000000 + Count);
      Admission Decision = Harness.Scheduler->admitJob(makeJob(Id, Shape));
      if (!std::holds_alternative<Admitted>(Decision))
        break;
      Harness.submitJob(Id, "p", Shape);
    }
    Harness.advanceTime(milliseconds(300));
    EXPECT_GT(Count, 0U);
    EXPECT_LT(Count, 100000U);
    EXPECT_LE(allocatedBytes() - Before, Options.WorkBytes)
        << Shape.Steps.size() << " steps of " << Shape.Steps[0].Count;
  }
}

// Guards against tickets of the advice service, by worker of each step, that
// nothing counts.
TEST(WorkBudget, TicketsCountForEachWorkerThatAStepMayAskAbout) {
  AcceptJob Job = makeJob("a", makeChainSpec(3, 1, 500, 200));
  constexpr int64_t Workers = 85;
  constexpr int64_t MinTicketBytes = 100;
  EXPECT_GE(estimateJobBytes(Job, Workers) - estimateJobBytes(Job, 0),
            3 * Workers * MinTicketBytes);
}

TEST(WorkBudget, AJobOfTheLargestSizeIsRefusedForGood) {
  SchedulerHarness Harness;
  Harness.addPool("p", 6, 32);
  Harness.beginLeadership();
  Admission Decision = Harness.Scheduler->admitJob(
      makeJob("a", makeChainSpec(1, 250000, 500, 200)));
  const auto *Refusal = std::get_if<TooLarge>(&Decision);
  ASSERT_NE(Refusal, nullptr);
  EXPECT_GT(Refusal->NeededBytes, Refusal->MaxBytes);
  EXPECT_EQ(Harness.Scheduler->workBudget().usedBytes(), 0);
}

} // namespace
