#include "Scheduling/WorkerHealth.h"

#include <algorithm>

namespace mimosashunt {

void WorkerHealth::recordSuccess(const WorkerKey &Worker) {
  auto It = Workers.find(Worker);
  if (It == Workers.end())
    return;
  It->second.FailedJobs.clear();
  It->second.IsOnProbation = false;
  It->second.NextEjectionDuration = Options.InitialEjectionDuration;
}

bool WorkerHealth::recordFailure(const WorkerKey &Worker,
                                 const std::string &Pool, const JobId &Job,
                                 size_t PoolSize, Instant Now) {
  State &Tracked = Workers[Worker];
  Tracked.Pool = Pool;
  Tracked.FailedJobs.insert(Job);
  return (Tracked.IsOnProbation ||
          Tracked.FailedJobs.size() >= Options.FailuresToEject) &&
         ejectWorker(Tracked, PoolSize, Now);
}

bool WorkerHealth::recordRefusal(const WorkerKey &Worker,
                                 const std::string &Pool, size_t PoolSize,
                                 Instant Now) {
  State &Tracked = Workers[Worker];
  Tracked.Pool = Pool;
  return ejectWorker(Tracked, PoolSize, Now);
}

bool WorkerHealth::ejectWorker(State &Worker, size_t PoolSize, Instant Now) {
  if (Now < Worker.EjectedUntil)
    return false;
  size_t Ejected = 1;
  size_t Distrusted = 1;
  for (const auto &[Key, Other] : Workers) {
    if (&Other == &Worker || Other.Pool != Worker.Pool)
      continue;
    Ejected += Now < Other.EjectedUntil ? 1 : 0;
    Distrusted += Other.IsOnProbation ? 1 : 0;
  }
  constexpr size_t Percent = 100;
  if (Ejected * Percent > PoolSize * Options.MaxEjectedPercent ||
      Distrusted * Percent > PoolSize * Options.MaxDistrustedPercent)
    return false;
  Duration EjectionDuration =
      std::max(Worker.NextEjectionDuration, Options.InitialEjectionDuration);
  Worker.EjectedUntil = Now + EjectionDuration;
  Worker.NextEjectionDuration =
      std::min(EjectionDuration * 2, Options.MaxEjectionDuration);
  Worker.FailedJobs.clear();
  Worker.IsOnProbation = true;
  return true;
}

std::map<std::string, size_t> WorkerHealth::countDistrusted() const {
  std::map<std::string, size_t> Result;
  for (const auto &[Key, Tracked] : Workers)
    Result[Tracked.Pool] += Tracked.IsOnProbation ? 1 : 0;
  return Result;
}

void WorkerHealth::forgetWorker(const WorkerKey &Worker) {
  Workers.erase(Worker);
}

bool WorkerHealth::isEjected(const WorkerKey &Worker, Instant Now) const {
  auto It = Workers.find(Worker);
  return It != Workers.end() && Now < It->second.EjectedUntil;
}

bool WorkerHealth::isOnProbation(const WorkerKey &Worker, Instant Now) const {
  auto It = Workers.find(Worker);
  return It != Workers.end() && It->second.IsOnProbation &&
         Now >= It->second.EjectedUntil;
}

} // namespace mimosashunt
