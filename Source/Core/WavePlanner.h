// Decides which VMs of the announced waves may be drained now without breaking
// any service's availability budget.

#ifndef MIMOSASHUNT_CORE_WAVEPLANNER_H
#define MIMOSASHUNT_CORE_WAVEPLANNER_H

#include "Core/FleetState.h"
#include "Core/FleetStatus.h"

#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

/// One VM at a time over all waves.
struct OneAtATime {
  bool operator==(const OneAtATime &) const = default;
};

/// At most Size VMs at a time; the next batch starts when all are done.
struct FixedBatch {
  size_t Size = 4;
  bool operator==(const FixedBatch &) const = default;
};

/// As many as every budget allows, one failure domain after the other.
struct BudgetLimited {
  bool operator==(const BudgetLimited &) const = default;
};

using WavePolicy = std::variant<OneAtATime, FixedBatch, BudgetLimited>;

/// What holds up a waiting VM, for operators.
struct WaveObstacle {
  std::string Wave;
  std::string Vm;
  std::string Reason;
  bool operator==(const WaveObstacle &) const = default;
};

struct WavePlan {
  std::vector<GrantDrain> Grants;
  std::vector<WaveObstacle> Obstacles;
};

class WavePlanner {
public:
  explicit WavePlanner(WavePolicy Policy) : Policy(Policy) {}

  /// Plans from the agreed state and the present view. The caller must hold
  /// the leader's lease and have no grant in flight.
  WavePlan plan(const FleetState &State, const FleetStatus &Picture) const;

private:
  WavePolicy Policy;
};

} // namespace mimosashunt

#endif
