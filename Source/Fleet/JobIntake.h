// Handles the requests of callers about jobs on the leader: decides what a
// submission or a cancellation does, proposes it and responds once it is
// committed. It exists exactly while this VM's scheduler does.

#ifndef MIMOSASHUNT_FLEET_JOBINTAKE_H
#define MIMOSASHUNT_FLEET_JOBINTAKE_H

#include "Agreement/Replica.h"
#include "Scheduling/Dispatcher.h"

#include <functional>
#include <memory>

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

class JobIntake {
public:
  using ResponseHandler = std::function<void(const JobResponse &)>;

  /// \p RecordsPlacements tells whether accepted jobs have placement records.
  JobIntake(const JobStore &Store, const ServiceConfiguration &Configuration,
            Dispatcher &Scheduler, bool RecordsPlacements,
            JobIntakeHooks Hooks);
  ~JobIntake();
  JobIntake(const JobIntake &) = delete;
  JobIntake &operator=(const JobIntake &) = delete;

  /// Handles a request that was validated against the configuration in force.
  /// \p Respond runs once, possibly after this object is gone.
  void handle(const JobRequest &Request, const ResponseHandler &Respond);

private:
  void submit(const JobRequest &Request, const ResponseHandler &Respond);
  /// Reserves memory for the job. Refuses it and returns false if there is not
  /// enough.
  bool reserveMemory(const AcceptJob &Job, const ResponseHandler &Respond);
  void cancel(const JobRequest &Request, const ResponseHandler &Respond);
  void respondWithState(const JobRequest &Request,
                        const ResponseHandler &Respond) const;

  const JobStore &Store;
  const ServiceConfiguration &Configuration;
  Dispatcher &Scheduler;
  const bool RecordsPlacements;
  const JobIntakeHooks Hooks;
  /// False once this object is gone; proposals outlive it.
  std::shared_ptr<bool> AliveFlag = std::make_shared<bool>(true);
};

} // namespace mimosashunt

#endif
