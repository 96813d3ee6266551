// The leader's table of workers: which are reachable, what each runs, how many
// resources are free, and until when an unreachable worker may still run its
// tasks.

#ifndef MIMOSASHUNT_WORKERS_WORKERTABLE_H
#define MIMOSASHUNT_WORKERS_WORKERTABLE_H

#include "Core/Time.h"
#include "Workers/WorkerPort.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mimosashunt {

enum class RunState : uint8_t {
  Booked,      // The start order has not been sent.
  Starting,    // The start order is in flight.
  Unconfirmed, // The start order was not answered; it may be carried out later.
  Running,
  Stopping, // A stop was ordered.
};

/// What a run has from its step, its organisation and its worker. Each attempt
/// of its task on the worker has the same.
struct RunProperties {
  /// Reserved on the worker until the run is known to have ended.
  Resources ReservedResources;
  Resources QuotaUsage; // Counted against the organisation's quota.
  std::string Organisation;
  bool UsesSpareCpu = false;
  bool LongRunning = false;
  int64_t TailTargetMs = 0; // Zero if there is none.
  /// Its worker is far from its data, or from other members of its gang.
  bool IsRemote = false;

  /// Returns those of a run of the step on the worker \p On. IsRemote is set by
  /// the place of its data alone.
  static RunProperties of(const StepSpec &Spec, const std::string &Organisation,
                          const WorkerEntry &On);
};

/// A run on a worker, as far as the leader knows.
struct Run : RunProperties {
  Run() = default;
  explicit Run(RunProperties Properties)
      : RunProperties(std::move(Properties)) {}

  const RunProperties &properties() const { return *this; }

  uint32_t Attempt = 0;
  RunState State = RunState::Starting;
  /// When the start was booked, ordered or went unanswered, or the run was
  /// adopted.
  Instant OrderedAt;
  /// When the start was acknowledged; valid in state Running.
  Instant StartAckedAt;
  /// When the worker first listed it as running; zero before.
  Instant ListedAt;
  /// When a stop of this attempt was acknowledged; the worker cannot start the
  /// attempt after that.
  std::optional<Instant> StopAckedAt;
  bool StopInFlight = false;
  /// It is stopped only so that its unanswered start is not carried out later.
  bool IsStoppedInDoubt = false;
  std::string Checkpoint;
  int32_t ProgressPercent = -1;
  Instant ProgressChangedAt; // When ProgressPercent last changed.
  int64_t Gauge = 0;
  uint32_t PacePercent = 100;
  Instant PaceChangedAt; // When PacePercent last changed.
  /// An earlier leader started it, at a time that is not known.
  bool IsAdopted = false;
  /// It is long-running and has been found to do well.
  bool HasLasted = false;
  /// The worker takes no other task meanwhile. Changed only by WorkerTable.
  bool IsCanary = false;
};

/// A lower bound of the worker's clock at some time.
struct ClockSample {
  Instant At;
  int64_t ClockMs = 0;
};

/// One incarnation of a worker as the leader knows it.
struct TrackedWorker {
  WorkerEntry Entry;
  /// The worker's incarnation is committed in the replicated state, so a later
  /// leader knows it.
  bool IsCommitted = false;
  /// The incarnations before this one, as far back as the last one that is
  /// committed: until this one is, a later leader finds it through that one.
  std::vector<WorkerKey> Predecessors;
  /// Its lists of runs were read under this leader's fencing token.
  bool IsSynced = false;
  bool IsReachable = false;
  /// The worker gets no new tasks, since maintenance or a move is about to
  /// begin.
  bool IsCordoned = false;
  /// Until then it gets no tasks but a canary.
  Instant ReservedUntil;
  std::optional<ClockSample> Clock;
  /// All runs on the worker end by then unless a later poll renews their lease;
  /// covers every order ever sent to it.
  Instant LeaseEnd;
  Instant LastResponseAt;
  /// When the last order was sent that the worker has answered.
  Instant AliveAt;
  Instant LastReportAt;
  uint64_t LastReportSequence = 0;
  Resources UsedResources;     // Sum of ReservedResources over Runs.
  size_t LongRunningCount = 0; // Number of long-running tasks among Runs.
  size_t CanaryCount = 0;      // Number of canaries among Runs.
  std::map<TaskId, Run> Runs;
  uint64_t ProcessedEnds = 0; // Ended runs up to this number were processed.
  /// Results of ended runs up to this number are committed.
  uint64_t CommittedEnds = 0;
  bool PollInFlight = false;
  /// A poll that only asks who answers; the worker gets no tasks meanwhile.
  bool ProbeInFlight = false;
  Instant NextPollAt; // Changed only by WorkerTable::schedulePoll().
  /// When the last order that renews the lease was issued, also to a process
  /// before this one.
  Instant RenewedAt;
  int FailedPolls = 0;

  const WorkerKey &key() const { return Entry.Key; }
  /// Returns true if \p Earlier is a process of this worker that has ended.
  bool hasReplaced(const WorkerKey &Earlier) const;
  Resources freeResources() const;
  /// Returns true if some run was ordered to start.
  bool hasOrderedRuns() const;
  /// Returns true if a start was ordered of which neither its answer nor a list
  /// has told whether it was carried out.
  bool hasStartInDoubt() const;
  /// Returns for how long the run has been there for certain: a lower bound.
  Duration survivedTime(const Run &CurrentRun) const;
};

struct LeaseOptions {
  /// Renewed with each poll. It must be longer than a change of leader takes,
  /// and no longer than needed, since the tasks of a lost worker wait for its
  /// end.
  Duration LeaseDuration = milliseconds(2600);
  /// How much slower a worker's clock may run, in percent.
  int MaxClockDriftPercent = 2;
  /// Added to the computed end of a lease for rounding and for the time that
  /// stopping takes.
  Duration ExpiryMargin = milliseconds(150);
  /// The longest lease that a worker accepts; a longer one is shortened to it.
  Duration MaxAcceptedLease = seconds(6);
  /// An order that was not carried out after this time never is, unless it has
  /// reached its worker.
  Duration MaxOrderTransit = milliseconds(1400);
};

class WorkerTable {
public:
  explicit WorkerTable(LeaseOptions Options) : Options(Options) {}

  TrackedWorker *find(const WorkerKey &Key);
  const TrackedWorker *find(const WorkerKey &Key) const;
  /// Returns the newest incarnation of the worker \p Id, or null.
  TrackedWorker *findLatest(const std::string &Id);
  TrackedWorker *findByAddress(const std::string &Address);
  TrackedWorker &add(const WorkerEntry &Entry, Instant Now);
  /// Replaces the entry of the same incarnation.
  void update(TrackedWorker &Worker, const WorkerEntry &Entry);
  void erase(const WorkerKey &Key);
  /// Returns the pool's workers, ordered by key.
  const std::map<WorkerKey, TrackedWorker *> &
  workersInPool(const std::string &Pool) const;
  std::map<WorkerKey, TrackedWorker> &all() { return Workers; }
  const std::map<WorkerKey, TrackedWorker> &all() const { return Workers; }

  Run &addRun(TrackedWorker &Worker, const TaskId &Task, Run NewRun);
  void removeRun(TrackedWorker &Worker, const TaskId &Task);
  void endCanary(TrackedWorker &Worker, Run &CurrentRun);

  /// Sets when the worker is polled next; replaces an earlier time.
  void schedulePoll(TrackedWorker &Worker, Instant At);
  /// Removes and returns the workers whose poll is due. Each call of
  /// schedulePoll() makes a worker due once.
  std::vector<TrackedWorker *> takeDueWorkers(Instant Now);

  /// Records that the worker's clock read \p ClockMs at some time between
  /// \p EarliestRead and \p Now. Extends LeaseEnd if the clock is behind the
  /// one that the leases were granted by.
  void recordClock(TrackedWorker &Worker, Instant EarliestRead, Instant Now,
                   int64_t ClockMs);
  /// Returns a lower bound of the worker's clock, or nothing if no sample
  /// exists.
  std::optional<int64_t> estimateClockMs(const TrackedWorker &Worker,
                                         Instant Now) const;
  /// Returns the end of a lease that begins now, by the worker's clock, and
  /// extends LeaseEnd to cover it. Returns nothing if the worker's clock is
  /// unknown.
  std::optional<int64_t> grantLease(TrackedWorker &Worker, Instant Now);
  /// Returns an upper bound of the time until every lease granted so far has
  /// ended, including those of earlier leaders.
  Duration maxLeaseDuration() const;
  /// Returns when the leases end that the worker's next process may have from
  /// orders for \p Ended. They are instants of another clock, so only the
  /// worker's own limit bounds them.
  Instant inheritedLeaseEnd(const TrackedWorker &Ended) const;

  /// Returns the resources that \p Organisation uses on all workers.
  Resources resourcesUsedBy(const std::string &Organisation) const;
  /// Returns what the organisation's runs that are not long-running reserve.
  Resources shortRunsReservedBy(const std::string &Organisation) const;

private:
  const LeaseOptions Options;
  std::map<WorkerKey, TrackedWorker> Workers;
  // Points into Workers, by the pool in the worker's entry.
  std::map<std::string, std::map<WorkerKey, TrackedWorker *>> WorkersByPool;
  // Workers with a scheduled poll, ordered by NextPollAt.
  std::set<std::pair<Instant, WorkerKey>> ScheduledPolls;
  std::map<std::string, Resources> UsageByOrganisation;
  std::map<std::string, Resources> ShortRunsByOrganisation;
};

} // namespace mimosashunt

#endif
