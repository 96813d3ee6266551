#include "Scheduling/Placement.h"

#include <algorithm>
#include <tuple>

namespace mimosashunt {

namespace {

bool holdsTicket(const PlacementRequest &Request, const Candidate &Target) {
  if (!Request.NeedsTicket)
    return true;
  const auto &Tickets = Request.Step->Advice.TicketsByWorker;
  auto It = Tickets.find(Target.Worker->key().Id);
  return It != Tickets.end() && !It->second.Text.empty() &&
         Request.Now < It->second.ValidUntil;
}

uint32_t countRunsOfStep(const PlacementRequest &Request,
                         const Candidate &Target,
                         const std::map<WorkerKey, uint32_t> &Extra) {
  auto Placed = Request.Step->RunsPerWorker.find(Target.Worker->key());
  auto Added = Extra.find(Target.Worker->key());
  return (Placed == Request.Step->RunsPerWorker.end() ? 0 : Placed->second) +
         (Added == Extra.end() ? 0 : Added->second);
}

/// Returns false if a canary, planned or running, keeps the task off.
bool isAllowedByCanaries(const PlacementRequest &Request,
                         const Candidate &Target,
                         const std::map<WorkerKey, uint32_t> &Extra) {
  auto OwnGang = Extra.find(Target.Worker->key());
  size_t Own = OwnGang == Extra.end() ? 0 : OwnGang->second;
  if (Request.IsCanary)
    return (!Target.HoldsCanary || Own > 0) &&
           countUnproven(*Target.Worker) == 0;
  return !Target.HoldsCanary && !Target.IsReserved;
}

/// Returns true if the task may run there, whatever else does now.
bool isEligible(const PlacementRequest &Request, const Candidate &Target,
                const std::map<WorkerKey, uint32_t> &Extra) {
  const StepSpec &Spec = *Request.Spec;
  if (!Target.Worker->Entry.satisfiesLabel(Spec.RequiredLabel))
    return false;
  if (Spec.MaxPerWorker > 0 &&
      countRunsOfStep(Request, Target, Extra) >= Spec.MaxPerWorker)
    return false;
  // A worker must not run two copies of one task.
  const std::vector<WorkerKey> &At = Request.TaskState->Workers;
  if (std::find(At.begin(), At.end(), Target.Worker->key()) != At.end())
    return false;
  return holdsTicket(Request, Target);
}

bool isAllowed(const PlacementRequest &Request, const Candidate &Target,
               const std::map<WorkerKey, uint32_t> &Extra) {
  if (!Target.Free.canFit(Request.Spec->reservedResources()))
    return false;
  if (Target.IsOnProbation && Target.Runs > 0)
    return false;
  return isAllowedByCanaries(Request, Target, Extra) &&
         isEligible(Request, Target, Extra);
}

bool hasFailedThere(const PlacementRequest &Request, const Candidate &Target) {
  return Request.TaskState->AvoidedWorkers.count(Target.Worker->key().Id) > 0;
}

bool isFarFromData(const PlacementRequest &Request, const Candidate &Target) {
  const std::string &Rack = Request.Spec->DataRack;
  return !Rack.empty() && Target.Worker->Entry.rack() != Rack;
}

/// Returns how many times \p Part fits into \p Whole in one dimension, at most
/// \p Most.
int64_t countFitting(int64_t Whole, int64_t Part, int64_t Most) {
  return Part <= 0 ? Most : std::min(Most, Whole / Part);
}

/// Returns how many of the step's unplaced tasks the worker could take.
uint32_t countTasksThatFit(const PlacementRequest &Request,
                           const Candidate &Target,
                           const std::map<WorkerKey, uint32_t> &Extra) {
  if (Target.IsOnProbation)
    return 1;
  uint32_t Most =
      countTasksThatFit(*Request.Spec, Target.Free, Request.Remaining);
  uint32_t Limit = Request.Spec->MaxPerWorker;
  if (Limit > 0)
    Most = std::min(Most, Limit - countRunsOfStep(Request, Target, Extra));
  return Most;
}

/// A sort key for candidates; smaller is better.
using Preference = std::tuple<bool, bool, bool, bool, uint32_t, int64_t>;

Preference preferenceOf(const PlacementRequest &Request,
                        const Candidate &Target,
                        const std::map<WorkerKey, uint32_t> &Extra) {
  bool ProlongsProbation = Request.IsSuspect && Target.IsOnProbation;
  bool Failed = hasFailedThere(Request, Target);
  bool Far = isFarFromData(Request, Target);
  bool Awaited = Target.IsAwaited && (Far || Request.Spec->DataRack.empty());
  // A canary that crashes its worker harms what else is there. Gangs are packed
  // below.
  if (Request.IsCanary && !Request.Spec->Gang)
    return {ProlongsProbation,
            Failed,
            Far,
            Awaited,
            static_cast<uint32_t>(Target.Runs),
            Target.Free.Cpu};
  // Long-running tasks are spread, so that a lost worker costs a step few of
  // its tasks, but over workers that already run long-running tasks: the other
  // workers stay free to move to other pools.
  if (Request.Spec->LongRunning)
    return {ProlongsProbation,
            Failed,
            Far,
            Awaited,
            countRunsOfStep(Request, Target, Extra),
            -static_cast<int64_t>(Target.LongRunningCount)};
  // Short-running steps are packed onto few workers, preferably ones that they
  // fill, so that the next step fits whole into what is free elsewhere.
  uint32_t Outside =
      Request.Remaining - countTasksThatFit(Request, Target, Extra);
  return {ProlongsProbation, Failed, Far, Awaited, Outside, Target.Free.Cpu};
}

Candidate *selectBest(std::vector<Candidate> &Candidates,
                      const PlacementRequest &Request,
                      const std::map<WorkerKey, uint32_t> &Extra,
                      const std::string &OnlyRack) {
  Candidate *Best = nullptr;
  Preference BestKey;
  for (Candidate &Target : Candidates) {
    if (!OnlyRack.empty() && Target.Worker->Entry.rack() != OnlyRack)
      continue;
    if (!isAllowed(Request, Target, Extra))
      continue;
    Preference Key = preferenceOf(Request, Target, Extra);
    if (Best != nullptr && !(Key < BestKey))
      continue;
    Best = &Target;
    BestKey = Key;
  }
  return Best;
}

void reserve(Candidate &Target, const PlacementRequest &Request) {
  const StepSpec &Spec = *Request.Spec;
  Target.Free -= Spec.reservedResources();
  ++Target.Runs;
  Target.HoldsCanary |= Request.IsCanary;
  Target.LongRunningCount += Spec.LongRunning ? 1 : 0;
}

} // namespace

uint32_t countTasksThatFit(const StepSpec &Spec, const Resources &Room,
                           uint32_t Most) {
  const Resources Each = Spec.reservedResources();
  int64_t Count = Most;
  Count = countFitting(Room.Cpu, Each.Cpu, Count);
  Count = countFitting(Room.MemoryMb, Each.MemoryMb, Count);
  Count = countFitting(Room.Accelerators, Each.Accelerators, Count);
  return static_cast<uint32_t>(std::max<int64_t>(Count, 0));
}

size_t countUnproven(const TrackedWorker &Worker) {
  constexpr Duration ProvingAge = seconds(3);
  if (Worker.LongRunningCount == 0)
    return Worker.Runs.size();
  auto IsUnproven = [&](const auto &TaskAndRun) {
    const Run &CurrentRun = TaskAndRun.second;
    return !CurrentRun.LongRunning ||
           Worker.survivedTime(CurrentRun) < ProvingAge;
  };
  return static_cast<size_t>(
      std::count_if(Worker.Runs.begin(), Worker.Runs.end(), IsUnproven));
}

bool isUsable(const TrackedWorker &Worker, const JobStore &Store) {
  return Worker.IsCommitted && Worker.IsSynced && Worker.IsReachable &&
         !Worker.ProbeInFlight && !Worker.Entry.Leaving && !Worker.IsCordoned &&
         !Store.isEvacuated(Worker.Entry.DataCentre);
}

std::vector<Candidate> findCandidates(WorkerTable &Table,
                                      const std::string &Pool,
                                      const WorkerHealth &Health,
                                      const JobStore &Store, Instant Now) {
  std::vector<Candidate> Result;
  const std::map<WorkerKey, TrackedWorker *> &Workers =
      Table.workersInPool(Pool);
  Result.reserve(Workers.size());
  for (const auto &[Key, Worker] : Workers) {
    if (!isUsable(*Worker, Store) || Health.isEjected(Key, Now))
      continue;
    Result.push_back({Worker, Worker->freeResources(), Worker->Runs.size(),
                      Worker->LongRunningCount, Health.isOnProbation(Key, Now),
                      Now<Worker->ReservedUntil, Worker->CanaryCount> 0});
  }
  return Result;
}

namespace {

/// Returns true if \p Size is at least as large as one that did not fit.
bool isAnyWithin(const std::vector<Resources> &TriedSizes,
                 const Resources &Size) {
  return std::any_of(
      TriedSizes.begin(), TriedSizes.end(),
      [&](const Resources &TriedSize) { return Size.canFit(TriedSize); });
}

/// Returns true if the task fits wherever another one of its size does.
bool dependsOnSizeOnly(const PlacementRequest &Request) {
  const StepSpec &Spec = *Request.Spec;
  return !Request.IsCanary && Spec.RequiredLabel.empty() &&
         Spec.MaxPerWorker == 0 && !Request.NeedsTicket &&
         Request.TaskState->Workers.empty();
}

/// Returns true if the task goes to the worker of the step's previous task.
bool maySharePreviousChoice(const PlacementRequest &Request) {
  const Candidate *Previous = Request.PreviousChoice;
  return Previous != nullptr && !Request.Spec->LongRunning &&
         isAllowed(Request, *Previous, {}) &&
         !hasFailedThere(Request, *Previous) &&
         !isFarFromData(Request, *Previous);
}

} // namespace

bool PlacementPass::isKnownUnplaceable(const Resources &Size) const {
  return isAnyWithin(UnplaceableSizes, Size);
}

Candidate *PlacementPass::findBestCandidate(const PlacementRequest &Request) {
  const StepSpec &Spec = *Request.Spec;
  if (!Request.IsCanary && isKnownUnplaceable(Spec.reservedResources()))
    return nullptr;
  Candidate *Best = selectBest(Candidates, Request, {}, {});
  if (Best == nullptr && dependsOnSizeOnly(Request))
    UnplaceableSizes.push_back(Spec.reservedResources());
  return Best;
}

PlacementPass::RackCandidates &
PlacementPass::findRack(const std::string &Rack) {
  auto [It, IsNew] = Racks.try_emplace(Rack);
  if (IsNew)
    for (Candidate &Target : Candidates)
      if (Target.Worker->Entry.rack() == Rack)
        It->second.Members.push_back(&Target);
  return It->second;
}

Candidate *PlacementPass::placeTaskNear(const PlacementRequest &Request) {
  RackCandidates &Near = findRack(Request.Spec->DataRack);
  const Resources Size = Request.Spec->reservedResources();
  if (isAnyWithin(Near.UnplaceableSizes, Size))
    return nullptr;
  Candidate *Best = nullptr;
  if (maySharePreviousChoice(Request)) {
    reserve(*Request.PreviousChoice, Request);
    return Request.PreviousChoice;
  }
  Preference BestKey;
  for (Candidate *Target : Near.Members) {
    if (!isAllowed(Request, *Target, {}))
      continue;
    Preference Key = preferenceOf(Request, *Target, {});
    if (Best != nullptr && !(Key < BestKey))
      continue;
    Best = Target;
    BestKey = Key;
  }
  if (Best != nullptr)
    reserve(*Best, Request);
  else if (dependsOnSizeOnly(Request))
    Near.UnplaceableSizes.push_back(Size);
  return Best;
}

void PlacementPass::preferOthersTo(const std::string &Rack) {
  for (Candidate *Target : findRack(Rack).Members)
    Target->IsAwaited = true;
}

void PlacementPass::release(Candidate &Chosen,
                            const PlacementRequest &Request) {
  const StepSpec &Spec = *Request.Spec;
  Chosen.Free += Spec.reservedResources();
  --Chosen.Runs;
  Chosen.LongRunningCount -= Spec.LongRunning ? 1 : 0;
}

Candidate *PlacementPass::placeTask(const PlacementRequest &Request) {
  Candidate *Chosen = maySharePreviousChoice(Request)
                          ? Request.PreviousChoice
                          : findBestCandidate(Request);
  if (Chosen != nullptr)
    reserve(*Chosen, Request);
  return Chosen;
}

TrackedWorker *PlacementPass::chooseForCanary(const PlacementRequest &Request) {
  TrackedWorker *Best = nullptr;
  std::pair<size_t, size_t> Least;
  for (const Candidate &Target : Candidates) {
    TrackedWorker &Worker = *Target.Worker;
    bool CouldHold =
        Worker.Entry.Capacity.canFit(Request.Spec->reservedResources()) &&
        !Target.HoldsCanary && !Target.IsReserved &&
        isEligible(Request, Target, {});
    std::pair<size_t, size_t> Load{Target.LongRunningCount,
                                   countUnproven(Worker)};
    if (!CouldHold || (Best != nullptr && Load >= Least))
      continue;
    Best = &Worker;
    Least = Load;
  }
  return Best;
}

void PlacementPass::reserveForCanary(const TrackedWorker &Worker) {
  for (Candidate &Target : Candidates)
    Target.IsReserved |= Target.Worker == &Worker;
}

std::optional<std::vector<Candidate *>>
PlacementPass::tryPlaceGang(const PlacementRequest &Request, size_t Count,
                            const std::string &Rack) {
  std::vector<Candidate> SavedCandidates = Candidates;
  std::vector<Candidate *> ChosenWorkers;
  std::map<WorkerKey, uint32_t> Extra;
  PlacementRequest Member = Request;
  for (size_t I = 0; I < Count; ++I) {
    Member.Remaining = static_cast<uint32_t>(Count - I);
    Candidate *Chosen = selectBest(Candidates, Member, Extra, Rack);
    if (Chosen == nullptr) {
      // Restored in place, since callers hold pointers to the candidates.
      std::copy(SavedCandidates.begin(), SavedCandidates.end(),
                Candidates.begin());
      return std::nullopt;
    }
    reserve(*Chosen, Request);
    ++Extra[Chosen->Worker->key()];
    ChosenWorkers.push_back(Chosen);
  }
  return ChosenWorkers;
}

std::optional<std::vector<Candidate *>>
PlacementPass::placeGang(const PlacementRequest &Request, size_t Count,
                         bool InOneRack) {
  if (!Request.IsCanary &&
      isKnownUnplaceable(Request.Spec->reservedResources()))
    return std::nullopt;
  if (Request.Spec->RackLocal) {
    std::map<std::string, int64_t> FreeByRack;
    for (const Candidate &Target : Candidates)
      FreeByRack[Target.Worker->Entry.rack()] += Target.Free.Cpu;
    std::vector<std::pair<int64_t, std::string>> Racks;
    Racks.reserve(FreeByRack.size());
    for (const auto &[Rack, Free] : FreeByRack)
      Racks.emplace_back(-Free, Rack);
    std::sort(Racks.begin(), Racks.end());
    for (const auto &[Free, Rack] : Racks)
      if (auto Places = tryPlaceGang(Request, Count, Rack))
        return Places;
    if (InOneRack)
      return std::nullopt;
  }
  return tryPlaceGang(Request, Count, {});
}

} // namespace mimosashunt
