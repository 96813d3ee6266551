// The part of the scheduler daemon that fills its metrics.

#include "Fleet/SchedulerDaemon.h"

#include <algorithm>

namespace mimosashunt {

size_t SchedulerDaemon::countSilentVoters() const {
  const Raft &Log = Group->log();
  if (Log.role() != RaftRole::Leader)
    return 0;
  Instant HeardSince = Loop.timers().now() - seconds(1);
  const std::vector<Member> &Voters = Log.membership().Voters;
  return std::count_if(Voters.begin(), Voters.end(), [&](const Member &Voter) {
    return Voter.Disk != Log.self() &&
           Log.lastReplyTime(Voter.Disk).value_or(Instant()) < HeardSince;
  });
}

std::string SchedulerDaemon::metricsText() {
  Connections.update();
  Registry.gauge("mimosashunt_leads", "1 while this VM leads").Set(isLeader());
  Registry.gauge("mimosashunt_term", "Term of the log")
      .Set(static_cast<double>(Group->log().term()));
  Registry.gauge("mimosashunt_applied_index", "Log index that is applied")
      .Set(static_cast<double>(Group->appliedIndex()));
  Registry.gauge("mimosashunt_voters", "Voters of the group")
      .Set(static_cast<double>(Group->membership().Voters.size()));
  Registry.gauge("mimosashunt_learners", "Learners of the group")
      .Set(static_cast<double>(Group->membership().Learners.size()));
  Registry
      .gauge("mimosashunt_silent_voters",
             "Voters that have not replied to this leader for a second")
      .Set(static_cast<double>(countSilentVoters()));
  Registry
      .gauge("mimosashunt_configuration_version", "Version that is in force")
      .Set(static_cast<double>(State.configurationVersion()));
  Registry
      .gauge("mimosashunt_log_lines_left_out", "Log lines that were left out")
      .Set(static_cast<double>(Events.droppedLines()));
  Registry
      .gauge("mimosashunt_batches_refused",
             "Batches of orders that were not carried")
      .Set(static_cast<double>(Carrier.refusedBatches()));
  for (const auto &[Source, Tally] : Ports.Rejected.all())
    Registry
        .gauge("mimosashunt_input_rejected",
               "Values from outside that could not be read",
               {{"source", nameOf(Source)}})
        .Set(static_cast<double>(Tally.Count));
  const auto &Evacuations = State.evacuations();
  auto Evacuated =
      std::count_if(Evacuations.begin(), Evacuations.end(),
                    [](const auto &Item) { return Item.second.Active; });
  Registry
      .gauge("mimosashunt_data_centres_evacuated",
             "Data centres in which nothing is started")
      .Set(static_cast<double>(Evacuated));
  constexpr double MicrosPerSecond = 1e6;
  Registry
      .gauge("mimosashunt_loop_lateness_seconds",
             "Longest lateness of a due timer in the last second")
      .Set(static_cast<double>(LastLoad.LongestLateness.count()) /
           MicrosPerSecond);
  if (Scheduler)
    updateSchedulerMetrics();
  return Registry.text();
}

void SchedulerDaemon::updateShareMetrics() {
  for (const OrganisationShare &Organisation : Scheduler->shares().all()) {
    auto SetGauge = [&](const char *Name, const char *Help, double Value) {
      Registry.gauge(Name, Help, {{"organisation", Organisation.Name}})
          .Set(Value);
    };
    SetGauge("mimosashunt_organisation_usage_over_share",
             "Recent usage in proportion to what the organisation may use; 0 "
             "without work",
             Organisation.UsageOverShare);
    SetGauge("mimosashunt_organisation_jobs_waiting",
             "Short jobs with tasks that wait for capacity",
             static_cast<double>(Organisation.WaitingJobs));
    SetGauge("mimosashunt_organisation_jobs_beyond_rate",
             "Short jobs that the organisation sent beyond its rate",
             static_cast<double>(Organisation.JobsBeyondRate));
  }
}

void SchedulerDaemon::updateMemoryMetrics() {
  const WorkBudget &Budget = Scheduler->workBudget();
  Registry
      .gauge("mimosashunt_work_memory_limit_bytes",
             "Memory for jobs that have not ended")
      .Set(static_cast<double>(Budget.bytes()));
  Registry
      .gauge("mimosashunt_work_memory_used_bytes",
             "Memory that jobs that have not ended take at most")
      .Set(static_cast<double>(Budget.usedBytes()));
  for (const auto &[Organisation, Bytes] : Budget.usedByOrganisation())
    Registry
        .gauge("mimosashunt_organisation_work_memory_bytes",
               "Memory that the organisation's jobs that have not ended take "
               "at most",
               {{"organisation", Organisation}})
        .Set(static_cast<double>(Bytes));
}

void SchedulerDaemon::updateSchedulerMetrics() {
  const DispatcherCounters &Counters = Scheduler->counters();
  auto SetGauge = [this](const char *Name, const char *Help, uint64_t Value) {
    Registry.gauge(Name, Help).Set(static_cast<double>(Value));
  };
  // The counters start at zero with each leadership; a scraper sums them over
  // fencing tokens.
  SetGauge("mimosashunt_fencing_token", "Token of this leadership",
           Scheduler->token());
  SetGauge("mimosashunt_starts", "Starts that were ordered",
           Counters.StartOrders);
  SetGauge("mimosashunt_starts_refused", "Starts that were not taken",
           Counters.RejectedStarts);
  SetGauge("mimosashunt_starts_lost", "Starts without an answer",
           Counters.UnansweredStarts);
  SetGauge("mimosashunt_scheduling_passes", "Passes over the waiting tasks",
           Counters.SchedulingPasses);
  SetGauge("mimosashunt_looks", "Looks at workers", Counters.Polls);
  SetGauge("mimosashunt_stops", "Stops that were ordered", Counters.StopOrders);
  SetGauge("mimosashunt_ends_done", "Runs that ended done",
           Counters.CompletedRuns);
  SetGauge("mimosashunt_ends_failed", "Runs that ended failed",
           Counters.FailedRuns);
  SetGauge("mimosashunt_ends_other", "Runs that ended otherwise",
           Counters.OtherEndedRuns);
  SetGauge("mimosashunt_standstills", "Runs without progress",
           Counters.StalledRuns);
  SetGauge("mimosashunt_runs_lapsed", "Runs given up with their worker's lease",
           Counters.ExpiredRuns);
  SetGauge("mimosashunt_runs_lost", "Runs given up with their worker",
           Counters.LostRuns);
  SetGauge("mimosashunt_workers_crashed",
           "Workers that crashed with runs on them", Counters.CrashedWorkers);
  SetGauge("mimosashunt_canaries", "Suspects started on workers of their own",
           Counters.Canaries);
  SetGauge("mimosashunt_canaries_passed", "Canaries that their worker survived",
           Counters.PassedCanaries);
  SetGauge("mimosashunt_tasks_cleared",
           "Long-running tasks whose losses were forgotten",
           Counters.ClearedTasks);
  SetGauge("mimosashunt_jobs_failed_for_crashes",
           "Jobs given up since a task crashes its workers",
           Counters.JobsFailedForCrashes);
  SetGauge("mimosashunt_runs_not_renewed",
           "Runs whose lease ran out on a worker in touch",
           Counters.UnrenewedRuns);
  SetGauge("mimosashunt_oldest_renewal_milliseconds",
           "Time since the oldest lease of a busy worker was renewed",
           static_cast<uint64_t>(toMillis(Scheduler->oldestRenewalAge())));
  SetGauge("mimosashunt_renewals", "Leases renewed apart from polls",
           Counters.Renewals);
  SetGauge("mimosashunt_locality_waits",
           "Waits for capacity near a task's data", Counters.LocalityWaits);
  SetGauge("mimosashunt_locality_waits_paid_off",
           "Waits after which the task started near its data",
           Counters.LocalityWaitsPaidOff);
  SetGauge("mimosashunt_locality_waited_milliseconds",
           "Time that all waits for capacity near the data took",
           Counters.LocalityWaitedMs);
  SetGauge("mimosashunt_locality_waiting",
           "Tasks and gangs that wait for capacity near their data",
           Scheduler->localityWaitCount());
  SetGauge("mimosashunt_advice_waiting",
           "Steps that wait for a call to the advice service",
           Scheduler->advice().waitingSteps());
  SetGauge("mimosashunt_advice_calls", "Calls to the advice service",
           Scheduler->advice().calls());
  SetGauge("mimosashunt_advice_unanswered",
           "Calls to the advice service without a usable answer",
           Scheduler->advice().unansweredCalls());
  SetGauge("mimosashunt_advice_useless",
           "Answers of the advice service whose tickets run out before a start",
           Counters.UselessTickets);
  SetGauge("mimosashunt_run_time_kinds",
           "Kinds of task whose run times are known",
           Scheduler->runTimes().kindCount());
  SetGauge("mimosashunt_response_delay_milliseconds",
           "How late workers' responses are handled",
           static_cast<uint64_t>(toMillis(Scheduler->responseDelay())));
  SetGauge("mimosashunt_start_window", "Starts that may be unanswered at once",
           Scheduler->startWindow());
  SetGauge("mimosashunt_overloaded",
           "1 while new jobs are refused since the leader is behind",
           Scheduler->isOverloaded() ? 1 : 0);
  SetGauge("mimosashunt_placements_recorded",
           "Pairs of job and worker that were committed",
           Counters.RecordedPlacements);
  SetGauge("mimosashunt_starts_unrecorded",
           "Starts that wait until their worker is on the job's record",
           Scheduler->unrecordedStarts());
  SetGauge("mimosashunt_starts_withdrawn",
           "Starts that were booked and never ordered",
           Counters.WithdrawnStarts);
  SetGauge("mimosashunt_jobs_unlocated",
           "Jobs that wait for workers of an earlier leader",
           Scheduler->unlocatedJobs());
  SetGauge("mimosashunt_carriers", "Control VMs that carry orders",
           CarriedWorkers.usableCarriers());
  SetGauge("mimosashunt_orders_carried",
           "Orders that went through other control VMs",
           CarriedWorkers.carriedOrders());
  SetGauge("mimosashunt_jobs_live", "Jobs that have not ended",
           Scheduler->activeJobCount());
  SetGauge("mimosashunt_jobs_ended",
           "Jobs that are kept though they have ended", Intake->endedJobs());
  SetGauge("mimosashunt_cancelled_ids",
           "Ids that were cancelled before they were submitted",
           State.tombstones().size());
  SetGauge("mimosashunt_cancellations_refused",
           "Cancellations refused since too many such ids are kept",
           Intake->refusedCancellations());
  SetGauge("mimosashunt_vms_down", "VMs under maintenance",
           WaveMaintenance->downVmCount());
  SetGauge("mimosashunt_vms_moving", "VMs on their way to another pool",
           Mover->movesInFlight());
  std::map<std::string, size_t> Workers = {
      {"in_touch", 0}, {"silent", 0}, {"leaving", 0}};
  for (const auto &[Key, Worker] : Scheduler->workers().all())
    ++Workers[Worker.Entry.Leaving ? "leaving"
              : Worker.IsReachable ? "in_touch"
                                   : "silent"];
  for (const auto &[Condition, Count] : Workers)
    Registry
        .gauge("mimosashunt_workers", "Workers by condition",
               {{"condition", Condition}})
        .Set(static_cast<double>(Count));
  if (Scheduler->usesShares())
    updateShareMetrics();
  updateMemoryMetrics();
  for (const auto &[Pool, Count] : Scheduler->distrustedWorkers())
    Registry
        .gauge("mimosashunt_workers_distrusted",
               "Workers that are ejected or on probation after failures",
               {{"pool", Pool}})
        .Set(static_cast<double>(Count));
  for (const QueueConfiguration &Queue : Configuration.Queues)
    Registry
        .gauge("mimosashunt_jobs_waiting", "Jobs that have not begun",
               {{"queue", Queue.Name}})
        .Set(static_cast<double>(Scheduler->pendingJobCount(Queue.Name)));
}

} // namespace mimosashunt
