#include "Fleet/JobIntake.h"

#include "Fleet/InternalMessages.h"
#include "Jobs/Limits.h"

#include <utility>

namespace mimosashunt {

namespace {

/// Jobs are refused as not run while more proposals than this await commitment.
constexpr size_t MaxPendingProposals = 4000;

} // namespace

JobIntake::JobIntake(const JobStore &Store,
                     const ServiceConfiguration &Configuration,
                     Dispatcher &Scheduler, bool RecordsPlacements,
                     JobIntakeHooks Hooks)
    : Store(Store), Configuration(Configuration), Scheduler(Scheduler),
      RecordsPlacements(RecordsPlacements), Hooks(std::move(Hooks)) {}

JobIntake::~JobIntake() { *AliveFlag = false; }

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
    return Respond({JobRequestOutcome::NoSuchJob, JobState::Queued, 0, {}});
  Respond({JobRequestOutcome::Done, Scheduler.jobState(*Record), 0, {}});
}

void JobIntake::submit(const JobRequest &Request,
                       const ResponseHandler &Respond) {
  if (Store.findJob(Request.Job) != nullptr)
    return Respond({JobRequestOutcome::Done, JobState::Queued, 0, {}});
  const QueueConfiguration *Queue = Configuration.findQueue(Request.Queue);
  bool IsOverloaded = Scheduler.isOverloaded() && !Request.Spec.isLongRunning();
  // During an upgrade a gateway may not check the limits.
  bool Refused = Queue == nullptr || !limitError(Request.Spec).empty() ||
                 Hooks.PendingProposals() > MaxPendingProposals || IsOverloaded;
  if (Refused) {
    Hooks.LogEvent("job_refused",
                   {{"job", Request.Job}, {"queue", Request.Queue}});
    int64_t RetryMs = IsOverloaded ? toMillis(Scheduler.retryTime(Request.Job))
                                   : LeaderChangeRetryMs;
    return Respond({JobRequestOutcome::NotRun, JobState::Queued, RetryMs, {}});
  }
  AcceptJob Command;
  Command.Job = Request.Job;
  Command.Queue = Request.Queue;
  Command.Organisation = Request.Organisation;
  Command.MaxAttempts = Queue->MaxAttempts;
  Command.AcceptedAt = Hooks.WallNow();
  Command.Spec = Request.Spec;
  Command.RecordsPlacements = RecordsPlacements;
  if (!reserveMemory(Command, Respond))
    return;
  Command.IsBeyondRate = !Scheduler.takeRateToken(Command);
  Hooks.Propose(Command, [this, IsAlive = AliveFlag, Respond,
                          LogEvent = Hooks.LogEvent, Job = Request.Job,
                          Queue = Request.Queue](ProposalOutcome Outcome) {
    JobResponse Result;
    if (Outcome == ProposalOutcome::Committed)
      Result.Outcome = JobRequestOutcome::Done;
    if (Outcome == ProposalOutcome::NotLeader) {
      Result.Outcome = JobRequestOutcome::NotRun;
      Result.RetryAfterMs = LeaderChangeRetryMs;
    }
    if (Outcome != ProposalOutcome::Committed && *IsAlive)
      Scheduler.onJobNotAccepted(Job);
    LogEvent("job_submitted",
             {{"job", Job}, {"queue", Queue}, {"outcome", nameOf(Outcome)}});
    Respond(Result);
  });
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
    Respond({JobRequestOutcome::NotRun,
             JobState::Queued,
             toMillis(Scheduler.retryTime(Job.Job)),
             {},
             {}});
    return false;
  }
  return true;
}

void JobIntake::cancel(const JobRequest &Request,
                       const ResponseHandler &Respond) {
  const JobRecord *Record = Store.findJob(Request.Job);
  if (Record == nullptr)
    return Respond({JobRequestOutcome::NoSuchJob, JobState::Queued, 0, {}});
  if (Record->hasEnded())
    return Respond({JobRequestOutcome::Done, Record->State, 0, {}});
  Hooks.Propose(
      CancelJob{Request.Job}, [Respond, LogEvent = Hooks.LogEvent,
                               Job = Request.Job](ProposalOutcome Outcome) {
        JobResponse Result;
        Result.State = JobState::Cancelled;
        if (Outcome == ProposalOutcome::Committed)
          Result.Outcome = JobRequestOutcome::Done;
        LogEvent("job_cancelled", {{"job", Job}, {"outcome", nameOf(Outcome)}});
        Respond(Result);
      });
}

} // namespace mimosashunt
