#include "Scheduling/OrganisationShares.h"

#include <algorithm>
#include <cmath>

namespace mimosashunt {

namespace {

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Returns the largest part of the capacity that is used in any dimension.
double dominantShare(const Resources &Used, const Resources &Capacity) {
  auto PartOf = [](int64_t Part, int64_t Whole) {
    return Whole <= 0 ? 0.0
                      : std::max(0.0, static_cast<double>(Part) /
                                          static_cast<double>(Whole));
  };
  return std::max({PartOf(Used.Cpu, Capacity.Cpu),
                   PartOf(Used.MemoryMb, Capacity.MemoryMb),
                   PartOf(Used.Accelerators, Capacity.Accelerators)});
}

double usagePerWeight(const OrganisationShare &Organisation) {
  return Organisation.Usage / Organisation.Weight;
}

} // namespace

void OrganisationShares::setConfiguration(
    const ServiceConfiguration &Configuration) {
  // Jobs of public queues have no organisation and therefore no weight; they
  // count as one organisation of the default weight.
  Weights = {{std::string(), OrganisationConfiguration().Weight}};
  for (const OrganisationConfiguration &Entry : Configuration.Organisations) {
    // Not a number compares false, too.
    bool IsUsable =
        Entry.Weight > MinOrganisationWeight && std::isfinite(Entry.Weight);
    Weights[Entry.Name] = IsUsable ? Entry.Weight : MinOrganisationWeight;
  }
  for (OrganisationShare &Organisation : Organisations)
    Organisation.Weight = weightOf(Organisation.Name);
}

double OrganisationShares::weightOf(const std::string &Name) const {
  auto It = Weights.find(Name);
  return It == Weights.end() ? MinOrganisationWeight : It->second;
}

size_t OrganisationShares::indexOf(const std::string &Name) {
  auto [It, IsNew] = Indices.try_emplace(Name, Organisations.size());
  if (IsNew) {
    OrganisationShare &Added = Organisations.emplace_back();
    Added.Name = Name;
    Added.Weight = weightOf(Name);
    Timings.emplace_back();
  }
  return It->second;
}

void OrganisationShares::restore(const RecordUsage &Recorded, UnixMillis Now) {
  // The clock of this VM may be behind that of the earlier leader's.
  double AgeMs = std::max(0.0, static_cast<double>(Now) -
                                   static_cast<double>(Recorded.At));
  constexpr double MillisPerSecond = 1000;
  double Remaining =
      std::exp(-AgeMs / MillisPerSecond / toSeconds(Options.History));
  for (const OrganisationUsage &Entry : Recorded.Organisations) {
    OrganisationShare &Organisation =
        Organisations[indexOf(Entry.Organisation)];
    double Usage = Entry.Usage * Organisation.Weight * Remaining;
    // No organisation can have used more than everything for the whole history.
    Organisation.Usage =
        std::isfinite(Usage)
            ? std::clamp(Usage, 0.0, toSeconds(Options.History))
            : 0;
  }
}

RecordUsage OrganisationShares::record(UnixMillis Now) const {
  constexpr double MinRecorded = 1e-4;
  RecordUsage Result;
  Result.At = Now;
  for (const OrganisationShare &Organisation : Organisations)
    if (Organisation.Usage > MinRecorded)
      Result.Organisations.push_back(
          {Organisation.Name, usagePerWeight(Organisation)});
  return Result;
}

void OrganisationShares::resetJobCounts() {
  for (OrganisationShare &Organisation : Organisations)
    Organisation.WaitingJobs = Organisation.RunningJobs =
        Organisation.JobsBeyondRate = 0;
}

void OrganisationShares::countJob(size_t Index, bool Waits, bool Runs,
                                  bool IsBeyondRate) {
  OrganisationShare &Organisation = Organisations[Index];
  Organisation.WaitingJobs += Waits ? 1 : 0;
  Organisation.RunningJobs += Runs ? 1 : 0;
  Organisation.JobsBeyondRate += IsBeyondRate ? 1 : 0;
}

bool OrganisationShares::hasWaitingJobs() const {
  return std::any_of(Organisations.begin(), Organisations.end(),
                     [](const OrganisationShare &Organisation) {
                       return Organisation.WaitingJobs > 0;
                     });
}

void OrganisationShares::decayUsage(
    Instant Now, const Resources &Capacity,
    const std::function<Resources(const std::string &)> &UsedBy) {
  Duration Elapsed =
      std::max(Duration::zero(), UpdatedAt ? Now - *UpdatedAt : Duration());
  UpdatedAt = Now;
  double History = toSeconds(Options.History);
  double Remaining = std::exp(-toSeconds(Elapsed) / History);
  for (OrganisationShare &Organisation : Organisations) {
    double Used = dominantShare(UsedBy(Organisation.Name), Capacity);
    Organisation.Usage =
        Organisation.Usage * Remaining + Used * History * (1 - Remaining);
  }
}

void OrganisationShares::updateWaiting(Instant Now) {
  for (size_t I = 0; I < Organisations.size(); ++I) {
    if (Organisations[I].WaitingJobs == 0) {
      Timings[I].WaitingSince.reset();
      continue;
    }
    Timings[I].LastWaitingAt = Now;
    if (!Timings[I].WaitingSince)
      Timings[I].WaitingSince = Now;
  }
}

double OrganisationShares::computeFairLevel(Instant Now) const {
  // Max-min fairness: who needs less than its share leaves the rest of it to
  // the others, by their weights.
  double Usage = 0;
  double Weight = 0;
  size_t Remaining = 0;
  std::vector<const OrganisationShare *> Lenders;
  for (size_t I = 0; I < Organisations.size(); ++I) {
    const OrganisationShare &Organisation = Organisations[I];
    if (!Organisation.hasWork())
      continue;
    Usage += Organisation.Usage;
    Weight += Organisation.Weight;
    ++Remaining;
    const std::optional<Instant> &Last = Timings[I].LastWaitingAt;
    if (!Last || Now - *Last > Options.LendingDelay)
      Lenders.push_back(&Organisation);
  }
  std::sort(Lenders.begin(), Lenders.end(),
            [](const OrganisationShare *A, const OrganisationShare *B) {
              return usagePerWeight(*A) < usagePerWeight(*B);
            });
  for (const OrganisationShare *Lender : Lenders) {
    if (Remaining <= 1 || usagePerWeight(*Lender) >= Usage / Weight)
      break;
    Usage -= Lender->Usage;
    Weight -= Lender->Weight;
    --Remaining;
  }
  return Remaining == 0 ? 0 : Usage / Weight;
}

bool OrganisationShares::isOverlooked(size_t Index, Instant Now) const {
  const Timing &Times = Timings[Index];
  return Times.WaitingSince &&
         Now - std::max(*Times.WaitingSince, Times.LastStartAt) >=
             Options.MaxOverlooked;
}

bool OrganisationShares::isOver(const OrganisationShare &Organisation,
                                double FairUsage, double MeanJobUsage) const {
  bool WasOver = Organisation.Level == ShareLevel::Over;
  double Deviation = std::sqrt(FairUsage * std::max(MeanJobUsage, 0.0));
  double Tolerated =
      Options.ToleratedDeviations * Deviation * (WasOver ? 0.5 : 1.0);
  return Organisation.Usage >
         FairUsage * (WasOver ? Options.WithinBelow : Options.ExceededAbove) +
             Tolerated;
}

std::vector<ShareChange> OrganisationShares::update(
    Instant Now, const Resources &Capacity,
    const std::function<Resources(const std::string &)> &UsedBy,
    double MeanJobUsage) {
  decayUsage(Now, Capacity, UsedBy);
  updateWaiting(Now);
  double FairLevel = computeFairLevel(Now);
  std::vector<ShareChange> Changes;
  for (size_t I = 0; I < Organisations.size(); ++I) {
    OrganisationShare &Organisation = Organisations[I];
    bool HasLevel = Organisation.hasWork() && FairLevel > 0;
    Organisation.UsageOverShare =
        HasLevel ? usagePerWeight(Organisation) / FairLevel : 0;
    bool IsOver =
        HasLevel &&
        isOver(Organisation, FairLevel * Organisation.Weight, MeanJobUsage);
    Organisation.Level = IsOver                 ? ShareLevel::Over
                         : isOverlooked(I, Now) ? ShareLevel::Overlooked
                                                : ShareLevel::Within;
    // Without waiting jobs it makes no difference to the organisation.
    bool &IsReported = Timings[I].IsExceededReported;
    bool IsExceeded = IsOver && (IsReported || Organisation.WaitingJobs > 0);
    if (IsExceeded != IsReported)
      Changes.push_back({I, IsExceeded});
    IsReported = IsExceeded;
  }
  return Changes;
}

void OrganisationShares::recordStart(size_t Index, Instant Now) {
  Timings[Index].LastStartAt = Now;
  if (Organisations[Index].Level == ShareLevel::Overlooked)
    Organisations[Index].Level = ShareLevel::Within;
}

double OrganisationShares::share(size_t Index) const {
  double Sum = 0;
  for (const OrganisationShare &Organisation : Organisations)
    Sum += Organisation.hasWork() ? Organisation.Weight : 0;
  return Organisations[Index].hasWork() ? Organisations[Index].Weight / Sum : 0;
}

} // namespace mimosashunt
