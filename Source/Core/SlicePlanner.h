// Divides each team's fleet-wide limit into slices for the entry VMs, by
// demand. It grants only what no VM holds, and asks holders to give back the
// unused part of their slices while requests wait on other entry VMs.

#ifndef MIMOSASHUNT_CORE_SLICEPLANNER_H
#define MIMOSASHUNT_CORE_SLICEPLANNER_H

#include "Core/FleetState.h"
#include "Core/FleetStatus.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mimosashunt {

/// The result of one planning pass.
struct SlicePlan {
  std::vector<GrantSlice> Grants;
  /// Slice size to which each holder is asked to shrink, by team and holder
  /// name.
  std::map<std::pair<std::string, std::string>, uint32_t> ShrinkTargets;
};

/// Stateless; each plan depends on its arguments only.
class SlicePlanner {
public:
  /// Plans the grants and releases that are due now.
  SlicePlan plan(const FleetState &State,
                 const FleetStatus &LatestStatus) const;
};

} // namespace mimosashunt

#endif
