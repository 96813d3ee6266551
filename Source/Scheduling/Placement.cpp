#include "Scheduling/Placement.h"

#include <algorithm>
#include <tuple>

namespace mimosashunt {

namespace {

bool holdsTicket(const PlacementRequest &Request, const Candidate &Option) {
  if (!Request.NeedsTicket)
    return true;
  const auto &Tickets = Request.Step->Advice.ByWorker;
  auto Found = Tickets.find(Option.Worker->key().Id);
  return Found != Tickets.end() && !Found->second.Text.empty() &&
         Request.Now < Found->second.ValidUntil;
}

uint32_t runsOfStep(const PlacementRequest &Request, const Candidate &Option,
                    const std::map<WorkerKey, uint32_t> &Extra) {
  auto Placed = Request.Step->PerWorker.find(Option.Worker->key());
  auto Added = Extra.find(Option.Worker->key());
  return (Placed == Request.Step->PerWorker.end() ? 0 : Placed->second) +
         (Added == Extra.end() ? 0 : Added->second);
}

bool allowed(const PlacementRequest &Request, const Candidate &Option,
             const std::map<WorkerKey, uint32_t> &Extra) {
  const StepSpec &Spec = *Request.Spec;
  if (!Option.Free.canFit(Spec.reservedResources()))
    return false;
  if (Option.Probation && Option.Runs > 0)
    return false;
  if (!Option.Worker->Entry.satisfiesLabel(Spec.RequiredLabel))
    return false;
  if (Spec.MaxPerWorker > 0 &&
      runsOfStep(Request, Option, Extra) >= Spec.MaxPerWorker)
    return false;
  // The same worker must not run two copies of one task.
  const std::vector<WorkerKey> &At = Request.Slot->At;
  if (std::find(At.begin(), At.end(), Option.Worker->key()) != At.end())
    return false;
  return holdsTicket(Request, Option);
}

bool failedThere(const PlacementRequest &Request, const Candidate &Option) {
  return Request.Slot->Avoid.count(Option.Worker->key().Id) > 0;
}

bool farFromData(const PlacementRequest &Request, const Candidate &Option) {
  const std::string &Rack = Request.Spec->DataRack;
  return !Rack.empty() && Option.Worker->Entry.rack() != Rack;
}

/// How many times \p Part fits into \p Whole in one dimension.
int64_t timesIn(int64_t Whole, int64_t Part, int64_t Most) {
  return Part <= 0 ? Most : std::min(Most, Whole / Part);
}

/// How many of the step's remaining tasks the worker could take.
uint32_t holds(const PlacementRequest &Request, const Candidate &Option,
               const std::map<WorkerKey, uint32_t> &Extra) {
  if (Option.Probation)
    return 1;
  const Resources Each = Request.Spec->reservedResources();
  int64_t Most = Request.Remaining;
  Most = timesIn(Option.Free.Cpu, Each.Cpu, Most);
  Most = timesIn(Option.Free.MemoryMb, Each.MemoryMb, Most);
  Most = timesIn(Option.Free.Accelerators, Each.Accelerators, Most);
  uint32_t Limit = Request.Spec->MaxPerWorker;
  if (Limit > 0)
    Most = std::min<int64_t>(Most, Limit - runsOfStep(Request, Option, Extra));
  return static_cast<uint32_t>(Most);
}

/// Smaller is better.
using Preference = std::tuple<bool, bool, uint32_t, int64_t>;

Preference preferenceOf(const PlacementRequest &Request,
                        const Candidate &Option,
                        const std::map<WorkerKey, uint32_t> &Extra) {
  bool Failed = failedThere(Request, Option);
  bool Far = farFromData(Request, Option);
  // A long-running step is spread, so that a lost worker costs few of its
  // tasks, over workers that serve others already: the rest stay free to move
  // to other pools.
  if (Request.Spec->LongRunning)
    return {Failed, Far, runsOfStep(Request, Option, Extra),
            -static_cast<int64_t>(Option.LongRuns)};
  // Any other step is kept together, and on a worker that it fills: what is
  // left free elsewhere holds the next step whole.
  uint32_t Outside = Request.Remaining - holds(Request, Option, Extra);
  return {Failed, Far, Outside, Option.Free.Cpu};
}

Candidate *best(std::vector<Candidate> &Candidates,
                const PlacementRequest &Request,
                const std::map<WorkerKey, uint32_t> &Extra,
                const std::string &OnlyRack) {
  Candidate *Best = nullptr;
  Preference BestKey;
  for (Candidate &Option : Candidates) {
    if (!OnlyRack.empty() && Option.Worker->Entry.rack() != OnlyRack)
      continue;
    if (!allowed(Request, Option, Extra))
      continue;
    Preference Key = preferenceOf(Request, Option, Extra);
    if (Best != nullptr && !(Key < BestKey))
      continue;
    Best = &Option;
    BestKey = Key;
  }
  return Best;
}

void take(Candidate &Option, const StepSpec &Spec) {
  Option.Free -= Spec.reservedResources();
  ++Option.Runs;
  Option.LongRuns += Spec.LongRunning ? 1 : 0;
}

} // namespace

std::vector<Candidate> candidatesOf(WorkerTable &Table, const std::string &Pool,
                                    const WorkerHealth &Health, Instant Now) {
  std::vector<Candidate> Result;
  const std::map<WorkerKey, TrackedWorker *> &Workers =
      Table.workersInPool(Pool);
  Result.reserve(Workers.size());
  for (const auto &[Key, Worker] : Workers) {
    bool Usable = Worker->IsCommitted && Worker->IsSynced &&
                  Worker->IsReachable && !Worker->Entry.Leaving &&
                  !Worker->IsCordoned;
    if (!Usable || Health.ejected(Key, Now))
      continue;
    Result.push_back({Worker, Worker->freeRoom(), Worker->Runs.size(),
                      Worker->LongRuns, Health.onProbation(Key, Now)});
  }
  return Result;
}

bool PlacementPass::isTooLarge(const Resources &Room) const {
  return std::any_of(
      TooLarge.begin(), TooLarge.end(),
      [&](const Resources &Known) { return Room.canFit(Known); });
}

Candidate *PlacementPass::search(const PlacementRequest &Request) {
  const StepSpec &Spec = *Request.Spec;
  if (isTooLarge(Spec.reservedResources()))
    return nullptr;
  Candidate *Found = best(Candidates, Request, {}, {});
  bool RoomAlone = Spec.RequiredLabel.empty() && Spec.MaxPerWorker == 0 &&
                   !Request.NeedsTicket && Request.Slot->At.empty();
  if (Found == nullptr && RoomAlone)
    TooLarge.push_back(Spec.reservedResources());
  return Found;
}

Candidate *PlacementPass::place(const PlacementRequest &Request) {
  Candidate *Found = Request.Beside;
  bool Stays = Found != nullptr && !Request.Spec->LongRunning &&
               allowed(Request, *Found, {}) && !failedThere(Request, *Found) &&
               !farFromData(Request, *Found);
  if (!Stays)
    Found = search(Request);
  if (Found != nullptr)
    take(*Found, *Request.Spec);
  return Found;
}

std::optional<std::vector<Candidate *>>
PlacementPass::gangOn(const PlacementRequest &Request, size_t Count,
                      const std::string &Rack) {
  std::vector<Candidate> Before = Candidates;
  std::vector<Candidate *> Places;
  std::map<WorkerKey, uint32_t> Extra;
  PlacementRequest Member = Request;
  for (size_t I = 0; I < Count; ++I) {
    Member.Remaining = static_cast<uint32_t>(Count - I);
    Candidate *Found = best(Candidates, Member, Extra, Rack);
    if (Found == nullptr) {
      // In place: others may hold on to the candidates.
      std::copy(Before.begin(), Before.end(), Candidates.begin());
      return std::nullopt;
    }
    take(*Found, *Request.Spec);
    ++Extra[Found->Worker->key()];
    Places.push_back(Found);
  }
  return Places;
}

std::optional<std::vector<Candidate *>>
PlacementPass::placeGang(const PlacementRequest &Request, size_t Count) {
  if (isTooLarge(Request.Spec->reservedResources()))
    return std::nullopt;
  if (Request.Spec->RackLocal) {
    std::map<std::string, int64_t> FreeByRack;
    for (const Candidate &Option : Candidates)
      FreeByRack[Option.Worker->Entry.rack()] += Option.Free.Cpu;
    std::vector<std::pair<int64_t, std::string>> Racks;
    Racks.reserve(FreeByRack.size());
    for (const auto &[Rack, Free] : FreeByRack)
      Racks.emplace_back(-Free, Rack);
    std::sort(Racks.begin(), Racks.end());
    for (const auto &[Free, Rack] : Racks)
      if (auto Places = gangOn(Request, Count, Rack))
        return Places;
  }
  return gangOn(Request, Count, {});
}

} // namespace mimosashunt
