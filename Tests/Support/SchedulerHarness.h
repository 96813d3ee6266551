// A leader's scheduler over virtual workers, with a store whose commands commit
// after a moment: what the job path's tests drive.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_SCHEDULERFRAME_H
#define MIMOSASHUNT_TESTS_SUPPORT_SCHEDULERFRAME_H

#include "Scheduling/Dispatcher.h"
#include "Support/VirtualWorkers.h"

#include <memory>
#include <string>
#include <vector>

namespace mimosashunt::test {

class SchedulerHarness {
public:
  explicit SchedulerHarness(
      VirtualWorkers::RealMs Real =
          [](const TaskId &, const StepSpec &Spec) { return Spec.EstimateMs; },
      DispatcherOptions Options = {});
  ~SchedulerHarness();

  /// A pool with one queue of the same name and \p Count workers, four to a
  /// rack.
  void addPool(const std::string &Name, size_t Count, int64_t Cores,
               uint32_t MaxAttempts = 2);
  /// Begins a leadership; an earlier one ends without a word.
  void beginLeadership();
  /// Reports of all workers that are not silent, as they send them themselves.
  void heartbeats();

  void submitJob(const JobId &Job, const std::string &Queue, JobSpec Spec,
                 const std::string &Organisation = "org");
  void cancelJob(const JobId &Job);
  /// Lets the time pass in steps of one millisecond.
  void advanceTime(Duration For);

  JobState jobState(const JobId &Job) const;
  size_t countJobsInState(JobState State) const;
  /// How long after its acceptance the job was done; negative if it is not.
  int64_t completionTimeMs(const JobId &Job) const;

  TimerService Timers{Instant(seconds(1000))};
  JobStore Store;
  ServiceConfiguration Configuration;
  VirtualWorkers Workers;
  std::unique_ptr<Dispatcher> Scheduler;
  bool MayIssueOrders = true;
  bool WasDeposed = false;
  std::vector<std::pair<std::string, Json>> LoggedEvents;

private:
  void commit(const JobCommand &Command);
  UnixMillis wallNow() const;

  const DispatcherOptions Options;
  std::map<JobId, Instant> AcceptedAt;
  std::map<JobId, Instant> DoneAt;
  uint64_t Sequence = 0;
};

/// Steps of one task size, one after the other.
JobSpec makeChainSpec(uint32_t Steps, uint32_t Width, int64_t Cpu, int64_t Ms);

} // namespace mimosashunt::test

#endif
