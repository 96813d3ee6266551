// The replicated state of the tasks of one job. Memory follows the occurrences
// of which a result is known and that have not ended, not the length of the
// recurrence.

#ifndef MIMOSASHUNT_JOBS_TASKRECORDS_H
#define MIMOSASHUNT_JOBS_TASKRECORDS_H

#include "Jobs/JobTypes.h"

#include <cstdint>
#include <map>
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

/// The tasks of one occurrence, by step and index.
using OccurrenceTasks = std::vector<std::vector<TaskRecord>>;

/// Consecutive occurrences: the first one, and the one behind the last.
struct OccurrenceRange {
  uint32_t Begin = 0;
  uint32_t End = 0;
  bool operator==(const OccurrenceRange &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("begin", Self.Begin);
    Field("end", Self.End);
  }
};

/// The tasks of all occurrences of one job.
class TaskRecords {
public:
  /// An occurrence of which a result is known and that has not ended.
  struct Open {
    OccurrenceTasks Tasks;
    uint64_t Unfinished = 0; // Tasks that are not done; never zero.
    bool operator==(const Open &) const = default;
  };

  TaskRecords() = default;
  /// \p Spec is consistent, as by isConsistent().
  explicit TaskRecords(const JobSpec &Spec);

  bool operator==(const TaskRecords &) const = default;

  /// Returns the number of tasks not yet done, over all occurrences.
  uint64_t unfinishedTasks() const { return Unfinished; }
  bool hasEnded(uint32_t Occurrence) const;
  /// Returns the number below which all occurrences have ended.
  uint32_t firstUnfinished() const;
  /// Returns the number of occurrences that have not ended.
  uint32_t unfinishedOccurrences(const JobSpec &Spec) const;
  /// Returns the tasks of an occurrence that has not ended; null if no result
  /// of any of them is known.
  const OccurrenceTasks *find(uint32_t Occurrence) const;
  /// Returns the tasks of an occurrence that has not ended, and keeps them from
  /// now on.
  OccurrenceTasks &open(uint32_t Occurrence, const JobSpec &Spec);
  /// Marks a task as done, or all tasks of a gang. The occurrence is open.
  void markDone(const TaskId &Task, bool IsGang);

  const std::map<uint32_t, Open> &openOccurrences() const { return Opened; }
  /// Returns the occurrences that have ended, in order.
  std::vector<OccurrenceRange> endedOccurrences() const;
  /// Replaces the state by stored state. Returns false, with an unspecified
  /// state, if that does not belong to \p Spec.
  bool restore(const JobSpec &Spec,
               const std::map<uint32_t, OccurrenceTasks> &Stored,
               const std::vector<OccurrenceRange> &StoredEnded);

private:
  void markEnded(uint32_t Occurrence);

  uint64_t Unfinished = 0;
  std::map<uint32_t, Open> Opened;
  /// Ranges of ended occurrences, by their beginning; none touch each other.
  std::map<uint32_t, uint32_t> Ended;
};

/// Returns the number of tasks of one occurrence.
uint64_t tasksPerOccurrence(const JobSpec &Spec);
/// Returns true if a job with \p Spec has the task, whichever job it names.
bool hasTask(const JobSpec &Spec, const TaskId &Task);

} // namespace mimosashunt

#endif
