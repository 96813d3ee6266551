// The leader's book of the workers: who is in touch, what each runs, how much
// room is left, and until when an unreachable one may still be running what it
// was told to.

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
  Starting, // The order is under way.
  Unsure,   // The order was not answered; it may be carried out later.
  Running,
  Stopping, // A stop was ordered.
};

/// One run on a worker, as far as the leader knows.
struct Run {
  uint32_t Attempt = 0;
  RunState State = RunState::Starting;
  Resources Room;  // Booked on the worker until the run is known to have ended.
  Resources Quota; // Booked on the organisation.
  std::string Organisation;
  Instant Since;      // When it was ordered or adopted.
  Instant AnsweredAt; // When the start was answered; valid in Running.
  /// When a stop of this attempt was answered: nothing of it can begin there.
  std::optional<Instant> StopAnsweredAt;
  bool StopUnderWay = false;
  std::string Saved;
  int32_t Percent = -1;
  Instant PercentAt; // When Percent last changed.
  int64_t Gauge = 0;
  uint32_t Pace = 100; // Percent.
  Instant PacedAt;     // When Pace was last changed.
  bool Fills = false;
  bool LongRunning = false;
  int64_t TailTargetMs = 0;
};

/// The worker's clock when an answer came in.
struct ClockSample {
  Instant At;
  int64_t ClockMs = 0;
};

struct TrackedWorker {
  WorkerEntry Entry;
  /// The group has agreed that this life exists, so a later leader knows it.
  bool IsCommitted = false;
  /// Its lists were read under this leader's fencing token.
  bool IsSynced = false;
  bool IsReachable = false;
  /// Nothing new goes there: maintenance or a move is about to begin.
  bool IsCordoned = false;
  std::optional<ClockSample> Clock;
  /// Everything on the worker has lapsed by then unless a later answer says
  /// otherwise; covers each order that was ever sent.
  Instant LeaseEnds;
  Instant LastAnswer;
  Instant LastHeartbeat;
  uint64_t LastSequence = 0;
  Resources Used;      // Sum of Room over Runs.
  size_t LongRuns = 0; // Long-running ones among Runs.
  std::map<TaskId, Run> Runs;
  uint64_t Processed = 0; // Ends up to this number were taken in.
  uint64_t Noted = 0;     // Ends up to this number are agreed on.
  bool LookUnderWay = false;
  Instant LookAt; // Set through WorkerTable::lookAt() alone.
  Instant LookSentAt;
  int SilentLooks = 0;

  const WorkerKey &key() const { return Entry.Key; }
  Resources freeRoom() const;
  /// Estimate of the worker's clock, never behind by more than one way's delay.
  std::optional<int64_t> clockAt(Instant Now) const;
};

struct LeaseOptions {
  /// Renewed with each look; longer than a change of leader takes, and no
  /// longer, since a lost worker's tasks wait for its end.
  Duration LeaseDuration = milliseconds(2600);
  /// How much slower a worker's clock may run, in percent.
  int ClockSlowPercent = 2;
  /// Beyond the computed end of a lease: rounding and the stop itself.
  Duration Margin = milliseconds(150);
};

class WorkerTable {
public:
  explicit WorkerTable(LeaseOptions Options) : Options(Options) {}

  TrackedWorker *find(const WorkerKey &Key);
  const TrackedWorker *find(const WorkerKey &Key) const;
  /// The newest life under \p Id.
  TrackedWorker *latest(const std::string &Id);
  TrackedWorker *byAddress(const std::string &Address);
  TrackedWorker &add(const WorkerEntry &Entry, Instant Now);
  /// Replaces what is known of the same life.
  void update(TrackedWorker &Worker, const WorkerEntry &Entry);
  void erase(const WorkerKey &Key);
  /// The pool's workers, in order of their keys.
  const std::map<WorkerKey, TrackedWorker *> &
  workersInPool(const std::string &Pool) const;
  std::map<WorkerKey, TrackedWorker> &all() { return Workers; }
  const std::map<WorkerKey, TrackedWorker> &all() const { return Workers; }

  Run &book(TrackedWorker &Worker, const TaskId &Task, Run Booked);
  void release(TrackedWorker &Worker, const TaskId &Task);

  /// Sets when the worker is looked at next; replaces an earlier time.
  void lookAt(TrackedWorker &Worker, Instant At);
  /// Workers whose time has come; each is returned once for each lookAt().
  std::vector<TrackedWorker *> takeDue(Instant Now);

  void noteClock(TrackedWorker &Worker, Instant Now, int64_t ClockMs);
  /// End of a lease that begins now, on the worker's clock; widens LeaseEnds.
  std::optional<int64_t> grant(TrackedWorker &Worker, Instant Now);
  Duration longestLease() const;

  /// What \p Organisation has booked everywhere.
  Resources usedBy(const std::string &Organisation) const;

private:
  const LeaseOptions Options;
  std::map<WorkerKey, TrackedWorker> Workers;
  // The same workers by the pool in their entry.
  std::map<std::string, std::map<WorkerKey, TrackedWorker *>> ByPool;
  // Each worker that is to be looked at, by its LookAt.
  std::set<std::pair<Instant, WorkerKey>> DueLooks;
  std::map<std::string, Resources> ByOrganisation;
};

} // namespace mimosashunt

#endif
