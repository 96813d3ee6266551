#include "Scheduling/AdviceQueue.h"

#include "Core/BackOff.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace mimosashunt {

namespace {

TaskId stepOf(const TaskId &Task) {
  return {Task.Job, Task.Occurrence, Task.Step, 0};
}

} // namespace

void AdviceQueue::add(const AdviceNeed &Need) {
  TaskId Step = stepOf(Need.Step);
  if (Need.Workers.empty() || (InFlight && InFlight->Step == Step))
    return;
  Waiting[Step] = Need;
}

size_t AdviceQueue::countToName(const AdviceNeed &Need) const {
  size_t Most = std::min(Need.Workers.size(), Options.MaxWorkersNamed);
  // To name all costs little beside the decision itself.
  constexpr int64_t CheapPart = 4;
  if (static_cast<int64_t>(Most) * Need.Policy.EachMs * CheapPart <=
      Need.Policy.DecisionMs)
    return Most;
  constexpr double AssumedRate = 0.5; // Until the queue's own is known.
  constexpr double AssumedCalls = 4;
  double Rate = AssumedRate;
  auto Known = GrantRates.find(Need.Queue);
  if (Known != GrantRates.end())
    Rate = (Known->second.Granted + AssumedRate * AssumedCalls) /
           (Known->second.Named + AssumedCalls);
  constexpr double MinRate = 0.05;
  // A few more, so that few steps need a second call.
  constexpr double Spare = 2;
  double Wanted =
      static_cast<double>(Need.WorkersNeeded) / std::max(Rate, MinRate) + Spare;
  return std::min(Most, static_cast<size_t>(std::ceil(Wanted)));
}

bool AdviceQueue::isMoreUrgent(const Waiter &Left, const Waiter &Right) const {
  auto KeyOf = [this](const Waiter &Item) {
    auto Calls = CallsByStep.find(Item.first);
    return std::tuple(Item.second.Priority,
                      Calls == CallsByStep.end() ? 0 : Calls->second,
                      Item.second.Objective);
  };
  return KeyOf(Left) < KeyOf(Right);
}

Duration AdviceQueue::timeLimit(const AdvicePolicy &Policy,
                                size_t Named) const {
  Duration Stated = milliseconds(Policy.DecisionMs +
                                 Policy.EachMs * static_cast<int64_t>(Named));
  Duration Limit = Stated + Options.AnswerMargin;
  return doubledPause(Limit, Limit * Options.MaxPatience, FailuresInARow);
}

AdviceCall AdviceQueue::takeNext() {
  auto Next = std::min_element(Waiting.begin(), Waiting.end(),
                               [this](const Waiter &Left, const Waiter &Right) {
                                 return isMoreUrgent(Left, Right);
                               });
  AdviceCall Call;
  Call.Step = Next->first;
  AdviceNeed Need = std::move(Next->second);
  Waiting.erase(Next);
  size_t Named = countToName(Need);
  Need.Workers.resize(Named);
  Call.Workers = std::move(Need.Workers);
  Call.Timeout = timeLimit(Need.Policy, Named);
  InFlight = {Call.Step, Need.Queue, Named};
  ++CallsByStep[Call.Step];
  ++Calls;
  return Call;
}

void AdviceQueue::onEnded(std::optional<size_t> Granted, Instant Now) {
  if (Granted) {
    recordGrants(*Granted);
    FailuresInARow = 0;
  } else {
    ++UnansweredCalls;
    PausedUntil = Now + doubledPause(Options.FirstPause, Options.MaxPause,
                                     FailuresInARow++);
  }
  InFlight.reset();
}

void AdviceQueue::recordGrants(size_t Granted) {
  GrantRate &Rate = GrantRates[InFlight->Queue];
  // A policy may change, so that older answers count less.
  constexpr double Decay = 0.9;
  Rate.Named = Rate.Named * Decay + static_cast<double>(InFlight->Named);
  Rate.Granted = Rate.Granted * Decay + static_cast<double>(Granted);
}

} // namespace mimosashunt
