// How late the leader handles its workers' responses. The delay grows when the
// leader has more work than its processor can do; then it must begin less. It
// is a mean, so that a few workers behind a bad link do not count as a busy
// leader.

#ifndef MIMOSASHUNT_SCHEDULING_RESPONSEDELAY_H
#define MIMOSASHUNT_SCHEDULING_RESPONSEDELAY_H

#include "Core/Time.h"

#include <cstdint>

namespace mimosashunt {

/// The mean delay of the last one to two seconds.
class ResponseDelay {
public:
  /// Records a response that was handled \p Delay later than its worker kept
  /// it.
  void record(Instant Now, Duration Delay);
  /// Returns the higher of the means of the present and the last whole period.
  Duration mean(Instant Now) const;

private:
  struct Period {
    Duration Sum{};
    int64_t Count = 0;

    Duration mean() const { return Count == 0 ? Sum : Sum / Count; }
  };

  Instant PresentSince;
  Period Present;
  Period Last;
};

} // namespace mimosashunt

#endif
