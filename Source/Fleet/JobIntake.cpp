#include "Fleet/JobIntake.h"

#include "Fleet/InternalMessages.h"
#include "Jobs/Limits.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace mimosashunt {

namespace {

/// Jobs are refused as not run while more proposals than this await commitment.
constexpr size_t MaxPendingProposals = 4000;
/// How much longer than necessary ids are kept, so that a cancellation that is
/// repeated within this time need not be written again.
constexpr Duration RenewalInterval = seconds(30);
constexpr Duration ForgetInterval = seconds(5);

JobResponse notRun(int64_t RetryAfterMs) {
  return {JobRequestOutcome::NotRun, JobState::Queued, RetryAfterMs, {}};
}

JobResponse noSuchJob() {
  return {JobRequestOutcome::NoSuchJob, JobState::Queued, 0, {}};
}

JobResponse uncertain() {
  return {JobRequestOutcome::Uncertain, JobState::Queued, 0, {}};
}

} // namespace

JobIntake::JobIntake(const JobStore &Store,
                     const ServiceConfiguration &Configuration,
                     Dispatcher &Scheduler, TimerService &Timers,
                     JobIntakeOptions Options, JobIntakeHooks Hooks)
    : Store(Store), Configuration(Configuration), Scheduler(Scheduler),
      Timers(Timers), Options(Options), Hooks(std::move(Hooks)),
      StartedAt(Timers.now()), StartTime(Store.logTime()) {
  ForgetTimer = Timers.scheduleEvery(ForgetInterval, [this] { forgetEnded(); });
}

JobIntake::~JobIntake() {
  *AliveFlag = false;
  Timers.cancel(ForgetTimer);
}

void JobIntake::handle(const JobRequest &Request,
                       const ResponseHandler &Respond) {
  switch (Request.Kind) {
  case JobRequestKind::Submit:
    return submit(Request, Respond);
  case JobRequestKind::Cancel:
    return cancel(Request, Respond);
  case JobRequestKind::Status:
    break;
  }
  respondWithState(Request, Respond);
}

void JobIntake::respondWithState(const JobRequest &Request,
                                 const ResponseHandler &Respond) const {
  const JobRecord *Record = Store.findJob(Request.Job);
  if (Record == nullptr)
    return Respond(noSuchJob());
  Respond({JobRequestOutcome::Done, Scheduler.jobState(*Record), 0, {}});
}

// Submissions.

void JobIntake::submit(const JobRequest &Request,
                       const ResponseHandler &Respond) {
  if (Store.findJob(Request.Job) != nullptr)
    return Respond({JobRequestOutcome::Done, JobState::Queued, 0, {}});
  if (Store.tombstones().covers(Request.Job, Request.Queue,
                                Request.Organisation)) {
    Hooks.LogEvent("submission_of_cancelled_id",
                   {{"job", Request.Job}, {"queue", Request.Queue}});
    return Respond(noSuchJob());
  }
  if (isBeingCancelled(Request))
    return Respond(notRun(LeaderChangeRetryMs));
  const QueueConfiguration *Queue = Configuration.findQueue(Request.Queue);
  bool IsOverloaded = Scheduler.isOverloaded() && !Request.Spec.isLongRunning();
  bool IsFull = endedJobs() > Options.MaxEndedJobs;
  // During an upgrade a gateway may not check the limits.
  bool Refused = Queue == nullptr || !limitError(Request.Spec).empty() ||
                 Hooks.PendingProposals() > MaxPendingProposals || IsFull ||
                 IsOverloaded;
  if (Refused) {
    Hooks.LogEvent("job_refused", {{"job", Request.Job},
                                   {"queue", Request.Queue},
                                   {"overloaded", IsOverloaded},
                                   {"full", IsFull}});
    int64_t RetryMs = LeaderChangeRetryMs;
    if (IsOverloaded)
      RetryMs = toMillis(Scheduler.retryTime(Request.Job));
    if (IsFull)
      RetryMs = toMillis(ForgetInterval);
    return Respond(notRun(RetryMs));
  }
  AcceptJob Command;
  Command.Job = Request.Job;
  Command.Queue = Request.Queue;
  Command.Organisation = Request.Organisation;
  Command.MaxAttempts = Queue->MaxAttempts;
  Command.AcceptedAt = Hooks.WallNow();
  Command.Spec = Request.Spec;
  Command.RecordsPlacements = Options.RecordsPlacements;
  if (!reserveMemory(Command, Respond))
    return;
  Command.IsBeyondRate = !Scheduler.takeRateToken(Command);
  proposeAcceptance(Command, Respond);
}

bool JobIntake::reserveMemory(const AcceptJob &Job,
                              const ResponseHandler &Respond) {
  Admission Decision = Scheduler.admitJob(Job);
  if (const auto *Refusal = std::get_if<TooLarge>(&Decision)) {
    Hooks.LogEvent("job_too_large", {{"job", Job.Job},
                                     {"organisation", Job.Organisation},
                                     {"needed_bytes", Refusal->NeededBytes},
                                     {"max_bytes", Refusal->MaxBytes}});
    Respond({JobRequestOutcome::TooLarge,
             JobState::Queued,
             0,
             {},
             "the job takes " + std::to_string(Refusal->NeededBytes) +
                 " bytes of memory, more than its organisation may use (" +
                 std::to_string(Refusal->MaxBytes) +
                 "); submit it as several jobs"});
    return false;
  }
  if (const auto *Refusal = std::get_if<NoRoomNow>(&Decision)) {
    Hooks.LogEvent("job_without_memory",
                   {{"job", Job.Job},
                    {"organisation", Job.Organisation},
                    {"needed_bytes", Refusal->NeededBytes},
                    {"free_bytes", Refusal->FreeBytes},
                    {"used_bytes", Scheduler.workBudget().usedBytes()}});
    Respond(notRun(toMillis(Scheduler.retryTime(Job.Job))));
    return false;
  }
  return true;
}

void JobIntake::proposeAcceptance(const AcceptJob &Command,
                                  const ResponseHandler &Respond) {
  auto Pending = PendingSubmissions.emplace(
      Command.Job, Submitter{Command.Queue, Command.Organisation});
  Hooks.Propose(Command, [this, IsAlive = AliveFlag, Pending, Respond,
                          &Jobs = Store, LogEvent = Hooks.LogEvent,
                          Job = Command.Job,
                          Queue = Command.Queue](ProposalOutcome Outcome) {
    bool IsAccepted =
        Outcome == ProposalOutcome::Committed && Jobs.findJob(Job) != nullptr;
    if (*IsAlive) {
      PendingSubmissions.erase(Pending);
      if (!IsAccepted)
        Scheduler.onJobNotAccepted(Job);
    }
    LogEvent("job_submitted",
             {{"job", Job}, {"queue", Queue}, {"outcome", nameOf(Outcome)}});
    if (IsAccepted)
      return Respond({JobRequestOutcome::Done, JobState::Queued, 0, {}});
    Respond(Outcome == ProposalOutcome::Unknown ? uncertain()
                                                : notRun(LeaderChangeRetryMs));
  });
}

// Cancellations.

void JobIntake::cancel(const JobRequest &Request,
                       const ResponseHandler &Respond) {
  if (const JobRecord *Record = Store.findJob(Request.Job)) {
    if (!mayCancel(Request, {Record->Job.Queue, Record->Job.Organisation}))
      return Respond(noSuchJob());
    if (!Record->hasEnded())
      return proposeCancellation(Request.Job, Respond);
    // A job that is forgotten soon leaves its id to a late submission.
    bool IsKept = Record->EndedAt == 0 ||
                  logNow() - Record->EndedAt <= toMillis(RenewalInterval);
    if (!IsKept)
      return cancelId(Request, Respond);
    return Respond({JobRequestOutcome::Done, Record->State, 0, {}});
  }
  // The first one is accepted, if any is.
  auto Pending = PendingSubmissions.lower_bound(Request.Job);
  bool IsPending =
      Pending != PendingSubmissions.end() && Pending->first == Request.Job;
  if (!IsPending)
    return cancelId(Request, Respond);
  if (!mayCancel(Request, Pending->second))
    return Respond(notRun(LeaderChangeRetryMs));
  proposeCancellation(Request.Job, Respond);
}

bool JobIntake::mayCancel(const JobRequest &Request,
                          const Submitter &Of) const {
  // The jobs of a queue that was removed are left to their organisation.
  if (Configuration.findQueue(Of.Queue) == nullptr)
    return Request.Organisation == Of.Organisation;
  return ownerOf(Request).covers(Of.Queue, Of.Organisation);
}

void JobIntake::proposeCancellation(const JobId &Job,
                                    const ResponseHandler &Respond) {
  Hooks.Propose(CancelJob{Job}, [Respond, &Jobs = Store,
                                 LogEvent = Hooks.LogEvent,
                                 Job](ProposalOutcome Outcome) {
    LogEvent("job_cancelled", {{"job", Job}, {"outcome", nameOf(Outcome)}});
    const JobRecord *Record = Jobs.findJob(Job);
    bool HasEnded = Outcome == ProposalOutcome::Committed &&
                    Record != nullptr && Record->hasEnded();
    if (!HasEnded)
      return Respond(uncertain());
    Respond({JobRequestOutcome::Done, Record->State, 0, {}});
  });
}

void JobIntake::cancelId(const JobRequest &Request,
                         const ResponseHandler &Respond) {
  const LogMillis Now = logNow();
  const LogMillis Needed = Now + toMillis(Options.Retention);
  Tombstone Added{ownerOf(Request), Request.Job,
                  Needed + toMillis(RenewalInterval)};
  const Tombstones &Known = Store.tombstones();
  std::optional<LogMillis> End = Known.endOf(Added.Owner, Added.Job);
  if (End && *End >= Needed)
    return Respond(noSuchJob());
  if (Hooks.PendingProposals() > MaxPendingProposals)
    return Respond(notRun(LeaderChangeRetryMs));
  if (!End && !hasRoomFor(Added)) {
    ++RefusedCancellations;
    LogMillis NextEnd = Known.nextEnd().value_or(Now);
    return Respond(
        notRun(std::max<int64_t>(LeaderChangeRetryMs, NextEnd - Now)));
  }
  proposeTombstone(Added, Respond);
}

void JobIntake::proposeTombstone(const Tombstone &Added,
                                 const ResponseHandler &Respond) {
  auto Pending = PendingTombstones.emplace(Added.Job, Added.Owner);
  Hooks.Propose(RecordTombstone{logNow(), Added},
                [this, IsAlive = AliveFlag, Pending, Respond, &Jobs = Store,
                 LogEvent = Hooks.LogEvent, Added](ProposalOutcome Outcome) {
                  if (*IsAlive)
                    PendingTombstones.erase(Pending);
                  LogEvent("id_cancelled", {{"job", Added.Job},
                                            {"queue", Added.Owner.Queue},
                                            {"outcome", nameOf(Outcome)}});
                  bool IsKept = Outcome == ProposalOutcome::Committed &&
                                Jobs.tombstones().endOf(Added.Owner, Added.Job);
                  if (IsKept)
                    return Respond(noSuchJob());
                  Respond(Outcome == ProposalOutcome::NotLeader
                              ? notRun(LeaderChangeRetryMs)
                              : uncertain());
                });
}

bool JobIntake::hasRoomFor(const Tombstone &Added) const {
  // What is not applied yet counts for each organisation.
  size_t Pending = PendingTombstones.size();
  size_t Kept = Store.tombstones().size() + Pending;
  size_t Own = Store.tombstones().countOf(Added.Owner.Organisation) + Pending;
  return Kept < Options.MaxCancelledIds && Own < Options.MaxCancelledIds - Kept;
}

bool JobIntake::isBeingCancelled(const JobRequest &Submission) const {
  auto [First, Last] = PendingTombstones.equal_range(Submission.Job);
  return std::any_of(First, Last, [&Submission](const auto &Item) {
    return Item.second.covers(Submission.Queue, Submission.Organisation);
  });
}

JobOwner JobIntake::ownerOf(const JobRequest &Request) const {
  const QueueConfiguration *Queue = Configuration.findQueue(Request.Queue);
  bool IsPublic = Queue != nullptr && Queue->IsPublic;
  return {Request.Queue, IsPublic ? std::string() : Request.Organisation};
}

LogMillis JobIntake::logNow() const {
  return StartTime + toMillis(Timers.now() - StartedAt);
}

size_t JobIntake::endedJobs() const {
  size_t Active = std::min(Scheduler.activeJobCount(), Store.jobs().size());
  return Store.jobs().size() - Active;
}

void JobIntake::forgetEnded() {
  bool HasAny = endedJobs() > 0 || Store.tombstones().size() > 0;
  if (!HasAny || ForgetInFlight)
    return;
  Duration Kept = Options.Retention + RenewalInterval;
  if (endedJobs() < Options.MaxEndedJobs / 2)
    Kept *= 2;
  const LogMillis Now = logNow();
  ForgetInFlight = true;
  Hooks.Propose(ForgetEnded{Now, Now - toMillis(Kept)},
                [this, IsAlive = AliveFlag](ProposalOutcome) {
                  if (*IsAlive)
                    ForgetInFlight = false;
                });
}

} // namespace mimosashunt
