// Implements the decision core of a control VM: log handling, planning passes
// on the leader, and replies to entry VMs.

#include "Core/ControlCore.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {
/// Added to the entry lease before a silent keeper counts as lost.
constexpr Duration KeeperLossMargin = seconds(2);
} // namespace

ControlCore::ControlCore(DiskId Disk, ControlVm Self,
                         std::vector<ControlVm> ConfiguredVms,
                         const DurableLog &Durable, ControlOptions Options,
                         TimerService &Timers, uint64_t Seed, LogStore &Store,
                         RaftTransport &Transport, PlatformPort &Platform)
    : Self(std::move(Self)), ConfiguredVms(std::move(ConfiguredVms)),
      Options(Options), Timers(Timers), Store(Store), Transport(Transport),
      Platform(Platform), RaftNode(Disk, Durable, Options.Raft, Timers, Seed),
      Changer(Options.Membership, RaftNode, Timers),
      LatestStatus(Timers, Options.MaxReportAge), Waves(Options.Waves),
      Keepers(Options.EntryLeaseDuration + KeeperLossMargin) {
  if (Durable.Base.Index > 0)
    installSnapshot(Durable.Base);
  LogPollTimer = Timers.scheduleEvery(Options.LogPollInterval,
                                      [this] { processRaftOutput(); });
  PlanTimer =
      Timers.scheduleEvery(Options.PlanInterval, [this] { onPlanTimer(); });
  JoinTimer =
      Timers.scheduleEvery(Options.JoinInterval, [this] { requestJoin(); });
}

ControlCore::~ControlCore() {
  Timers.cancel(LogPollTimer);
  Timers.cancel(PlanTimer);
  Timers.cancel(JoinTimer);
}

bool ControlCore::bootstrap(const AddOperator &First) {
  if (!RaftNode.bootstrap({RaftNode.self(), Self.Vm, Self.Address}))
    return false;
  processRaftOutput();
  proposeAction(First);
  return true;
}

void ControlCore::receive(const RaftMessage &Message) {
  // A snapshot that cannot be read must not replace what is stored.
  const auto *Received = std::get_if<SnapshotRequest>(&Message.Body);
  if (Received != nullptr && !FleetState().restore(Received->Content.Data))
    return;
  RaftNode.receive(Message);
  processRaftOutput();
}

void ControlCore::processRaftOutput() {
  // Called on every path, because timers of the Raft member produce output,
  // too. A call from within a result callback must not start a nested pass.
  if (IsProcessingOutput)
    return;
  IsProcessingOutput = true;
  while (RaftNode.hasOutput() && !StoreError) {
    RaftOutput Output = RaftNode.takeOutput();
    if (Output.needsSync())
      StoreError = Store.write(Output);
    if (StoreError)
      break;
    RaftNode.onPersisted(RaftNode.lastIndex());
    for (const RaftMessage &Message : Output.Messages)
      sendMessage(Message);
    applyCommitted(Output);
  }
  if (RaftNode.role() != RaftRole::Leader) {
    LeaderSince.reset();
    Progress.clear();
    failPendingCommands();
  }
  compactLogIfNeeded();
  IsProcessingOutput = false;
}

void ControlCore::applyCommitted(const RaftOutput &Output) {
  if (Output.HasInstalledSnapshot)
    installSnapshot(Output.InstalledSnapshot);
  LogIndex Index = Output.FirstCommittedIndex;
  for (const LogEntry &Entry : Output.CommittedEntries)
    applyEntry(Index++, Entry);
}

void ControlCore::installSnapshot(const Snapshot &Installed) {
  if (!State.restore(Installed.Data))
    StoreError = std::make_error_code(std::errc::bad_message);
  LastApplied = Installed.Index;
}

void ControlCore::applyEntry(LogIndex Index, const LogEntry &Entry) {
  LastApplied = Index;
  CommandResult Result;
  if (Entry.Kind == LogEntryKind::Command) {
    FleetCommand Command;
    if (decodeCommand(Entry.Payload, Command)) {
      Result = State.apply(Command);
      if (OnApplied)
        OnApplied(Command, Result);
    } else {
      Result = {CommandStatus::Invalid, State.revision(), "unknown command"};
    }
  }
  auto Found = PendingCommands.find(Index);
  if (Found == PendingCommands.end())
    return;
  PendingCommand Submitted = std::move(Found->second);
  PendingCommands.erase(Found);
  if (Submitted.AtTerm == Entry.AtTerm)
    Submitted.OnResult(Result);
  else
    Submitted.OnResult(ResultUnknown{});
}

void ControlCore::failPendingCommands() {
  std::map<LogIndex, PendingCommand> Failed =
      std::exchange(PendingCommands, {});
  for (auto &[Index, Entry] : Failed)
    Entry.OnResult(ResultUnknown{});
}

void ControlCore::compactLogIfNeeded() {
  if (StoreError || LastApplied < RaftNode.firstIndex() ||
      LastApplied - RaftNode.firstIndex() + 1 < Options.EntriesPerSnapshot)
    return;
  Snapshot Base = RaftNode.compact(LastApplied, State.snapshot());
  StoreError = Store.compact(Base);
}

void ControlCore::submit(const FleetCommand &Command, SubmitCallback OnResult) {
  LogIndex Index = 0;
  Term AtTerm = RaftNode.term();
  if (StoreError || RaftNode.propose(encodeCommand(Command), Index) !=
                        ProposeResult::Accepted) {
    OnResult(NotLeader{leaderVm()});
    return;
  }
  PendingCommands.emplace(Index, PendingCommand{AtTerm, std::move(OnResult)});
  processRaftOutput();
}

void ControlCore::proposeAction(FleetAction Action) {
  LogIndex Index = 0;
  FleetCommand Command{{}, {}, std::move(Action)};
  if (RaftNode.propose(encodeCommand(Command), Index) ==
      ProposeResult::Accepted)
    LastPlannedIndex = Index;
  processRaftOutput();
}

std::string ControlCore::leaderVm() const {
  for (const Member &Voter : RaftNode.membership().Voters)
    if (Voter.Disk == RaftNode.leader())
      return Voter.Vm;
  return {};
}

const ControlVm *ControlCore::findConfiguredVm(const std::string &Vm) const {
  for (const ControlVm &Candidate : ConfiguredVms)
    if (Candidate.Vm == Vm)
      return &Candidate;
  return nullptr;
}

void ControlCore::sendMessage(const RaftMessage &Message) {
  std::string Address = addressOf(Message.To);
  if (!Address.empty())
    return Transport.send(Message, Address);
  // A disk whose log is still empty knows no members, so it sends to all
  // control VMs. Every message names its receiver, and the others drop it.
  for (const ControlVm &Other : ConfiguredVms)
    if (Other.Vm != Self.Vm)
      Transport.send(Message, Other.Address);
}

std::string ControlCore::addressOf(DiskId Disk) const {
  const Membership &Members = RaftNode.membership();
  for (const auto *List : {&Members.Voters, &Members.Learners})
    for (const Member &M : *List) {
      if (M.Disk != Disk)
        continue;
      // The address in the settings takes precedence, since a VM may have
      // moved.
      const ControlVm *Vm = findConfiguredVm(M.Vm);
      return Vm ? Vm->Address : M.Address;
    }
  return {};
}

bool ControlCore::hasAppliedPlans() const {
  return LastPlannedIndex <= LastApplied;
}

void ControlCore::onPlanTimer() {
  processRaftOutput();
  changeMembership();
  if (!RaftNode.holdsLease()) {
    if (RaftNode.role() != RaftRole::Leader)
      LatestStatus.clear();
    return;
  }
  if (!LeaderSince)
    LeaderSince = Timers.now();
  if (!hasAppliedPlans())
    return;
  Expiring.clear();
  planWaves();
  advanceDrains();
  planSlices();
  planKeepers();
  expireRuns();
}

void ControlCore::handleJoinRequest(const Member &New) {
  const ControlVm *Vm = findConfiguredVm(New.Vm);
  if (Vm == nullptr)
    return;
  Changer.handleJoinRequest({New.Disk, New.Vm, Vm->Address});
}

void ControlCore::requestJoin() {
  processRaftOutput();
  const Membership &Members = RaftNode.membership();
  bool IsMember =
      Members.isVoter(RaftNode.self()) || Members.isLearner(RaftNode.self());
  // One that was removed while it was away is not told; without a leader it
  // asks again. Requests of present members change nothing.
  if (IsMember && RaftNode.leader() != NoDisk)
    return;
  for (const ControlVm &Other : ConfiguredVms)
    if (Other.Vm != Self.Vm)
      Transport.sendJoinRequest({RaftNode.self(), Self.Vm, Self.Address},
                                Other.Address);
}

void ControlCore::changeMembership() {
  if (Changer.beginNextChange(RaftNode.holdsLease() && !StoreError))
    processRaftOutput();
}

void ControlCore::planWaves() {
  WavePlan Plan = Waves.plan(State, LatestStatus);
  Obstacles = std::move(Plan.Obstacles);
  for (GrantDrain &Grant : Plan.Grants)
    proposeAction(std::move(Grant));
}

std::optional<Duration>
ControlCore::estimateRemainingWaveTime(const std::string &Name) const {
  auto Wave = State.waves().find(Name);
  auto Observed = Progress.find(Name);
  if (Wave == State.waves().end() || Observed == Progress.end())
    return std::nullopt;
  size_t Finished =
      Wave->second.FinishedVms.size() - Observed->second.FinishedAtFirstDrain;
  if (Finished == 0)
    return std::nullopt;
  size_t Remaining =
      Wave->second.WaitingVms.size() + Wave->second.DrainingVms.size();
  Duration Elapsed = Timers.now() - Observed->second.FirstDrainAt;
  return Elapsed * static_cast<int64_t>(Remaining) /
         static_cast<int64_t>(Finished);
}

void ControlCore::advanceDrains() {
  for (const auto &[Name, Wave] : State.waves()) {
    if (Wave.hasEnded())
      Progress.erase(Name);
    else if (!Wave.DrainingVms.empty())
      Progress.try_emplace(Name,
                           WaveProgress{Timers.now(), Wave.FinishedVms.size()});
  }
  for (const auto &[Name, Wave] : std::map(State.waves()))
    for (const auto &[Vm, Boots] : Wave.DrainingVms) {
      std::optional<VmStatus> Status = LatestStatus.vmStatus(Vm);
      if (!Status)
        continue;
      bool Rebooted = Status->Boots > Boots;
      if (Status->State == VmState::Up && Rebooted)
        proposeAction(FinishDrain{Name, Vm});
      else if (Status->State == VmState::Up)
        Platform.drainVm(Vm);
      else if (Status->State == VmState::Drained && !Rebooted)
        Platform.rebootVm(Vm);
    }
}

void ControlCore::planSlices() {
  SlicePlan Plan = Slices.plan(State, LatestStatus);
  SliceTargets = std::move(Plan.ShrinkTargets);
  for (GrantSlice &Grant : Plan.Grants)
    proposeAction(std::move(Grant));
}

void ControlCore::planKeepers() {
  std::optional<FleetAction> Next =
      Keepers.plan(State, LatestStatus, Timers.now(), *LeaderSince);
  if (!Next)
    return;
  if (const auto *Lost = std::get_if<MarkKeeperLost>(&*Next))
    Expiring.insert(Lost->Run);
  proposeAction(std::move(*Next));
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
    // A run from which this leader has no report may have had a lease until
    // this leader's term began.
    Instant Last = LatestStatus.lastReportAt(Run).value_or(*LeaderSince);
    if (Timers.now() - std::max(Last, *LeaderSince) >
        Options.RunExpiryTimeout) {
      Expiring.insert(Run);
      proposeAction(ExpireRun{Run});
    }
  }
}

void ControlCore::handlePlatformReport(std::map<std::string, VmStatus> Vms) {
  LatestStatus.updateVms(std::move(Vms));
}

EntryReply ControlCore::handleSync(const EntryReport &Report) {
  EntryReply Reply;
  if (!RaftNode.holdsLease()) {
    if (const ControlVm *Leader = findConfiguredVm(leaderVm()))
      Reply.LeaderAddress = Leader->Address;
    return Reply;
  }
  auto Found = State.entryVms().find(Report.Run.Vm);
  bool IsRegistered = Found != State.entryVms().end();
  bool IsSameRun =
      IsRegistered && Found->second.Incarnation == Report.Run.Incarnation;
  if (IsRegistered && ((IsSameRun && Found->second.IsExpired) ||
                       Found->second.Incarnation > Report.Run.Incarnation)) {
    Reply.Status = SyncStatus::RunExpired;
    return Reply;
  }
  if (Expiring.contains(Report.Run)) {
    Reply.Status = SyncStatus::Pending;
    return Reply;
  }
  if (!IsSameRun) {
    Reply.Status = SyncStatus::Pending;
    proposeAction(
        RegisterEntryVm{Report.Run, Report.DataCentre, Report.PeerAddress});
    return Reply;
  }
  LatestStatus.addReport(Report);
  for (const TeamUsage &Usage : Report.Teams) {
    std::optional<SliceRecord> Slice = State.slice(Usage.Team, Report.Run);
    if (Usage.Releasing && Slice && Slice->Version == Usage.SliceVersion &&
        Slice->Count > Usage.Retained)
      proposeAction(ReleaseSlice{Report.Run, Usage.Team, Usage.SliceVersion,
                                 Usage.Retained});
  }
  return makeEntryReply(Report);
}

EntryReply ControlCore::makeEntryReply(const EntryReport &Report) const {
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
    auto Wanted = SliceTargets.find({Team, Holder});
    uint32_t Keep = Slice->second.Count;
    if (Wanted != SliceTargets.end())
      Keep = std::min(Keep, Wanted->second);
    Reply.Slices.push_back(
        {Team, Slice->second.Count, Slice->second.Version, Keep});
  }
  for (const auto &[Run, Received] : LatestStatus.latestReports()) {
    if (Run.Vm == Report.Run.Vm)
      continue;
    Duration Age = Timers.now() - Received.ReceivedAt;
    Reply.Peers.push_back(
        {Run.Vm, Received.Report.DataCentre, Received.Report.PeerAddress,
         static_cast<uint32_t>(toMillis(Age)), Received.Report.Services});
  }
  return Reply;
}

} // namespace mimosashunt
