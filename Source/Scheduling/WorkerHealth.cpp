#include "Scheduling/WorkerHealth.h"

#include <algorithm>

namespace mimosashunt {

void WorkerHealth::noteDone(const WorkerKey &Worker) {
  auto Found = Workers.find(Worker);
  if (Found == Workers.end())
    return;
  Found->second.Strikes.clear();
  Found->second.Probation = false;
  Found->second.NextEjection = Options.FirstEjection;
}

void WorkerHealth::noteStrike(const WorkerKey &Worker, const std::string &Pool,
                              const JobId &Job, bool JobIsSuspect,
                              size_t PoolSize, Instant Now) {
  State &Known = Workers[Worker];
  Known.Pool = Pool;
  if (JobIsSuspect)
    return;
  Known.Strikes.insert(Job);
  if (Known.Probation || Known.Strikes.size() >= Options.StrikesToEject)
    eject(Known, PoolSize, Now);
}

void WorkerHealth::noteRefusal(const WorkerKey &Worker, const std::string &Pool,
                               size_t PoolSize, Instant Now) {
  State &Known = Workers[Worker];
  Known.Pool = Pool;
  eject(Known, PoolSize, Now);
}

void WorkerHealth::eject(State &Worker, size_t PoolSize, Instant Now) {
  if (Now < Worker.EjectedUntil)
    return;
  auto Others = static_cast<size_t>(
      std::count_if(Workers.begin(), Workers.end(), [&](const auto &Item) {
        return Item.second.Pool == Worker.Pool &&
               Now < Item.second.EjectedUntil;
      }));
  if ((Others + 1) * 100 > PoolSize * Options.MostEjectedPercent)
    return;
  Duration Length = std::max(Worker.NextEjection, Options.FirstEjection);
  Worker.EjectedUntil = Now + Length;
  Worker.NextEjection = std::min(Length * 2, Options.LongestEjection);
  Worker.Strikes.clear();
  Worker.Probation = true;
}

void WorkerHealth::forget(const WorkerKey &Worker) { Workers.erase(Worker); }

bool WorkerHealth::ejected(const WorkerKey &Worker, Instant Now) const {
  auto Found = Workers.find(Worker);
  return Found != Workers.end() && Now < Found->second.EjectedUntil;
}

bool WorkerHealth::onProbation(const WorkerKey &Worker, Instant Now) const {
  auto Found = Workers.find(Worker);
  return Found != Workers.end() && Found->second.Probation &&
         Now >= Found->second.EjectedUntil;
}

} // namespace mimosashunt
