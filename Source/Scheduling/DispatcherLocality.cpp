// The part of the scheduler that learns run times and lets tasks wait for
// capacity near their data.

#include "Scheduling/Dispatcher.h"
#include "Scheduling/LogFields.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

namespace mimosashunt {

namespace {

TimeEstimate operator*(const TimeEstimate &Value, double Factor) {
  return {Value.Mean * Factor, Value.Deviation * Factor};
}

/// Returns the whole run time by the run's own progress; zero if that says
/// little.
double reportedRunTimeMs(const Run &CurrentRun) {
  constexpr int32_t MinPercent = 5;
  constexpr int32_t MaxPercent = 99;
  int32_t Percent = CurrentRun.ProgressPercent;
  if (CurrentRun.IsAdopted || Percent < MinPercent || Percent > MaxPercent)
    return 0;
  auto AgeMs = static_cast<double>(
      toMillis(CurrentRun.ProgressChangedAt - CurrentRun.OrderedAt));
  return AgeMs * 100 / Percent;
}

} // namespace

// Run times.

void Dispatcher::learnRunTime(const JobProgress &Job, const StepSpec &Spec,
                              const TrackedWorker &Worker, const Run &Ended) {
  if (Spec.EstimateMs <= 0 || Ended.IsAdopted)
    return;
  double Ratio = static_cast<double>(toMillis(Timers.now() - Ended.OrderedAt)) /
                 static_cast<double>(Spec.EstimateMs);
  if (Ended.IsRemote && Options.RemoteFactor > 1)
    Ratio /= Options.RemoteFactor;
  LearnedRunTimes.record(Job.job().Queue, Spec.Image, Worker.Entry.rack(),
                         Ratio);
}

void Dispatcher::proposeRunTimes() {
  bool IsDue = Timers.now() - RunTimesProposedAt >= Options.RunTimesInterval;
  if (!IsDue || LearnedRunTimes.version() == ProposedRunTimes ||
      !mayIssueOrders())
    return;
  RunTimesProposedAt = Timers.now();
  // If this is not committed, the next one holds all of it.
  ProposedRunTimes = LearnedRunTimes.version();
  Hooks.Propose(LearnedRunTimes.summarize(), [](bool) {});
}

TimeEstimate Dispatcher::localRunTime(const JobProgress &Job,
                                      const StepSpec &Spec) const {
  return LearnedRunTimes.find(Job.job().Queue, Spec.Image).ratio() *
         static_cast<double>(Spec.EstimateMs);
}

// Forecasts.

std::vector<Dispatcher::ForecastRun>
Dispatcher::findForecastRuns(const TrackedWorker &Worker) const {
  std::vector<ForecastRun> Result;
  Result.reserve(Worker.Runs.size());
  const JobProgress *Job = nullptr;
  for (const auto &[Task, CurrentRun] : Worker.Runs) {
    if (CurrentRun.LongRunning)
      continue;
    // The runs are ordered by job.
    if (Job == nullptr || Job->id() != Task.Job) {
      auto It = Jobs.find(Task.Job);
      Job = It == Jobs.end() ? nullptr : It->second.get();
    }
    if (Job == nullptr || Task.Step >= Job->spec().Steps.size())
      continue;
    const StepSpec &Spec = Job->stepSpec(Task.Step);
    double UnitMs = static_cast<double>(Spec.EstimateMs) *
                    (CurrentRun.IsRemote ? Options.RemoteFactor : 1);
    if (UnitMs <= 0)
      continue;
    auto AgeMs =
        static_cast<double>(toMillis(Timers.now() - CurrentRun.OrderedAt));
    Result.push_back({&LearnedRunTimes.find(Job->job().Queue, Spec.Image),
                      CurrentRun.ReservedResources, UnitMs, AgeMs,
                      reportedRunTimeMs(CurrentRun)});
  }
  return Result;
}

double Dispatcher::rackSlowness(
    const std::string &Rack,
    const std::vector<std::vector<ForecastRun>> &Runs) const {
  // The runs of a slow rack show it by their age and their progress before the
  // first of them has ended. What differs by less than this from the expected
  // sum is the spread of single runs.
  constexpr double MinSlowness = 1.5;
  double TakenMs = 0;
  double ExpectedMs = 0;
  for (const std::vector<ForecastRun> &OfWorker : Runs)
    for (const ForecastRun &Each : OfWorker) {
      double Expected = Each.Kind->ratio().Mean * Each.UnitMs;
      TakenMs += std::max({Each.AgeMs, Each.ReportedMs, Expected});
      ExpectedMs += Expected;
    }
  double Slowness = ExpectedMs > 0 ? TakenMs / ExpectedMs : 1;
  return std::max(LearnedRunTimes.rackFactor(Rack),
                  Slowness < MinSlowness ? 1 : Slowness);
}

Dispatcher::PassForecast &Dispatcher::forecastRack(const std::string &Pool,
                                                   const std::string &Rack,
                                                   PlacementPass &Pass) {
  auto [It, IsNew] = Forecasts.try_emplace(Rack);
  if (!IsNew)
    return It->second;
  RackForecast &Forecast = It->second.Rack;
  std::vector<const Candidate *> Usable;
  std::vector<std::vector<ForecastRun>> Runs;
  for (const Candidate *Target : Pass.candidatesIn(Rack)) {
    bool IsUsable = !Target->IsOnProbation && !Target->IsReserved &&
                    !Target->HoldsCanary && Target->Worker->FailedPolls == 0;
    if (!IsUsable)
      continue;
    Usable.push_back(Target);
    Runs.push_back(findForecastRuns(*Target->Worker));
  }
  double Slowness = rackSlowness(Rack, Runs);
  It->second.Slowness = Slowness;
  for (size_t I = 0; I < Usable.size(); ++I) {
    std::vector<ForecastRelease> Releases;
    Releases.reserve(Runs[I].size());
    for (const ForecastRun &Each : Runs[I]) {
      double UnitMs = Each.UnitMs * Slowness;
      Releases.push_back(
          {Each.Kind->remaining(Each.AgeMs / UnitMs) * UnitMs, Each.Held});
    }
    Forecast.addWorker(Usable[I]->Worker->Entry, Usable[I]->Free,
                       std::move(Releases));
  }
  std::vector<const LocalityWait *> Ahead;
  for (const auto &[Task, Wait] : LocalityWaits)
    if (Wait.Rack == Rack && Wait.Pool == Pool && Timers.now() < Wait.Until)
      Ahead.push_back(&Wait);
  std::stable_sort(Ahead.begin(), Ahead.end(),
                   [](const LocalityWait *A, const LocalityWait *B) {
                     return A->Since < B->Since;
                   });
  for (const LocalityWait *Wait : Ahead)
    for (size_t I = 0; I < Wait->Count; ++I)
      Forecast.reserve(Wait->Spec, Wait->LocalMs);
  return It->second;
}

void Dispatcher::updateForecast(const JobProgress &Job, const StepSpec &Spec,
                                const TrackedWorker &Worker, bool IsRemote) {
  if (Forecasts.empty())
    return;
  std::string Rack = Worker.Entry.rack();
  auto Forecast = Forecasts.find(Rack);
  if (Forecast != Forecasts.end())
    Forecast->second.Rack.occupy(Worker.Entry, Spec.reservedResources(),
                                 localRunTime(Job, Spec) *
                                     (Forecast->second.Slowness *
                                      (IsRemote ? Options.RemoteFactor : 1)));
}

// Waiting.

bool Dispatcher::isWaitingForLocality(const TaskProgress &TaskState) const {
  return TaskState.LocalityWaitUntil &&
         Timers.now() < *TaskState.LocalityWaitUntil;
}

bool Dispatcher::mayWaitForLocality(const JobProgress &Job,
                                    const StepSpec &Spec,
                                    const TaskProgress &TaskState,
                                    bool IsCanary) const {
  if (!Options.WaitsForLocality || !(Options.RemoteFactor > 1))
    return false;
  bool DependsOnRack = Spec.Gang ? Spec.RackLocal : !Spec.DataRack.empty();
  // A task that failed, or was lost, is late enough. Which workers take a task
  // with a ticket or a limit per worker is not forecast.
  bool IsOrdinary = !Spec.LongRunning && !IsCanary && !Job.needsAdvice() &&
                    Spec.MaxPerWorker == 0 && TaskState.Workers.empty() &&
                    TaskState.AvoidedWorkers.empty();
  bool HasWaited =
      TaskState.LocalityWaitUntil && !isWaitingForLocality(TaskState);
  return DependsOnRack && IsOrdinary && !HasWaited;
}

bool Dispatcher::startLocalityWait(JobProgress &Job, const TaskId &Task,
                                   PlacementPass &Pass) {
  const StepSpec &Spec = Job.stepSpec(Task.Step);
  const RunTimeDistribution &Known =
      LearnedRunTimes.find(Job.job().Queue, Spec.Image);
  // A step that ends with a remote run gains nothing from the others.
  if (!Spec.Gang && runsFarFromData(Spec, *Job.findStep(Task)))
    return false;
  LocalityInputs Inputs;
  Inputs.Now = Timers.now();
  Inputs.Samples = Known.samples();
  Inputs.RemoteFactor = Options.RemoteFactor;
  Inputs.RemoteMs = Known.ratio().Mean * static_cast<double>(Spec.EstimateMs) *
                    Options.RemoteFactor;
  // No forecast is needed where not even a short wait pays off.
  LocalityInputs Cheapest = Inputs;
  Cheapest.LocalMs =
      localRunTime(Job, Spec) * LearnedRunTimes.rackFactor(Spec.DataRack);
  Cheapest.FreeInMs = TimeEstimate{1, 0};
  Cheapest.Objective = Job.Objective;
  if (std::holds_alternative<PlaceFar>(decideLocality(Cheapest)))
    return false;
  std::string Rack = Spec.DataRack;
  if (Spec.Gang) {
    std::set<std::string> Racks;
    for (const Candidate &Target : Pass.candidates())
      Racks.insert(Target.Worker->Entry.rack());
    for (const std::string &Other : Racks) {
      std::optional<TimeEstimate> FreeIn =
          forecastRack(Job.Pool, Other, Pass)
              .Rack.findForGang(Spec, Spec.Count);
      bool IsEarlier =
          FreeIn && (!Inputs.FreeInMs || FreeIn->Mean < Inputs.FreeInMs->Mean);
      if (!IsEarlier)
        continue;
      Inputs.FreeInMs = FreeIn;
      Rack = Other;
    }
  }
  PassForecast &Found = forecastRack(Job.Pool, Rack, Pass);
  RackForecast &Forecast = Found.Rack;
  if (Found.Slowness >= Options.RemoteFactor) {
    endLocalityWaitsFor(Job.Pool, Rack, "rack_slow");
    return false;
  }
  Inputs.LocalMs = localRunTime(Job, Spec) * Found.Slowness;
  Inputs.SuccessRate = waitSuccessRate(Rack);
  Inputs.Ahead = Forecast.reservations();
  StepProgress &Progress = *Job.findStep(Task);
  if (!Spec.Gang) {
    // The step ends with its last task, so all that are left must fit.
    RackForecast Trial = Forecast;
    uint32_t Left = Spec.Count - Progress.DoneCount - Progress.PlacedCount;
    do
      Inputs.FreeInMs = Trial.reserve(Spec, Inputs.LocalMs);
    while (--Left > 0 && Inputs.FreeInMs);
  }
  // The steps that come after this one need their time, too.
  double PathMs = Job.remainingCriticalPathMs(estimateFactor(Job));
  double LaterMs = std::max(0.0, PathMs - Inputs.LocalMs.Mean);
  Inputs.Objective =
      Job.Objective - milliseconds(static_cast<int64_t>(LaterMs));
  LocalityDecision Decision = decideLocality(Inputs);
  const auto *Wait = std::get_if<WaitUntil>(&Decision);
  if (Wait == nullptr)
    return false;
  // All members of a gang wait as one.
  for (uint32_t I = Task.Index; I < (Spec.Gang ? 1 : Spec.Count); ++I) {
    TaskProgress &TaskState = Progress.Tasks[I];
    if (TaskState.Done || !TaskState.Workers.empty() ||
        TaskState.LocalityWaitUntil)
      continue;
    TaskState.LocalityWaitUntil = Wait->Until;
    TaskId Waiting = Task;
    Waiting.Index = I;
    size_t Count = Spec.Gang ? Spec.Count : 1;
    for (size_t Place = 0; Place < Count; ++Place)
      Forecast.reserve(Spec, Inputs.LocalMs);
    LocalityWaits[Waiting] = {Job.Pool,       Rack,       Spec,       Count,
                              Inputs.LocalMs, Inputs.Now, Wait->Until};
    ++Counters.LocalityWaits;
    Timers.scheduleAt(Wait->Until, [this, IsAlive = AliveFlag, Waiting] {
      if (*IsAlive)
        endLocalityWait(Waiting, "expired");
    });
  }
  Json Fields = taskFields(Task, Job.nextAttempt(Task));
  Fields["rack"] = Rack;
  Fields["tasks"] = Spec.Count - Progress.DoneCount - Progress.PlacedCount;
  Fields["why"] = Wait->Reason;
  Fields["expected_ms"] = toMillis(Wait->ExpectedAt - Inputs.Now);
  Fields["until_ms"] = toMillis(Wait->Until - Inputs.Now);
  Fields["confidence"] = std::round(Wait->Confidence * 100) / 100;
  Fields["local_ms"] = static_cast<int64_t>(Inputs.LocalMs.Mean);
  Fields["ahead"] = Inputs.Ahead;
  Fields["left_ms"] = toMillis(Job.Objective - Inputs.Now);
  Hooks.LogEvent("locality_wait", Fields);
  return true;
}

bool Dispatcher::runsFarFromData(const StepSpec &Spec,
                                 const StepProgress &Step) const {
  return std::any_of(
      Step.RunsPerWorker.begin(), Step.RunsPerWorker.end(),
      [&](const auto &KeyAndRuns) {
        const TrackedWorker *Worker = Table.find(KeyAndRuns.first);
        return Worker != nullptr && Worker->Entry.rack() != Spec.DataRack;
      });
}

void Dispatcher::endLocalityWait(const TaskId &Task, const char *Outcome) {
  auto It = LocalityWaits.find(Task);
  if (It == LocalityWaits.end())
    return;
  const LocalityWait &Wait = It->second;
  int64_t WaitedMs = toMillis(Timers.now() - Wait.Since);
  // A task that is placed at the last moment may be placed anywhere.
  if (Timers.now() >= Wait.Until)
    Outcome = "expired";
  bool HasPaidOff = std::string_view(Outcome) == "near";
  Counters.LocalityWaitsPaidOff += HasPaidOff ? 1 : 0;
  if (std::string_view(Outcome) != "job_ended")
    recordWaitOutcome(Wait.Rack, HasPaidOff);
  Counters.LocalityWaitedMs += static_cast<uint64_t>(WaitedMs);
  Json Fields = taskFields(Task, 0);
  Fields.erase("attempt");
  Fields["rack"] = Wait.Rack;
  Fields["outcome"] = Outcome;
  Fields["waited_ms"] = WaitedMs;
  Hooks.LogEvent("locality_wait_ended", Fields);
  markPoolDirty(Wait.Pool);
  LocalityWaits.erase(It);
}

double Dispatcher::waitSuccessRate(const std::string &Rack) const {
  auto It = WaitSuccesses.find(Rack);
  if (It == WaitSuccesses.end())
    return 1;
  // Without waits nothing is learned, so that what was learned is forgotten.
  constexpr double ForgettingMs = 5000;
  auto AgeMs = static_cast<double>(toMillis(Timers.now() - It->second.At));
  return 1 - (1 - It->second.Rate) * std::exp(-AgeMs / ForgettingMs);
}

void Dispatcher::recordWaitOutcome(const std::string &Rack, bool HasPaidOff) {
  constexpr double SmoothingFactor = 0.2;
  double Rate = waitSuccessRate(Rack);
  Rate += SmoothingFactor * ((HasPaidOff ? 1 : 0) - Rate);
  if (WaitSuccesses.size() >= RunTimes::MaxKinds && !WaitSuccesses.count(Rack))
    WaitSuccesses.erase(std::min_element(WaitSuccesses.begin(),
                                         WaitSuccesses.end(),
                                         [](const auto &A, const auto &B) {
                                           return A.second.At < B.second.At;
                                         }));
  WaitSuccesses[Rack] = {Rate, Timers.now()};
}

void Dispatcher::endHopelessLocalityWaits(const std::string &Pool,
                                          PlacementPass &Pass) {
  std::set<std::string> Hopeless;
  for (const auto &[Task, Wait] : LocalityWaits)
    if (Wait.Pool == Pool && Pass.candidatesIn(Wait.Rack).empty())
      Hopeless.insert(Wait.Rack);
  for (const std::string &Rack : Hopeless)
    endLocalityWaitsFor(Pool, Rack, "no_workers");
}

void Dispatcher::endLocalityWaitsFor(const std::string &Pool,
                                     const std::string &Rack,
                                     const char *Outcome) {
  std::vector<TaskId> Ended;
  for (const auto &[Task, Wait] : LocalityWaits)
    if (Wait.Pool == Pool && Wait.Rack == Rack)
      Ended.push_back(Task);
  for (const TaskId &Task : Ended) {
    if (TaskProgress *TaskState = findWantedTask(Task))
      TaskState->LocalityWaitUntil = Timers.now();
    endLocalityWait(Task, Outcome);
  }
}

void Dispatcher::removeStaleLocalityWaits() {
  std::vector<TaskId> Stale;
  for (const auto &[Task, Wait] : LocalityWaits) {
    auto Job = Jobs.find(Task.Job);
    if (Job == Jobs.end() || Job->second->HasEnded)
      Stale.push_back(Task);
  }
  for (const TaskId &Task : Stale)
    endLocalityWait(Task, "job_ended");
}

} // namespace mimosashunt
