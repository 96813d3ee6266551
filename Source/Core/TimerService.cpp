// Implements the timer service with an ordered map of due times.

#include "Core/TimerService.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

TimerId TimerService::addCallback(Instant Due, Duration Interval,
                                  Callback OnDue) {
  TimerId Id = ++LastId;
  Callbacks.emplace(DueKey{Due, Id},
                    ScheduledCallback{std::move(OnDue), Interval});
  DueTimes.emplace(Id, Due);
  return Id;
}

TimerId TimerService::scheduleAt(Instant Due, Callback OnDue) {
  return addCallback(Due, Duration::zero(), std::move(OnDue));
}

TimerId TimerService::scheduleEvery(Duration Interval, Callback OnDue) {
  return addCallback(CurrentTime + Interval, Interval, std::move(OnDue));
}

void TimerService::cancel(TimerId Id) {
  auto Found = DueTimes.find(Id);
  if (Found == DueTimes.end())
    return;
  Callbacks.erase(DueKey{Found->second, Id});
  DueTimes.erase(Found);
}

bool TimerService::advance(Instant Now) {
  CurrentTime = std::max(CurrentTime, Now);
  bool Ran = false;
  while (!Callbacks.empty() && Callbacks.begin()->first.Due <= CurrentTime) {
    auto First = Callbacks.extract(Callbacks.begin());
    TimerId Id = First.key().Id;
    Ran = true;
    if (First.mapped().Interval > Duration::zero()) {
      // After a long suspension a periodic callback runs once, not once for
      // each missed interval.
      Instant Next = CurrentTime + First.mapped().Interval;
      Callback OnDue = First.mapped().OnDue;
      DueTimes[Id] = Next;
      First.key().Due = Next;
      Callbacks.insert(std::move(First));
      OnDue();
    } else {
      DueTimes.erase(Id);
      First.mapped().OnDue();
    }
  }
  return Ran;
}

std::optional<Instant> TimerService::nextDue() const {
  if (Callbacks.empty())
    return std::nullopt;
  return Callbacks.begin()->first.Due;
}

} // namespace mimosashunt
