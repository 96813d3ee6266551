// The part of the scheduler that decides what starts where: the order of jobs,
// limits, gangs, copies and advice, over the book of free room.

#include "Scheduling/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

// Scheduling.

size_t Dispatcher::poolSize(const std::string &Pool) const {
  return Table.workersInPool(Pool).size();
}

double Dispatcher::estimateFactor(const JobProgress &Job) const {
  auto Found = EstimateFactors.find(Job.job().Queue);
  return Found == EstimateFactors.end() ? 1.0 : Found->second;
}

std::vector<JobRank> Dispatcher::rank(const std::string &Pool,
                                      std::vector<JobProgress *> &List) const {
  std::vector<JobRank> Ranks;
  UnixMillis Now = Hooks.WallNow();
  for (const auto &[Id, Job] : Jobs) {
    if (Job->Ended || Job->Pool != Pool || !hasOpenStep(*Job, Now))
      continue;
    JobRank Rank;
    Rank.Index = List.size();
    List.push_back(Job.get());
    Rank.Priority = Job->Priority;
    Rank.LongRunning = Job->longRunning();
    Rank.Begun = Job->Begun;
    Rank.AcceptedAt = Job->AcceptedAt;
    Rank.Objective = Job->Objective;
    double Factor = estimateFactor(*Job);
    Rank.ChainMs = Job->remainingChainMs(Factor);
    Rank.RemainingWork = Job->remainingWork(Factor);
    Rank.TotalWork = static_cast<double>(Job->spec().totalCoreMs()) * Factor;
    const OrganisationConfiguration *Owner =
        Configuration.findOrganisation(Job->job().Organisation);
    Rank.OrganisationWeight =
        Owner == nullptr ? 1 : std::max(Owner->Weight, 1e-3);
    Rank.OrganisationLoad =
        static_cast<double>(Table.usedBy(Job->job().Organisation).Cpu) /
        Rank.OrganisationWeight;
    Ranks.push_back(Rank);
  }
  return Ranks;
}

void Dispatcher::schedule(const std::string &Pool) {
  if (Pool.empty())
    return;
  PlacementPass Pass(candidatesOf(Table, Pool, Health, Timers.now()));
  if (Pass.candidates().empty())
    return;
  std::vector<JobProgress *> List;
  std::vector<JobRank> Ranks = rank(Pool, List);
  orderJobs(Options.Order, Timers.now(), MeanWork, Ranks);
  for (const JobRank &Rank : Ranks)
    scheduleJob(*List[Rank.Index], Pass);
}

bool Dispatcher::isOpen(const JobProgress &Job, uint32_t Occurrence,
                        uint32_t Step, UnixMillis Now) const {
  const StepProgress &Progress = Job.Occurrences[Occurrence].Steps[Step];
  bool MayCopy = Job.step(Step).Speculative && !Progress.done();
  return (!Progress.allPlaced() || MayCopy) &&
         Job.spec().Recurrence.dueAt(Occurrence) <= Now &&
         Job.ready(Occurrence, Step);
}

bool Dispatcher::hasOpenStep(const JobProgress &Job, UnixMillis Now) const {
  for (uint32_t K = 0; K < Job.Occurrences.size(); ++K)
    for (uint32_t S = 0; S < Job.Occurrences[K].Steps.size(); ++S)
      if (isOpen(Job, K, S, Now))
        return true;
  return false;
}

void Dispatcher::scheduleJob(JobProgress &Job, PlacementPass &Pass) {
  UnixMillis Now = Hooks.WallNow();
  for (uint32_t K = 0; K < Job.Occurrences.size(); ++K)
    for (uint32_t S = 0; S < Job.Occurrences[K].Steps.size(); ++S) {
      if (!isOpen(Job, K, S, Now))
        continue;
      bool MayBeElsewhere =
          Job.Inherited && !isReconciled(Job.Pool) && !Job.step(S).Speculative;
      if (MayBeElsewhere)
        continue;
      if (Job.step(S).Gang)
        scheduleGang(Job, K, S, Pass);
      else
        scheduleStep(Job, K, S, Pass);
    }
}

std::map<std::string, Resources> Dispatcher::unlocated() const {
  std::map<std::string, Resources> Result;
  if (Timers.now() >= Began + Table.longestLease())
    return Result;
  for (const auto &[Id, Job] : Jobs) {
    if (!Job->Inherited || Job->Ended || isReconciled(Job->Pool))
      continue;
    Resources &Sum = Result[Job->job().Organisation];
    for (uint32_t K = 0; K < Job->Occurrences.size(); ++K)
      for (uint32_t S = 0; S < Job->Occurrences[K].Steps.size(); ++S) {
        const StepProgress &Step = Job->Occurrences[K].Steps[S];
        if (Job->ready(K, S))
          Sum += Job->step(S).TaskResources *
                 static_cast<int64_t>(Step.Tasks.size() - Step.DoneCount -
                                      Step.Placed);
      }
  }
  return Result;
}

bool Dispatcher::withinQuota(const JobProgress &Job,
                             const Resources &Extra) const {
  const OrganisationConfiguration *Owner =
      Configuration.findOrganisation(Job.job().Organisation);
  if (Owner == nullptr || Owner->Maximum == Resources{})
    return true;
  Resources Used = Table.usedBy(Owner->Name);
  auto Elsewhere = Unlocated.find(Owner->Name);
  if (Elsewhere != Unlocated.end())
    Used += Elsewhere->second;
  Used += Extra;
  const Resources &Most = Owner->Maximum;
  return (Most.Cpu == 0 || Used.Cpu <= Most.Cpu) &&
         (Most.MemoryMb == 0 || Used.MemoryMb <= Most.MemoryMb) &&
         (Most.Accelerators == 0 || Used.Accelerators <= Most.Accelerators);
}

bool Dispatcher::allSilent(const TaskSlot &Slot) const {
  return std::none_of(Slot.At.begin(), Slot.At.end(),
                      [this](const WorkerKey &Key) {
                        const TrackedWorker *Worker = Table.find(Key);
                        return Worker != nullptr && Worker->IsReachable;
                      });
}

void Dispatcher::scheduleStep(JobProgress &Job, uint32_t Occurrence,
                              uint32_t Step, PlacementPass &Pass) {
  const StepSpec &Spec = Job.step(Step);
  StepProgress &Progress = Job.Occurrences[Occurrence].Steps[Step];
  Candidate *Beside = nullptr;
  for (uint32_t I = 0; I < Spec.Count; ++I) {
    TaskSlot &Slot = Progress.Tasks[I];
    if (Slot.Done || Slot.NotBefore > Timers.now())
      continue;
    // A copy beside a run on a worker that does not answer, where copies may
    // run, saves the wait for its lease.
    if (!Slot.At.empty() && !(Spec.Speculative && allSilent(Slot)))
      continue;
    if (!withinQuota(Job, Spec.TaskResources))
      return;
    uint32_t Remaining = Spec.Count - Progress.DoneCount - Progress.Placed;
    Candidate *Found =
        Pass.place({&Spec, &Progress, &Slot, Job.NeedsAdvice, Timers.now(),
                    std::max<uint32_t>(Remaining, 1), Beside});
    Beside = Found;
    if (Found == nullptr) {
      if (Job.NeedsAdvice)
        askAdvice(Job, Occurrence, Step, Pass.candidates());
      return;
    }
    TaskId Task{Job.id(), Occurrence, Step, I};
    startRun(Job, Task, *Found->Worker, Job.nextAttempt(Task));
  }
}

void Dispatcher::scheduleGang(JobProgress &Job, uint32_t Occurrence,
                              uint32_t Step, PlacementPass &Pass) {
  const StepSpec &Spec = Job.step(Step);
  StepProgress &Progress = Job.Occurrences[Occurrence].Steps[Step];
  // A gang starts whole, once nothing of an earlier attempt is left.
  if (!Progress.PerWorker.empty() || Progress.DoneCount > 0 ||
      !withinQuota(Job, Spec.TaskResources * Spec.Count))
    return;
  auto Places = Pass.placeGang({&Spec, &Progress, &Progress.Tasks.front(),
                                Job.NeedsAdvice, Timers.now()},
                               Spec.Count);
  if (!Places) {
    if (Job.NeedsAdvice)
      askAdvice(Job, Occurrence, Step, Pass.candidates());
    return;
  }
  uint32_t Attempt = Job.nextAttempt({Job.id(), Occurrence, Step, 0});
  for (uint32_t I = 0; I < Spec.Count; ++I)
    startRun(Job, {Job.id(), Occurrence, Step, I}, *(*Places)[I]->Worker,
             Attempt);
}

void Dispatcher::askAdvice(JobProgress &Job, uint32_t Occurrence, uint32_t Step,
                           const std::vector<Candidate> &Candidates) {
  StepProgress &Progress = Job.Occurrences[Occurrence].Steps[Step];
  if (Progress.Advice.UnderWay)
    return;
  constexpr size_t MostAsked = 12;
  std::vector<std::string> Asked;
  for (const Candidate &Option : Candidates) {
    auto Known = Progress.Advice.ByWorker.find(Option.Worker->key().Id);
    bool Refused =
        Known != Progress.Advice.ByWorker.end() && Known->second.Text.empty();
    bool Valid = Known != Progress.Advice.ByWorker.end() && !Refused &&
                 Timers.now() < Known->second.ValidUntil;
    if (!Refused && !Valid && Asked.size() < MostAsked)
      Asked.push_back(Option.Worker->key().Id);
  }
  if (Asked.empty())
    return;
  Progress.Advice.UnderWay = true;
  TaskId Name{Job.id(), Occurrence, Step, 0};
  std::shared_ptr<bool> Kept = Alive;
  Port.requestAdvice(
      Name, Asked, [this, Kept, Name, Asked](const AdviceResponse &Answer) {
        if (!*Kept)
          return;
        auto Found = Jobs.find(Name.Job);
        StepProgress *Progress =
            Found == Jobs.end() ? nullptr : Found->second->stepOf(Name);
        if (Progress == nullptr)
          return;
        Progress->Advice.UnderWay = false;
        if (!Answer.IsAvailable)
          return;
        Instant Until = Timers.now() + milliseconds(Answer.ValidityMs * 9 / 10);
        for (const std::string &Worker : Asked) {
          auto Ticket = Answer.Tickets.find(Worker);
          Progress->Advice.ByWorker[Worker] = {
              Ticket == Answer.Tickets.end() ? "" : Ticket->second, Until};
        }
        dirty(Found->second->Pool);
      });
}

} // namespace mimosashunt
