#include "Core/SliceLedger.h"

#include <algorithm>

namespace mimosashunt {

void SliceLedger::updateGrants(const std::vector<SliceGrant> &Grants) {
  for (const SliceGrant &Grant : Grants) {
    Slice &Held = Slices[Grant.Team];
    if (Grant.Version > Held.Version) {
      Held.Granted = Grant.Count;
      Held.Version = Grant.Version;
      Held.Retained = Grant.Count;
      Held.Releasing = false;
    }
    if (Grant.Version != Held.Version)
      continue;
    // Slots of running requests cannot be returned yet. Retained shrinks
    // further as those requests end.
    uint32_t Target = std::max(Grant.Target, Held.Running);
    if (Target >= Held.Retained)
      continue;
    Held.Retained = Target;
    Held.Releasing = true;
  }
}

void SliceLedger::resetGrants() {
  for (auto &[Team, Held] : Slices)
    Held = {0, 0, 0, false, Held.Running};
}

bool SliceLedger::mayStart(const std::string &Team) const {
  auto Found = Slices.find(Team);
  return Found != Slices.end() &&
         Found->second.Running < Found->second.Retained;
}

void SliceLedger::startRequest(const std::string &Team) {
  ++Slices[Team].Running;
}

void SliceLedger::endRequest(const std::string &Team) {
  Slice &Held = Slices[Team];
  if (Held.Running > 0)
    --Held.Running;
}

uint32_t SliceLedger::running(const std::string &Team) const {
  auto Found = Slices.find(Team);
  return Found == Slices.end() ? 0 : Found->second.Running;
}

uint32_t SliceLedger::usable(const std::string &Team) const {
  auto Found = Slices.find(Team);
  return Found == Slices.end() ? 0 : Found->second.Retained;
}

std::vector<TeamUsage>
SliceLedger::usage(const std::map<std::string, uint32_t> &Waiting) const {
  std::map<std::string, TeamUsage> ByTeam;
  for (const auto &[Team, Held] : Slices) {
    TeamUsage &Usage = ByTeam[Team];
    Usage.Running = Held.Running;
    Usage.SliceVersion = Held.Version;
    Usage.Retained = Held.Retained;
    Usage.Releasing = Held.Releasing;
  }
  for (const auto &[Team, Count] : Waiting)
    ByTeam[Team].Waiting = Count;
  std::vector<TeamUsage> Result;
  for (auto &[Team, Usage] : ByTeam) {
    Usage.Team = Team;
    Result.push_back(Usage);
  }
  return Result;
}

} // namespace mimosashunt
