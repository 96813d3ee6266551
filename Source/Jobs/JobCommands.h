// Commands of the replicated job state, their encoding, and CBOR helpers.

#ifndef MIMOSASHUNT_JOBS_JOBCOMMANDS_H
#define MIMOSASHUNT_JOBS_JOBCOMMANDS_H

#include "Codec/CborFields.h"
#include "Jobs/JobTypes.h"
#include "Jobs/RunLoss.h"
#include "Jobs/Tombstones.h"

#include <algorithm>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

/// Replicated registration of a worker. It lets a new leader know every worker
/// that may be running something.
struct WorkerEntry {
  WorkerKey Key;
  std::string Address;
  std::string Pool;
  std::string Vm; // Empty until the worker or the platform has reported it.
  std::string DataCentre;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool Leaving = false;
  /// When a leader learned that this process has replaced an earlier one of the
  /// worker, or that another has replaced it; zero if neither. In Unix
  /// milliseconds.
  UnixMillis ReplacedAt = 0;
  bool operator==(const WorkerEntry &) const = default;

  /// Returns the rack, which is the second label; empty if there is none. The
  /// first label is the kind of machine.
  std::string rack() const { return Labels.size() > 1 ? Labels[1] : ""; }
  /// Returns true if \p Label is empty or the worker has it.
  bool satisfiesLabel(const std::string &Label) const {
    return Label.empty() ||
           std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
  }

  static void describe(auto &Self, auto Field) {
    Field("key", Self.Key);
    Field("address", Self.Address);
    Field("pool", Self.Pool);
    Field("vm", Self.Vm);
    Field("dc", Self.DataCentre);
    Field("labels", Self.Labels);
    Field("room", Self.Capacity);
    Field("leaving", Self.Leaving);
    Field.number("replaced", Self.ReplacedAt);
  }
};

/// Accepts a job; has no effect if its id is known.
struct AcceptJob {
  static constexpr const char *Kind = "accept";
  JobId Job;
  std::string Queue;
  std::string Organisation;
  uint32_t MaxAttempts = 1;
  UnixMillis AcceptedAt = 0;
  JobSpec Spec;
  /// The organisation had sent more jobs than its rate when it sent this one.
  bool IsBeyondRate = false;
  /// RecordPlacements names each worker of the job before its first start
  /// there, so what it does not name has run nothing of the job.
  bool RecordsPlacements = false;
  bool operator==(const AcceptJob &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("job", Self.Job);
    Field("queue", Self.Queue);
    Field("org", Self.Organisation);
    Field("tries", Self.MaxAttempts);
    Field("at", Self.AcceptedAt);
    Field("spec", Self.Spec);
    Field.flag("beyond", Self.IsBeyondRate);
    Field.flag("placed", Self.RecordsPlacements);
  }
};

/// Cancels a job that has not ended.
struct CancelJob {
  static constexpr const char *Kind = "cancel";
  JobId Job;
  bool operator==(const CancelJob &) const = default;

  static void describe(auto &Self, auto Field) { Field("job", Self.Job); }
};

/// Keeps an id without a job from being accepted. Changes no job: the leader
/// proposes no acceptance of an id that it knows to have a tombstone, and
/// members of versions without tombstones skip this command, so that all
/// members have the same jobs.
struct RecordTombstone {
  static constexpr const char *Kind = "tombstone";
  LogMillis Now = 0;
  Tombstone Added;
  bool operator==(const RecordTombstone &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("now", Self.Now);
    Field("added", Self.Added);
  }
};

/// Ends the tombstones whose time has come and forgets jobs that have ended
/// long ago. Members of versions without this command keep them; that differs
/// for callers only if one of those leads and an id is used again.
struct ForgetEnded {
  static constexpr const char *Kind = "forget";
  LogMillis Now = 0;
  LogMillis EndedUntil = 0; // Jobs that ended by then are forgotten.
  bool operator==(const ForgetEnded &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("now", Self.Now);
    Field("until", Self.EndedUntil);
  }
};

/// The end of one run that counts towards the job: success, or failure through
/// the fault of the task or the worker.
struct RunResult {
  TaskId Task;
  uint32_t Attempt = 0;
  bool Succeeded = false;
  bool operator==(const RunResult &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("task", Self.Task);
    Field("try", Self.Attempt);
    Field("done", Self.Succeeded);
  }
};

struct RecordRunResults {
  static constexpr const char *Kind = "ends";
  std::vector<RunResult> Results;
  bool operator==(const RecordRunResults &) const = default;

  static void describe(auto &Self, auto Field) { Field("ends", Self.Results); }
};

/// Replaces what is recorded of the losses of tasks. A job one of whose tasks
/// crashes its workers, by this evidence, fails.
struct RecordLosses {
  static constexpr const char *Kind = "losses";
  std::vector<TaskLosses> Tasks; // Without losses if the task was cleared.
  bool operator==(const RecordLosses &) const = default;

  static void describe(auto &Self, auto Field) { Field("tasks", Self.Tasks); }
};

/// Activates a configuration if its version is higher than the present one.
struct PutConfiguration {
  static constexpr const char *Kind = "config";
  uint64_t Version = 0;
  std::string Text;
  bool operator==(const PutConfiguration &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("version", Self.Version);
    Field("text", Self.Text);
  }
};

/// Adds or updates workers, and removes ended ones.
struct UpdateWorkers {
  static constexpr const char *Kind = "workers";
  std::vector<WorkerEntry> Workers;
  /// Incarnations that have ended; none of their runs remains.
  std::vector<WorkerKey> Removed;
  bool operator==(const UpdateWorkers &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("workers", Self.Workers);
    Field("gone", Self.Removed);
  }
};

/// Starts a maintenance wave over the VMs; at most MaxDown are down at once.
struct StartWave {
  static constexpr const char *Kind = "wave";
  uint64_t Wave = 0;
  std::vector<std::string> Vms;
  int64_t DurationMs = 0;
  uint32_t MaxDown = 1;
  UnixMillis StartedAt = 0;
  bool operator==(const StartWave &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("wave", Self.Wave);
    Field("vms", Self.Vms);
    Field("duration", Self.DurationMs);
    Field("most", Self.MaxDown);
    Field("at", Self.StartedAt);
  }
};

/// Notes that a leader is about to order the maintenance of a VM, or that no
/// such order can be carried out any more. An order may be carried out long
/// after the leader that sent it has ended.
struct NoteMaintenanceOrder {
  static constexpr const char *Kind = "maintenance_order";
  uint64_t Wave = 0;
  std::string Vm;
  bool IsPending = false;
  bool operator==(const NoteMaintenanceOrder &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("wave", Self.Wave);
    Field("vm", Self.Vm);
    Field("pending", Self.IsPending);
  }
};

/// Marks VMs of a wave as finished: they were maintained or have left for good.
struct FinishMaintenance {
  static constexpr const char *Kind = "maintained";
  uint64_t Wave = 0;
  std::vector<std::string> Vms;
  bool operator==(const FinishMaintenance &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("wave", Self.Wave);
    Field("vms", Self.Vms);
  }
};

/// The first command of each leader. Counts leaderships, which yields the
/// fencing tokens.
struct BeginLeadership {
  static constexpr const char *Kind = "lead";
  std::string Vm;
  /// False for leaders of earlier versions, whose encoding lacks the field.
  /// They start tasks without records, so existing records become invalid.
  bool RecordsPlacements = true;
  bool operator==(const BeginLeadership &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("vm", Self.Vm);
    Field.flag("records", Self.RecordsPlacements);
  }
};

/// Workers on which tasks of a job may be started from now on.
struct JobPlacements {
  JobId Job;
  std::vector<WorkerKey> Workers;
  bool operator==(const JobPlacements &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("job", Self.Job);
    Field("workers", Self.Workers);
  }
};

/// Adds workers to what is recorded of jobs that have not ended.
struct RecordPlacements {
  static constexpr const char *Kind = "placements";
  std::vector<JobPlacements> Jobs;
  bool operator==(const RecordPlacements &) const = default;

  static void describe(auto &Self, auto Field) { Field("jobs", Self.Jobs); }
};

/// Evacuates a data centre, so that nothing starts there, or takes it back.
struct SetEvacuation {
  static constexpr const char *Kind = "evacuation";
  std::string DataCentre;
  bool Active = false;
  UnixMillis At = 0; // When the leader took the order.
  bool operator==(const SetEvacuation &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("dc", Self.DataCentre);
    Field("active", Self.Active);
    Field("at", Self.At);
  }
};

/// What an organisation has used lately.
struct OrganisationUsage {
  std::string Organisation;
  /// Seconds of the whole fleet's dominant resource, decayed, over the weight.
  double Usage = 0;
  bool operator==(const OrganisationUsage &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("org", Self.Organisation);
    Field("usage", Self.Usage);
  }
};

/// Replaces what is recorded of the organisations' recent usage.
struct RecordUsage {
  static constexpr const char *Kind = "usage";
  UnixMillis At = 0;
  std::vector<OrganisationUsage> Organisations;
  bool operator==(const RecordUsage &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("at", Self.At);
    Field("orgs", Self.Organisations);
  }
};

/// What was learned of the run times of one kind of task.
struct RunTimeSummary {
  std::string Queue;
  std::string Image;
  double Samples = 0; // Decayed number of runs.
  /// Actual over estimated run time at evenly spaced quantiles, ascending.
  std::vector<double> Quantiles;
  bool operator==(const RunTimeSummary &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("queue", Self.Queue);
    Field("image", Self.Image);
    Field("samples", Self.Samples);
    Field("quantiles", Self.Quantiles);
  }
};

/// Replaces what is recorded of run times.
struct RecordRunTimes {
  static constexpr const char *Kind = "run_times";
  std::vector<RunTimeSummary> Kinds;
  bool operator==(const RecordRunTimes &) const = default;

  static void describe(auto &Self, auto Field) { Field("kinds", Self.Kinds); }
};

using JobCommand =
    std::variant<AcceptJob, CancelJob, RecordRunResults, PutConfiguration,
                 UpdateWorkers, StartWave, FinishMaintenance, BeginLeadership,
                 RecordLosses, RecordPlacements, SetEvacuation, RecordUsage,
                 RecordRunTimes, RecordTombstone, ForgetEnded,
                 NoteMaintenanceOrder>;

std::string encodeJobCommand(const JobCommand &Command);
/// Returns false if \p Bytes is not an encoded command.
bool decodeJobCommand(const std::string &Bytes, JobCommand &Result);

/// Encodes a described value as CBOR, for messages between processes of the
/// system.
template <class T> std::string toCbor(const T &Value) {
  return fieldsToCbor(Value);
}

/// Decodes the output of toCbor(), also of earlier versions, which order the
/// fields by name. Returns false if \p Bytes does not hold a T.
template <class T> bool fromCbor(const std::string &Bytes, T &Result) {
  if (fieldsFromCbor(Bytes, Result))
    return true;
  try {
    Result = readCbor(Bytes).template get<T>();
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace mimosashunt

#endif
