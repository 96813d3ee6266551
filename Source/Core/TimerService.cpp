#include "Core/TimerService.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

TimerId TimerService::add(Instant Due, Duration Period, Callback Run) {
  TimerId Id = ++LastId;
  Slots.emplace(Slot{Due, Id}, Entry{std::move(Run), Period});
  DueById.emplace(Id, Due);
  return Id;
}

TimerId TimerService::scheduleAt(Instant Due, Callback Run) {
  return add(Due, Duration::zero(), std::move(Run));
}

TimerId TimerService::scheduleEvery(Duration Period, Callback Run) {
  return add(Present + Period, Period, std::move(Run));
}

void TimerService::cancel(TimerId Id) {
  auto Found = DueById.find(Id);
  if (Found == DueById.end())
    return;
  Slots.erase(Slot{Found->second, Id});
  DueById.erase(Found);
}

bool TimerService::advance(Instant Now) {
  Present = std::max(Present, Now);
  bool Ran = false;
  while (!Slots.empty() && Slots.begin()->first.Due <= Present) {
    auto First = Slots.extract(Slots.begin());
    TimerId Id = First.key().Id;
    Ran = true;
    if (First.mapped().Period > Duration::zero()) {
      // A process that was suspended for long runs a periodic callback once,
      // not once for each period that it missed.
      Instant Next = Present + First.mapped().Period;
      Callback Run = First.mapped().Run;
      DueById[Id] = Next;
      First.key().Due = Next;
      Slots.insert(std::move(First));
      Run();
    } else {
      DueById.erase(Id);
      First.mapped().Run();
    }
  }
  return Ran;
}

std::optional<Instant> TimerService::nextDue() const {
  if (Slots.empty())
    return std::nullopt;
  return Slots.begin()->first.Due;
}

} // namespace mimosashunt
