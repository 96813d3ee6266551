// The replicated state of the job path: accepted jobs and the results of their
// tasks, the active configuration, the registered workers, and maintenance
// waves. It is the same on each control VM.

#ifndef MIMOSASHUNT_JOBS_JOBSTORE_H
#define MIMOSASHUNT_JOBS_JOBSTORE_H

#include "Jobs/JobCommands.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

/// Replicated state of one task.
struct TaskRecord {
  bool Done = false;
  /// Attempts that failed; each is listed once however often it is reported.
  std::vector<uint32_t> FailedAttempts;
  bool operator==(const TaskRecord &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("done", Self.Done);
    Field("failed", Self.FailedAttempts);
  }
};

/// Replicated state of one job.
struct JobRecord {
  AcceptJob Job;
  JobState State = JobState::Queued;
  /// Indexed by occurrence, step and task index. Cleared when the job has
  /// ended.
  std::vector<std::vector<std::vector<TaskRecord>>> Tasks;
  /// Number of tasks not yet done, over all occurrences; zero exactly for
  /// completed jobs.
  uint64_t UnfinishedTasks = 0;
  /// Tasks that are not done and were lost with workers. Cleared when the job
  /// has ended.
  std::vector<TaskLosses> Losses;
  /// Registered workers on which tasks of the job may have been started, if
  /// Job.RecordsPlacements. Cleared when the job has ended.
  std::set<WorkerKey> Placements;
  /// The version that was in force when the job was accepted; zero in snapshots
  /// of earlier versions.
  uint64_t ConfigurationVersion = 0;
  bool operator==(const JobRecord &) const = default;

  bool hasEnded() const {
    return State == JobState::Completed || State == JobState::Failed ||
           State == JobState::Cancelled;
  }

  static void describe(auto &Self, auto Field) {
    Field("job", Self.Job);
    Field("state", Self.State);
    Field("tasks", Self.Tasks);
    Field("open", Self.UnfinishedTasks);
    Field.list("losses", Self.Losses);
    Field.list("placements", Self.Placements);
    Field.number("version", Self.ConfigurationVersion);
  }
};

/// Replicated state of one maintenance wave.
struct WaveRecord {
  StartWave Plan;
  std::set<std::string> FinishedVms;
  bool operator==(const WaveRecord &) const = default;

  bool isCompleted() const { return FinishedVms.size() >= Plan.Vms.size(); }

  static void describe(auto &Self, auto Field) {
    Field("plan", Self.Plan);
    Field("finished", Self.FinishedVms);
  }
};

/// The state machine of the job path; applies commands deterministically.
class JobStore {
public:
  /// Applies one command; returns false if it changed nothing.
  bool apply(const JobCommand &Command);

  /// Returns the whole state as CBOR.
  std::string snapshot() const;
  /// Replaces the state by a snapshot; empty bytes clear it. Returns false and
  /// changes nothing if the bytes hold no consistent state.
  bool restore(const std::string &Bytes);

  const JobRecord *findJob(const JobId &Job) const;
  const std::map<JobId, JobRecord> &jobs() const { return Jobs; }
  uint64_t configurationVersion() const { return ConfigurationVersion; }
  const std::string &configurationText() const { return ConfigurationText; }
  const std::map<WorkerKey, WorkerEntry> &workers() const { return Workers; }
  const std::map<uint64_t, WaveRecord> &waves() const { return Waves; }
  /// The last order for each data centre that was ever evacuated.
  const std::map<std::string, SetEvacuation> &evacuations() const {
    return Evacuations;
  }
  bool isEvacuated(const std::string &DataCentre) const;
  const RecordUsage &usage() const { return Usage; }
  const RecordRunTimes &runTimes() const { return RunTimes; }
  /// Number of leaderships so far; each leader uses the count at its start as
  /// its fencing token.
  uint64_t leaderships() const { return Leaderships; }

  /// Returns the number of failed attempts of \p Task, or of its whole gang.
  size_t failureCount(const JobRecord &Record, const TaskId &Task) const;

private:
  bool applyCommand(const AcceptJob &Command);
  bool applyCommand(const CancelJob &Command);
  bool applyCommand(const RecordRunResults &Command);
  bool applyCommand(const PutConfiguration &Command);
  bool applyCommand(const UpdateWorkers &Command);
  bool applyCommand(const StartWave &Command);
  bool applyCommand(const FinishMaintenance &Command);
  bool applyCommand(const BeginLeadership &Command);
  bool applyCommand(const RecordLosses &Command);
  bool applyCommand(const RecordPlacements &Command);
  bool applyCommand(const SetEvacuation &Command);
  bool applyCommand(const RecordUsage &Command);
  bool applyCommand(const RecordRunTimes &Command);
  bool recordRunResult(const RunResult &Result);
  static void endJob(JobRecord &Record, JobState State);
  bool recordTaskLosses(const TaskLosses &Recorded);
  /// Returns the job of the task, or null if the job has ended or has no such
  /// task.
  JobRecord *findUnfinishedJob(const TaskId &Task);

  std::map<JobId, JobRecord> Jobs;
  uint64_t ConfigurationVersion = 0; // Never decreases.
  std::string ConfigurationText;
  std::map<WorkerKey, WorkerEntry> Workers;
  std::map<uint64_t, WaveRecord> Waves;
  std::map<std::string, SetEvacuation> Evacuations;
  RecordUsage Usage;
  RecordRunTimes RunTimes;
  uint64_t Leaderships = 0;
};

} // namespace mimosashunt

#endif
