#include "Scheduling/RackForecast.h"

#include <algorithm>
#include <cmath>

namespace mimosashunt {

namespace {

bool isLater(const ForecastRelease &A, const ForecastRelease &B) {
  return A.InMs.Mean > B.InMs.Mean;
}

TimeEstimate sum(const TimeEstimate &A, const TimeEstimate &B) {
  return {A.Mean + B.Mean, std::hypot(A.Deviation, B.Deviation)};
}

} // namespace

void RackForecast::addWorker(const WorkerEntry &Entry, const Resources &Free,
                             std::vector<ForecastRelease> Releases) {
  std::sort(Releases.begin(), Releases.end(), isLater);
  Workers.push_back({&Entry, Free, std::move(Releases), {}});
}

std::optional<TimeEstimate> RackForecast::findTime(const Worker &At,
                                                   const Resources &Each) {
  Resources Free = At.Free;
  TimeEstimate Time = At.Now;
  for (auto It = At.Releases.rbegin(); !Free.canFit(Each); ++It) {
    if (It == At.Releases.rend())
      return std::nullopt;
    Free += It->Freed;
    if (It->InMs.Mean > Time.Mean)
      Time = It->InMs;
  }
  return Time;
}

std::optional<std::pair<size_t, TimeEstimate>>
RackForecast::findWorker(const StepSpec &Spec) const {
  const Resources Each = Spec.reservedResources();
  std::optional<std::pair<size_t, TimeEstimate>> Best;
  for (size_t I = 0; I < Workers.size(); ++I) {
    if (!Workers[I].Entry->satisfiesLabel(Spec.RequiredLabel))
      continue;
    std::optional<TimeEstimate> Time = findTime(Workers[I], Each);
    if (Time && (!Best || Time->Mean < Best->second.Mean))
      Best = {I, *Time};
  }
  return Best;
}

std::optional<TimeEstimate> RackForecast::find(const StepSpec &Spec) const {
  auto Best = findWorker(Spec);
  return Best ? std::optional(Best->second) : std::nullopt;
}

void RackForecast::addRelease(Worker &At, const ForecastRelease &End) {
  At.Releases.insert(
      std::upper_bound(At.Releases.begin(), At.Releases.end(), End, isLater),
      End);
}

std::optional<TimeEstimate> RackForecast::reserve(const StepSpec &Spec,
                                                  const TimeEstimate &RunMs) {
  auto Best = findWorker(Spec);
  if (!Best)
    return std::nullopt;
  Worker &At = Workers[Best->first];
  At.Now = Best->second;
  while (!At.Releases.empty() && At.Releases.back().InMs.Mean <= At.Now.Mean) {
    At.Free += At.Releases.back().Freed;
    At.Releases.pop_back();
  }
  const Resources Each = Spec.reservedResources();
  At.Free -= Each;
  addRelease(At, {sum(At.Now, RunMs), Each});
  ++Reservations;
  return At.Now;
}

void RackForecast::occupy(const WorkerEntry &Entry, const Resources &Each,
                          const TimeEstimate &RunMs) {
  auto At = std::find_if(Workers.begin(), Workers.end(),
                         [&](const Worker &W) { return W.Entry == &Entry; });
  if (At == Workers.end())
    return;
  At->Free -= Each;
  addRelease(*At, {RunMs, Each});
}

std::optional<TimeEstimate> RackForecast::findForGang(const StepSpec &Spec,
                                                      size_t Count) const {
  // The members run at once, so none makes room for another one.
  constexpr double NeverEndsMs = 1e12; // Longer than any run.
  RackForecast Trial = *this;
  TimeEstimate Latest;
  for (size_t I = 0; I < Count; ++I) {
    std::optional<TimeEstimate> Time = Trial.reserve(Spec, {NeverEndsMs, 0});
    if (!Time || Time->Mean >= NeverEndsMs)
      return std::nullopt;
    if (Time->Mean >= Latest.Mean)
      Latest = *Time;
  }
  return Latest;
}

} // namespace mimosashunt
