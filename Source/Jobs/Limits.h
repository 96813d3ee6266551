// Ranges of the amounts that are taken from outside. Within them the sums over
// all workers, tasks and steps fit into an int64_t, and spans into a Duration.

#ifndef MIMOSASHUNT_JOBS_LIMITS_H
#define MIMOSASHUNT_JOBS_LIMITS_H

#include "Jobs/JobTypes.h"

namespace mimosashunt {

/// Of one resource of a worker, VM, task or quota: millicores, MB or
/// accelerators.
inline constexpr int64_t MaxAmount = 1'000'000'000'000;
/// Of an estimate, a target, a timeout or an interval, in milliseconds; about
/// three years.
inline constexpr int64_t MaxSpanMs = 100'000'000'000;
/// Of all estimates of one job together.
inline constexpr int64_t MaxJobSpanMs = 10 * MaxSpanMs;
/// Of the time at which a job starts.
inline constexpr UnixMillis MaxStartAt = 100'000'000'000'000;
/// Of other numbers: clocks, sequences, versions and births. JSON readers that
/// use doubles read it exactly.
inline constexpr int64_t MaxExactInteger = int64_t(1) << 53;
/// Of all occurrences of one job together. Each has a record in memory from
/// the time at which the job is accepted.
inline constexpr uint64_t MaxTasksPerJob = 250'000;
/// Of a job in the replicated state. Part of what a command does there, so it
/// is the same in all versions.
inline constexpr uint64_t MaxStoredTasksPerJob = 1'000'000;

/// Returns true if each step depends on earlier steps alone and the job has at
/// most MaxStoredTasksPerJob tasks. Other jobs have no place in the replicated
/// state.
bool isConsistent(const JobSpec &Spec);

/// Returns the first limit that the job exceeds; empty if there is none.
/// Applies to new jobs; stored ones may exceed the limits.
std::string limitError(const JobSpec &Spec);

/// Bring amounts of the stored state into their ranges.
Resources clampAmounts(const Resources &Value);
void clampAmounts(JobSpec &Spec);

} // namespace mimosashunt

#endif
