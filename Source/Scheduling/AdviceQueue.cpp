#include "Scheduling/AdviceQueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace mimosashunt {

namespace {

TaskId stepOf(const TaskId &Task) {
  return {Task.Job, Task.Occurrence, Task.Step, 0};
}

constexpr uint32_t MaxDoublings = 16;

} // namespace

void AdviceQueue::add(const AdviceNeed &Need) {
  TaskId Step = stepOf(Need.Step);
  if (Need.Workers.empty() || (InFlight && InFlight->Step == Step))
    return;
  auto Before = CallsByStep.find(Step);
  Waiting[Step] = {Need, Before == CallsByStep.end() ? 0 : Before->second};
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

AdviceCall AdviceQueue::takeNext() {
  auto IsMoreUrgent = [](const auto &Left, const auto &Right) {
    auto KeyOf = [](const WaitingNeed &Item) {
      return std::tuple(Item.Need.Priority, Item.CallsBefore,
                        Item.Need.Objective);
    };
    return KeyOf(Left.second) < KeyOf(Right.second);
  };
  auto Next = std::min_element(Waiting.begin(), Waiting.end(), IsMoreUrgent);
  AdviceNeed Need = std::move(Next->second.Need);
  AdviceCall Call;
  Call.Step = Next->first;
  Waiting.erase(Next);
  size_t Named = countToName(Need);
  Need.Workers.resize(Named);
  Call.Workers = std::move(Need.Workers);
  int64_t Patience =
      std::min(int64_t(1) << std::min(FailuresInARow, MaxDoublings),
               Options.MaxPatience);
  auto StatedMs =
      Need.Policy.DecisionMs + Need.Policy.EachMs * static_cast<int64_t>(Named);
  Call.Timeout = (milliseconds(StatedMs) + Options.AnswerMargin) * Patience;
  InFlight = {Call.Step, Need.Queue, Named};
  ++CallsByStep[Call.Step];
  ++Calls;
  return Call;
}

void AdviceQueue::onEnded(std::optional<size_t> Granted, Instant Now) {
  if (Granted) {
    recordGrants(*Granted);
    FailuresInARow = 0;
    InFlight.reset();
    return;
  }
  ++UnansweredCalls;
  uint32_t Doublings = std::min(FailuresInARow++, MaxDoublings);
  PausedUntil = Now + std::min(Options.FirstPause * (int64_t(1) << Doublings),
                               Options.MaxPause);
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
