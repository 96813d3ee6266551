// The part of the scheduler daemon that handles the job requests of entry VMs.

#include "Fleet/SchedulerDaemon.h"
#include "Jobs/Limits.h"
#include "Links/SystemTime.h"

namespace mimosashunt {

namespace {

/// Jobs are refused as not run while more proposals than this await commitment.
constexpr size_t MaxPendingProposals = 4000;

} // namespace

void SchedulerDaemon::handleJobRequest(const JobRequest &Request,
                                       const ResponseHandler &Respond) {
  JobResponse Result;
  // A call that a gateway checked against a newer configuration must not be
  // handled under an older one.
  if (!isLeader() || Request.Version > State.configurationVersion()) {
    Result.Outcome = JobRequestOutcome::NotLeader;
    Result.Leader = isLeader() ? std::string() : Group->leaderAddress();
    return Respond(Result);
  }
  if (Request.Kind == JobRequestKind::Submit)
    return submitJob(Request, Respond);
  if (Request.Kind == JobRequestKind::Cancel)
    return cancelJob(Request, Respond);
  const JobRecord *Record = State.findJob(Request.Job);
  Result.Outcome = Record == nullptr ? JobRequestOutcome::NoSuchJob
                                     : JobRequestOutcome::Done;
  if (Record != nullptr)
    Result.State = Scheduler->jobState(*Record);
  Respond(Result);
}

void SchedulerDaemon::submitJob(const JobRequest &Request,
                                const ResponseHandler &Respond) {
  if (State.findJob(Request.Job) != nullptr)
    return Respond({JobRequestOutcome::Done, JobState::Queued, 0, {}});
  const QueueConfiguration *Queue = Configuration.findQueue(Request.Queue);
  bool IsOverloaded =
      Scheduler->isOverloaded() && !Request.Spec.isLongRunning();
  // During an upgrade a gateway may not check the limits.
  bool Refused = Queue == nullptr || !limitError(Request.Spec).empty() ||
                 Group->pendingProposals() > MaxPendingProposals ||
                 IsOverloaded;
  if (Refused) {
    Events.log("job_refused", {{"job", Request.Job}, {"queue", Request.Queue}});
    int64_t RetryMs = IsOverloaded ? toMillis(Scheduler->retryTime(Request.Job))
                                   : LeaderChangeRetryMs;
    return Respond({JobRequestOutcome::NotRun, JobState::Queued, RetryMs, {}});
  }
  AcceptJob Command;
  Command.Job = Request.Job;
  Command.Queue = Request.Queue;
  Command.Organisation = Request.Organisation;
  Command.MaxAttempts = Queue->MaxAttempts;
  Command.AcceptedAt = wallNow();
  Command.Spec = Request.Spec;
  Command.RecordsPlacements = Settings.RecordPlacements;
  if (!admitJob(Command, Respond))
    return;
  Command.IsBeyondRate = !Scheduler->takeRateToken(Command);
  propose(Command, [this, Respond, Job = Request.Job,
                    Queue = Request.Queue](ProposalOutcome Outcome) {
    JobResponse Result;
    if (Outcome == ProposalOutcome::Committed)
      Result.Outcome = JobRequestOutcome::Done;
    if (Outcome == ProposalOutcome::NotLeader) {
      Result.Outcome = JobRequestOutcome::NotRun;
      Result.RetryAfterMs = LeaderChangeRetryMs;
    }
    if (Outcome != ProposalOutcome::Committed && Scheduler)
      Scheduler->onJobNotAccepted(Job);
    Events.log("job_submitted",
               {{"job", Job}, {"queue", Queue}, {"outcome", nameOf(Outcome)}});
    Respond(Result);
  });
}

bool SchedulerDaemon::admitJob(const AcceptJob &Job,
                               const ResponseHandler &Respond) {
  Admission Decision = Scheduler->admitJob(Job);
  if (const auto *Refusal = std::get_if<TooLarge>(&Decision)) {
    Events.log("job_too_large", {{"job", Job.Job},
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
    Events.log("job_without_memory",
               {{"job", Job.Job},
                {"organisation", Job.Organisation},
                {"needed_bytes", Refusal->NeededBytes},
                {"free_bytes", Refusal->FreeBytes},
                {"used_bytes", Scheduler->workBudget().usedBytes()}});
    Respond({JobRequestOutcome::NotRun,
             JobState::Queued,
             toMillis(Scheduler->retryTime(Job.Job)),
             {},
             {}});
    return false;
  }
  return true;
}

void SchedulerDaemon::cancelJob(const JobRequest &Request,
                                const ResponseHandler &Respond) {
  const JobRecord *Record = State.findJob(Request.Job);
  if (Record == nullptr)
    return Respond({JobRequestOutcome::NoSuchJob, JobState::Queued, 0, {}});
  if (Record->hasEnded())
    return Respond({JobRequestOutcome::Done, Record->State, 0, {}});
  propose(CancelJob{Request.Job}, [this, Respond,
                                   Job = Request.Job](ProposalOutcome Outcome) {
    JobResponse Result;
    Result.State = JobState::Cancelled;
    if (Outcome == ProposalOutcome::Committed)
      Result.Outcome = JobRequestOutcome::Done;
    Events.log("job_cancelled", {{"job", Job}, {"outcome", nameOf(Outcome)}});
    Respond(Result);
  });
}

} // namespace mimosashunt
