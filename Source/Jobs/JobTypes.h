// Values of the job path: jobs, their steps and tasks, and what a caller asks.

#ifndef MIMOSASHUNT_JOBS_JOBTYPES_H
#define MIMOSASHUNT_JOBS_JOBTYPES_H

#include "Core/JsonFields.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace mimosashunt {

using JobId = std::string;

/// Milliseconds since 1970 on the time of day, which may jump; only due times
/// and audit use it.
using UnixMillis = int64_t;

/// What a task takes up, or a worker has.
struct Resources {
  int64_t Cpu = 0; // Thousandths of a core.
  int64_t MemoryMb = 0;
  int64_t Accelerators = 0;
  bool operator==(const Resources &) const = default;

  Resources &operator+=(const Resources &Other);
  Resources &operator-=(const Resources &Other);
  /// True if \p Part can be taken out of this.
  bool canFit(const Resources &Part) const;

  static void describe(auto &Self, auto Field) {
    Field("cpu", Self.Cpu);
    Field("mem", Self.MemoryMb);
    Field("acc", Self.Accelerators);
  }
};

inline Resources operator*(const Resources &One, int64_t Times) {
  return {One.Cpu * Times, One.MemoryMb * Times, One.Accelerators * Times};
}

/// One step of a job: Count tasks that are alike.
struct StepSpec {
  uint32_t Count = 0;
  Resources TaskResources;
  int64_t EstimateMs = 0; // The caller's guess of one task's time.
  std::vector<uint32_t> DependsOn;
  bool Checkpointing = false;
  bool Gang = false;
  bool RackLocal = false;
  bool Speculative = false;
  bool LongRunning = false;
  /// Its processor time is what other tasks leave over and takes no room.
  bool UsesSpareCpu = false;
  std::string RequiredLabel;
  std::string DataRack;
  /// Most tasks of the step on one worker; zero for any number.
  uint32_t MaxPerWorker = 0;
  std::string Image;
  int64_t TailTargetMs = 0; // Zero for none.
  /// How many of a long-running step's tasks the system may take away at once;
  /// zero for no such bound.
  uint32_t MaxUnavailable = 0;
  bool operator==(const StepSpec &) const = default;

  /// Room that one task takes on a worker.
  Resources reservedResources() const {
    return UsesSpareCpu ? Resources{0, TaskResources.MemoryMb,
                                    TaskResources.Accelerators}
                        : TaskResources;
  }

  static void describe(auto &Self, auto Field) {
    Field("n", Self.Count);
    Field("each", Self.Each);
    Field("est", Self.EstimateMs);
    Field("after", Self.After);
    Field("ckpt", Self.Checkpointing);
    Field("gang", Self.Gang);
    Field("rack", Self.RackLocal);
    Field("spec", Self.Speculative);
    Field("long", Self.LongRunning);
    Field("fill", Self.Fills);
    Field("need", Self.Requirement);
    Field("data", Self.DataRack);
    Field("most", Self.MaxPerWorker);
    Field("image", Self.Image);
    Field("tail", Self.TailTargetMs);
    Field("miss", Self.MayMiss);
  }
};

/// How often a job's steps run. A Count of zero means once, at once.
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

struct JobSpec {
  std::string Payload; // Handed to workers as it came.
  std::vector<StepSpec> Steps;
  RecurrenceSpec Recurrence;
  bool operator==(const JobSpec &) const = default;

  /// Milliseconds of the longest chain of steps, by the caller's guess.
  int64_t criticalPathMs() const;
  /// Core-milliseconds of one occurrence, by the caller's guess.
  int64_t totalCoreMs() const;
  bool isLongRunning() const;

  static void describe(auto &Self, auto Field) {
    Field("payload", Self.Payload);
    Field("steps", Self.Steps);
    Field("times", Self.Times);
  }
};

/// Names one task of one occurrence.
struct TaskId {
  JobId Job;
  uint32_t Occurrence = 0;
  uint32_t Step = 0;
  uint32_t Index = 0;
  auto operator<=>(const TaskId &) const = default; // NOLINT

  static void describe(auto &Self, auto Field) {
    Field("job", Self.Job);
    Field("k", Self.Occurrence);
    Field("step", Self.Step);
    Field("i", Self.Index);
  }
};

enum class JobState : uint8_t { Queued, Running, Completed, Failed, Cancelled };

/// What a caller wants.
enum class JobRequestKind : uint8_t { Submit, Status, Cancel };

/// A caller's call about one job, checked by the entry VM.
struct JobRequest {
  JobRequestKind Kind = JobRequestKind::Status;
  std::string Queue;
  JobId Job;
  /// Name of the organisation whose key came along; empty on open queues.
  std::string Organisation;
  /// Version of the configuration that the entry VM checked against.
  uint64_t Version = 0;
  JobSpec Spec; // Of a submission.
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
  Done,      // Accepted, cancelled, or the state is in the answer.
  NoSuchJob, // No such job.
  NotRun,    // Refused; it never runs on account of this call.
  Uncertain, // It may have been accepted; the same id again tells.
  NotLeader, // Ask the control VM named in the answer.
};

const char *nameOf(JobRequestKind Kind);
const char *nameOf(JobRequestOutcome Outcome);

struct JobResponse {
  JobRequestOutcome Outcome = JobRequestOutcome::Uncertain;
  JobState State = JobState::Queued;
  /// When a refused caller may come again.
  int64_t RetryAfterMs = 0;
  std::string Leader; // Address, if known.
  bool operator==(const JobResponse &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("outcome", Self.Outcome);
    Field("state", Self.State);
    Field("retry", Self.RetryAfterMs);
    Field("leader", Self.Leader);
  }
};

} // namespace mimosashunt

#endif
