// Finds runs without progress. Expected fault: tasks on some workers hang,
// while the workers answer as if all were well.

#ifndef MIMOSASHUNT_SCHEDULING_STALLDETECTION_H
#define MIMOSASHUNT_SCHEDULING_STALLDETECTION_H

#include "Core/Time.h"
#include "Workers/WorkerTable.h"

#include <vector>

namespace mimosashunt {

/// Returns the tasks on \p Worker that have made no progress for \p Limit.
/// Tasks that serve requests, use spare CPU or are slowed down are never
/// included.
std::vector<TaskId> findStalledTasks(const TrackedWorker &Worker, Instant Now,
                                     Duration Limit);

} // namespace mimosashunt

#endif
