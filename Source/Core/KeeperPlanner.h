// Plans which entry VMs are keepers, that is, hold the records of request ids.
// Keepers are the registered entry VMs that report in time and are not
// stopping. Two VMs never hold the record of the same id at once, because a
// keeper that did not transfer its records itself is replaced only after its
// lease has expired.

#ifndef MIMOSASHUNT_CORE_KEEPERPLANNER_H
#define MIMOSASHUNT_CORE_KEEPERPLANNER_H

#include "Core/FleetCommands.h"
#include "Core/FleetState.h"
#include "Core/FleetStatus.h"

#include <optional>

namespace mimosashunt {

/// Plans one step at a time; the caller applies it before it asks for the next.
class KeeperPlanner {
public:
  /// \p LossTimeout is the silence after which a keeper's lease has certainly
  /// expired.
  explicit KeeperPlanner(Duration LossTimeout) : LossTimeout(LossTimeout) {}

  /// Returns the next step, or nothing if none is due. \p LeaderSince is when
  /// this control VM became leader; it has no reports from before.
  std::optional<FleetAction> plan(const FleetState &State,
                                  const FleetStatus &LatestStatus, Instant Now,
                                  Instant LeaderSince) const;

private:
  const Duration LossTimeout;
};

} // namespace mimosashunt

#endif
