// Bounds of the jobs that the system can run.

#ifndef MIMOSASHUNT_JOBS_JOBLIMITS_H
#define MIMOSASHUNT_JOBS_JOBLIMITS_H

#include "Jobs/JobTypes.h"

#include <cstdint>

namespace mimosashunt {

/// Most tasks of a job, over all occurrences. Each control VM keeps a record of
/// each task in memory.
constexpr uint64_t MaxTasksPerJob = 1000000;

/// Largest amount of a resource, and longest estimate in milliseconds, that a
/// task may have, so that sums over the tasks of a job cannot overflow.
constexpr int64_t MaxTaskAmount = 1000000000000;

/// Latest start of a job since 1970, and longest interval between its
/// occurrences, in milliseconds; some centuries.
constexpr int64_t MaxTimeMs = 9000000000000;

/// Returns true if each step depends on earlier steps alone and the job has at
/// most MaxTasksPerJob tasks. Other jobs have no place in the replicated state.
bool isConsistent(const JobSpec &Spec);

/// Returns true if the job is consistent and no amount or time is out of its
/// bounds. Other jobs are refused where they come in; earlier versions have
/// accepted them.
bool isRunnable(const JobSpec &Spec);

} // namespace mimosashunt

#endif
