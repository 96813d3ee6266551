// Decides whether a task waits for capacity near its data or runs far from it
// at once. Expected load: bursts of jobs that want the same rack, racks that
// are under maintenance, cut off or slow, and estimates that are off.

#ifndef MIMOSASHUNT_SCHEDULING_LOCALITYWAIT_H
#define MIMOSASHUNT_SCHEDULING_LOCALITYWAIT_H

#include "Core/Time.h"
#include "Scheduling/RunTimes.h"

#include <optional>
#include <variant>

namespace mimosashunt {

/// What is known when a task could run far from its data now.
struct LocalityInputs {
  Instant Now;
  /// Run time near the data, in milliseconds.
  TimeEstimate LocalMs;
  /// Decayed number of runs that LocalMs rests on.
  double Samples = 0;
  /// How many times as long the task runs far from its data.
  double RemoteFactor = 1;
  /// Run time far from the data.
  double RemoteMs = 0;
  /// Milliseconds until the task fits near the data, behind those that wait
  /// already; nothing if it never does.
  std::optional<TimeEstimate> FreeInMs;
  /// Part of the recent waits for this capacity that got it. Tasks that come
  /// later may overtake, and what runs there may slow down.
  double SuccessRate = 1;
  /// Tasks that wait already for the same capacity.
  size_t Ahead = 0;
  /// The latest end of the task with which its job can meet its objective.
  Instant Objective;
};

struct PlaceNear {};
struct PlaceFar {
  const char *Reason = "";
};
struct WaitUntil {
  Instant Until;
  Instant ExpectedAt;    // When the capacity is expected.
  double Confidence = 0; // Probability that the wait pays off.
  const char *Reason = "";
};
using LocalityDecision = std::variant<PlaceNear, PlaceFar, WaitUntil>;

/// A task waits if it is expected to end earlier by that. The wait is shorter
/// than what running near the data gains, and ends before the objective.
LocalityDecision decideLocality(const LocalityInputs &Inputs);

} // namespace mimosashunt

#endif
