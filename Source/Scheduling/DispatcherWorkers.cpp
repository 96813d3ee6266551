// The part of the scheduler that follows which processes of workers exist: what
// they report, what their next processes may have taken over, and when their
// runs have ended for certain.

#include "Scheduling/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

/// Of one worker. Its reports are seconds apart, a probe takes less.
constexpr size_t MaxReportsToConfirm = 4;

} // namespace

// Worker reports.

void Dispatcher::handleReport(const WorkerReport &Report,
                              std::function<void(bool)> Acknowledge) {
  const WorkerKey &Key = Report.Entry.Key;
  TrackedWorker *Newest = Table.findLatest(Key.Id);
  TrackedWorker *SameAddress = Table.findByAddress(Report.Entry.Address);
  bool Superseded = (Newest != nullptr && Newest->hasReplaced(Key)) ||
                    (SameAddress != nullptr &&
                     SameAddress->key().Incarnation > Key.Incarnation);
  if (Superseded)
    return Acknowledge(true);
  TrackedWorker *Tracked = Table.find(Key);
  if (Tracked != nullptr && Report.Sequence <= Tracked->LastReportSequence)
    return Acknowledge(true);
  if (Tracked == nullptr) {
    if (SameAddress != nullptr && SameAddress->key().Id != Key.Id) {
      // Only what answers there shows which of the two it is. The reporting
      // worker tries again.
      probeAddress(*SameAddress);
      return Acknowledge(false);
    }
    // All that runs on a worker that answers rests on the report being true.
    if (Newest != nullptr && Newest->IsReachable)
      return confirmReport(*Newest, Report, std::move(Acknowledge));
    Tracked = Newest != nullptr
                  ? &replaceRestarted(*Newest, Report.Entry, "superseded")
                  : &Table.add(Report.Entry, Timers.now());
  }
  WorkerEntry Entry = Report.Entry;
  Entry.ReplacedAt = Tracked->Entry.ReplacedAt;
  bool Changed = !Tracked->IsCommitted || Tracked->Entry != Entry;
  bool WasMarkedLeaving = Tracked->Entry.Leaving;
  Entry.Leaving |= WasMarkedLeaving;
  Table.update(*Tracked, Entry);
  Tracked->IsCordoned = CordonedVms.count(Entry.Vm) > 0;
  Tracked->LastReportSequence = Report.Sequence;
  Tracked->LastReportAt = Timers.now();
  if (!Changed)
    return Acknowledge(true);
  if (Tracked->Entry.Leaving != WasMarkedLeaving)
    Hooks.LogEvent("worker_leaving", {{"worker", Key.Id}});
  UpdateWorkers Command;
  Command.Workers.push_back(Tracked->Entry);
  Command.Removed = Tracked->Predecessors;
  std::shared_ptr<bool> IsAlive = AliveFlag;
  Hooks.Propose(Command, [this, IsAlive, Key, Acknowledge](bool Committed) {
    Acknowledge(Committed);
    if (!*IsAlive || !Committed)
      return;
    if (TrackedWorker *Worker = Table.find(Key)) {
      Worker->IsCommitted = true;
      markPoolDirty(Worker->Entry.Pool);
    }
  });
}

void Dispatcher::deregisterWorker(const std::string &Id,
                                  std::optional<int64_t> Incarnation) {
  TrackedWorker *Worker = Table.findLatest(Id);
  if (Worker == nullptr ||
      (Incarnation && *Incarnation != Worker->key().Incarnation))
    return;
  Worker->Entry.Leaving = true;
  Table.schedulePoll(*Worker, Timers.now());
}

// Ended processes.

void Dispatcher::probeAddress(TrackedWorker &Worker) {
  if (Worker.ProbeInFlight || !mayIssueOrders())
    return;
  Worker.ProbeInFlight = true;
  PollOrder Order;
  Order.Token = Token;
  std::shared_ptr<bool> IsAlive = AliveFlag;
  Port.pollWorker(
      Worker.Entry, Order,
      [this, IsAlive, Key = Worker.key()](const PollResponse &Response) {
        if (*IsAlive)
          onProbeResponse(Key, Response);
      });
}

void Dispatcher::onProbeResponse(const WorkerKey &Key,
                                 const PollResponse &Response) {
  if (TrackedWorker *Probed = Table.find(Key)) {
    Probed->ProbeInFlight = false;
    markPoolDirty(Probed->Entry.Pool);
    if (Response.Outcome == OrderOutcome::WrongIncarnation)
      removeWorker(Key, "address_taken", /*HasCrashed=*/true);
    if (Response.Outcome == OrderOutcome::Restarted)
      onRestarted(*Probed, Response.Incarnation);
  }
  auto Waiting = ReportsToConfirm.extract(Key);
  if (Waiting.empty())
    return;
  if (Response.Outcome == OrderOutcome::Accepted)
    Hooks.LogEvent("report_refuted", {{"worker", Key.Id},
                                      {"born", Key.Incarnation},
                                      {"reports", Waiting.mapped().size()}});
  for (PendingReport &Pending : Waiting.mapped()) {
    // Without an answer the polls decide whether the process is there. The
    // reporting worker tries again.
    TrackedWorker *Newest = Table.findLatest(Key.Id);
    if (Newest != nullptr && Newest->key() == Key && Newest->IsReachable)
      Pending.Acknowledge(false);
    else
      handleReport(Pending.Report, std::move(Pending.Acknowledge));
  }
}

void Dispatcher::confirmReport(TrackedWorker &Worker,
                               const WorkerReport &Report,
                               std::function<void(bool)> Acknowledge) {
  probeAddress(Worker);
  if (!Worker.ProbeInFlight)
    return Acknowledge(false);
  std::vector<PendingReport> &Pending = ReportsToConfirm[Worker.key()];
  if (Pending.size() >= MaxReportsToConfirm)
    return Acknowledge(false);
  Pending.push_back({Report, std::move(Acknowledge)});
  withdrawStarts(Worker);
}

void Dispatcher::expireLease(TrackedWorker &Worker) {
  markRead(Worker.key());
  withdrawStarts(Worker);
  if (Worker.Runs.empty())
    return;
  Hooks.LogEvent("worker_lapsed",
                 {{"worker", Worker.key().Id}, {"runs", Worker.Runs.size()}});
  reportLostRuns(Worker, "lapsed");
  Counters.ExpiredRuns += Worker.Runs.size();
  Counters.LostRuns += Worker.Runs.size();
  // The worker's lists must be read again before it gets new tasks.
  Worker.IsSynced = false;
  while (!Worker.Runs.empty())
    removeRun(Worker, Worker.Runs.begin()->first);
}

void Dispatcher::removeWorker(const WorkerKey &Key, const char *Reason,
                              bool HasCrashed) {
  TrackedWorker *Worker = Table.find(Key);
  if (Worker == nullptr)
    return;
  UpdateWorkers Command;
  if (Worker->IsCommitted)
    Command.Removed.push_back(Key);
  else
    Command.Removed = Worker->Predecessors;
  dropWorker(*Worker, Reason, HasCrashed);
  markRead(Key);
  if (!Command.Removed.empty())
    Hooks.Propose(Command, [](bool) {});
}

void Dispatcher::dropWorker(TrackedWorker &Worker, const char *Reason,
                            bool HasCrashed) {
  const WorkerKey Key = Worker.key();
  withdrawStarts(Worker);
  Hooks.LogEvent("worker_gone", {{"worker", Key.Id},
                                 {"born", Key.Incarnation},
                                 {"why", Reason},
                                 {"runs", Worker.Runs.size()}});
  reportLostRuns(Worker, Reason);
  Counters.LostRuns += Worker.Runs.size();
  if (HasCrashed)
    recordLosses(Worker, /*WasSudden=*/true);
  resolveLosses(Key, HasCrashed);
  while (!Worker.Runs.empty())
    removeRun(Worker, Worker.Runs.begin()->first);
  markPoolDirty(Worker.Entry.Pool);
  Health.forgetWorker(Key);
  Table.erase(Key);
}

TrackedWorker &Dispatcher::replaceRestarted(TrackedWorker &Ended,
                                            const WorkerEntry &Next,
                                            const char *Reason) {
  withdrawStarts(Ended);
  std::map<TaskId, Run> Unlisted;
  for (const auto &[Task, CurrentRun] : Ended.Runs)
    if (CurrentRun.ListedAt == Instant())
      Unlisted.emplace(Task, CurrentRun);
  std::vector<WorkerKey> Predecessors = {Ended.key()};
  if (!Ended.IsCommitted)
    Predecessors.insert(Predecessors.end(), Ended.Predecessors.begin(),
                        Ended.Predecessors.end());
  std::erase(Predecessors, Next.Key);
  Instant LeaseEnd = Table.inheritedLeaseEnd(Ended);
  Instant RenewedAt = Ended.RenewedAt;
  bool WasUnread = isUnread(Ended.key());
  dropWorker(Ended, Reason, /*HasCrashed=*/true);
  bool IsKnown = Table.find(Next.Key) != nullptr;
  TrackedWorker &Replacement =
      IsKnown ? *Table.find(Next.Key) : Table.add(Next, Timers.now());
  if (!IsKnown)
    Replacement.LastReportAt = Timers.now();
  Replacement.Entry.ReplacedAt = Hooks.WallNow();
  Replacement.Predecessors = std::move(Predecessors);
  Replacement.LeaseEnd = std::max(Replacement.LeaseEnd, LeaseEnd);
  Replacement.RenewedAt = std::max(Replacement.RenewedAt, RenewedAt);
  // An earlier leader's orders may have reached it, too. Jobs that the ended
  // process may have run wait for the next one.
  if (WasUnread)
    UnsyncedWorkers[Next.Pool].insert(Next.Key);
  for (const auto &[Task, CurrentRun] : Unlisted)
    if (!Replacement.Runs.count(Task))
      expectRun(Replacement, Task, CurrentRun);
  return Replacement;
}

void Dispatcher::expectRun(TrackedWorker &Worker, const TaskId &Task,
                           const Run &Ordered) {
  Run Expected(Ordered.properties());
  Expected.Attempt = Ordered.Attempt;
  Expected.State = RunState::Unconfirmed;
  Expected.OrderedAt = Expected.ProgressChangedAt = Timers.now();
  Table.addRun(Worker, Task, std::move(Expected));
  auto Job = Jobs.find(Task.Job);
  if (Job != Jobs.end() && Job->second->findTask(Task) != nullptr)
    Job->second->addPlacement(Task, Worker.key(), Ordered.Attempt);
  if (findWantedTask(Task) == nullptr)
    stopRun(Worker, Task);
}

void Dispatcher::onRestarted(TrackedWorker &Worker, int64_t Incarnation) {
  // What it offers is known with its report; until then it gets no tasks.
  WorkerEntry Next = Worker.Entry;
  Next.Key.Incarnation = Incarnation;
  Next.Leaving = false;
  // The next process is committed with its report. Until then a later leader
  // knows the ended one.
  UpdateWorkers Command;
  if (Worker.IsCommitted)
    Command.Workers.push_back(Worker.Entry);
  replaceRestarted(Worker, Next, "restarted");
  if (Command.Workers.empty())
    return;
  Command.Workers.front().ReplacedAt = Hooks.WallNow();
  Hooks.Propose(Command, [](bool) {});
}

// Workers that this leader has not read.

bool Dispatcher::isUnread(const WorkerKey &Key) const {
  // A start for an ended process may have been taken by the next one.
  return std::any_of(UnsyncedWorkers.begin(), UnsyncedWorkers.end(),
                     [&Key](const auto &PoolAndKeys) {
                       auto It = PoolAndKeys.second.lower_bound({Key.Id, 0});
                       return It != PoolAndKeys.second.end() &&
                              It->Id == Key.Id;
                     });
}

bool Dispatcher::hasUnreadWorkers() const {
  return std::any_of(
      UnsyncedWorkers.begin(), UnsyncedWorkers.end(),
      [](const auto &PoolAndKeys) { return !PoolAndKeys.second.empty(); });
}

void Dispatcher::markRead(const WorkerKey &Key) {
  for (auto &[Pool, Keys] : UnsyncedWorkers) {
    size_t Erased = std::erase_if(
        Keys, [&](const WorkerKey &Unread) { return Unread.Id == Key.Id; });
    if (Erased > 0)
      markPoolDirty(Pool);
  }
}

} // namespace mimosashunt
