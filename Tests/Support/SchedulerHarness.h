// Test harness that runs the leader's scheduler in virtual time over virtual
// workers, with a job store whose commands commit after a short delay.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_SCHEDULERFRAME_H
#define MIMOSASHUNT_TESTS_SUPPORT_SCHEDULERFRAME_H

#include "Scheduling/Dispatcher.h"
#include "Support/VirtualWorkers.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosashunt::test {

class SchedulerHarness {
public:
  explicit SchedulerHarness(
      VirtualWorkers::ActualDurationFn ActualDurationMs =
          [](const TaskId &, const StepSpec &Spec) { return Spec.EstimateMs; },
      DispatcherOptions Options = {});
  ~SchedulerHarness();

  /// Adds a pool with one queue of the same name and \p Count workers, four to
  /// a rack.
  void addPool(const std::string &Name, size_t Count, int64_t Cores,
               uint32_t MaxAttempts = 2);
  /// Starts a new leader. An earlier one ends without notice.
  void beginLeadership();
  /// Delivers one periodic report of each reachable worker.
  void sendHeartbeats();

  void submitJob(const JobId &Job, const std::string &Queue, JobSpec Spec,
                 const std::string &Organisation = "org");
  void cancelJob(const JobId &Job);
  void setEvacuation(const std::string &DataCentre, bool Active);
  /// Advances virtual time in steps of one millisecond.
  void advanceTime(Duration For);

  JobState jobState(const JobId &Job) const;
  size_t countJobsInState(JobState State) const;
  /// Returns the time from acceptance to completion, or -1 if the job is not
  /// completed.
  int64_t completionTimeMs(const JobId &Job) const;

  TimerService Timers{Instant(seconds(1000))};
  JobStore Store;
  ServiceConfiguration Configuration;
  VirtualWorkers Workers;
  /// The way of the next leader's orders to the workers.
  WorkerPort *LeaderPort = &Workers;
  std::unique_ptr<Dispatcher> Scheduler;
  bool MayIssueOrders = true;
  bool SendsHeartbeats = true; // By itself, as time advances.
  bool FailsProposals = false; // Nothing is committed, and the leader hears so.
  bool WasDeposed = false;
  int64_t WallOffsetMs = 0; // A jump of the wall clock.
  std::vector<std::pair<std::string, Json>> LoggedEvents;
  /// Number of committed commands of each kind.
  std::map<std::string, int> CommandCounts;

  UnixMillis wallNow() const;

  /// Applies a command and tells the leader of it.
  void commitCommand(const JobCommand &Command);

private:
  const DispatcherOptions Options;
  std::map<JobId, Instant> AcceptedAt;
  std::map<JobId, Instant> CompletedAt;
  uint64_t Sequence = 0;
};

/// Returns a job of \p Steps consecutive steps with \p Width tasks each. \p Cpu
/// is in thousandths of a core.
JobSpec makeChainSpec(uint32_t Steps, uint32_t Width, int64_t Cpu, int64_t Ms);

} // namespace mimosashunt::test

#endif
