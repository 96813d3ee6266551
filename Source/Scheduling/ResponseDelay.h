// How late the leader handles its workers' responses. The delay grows when the
// leader has more work than its processor can do, and when the way to the
// workers is slow; either way it must begin less.

#ifndef MIMOSASHUNT_SCHEDULING_RESPONSEDELAY_H
#define MIMOSASHUNT_SCHEDULING_RESPONSEDELAY_H

#include "Core/Time.h"

namespace mimosashunt {

/// The longest delay of the last one to two seconds.
class ResponseDelay {
public:
  /// Records a response that was handled \p Delay later than its worker may
  /// have kept it.
  void record(Instant Now, Duration Delay);
  Duration longest(Instant Now) const;

private:
  /// Begins a new period once the present one is over.
  void startPeriod(Instant Now);

  Instant PeriodStart;
  Duration InPeriod{};       // Longest since PeriodStart.
  Duration InPeriodBefore{}; // Longest of the period before.
};

} // namespace mimosashunt

#endif
