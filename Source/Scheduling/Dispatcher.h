// The scheduler of the current leader. Combines worker reports with the
// replicated job state, decides which task starts on which worker, and sends
// the orders. It exists only while this VM is leader; a new leader builds its
// own from the replicated state and the workers' lists of runs.

#ifndef MIMOSASHUNT_SCHEDULING_DISPATCHER_H
#define MIMOSASHUNT_SCHEDULING_DISPATCHER_H

#include "Core/TimerService.h"
#include "Jobs/JobStore.h"
#include "Jobs/ServiceConfiguration.h"
#include "Scheduling/AdviceQueue.h"
#include "Scheduling/CrashSuspicion.h"
#include "Scheduling/DispatcherOptions.h"
#include "Scheduling/FailureBlame.h"
#include "Scheduling/JobOrder.h"
#include "Scheduling/JobProgress.h"
#include "Scheduling/LocalityWait.h"
#include "Scheduling/OrganisationShares.h"
#include "Scheduling/Pacing.h"
#include "Scheduling/Placement.h"
#include "Scheduling/PlacementRecords.h"
#include "Scheduling/RackForecast.h"
#include "Scheduling/RateBuckets.h"
#include "Scheduling/ResponseDelay.h"
#include "Scheduling/RetryTime.h"
#include "Scheduling/RunTimes.h"
#include "Scheduling/StartWindow.h"
#include "Scheduling/WorkBudget.h"
#include "Scheduling/WorkerHealth.h"
#include "Workers/WorkerTable.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

/// The report that a worker sends periodically.
struct WorkerReport {
  WorkerEntry Entry;
  uint64_t Sequence = 0;
  int64_t ClockMs = 0;
};

/// Callbacks through which the leader's components reach consensus, the
/// leadership state, the clock and the event log.
struct LeaderHooks {
  /// Proposes a command to the consensus group; the callback receives true if
  /// it was committed.
  std::function<void(JobCommand, std::function<void(bool)>)> Propose;
  /// Returns true while this VM holds the leadership and may send orders.
  std::function<bool()> MayIssueOrders;
  /// Called when a worker or the platform has seen a higher fencing token.
  std::function<void()> OnDeposed;
  std::function<UnixMillis()> WallNow;
  /// Writes one event to the structured log.
  std::function<void(const char *Kind, Json Fields)> LogEvent;
};

/// The capacity that one pool needs now.
struct PoolDemand {
  /// Cores needed to finish jobs that can still meet their objective, and
  /// overdue jobs within DispatcherOptions::OverdueDrainTime.
  double BatchCores = 0;
  double LongRunningCores = 0; // For long-running tasks.
  /// Fewest VMs that satisfy the MaxPerWorker limits of the long-running steps.
  size_t MinVms = 0;
  bool Standby = false;
};

/// Schedules jobs onto workers while this VM is leader.
class Dispatcher {
public:
  Dispatcher(uint64_t Token, const JobStore &Store,
             const ServiceConfiguration &Configuration, WorkerPort &Port,
             TimerService &Timers, DispatcherOptions Options,
             LeaderHooks Hooks);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// Called once the store has applied the job's acceptance or cancellation.
  void onJobAccepted(const JobId &Job);
  void onJobCancelled(const JobId &Job);
  void onConfigurationChanged();
  void onEvacuationChanged();

  /// Called before a job is proposed. Returns false if its organisation has
  /// sent more jobs than its rate.
  bool takeRateToken(const AcceptJob &Job);
  /// Called before a job is proposed. If the job is admitted, its memory is
  /// reserved until it has ended or onJobNotAccepted() is called.
  Admission admitJob(const AcceptJob &Job);
  /// Called if an admitted job was not committed.
  void onJobNotAccepted(const JobId &Job);
  const WorkBudget &workBudget() const { return Budget; }
  const OrganisationShares &shares() const { return Shares; }
  /// Returns true if the order of jobs depends on shares.
  bool usesShares() const {
    return std::holds_alternative<SharedValue>(Options.JobOrderPolicy);
  }

  /// Processes a worker's report. \p Acknowledge is called once the report may
  /// be answered; its argument is false if the change was not committed.
  void handleReport(const WorkerReport &Report,
                    std::function<void(bool)> Acknowledge);
  /// Marks a worker that announced its shutdown as leaving. Does nothing if
  /// \p Incarnation, in Unix milliseconds, is known and is not the latest.
  void deregisterWorker(const std::string &Id,
                        std::optional<int64_t> Incarnation);

  /// Polls due workers and schedules pools that changed. Called at the end of
  /// each turn of the event loop; does nothing while orders may not be issued.
  void processDueWork();

  /// Returns the state that callers see, for a job that the store holds. A
  /// queued job counts as running as soon as a worker is known to have begun a
  /// task.
  JobState jobState(const JobRecord &Record) const;
  /// Returns the number of the queue's jobs of which no worker was known to
  /// have begun a task at the last tick. Jobs of earlier leaders count until
  /// their workers have been read.
  size_t pendingJobCount(const std::string &Queue) const;
  /// Returns these numbers for all queues. Queues without such jobs may be
  /// missing.
  const std::map<std::string, uint64_t> &pendingJobsByQueue() const {
    return PendingJobs;
  }

  /// Sets whether new tasks are kept off the VM's workers, also off those that
  /// register later, before maintenance or a move.
  void setCordoned(const std::string &Vm, bool On);
  /// Stops each long-running task on the VM that its step can do without for
  /// now. Returns true once its workers are idle, as by isKnownIdle().
  bool drainVm(const std::string &Vm);
  /// Returns true if nothing can be running on the worker, including runs that
  /// an earlier leader started, and the results of all that ended are
  /// committed.
  bool isKnownIdle(const TrackedWorker &Worker) const;
  /// Returns when the VM's worker started, in Unix milliseconds, or zero if the
  /// VM has no known worker.
  int64_t workerStartTime(const std::string &Vm) const;
  /// Returns the incarnations that are known on the VM.
  std::set<WorkerKey> workersOn(const std::string &Vm) const;
  /// Removes workers that a platform order has ended, with everything on them.
  void onWorkersTerminated(const std::set<WorkerKey> &Ended);

  /// Computes the capacity that the pool's jobs would use now if nothing held
  /// them up.
  PoolDemand computeDemand(const std::string &Pool) const;

  bool isEvacuated(const std::string &DataCentre) const {
    return Store.isEvacuated(DataCentre);
  }
  const WorkerTable &workers() const { return Table; }
  uint64_t token() const { return Token; }
  const DispatcherCounters &counters() const { return Counters; }
  size_t activeJobCount() const { return Jobs.size(); }
  /// Returns how late responses of workers were handled lately.
  Duration responseDelay() const { return Delay.mean(Timers.now()); }
  /// Returns true while tasks that have room wait for this leader's processor,
  /// so that new jobs would only make all of them late.
  bool isOverloaded() const { return Starts.isOverloaded(Timers.now()); }
  size_t startWindow() const { return Starts.size(); }
  /// Returns after what time a job may be sent again that is rejected since the
  /// leader is overloaded.
  Duration retryTime(const JobId &Job) const {
    return Retries.estimate(Timers.now(), WaitingStarts, Job);
  }
  /// Returns how many starts wait until their workers are recorded.
  size_t unrecordedStarts() const { return Records.waitingStarts(); }
  /// Returns how many jobs waited at the last tick for workers on which an
  /// earlier leader may have started them.
  size_t unlocatedJobs() const { return UnlocatedJobs; }
  /// Returns how many workers are ejected or on probation, by pool.
  std::map<std::string, size_t> distrustedWorkers() const {
    return Health.countDistrusted();
  }
  const AdviceQueue &advice() const { return Advice; }
  const RunTimes &runTimes() const { return LearnedRunTimes; }
  /// Returns the number of steps and tasks that wait for capacity near their
  /// data.
  size_t localityWaitCount() const { return LocalityWaits.size(); }
  /// Returns the time since the oldest lease of a reachable worker with runs
  /// was renewed.
  Duration oldestRenewalAge() const;

private:
  struct Flush {
    std::map<WorkerKey, uint64_t> ProcessedEnds;
  };

  // Jobs of earlier leaders.
  /// Returns true once all runs in the pool that an earlier leader may have
  /// started are known or their leases have expired.
  bool isReconciled(const std::string &Pool) const;
  /// Returns true if an earlier leader may have started tasks of the job that
  /// are not known: on recorded workers, or on any in the pools that the job's
  /// queue may have had.
  bool mayHaveUnlocatedRuns(const JobProgress &Job) const;
  void reportUnlocatedJobs();

  void loadStore();
  /// Returns until when an earlier leader's orders may keep runs alive on the
  /// worker, to which this leader has sent none.
  Instant earlierLeasesEnd(const TrackedWorker &Worker) const;
  void addJob(const JobRecord &Record, bool IsInherited);
  /// Returns how much memory the job counts for, in bytes.
  int64_t estimateBytes(const AcceptJob &Job) const;
  /// Opens the occurrences of a recurring job that have become due, and drops
  /// those that have ended.
  void updateOccurrences(JobProgress &Job);
  /// Opens the task's occurrence, since a worker has told of a run of it.
  void openOccurrence(const TaskId &Task);

  // Shares and rates of organisations.
  void loadShares();
  /// Updates usage and shares, if the order of jobs depends on them, from the
  /// jobs that countShareOfJob() has counted.
  void updateShares();
  void countShareOfJob(const JobProgress &Job, UnixMillis Now);
  /// Records the usage for a later leader, from time to time while jobs wait.
  void proposeUsage();

  bool mayIssueOrders() const {
    return Hooks.MayIssueOrders() && !HasBeenDeposed;
  }
  void onTick();
  void countPendingJobs();

  /// Returns true if, by a recent response, the task does its full work.
  bool isServing(const StepProgress &Step, const TaskId &Task) const;
  /// Returns how many other tasks of the step are not serving.
  uint32_t countUnavailableSiblings(const StepProgress &Step,
                                    const TaskId &Task) const;
  /// Returns true if the task's step can do without it now.
  bool mayDrain(const TaskId &Task) const;
  /// Returns true if the leader is so far behind that it would not start
  /// elsewhere soon what it stops.
  bool isTooBusyToDrain() const {
    return responseDelay() > Options.Starts.TargetDelay;
  }
  /// Stops long-running tasks in evacuated data centres for which there is
  /// capacity elsewhere.
  void drainEvacuatedDataCentres();
  void drainEvacuatedPool(const std::string &Pool);
  /// Keeps capacity in the pass for long-running tasks that wait or stop.
  void reserveForWaitingTasks(const std::string &Pool, PlacementPass &Pass);
  bool mayLeaveEvacuated(const TaskId &Task, const Run &CurrentRun) const;

  // Polling of workers.
  void pollDueWorkers();
  void pollWorker(TrackedWorker &Worker);
  bool isLate() const { return responseDelay() > Options.MaxResponseDelay; }
  /// Renews leases that the polls leave too old, while responses are late.
  void renewAgingLeases();
  bool mayRenew(const TrackedWorker &Worker) const;
  void renewLease(TrackedWorker &Worker);
  void schedulePollAfter(TrackedWorker &Worker, Duration Pause);
  Duration pollInterval() const;
  void onPollResponse(const WorkerKey &Key, Instant SentAt, Duration MaxWait,
                      const PollResponse &Response);
  void markSynced(TrackedWorker &Worker);
  void updateRun(TrackedWorker &Worker, const RunningTask &Reported);
  void adoptRun(TrackedWorker &Worker, const RunningTask &Reported);
  /// Notes that a worker has begun the task.
  void markStarted(const TaskId &Task);
  /// Returns true if a run of a task that matters may be on a worker without
  /// being listed in \p Response.
  bool mayHideRuns(const PollResponse &Response);
  /// Returns true if a run that \p Response does not list is there no more and
  /// cannot start.
  bool hasVanished(const TaskId &Task, const Run &Unlisted,
                   const PollResponse &Response, Instant SentAt) const;
  /// Removes the runs that have vanished and stops those in doubt.
  void removeVanishedRuns(TrackedWorker &Worker, const PollResponse &Response,
                          Instant SentAt);
  void handleRunEnd(TrackedWorker &Worker, const FinishedRun &End);
  /// Removes the run that has ended from the table and returns it; nothing if
  /// the end is that of another attempt or of an unknown run.
  std::optional<Run> takeEndedRun(TrackedWorker &Worker,
                                  const FinishedRun &End);
  /// Logs and counts the end. \p Ended is the run, if it was known.
  void reportRunEnd(const TrackedWorker &Worker, const FinishedRun &End,
                    const std::optional<Run> &Ended);
  void handleSuccess(const TrackedWorker &Worker, JobProgress &Job,
                     const FinishedRun &End, const std::optional<Run> &Ended);
  void handleFailure(const TrackedWorker &Worker, JobProgress &Job,
                     const FinishedRun &End);
  void handleLongRunningEnd(const TrackedWorker &Worker, JobProgress &Job,
                            const FinishedRun &End,
                            const std::optional<Run> &Ended);
  /// Logs each run on a worker that fell silent or is given up.
  void reportLostRuns(const TrackedWorker &Worker, const char *Why);
  void reportUnrenewedRun(const TrackedWorker &Worker, const FinishedRun &End);
  /// \p WasSudden is false if the worker did not answer in time.
  void handleFailedPoll(TrackedWorker &Worker, OrderOutcome Outcome,
                        bool WasSudden);
  void onFenced(const WorkerKey &Key);

  // Processes of workers.
  /// Asks the worker, which answers its polls, whether the report of a next
  /// process of it is true.
  void confirmReport(TrackedWorker &Worker, const WorkerReport &Report,
                     std::function<void(bool)> Acknowledge);
  /// Asks whether the worker still answers at its address, beside its polls.
  void probeAddress(TrackedWorker &Worker);
  void onProbeResponse(const WorkerKey &Key, const PollResponse &Response);
  void expireLease(TrackedWorker &Worker);
  /// \p HasCrashed is false if the worker's end was ordered, or is not known.
  void removeWorker(const WorkerKey &Key, const char *Reason, bool HasCrashed);
  /// Removes the worker and its runs from the table alone.
  void dropWorker(TrackedWorker &Worker, const char *Reason, bool HasCrashed);
  /// Replaces a worker that has restarted by its next process \p Next, and
  /// returns that. Starts that the ended process never listed may have been
  /// carried out by the next one; they are looked for there.
  TrackedWorker &replaceRestarted(TrackedWorker &Ended, const WorkerEntry &Next,
                                  const char *Reason);
  /// Books a start that the worker may have carried out.
  void expectRun(TrackedWorker &Worker, const TaskId &Task, const Run &Ordered);
  /// Called when a response shows that incarnation \p Incarnation has replaced
  /// the worker.
  void onRestarted(TrackedWorker &Worker, int64_t Incarnation);
  /// Returns true if the worker may have runs of an earlier leader that are not
  /// known.
  bool isUnread(const WorkerKey &Key) const;
  bool hasUnreadWorkers() const;
  /// Called once no run of an earlier leader can be on the worker without being
  /// known, and so none on the processes before it.
  void markRead(const WorkerKey &Key);

  // Runs that are lost with their workers.
  /// Returns the task of a job that still wants it to run, or null.
  TaskProgress *findWantedTask(const TaskId &Task);
  void onWorkerSilent(TrackedWorker &Worker, bool WasSudden);
  /// Records the loss of each run on the worker, as suspected.
  void recordLosses(TrackedWorker &Worker, bool WasSudden);
  /// Returns true if only the task, or its gang, can have crashed the worker.
  bool isAloneOn(const TrackedWorker &Worker, const TaskId &Task) const;
  /// Makes the suspected losses with the worker certain, or removes them.
  void resolveLosses(const WorkerKey &Key, bool HasCrashed);
  /// Returns true if the crash that took the run has likely another cause.
  bool isUnrelated(TaskProgress &TaskState, const TaskId &Task,
                   const RunLoss &Loss);
  /// Releases the tasks whose first loss came with the silence of many workers,
  /// this one the last.
  void releaseByCommonSilence(const WorkerKey &Last);
  /// Returns true if so many other workers, without tasks of the job, fell
  /// silent within \p Window of this one.
  bool hasCommonCause(const WorkerKey &Key, const JobId &Job,
                      size_t OtherWorkers, Duration Window) const;
  /// Removes the loss of a run that never began, or that was not lost.
  void removeLoss(const TaskId &Task, uint32_t Attempt);
  void onLossesChanged(const TaskId &Task);
  /// Ends the job whose task crashes its workers.
  void failForCrashes(JobProgress &Job, const TaskId &Task);
  /// Restores what an earlier leader knew.
  void loadLosses(JobProgress &Job);
  /// Returns true if what is known of the losses' workers changed them.
  bool restoreLosses(const TaskId &Task, std::vector<RunLoss> &Losses);
  /// Returns true if the losses of all tasks of the step are committed, which
  /// it sees to otherwise. \p Step names any task of the step.
  bool areLossesCommitted(const TaskId &Step);
  void proposeLosses();
  void onLossesProposed(const RecordLosses &Command, bool Committed);
  /// Ends a canary that has survived, and clears a long-running
  /// task that has survived for long.
  void checkSurvival(TrackedWorker &Worker, const TaskId &Task,
                     Run &CurrentRun);
  /// Called when the worker has answered an order that was sent at \p At.
  void onAlive(TrackedWorker &Worker, Instant At);
  /// Asks workers with canaries for a sign of life. Their polls may
  /// wait for long, in particular one from before the canary.
  void probeCanaries();
  void passCanary(TrackedWorker &Worker, const TaskId &Task, Run &CurrentRun);
  /// Returns true if one more worker of the pool may hold a canary.
  bool hasCanarySlot(const std::string &Pool) const;
  /// Keeps a worker free for a canary of the task, unless one is already.
  void reserveWorkerForCanary(const std::string &Pool,
                              const PlacementRequest &Request,
                              StepProgress &Step, PlacementPass &Pass);

  // Starting and stopping of runs.
  /// Returns how many more starts the window lets in, besides those that are
  /// booked.
  size_t startsLeft() const;
  /// Returns false while the job's record can probably not be committed.
  bool mayBookStarts(const JobProgress &Job) const;
  /// Books runs and orders them to start, now or once they are recorded. Starts
  /// nothing if not all can be started.
  void startRuns(JobProgress &Job, const StartGroup &Group, bool IsCanary);
  void bookRun(JobProgress &Job, const BookedStart &Start, bool IsCanary);
  /// Returns null if the start is no longer booked.
  Run *findBookedRun(const BookedStart &Start);
  void sendStart(const BookedStart &Start);
  void proposePlacements();
  void onPlacementsProposed(bool Committed);
  /// Returns true if what held when the start was booked holds now.
  bool isStillPossible(const BookedStart &Start);
  /// Removes the group's runs, none of which was ordered to start.
  void releaseBookings(const StartGroup &Group);
  /// Removes a run that was not ordered to start, and those that go with it.
  void withdrawStart(TrackedWorker &Worker, const TaskId &Task);
  void withdrawStarts(TrackedWorker &Worker);
  void onStartResponse(const WorkerKey &Key, const TaskId &Task,
                       uint32_t Attempt, Instant SentAt,
                       const OrderResponse &Response);
  void stopRun(TrackedWorker &Worker, const TaskId &Task);
  void sendStop(TrackedWorker &Worker, const TaskId &Task);
  void removeRun(TrackedWorker &Worker, const TaskId &Task);
  void eraseRun(TrackedWorker &Worker, const TaskId &Task);
  void stopAllRuns(JobProgress &Job);
  void stopStalledRuns(TrackedWorker &Worker);
  // Whom failures are held against.
  static FailureEvidence evidenceAgainst(const StepProgress &Step,
                                         const TaskProgress &TaskState);
  /// Records a failed or stalled run, and holds it against the worker unless
  /// the step is suspect.
  void recordRunFailure(const TrackedWorker &Worker, JobProgress &Job,
                        const TaskId &Task);
  /// Clears the step, the task and the worker of earlier failures.
  void recordRunSuccess(const TrackedWorker &Worker, JobProgress &Job,
                        const TaskId &Task);
  /// Records that a long-running task has failed \p Age after its start, and
  /// when it may be started again.
  void recordLongRunningFailure(const TrackedWorker &Worker, JobProgress &Job,
                                const TaskId &Task, Duration Age);
  /// Records that a long-running task does well, once for each run.
  void recordIfLasting(const TrackedWorker &Worker, const TaskId &Task,
                       Run &CurrentRun);
  void reportEjection(const TrackedWorker &Worker, const char *Reason);
  void adjustPaces(TrackedWorker &Worker);

  // Results and job completion.
  void queueResult(const RunResult &End);
  void proposeResults();
  void endJob(JobProgress &Job);
  void removeJobIfFinished(const JobId &Job);

  // Scheduling.
  /// Schedules the pools that changed, unless the last pass was too recent; the
  /// event loop is woken for the next one then.
  void scheduleDirtyPools();
  /// Schedules the pools until the start window is used up, beginning behind
  /// the pool at which the last pass ended so.
  void schedulePools(const std::set<std::string> &Pools);
  void schedulePool(const std::string &Pool);
  /// Returns the organisation's CPU in use, in thousandths of a core, over its
  /// weight.
  double organisationLoad(const std::string &Organisation) const;
  std::vector<JobRank> rankJobs(const std::string &Pool,
                                std::vector<JobProgress *> &List) const;
  /// Returns true if the step has tasks that may be placed now.
  bool isSchedulable(const JobProgress &Job, uint32_t Occurrence, uint32_t Step,
                     UnixMillis Now) const;
  bool hasSchedulableStep(const JobProgress &Job, UnixMillis Now) const;
  void scheduleJob(JobProgress &Job, PlacementPass &Pass);
  void scheduleStep(JobProgress &Job, uint32_t Occurrence, uint32_t Step,
                    PlacementPass &Pass);
  void scheduleGang(JobProgress &Job, uint32_t Occurrence, uint32_t Step,
                    PlacementPass &Pass);
  /// Returns true while the job's caller may still wait for it.
  bool isStillAwaited(const JobProgress &Job) const;
  /// Returns true while an overdue job still counts in its pool's demand.
  bool isOverdueDemandCounted(const JobProgress &Job) const;
  /// Returns true if, for each step, some worker of the pool could hold one of
  /// its tasks if the worker were empty.
  bool fitsSomeWorker(const JobProgress &Job) const;
  /// Returns true if none of the workers that may run the task is reachable.
  bool areAllWorkersUnreachable(const TaskProgress &TaskState) const;
  bool isWithinQuota(const JobProgress &Job, const Resources &Extra) const;

  // Run times, and waiting for capacity near the data.
  /// Learns from a run that succeeded.
  void learnRunTime(const JobProgress &Job, const StepSpec &Spec,
                    const TrackedWorker &Worker, const Run &Ended);
  /// Proposes what was learned, if it is time and something was.
  void proposeRunTimes();
  /// Returns true if the decision to wait may concern the task.
  bool mayWaitForLocality(const JobProgress &Job, const StepSpec &Spec,
                          const TaskProgress &TaskState, bool IsCanary) const;
  bool isWaitingForLocality(const TaskProgress &TaskState) const;
  /// Decides for a task that could run far from its data, and those of its step
  /// that come after it, or for a gang that could run spread over racks.
  /// Returns true if they wait from now on. \p Task names the first member of a
  /// gang.
  bool startLocalityWait(JobProgress &Job, const TaskId &Task,
                         PlacementPass &Pass);
  /// Returns true if some run of the step is far from the step's data.
  bool runsFarFromData(const StepSpec &Spec, const StepProgress &Step) const;
  /// Ends the wait of the task, if it waits. \p Outcome is for the log.
  void endLocalityWait(const TaskId &Task, const char *Outcome);
  /// Ends waits of jobs that have ended.
  void removeStaleLocalityWaits();
  /// Ends the waits for racks of the pool that take no tasks any more.
  void endHopelessLocalityWaits(const std::string &Pool, PlacementPass &Pass);
  void endLocalityWaitsFor(const std::string &Pool, const std::string &Rack,
                           const char *Outcome);
  /// Returns the part of the recent waits for the rack that got capacity there.
  double waitSuccessRate(const std::string &Rack) const;
  void recordWaitOutcome(const std::string &Rack, bool HasPaidOff);
  /// A run as its rack's forecast sees it.
  struct ForecastRun {
    const RunTimeDistribution *Kind;
    Resources Held;
    double UnitMs; // Its estimate, there.
    double AgeMs;
    double ReportedMs; // Whole run time by its progress; zero if unknown.
  };
  /// The forecast of one rack in this pass.
  struct PassForecast {
    RackForecast Rack;
    double Slowness = 1; // How many times as long runs take in it.
  };
  PassForecast &forecastRack(const std::string &Pool, const std::string &Rack,
                             PlacementPass &Pass);
  std::vector<ForecastRun> findForecastRuns(const TrackedWorker &Worker) const;
  double rackSlowness(const std::string &Rack,
                      const std::vector<std::vector<ForecastRun>> &Runs) const;
  /// Counts a run that begins in the forecasts of this pass.
  void updateForecast(const JobProgress &Job, const StepSpec &Spec,
                      const TrackedWorker &Worker, bool IsRemote);
  /// Returns the run time of a task near its data, unless the rack is slow.
  TimeEstimate localRunTime(const JobProgress &Job, const StepSpec &Spec) const;
  // Tickets of the advice service.
  /// Queues a call about the step, which has no place with the tickets that it
  /// has.
  void requestAdvice(JobProgress &Job, uint32_t Occurrence, uint32_t Step,
                     const std::vector<Candidate> &Candidates);
  void sendAdviceCall();
  void onAdvice(const AdviceCall &Call, const AdviceResponse &Response);
  /// Returns the resources that each organisation may be using for inherited
  /// runs that have not been located yet.
  std::map<std::string, Resources> computeUnlocatedUsage() const;
  size_t poolSize(const std::string &Pool) const;
  double estimateFactor(const JobProgress &Job) const;
  void markPoolDirty(const std::string &Pool) { DirtyPools.insert(Pool); }

  const uint64_t Token;
  const JobStore &Store;
  const ServiceConfiguration &Configuration;
  WorkerPort &Port;
  TimerService &Timers;
  const DispatcherOptions Options;
  const LeaderHooks Hooks;
  const uint32_t FirstAttempt;
  const Instant StartedAt;

  WorkerTable Table;
  std::set<std::string> CordonedVms;
  struct PendingReport {
    WorkerReport Report;
    std::function<void(bool)> Acknowledge;
  };
  /// Reports of next processes, by the process that has been asked.
  std::map<WorkerKey, std::vector<PendingReport>> ReportsToConfirm;
  ResponseDelay Delay;
  Instant RenewalsCheckedAt;
  StartWindow Starts;
  RetryTime Retries;
  size_t WaitingStarts = 0; // Of short jobs, as of the last tick.
  PlacementRecords Records;
  Instant RecordsRetriedAt; // No start that needs a record is booked before.
  size_t UnlocatedJobs = 0;
  /// The pool whose pass the start window ended. The next pass begins behind
  /// it, so that no pool is always served last.
  std::string LastCutShortPool;
  WorkerHealth Health;
  AdviceQueue Advice;
  // Jobs that have not ended, and ended jobs some of whose runs may not have
  // ended.
  std::map<JobId, std::unique_ptr<JobProgress>> Jobs;
  std::set<std::string> DirtyPools;
  Instant LastPassAt;
  bool IsPassScheduled = false; // A timer wakes the loop for the next pass.
  /// Jobs not started, by queue, as of the last tick.
  std::map<std::string, uint64_t> PendingJobs;
  /// By organisation, as of this turn.
  std::map<std::string, Resources> UnlocatedUsage;
  // Workers, by pool, that may have runs of an earlier leader; those that have
  // restarted stay until their next process was read.
  std::map<std::string, std::set<WorkerKey>> UnsyncedWorkers;
  /// Tasks with suspected losses, by the worker whose fate is open.
  std::map<WorkerKey, std::set<TaskId>> OpenLosses;
  /// A worker that fell silent with runs of these jobs.
  struct Silence {
    Instant At;
    WorkerKey Worker;
    std::set<JobId> Jobs;
  };
  std::deque<Silence> Silences;      // The last ones, in order of time.
  std::set<WorkerKey> CanaryWorkers; // May hold canaries.
  /// Tasks whose losses must be committed.
  std::set<TaskId> LossesToPropose;
  std::vector<RunResult> PendingResults;
  bool ProposalInFlight = false;
  TimerId FlushTimer = 0;
  TimerId TickTimer = 0;
  WorkBudget Budget;
  OrganisationShares Shares;
  RateBuckets Rates;
  Instant UsageProposedAt;
  bool IsUsageInFlight = false;
  RunTimes LearnedRunTimes;
  uint64_t ProposedRunTimes = 0; // Version that was proposed last.
  Instant RunTimesProposedAt;
  /// A task, or a gang, that waits for capacity near its data.
  struct LocalityWait {
    std::string Pool;
    std::string Rack;
    StepSpec Spec;
    size_t Count = 1;
    TimeEstimate LocalMs;
    Instant Since;
    Instant Until;
  };
  std::map<TaskId, LocalityWait> LocalityWaits;
  struct WaitSuccess {
    double Rate = 1; // Moving mean, as of At.
    Instant At;
  };
  std::map<std::string, WaitSuccess> WaitSuccesses; // By rack.
  /// Forecasts of the racks of the pool that is being scheduled.
  std::map<std::string, PassForecast> Forecasts;
  double MeanJobCoreMs = 0; // Moving mean over accepted jobs.
  DispatcherCounters Counters;
  bool HasBeenDeposed = false;
  // Set to false on destruction. Callbacks that may outlive this object hold a
  // copy and check it.
  std::shared_ptr<bool> AliveFlag;
};

} // namespace mimosashunt

#endif
