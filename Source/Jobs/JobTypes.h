// Value types of the job path: jobs, their steps and tasks, and the requests of
// callers.

#ifndef MIMOSASHUNT_JOBS_JOBTYPES_H
#define MIMOSASHUNT_JOBS_JOBTYPES_H

#include "Core/JsonFields.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace mimosashunt {

using JobId = std::string;

/// Wall-clock milliseconds since 1970. The clock may jump, so only due times
/// and auditing use it.
using UnixMillis = int64_t;

/// Resources that a task needs or a worker offers.
struct Resources {
  int64_t Cpu = 0; // Millicores.
  int64_t MemoryMb = 0;
  int64_t Accelerators = 0;
  bool operator==(const Resources &) const = default;

  Resources &operator+=(const Resources &Other);
  Resources &operator-=(const Resources &Other);
  /// Returns true if \p Other fits into these resources in every dimension.
  bool canFit(const Resources &Other) const;

  static void describe(auto &Self, auto Field) {
    Field("cpu", Self.Cpu);
    Field("mem", Self.MemoryMb);
    Field("acc", Self.Accelerators);
  }
};

inline Resources operator*(const Resources &Value, int64_t Factor) {
  return {Value.Cpu * Factor, Value.MemoryMb * Factor,
          Value.Accelerators * Factor};
}

/// One step of a job: Count identical tasks.
struct StepSpec {
  uint32_t Count = 0;
  Resources TaskResources;
  int64_t EstimateMs = 0; // The caller's estimate of one task's run time.
  std::vector<uint32_t> DependsOn;
  bool Checkpointing = false;
  bool Gang = false;
  bool RackLocal = false;
  bool Speculative = false;
  bool LongRunning = false;
  /// The tasks run on processor time that other tasks leave unused and reserve
  /// none.
  bool UsesSpareCpu = false;
  std::string RequiredLabel;
  /// Rack that holds the data of the step; empty for none.
  std::string DataRack;
  /// Maximum number of tasks of the step on one worker; zero for no limit.
  uint32_t MaxPerWorker = 0;
  std::string Image;
  int64_t TailTargetMs = 0; // Target for tail latency; zero for none.
  /// Maximum number of tasks of a long-running step that the system may take
  /// down at once; zero for no limit.
  uint32_t MaxUnavailable = 0;
  bool operator==(const StepSpec &) const = default;

  /// Returns the resources that one task reserves on a worker.
  Resources reservedResources() const {
    return UsesSpareCpu ? Resources{0, TaskResources.MemoryMb,
                                    TaskResources.Accelerators}
                        : TaskResources;
  }

  static void describe(auto &Self, auto Field) {
    Field("n", Self.Count);
    Field("each", Self.TaskResources);
    Field("est", Self.EstimateMs);
    Field("after", Self.DependsOn);
    Field("ckpt", Self.Checkpointing);
    Field("gang", Self.Gang);
    Field("rack", Self.RackLocal);
    Field("spec", Self.Speculative);
    Field("long", Self.LongRunning);
    Field("fill", Self.UsesSpareCpu);
    Field("need", Self.RequiredLabel);
    Field("data", Self.DataRack);
    Field("most", Self.MaxPerWorker);
    Field("image", Self.Image);
    Field("tail", Self.TailTargetMs);
    Field("miss", Self.MaxUnavailable);
  }
};

/// How often the steps of a job run. A Count of zero means once, immediately.
struct RecurrenceSpec {
  uint32_t Count = 0;
  UnixMillis StartAt = 0;
  int64_t IntervalMs = 0;
  bool operator==(const RecurrenceSpec &) const = default;

  uint32_t occurrences() const { return Count == 0 ? 1 : Count; }
  UnixMillis dueAt(uint32_t Occurrence) const {
    return Count == 0 ? 0 : StartAt + IntervalMs * Occurrence;
  }

  static void describe(auto &Self, auto Field) {
    Field("n", Self.Count);
    Field("at", Self.StartAt);
    Field("every", Self.IntervalMs);
  }
};

/// A job as submitted.
struct JobSpec {
  std::string Payload; // Passed to workers unchanged.
  std::vector<StepSpec> Steps;
  RecurrenceSpec Recurrence;
  bool operator==(const JobSpec &) const = default;

  /// Returns the length of the critical path in milliseconds, by the estimates
  /// of the caller.
  int64_t criticalPathMs() const;
  /// Returns the core-milliseconds of one occurrence, by the estimates of the
  /// caller.
  int64_t totalCoreMs() const;
  bool isLongRunning() const;

  static void describe(auto &Self, auto Field) {
    Field("payload", Self.Payload);
    Field("steps", Self.Steps);
    Field("times", Self.Recurrence);
  }
};

/// Identifies one task of one occurrence.
struct TaskId {
  JobId Job;
  uint32_t Occurrence = 0;
  uint32_t Step = 0;
  uint32_t Index = 0;
  auto operator<=>(const TaskId &) const = default; // NOLINT

  /// Returns true if both are tasks of one step in one occurrence.
  bool isOfSameStep(const TaskId &Other) const {
    return Job == Other.Job && Occurrence == Other.Occurrence &&
           Step == Other.Step;
  }

  static void describe(auto &Self, auto Field) {
    Field("job", Self.Job);
    Field("k", Self.Occurrence);
    Field("step", Self.Step);
    Field("i", Self.Index);
  }
};

enum class JobState : uint8_t { Queued, Running, Completed, Failed, Cancelled };

enum class JobRequestKind : uint8_t { Submit, Status, Cancel };

/// A request of a caller about one job, validated by the entry VM.
struct JobRequest {
  JobRequestKind Kind = JobRequestKind::Status;
  std::string Queue;
  JobId Job;
  /// Organisation whose key authenticated the request; empty on public queues.
  std::string Organisation;
  /// Version of the configuration that the entry VM validated the request
  /// against.
  uint64_t Version = 0;
  JobSpec Spec; // Only for submissions.
  bool operator==(const JobRequest &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("kind", Self.Kind);
    Field("queue", Self.Queue);
    Field("job", Self.Job);
    Field("org", Self.Organisation);
    Field("version", Self.Version);
    if (Self.Kind == JobRequestKind::Submit)
      Field("spec", Self.Spec);
  }
};

enum class JobRequestOutcome : uint8_t {
  Done, // The job was accepted or cancelled, or its state is in the response.
  NoSuchJob, // No job has this id.
  NotRun,    // Refused; the job never runs because of this request.
  Uncertain, // The job may have been accepted; submitting the same id again
             // tells.
  NotLeader, // The caller should ask the control VM named in the response.
  TooLarge,  // Refused; the job would not fit at any other time either.
};

const char *nameOf(JobRequestKind Kind);
const char *nameOf(JobRequestOutcome Outcome);

struct JobResponse {
  JobRequestOutcome Outcome = JobRequestOutcome::Uncertain;
  JobState State = JobState::Queued;
  /// Milliseconds after which a refused caller may retry.
  int64_t RetryAfterMs = 0;
  std::string Leader;      // Address of the leader; empty if unknown.
  std::string Detail = {}; // Why a job is too large.
  bool operator==(const JobResponse &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("outcome", Self.Outcome);
    Field("state", Self.State);
    Field("retry", Self.RetryAfterMs);
    Field("leader", Self.Leader);
    Field.list("detail", Self.Detail);
  }
};

} // namespace mimosashunt

#endif
