// JSON views of the fleet for operators and screens. Views never contain the
// full digest of a key.

#ifndef MIMOSASHUNT_CONTROL_FLEETVIEW_H
#define MIMOSASHUNT_CONTROL_FLEETVIEW_H

#include "Core/ControlCore.h"

#include <string>

namespace mimosashunt {

/// Returns everything that the shared screen shows. Ages are in milliseconds.
Json fleetView(const ControlCore &Core, Instant Now);

/// Returns the revision in force on each entry VM and the age of its last
/// report.
Json inForceView(const ControlCore &Core, Instant Now);

/// Returns the documents of all teams.
Json documentsView(const FleetState &State);
/// Returns the granted keys, each identified by a prefix of its digest.
Json keysView(const FleetState &State);
/// Returns each wave with its progress, obstacles and forecast.
Json wavesView(const ControlCore &Core);

} // namespace mimosashunt

#endif
