#include "Support/SchedulerHarness.h"

#include <cstdlib>
#include <utility>

namespace mimosashunt::test {

namespace {
constexpr Duration CommitDelay = milliseconds(20);
constexpr int64_t MemoryMb = 65536;
constexpr UnixMillis WallStart = 1800000000000;

/// Lets the tests run a second time with placement records.
DispatcherOptions withRecords(DispatcherOptions Options) {
  Options.RecordsPlacements |=
      std::getenv("MIMOSASHUNT_TESTS_RECORD_PLACEMENTS") != nullptr;
  return Options;
}
} // namespace

JobSpec makeChainSpec(uint32_t Steps, uint32_t Width, int64_t Cpu, int64_t Ms) {
  JobSpec Spec;
  Spec.Payload = "work";
  for (uint32_t I = 0; I < Steps; ++I) {
    StepSpec Step;
    Step.Count = Width;
    Step.TaskResources = {Cpu, 100, 0};
    Step.EstimateMs = Ms;
    if (I > 0)
      Step.DependsOn = {I - 1};
    Spec.Steps.push_back(Step);
  }
  return Spec;
}

SchedulerHarness::SchedulerHarness(
    VirtualWorkers::ActualDurationFn ActualDurationMs,
    DispatcherOptions Options)
    : Workers(Timers, Store, std::move(ActualDurationMs)),
      Options(withRecords(Options)) {
  Configuration.Version = 1;
  Configuration.Organisations.push_back({"org", {"key"}, 1, 0, {}});
}

SchedulerHarness::~SchedulerHarness() { Scheduler.reset(); }

void SchedulerHarness::addPool(const std::string &Name, size_t Count,
                               int64_t Cores, uint32_t MaxAttempts) {
  constexpr int64_t TargetMs = 600;
  QueueConfiguration Queue;
  Queue.Name = Queue.Pool = Name;
  Queue.TimeoutMs = 3000;
  Queue.TargetMs = TargetMs;
  Queue.MaxAttempts = MaxAttempts;
  Queue.Stretch = 1.6;
  Configuration.Queues.push_back(Queue);
  Configuration.Pools.push_back({Name, true, false, 64});
  constexpr size_t PerRack = 4;
  for (size_t I = 0; I < Count; ++I)
    Workers.add(Name + "-" + std::to_string(I), Name,
                "r" + std::to_string(I / PerRack), {Cores * 1000, MemoryMb, 0});
}

UnixMillis SchedulerHarness::wallNow() const {
  return WallStart + WallOffsetMs + toMillis(Timers.now().time_since_epoch());
}

void SchedulerHarness::commitCommand(const JobCommand &Command) {
  Store.apply(Command);
  std::visit([this](const auto &Item) { ++CommandCounts[Item.Kind]; }, Command);
  for (const auto &[Id, Record] : Store.jobs())
    if (Record.State == JobState::Completed)
      CompletedAt.try_emplace(Id, Timers.now());
  if (Scheduler == nullptr)
    return;
  if (const auto *Accepted = std::get_if<AcceptJob>(&Command))
    Scheduler->onJobAccepted(Accepted->Job);
  if (const auto *Cancelled = std::get_if<CancelJob>(&Command))
    Scheduler->onJobCancelled(Cancelled->Job);
  if (std::holds_alternative<SetEvacuation>(Command))
    Scheduler->onEvacuationChanged();
}

void SchedulerHarness::beginLeadership() {
  Scheduler.reset();
  Store.apply(BeginLeadership{"vm"});
  MayIssueOrders = true;
  LeaderHooks Hooks;
  Hooks.Propose = [this](const JobCommand &Command,
                         const std::function<void(bool)> &Done) {
    Timers.scheduleAt(Timers.now() + CommitDelay, [this, Command, Done] {
      if (FailsProposals)
        return Done(false);
      commitCommand(Command);
      Done(true);
    });
  };
  Hooks.MayIssueOrders = [this] { return MayIssueOrders; };
  Hooks.OnDeposed = [this] { WasDeposed = true; };
  Hooks.WallNow = [this] { return wallNow(); };
  Hooks.LogEvent = [this](const char *Kind, Json Fields) {
    LoggedEvents.emplace_back(Kind, std::move(Fields));
  };
  Scheduler =
      std::make_unique<Dispatcher>(Store.leaderships(), Store, Configuration,
                                   *LeaderPort, Timers, Options, Hooks);
  sendHeartbeats();
}

void SchedulerHarness::sendHeartbeats() {
  ++Sequence;
  for (const auto &[Id, Worker] : Workers.all())
    if (!Worker.Faults.IsUnreachable && !Worker.Faults.IsDown)
      Scheduler->handleReport(
          {Worker.Entry, Sequence, toMillis(Timers.now() - Worker.StartedAt)},
          [](bool) {});
}

void SchedulerHarness::submitJob(const JobId &Job, const std::string &Queue,
                                 JobSpec Spec,
                                 const std::string &Organisation) {
  AcceptJob Command;
  Command.Job = Job;
  Command.Queue = Queue;
  Command.Organisation = Organisation;
  Command.MaxAttempts = Configuration.findQueue(Queue)->MaxAttempts;
  Command.AcceptedAt = wallNow();
  Command.Spec = std::move(Spec);
  Command.RecordsPlacements = Options.RecordsPlacements;
  Command.IsBeyondRate = Scheduler && !Scheduler->takeRateToken(Command);
  AcceptedAt[Job] = Timers.now();
  commitCommand(Command);
}

void SchedulerHarness::setEvacuation(const std::string &DataCentre,
                                     bool Active) {
  commitCommand(SetEvacuation{DataCentre, Active, wallNow()});
}

void SchedulerHarness::cancelJob(const JobId &Job) {
  commitCommand(CancelJob{Job});
}

void SchedulerHarness::advanceTime(Duration For) {
  Instant Until = Timers.now() + For;
  constexpr int64_t HeartbeatIntervalMs = 1500;
  while (Timers.now() < Until) {
    Timers.advance(Timers.now() + milliseconds(1));
    if (Scheduler == nullptr)
      continue;
    if (SendsHeartbeats &&
        toMillis(Timers.now().time_since_epoch()) % HeartbeatIntervalMs == 0)
      sendHeartbeats();
    Scheduler->processDueWork();
  }
}

JobState SchedulerHarness::jobState(const JobId &Job) const {
  return Store.findJob(Job)->State;
}

size_t SchedulerHarness::countJobsInState(JobState State) const {
  size_t Count = 0;
  for (const auto &[Id, Record] : Store.jobs())
    Count += Record.State == State ? 1 : 0;
  return Count;
}

int64_t SchedulerHarness::completionTimeMs(const JobId &Job) const {
  auto It = CompletedAt.find(Job);
  return It == CompletedAt.end() ? -1
                                 : toMillis(It->second - AcceptedAt.at(Job));
}

} // namespace mimosashunt::test
