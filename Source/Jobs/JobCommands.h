// Commands of the replicated state of the job path.

#ifndef MIMOSASHUNT_JOBS_JOBCOMMANDS_H
#define MIMOSASHUNT_JOBS_JOBCOMMANDS_H

#include "Jobs/JobTypes.h"

#include <algorithm>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

/// Identity of one life of a worker. The same id with another birth is another
/// worker that knows nothing of the first.
struct WorkerKey {
  std::string Id;
  int64_t Incarnation = 0; // Unix milliseconds of its start.
  auto operator<=>(const WorkerKey &) const = default; // NOLINT

  static void describe(auto &Self, auto Field) {
    Field("id", Self.Id);
    Field("born", Self.Born);
  }
};

/// What the group remembers of a worker, so that a new leader knows everybody
/// who may run something.
struct WorkerEntry {
  WorkerKey Key;
  std::string Address;
  std::string Pool;
  std::string Vm; // Empty until the worker or the platform named it.
  std::string DataCentre;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool Leaving = false;
  bool operator==(const WorkerEntry &) const = default;

  /// The rack among the labels; the other labels tell the kind.
  std::string rack() const { return Labels.size() > 1 ? Labels[1] : ""; }
  /// True if the worker has the label, or none is asked for.
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
    Field("room", Self.Room);
    Field("leaving", Self.Leaving);
  }
};

struct AcceptJob {
  static constexpr const char *Kind = "accept";
  JobId Job;
  std::string Queue;
  std::string Organisation;
  uint32_t MaxAttempts = 1;
  UnixMillis AcceptedAt = 0;
  JobSpec Spec;
  bool operator==(const AcceptJob &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("job", Self.Job);
    Field("queue", Self.Queue);
    Field("org", Self.Organisation);
    Field("tries", Self.MaxAttempts);
    Field("at", Self.At);
    Field("spec", Self.Spec);
  }
};

struct CancelJob {
  static constexpr const char *Kind = "cancel";
  JobId Job;
  bool operator==(const CancelJob &) const = default;

  static void describe(auto &Self, auto Field) { Field("job", Self.Job); }
};

/// The end of one run that counts: done, or failed by the task's or the
/// worker's own fault.
struct RunResult {
  TaskId Task;
  uint32_t Attempt = 0;
  bool Succeeded = false;
  bool operator==(const RunResult &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("task", Self.Task);
    Field("try", Self.Attempt);
    Field("done", Self.Done);
  }
};

struct RecordRunResults {
  static constexpr const char *Kind = "ends";
  std::vector<RunResult> Results;
  bool operator==(const RecordRunResults &) const = default;

  static void describe(auto &Self, auto Field) { Field("ends", Self.Ends); }
};

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

/// Adds workers or replaces what is known of them.
struct UpdateWorkers {
  static constexpr const char *Kind = "workers";
  std::vector<WorkerEntry> Workers;
  /// Lives that have ended: nothing of theirs runs any more.
  std::vector<WorkerKey> Removed;
  bool operator==(const UpdateWorkers &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("workers", Self.Workers);
    Field("gone", Self.Gone);
  }
};

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
    Field("at", Self.At);
  }
};

/// Maintenance of these VMs has ended, or they have left for good.
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

/// The first entry of each leader: counts leaderships.
struct BeginLeadership {
  static constexpr const char *Kind = "lead";
  std::string Vm;
  bool operator==(const BeginLeadership &) const = default;

  static void describe(auto &Self, auto Field) { Field("vm", Self.Vm); }
};

using JobCommand =
    std::variant<AcceptJob, CancelJob, RecordRunResults, PutConfiguration,
                 UpdateWorkers, StartWave, FinishMaintenance, BeginLeadership>;

std::string encodeJobCommand(const JobCommand &Command);
/// Returns false for bytes that are no command.
bool decodeJobCommand(const std::string &Bytes, JobCommand &Result);

/// Bytes of a described value, for messages between the system's processes.
template <class T> std::string toCbor(const T &Value) {
  std::vector<uint8_t> Bytes = Json::to_cbor(Json(Value));
  return {Bytes.begin(), Bytes.end()};
}

/// Reverses toCbor(); returns false for bytes that hold no such value.
template <class T> bool fromCbor(const std::string &Bytes, T &Result) {
  Json In = Json::from_cbor(Bytes, true, /*allow_exceptions=*/false);
  if (In.is_discarded())
    return false;
  try {
    Result = In.template get<T>();
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace mimosashunt

#endif
