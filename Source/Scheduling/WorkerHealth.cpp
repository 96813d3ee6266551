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

void WorkerHealth::recordFailure(const WorkerKey &Worker,
                                 const std::string &Pool, const JobId &Job,
                                 bool JobIsSuspect, size_t PoolSize,
                                 Instant Now) {
  State &Tracked = Workers[Worker];
  Tracked.Pool = Pool;
  if (JobIsSuspect)
    return;
  Tracked.FailedJobs.insert(Job);
  if (Tracked.IsOnProbation ||
      Tracked.FailedJobs.size() >= Options.FailuresToEject)
    ejectWorker(Tracked, PoolSize, Now);
}

void WorkerHealth::recordRefusal(const WorkerKey &Worker,
                                 const std::string &Pool, size_t PoolSize,
                                 Instant Now) {
  State &Tracked = Workers[Worker];
  Tracked.Pool = Pool;
  ejectWorker(Tracked, PoolSize, Now);
}

void WorkerHealth::ejectWorker(State &Worker, size_t PoolSize, Instant Now) {
  if (Now < Worker.EjectedUntil)
    return;
  auto EjectedInPool = static_cast<size_t>(std::count_if(
      Workers.begin(), Workers.end(), [&](const auto &KeyAndState) {
        return KeyAndState.second.Pool == Worker.Pool &&
               Now < KeyAndState.second.EjectedUntil;
      }));
  if ((EjectedInPool + 1) * 100 > PoolSize * Options.MaxEjectedPercent)
    return;
  Duration EjectionDuration =
      std::max(Worker.NextEjectionDuration, Options.InitialEjectionDuration);
  Worker.EjectedUntil = Now + EjectionDuration;
  Worker.NextEjectionDuration =
      std::min(EjectionDuration * 2, Options.MaxEjectionDuration);
  Worker.FailedJobs.clear();
  Worker.IsOnProbation = true;
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
