// The settings of the leader's scheduler, and what it counts.

#ifndef MIMOSASHUNT_SCHEDULING_DISPATCHEROPTIONS_H
#define MIMOSASHUNT_SCHEDULING_DISPATCHEROPTIONS_H

#include "Scheduling/AdviceQueue.h"
#include "Scheduling/CrashSuspicion.h"
#include "Scheduling/FailureBlame.h"
#include "Scheduling/JobOrder.h"
#include "Scheduling/Pacing.h"
#include "Scheduling/RetryTime.h"
#include "Scheduling/StartWindow.h"
#include "Scheduling/WorkerHealth.h"
#include "Workers/WorkerTable.h"

#include <cstdint>

namespace mimosashunt {

/// Timeouts and policies of the scheduler.
struct DispatcherOptions {
  LeaseOptions Lease;
  HealthOptions Health;
  SuspicionOptions Suspicion;
  PacingOptions Pacing;
  RestartOptions Restarts;
  AdviceOptions Advice;
  OrderPolicy JobOrderPolicy = ValuePerWork{};
  /// How long a worker may hold a poll open, waiting for a run to end, while it
  /// runs something.
  Duration BusyPollTimeout = milliseconds(600);
  Duration IdlePollTimeout = milliseconds(2000);
  /// Time between polls of an unreachable worker.
  Duration UnreachablePollInterval = milliseconds(200);
  /// Time between two polls of a worker, so that one response carries several
  /// ended runs: this much for each worker of the fleet, within the bounds
  /// below. The number of poll responses per second therefore does not grow
  /// with the fleet.
  Duration PollIntervalPerWorker = Duration(400);
  Duration MinPollInterval = milliseconds(10);
  Duration MaxPollInterval = milliseconds(40);
  /// Time between two polls of a worker while the leader is overloaded.
  Duration OverloadPollInterval = milliseconds(400);
  /// Time between two scheduling passes, so that what several batches of
  /// responses change is handled in one: this much for each worker of the
  /// fleet.
  Duration PassIntervalPerWorker = Duration(20);
  /// While responses are handled later than this, leases are renewed apart from
  /// the polls. A poll and the next one take 0.7 s at most without delay; with
  /// this one they use up half of a lease.
  Duration MaxResponseDelay = milliseconds(300);
  /// While responses are late, leases are renewed when they are this old.
  Duration RenewalInterval = milliseconds(600);
  Duration RenewalCheckInterval = milliseconds(100);
  StartWindowOptions Starts;
  RetryTimeOptions Retries;
  /// A task counts as serving by responses that are no older: two polls of a
  /// busy worker.
  Duration MaxViewAge = milliseconds(1300);
  /// A task without progress for this long is restarted on another worker.
  Duration StallTimeout = milliseconds(1800);
  Duration StopRetryInterval = milliseconds(250);
  /// A run that only a row names which cannot be read counts as gone this long
  /// after its stop was acknowledged. Longer than a stop takes.
  Duration UnreadableRowTimeout = seconds(1);
  /// Cores are requested such that overdue jobs end within this time. Callers
  /// wait up to three objectives, the shortest of which is about 1 s.
  Duration OverdueDrainTime = milliseconds(2500);
  /// A worker that neither answers polls nor sends reports for this long is
  /// removed.
  Duration WorkerRemovalTimeout = seconds(12);
  /// Whether a new leader relies on JobRecord::Placements. Starts of jobs with
  /// AcceptJob::RecordsPlacements are recorded in any case.
  bool RecordsPlacements = false;
  /// Pause after a RecordPlacements that was not committed before starts that
  /// need a record are booked again.
  Duration RecordRetryInterval = milliseconds(100);
  /// `job_unlocated` is logged for jobs that still wait this long after the
  /// leadership began; workers that answer have been read by then.
  Duration UnlocatedReportDelay = milliseconds(500);
  /// Let tasks wait for capacity near their data while that pays.
  bool WaitsForLocality = false;
  /// How many times as long a task runs far from its data.
  double RemoteFactor = 1;
  /// Time between two proposals of what was learned of run times.
  Duration RunTimesInterval = seconds(5);
  /// Memory for jobs that have not ended, in bytes.
  int64_t WorkBytes = int64_t(64) << 20;
  /// Size of the range of attempt numbers that each leader uses for a task. The
  /// ranges ascend with the fencing token, so a new leader's attempts are
  /// higher than all earlier ones.
  uint32_t AttemptsPerLeadership = 100;
};

/// Totals since this leader began.
struct DispatcherCounters {
  uint64_t StartOrders = 0;
  uint64_t RejectedStarts = 0;
  uint64_t UnansweredStarts = 0;
  uint64_t Polls = 0;
  uint64_t SchedulingPasses = 0;
  uint64_t StopOrders = 0;
  uint64_t CompletedRuns = 0;
  uint64_t FailedRuns = 0;
  uint64_t OtherEndedRuns = 0;
  uint64_t StalledRuns = 0;
  uint64_t ExpiredRuns = 0;
  /// Runs given up with their worker for any reason.
  uint64_t LostRuns = 0;
  uint64_t CrashedWorkers = 0; // Workers that crashed with runs on them.
  uint64_t Canaries = 0;       // Starts of suspects on workers of their own.
  uint64_t PassedCanaries = 0;
  uint64_t ClearedTasks = 0; // Long-running tasks that survived for long.
  uint64_t JobsFailedForCrashes = 0;
  /// Runs whose lease ran out on a worker that answered this leader's polls.
  uint64_t UnrenewedRuns = 0;
  /// Renewals apart from polls.
  uint64_t Renewals = 0;
  uint64_t RecordedPlacements = 0; // Pairs of job and worker.
  /// Starts that were booked and never ordered.
  uint64_t WithdrawnStarts = 0;
  /// Waits for capacity near a task's data, the ones of them that got it, and
  /// the time that all of them took.
  uint64_t LocalityWaits = 0;
  uint64_t LocalityWaitsPaidOff = 0;
  uint64_t LocalityWaitedMs = 0;
  /// Answers of the advice service whose tickets run out before a start.
  uint64_t UselessTickets = 0;
};

} // namespace mimosashunt

#endif
