// Finds runs whose progress stands still. Load pattern: tasks on some workers
// hang, while their workers answer as if all were well.

#ifndef MIMOSASHUNT_SCHEDULING_STALLDETECTION_H
#define MIMOSASHUNT_SCHEDULING_STALLDETECTION_H

#include "Core/Time.h"
#include "Workers/WorkerTable.h"

#include <vector>

namespace mimosashunt {

/// Tasks on \p Worker that have made no progress for \p Limit. Tasks that
/// serve, fill or are paced down are never among them.
std::vector<TaskId> standingStill(const TrackedWorker &Worker, Instant Now,
                                  Duration Limit);

} // namespace mimosashunt

#endif
