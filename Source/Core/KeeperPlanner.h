// Decides which entry VMs keep the records of request ids: those that are heard
// and do not stop. Two VMs never keep the same id at once, since a keeper that
// did not hand over itself is replaced only after its lease has ended.

#ifndef MIMOSASHUNT_CORE_KEEPERPLANNER_H
#define MIMOSASHUNT_CORE_KEEPERPLANNER_H

#include "Core/FleetCommands.h"
#include "Core/FleetState.h"
#include "Core/FleetStatus.h"

#include <optional>

namespace mimosashunt {

class KeeperPlanner {
public:
  /// A keeper that was silent for \p LossSilence holds no lease any more.
  explicit KeeperPlanner(Duration LossSilence) : LossSilence(LossSilence) {}

  /// The next step, if one is due. The leader's view began at \p LeadsSince.
  std::optional<FleetAction> plan(const FleetState &State,
                                  const FleetStatus &Picture, Instant Now,
                                  Instant LeadsSince) const;

private:
  const Duration LossSilence;
};

} // namespace mimosashunt

#endif
