#include "Control/FleetView.h"

#include <iomanip>
#include <sstream>

namespace mimosashunt {

namespace {

constexpr size_t KeyIdDigits = 12;
constexpr int DiskIdDigits = 16;

std::string stateName(VmState State) {
  switch (State) {
  case VmState::Up:
    return "up";
  case VmState::Draining:
    return "draining";
  case VmState::Drained:
    return "drained";
  case VmState::Rebooting:
    return "rebooting";
  case VmState::Down:
    return "down";
  }
  return "unknown";
}

// Disk ids are sent as text because JavaScript numbers cannot hold 64 bits
// exactly and would lose the last digits.
std::string formatDiskId(DiskId Disk) {
  std::ostringstream Out;
  Out << std::hex << std::setw(DiskIdDigits) << std::setfill('0') << Disk;
  return Out.str();
}

Json vmsView(const ControlCore &Core) {
  Json Result = Json::array();
  std::set<std::string> Draining = Core.state().drainingVms();
  for (const auto &[Name, Vm] : Core.state().vms()) {
    std::optional<VmStatus> Status = Core.fleetStatus().vmStatus(Name);
    Result.push_back({{"vm", Name},
                      {"pool", Vm.Pool},
                      {"dataCentre", Vm.DataCentre},
                      {"rack", Vm.Rack},
                      {"state", Status ? stateName(Status->State) : "unknown"},
                      {"inWave", Draining.contains(Name)}});
  }
  return Result;
}

Json servicesView(const ControlCore &Core) {
  Json Result = Json::array();
  std::set<std::string> Draining = Core.state().drainingVms();
  LiveInstances Instances = Core.fleetStatus().liveInstances();
  for (const auto &[Team, Record] : Core.state().documents())
    for (const ServiceSpec &Service : Record.Document.Services) {
      uint32_t Live = 0;
      for (const auto &[Vm, Count] : Instances.byVm(Service.Name))
        Live += Draining.contains(Vm) ? 0 : Count;
      Result.push_back({{"service", Service.Name},
                        {"team", Team},
                        {"instances", Service.Instances},
                        {"required", Service.requiredInstances()},
                        {"live", Live}});
    }
  return Result;
}

Json teamsView(const ControlCore &Core) {
  std::map<std::string, uint32_t> Running;
  std::map<std::string, uint32_t> Waiting;
  for (const auto &[Run, Latest] : Core.fleetStatus().latestReports()) {
    if (!Core.fleetStatus().isFresh(Latest))
      continue;
    for (const TeamUsage &Usage : Latest.Report.Teams) {
      Running[Usage.Team] += Usage.Running;
      Waiting[Usage.Team] += Usage.Waiting;
    }
  }
  Json Result = Json::array();
  for (const auto &[Team, Record] : Core.state().documents())
    Result.push_back({{"team", Team},
                      {"share", Record.Document.Share},
                      {"limit", Record.Document.Limit},
                      {"sliced", Core.state().sliceTotal(Team)},
                      {"running", Running[Team]},
                      {"waiting", Waiting[Team]}});
  return Result;
}

Json votersView(const ControlCore &Core, Instant Now) {
  Json Result = Json::array();
  const Membership &Members = Core.raft().membership();
  auto AddMember = [&](const Member &Replica, const char *Role) {
    Json Out = {{"vm", Replica.Vm},
                {"role", Role},
                {"disk", formatDiskId(Replica.Disk)}};
    Out["leads"] = Replica.Disk == Core.raft().leader();
    if (Replica.Disk == Core.raft().self())
      Out["silentMillis"] = 0;
    else if (auto LastReply = Core.raft().lastReplyTime(Replica.Disk))
      Out["silentMillis"] = toMillis(Now - *LastReply);
    else
      Out["silentMillis"] = nullptr;
    Result.push_back(std::move(Out));
  };
  // An uncommitted membership change, and with it the new voter, may still be
  // lost. Voters are shown as changing until then, so that operators do not
  // remove the next VM too early.
  bool IsCommitted = Core.raft().isMembershipCommitted();
  for (const Member &Voter : Members.Voters)
    AddMember(Voter, IsCommitted ? "voter" : "changing");
  for (const Member &Learner : Members.Learners)
    AddMember(Learner, "learner");
  return Result;
}

} // namespace

Json inForceView(const ControlCore &Core, Instant Now) {
  Json Entries = Json::array();
  for (const auto &[Vm, Entry] : Core.state().entryVms()) {
    Json Out = {{"vm", Vm},
                {"dataCentre", Entry.DataCentre},
                {"revision", nullptr},
                {"ageMillis", nullptr},
                {"reachable", false}};
    auto LastReport =
        Core.fleetStatus().latestReports().find({Vm, Entry.Incarnation});
    if (LastReport != Core.fleetStatus().latestReports().end()) {
      Out["revision"] = LastReport->second.Report.ActiveRevision;
      Out["ageMillis"] = toMillis(Now - LastReport->second.ReceivedAt);
      Out["reachable"] = Core.fleetStatus().isFresh(LastReport->second);
    }
    Entries.push_back(std::move(Out));
  }
  return {{"revision", Core.state().configurationRevision()},
          {"entries", std::move(Entries)}};
}

Json documentsView(const FleetState &State) {
  Json Result = Json::array();
  for (const auto &[Team, Record] : State.documents())
    Result.push_back(Record);
  return Result;
}

Json keysView(const FleetState &State) {
  Json Result = Json::array();
  for (const auto &[Digest, Record] : State.keys())
    Result.push_back({{"id", Digest.substr(0, KeyIdDigits)},
                      {"team", Record.Team},
                      {"granted", Record.GrantedRevision}});
  return Result;
}

Json wavesView(const ControlCore &Core) {
  Json Result = Json::array();
  for (const auto &[Name, Wave] : Core.state().waves()) {
    Json Draining = Json::array();
    for (const auto &[Vm, Boots] : Wave.DrainingVms)
      Draining.push_back(Vm);
    Json Obstacles = Json::array();
    for (const WaveObstacle &Obstacle : Core.obstacles())
      if (Obstacle.Wave == Name)
        Obstacles.push_back({{"vm", Obstacle.Vm}, {"reason", Obstacle.Reason}});
    Json Out = {{"wave", Name},
                {"announced", Wave.AnnouncedRevision},
                {"waiting", Wave.WaitingVms},
                {"draining", std::move(Draining)},
                {"done", Wave.FinishedVms},
                {"ended", Wave.hasEnded()},
                {"obstacles", std::move(Obstacles)}};
    if (auto RemainingTime = Core.estimateRemainingWaveTime(Name))
      Out["forecastMillis"] = toMillis(*RemainingTime);
    else
      Out["forecastMillis"] = nullptr;
    Result.push_back(std::move(Out));
  }
  return Result;
}

Json fleetView(const ControlCore &Core, Instant Now) {
  Json Result = inForceView(Core, Now);
  Result["leader"] = Core.leaderVm();
  Result["leads"] = Core.isLeader();
  Result["vms"] = vmsView(Core);
  Result["services"] = servicesView(Core);
  Result["teams"] = teamsView(Core);
  Result["waves"] = wavesView(Core);
  Result["control"] = votersView(Core, Now);
  auto Age = Core.fleetStatus().platformAge();
  Result["platformAgeMillis"] = Age ? Json(toMillis(*Age)) : Json();
  return Result;
}

} // namespace mimosashunt
