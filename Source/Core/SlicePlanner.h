// Divides each team's fleet-wide limit among the entry VMs by demand. It only
// grants what nobody holds, and asks holders to give back what they leave
// unused while others wait.

#ifndef MIMOSASHUNT_CORE_SLICEPLANNER_H
#define MIMOSASHUNT_CORE_SLICEPLANNER_H

#include "Core/FleetState.h"
#include "Core/FleetStatus.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mimosashunt {

struct SlicePlan {
  std::vector<GrantSlice> Grants;
  /// What each holder is asked to keep, by team and holder name.
  std::map<std::pair<std::string, std::string>, uint32_t> Wanted;
};

class SlicePlanner {
public:
  SlicePlan plan(const FleetState &State, const FleetStatus &Picture) const;
};

} // namespace mimosashunt

#endif
