// Virtual-time workers for tests of the scheduler. They run tasks under leases,
// end each after its actual duration, and can be made to fail, stall, become
// unreachable or act on orders late. Each start checks the invariants of
// scheduling.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_VIRTUALWORKERS_H
#define MIMOSASHUNT_TESTS_SUPPORT_VIRTUALWORKERS_H

#include "Core/TimerService.h"
#include "Jobs/JobStore.h"
#include "Workers/WorkerPort.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt::test {

/// The faults that one worker shows.
struct WorkerFaults {
  /// Rows of running tasks cannot be read but for the task that they name.
  bool HasUnreadableRuns = false;
  /// The same of ended runs.
  bool HasUnreadableEnds = false;
  /// Tasks that rows of another writer name, in the list of running tasks.
  std::set<TaskId> ForeignRows;
  bool IsUnreachable = false;  // No messages arrive at or come from the worker.
  bool LosesResponses = false; // Orders arrive, their responses do not.
  /// The worker's process has ended; connections to it are refused.
  bool IsDown = false;
  bool IsReplaced = false; // Another worker answers at its address.
  /// It starts what it is told to start, also without free resources.
  bool StartsBeyondCapacity = false;
  bool FailsAllRuns = false; // Each run fails after 50 ms.
  bool StallsAllRuns = false;
  /// The next DelayedOrderCount orders are carried out this much later and are
  /// not answered.
  Duration OrderDelay{};
  int DelayedOrderCount = 0;
};

struct WorkerRun {
  uint32_t Attempt = 0;
  Instant StartedAt;
  Instant EndsAt;
  bool IsStalled = false;
  Resources ReservedResources;
  bool WillFail = false;
};

struct VirtualWorker {
  WorkerEntry Entry;
  WorkerFaults Faults;
  uint64_t Token = 0;
  Instant LeaseEnd;
  Instant StartedAt;
  Resources FormerCapacity; // Counts for a while after a change.
  Instant CapacityChangedAt;
  std::map<TaskId, WorkerRun> Runs;
  std::map<TaskId, uint32_t> HighestEndedAttempts;
  std::vector<FinishedRun> Finished; // Kept until acknowledged.
  uint64_t LastSequenceNumber = 0;
  /// Ends up to this number were not committed before the lease expired.
  uint64_t DiscountedEnds = 0;
  /// Polls that wait for a run to end.
  std::vector<std::function<void()>> WaitingPolls;
};

class VirtualWorkers : public WorkerPort {
public:
  /// Returns the actual duration of one task in milliseconds; a negative value
  /// makes it fail after its absolute value.
  using ActualDurationFn =
      std::function<int64_t(const TaskId &, const StepSpec &)>;

  VirtualWorkers(TimerService &Timers, const JobStore &Store,
                 ActualDurationFn ActualDurationMs);

  VirtualWorker &add(const std::string &Id, const std::string &Pool,
                     const std::string &Rack, Resources Capacity);
  VirtualWorker &at(const std::string &Id) { return Workers.at(Id); }
  /// Restarts the worker under the same id, without its earlier state.
  void restart(const std::string &Id);
  /// Changes what the worker offers; its next report tells it.
  void setCapacity(const std::string &Id, Resources Capacity);
  /// Ends the worker's process and all runs on it; it restarts after
  /// RestartDelay.
  void crash(const std::string &Id);
  const std::map<std::string, VirtualWorker> &all() const { return Workers; }

  void startRun(const WorkerEntry &To, const StartOrder &Order,
                OrderCallback Done) override;
  void stopRun(const WorkerEntry &To, const StopOrder &Order,
               OrderCallback Done) override;
  void setPace(const WorkerEntry &To, const PaceOrder &Order,
               OrderCallback Done) override;
  void pollWorker(const WorkerEntry &To, const PollOrder &Order,
                  PollCallback Done) override;
  void renewLease(const WorkerEntry &To, const RenewOrder &Order,
                  OrderCallback Done) override;
  void requestAdvice(const TaskId &Step,
                     const std::vector<std::string> &Workers, Duration Timeout,
                     AdviceCallback Done) override;

  /// Violated invariants, one line each; empty in a correct run.
  std::vector<std::string> Violations;
  /// Number of starts carried out for each task.
  std::map<TaskId, int> StartCounts;
  std::set<TaskId> CompletedTasks;
  /// Resources in use by each organisation.
  std::map<std::string, Resources> RunningByOrganisation;
  /// All pace orders received, in order.
  std::vector<PaceOrder> PaceOrders;
  /// Returns how long after its start a task crashes its worker, or nothing if
  /// it does not.
  std::function<std::optional<Duration>(const TaskId &)> CrashDelayOf;
  /// Returns how many times its actual duration a task takes on the worker.
  std::function<double(const WorkerEntry &, const StepSpec &)> SlownessOf;
  /// How long a crashed worker is down; nothing for good.
  std::optional<Duration> RestartDelay = seconds(3);
  /// Number of workers that crashed while they ran the task.
  std::map<TaskId, int> CrashCounts;
  int TotalCrashes = 0;
  /// The most ends that a response to a poll holds.
  size_t MaxEndsPerResponse = 500;
  /// The gauge that workers report for a task.
  std::map<TaskId, int64_t> Gauges;

private:
  using Reply = std::function<void(OrderOutcome, bool Answer)>;

  void deliverOrder(const WorkerEntry &To, std::function<OrderOutcome()> Run,
                    const OrderCallback &Done);
  OrderOutcome handleStart(VirtualWorker &Worker, const StartOrder &Order);
  /// Returns what the rule LIMIT lets run on the worker.
  Resources permittedCapacity(const VirtualWorker &Worker) const;
  OrderOutcome handleRenewal(VirtualWorker &Worker, const RenewOrder &Order);
  /// Forgets acknowledged ends and extends the lease, if there is one.
  void acceptLease(VirtualWorker &Worker, uint64_t AcknowledgedEnds,
                   std::optional<int64_t> LeaseEndMs);
  void extendLease(VirtualWorker &Worker, int64_t LeaseEndMs);
  OrderOutcome handleStop(VirtualWorker &Worker, const StopOrder &Order);
  void endRun(VirtualWorker &Worker, const TaskId &Task, EndKind How);
  void onTick();
  /// Results that were not committed are lost with the worker's process.
  void forgetEnds(const VirtualWorker &Worker);
  /// Ends the worker's runs without a trace on it.
  void forgetRuns(VirtualWorker &Worker);
  /// Ends the other members of a gang's attempt.
  void breakGang(const TaskId &Task, uint32_t Attempt);
  void scheduleCrash(const VirtualWorker &Worker, const StartOrder &Order);
  /// Counts starts of a task that crashes its workers, by the rule BUDGET.
  void checkCrashBudget(const StartOrder &Order, const std::string &Name);
  int64_t workerClockMs(const VirtualWorker &Worker) const;
  VirtualWorker *find(const WorkerEntry &To);
  void checkStartInvariants(const VirtualWorker &Worker,
                            const StartOrder &Order, const StepSpec &Spec);
  PollResponse makePollResponse(const VirtualWorker &Worker) const;

  TimerService &Timers;
  const JobStore &Store;
  const ActualDurationFn ActualDurationMs;
  std::map<std::string, VirtualWorker> Workers;
  /// Starts of a task after the third worker crashed under it.
  std::map<TaskId, int> StartsAfterThirdCrash;
};

} // namespace mimosashunt::test

#endif
