// The replicated state of the job path: accepted jobs and the results of their
// tasks, the active configuration, the registered workers, and maintenance
// waves. It is the same on each control VM.

#ifndef MIMOSASHUNT_JOBS_JOBSTORE_H
#define MIMOSASHUNT_JOBS_JOBSTORE_H

#include "Jobs/JobRecords.h"

#include <map>
#include <string>

namespace mimosashunt {

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
  const std::map<JobId, JobRecord> &jobs() const { return State.Jobs; }
  uint64_t configurationVersion() const { return State.ConfigurationVersion; }
  const std::string &configurationText() const {
    return State.ConfigurationText;
  }
  const std::map<WorkerKey, WorkerEntry> &workers() const {
    return State.Workers;
  }
  const std::map<uint64_t, WaveRecord> &waves() const { return State.Waves; }
  /// The last order for each data centre that was ever evacuated.
  const std::map<std::string, SetEvacuation> &evacuations() const {
    return State.Evacuations;
  }
  bool isEvacuated(const std::string &DataCentre) const;
  const RecordUsage &usage() const { return State.Usage; }
  const RecordRunTimes &runTimes() const { return State.RunTimes; }
  const Tombstones &tombstones() const { return State.CancelledIds; }
  /// The latest time that a command has told.
  LogMillis logTime() const { return State.CancelledIds.now(); }
  /// Number of leaderships so far; each leader uses the count at its start as
  /// its fencing token.
  uint64_t leaderships() const { return State.Leaderships; }

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
  bool applyCommand(const NoteMaintenanceOrder &Command);
  bool applyCommand(const BeginLeadership &Command);
  bool applyCommand(const RecordLosses &Command);
  bool applyCommand(const RecordPlacements &Command);
  bool applyCommand(const SetEvacuation &Command);
  bool applyCommand(const RecordUsage &Command);
  bool applyCommand(const RecordRunTimes &Command);
  bool applyCommand(const RecordTombstone &Command);
  bool applyCommand(const ForgetEnded &Command);
  bool recordRunResult(const RunResult &Result);
  static void endJob(JobRecord &Record, JobState EndState);
  static bool isDone(const JobRecord &Record, const TaskId &Task);
  bool recordTaskLosses(const TaskLosses &Recorded);
  /// Returns the job of the task, or null if the job has ended or has no such
  /// task.
  JobRecord *findUnfinishedJob(const TaskId &Task);

  JobStoreState State;
};

} // namespace mimosashunt

#endif
