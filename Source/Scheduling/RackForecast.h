// Predicts when capacity becomes free in a rack, from the expected remaining
// times of what runs there and the tasks that already wait for it.

#ifndef MIMOSASHUNT_SCHEDULING_RACKFORECAST_H
#define MIMOSASHUNT_SCHEDULING_RACKFORECAST_H

#include "Jobs/JobCommands.h"
#include "Scheduling/RunTimes.h"

#include <optional>
#include <utility>
#include <vector>

namespace mimosashunt {

/// Resources that become free on a worker.
struct ForecastRelease {
  TimeEstimate InMs;
  Resources Freed;
};

class RackForecast {
public:
  /// Adds a worker that takes tasks. \p Entry must outlive the forecast.
  void addWorker(const WorkerEntry &Entry, const Resources &Free,
                 std::vector<ForecastRelease> Releases);

  /// Returns in how many milliseconds the task fits on some worker with the
  /// label of \p Spec, behind those that hold a place. Returns nothing if it
  /// never fits.
  std::optional<TimeEstimate> find(const StepSpec &Spec) const;
  /// Keeps that place for a task that runs there for \p RunMs. Returns what
  /// find() does.
  std::optional<TimeEstimate> reserve(const StepSpec &Spec,
                                      const TimeEstimate &RunMs);
  /// Counts a run that begins now on the worker.
  void occupy(const WorkerEntry &Entry, const Resources &Each,
              const TimeEstimate &RunMs);
  /// Returns the number of places that reserve() has kept.
  size_t reservations() const { return Reservations; }
  /// Returns in how many milliseconds \p Count tasks fit at once, without
  /// reserving anything.
  std::optional<TimeEstimate> findForGang(const StepSpec &Spec,
                                          size_t Count) const;

private:
  struct Worker {
    const WorkerEntry *Entry;
    Resources Free;
    std::vector<ForecastRelease> Releases; // By time, the earliest last.
    TimeEstimate Now; // The time at which this much is free.
  };
  static std::optional<TimeEstimate> findTime(const Worker &At,
                                              const Resources &Each);
  /// Returns the index of the worker that has room first, and when.
  std::optional<std::pair<size_t, TimeEstimate>>
  findWorker(const StepSpec &Spec) const;
  static void addRelease(Worker &At, const ForecastRelease &End);

  std::vector<Worker> Workers;
  size_t Reservations = 0;
};

} // namespace mimosashunt

#endif
