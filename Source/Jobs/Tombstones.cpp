#include "Jobs/Tombstones.h"

#include "Jobs/Limits.h"

#include <algorithm>

namespace mimosashunt {

void Tombstones::add(const Tombstone &Added) {
  // What is read from a log may be any number.
  LogMillis EndsAt = std::min(Added.EndsAt, MaxExactInteger);
  if (EndsAt <= Now)
    return;
  auto Owner = Owners.try_emplace(Added.Owner).first;
  auto [Job, Inserted] = Owner->second.try_emplace(Added.Job, EndsAt);
  if (!Inserted && Job->second >= EndsAt)
    return;
  Job->second = EndsAt;
  Ends.emplace(EndsAt, Place{Owner, Job});
  if (!Inserted)
    return;
  ++CountByOrganisation[Added.Owner.Organisation];
  ++Count;
}

void Tombstones::advance(LogMillis To) {
  Now = std::max(Now, std::min(To, MaxExactInteger));
  while (!Ends.empty() && Ends.begin()->first <= Now) {
    auto [Owner, Job] = Ends.begin()->second;
    bool IsProlonged = Job->second > Ends.begin()->first;
    Ends.erase(Ends.begin());
    if (IsProlonged)
      continue;
    auto Counted = CountByOrganisation.find(Owner->first.Organisation);
    if (--Counted->second == 0)
      CountByOrganisation.erase(Counted);
    --Count;
    Owner->second.erase(Job);
    if (Owner->second.empty())
      Owners.erase(Owner);
  }
}

bool Tombstones::covers(const JobId &Job, const std::string &Queue,
                        const std::string &Organisation) const {
  return endOf({Queue, Organisation}, Job) || endOf({Queue, {}}, Job);
}

std::optional<LogMillis> Tombstones::endOf(const JobOwner &Owner,
                                           const JobId &Job) const {
  auto Found = Owners.find(Owner);
  if (Found == Owners.end())
    return std::nullopt;
  auto Held = Found->second.find(Job);
  if (Held == Found->second.end())
    return std::nullopt;
  return Held->second;
}

std::optional<LogMillis> Tombstones::nextEnd() const {
  if (Ends.empty())
    return std::nullopt;
  return Ends.begin()->first;
}

size_t Tombstones::countOf(const std::string &Organisation) const {
  auto Found = CountByOrganisation.find(Organisation);
  return Found == CountByOrganisation.end() ? 0 : Found->second;
}

} // namespace mimosashunt
