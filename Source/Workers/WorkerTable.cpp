#include "Workers/WorkerTable.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

const char *nameOf(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Taken:
    return "taken";
  case OrderOutcome::Fenced:
    return "fenced";
  case OrderOutcome::Outdated:
    return "outdated";
  case OrderOutcome::Late:
    return "late";
  case OrderOutcome::NoRoom:
    return "no_room";
  case OrderOutcome::NoTicket:
    return "no_ticket";
  case OrderOutcome::Unhealthy:
    return "unhealthy";
  case OrderOutcome::WrongLife:
    return "wrong_life";
  case OrderOutcome::Invalid:
    return "invalid";
  case OrderOutcome::NotSent:
    return "not_sent";
  case OrderOutcome::Lost:
    return "lost";
  }
  return "unknown";
}

Resources LiveWorker::freeRoom() const {
  Resources Free = Entry.Room;
  Free -= Used;
  return Free;
}

std::optional<int64_t> LiveWorker::clockAt(Instant Now) const {
  if (!Clock)
    return std::nullopt;
  return Clock->ClockMs + toMillis(Now - Clock->At);
}

LiveWorker *WorkerTable::find(const WorkerKey &Key) {
  auto Found = Workers.find(Key);
  return Found == Workers.end() ? nullptr : &Found->second;
}

const LiveWorker *WorkerTable::find(const WorkerKey &Key) const {
  auto Found = Workers.find(Key);
  return Found == Workers.end() ? nullptr : &Found->second;
}

LiveWorker *WorkerTable::latest(const std::string &Id) {
  LiveWorker *Newest = nullptr;
  for (auto It = Workers.lower_bound({Id, 0});
       It != Workers.end() && It->first.Id == Id; ++It)
    Newest = &It->second;
  return Newest;
}

LiveWorker *WorkerTable::byAddress(const std::string &Address) {
  for (auto &[Key, Worker] : Workers)
    if (Worker.Entry.Address == Address)
      return &Worker;
  return nullptr;
}

LiveWorker &WorkerTable::add(const WorkerEntry &Entry, Instant Now) {
  LiveWorker &Worker = Workers[Entry.Key];
  update(Worker, Entry);
  Worker.LeaseEnds = Now;
  lookAt(Worker, Now);
  return Worker;
}

void WorkerTable::update(LiveWorker &Worker, const WorkerEntry &Entry) {
  auto Before = ByPool.find(Worker.Entry.Pool);
  if (Before != ByPool.end())
    Before->second.erase(Entry.Key);
  Worker.Entry = Entry;
  ByPool[Entry.Pool][Entry.Key] = &Worker;
}

const std::map<WorkerKey, LiveWorker *> &
WorkerTable::inPool(const std::string &Pool) const {
  static const std::map<WorkerKey, LiveWorker *> None;
  auto Found = ByPool.find(Pool);
  return Found == ByPool.end() ? None : Found->second;
}

void WorkerTable::lookAt(LiveWorker &Worker, Instant At) {
  DueLooks.erase({Worker.LookAt, Worker.key()});
  Worker.LookAt = At;
  DueLooks.emplace(At, Worker.key());
}

std::vector<LiveWorker *> WorkerTable::takeDue(Instant Now) {
  std::vector<LiveWorker *> Due;
  while (!DueLooks.empty() && DueLooks.begin()->first <= Now) {
    Due.push_back(find(DueLooks.begin()->second));
    DueLooks.erase(DueLooks.begin());
  }
  return Due;
}

void WorkerTable::erase(const WorkerKey &Key) {
  LiveWorker *Worker = find(Key);
  if (Worker == nullptr)
    return;
  while (!Worker->Runs.empty())
    release(*Worker, Worker->Runs.begin()->first);
  DueLooks.erase({Worker->LookAt, Key});
  ByPool[Worker->Entry.Pool].erase(Key);
  Workers.erase(Key);
}

Run &WorkerTable::book(LiveWorker &Worker, const TaskName &Task, Run Booked) {
  Worker.Used += Booked.Room;
  Worker.LongRuns += Booked.LongRunning ? 1 : 0;
  ByOrganisation[Booked.Organisation] += Booked.Quota;
  return Worker.Runs[Task] = std::move(Booked);
}

void WorkerTable::release(LiveWorker &Worker, const TaskName &Task) {
  auto Found = Worker.Runs.find(Task);
  if (Found == Worker.Runs.end())
    return;
  Worker.Used -= Found->second.Room;
  Worker.LongRuns -= Found->second.LongRunning ? 1 : 0;
  ByOrganisation[Found->second.Organisation] -= Found->second.Quota;
  Worker.Runs.erase(Found);
}

void WorkerTable::noteClock(LiveWorker &Worker, Instant Now, int64_t ClockMs) {
  // Answers overtake each other; the one that puts the clock furthest ahead
  // took the least time on its way.
  std::optional<int64_t> Expected = Worker.clockAt(Now);
  constexpr int64_t StaleMs = 500;
  if (!Expected || ClockMs >= *Expected || ClockMs < *Expected - StaleMs ||
      Now - Worker.Clock->At > seconds(2))
    Worker.Clock = ClockSample{Now, ClockMs};
}

std::optional<int64_t> WorkerTable::grant(LiveWorker &Worker, Instant Now) {
  std::optional<int64_t> Clock = Worker.clockAt(Now);
  if (!Clock)
    return std::nullopt;
  // The sample may be old, and the worker's clock slower than assumed.
  Duration SinceSample = Now - Worker.Clock->At;
  Duration Ahead = SinceSample + Options.Lease;
  Duration Slowed = Ahead * 100 / (100 - Options.ClockSlowPercent);
  Instant Ends = Worker.Clock->At + Slowed + Options.Margin;
  Worker.LeaseEnds = std::max(Worker.LeaseEnds, Ends);
  return *Clock + toMillis(Options.Lease);
}

Duration WorkerTable::longestLease() const {
  return Options.Lease * 100 / (100 - Options.ClockSlowPercent) +
         2 * Options.Margin;
}

Resources WorkerTable::usedBy(const std::string &Organisation) const {
  auto Found = ByOrganisation.find(Organisation);
  return Found == ByOrganisation.end() ? Resources{} : Found->second;
}

} // namespace mimosashunt
