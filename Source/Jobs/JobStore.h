// The replicated state of the job path: accepted jobs and what is known of
// their tasks' ends, the configuration in force, the workers that may run
// something, and maintenance waves. The same on each control VM.

#ifndef MIMOSASHUNT_JOBS_JOBSTORE_H
#define MIMOSASHUNT_JOBS_JOBSTORE_H

#include "Jobs/JobCommands.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

/// What is agreed about one task.
struct TaskRecord {
  bool Done = false;
  /// Attempts that ended failed; each counts once however often it is told.
  std::vector<uint32_t> FailedAttempts;
  bool operator==(const TaskRecord &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("done", Self.Done);
    Field("failed", Self.FailedAttempts);
  }
};

struct JobRecord {
  AcceptJob Job;
  JobState State = JobState::Queued;
  /// By occurrence, step and index. Emptied when the job has ended.
  std::vector<std::vector<std::vector<TaskRecord>>> Tasks;
  /// Tasks that are not done; zero exactly for completed jobs.
  uint64_t UnfinishedTasks = 0;
  bool operator==(const JobRecord &) const = default;

  bool hasEnded() const {
    return State == JobState::Completed || State == JobState::Failed ||
           State == JobState::Cancelled;
  }

  static void describe(auto &Self, auto Field) {
    Field("job", Self.Job);
    Field("state", Self.State);
    Field("tasks", Self.Tasks);
    Field("open", Self.Open);
  }
};

struct WaveRecord {
  StartWave Plan;
  std::set<std::string> FinishedVms;
  bool operator==(const WaveRecord &) const = default;

  bool isCompleted() const { return FinishedVms.size() >= Plan.Vms.size(); }

  static void describe(auto &Self, auto Field) {
    Field("plan", Self.Plan);
    Field("finished", Self.Finished);
  }
};

class JobStore {
public:
  /// Applies one command; returns false if it changed nothing.
  bool apply(const JobCommand &Command);

  std::string snapshot() const;
  void restore(const std::string &Bytes);

  const JobRecord *findJob(const JobId &Job) const;
  const std::map<JobId, JobRecord> &jobs() const { return Jobs; }
  uint64_t configurationVersion() const { return Version; }
  const std::string &configurationText() const { return Text; }
  const std::map<WorkerKey, WorkerEntry> &workers() const { return Workers; }
  const std::map<uint64_t, WaveRecord> &waves() const { return Waves; }
  /// Leaderships so far; each leader's own is its fencing token.
  uint64_t leaderships() const { return Leaderships; }

  /// Runs of \p Task, or of its gang, that ended failed.
  size_t failureCount(const JobRecord &Record, const TaskId &Task) const;

private:
  bool on(const AcceptJob &Command);
  bool on(const CancelJob &Command);
  bool on(const RecordRunResults &Command);
  bool on(const PutConfiguration &Command);
  bool on(const UpdateWorkers &Command);
  bool on(const StartWave &Command);
  bool on(const FinishMaintenance &Command);
  bool on(const BeginLeadership &Command);
  bool noteEnd(const RunResult &End);

  std::map<JobId, JobRecord> Jobs;
  uint64_t Version = 0; // Never decreases.
  std::string Text;
  std::map<WorkerKey, WorkerEntry> Workers;
  std::map<uint64_t, WaveRecord> Waves;
  uint64_t Leaderships = 0;
};

} // namespace mimosashunt

#endif
