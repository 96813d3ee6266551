// Plays submissions and cancellations of the same ids in any order through the
// leader's intake, in virtual time, with leaders that change while proposals
// await commitment. MIMOSASHUNT_TESTS_SEEDS sets how many drawn days are
// played.

#include "Fleet/JobIntake.h"
#include "Support/SchedulerHarness.h"

#include <cstdlib>
#include <deque>
#include <gtest/gtest.h>
#include <random>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

const char *const Keyed = "keyed"; // A queue that asks for a key.
const char *const Public = "public";

/// Answers of a kind of request, by id.
using Outcomes = std::map<JobId, JobRequestOutcome>;

/// The consensus group as callers see it: a log whose entries commit in order,
/// after a delay, and the leaders that come one after the other.
class Group {
public:
  explicit Group(JobIntakeOptions Options = {}) : Options(Options) {
    Harness.addPool(Keyed, 4, 64);
    Harness.addPool(Public, 4, 64);
    Harness.Configuration.Queues[1].IsPublic = true;
    lead();
    Harness.advanceTime(milliseconds(500));
  }
  ~Group() { Intake.reset(); }

  void lead() {
    Harness.beginLeadership();
    JobIntakeHooks Hooks;
    Hooks.Propose = [this](const JobCommand &Command,
                           Replica::ProposalCallback Done) {
      Log.push_back({encodeJobCommand(Command), std::move(Done)});
      Harness.Timers.scheduleAt(Harness.Timers.now() + CommitDelay,
                                [this, Term = Term] {
                                  if (Term == this->Term)
                                    commitNext();
                                });
    };
    Hooks.PendingProposals = [this] { return Log.size(); };
    Hooks.WallNow = [this] { return Harness.wallNow(); };
    Hooks.LogEvent = [](const char *, const Json &) {};
    Intake = std::make_unique<JobIntake>(Harness.Store, Harness.Configuration,
                                         *Harness.Scheduler, Harness.Timers,
                                         Options, std::move(Hooks));
  }

  /// Ends the leader's process. Its next one, on the same disk or another,
  /// knows the first \p Kept of the proposals that are in flight.
  void endLeader(size_t Kept) {
    ++Term;
    Intake.reset();
    Harness.Scheduler.reset();
    std::deque<Proposal> InFlight = std::exchange(Log, {});
    for (Proposal &Each : InFlight) {
      if (Kept > 0)
        apply(Each);
      Kept -= Kept > 0 ? 1 : 0;
      Each.OnDone(ProposalOutcome::Unknown);
    }
    ASSERT_TRUE(Harness.Store.restore(Harness.Store.snapshot()));
  }

  void call(JobRequestKind Kind, const JobId &Job,
            const std::string &Organisation = "org",
            const std::string &Queue = Keyed) {
    JobRequest Request;
    Request.Kind = Kind;
    Request.Job = Job;
    Request.Queue = Queue;
    Request.Organisation = Organisation;
    if (Kind == JobRequestKind::Submit)
      Request.Spec = makeChainSpec(1, 2, 1000, 60000);
    Outcomes &Answers = AnswersOf[{Kind, Organisation}];
    if (Intake == nullptr) {
      Answers[Job] = JobRequestOutcome::NotRun;
      return;
    }
    Answers.erase(Job);
    Intake->handle(Request, [&Answers, Job](const JobResponse &Response) {
      Answers[Job] = Response.Outcome;
    });
  }
  void submit(const JobId &Job, const std::string &Organisation = "org",
              const std::string &Queue = Keyed) {
    call(JobRequestKind::Submit, Job, Organisation, Queue);
  }
  void cancel(const JobId &Job, const std::string &Organisation = "org",
              const std::string &Queue = Keyed) {
    call(JobRequestKind::Cancel, Job, Organisation, Queue);
  }
  /// Returns the answer to the last request of the kind; none if there is none
  /// yet.
  std::optional<JobRequestOutcome>
  answer(JobRequestKind Kind, const JobId &Job,
         const std::string &Organisation = "org") {
    const Outcomes &Answers = AnswersOf[{Kind, Organisation}];
    auto Found = Answers.find(Job);
    if (Found == Answers.end())
      return std::nullopt;
    return Found->second;
  }
  std::optional<JobRequestOutcome>
  submitted(const JobId &Job, const std::string &Organisation = "org") {
    return answer(JobRequestKind::Submit, Job, Organisation);
  }
  std::optional<JobRequestOutcome>
  cancelled(const JobId &Job, const std::string &Organisation = "org") {
    return answer(JobRequestKind::Cancel, Job, Organisation);
  }
  bool isAcknowledged(const JobId &Job, const std::string &Organisation) {
    auto Outcome = cancelled(Job, Organisation);
    return Outcome == JobRequestOutcome::Done ||
           Outcome == JobRequestOutcome::NoSuchJob;
  }

  /// True if a task of the job may start from now on.
  bool lives(const JobId &Job) const {
    const JobRecord *Record = Harness.Store.findJob(Job);
    return Record != nullptr && !Record->hasEnded();
  }
  int startsOf(const JobId &Job) const {
    int Count = 0;
    for (const auto &[Task, Starts] : Harness.Workers.StartCounts)
      Count += Task.Job == Job ? Starts : 0;
    return Count;
  }
  void run(int64_t Millis) { Harness.advanceTime(milliseconds(Millis)); }

  SchedulerHarness Harness;
  std::unique_ptr<JobIntake> Intake; // Null while nobody leads.
  Duration CommitDelay = milliseconds(20);
  size_t inFlight() const { return Log.size(); }
  /// The state of a member of the version before tombstones.
  JobStore Earlier;

private:
  struct Proposal {
    std::string Bytes;
    Replica::ProposalCallback OnDone;
  };

  void apply(const Proposal &Next) {
    JobCommand Command;
    ASSERT_TRUE(decodeJobCommand(Next.Bytes, Command));
    Harness.commitCommand(Command);
    bool IsKnown = !std::holds_alternative<RecordTombstone>(Command) &&
                   !std::holds_alternative<ForgetEnded>(Command);
    if (IsKnown)
      Earlier.apply(Command);
  }
  void commitNext() {
    Proposal Next = std::move(Log.front());
    Log.pop_front();
    apply(Next);
    Next.OnDone(ProposalOutcome::Committed);
  }

  const JobIntakeOptions Options;
  std::deque<Proposal> Log; // Appended and not committed.
  int Term = 0;
  std::map<std::pair<JobRequestKind, std::string>, Outcomes> AnswersOf;
};

// Guards against a job that runs although its cancellation was acknowledged,
// when its submission is read later (review/15).
TEST(JobIntake, ASubmissionAfterItsAcknowledgedCancellationIsNotAccepted) {
  Group Calls;
  Calls.cancel("a");
  Calls.run(100);
  EXPECT_EQ(Calls.cancelled("a"), JobRequestOutcome::NoSuchJob);
  Calls.submit("a");
  Calls.run(2000);
  EXPECT_EQ(Calls.submitted("a"), JobRequestOutcome::NoSuchJob);
  EXPECT_FALSE(Calls.lives("a"));
  EXPECT_EQ(Calls.startsOf("a"), 0);
  Calls.submit("b");
  Calls.run(2000);
  EXPECT_EQ(Calls.submitted("b"), JobRequestOutcome::Done);
  EXPECT_GT(Calls.startsOf("b"), 0);
}

// Guards against a cancellation that overtakes a submission which awaits its
// commit.
TEST(JobIntake, ACancellationEndsAJobWhoseAcceptanceIsNotCommittedYet) {
  Group Calls;
  Calls.CommitDelay = milliseconds(350);
  Calls.submit("a");
  Calls.run(100);
  Calls.cancel("a");
  Calls.run(50);
  EXPECT_EQ(Calls.cancelled("a"), std::nullopt); // Nothing is decided yet.
  Calls.run(2000);
  EXPECT_EQ(Calls.cancelled("a"), JobRequestOutcome::Done);
  EXPECT_FALSE(Calls.lives("a"));
}

// Guards against an acceptance that is proposed behind a tombstone that is not
// applied yet.
TEST(JobIntake, ASubmissionBehindACancellationInFlightIsRefused) {
  Group Calls;
  Calls.cancel("a");
  Calls.submit("a");
  Calls.submit("a", "other");
  Calls.run(100);
  EXPECT_EQ(Calls.submitted("a"), JobRequestOutcome::NotRun);
  EXPECT_EQ(Calls.submitted("a", "other"), JobRequestOutcome::Done);
}

// Guards against a cancellation that is forgotten with the leader that
// acknowledged it, or that one acknowledges which did not commit it.
TEST(JobIntake, AnAcknowledgedCancellationOutlivesItsLeader) {
  Group Calls;
  Calls.cancel("a");
  Calls.run(100);
  Calls.cancel("b");
  Calls.endLeader(0);
  EXPECT_EQ(Calls.cancelled("b"), JobRequestOutcome::Uncertain);
  Calls.lead();
  Calls.submit("a");
  Calls.run(100);
  EXPECT_EQ(Calls.submitted("a"), JobRequestOutcome::NoSuchJob);
}

// Guards against a caller that keeps the job of another organisation, or of
// another queue, from being accepted.
TEST(JobIntake, ACancellationIsForTheOwnersSubmissionsAlone) {
  Group Calls;
  Calls.cancel("a", "other");
  Calls.cancel("b", "org", Public);
  Calls.cancel("c", "", Public);
  Calls.run(100);
  for (const char *Job : {"a", "b", "c"})
    Calls.submit(Job);
  Calls.submit("d", "other", Public);
  Calls.cancel("e", "other", Public);
  Calls.run(100);
  for (const char *Job : {"a", "b", "c"})
    EXPECT_EQ(Calls.submitted(Job), JobRequestOutcome::Done) << Job;
  // Nobody owns the jobs of a public queue alone: whoever knows the id may
  // cancel it.
  Calls.submit("c", "other", Public);
  Calls.submit("e", "org", Public);
  Calls.run(100);
  EXPECT_EQ(Calls.submitted("e"), JobRequestOutcome::NoSuchJob);
}

// Guards against a caller that ends the job of another organisation, or that of
// another queue, accepted or about to be.
TEST(JobIntake, AJobIsCancelledByItsOwnerAlone) {
  Group Calls;
  Calls.submit("a");
  Calls.submit("b", "org", Public);
  Calls.run(100);
  Calls.submit("c");
  Calls.cancel("c", "other"); // Whose the id will be is not known yet.
  Calls.cancel("a", "other");
  Calls.cancel("a", "org", Public);
  Calls.run(100);
  EXPECT_EQ(Calls.cancelled("a", "other"), JobRequestOutcome::NoSuchJob);
  EXPECT_EQ(Calls.cancelled("a"), JobRequestOutcome::NoSuchJob);
  EXPECT_EQ(Calls.cancelled("c", "other"), JobRequestOutcome::NotRun);
  EXPECT_TRUE(Calls.lives("a"));
  EXPECT_TRUE(Calls.lives("c"));
  Calls.cancel("a");
  Calls.cancel("b", "", Public);
  Calls.run(100);
  EXPECT_EQ(Calls.cancelled("a"), JobRequestOutcome::Done);
  EXPECT_FALSE(Calls.lives("a"));
  EXPECT_FALSE(Calls.lives("b"));
}

// Guards against a job that nobody can cancel since its queue is gone.
TEST(JobIntake, TheJobsOfARemovedQueueAreCancelledByTheirOrganisation) {
  Group Calls;
  Calls.submit("a");
  Calls.run(100);
  Calls.Harness.Configuration.Queues.erase(
      Calls.Harness.Configuration.Queues.begin());
  Calls.cancel("a", "other", Public);
  Calls.run(100);
  EXPECT_TRUE(Calls.lives("a"));
  Calls.cancel("a", "org", Public);
  Calls.run(100);
  EXPECT_EQ(Calls.cancelled("a"), JobRequestOutcome::Done);
  EXPECT_FALSE(Calls.lives("a"));
}

// Guards against state that grows with the cancellations of strangers, and
// against a tombstone that is dropped early for want of room.
TEST(JobIntake, CancelledIdsAreBoundedForEachOrganisationAndEnd) {
  JobIntakeOptions Options;
  Options.MaxCancelledIds = 20;
  Options.Retention = seconds(5);
  Group Calls(Options);
  for (int I = 0; I < 40; ++I) {
    Calls.cancel("s" + std::to_string(I), "stranger");
    Calls.run(30);
  }
  EXPECT_EQ(Calls.Harness.Store.tombstones().size(), 10U);
  EXPECT_EQ(Calls.Intake->refusedCancellations(), 30U);
  EXPECT_EQ(Calls.cancelled("s39", "stranger"), JobRequestOutcome::NotRun);
  for (int I = 0; I < 10; ++I) {
    Calls.submit("s" + std::to_string(I), "stranger");
    EXPECT_EQ(Calls.submitted("s" + std::to_string(I), "stranger"),
              JobRequestOutcome::NoSuchJob);
  }
  // The others still have room.
  Calls.cancel("a");
  Calls.run(100);
  EXPECT_EQ(Calls.cancelled("a"), JobRequestOutcome::NoSuchJob);
  // Those of before have ended, though nobody cancels anything.
  Calls.run(60000);
  EXPECT_EQ(Calls.Harness.Store.tombstones().size(), 0U);
  Calls.cancel("s39", "stranger");
  Calls.run(100);
  EXPECT_EQ(Calls.cancelled("s39", "stranger"), JobRequestOutcome::NoSuchJob);
}

// Guards against a repeated cancellation whose acknowledgement holds for less
// time than the first one's, and against one entry of the log for each.
TEST(JobIntake, ARepeatedCancellationHoldsAsLongAsTheFirst) {
  JobIntakeOptions Options;
  Options.Retention = seconds(60);
  Group Calls(Options);
  for (int I = 0; I < 20; ++I) {
    Calls.cancel("a");
    Calls.run(30);
  }
  EXPECT_EQ(Calls.Harness.CommandCounts["tombstone"], 1);
  Calls.run(50000);
  Calls.cancel("a");
  Calls.run(59000);
  EXPECT_EQ(Calls.Harness.Store.tombstones().size(), 1U);
  Calls.submit("a");
  EXPECT_EQ(Calls.submitted("a"), JobRequestOutcome::NoSuchJob);
}

// Guards against ended jobs that fill the memory, against one that is forgotten
// before its state may be asked for for the last time, and against a record
// that the scheduler keeps.
TEST(JobIntake, EndedJobsAreKeptForTheirTimeAndBounded) {
  JobIntakeOptions Options;
  Options.Retention = seconds(20);
  Options.MaxEndedJobs = 10;
  Group Calls(Options);
  for (int I = 0; I < 12; ++I) {
    Calls.submit("j" + std::to_string(I));
    Calls.run(100);
    Calls.cancel("j" + std::to_string(I));
    Calls.run(1000);
  }
  // One more is refused until some are forgotten.
  EXPECT_EQ(Calls.submitted("j11"), JobRequestOutcome::NotRun);
  EXPECT_EQ(Calls.Harness.Store.jobs().size(), 11U);
  Calls.submit("j0"); // Its state is still known.
  EXPECT_EQ(Calls.submitted("j0"), JobRequestOutcome::Done);
  Calls.run(50000);
  EXPECT_LT(Calls.Harness.Store.jobs().size(), 11U);
  Calls.submit("late");
  Calls.run(1000);
  EXPECT_EQ(Calls.submitted("late"), JobRequestOutcome::Done);
  Calls.cancel("late");
  Calls.run(120000);
  EXPECT_EQ(Calls.Harness.Store.jobs().size(), 0U);
  EXPECT_EQ(Calls.Harness.Scheduler->activeJobCount(), 0U);
}

// Guards against a cancellation of an ended job whose acknowledgement holds
// only until the job is forgotten.
TEST(JobIntake, ACancellationOutlivesTheRecordOfAnEndedJob) {
  JobIntakeOptions Options;
  Options.Retention = seconds(20);
  Options.MaxEndedJobs = 0; // Kept for as short as may be.
  Group Calls(Options);
  Calls.submit("a");
  Calls.run(100);
  Calls.cancel("a");
  Calls.run(45000);
  ASSERT_NE(Calls.Harness.Store.findJob("a"), nullptr);
  Calls.cancel("a");
  Calls.run(19000);
  ASSERT_EQ(Calls.Harness.Store.findJob("a"), nullptr);
  Calls.submit("a");
  Calls.run(100);
  EXPECT_EQ(Calls.submitted("a"), JobRequestOutcome::NoSuchJob);
}

/// Submits, cancels and repeats a few ids from several organisations, through
/// leaders that change at drawn moments.
class DrawnCalls {
public:
  explicit DrawnCalls(uint32_t Seed) : Random(Seed) {}

  void play() {
    constexpr int Rounds = 300;
    for (int Round = 0; Round < Rounds; ++Round) {
      drawEvent();
      Calls.run(draw(0, 60));
      noteAcknowledged();
    }
    if (Calls.Intake == nullptr)
      Calls.lead();
    Calls.run(3000);
    noteAcknowledged();
  }

  void expectCancelledJobsStay(uint32_t Seed) {
    for (const auto &[Job, Starts] : StartsAtAcknowledgement) {
      EXPECT_FALSE(Calls.lives(Job)) << "seed " << Seed << ": " << Job;
      EXPECT_EQ(Calls.startsOf(Job), Starts) << "seed " << Seed << ": " << Job;
    }
  }

  void expectOthersChangedNothing(uint32_t Seed) {
    for (const auto &[Job, Record] : Calls.Harness.Store.jobs()) {
      bool IsCancelled = Record.State == JobState::Cancelled;
      EXPECT_TRUE(!IsCancelled || OwnersCancelled.contains(Job))
          << "seed " << Seed << ": " << Job;
    }
    for (const JobId &Job : Refused)
      EXPECT_TRUE(OwnersCancelled.contains(Job))
          << "seed " << Seed << ": " << Job;
  }

  Group Calls;
  size_t acknowledgedIds() const { return StartsAtAcknowledgement.size(); }

private:
  int draw(int Min, int Max) {
    return std::uniform_int_distribution<int>(Min, Max)(Random);
  }
  JobId drawId() { return "j" + std::to_string(draw(0, 39)); }

  void drawEvent() {
    switch (draw(0, 9)) {
    case 0:
    case 1:
    case 2:
    case 3:
      return Calls.submit(drawId());
    case 4:
    case 5:
    case 6:
      return cancelOwn(drawId());
    case 7:
      return Calls.cancel(drawId(), "stranger");
    case 8:
      Calls.CommitDelay = milliseconds(draw(1, 400));
      return;
    default:
      return changeLeader();
    }
  }
  void cancelOwn(const JobId &Job) {
    OwnersCancelled.insert(Job);
    Calls.cancel(Job);
  }
  void changeLeader() {
    if (Calls.Intake == nullptr)
      return Calls.lead();
    Calls.endLeader(
        static_cast<size_t>(draw(0, static_cast<int>(Calls.inFlight()))));
  }
  /// Keeps how often tasks of a job had started a second after its cancellation
  /// was acknowledged: an order may have been on its way.
  void noteAcknowledged() {
    for (int I = 0; I < 40; ++I) {
      JobId Job = "j" + std::to_string(I);
      if (Calls.submitted(Job) == JobRequestOutcome::NoSuchJob)
        Refused.insert(Job);
      if (!OwnersCancelled.contains(Job) || !Calls.isAcknowledged(Job, "org"))
        continue;
      EXPECT_FALSE(Calls.lives(Job)) << Job;
      auto [Since, IsNew] =
          AcknowledgedAt.try_emplace(Job, Calls.Harness.Timers.now());
      if (Calls.Harness.Timers.now() - Since->second >= seconds(1))
        StartsAtAcknowledgement.try_emplace(Job, Calls.startsOf(Job));
    }
  }

  std::mt19937 Random;
  std::set<JobId> OwnersCancelled; // Or tried to.
  std::set<JobId> Refused;
  std::map<JobId, Instant> AcknowledgedAt;
  std::map<JobId, int> StartsAtAcknowledgement;
};

// Guards against an acknowledged cancellation that some order of submissions,
// repeats, commits and leaders undoes, and against members of the version
// before tombstones whose jobs differ from those of this one.
TEST(JobIntake, NothingOfAnIdStartsAfterItsCancellationInAnyOrder) {
  constexpr uint32_t DefaultSeeds = 60;
  const char *Wanted = std::getenv("MIMOSASHUNT_TESTS_SEEDS");
  uint32_t Seeds = Wanted == nullptr ? DefaultSeeds
                                     : static_cast<uint32_t>(std::atoi(Wanted));
  size_t Acknowledged = 0;
  for (uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
    DrawnCalls Day(Seed);
    Day.play();
    Day.expectCancelledJobsStay(Seed);
    Day.expectOthersChangedNothing(Seed);
    const auto &Jobs = Day.Calls.Harness.Store.jobs();
    const auto &JobsOfEarlier = Day.Calls.Earlier.jobs();
    ASSERT_EQ(Jobs.size(), JobsOfEarlier.size()) << "seed " << Seed;
    for (const auto &[Id, Record] : JobsOfEarlier)
      EXPECT_EQ(Jobs.at(Id).hasEnded(), Record.hasEnded())
          << "seed " << Seed << ": " << Id;
    Acknowledged += Day.acknowledgedIds();
  }
  EXPECT_GT(Acknowledged, 10 * Seeds);
}

} // namespace
