// Timer service shared by the components of a daemon. It holds the current time
// and runs callbacks in order of their due time, so a test can drive all
// decisions of a daemon by calling advance().

#ifndef MIMOSASHUNT_CORE_TIMERSERVICE_H
#define MIMOSASHUNT_CORE_TIMERSERVICE_H

#include "Core/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace mimosashunt {

/// Identifies a scheduled callback. Zero identifies none.
using TimerId = uint64_t;

/// Runs callbacks at scheduled times. Not thread-safe; time moves only through
/// advance() and updateTime().
class TimerService {
public:
  using Callback = std::function<void()>;

  /// Starts with \p Start as the current time.
  explicit TimerService(Instant Start) : CurrentTime(Start) {}
  TimerService(const TimerService &) = delete;
  TimerService &operator=(const TimerService &) = delete;

  /// The latest time passed to advance() or updateTime().
  Instant now() const { return CurrentTime; }

  /// Runs \p OnDue once when the time reaches \p Due.
  TimerId scheduleAt(Instant Due, Callback OnDue);

  /// Runs \p OnDue every \p Interval until cancelled, for the first time after
  /// one interval.
  TimerId scheduleEvery(Duration Interval, Callback OnDue);

  /// Cancels a scheduled callback. Does nothing for an unknown or finished one.
  void cancel(TimerId Id);

  /// Moves the time forward to \p Now and runs every callback that is due. A \p
  /// Now before the current time is ignored, so the time never goes back.
  /// Returns true if a callback ran.
  bool advance(Instant Now);

  /// Moves the time forward without running callbacks, so that decisions made
  /// outside of timers use the current time.
  void updateTime(Instant Now) { CurrentTime = std::max(CurrentTime, Now); }

  /// Due time of the next callback, or nothing if none is scheduled.
  std::optional<Instant> nextDue() const;

private:
  struct ScheduledCallback {
    Callback OnDue;
    /// Zero for a callback that runs once.
    Duration Interval;
  };
  struct DueKey {
    Instant Due;
    TimerId Id;
    auto operator<=>(const DueKey &) const = default; // NOLINT
  };

  TimerId addCallback(Instant Due, Duration Interval, Callback OnDue);

  Instant CurrentTime;
  TimerId LastId = 0;
  // Callbacks in the order in which they run. Each key has exactly one entry in
  // DueTimes with the same due time.
  std::map<DueKey, ScheduledCallback> Callbacks;
  std::map<TimerId, Instant> DueTimes;
};

} // namespace mimosashunt

#endif
