#include "Scheduling/LocalityWait.h"

#include <algorithm>
#include <cmath>

namespace mimosashunt {

namespace {

/// With fewer runs of a kind its run time is not known well enough.
constexpr double MinSamples = 8;
/// The gain must exceed the expected wait by this part of the deviation of
/// their difference, so that a wait pays off in about 8 cases of 10.
constexpr double MarginDeviations = 1;
/// The least margin, as a part of the local run time. It covers the time until
/// an end is noticed and the next pass begins.
constexpr double MinMargin = 0.05;
/// A wait goes on for this many deviations beyond the expected instant.
constexpr double PatienceDeviations = 1;

} // namespace

LocalityDecision decideLocality(const LocalityInputs &In) {
  double LocalMs = In.LocalMs.Mean;
  // A slow rack may take as long as a remote one.
  double GainMs =
      std::min(In.RemoteMs - LocalMs, (In.RemoteFactor - 1) * LocalMs);
  if (In.FreeInMs && In.FreeInMs->Mean <= 0)
    return PlaceNear{};
  if (!(In.RemoteFactor > 1) || !(GainMs > 0))
    return PlaceFar{"no_gain"};
  if (!(In.Samples >= MinSamples))
    return PlaceFar{"unknown_kind"};
  if (!In.FreeInMs)
    return PlaceFar{"no_capacity"};
  double WaitMs = In.FreeInMs->Mean;
  double Deviation = std::hypot((In.RemoteFactor - 1) * In.LocalMs.Deviation,
                                In.FreeInMs->Deviation);
  double MarginMs = std::max(MarginDeviations * Deviation, MinMargin * LocalMs);
  if (!(WaitMs + MarginMs < GainMs))
    return PlaceFar{"too_long"};
  // If the task can still end in time far from its data, it must be able to
  // after the wait.
  auto LeftMs = static_cast<double>(toMillis(In.Objective - In.Now));
  double NeededMs = In.RemoteMs <= LeftMs ? In.RemoteMs : LocalMs;
  double BoundMs = LeftMs - NeededMs;
  if (!(WaitMs < BoundMs))
    return PlaceFar{"objective"};
  double PatienceMs = std::max(PatienceDeviations * In.FreeInMs->Deviation,
                               MinMargin * LocalMs);
  double UntilMs = std::min({GainMs, WaitMs + PatienceMs, BoundMs});
  // A wait in vain delays the remote end by all of it.
  double Success = std::clamp(In.SuccessRate, 0.0, 1.0);
  if (!(Success * (GainMs - WaitMs) > (1 - Success) * UntilMs))
    return PlaceFar{"waits_in_vain"};
  WaitUntil Result;
  Result.Until = In.Now + milliseconds(static_cast<int64_t>(UntilMs));
  Result.ExpectedAt = In.Now + milliseconds(static_cast<int64_t>(WaitMs));
  Result.Confidence =
      Deviation > 0
          ? 0.5 * std::erfc(-(GainMs - WaitMs) / (Deviation * std::sqrt(2.0)))
          : 1;
  Result.Reason = In.RemoteMs <= LeftMs ? "earlier_end" : "only_in_time_near";
  return Result;
}

} // namespace mimosashunt
