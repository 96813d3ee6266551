// Bounds the starts whose response the leader has not handled yet. A burst of
// starts is a backlog of responses and ended runs a moment later; the window
// shrinks while the leader handles responses late and grows back while it keeps
// up, so that a leader starts as much as its processor can follow.

#ifndef MIMOSASHUNT_SCHEDULING_STARTWINDOW_H
#define MIMOSASHUNT_SCHEDULING_STARTWINDOW_H

#include "Core/Time.h"

#include <cstddef>
#include <optional>

namespace mimosashunt {

struct StartWindowOptions {
  /// With enough processor time, at least this many starts may be in flight,
  /// and some for each worker if that is more.
  size_t MinFullSize = 128;
  size_t StartsPerWorker = 2;
  /// The window never gets smaller.
  size_t MinSize = 8;
  /// Responses that are handled later than this shrink the window.
  Duration TargetDelay = milliseconds(600);
  Duration AdjustInterval = milliseconds(200);
  /// New jobs are refused once starts have waited for the window for this long.
  Duration OverloadTime = milliseconds(1000);
};

class StartWindow {
public:
  explicit StartWindow(StartWindowOptions Options) : Options(Options) {}

  /// Adjusts the size to the delay of responses and to the fleet, at most once
  /// in an interval.
  void adjust(Instant Now, Duration ResponseDelay, size_t Workers);
  /// Returns how many starts may be ordered now.
  size_t startsLeft() const { return Size > InFlight ? Size - InFlight : 0; }
  void onStartOrdered() { ++InFlight; }
  void onStartAnswered() { --InFlight; }
  /// Records whether tasks that could start had to wait for the window.
  void recordPass(Instant Now, bool WasCutShort);
  bool isOverloaded(Instant Now) const {
    return CutShortSince && Now - *CutShortSince > Options.OverloadTime;
  }
  size_t size() const { return Size; }

private:
  const StartWindowOptions Options;
  size_t Size = Options.MinFullSize;
  size_t InFlight = 0;
  Instant AdjustedAt;
  std::optional<Instant> CutShortSince;
};

} // namespace mimosashunt

#endif
