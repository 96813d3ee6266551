#include "Core/SliceLedger.h"

#include <algorithm>

namespace mimosashunt {

void SliceLedger::update(const std::vector<SliceGrant> &Grants) {
  for (const SliceGrant &Grant : Grants) {
    Slice &Item = Slices[Grant.Team];
    if (Grant.Version > Item.Version) {
      Item.Granted = Grant.Count;
      Item.Version = Grant.Version;
      Item.Keep = Grant.Count;
      Item.Releases = false;
    }
    if (Grant.Version != Item.Version)
      continue;
    // What runs already cannot be given back; the promise shrinks as it ends.
    uint32_t Wanted = std::max(Grant.Target, Item.Running);
    if (Wanted >= Item.Keep)
      continue;
    Item.Keep = Wanted;
    Item.Releases = true;
  }
}

void SliceLedger::reset() {
  for (auto &[Team, Item] : Slices)
    Item = {0, 0, 0, false, Item.Running};
}

bool SliceLedger::mayStart(const std::string &Team) const {
  auto Found = Slices.find(Team);
  return Found != Slices.end() && Found->second.Running < Found->second.Keep;
}

void SliceLedger::startRequest(const std::string &Team) {
  ++Slices[Team].Running;
}

void SliceLedger::endRequest(const std::string &Team) {
  Slice &Item = Slices[Team];
  if (Item.Running > 0)
    --Item.Running;
}

uint32_t SliceLedger::running(const std::string &Team) const {
  auto Found = Slices.find(Team);
  return Found == Slices.end() ? 0 : Found->second.Running;
}

uint32_t SliceLedger::usable(const std::string &Team) const {
  auto Found = Slices.find(Team);
  return Found == Slices.end() ? 0 : Found->second.Keep;
}

std::vector<TeamUsage>
SliceLedger::usage(const std::map<std::string, uint32_t> &Waiting) const {
  std::map<std::string, TeamUsage> ByTeam;
  for (const auto &[Team, Item] : Slices) {
    TeamUsage &Usage = ByTeam[Team];
    Usage.Running = Item.Running;
    Usage.SliceVersion = Item.Version;
    Usage.Retained = Item.Keep;
    Usage.Releasing = Item.Releases;
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
