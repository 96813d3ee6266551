// Timer service that the parts of a daemon subscribe to. It holds the present
// time and runs callbacks in order of their due time, so a test drives a whole
// daemon's decisions by calling advance().

#ifndef MIMOSASHUNT_CORE_TIMERSERVICE_H
#define MIMOSASHUNT_CORE_TIMERSERVICE_H

#include "Core/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace mimosashunt {

/// Names one subscription; zero names none.
using TimerId = uint64_t;

class TimerService {
public:
  using Callback = std::function<void()>;

  explicit TimerService(Instant Start) : Present(Start) {}
  TimerService(const TimerService &) = delete;
  TimerService &operator=(const TimerService &) = delete;

  /// Time of the latest advance().
  Instant now() const { return Present; }

  /// Runs \p Run once when the time reaches \p Due.
  TimerId scheduleAt(Instant Due, Callback Run);

  /// Runs \p Run every \p Period, first after one period, until cancelled.
  TimerId scheduleEvery(Duration Period, Callback Run);

  void cancel(TimerId Id);

  /// Moves the time forward and runs what is due. An earlier \p Now than the
  /// present time is ignored, so the time never goes back. Returns true if
  /// anything ran.
  bool advance(Instant Now);

  /// Moves the time forward without running anything, so that decisions taken
  /// outside of timers see the present time.
  void updateTime(Instant Now) { Present = std::max(Present, Now); }

  /// Due time of the next callback, if any is waiting.
  std::optional<Instant> nextDue() const;

private:
  struct Entry {
    Callback Run;
    Duration Period;
  };
  struct Slot {
    Instant Due;
    TimerId Id;
    auto operator<=>(const Slot &) const = default; // NOLINT
  };

  TimerId add(Instant Due, Duration Period, Callback Run);

  Instant Present;
  TimerId LastId = 0;
  // Every Slot has exactly one entry in DueById with the same due time.
  std::map<Slot, Entry> Slots;
  std::map<TimerId, Instant> DueById;
};

} // namespace mimosashunt

#endif
