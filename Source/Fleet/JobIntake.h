// Handles the requests of callers about jobs on the leader: decides what a
// submission or a cancellation does, proposes it and responds once it is
// committed. It exists exactly while this VM's scheduler does.
//
// Once a cancellation is acknowledged, no submission of the id is accepted,
// however late it is read. The order of the log decides: the state that a
// leader begins with holds all that earlier leaders have acknowledged, and what
// this leader has proposed since then is known here until it is applied.

#ifndef MIMOSASHUNT_FLEET_JOBINTAKE_H
#define MIMOSASHUNT_FLEET_JOBINTAKE_H

#include "Agreement/Replica.h"
#include "Core/TimerService.h"
#include "Scheduling/Dispatcher.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mimosashunt {

/// Callbacks through which JobIntake reaches the consensus group, the clock and
/// the event log.
struct JobIntakeHooks {
  std::function<void(const JobCommand &, Replica::ProposalCallback)> Propose;
  /// Returns how many proposals await commitment.
  std::function<size_t()> PendingProposals;
  std::function<UnixMillis()> WallNow;
  std::function<void(const char *Kind, Json Fields)> LogEvent;
};

struct JobIntakeOptions {
  /// Accepted jobs have placement records.
  bool RecordsPlacements = false;
  /// For how long at least the state of a job that has ended is kept, and an id
  /// without a job is not accepted after its cancellation was acknowledged.
  Duration Retention = seconds(120);
  /// Ended jobs are kept twice as long while there are less than half as many.
  /// No job is accepted beside more.
  size_t MaxEndedJobs = 10000;
  /// Cancelled ids that are kept at once. An organisation keeps at most as many
  /// as it leaves to the others.
  size_t MaxCancelledIds = 10000;
};

class JobIntake {
public:
  using ResponseHandler = std::function<void(const JobResponse &)>;

  JobIntake(const JobStore &Store, const ServiceConfiguration &Configuration,
            Dispatcher &Scheduler, TimerService &Timers,
            JobIntakeOptions Options, JobIntakeHooks Hooks);
  ~JobIntake();
  JobIntake(const JobIntake &) = delete;
  JobIntake &operator=(const JobIntake &) = delete;

  /// Handles a request that was validated against the configuration in force.
  /// \p Respond runs once, possibly after this object is gone.
  void handle(const JobRequest &Request, const ResponseHandler &Respond);

  /// Cancellations that were refused since too many ids are kept.
  uint64_t refusedCancellations() const { return RefusedCancellations; }
  /// Returns how many jobs are kept that have ended.
  size_t endedJobs() const;

private:
  /// Who submitted a job, and where.
  struct Submitter {
    std::string Queue;
    std::string Organisation;
  };
  /// Proposals that are not applied yet. Those for one id keep their order.
  using Submissions = std::multimap<JobId, Submitter>;
  using Cancellations = std::multimap<JobId, JobOwner>;

  void submit(const JobRequest &Request, const ResponseHandler &Respond);
  /// Reserves memory for the job. Refuses it and returns false if there is not
  /// enough.
  bool reserveMemory(const AcceptJob &Job, const ResponseHandler &Respond);
  void proposeAcceptance(const AcceptJob &Command,
                         const ResponseHandler &Respond);
  void cancel(const JobRequest &Request, const ResponseHandler &Respond);
  /// Returns true if the caller may cancel the jobs of the submitter.
  bool mayCancel(const JobRequest &Request, const Submitter &Of) const;
  /// Cancels a job that is accepted, or will be before this is applied.
  void proposeCancellation(const JobId &Job, const ResponseHandler &Respond);
  /// Keeps an id from being accepted that has no job, or one that is forgotten
  /// soon.
  void cancelId(const JobRequest &Request, const ResponseHandler &Respond);
  void proposeTombstone(const Tombstone &Added, const ResponseHandler &Respond);
  bool hasRoomFor(const Tombstone &Added) const;
  /// Returns true if a cancellation of the id by its owner is not applied yet.
  bool isBeingCancelled(const JobRequest &Submission) const;
  JobOwner ownerOf(const JobRequest &Request) const;
  LogMillis logNow() const;
  /// Proposes that what is kept for some time only is forgotten, which records
  /// the time, too, so that it goes on under the next leader.
  void forgetEnded();
  void respondWithState(const JobRequest &Request,
                        const ResponseHandler &Respond) const;

  const JobStore &Store;
  const ServiceConfiguration &Configuration;
  Dispatcher &Scheduler;
  TimerService &Timers;
  const JobIntakeOptions Options;
  const JobIntakeHooks Hooks;
  const Instant StartedAt;
  const LogMillis StartTime; // At StartedAt.
  TimerId ForgetTimer = 0;
  bool ForgetInFlight = false;
  Submissions PendingSubmissions;
  Cancellations PendingTombstones;
  uint64_t RefusedCancellations = 0;
  /// False once this object is gone; proposals outlive it.
  std::shared_ptr<bool> AliveFlag = std::make_shared<bool>(true);
};

} // namespace mimosashunt

#endif
