// Ejects workers on which runs fail or stall, and puts them on probation
// afterwards. Expected fault: a worker that fails every task at once is always
// idle and would attract all work.

#ifndef MIMOSASHUNT_SCHEDULING_WORKERHEALTH_H
#define MIMOSASHUNT_SCHEDULING_WORKERHEALTH_H

#include "Core/Time.h"
#include "Jobs/JobCommands.h"

#include <map>
#include <set>
#include <string>

namespace mimosashunt {

struct HealthOptions {
  /// Failed or stalled runs in a row, of different jobs, after which a worker
  /// is ejected.
  size_t FailuresToEject = 2;
  Duration InitialEjectionDuration = seconds(2);
  Duration MaxEjectionDuration = seconds(8);
  /// Largest part of a pool that may be ejected at once, in percent.
  size_t MaxEjectedPercent = 34;
  /// The same for workers that are ejected or on probation.
  size_t MaxDistrustedPercent = 50;
};

class WorkerHealth {
public:
  explicit WorkerHealth(HealthOptions Options) : Options(Options) {}

  /// Records a successful run; ends probation and clears earlier failures.
  void recordSuccess(const WorkerKey &Worker);
  /// Records a run that failed or stalled and is held against the worker.
  /// Returns true if that ejects the worker.
  bool recordFailure(const WorkerKey &Worker, const std::string &Pool,
                     const JobId &Job, size_t PoolSize, Instant Now);
  /// Records that the worker refused an order as unhealthy, and ejects it, if
  /// the pool can do without it. Returns true if it was ejected.
  bool recordRefusal(const WorkerKey &Worker, const std::string &Pool,
                     size_t PoolSize, Instant Now);
  void forgetWorker(const WorkerKey &Worker);

  bool isEjected(const WorkerKey &Worker, Instant Now) const;
  /// Returns true after an ejection until a run has succeeded; the worker then
  /// gets one run at a time.
  bool isOnProbation(const WorkerKey &Worker, Instant Now) const;
  /// Returns how many workers are ejected or on probation, by pool.
  std::map<std::string, size_t> countDistrusted() const;

private:
  struct State {
    std::string Pool;
    /// Jobs that failed or stalled here since the last successful run.
    std::set<JobId> FailedJobs;
    Duration NextEjectionDuration{};
    Instant EjectedUntil;
    bool IsOnProbation = false; // Also while it is ejected.
  };

  bool ejectWorker(State &Worker, size_t PoolSize, Instant Now);

  const HealthOptions Options;
  std::map<WorkerKey, State> Workers;
};

} // namespace mimosashunt

#endif
