// Decides how long a new leader must leave a VM alone because its predecessor
// may have ordered it. Expected load: a leader that is cut off while it moves
// VMs, whose last orders the network delivers after its successor has begun.

#ifndef MIMOSASHUNT_POOLS_TAKEOVERPAUSE_H
#define MIMOSASHUNT_POOLS_TAKEOVERPAUSE_H

#include "Core/Time.h"
#include "Jobs/JobTypes.h"

#include <cstdint>

namespace mimosashunt {

struct TakeoverPauseOptions {
  /// Time between two leaders' orders for one VM. A VM whose worker has been up
  /// for longer cannot have been ordered within it, since an accepted order
  /// ends the worker at once.
  Duration GracePeriod = milliseconds(3100);
  /// True if the platform refuses an order whose fencing token is lower than
  /// one that it has seen. Otherwise an order of the predecessor that is still
  /// on its way would be carried out after one of the new leader.
  bool PlatformChecksTokens = true;
};

/// The pause of one leadership.
class TakeoverPause {
public:
  TakeoverPause(TakeoverPauseOptions Options, Instant LeaderSince)
      : Options(Options), LeaderSince(LeaderSince) {}

  /// Returns true if a VM may be ordered. \p WorkerStartedAt is the wall-clock
  /// start of the VM's worker, or zero if it has none.
  bool isOver(Instant Now, UnixMillis WallNow,
              UnixMillis WorkerStartedAt) const;

private:
  const TakeoverPauseOptions Options;
  const Instant LeaderSince;
};

} // namespace mimosashunt

#endif
