// The leader's scheduler: takes in what workers report and what the group has
// agreed on, decides what starts where, and sends the orders. It lives from the
// moment this VM leads until it no longer does; a new leader builds its own
// from the agreed state and the workers' lists.

#ifndef MIMOSASHUNT_SCHEDULING_DISPATCHER_H
#define MIMOSASHUNT_SCHEDULING_DISPATCHER_H

#include "Core/TimerService.h"
#include "Jobs/JobStore.h"
#include "Jobs/ServiceConfiguration.h"
#include "Scheduling/JobOrder.h"
#include "Scheduling/JobProgress.h"
#include "Scheduling/Pacing.h"
#include "Scheduling/Placement.h"
#include "Scheduling/WorkerHealth.h"
#include "Workers/WorkerTable.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

struct DispatcherOptions {
  LeaseOptions Lease;
  HealthOptions Health;
  PacingOptions Pacing;
  OrderPolicy Order = WorthPerWork{};
  /// How long a look at a worker may wait for an end while something runs.
  Duration BusyLook = milliseconds(600);
  Duration IdleLook = milliseconds(2000);
  /// How long to wait before an unreachable worker is asked again.
  Duration SilentLook = milliseconds(200);
  /// Time between two looks at a worker, so that ends which come together are
  /// read together: a part for each worker of the fleet, within these bounds.
  /// What a leader can read in a second does not grow with the fleet.
  Duration LookPausePerWorker = Duration(400);
  Duration LeastLookPause = milliseconds(10);
  Duration MostLookPause = milliseconds(40);
  /// A task whose progress stands still for so long is started elsewhere.
  Duration StandstillLimit = milliseconds(1800);
  /// Ends that come within this time are agreed on together.
  Duration NotePause = milliseconds(20);
  Duration StopRetry = milliseconds(250);
  /// Work that is late already asks for room to end within this time: callers
  /// wait up to three objectives, the shortest of which is about 1 s.
  Duration LateSpread = milliseconds(2500);
  /// A worker that neither answers nor reports for so long is forgotten.
  Duration ForgetAfter = seconds(12);
  /// Attempts that one leader may have used for a task; the next one numbers
  /// on from above them.
  uint32_t AttemptsPerLeadership = 100;
};

/// What a worker says of itself.
struct WorkerReport {
  WorkerEntry Entry;
  uint64_t Sequence = 0;
  int64_t ClockMs = 0;
};

/// What the scheduler needs beyond the workers.
struct LeaderHooks {
  /// Proposes to the group; the callback tells whether it committed.
  std::function<void(JobCommand, std::function<void(bool)>)> Propose;
  /// True while this VM may give orders.
  std::function<bool()> MayIssueOrders;
  /// A worker has seen a higher fencing token.
  std::function<void()> OnDeposed;
  std::function<UnixMillis()> WallNow;
  /// One event for the structured log.
  std::function<void(const char *Kind, Json Fields)> LogEvent;
};

/// What one pool asks for now.
struct PoolDemand {
  /// To run all that came in time, and what is late within some seconds.
  double BatchCores = 0;
  double LongRunningCores = 0; // Of long-running tasks.
  /// Fewest VMs on which the long-running tasks fit as spread as they ask.
  size_t MinVms = 0;
  bool Standby = false;
};

struct DispatcherCounters {
  uint64_t StartOrders = 0;
  uint64_t RejectedStarts = 0;
  uint64_t UnansweredStarts = 0;
  uint64_t Polls = 0;
  uint64_t StopOrders = 0;
  uint64_t CompletedRuns = 0;
  uint64_t FailedRuns = 0;
  uint64_t OtherEndedRuns = 0;
  uint64_t StalledRuns = 0;
  uint64_t ExpiredRuns = 0;
};

class Dispatcher {
public:
  Dispatcher(uint64_t Token, const JobStore &Store,
             const ServiceConfiguration &Configuration, WorkerPort &Port,
             TimerService &Timers, DispatcherOptions Options,
             LeaderHooks Hooks);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// The store has applied the job's acceptance or cancellation.
  void onJobAccepted(const JobId &Job);
  void onJobCancelled(const JobId &Job);
  void onConfigurationChanged();

  /// Takes a worker's report; \p Acknowledge runs once it may be answered.
  void handleReport(const WorkerReport &Report,
                    std::function<void(bool)> Acknowledge);
  /// A worker says that it ends.
  void deregisterWorker(const std::string &Id);

  /// Does what has become due; called at the end of each turn.
  void processDueWork();

  /// State as callers see it, for a job that the store has.
  JobState jobState(const JobRecord &Record) const;
  /// Jobs of the queue that had not begun at the last tick.
  size_t pendingJobCount(const std::string &Queue) const;
  /// The same for all queues; one without such jobs may be missing.
  const std::map<std::string, uint64_t> &pendingJobsByQueue() const {
    return Pending;
  }

  /// Keeps new tasks off the VM's workers, for maintenance or a move.
  void setCordoned(const std::string &Vm, bool On);
  /// Stops a long-running task on the VM if its step can spare it; returns
  /// true if nothing can run there any more.
  bool drainVm(const std::string &Vm);
  /// True if nothing can run on the worker, whoever started it.
  bool isKnownIdle(const TrackedWorker &Worker) const;
  /// When the VM's worker started, in Unix milliseconds; zero if none is known.
  int64_t workerStartTime(const std::string &Vm) const;
  /// All that ran on the VM has ended by an order to the platform.
  void onVmTerminated(const std::string &Vm);

  /// What the pool's jobs would use now if nothing held them up.
  PoolDemand computeDemand(const std::string &Pool) const;

  const WorkerTable &workers() const { return Table; }
  uint64_t token() const { return Token; }
  const DispatcherCounters &counters() const { return Counters; }
  size_t activeJobCount() const { return Jobs.size(); }
  /// True once nothing that an earlier leader may have started is unknown.
  bool isReconciled(const std::string &Pool) const;

private:
  struct Flush {
    std::map<WorkerKey, uint64_t> Processed;
  };

  void adoptStore();
  void addJob(const JobRecord &Record, bool Inherited);
  bool mayOrder() const { return Hooks.MayIssueOrders() && !IsDeposed; }
  void onTick();

  // Looks.
  void lookAtDue();
  void look(TrackedWorker &Worker);
  void lookLater(TrackedWorker &Worker, Duration Pause);
  Duration lookPause() const;
  void looked(const WorkerKey &Key, Instant SentAt, const PollResponse &Answer);
  void synced(TrackedWorker &Worker);
  void takeRunning(TrackedWorker &Worker, const RunningTask &Row,
                   Instant SentAt);
  void adoptRun(TrackedWorker &Worker, const RunningTask &Row);
  void dropVanished(TrackedWorker &Worker, const PollResponse &Answer,
                    Instant SentAt);
  void takeEnd(TrackedWorker &Worker, const FinishedRun &End);
  void silent(TrackedWorker &Worker, bool Lost);
  void lapse(TrackedWorker &Worker);
  void gone(const WorkerKey &Key, const char *Why);
  void fenced(const WorkerKey &Key);

  // Runs.
  void startRun(JobProgress &Job, const TaskId &Task, TrackedWorker &Worker,
                uint32_t Attempt);
  void started(const WorkerKey &Key, const TaskId &Task, uint32_t Attempt,
               const OrderResponse &Answer);
  void stopRun(TrackedWorker &Worker, const TaskId &Task);
  void sendStop(TrackedWorker &Worker, const TaskId &Task);
  void forgetRun(TrackedWorker &Worker, const TaskId &Task);
  void stopAll(JobProgress &Job);
  void checkStandstill(TrackedWorker &Worker);
  void pace(TrackedWorker &Worker);

  // Ends.
  void noteEnd(const RunResult &End);
  void flushEnds();
  void endJob(JobProgress &Job);
  void dropIfDone(const JobId &Job);

  // Scheduling.
  void schedule(const std::string &Pool);
  std::vector<JobRank> rank(const std::string &Pool,
                            std::vector<JobProgress *> &List) const;
  /// True if the step has tasks that may be placed now.
  bool isOpen(const JobProgress &Job, uint32_t Occurrence, uint32_t Step,
              UnixMillis Now) const;
  bool hasOpenStep(const JobProgress &Job, UnixMillis Now) const;
  void scheduleJob(JobProgress &Job, PlacementPass &Pass);
  void scheduleStep(JobProgress &Job, uint32_t Occurrence, uint32_t Step,
                    PlacementPass &Pass);
  void scheduleGang(JobProgress &Job, uint32_t Occurrence, uint32_t Step,
                    PlacementPass &Pass);
  /// True while a job that is late still counts in its pool's demand.
  bool asksForRoomLate(const JobProgress &Job) const;
  /// True if each step's tasks fit into some worker of the pool, were it empty.
  bool fitsSomewhere(const JobProgress &Job) const;
  /// True if no worker that runs the task answers.
  bool allSilent(const TaskSlot &Slot) const;
  bool withinQuota(const JobProgress &Job, const Resources &Extra) const;
  void askAdvice(JobProgress &Job, uint32_t Occurrence, uint32_t Step,
                 const std::vector<Candidate> &Candidates);
  /// What each organisation may have running that cannot be located yet.
  std::map<std::string, Resources> unlocated() const;
  size_t poolSize(const std::string &Pool) const;
  double estimateFactor(const JobProgress &Job) const;
  void dirty(const std::string &Pool) { DirtyPools.insert(Pool); }

  const uint64_t Token;
  const JobStore &Store;
  const ServiceConfiguration &Configuration;
  WorkerPort &Port;
  TimerService &Timers;
  const DispatcherOptions Options;
  const LeaderHooks Hooks;
  const uint32_t FirstAttempt;
  const Instant Began;

  WorkerTable Table;
  WorkerHealth Health;
  // Jobs that have not ended, and ended ones whose runs are not known to have
  // ended.
  std::map<JobId, std::unique_ptr<JobProgress>> Jobs;
  std::set<std::string> DirtyPools;
  std::map<std::string, uint64_t> Pending;    // Jobs not begun, by queue.
  std::map<std::string, Resources> Unlocated; // As of this turn.
  // Workers, by pool, that may run what an earlier leader started.
  std::map<std::string, std::set<WorkerKey>> Unknown;
  std::vector<RunResult> PendingEnds;
  bool FlushUnderWay = false;
  TimerId FlushTimer = 0;
  TimerId TickTimer = 0;
  std::map<std::string, double> EstimateFactors; // By queue.
  double MeanWork = 0; // Core-milliseconds of a job, a moving mean.
  DispatcherCounters Counters;
  bool IsDeposed = false;
  // Callbacks that outlive this hold a copy and check it.
  std::shared_ptr<bool> Alive;
};

} // namespace mimosashunt

#endif
