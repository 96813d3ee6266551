#include "Core/ControlCore.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {
/// Beyond the lease that a silent keeper may hold.
constexpr Duration KeeperMargin = seconds(2);
} // namespace

ControlCore::ControlCore(DiskId Disk, ControlVm Self,
                         std::vector<ControlVm> Known,
                         const DurableLog &Durable, ControlOptions Options,
                         TimerService &Timers, uint64_t Seed, LogStore &Store,
                         RaftTransport &Transport, PlatformPort &Platform)
    : Self(std::move(Self)), Known(std::move(Known)), Options(Options),
      Timers(Timers), Store(Store), Transport(Transport), Platform(Platform),
      Log(Disk, Durable, Options.Raft, Timers, Seed),
      Picture(Timers, Options.MaxReportAge), Waves(Options.Waves),
      Keepers(Options.EntryLeaseDuration + KeeperMargin) {
  if (Durable.Base.Index > 0)
    installSnapshot(Durable.Base);
  PumpTimer = Timers.scheduleEvery(Options.LogPollInterval, [this] { pump(); });
  PlanTimer = Timers.scheduleEvery(Options.PlanInterval, [this] { onPlan(); });
  JoinTimer =
      Timers.scheduleEvery(Options.JoinInterval, [this] { askToJoin(); });
}

ControlCore::~ControlCore() {
  Timers.cancel(PumpTimer);
  Timers.cancel(PlanTimer);
  Timers.cancel(JoinTimer);
}

bool ControlCore::bootstrap(const AddOperator &First) {
  if (!Log.bootstrap({Log.self(), Self.Vm, Self.Address}))
    return false;
  pump();
  proposeInternal(First);
  return true;
}

void ControlCore::receive(const RaftMessage &Message) {
  Log.receive(Message);
  pump();
}

void ControlCore::pump() {
  // Elections run from the log's own timers, so every path ends here; a call
  // from within an answer must not start a second pass.
  if (Pumping)
    return;
  Pumping = true;
  while (Log.hasOutput() && !StoreError) {
    RaftOutput Output = Log.takeOutput();
    if (Output.needsSync())
      StoreError = Store.write(Output);
    if (StoreError)
      break;
    Log.onPersisted(Log.lastIndex());
    for (const RaftMessage &Message : Output.Messages)
      sendOut(Message);
    applyCommitted(Output);
  }
  if (Log.role() != RaftRole::Leader) {
    LeadsSince.reset();
    Progress.clear();
    failPending();
  }
  compactIfLong();
  Pumping = false;
}

void ControlCore::applyCommitted(const RaftOutput &Output) {
  if (Output.HasInstalledSnapshot)
    installSnapshot(Output.InstalledSnapshot);
  LogIndex Index = Output.FirstCommittedIndex;
  for (const LogEntry &Entry : Output.CommittedEntries)
    applyEntry(Index++, Entry);
}

void ControlCore::installSnapshot(const Snapshot &Whole) {
  State.restore(Whole.Data);
  LastApplied = Whole.Index;
}

void ControlCore::applyEntry(LogIndex Index, const LogEntry &Entry) {
  LastApplied = Index;
  CommandResult Result;
  if (Entry.Kind == EntryKind::Command) {
    FleetCommand Command;
    if (decodeCommand(Entry.Payload, Command)) {
      Result = State.apply(Command);
      if (OnApplied)
        OnApplied(Command, Result);
    } else {
      Result = {CommandStatus::Invalid, State.revision(), "unknown command"};
    }
  }
  auto Found = Pending.find(Index);
  if (Found == Pending.end())
    return;
  Waiting Done = std::move(Found->second);
  Pending.erase(Found);
  if (Done.AtTerm == Entry.AtTerm)
    Done.Done(Result);
  else
    Done.Done(ResultUnknown{});
}

void ControlCore::failPending() {
  std::map<LogIndex, Waiting> Lost = std::exchange(Pending, {});
  for (auto &[Index, Entry] : Lost)
    Entry.Done(ResultUnknown{});
}

void ControlCore::compactIfLong() {
  if (StoreError || LastApplied < Log.firstIndex() ||
      LastApplied - Log.firstIndex() + 1 < Options.EntriesPerSnapshot)
    return;
  Snapshot Base = Log.compact(LastApplied, State.snapshot());
  StoreError = Store.compact(Base);
}

void ControlCore::submit(const FleetCommand &Command, SubmitCallback Done) {
  LogIndex Index = 0;
  Term AtTerm = Log.term();
  if (StoreError ||
      Log.propose(encodeCommand(Command), Index) != ProposeResult::Accepted) {
    Done(NotLeader{leaderVm()});
    return;
  }
  Pending.emplace(Index, Waiting{AtTerm, std::move(Done)});
  pump();
}

void ControlCore::proposeInternal(FleetAction Action) {
  LogIndex Index = 0;
  FleetCommand Command{{}, {}, std::move(Action)};
  if (Log.propose(encodeCommand(Command), Index) == ProposeResult::Accepted)
    LastInternal = Index;
  pump();
}

std::string ControlCore::leaderVm() const {
  for (const Member &Voter : Log.membership().Voters)
    if (Voter.Disk == Log.leader())
      return Voter.Vm;
  return {};
}

const ControlVm *ControlCore::known(const std::string &Vm) const {
  for (const ControlVm &Item : Known)
    if (Item.Vm == Vm)
      return &Item;
  return nullptr;
}

void ControlCore::sendOut(const RaftMessage &Message) {
  std::string Address = addressOf(Message.To);
  if (!Address.empty())
    return Transport.send(Message, Address);
  // A disk whose log is still empty knows no members; every message names its
  // receiver, so the others drop it.
  for (const ControlVm &Other : Known)
    if (Other.Vm != Self.Vm)
      Transport.send(Message, Other.Address);
}

std::string ControlCore::addressOf(DiskId Disk) const {
  const Membership &Members = Log.membership();
  for (const auto *List : {&Members.Voters, &Members.Learners})
    for (const Member &Item : *List) {
      if (Item.Disk != Disk)
        continue;
      // The settings' address wins, since a VM may have moved.
      const ControlVm *Vm = known(Item.Vm);
      return Vm ? Vm->Address : Item.Address;
    }
  return {};
}

bool ControlCore::quiet() const { return LastInternal <= LastApplied; }

void ControlCore::onPlan() {
  pump();
  if (!Log.holdsLease()) {
    if (Log.role() != RaftRole::Leader)
      Picture.clear();
    return;
  }
  if (!LeadsSince)
    LeadsSince = Timers.now();
  planMembership();
  if (!quiet())
    return;
  Expiring.clear();
  planWaves();
  driveDrains();
  planSlices();
  planKeepers();
  expireRuns();
}

void ControlCore::handleJoinRequest(const Member &New) {
  const ControlVm *Vm = known(New.Vm);
  if (Vm == nullptr || New.Disk == NoDisk)
    return;
  JoinRequests[New.Vm] = {New.Disk, New.Vm, Vm->Address};
}

void ControlCore::askToJoin() {
  pump();
  const Membership &Members = Log.membership();
  if (Members.isVoter(Log.self()) || Members.isLearner(Log.self()))
    return;
  for (const ControlVm &Other : Known)
    if (Other.Vm != Self.Vm)
      Transport.sendJoinRequest({Log.self(), Self.Vm, Self.Address},
                                Other.Address);
}

void ControlCore::planMembership() {
  const Membership Members = Log.membership();
  for (const Member &Learner : Members.Learners) {
    if (!Log.isCaughtUp(Learner.Disk))
      continue;
    // The VM's earlier disk goes first. The learner has the log by then, so
    // the group is short of one member for two commits only.
    for (const Member &Voter : Members.Voters) {
      if (Voter.Vm != Learner.Vm)
        continue;
      Log.removeMember(Voter.Disk);
      pump();
      return;
    }
    Log.promoteLearner(Learner.Disk);
    pump();
    return;
  }
  for (const auto &[Vm, Item] : JoinRequests) {
    if (Members.isVoter(Item.Disk) || Members.isLearner(Item.Disk))
      continue;
    Log.addLearner(Item);
    pump();
    return;
  }
}

void ControlCore::planWaves() {
  WavePlan Plan = Waves.plan(State, Picture);
  Obstacles = std::move(Plan.Obstacles);
  for (GrantDrain &Grant : Plan.Grants)
    proposeInternal(std::move(Grant));
}

std::optional<Duration>
ControlCore::estimateRemainingWaveTime(const std::string &Name) const {
  auto Wave = State.waves().find(Name);
  auto Seen = Progress.find(Name);
  if (Wave == State.waves().end() || Seen == Progress.end())
    return std::nullopt;
  size_t Ended = Wave->second.FinishedVms.size() - Seen->second.DoneAtFirst;
  if (Ended == 0)
    return std::nullopt;
  size_t Left =
      Wave->second.WaitingVms.size() + Wave->second.DrainingVms.size();
  Duration Taken = Timers.now() - Seen->second.FirstDrain;
  return Taken * static_cast<int64_t>(Left) / static_cast<int64_t>(Ended);
}

void ControlCore::driveDrains() {
  for (const auto &[Name, Wave] : State.waves()) {
    if (Wave.hasEnded())
      Progress.erase(Name);
    else if (!Wave.DrainingVms.empty())
      Progress.try_emplace(Name,
                           WaveProgress{Timers.now(), Wave.FinishedVms.size()});
  }
  for (const auto &[Name, Wave] : std::map(State.waves()))
    for (const auto &[Vm, Boots] : Wave.DrainingVms) {
      std::optional<VmStatus> Status = Picture.vmStatus(Vm);
      if (!Status)
        continue;
      bool Rebooted = Status->Boots > Boots;
      if (Status->State == VmState::Up && Rebooted)
        proposeInternal(FinishDrain{Name, Vm});
      else if (Status->State == VmState::Up)
        Platform.drainVm(Vm);
      else if (Status->State == VmState::Drained && !Rebooted)
        Platform.rebootVm(Vm);
    }
}

void ControlCore::planSlices() {
  SlicePlan Plan = Slices.plan(State, Picture);
  WantedSlices = std::move(Plan.Wanted);
  for (GrantSlice &Grant : Plan.Grants)
    proposeInternal(std::move(Grant));
}

void ControlCore::planKeepers() {
  std::optional<FleetAction> Next =
      Keepers.plan(State, Picture, Timers.now(), *LeadsSince);
  if (!Next)
    return;
  if (const auto *Lost = std::get_if<MarkKeeperLost>(&*Next))
    Expiring.insert(Lost->Run);
  proposeInternal(std::move(*Next));
}

void ControlCore::expireRuns() {
  std::set<EntryRun> Runs;
  for (const auto &[Vm, Entry] : State.entryVms())
    if (!Entry.IsExpired)
      Runs.insert({Vm, Entry.Incarnation});
  for (const auto &[Team, Holders] : State.slices())
    for (const auto &[Holder, Slice] : Holders)
      if (auto Run = FleetState::parseHolderName(Holder))
        Runs.insert(*Run);
  for (const EntryRun &Run : Runs) {
    // A run that this leader never heard may have had a lease until it began.
    Instant Last = Picture.lastReportAt(Run).value_or(*LeadsSince);
    if (Timers.now() - std::max(Last, *LeadsSince) > Options.RunExpiryTimeout) {
      Expiring.insert(Run);
      proposeInternal(ExpireRun{Run});
    }
  }
}

void ControlCore::handlePlatformReport(std::map<std::string, VmStatus> Vms) {
  Picture.updateVms(std::move(Vms));
}

EntryReply ControlCore::handleSync(const EntryReport &Report) {
  EntryReply Reply;
  if (!Log.holdsLease()) {
    if (const ControlVm *Leader = known(leaderVm()))
      Reply.LeaderAddress = Leader->Address;
    return Reply;
  }
  auto Found = State.entryVms().find(Report.Run.Vm);
  bool Known = Found != State.entryVms().end();
  bool Same = Known && Found->second.Incarnation == Report.Run.Incarnation;
  if (Known && ((Same && Found->second.IsExpired) ||
                Found->second.Incarnation > Report.Run.Incarnation)) {
    Reply.Status = SyncStatus::RunExpired;
    return Reply;
  }
  if (Expiring.contains(Report.Run)) {
    Reply.Status = SyncStatus::Pending;
    return Reply;
  }
  if (!Same) {
    Reply.Status = SyncStatus::Pending;
    proposeInternal(
        RegisterEntryVm{Report.Run, Report.DataCentre, Report.PeerAddress});
    return Reply;
  }
  Picture.addReport(Report);
  for (const TeamUsage &Usage : Report.Teams) {
    std::optional<SliceRecord> Slice = State.slice(Usage.Team, Report.Run);
    if (Usage.Releasing && Slice && Slice->Version == Usage.SliceVersion &&
        Slice->Count > Usage.Retained)
      proposeInternal(ReleaseSlice{Report.Run, Usage.Team, Usage.SliceVersion,
                                   Usage.Retained});
  }
  return answerFor(Report);
}

EntryReply ControlCore::answerFor(const EntryReport &Report) const {
  EntryReply Reply;
  Reply.Status = SyncStatus::Ok;
  Reply.LeaderAddress = Self.Address;
  Reply.LeaseMillis =
      static_cast<uint32_t>(toMillis(Options.EntryLeaseDuration));
  if (Report.ActiveRevision != State.configurationRevision() ||
      Report.ActiveRevision == 0)
    Reply.Configuration = State.entryConfiguration();
  std::string Holder = FleetState::holderName(Report.Run);
  for (const auto &[Team, Holders] : State.slices()) {
    auto Slice = Holders.find(Holder);
    if (Slice == Holders.end())
      continue;
    auto Wanted = WantedSlices.find({Team, Holder});
    uint32_t Keep = Slice->second.Count;
    if (Wanted != WantedSlices.end())
      Keep = std::min(Keep, Wanted->second);
    Reply.Slices.push_back(
        {Team, Slice->second.Count, Slice->second.Version, Keep});
  }
  for (const auto &[Run, Item] : Picture.latestReports()) {
    if (Run.Vm == Report.Run.Vm)
      continue;
    Duration Age = Timers.now() - Item.ReceivedAt;
    Reply.Peers.push_back(
        {Run.Vm, Item.Report.DataCentre, Item.Report.PeerAddress,
         static_cast<uint32_t>(toMillis(Age)), Item.Report.Services});
  }
  return Reply;
}

} // namespace mimosashunt
