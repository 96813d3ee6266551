#include "Workers/WorkerTable.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

const char *nameOf(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Accepted:
    return "taken";
  case OrderOutcome::Fenced:
    return "fenced";
  case OrderOutcome::StaleAttempt:
    return "outdated";
  case OrderOutcome::LeaseExpired:
    return "late";
  case OrderOutcome::NoCapacity:
    return "no_room";
  case OrderOutcome::NoTicket:
    return "no_ticket";
  case OrderOutcome::Unhealthy:
    return "unhealthy";
  case OrderOutcome::WrongIncarnation:
    return "wrong_life";
  case OrderOutcome::Invalid:
    return "invalid";
  case OrderOutcome::NotSent:
    return "not_sent";
  case OrderOutcome::Unanswered:
    return "lost";
  }
  return "unknown";
}

Resources TrackedWorker::freeRoom() const {
  Resources Free = Entry.Capacity;
  Free -= Used;
  return Free;
}

std::optional<int64_t> TrackedWorker::clockAt(Instant Now) const {
  if (!Clock)
    return std::nullopt;
  return Clock->ClockMs + toMillis(Now - Clock->At);
}

TrackedWorker *WorkerTable::find(const WorkerKey &Key) {
  auto Found = Workers.find(Key);
  return Found == Workers.end() ? nullptr : &Found->second;
}

const TrackedWorker *WorkerTable::find(const WorkerKey &Key) const {
  auto Found = Workers.find(Key);
  return Found == Workers.end() ? nullptr : &Found->second;
}

TrackedWorker *WorkerTable::latest(const std::string &Id) {
  TrackedWorker *Newest = nullptr;
  for (auto It = Workers.lower_bound({Id, 0});
       It != Workers.end() && It->first.Id == Id; ++It)
    Newest = &It->second;
  return Newest;
}

TrackedWorker *WorkerTable::byAddress(const std::string &Address) {
  for (auto &[Key, Worker] : Workers)
    if (Worker.Entry.Address == Address)
      return &Worker;
  return nullptr;
}

TrackedWorker &WorkerTable::add(const WorkerEntry &Entry, Instant Now) {
  TrackedWorker &Worker = Workers[Entry.Key];
  update(Worker, Entry);
  Worker.LeaseEnds = Now;
  lookAt(Worker, Now);
  return Worker;
}

void WorkerTable::update(TrackedWorker &Worker, const WorkerEntry &Entry) {
  auto Before = ByPool.find(Worker.Entry.Pool);
  if (Before != ByPool.end())
    Before->second.erase(Entry.Key);
  Worker.Entry = Entry;
  ByPool[Entry.Pool][Entry.Key] = &Worker;
}

const std::map<WorkerKey, TrackedWorker *> &
WorkerTable::workersInPool(const std::string &Pool) const {
  static const std::map<WorkerKey, TrackedWorker *> None;
  auto Found = ByPool.find(Pool);
  return Found == ByPool.end() ? None : Found->second;
}

void WorkerTable::lookAt(TrackedWorker &Worker, Instant At) {
  DueLooks.erase({Worker.LookAt, Worker.key()});
  Worker.LookAt = At;
  DueLooks.emplace(At, Worker.key());
}

std::vector<TrackedWorker *> WorkerTable::takeDue(Instant Now) {
  std::vector<TrackedWorker *> Due;
  while (!DueLooks.empty() && DueLooks.begin()->first <= Now) {
    Due.push_back(find(DueLooks.begin()->second));
    DueLooks.erase(DueLooks.begin());
  }
  return Due;
}

void WorkerTable::erase(const WorkerKey &Key) {
  TrackedWorker *Worker = find(Key);
  if (Worker == nullptr)
    return;
  while (!Worker->Runs.empty())
    release(*Worker, Worker->Runs.begin()->first);
  DueLooks.erase({Worker->LookAt, Key});
  ByPool[Worker->Entry.Pool].erase(Key);
  Workers.erase(Key);
}

Run &WorkerTable::book(TrackedWorker &Worker, const TaskId &Task, Run Booked) {
  Worker.Used += Booked.Room;
  Worker.LongRuns += Booked.LongRunning ? 1 : 0;
  ByOrganisation[Booked.Organisation] += Booked.Quota;
  return Worker.Runs[Task] = std::move(Booked);
}

void WorkerTable::release(TrackedWorker &Worker, const TaskId &Task) {
  auto Found = Worker.Runs.find(Task);
  if (Found == Worker.Runs.end())
    return;
  Worker.Used -= Found->second.Room;
  Worker.LongRuns -= Found->second.LongRunning ? 1 : 0;
  ByOrganisation[Found->second.Organisation] -= Found->second.Quota;
  Worker.Runs.erase(Found);
}

void WorkerTable::noteClock(TrackedWorker &Worker, Instant Now,
                            int64_t ClockMs) {
  // Answers overtake each other; the one that puts the clock furthest ahead
  // took the least time on its way.
  std::optional<int64_t> Expected = Worker.clockAt(Now);
  constexpr int64_t StaleMs = 500;
  if (!Expected || ClockMs >= *Expected || ClockMs < *Expected - StaleMs ||
      Now - Worker.Clock->At > seconds(2))
    Worker.Clock = ClockSample{Now, ClockMs};
}

std::optional<int64_t> WorkerTable::grant(TrackedWorker &Worker, Instant Now) {
  std::optional<int64_t> Clock = Worker.clockAt(Now);
  if (!Clock)
    return std::nullopt;
  // The sample may be old, and the worker's clock slower than assumed.
  Duration SinceSample = Now - Worker.Clock->At;
  Duration Ahead = SinceSample + Options.LeaseDuration;
  Duration Slowed = Ahead * 100 / (100 - Options.ClockSlowPercent);
  Instant Ends = Worker.Clock->At + Slowed + Options.Margin;
  Worker.LeaseEnds = std::max(Worker.LeaseEnds, Ends);
  return *Clock + toMillis(Options.LeaseDuration);
}

Duration WorkerTable::longestLease() const {
  return Options.LeaseDuration * 100 / (100 - Options.ClockSlowPercent) +
         2 * Options.Margin;
}

Resources WorkerTable::usedBy(const std::string &Organisation) const {
  auto Found = ByOrganisation.find(Organisation);
  return Found == ByOrganisation.end() ? Resources{} : Found->second;
}

} // namespace mimosashunt
