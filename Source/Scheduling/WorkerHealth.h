// Tells workers that fail or hold up what they are given from sound ones, by
// what ended there compared with their peers. Load pattern: a worker that fails
// everything at once is always idle and draws all work to itself.

#ifndef MIMOSASHUNT_SCHEDULING_WORKERHEALTH_H
#define MIMOSASHUNT_SCHEDULING_WORKERHEALTH_H

#include "Core/Time.h"
#include "Jobs/JobCommands.h"

#include <map>
#include <set>
#include <string>

namespace mimosashunt {

struct HealthOptions {
  /// Failed or stuck runs in a row, of different jobs, that eject a worker.
  size_t StrikesToEject = 2;
  Duration FirstEjection = seconds(2);
  Duration LongestEjection = seconds(8);
  /// At most this part of a pool is ejected at once, in percent.
  size_t MostEjectedPercent = 34;
};

class WorkerHealth {
public:
  explicit WorkerHealth(HealthOptions Options) : Options(Options) {}

  void noteDone(const WorkerKey &Worker);
  /// A run failed or stood still. \p JobIsSuspect tells that the same job also
  /// failed elsewhere, so the worker may not be to blame.
  void noteStrike(const WorkerKey &Worker, const std::string &Pool,
                  const JobId &Job, bool JobIsSuspect, size_t PoolSize,
                  Instant Now);
  /// The worker refused an order as unhealthy or did not answer it.
  void noteRefusal(const WorkerKey &Worker, const std::string &Pool,
                   size_t PoolSize, Instant Now);
  void forget(const WorkerKey &Worker);

  bool ejected(const WorkerKey &Worker, Instant Now) const;
  /// After an ejection one run at a time shows whether the worker is sound.
  bool onProbation(const WorkerKey &Worker, Instant Now) const;

private:
  struct State {
    std::string Pool;
    std::set<JobId> Strikes; // Jobs of the strikes since the last run done.
    Duration NextEjection{};
    Instant EjectedUntil;
    bool Probation = false;
  };

  void eject(State &Worker, size_t PoolSize, Instant Now);

  const HealthOptions Options;
  std::map<WorkerKey, State> Workers;
};

} // namespace mimosashunt

#endif
