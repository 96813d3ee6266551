// Plans which VMs of the announced maintenance waves may be drained now without
// violating the availability budget of any service.

#ifndef MIMOSASHUNT_CORE_WAVEPLANNER_H
#define MIMOSASHUNT_CORE_WAVEPLANNER_H

#include "Core/FleetState.h"
#include "Core/FleetStatus.h"

#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

/// Drains one VM at a time over all waves.
struct OneAtATime {
  bool operator==(const OneAtATime &) const = default;
};

/// Drains at most Size VMs at a time over all waves. The next batch starts when
/// the whole batch is done.
struct FixedBatch {
  size_t Size = 4;
  bool operator==(const FixedBatch &) const = default;
};

/// Drains as many VMs as the availability budgets allow, one failure domain
/// after the other.
struct BudgetLimited {
  bool operator==(const BudgetLimited &) const = default;
};

/// Limit on the VMs that waves drain at once, besides the availability budgets.
using WavePolicy = std::variant<OneAtATime, FixedBatch, BudgetLimited>;

/// Tells operators why a waiting VM is not drained yet.
struct WaveObstacle {
  std::string Wave;
  std::string Vm;
  std::string Reason;
  bool operator==(const WaveObstacle &) const = default;
};

/// The result of one planning pass.
struct WavePlan {
  std::vector<GrantDrain> Grants;
  std::vector<WaveObstacle> Obstacles;
};

/// Stateless apart from its policy.
class WavePlanner {
public:
  explicit WavePlanner(WavePolicy Policy) : Policy(Policy) {}

  /// Plans from the replicated state and the latest reports. The caller must
  /// hold the leader's lease and have no grant in flight; otherwise a budget
  /// could be spent twice.
  WavePlan plan(const FleetState &State, const FleetStatus &LatestStatus) const;

private:
  WavePolicy Policy;
};

} // namespace mimosashunt

#endif
