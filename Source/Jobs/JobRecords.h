// The records that make up the replicated state of the job path.

#ifndef MIMOSASHUNT_JOBS_JOBRECORDS_H
#define MIMOSASHUNT_JOBS_JOBRECORDS_H

#include "Jobs/JobCommands.h"
#include "Jobs/TaskRecords.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

/// Replicated state of one job.
struct JobRecord {
  AcceptJob Job; // Without its payload once it has ended.
  JobState State = JobState::Queued;
  /// Cleared when the job has ended.
  TaskRecords Tasks;
  /// Tasks that are not done and were lost with workers. Cleared when the job
  /// has ended.
  std::vector<TaskLosses> Losses;
  /// Registered workers on which tasks of the job may have been started, if
  /// Job.RecordsPlacements. Cleared when the job has ended.
  std::set<WorkerKey> Placements;
  /// The version that was in force when the job was accepted; zero in snapshots
  /// of earlier versions.
  uint64_t ConfigurationVersion = 0;
  /// The first time in the log after the job had ended; zero until there is
  /// one.
  LogMillis EndedAt = 0;
  bool operator==(const JobRecord &) const = default;

  bool hasEnded() const {
    return State == JobState::Completed || State == JobState::Failed ||
           State == JobState::Cancelled;
  }
};

/// Replicated state of one maintenance wave.
struct WaveRecord {
  StartWave Plan;
  std::set<std::string> FinishedVms;
  /// VMs whose maintenance some leader may have ordered. Empty in snapshots of
  /// earlier versions.
  std::set<std::string> OrderedVms;
  bool operator==(const WaveRecord &) const = default;

  bool isCompleted() const { return FinishedVms.size() >= Plan.Vms.size(); }

  static void describe(auto &Self, auto Field) {
    Field("plan", Self.Plan);
    Field("finished", Self.FinishedVms);
    Field.list("ordered", Self.OrderedVms);
  }
};

/// The whole replicated state.
struct JobStoreState {
  std::map<JobId, JobRecord> Jobs;
  uint64_t ConfigurationVersion = 0; // Never decreases.
  std::string ConfigurationText;
  std::map<WorkerKey, WorkerEntry> Workers;
  std::map<uint64_t, WaveRecord> Waves;
  /// The last order for each data centre that was ever evacuated.
  std::map<std::string, SetEvacuation> Evacuations;
  RecordUsage Usage;
  RecordRunTimes RunTimes;
  Tombstones CancelledIds;
  uint64_t Leaderships = 0;
};

} // namespace mimosashunt

#endif
