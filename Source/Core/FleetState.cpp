// Applies commands to the replicated fleet state. Every decision here depends
// on the state and the command alone, so all control VMs agree.

#include "Core/FleetState.h"

#include "Core/Hash.h"

#include <algorithm>
#include <charconv>
#include <exception>
#include <utility>

namespace mimosashunt {

namespace {

CommandResult refuse(CommandStatus Status, Revision At, std::string Detail) {
  return {Status, At, std::move(Detail)};
}

uint64_t hashAction(const FleetAction &Action) {
  std::vector<uint8_t> Bytes = Json::to_cbor(kindToJson(Action));
  return hashBytes(
      {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()});
}

} // namespace

CommandResult FleetState::apply(const FleetCommand &Command) {
  auto ApplyAction = [this](const auto &Action) { return applyAction(Action); };
  if (Command.OperationId.empty())
    return std::visit(ApplyAction, Command.Action);
  uint64_t Hash = hashAction(Command.Action);
  auto Recorded = Operations.find(Command.OperationId);
  if (Recorded != Operations.end()) {
    if (Recorded->second.ActionHash == Hash)
      return Recorded->second.Result;
    return refuse(CommandStatus::OperationIdReused, LatestRevision,
                  "the operation id was used for another action");
  }
  CommandResult Result = std::visit(ApplyAction, Command.Action);
  recordOperation(Command.OperationId, {Hash, Result});
  return Result;
}

void FleetState::recordOperation(const std::string &Id,
                                 const OperationRecord &Record) {
  Operations.emplace(Id, Record);
  OperationOrder.push_back(Id);
  if (OperationOrder.size() <= MaxOperationRecords)
    return;
  Operations.erase(OperationOrder.front());
  OperationOrder.pop_front();
}

CommandResult FleetState::acceptChange() {
  return {CommandStatus::Accepted, ++LatestRevision, {}};
}

CommandResult FleetState::acceptConfigurationChange() {
  CommandResult Result = acceptChange();
  LatestConfigurationRevision = LatestRevision;
  return Result;
}

CommandResult FleetState::applyAction(const ApplyDocument &Action) {
  const TeamDocument &New = Action.Document;
  if (New.Team.empty() || New.Services.size() > 1)
    return refuse(CommandStatus::Invalid, 0,
                  "a document names its team and at most one service");
  auto Found = Documents.find(New.Team);
  Revision CurrentRevision =
      Found == Documents.end() ? 0 : Found->second.ChangedRevision;
  if (CurrentRevision != Action.Expected)
    return refuse(CommandStatus::Conflict, CurrentRevision,
                  "the document has another revision");
  for (const auto &[Team, Record] : Documents)
    for (const ServiceSpec &Other : Record.Document.Services)
      for (const ServiceSpec &Own : New.Services)
        if (Team != New.Team && Other.Name == Own.Name)
          return refuse(CommandStatus::Conflict, Record.ChangedRevision,
                        "another team owns the service " + Own.Name);
  CommandResult Result = acceptConfigurationChange();
  Documents[New.Team] = {New, Result.AtRevision};
  return Result;
}

CommandResult FleetState::applyAction(const RemoveDocument &Action) {
  auto Found = Documents.find(Action.Team);
  if (Found == Documents.end())
    return refuse(CommandStatus::NotFound, 0, "no such document");
  if (Found->second.ChangedRevision != Action.Expected)
    return refuse(CommandStatus::Conflict, Found->second.ChangedRevision,
                  "the document has another revision");
  Documents.erase(Found);
  return acceptConfigurationChange();
}

CommandResult FleetState::applyAction(const GrantKey &Action) {
  if (!Documents.contains(Action.Team))
    return refuse(CommandStatus::NotFound, 0, "the team has no document");
  if (WithdrawnKeys.contains(Action.Digest))
    return refuse(CommandStatus::Conflict, LatestRevision,
                  "the key was withdrawn");
  auto Found = Keys.find(Action.Digest);
  if (Found != Keys.end())
    return refuse(CommandStatus::Conflict, Found->second.GrantedRevision,
                  "the key is granted already");
  CommandResult Result = acceptConfigurationChange();
  Keys[Action.Digest] = {Action.Team, Result.AtRevision};
  return Result;
}

CommandResult FleetState::applyAction(const WithdrawKey &Action) {
  if (WithdrawnKeys.contains(Action.Digest))
    return {CommandStatus::Accepted, LatestRevision, "withdrawn before"};
  if (Keys.erase(Action.Digest) == 0)
    return refuse(CommandStatus::NotFound, 0, "no such key");
  WithdrawnKeys.insert(Action.Digest);
  return acceptConfigurationChange();
}

CommandResult FleetState::applyAction(const AddOperator &Action) {
  for (const auto &[Digest, Name] : Operators)
    if (Name == Action.Name && Digest != Action.Digest)
      return refuse(CommandStatus::Conflict, LatestRevision,
                    "the name is taken");
  Operators[Action.Digest] = Action.Name;
  return acceptChange();
}

CommandResult FleetState::applyAction(const RemoveOperator &Action) {
  if (Operators.size() == 1 && Operators.begin()->second == Action.Name)
    return refuse(CommandStatus::Invalid, LatestRevision,
                  "the last operator cannot be removed");
  auto Erased = std::erase_if(
      Operators, [&](const auto &Item) { return Item.second == Action.Name; });
  if (Erased == 0)
    return refuse(CommandStatus::NotFound, 0, "no such operator");
  return acceptChange();
}

CommandResult FleetState::applyAction(const CreatePool &Action) {
  auto Found = Pools.find(Action.Pool);
  if (Found != Pools.end())
    return refuse(CommandStatus::Conflict, Found->second.ChangedRevision,
                  "the pool exists already");
  CommandResult Result = acceptChange();
  Pools[Action.Pool] = {Action.IsSpare, Result.AtRevision};
  return Result;
}

CommandResult FleetState::applyAction(const AddVm &Action) {
  if (!Pools.contains(Action.Pool))
    return refuse(CommandStatus::NotFound, 0, "no such pool");
  auto Found = Vms.find(Action.Vm);
  if (Found != Vms.end())
    return refuse(CommandStatus::Conflict, Found->second.ChangedRevision,
                  "the VM is in pool " + Found->second.Pool);
  CommandResult Result = acceptChange();
  Vms[Action.Vm] = {Action.Pool, Action.DataCentre, Action.Rack,
                    Result.AtRevision};
  return Result;
}

CommandResult FleetState::applyAction(const MoveVm &Action) {
  auto Found = Vms.find(Action.Vm);
  if (Found == Vms.end() || !Pools.contains(Action.To))
    return refuse(CommandStatus::NotFound, 0, "no such VM or pool");
  if (Found->second.Pool != Action.From)
    return refuse(CommandStatus::Conflict, Found->second.ChangedRevision,
                  "the VM is in pool " + Found->second.Pool);
  if (drainingVms().contains(Action.Vm))
    return refuse(CommandStatus::Conflict, Found->second.ChangedRevision,
                  "a maintenance wave is draining the VM");
  CommandResult Result = acceptChange();
  Found->second.Pool = Action.To;
  Found->second.ChangedRevision = Result.AtRevision;
  return Result;
}

CommandResult FleetState::applyAction(const AnnounceWave &Action) {
  auto Found = Waves.find(Action.Wave);
  if (Found != Waves.end())
    return refuse(CommandStatus::Conflict, Found->second.AnnouncedRevision,
                  "the wave exists already");
  WaveRecord Wave;
  for (const std::string &Vm : Action.Vms) {
    if (!Vms.contains(Vm))
      return refuse(CommandStatus::NotFound, 0, "no such VM: " + Vm);
    Wave.WaitingVms.insert(Vm);
  }
  if (Wave.WaitingVms.empty())
    return refuse(CommandStatus::Invalid, 0, "a wave names at least one VM");
  for (const auto &[Name, Other] : Waves)
    for (const std::string &Vm : Wave.WaitingVms)
      if (Other.WaitingVms.contains(Vm) || Other.DrainingVms.contains(Vm))
        return refuse(
            CommandStatus::Conflict, Other.AnnouncedRevision,
            std::string("VM ").append(Vm).append(" is in wave ").append(Name));
  CommandResult Result = acceptChange();
  Wave.AnnouncedRevision = Result.AtRevision;
  Waves[Action.Wave] = std::move(Wave);
  return Result;
}

CommandResult FleetState::applyAction(const CancelWave &Action) {
  auto Found = Waves.find(Action.Wave);
  if (Found == Waves.end())
    return refuse(CommandStatus::NotFound, 0, "no such wave");
  Found->second.WaitingVms.clear();
  return acceptChange();
}

CommandResult FleetState::applyAction(const GrantDrain &Action) {
  auto Found = Waves.find(Action.Wave);
  if (Found == Waves.end() || Found->second.WaitingVms.erase(Action.Vm) == 0)
    return refuse(CommandStatus::Conflict, LatestRevision,
                  "the VM does not wait");
  Found->second.DrainingVms.emplace(Action.Vm, Action.Boots);
  return acceptConfigurationChange();
}

CommandResult FleetState::applyAction(const FinishDrain &Action) {
  auto Found = Waves.find(Action.Wave);
  if (Found == Waves.end() || Found->second.DrainingVms.erase(Action.Vm) == 0)
    return refuse(CommandStatus::Conflict, LatestRevision,
                  "the VM is not drained");
  Found->second.FinishedVms.insert(Action.Vm);
  return acceptConfigurationChange();
}

bool FleetState::isCurrentRun(const EntryRun &Run) const {
  auto Found = EntryVms.find(Run.Vm);
  return Found != EntryVms.end() &&
         Found->second.Incarnation == Run.Incarnation &&
         !Found->second.IsExpired;
}

CommandResult FleetState::applyAction(const RegisterEntryVm &Action) {
  auto Found = EntryVms.find(Action.Run.Vm);
  bool IsRegistered = Found != EntryVms.end();
  bool IsSameRun =
      IsRegistered && Found->second.Incarnation == Action.Run.Incarnation;
  if (IsSameRun && !Found->second.IsExpired)
    return {CommandStatus::Accepted, LatestRevision, "registered before"};
  if (IsSameRun)
    return refuse(CommandStatus::Conflict, LatestRevision,
                  "the run has expired");
  // Incarnations increase, so a delayed registration of an earlier run is
  // refused.
  if (IsRegistered && Found->second.Incarnation > Action.Run.Incarnation)
    return refuse(CommandStatus::Conflict, LatestRevision,
                  "a later run registered");
  EntryVms[Action.Run.Vm] = {Action.Run.Incarnation, Action.DataCentre,
                             Action.PeerAddress, false};
  return acceptChange();
}

CommandResult FleetState::applyAction(const GrantSlice &Action) {
  auto Document = Documents.find(Action.Team);
  if (Document == Documents.end() || !isCurrentRun(Action.Run))
    return refuse(CommandStatus::NotFound, 0, "no such team or run");
  uint64_t Sum = uint64_t(sliceTotal(Action.Team)) + Action.Amount;
  if (Sum > Document->second.Document.Limit)
    return refuse(CommandStatus::Conflict, LatestRevision,
                  "above the team's limit");
  CommandResult Result = acceptChange();
  SliceRecord &Slice = Slices[Action.Team][holderName(Action.Run)];
  Slice.Count += Action.Amount;
  Slice.Version = Result.AtRevision;
  return Result;
}

CommandResult FleetState::applyAction(const ReleaseSlice &Action) {
  auto Team = Slices.find(Action.Team);
  if (Team == Slices.end())
    return refuse(CommandStatus::NotFound, 0, "no such slice");
  auto Found = Team->second.find(holderName(Action.Run));
  if (Found == Team->second.end() || Found->second.Version != Action.Version ||
      Found->second.Count < Action.Retained)
    return refuse(CommandStatus::Conflict, LatestRevision,
                  "the slice has changed");
  CommandResult Result = acceptChange();
  Found->second = {Action.Retained, Result.AtRevision};
  return Result;
}

CommandResult FleetState::applyAction(const ExpireRun &Action) {
  std::string Holder = holderName(Action.Run);
  size_t ReturnedSlices = 0;
  for (auto &[Team, Holders] : Slices)
    ReturnedSlices += Holders.erase(Holder);
  bool Current = isCurrentRun(Action.Run);
  if (Current)
    EntryVms[Action.Run.Vm].IsExpired = true;
  if (ReturnedSlices == 0 && !Current)
    return refuse(CommandStatus::NotFound, 0, "no such run");
  return acceptChange();
}

CommandResult FleetState::applyAction(const SetKeepers &Action) {
  if (Action.Epoch != Keepers.Epoch + 1)
    return refuse(CommandStatus::Conflict, LatestRevision,
                  "another epoch is present");
  Keepers.Epoch = Action.Epoch;
  Keepers.Previous = std::exchange(Keepers.Current, Action.Keepers);
  std::erase_if(Keepers.Lost, [this](const EntryRun &Run) {
    return !Keepers.isPreviousKeeper(Run);
  });
  return acceptConfigurationChange();
}

CommandResult FleetState::applyAction(const MarkKeeperLost &Action) {
  if (Action.Epoch != Keepers.Epoch)
    return refuse(CommandStatus::Conflict, LatestRevision,
                  "another epoch is present");
  Keepers.Lost.insert(Action.Run);
  return acceptConfigurationChange();
}

std::optional<std::string>
FleetState::operatorName(const KeyDigest &Digest) const {
  auto Found = Operators.find(Digest);
  if (Found == Operators.end())
    return std::nullopt;
  return Found->second;
}

std::set<std::string> FleetState::drainingVms() const {
  std::set<std::string> Result;
  for (const auto &[Name, Wave] : Waves)
    for (const auto &[Vm, Boots] : Wave.DrainingVms)
      Result.insert(Vm);
  return Result;
}

uint32_t FleetState::sliceTotal(const std::string &Team) const {
  auto Found = Slices.find(Team);
  uint32_t Sum = 0;
  if (Found != Slices.end())
    for (const auto &[Holder, Slice] : Found->second)
      Sum += Slice.Count;
  return Sum;
}

std::optional<SliceRecord> FleetState::slice(const std::string &Team,
                                             const EntryRun &Run) const {
  auto Found = Slices.find(Team);
  if (Found == Slices.end())
    return std::nullopt;
  auto Held = Found->second.find(holderName(Run));
  if (Held == Found->second.end())
    return std::nullopt;
  return Held->second;
}

std::string FleetState::holderName(const EntryRun &Run) {
  return Run.Vm + "#" + std::to_string(Run.Incarnation);
}

std::optional<EntryRun> FleetState::parseHolderName(const std::string &Name) {
  size_t Separator = Name.rfind('#');
  if (Separator == std::string::npos)
    return std::nullopt;
  EntryRun Run{Name.substr(0, Separator), 0};
  const char *End = Name.data() + Name.size();
  auto Parsed =
      std::from_chars(Name.data() + Separator + 1, End, Run.Incarnation);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Run;
}

EntryConfiguration FleetState::entryConfiguration() const {
  EntryConfiguration Result;
  Result.AtRevision = LatestConfigurationRevision;
  for (const auto &[Team, Record] : Documents)
    Result.Documents.emplace(Team, Record.Document);
  for (const auto &[Digest, Record] : Keys)
    Result.Keys.emplace(Digest, Record.Team);
  Result.DrainingVms = drainingVms();
  Result.Keepers = Keepers;
  return Result;
}

std::string FleetState::snapshot() const {
  std::vector<uint8_t> Bytes = Json::to_cbor(Json(*this));
  return {Bytes.begin(), Bytes.end()};
}

bool FleetState::restore(const std::string &Bytes) {
  try {
    FleetState Restored = readCbor(Bytes).get<FleetState>();
    *this = std::move(Restored);
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace mimosashunt
