#include "Agreement/Replica.h"

#include <utility>

namespace mimosashunt {

const char *nameOf(ProposalOutcome Outcome) {
  switch (Outcome) {
  case ProposalOutcome::Committed:
    return "committed";
  case ProposalOutcome::NotLeader:
    return "not_leader";
  case ProposalOutcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

Replica::Replica(const Member &Self, const DurableLog &Durable,
                 ReplicaOptions Options, TimerService &Timers, uint64_t Seed,
                 LogStore &Store, RaftTransport &Transport,
                 ReplicatedState &State)
    : Self(Self), Options(Options), Timers(Timers), Store(Store),
      Transport(Transport), State(State),
      Log(Self.Disk, Durable, Options.Raft, Timers, Seed),
      Changer(Options.Membership, Log, Timers), LastRole(Log.role()) {
  if (Durable.Base.Index > 0) {
    StoreError = State.restore(Durable.Base.Data);
    LastApplied = Durable.Base.Index;
  }
  JoinTimer =
      Timers.scheduleEvery(Options.JoinInterval, [this] { requestToJoin(); });
  MembershipPlanTimer = Timers.scheduleEvery(Options.MembershipPlanInterval,
                                             [this] { changeMembership(); });
}

Replica::~Replica() {
  Timers.cancel(JoinTimer);
  Timers.cancel(MembershipPlanTimer);
}

bool Replica::bootstrapGroup(const std::vector<Member> &Founders) {
  bool Bootstrapped = Log.bootstrapGroup(Founders);
  pump();
  return Bootstrapped;
}

void Replica::receive(const RaftMessage &Message) {
  if (StoreError)
    return;
  const auto *Snapshot = std::get_if<SnapshotRequest>(&Message.Body);
  if (Snapshot != nullptr && !State.canRestore(Snapshot->Content.Data))
    return;
  Log.receive(Message);
}

void Replica::propose(std::string Command, ProposalCallback OnDone) {
  QueuedProposals.push_back({std::move(Command), std::move(OnDone)});
}

void Replica::proposeQueued() {
  if (QueuedProposals.empty())
    return;
  std::vector<QueuedProposal> Batch = std::exchange(QueuedProposals, {});
  std::vector<std::string> Commands;
  Commands.reserve(Batch.size());
  for (QueuedProposal &Item : Batch)
    Commands.push_back(std::move(Item.Command));
  LogIndex Index = 0;
  Term AtTerm = Log.term();
  bool Appended = !StoreError && Log.proposeBatch(std::move(Commands), Index) ==
                                     ProposeResult::Accepted;
  for (QueuedProposal &Item : Batch) {
    if (Appended)
      PendingProposals.emplace(Index++,
                               PendingProposal{AtTerm, std::move(Item.OnDone)});
    else
      Item.OnDone(ProposalOutcome::NotLeader);
  }
}

void Replica::pump() {
  // Proposal callbacks may call pump() again; only one pass runs at a time.
  if (IsPumping)
    return;
  IsPumping = true;
  proposeQueued();
  drainOutput();
  if (Log.role() != RaftRole::Leader)
    abandonPendingProposals();
  compactIfNeeded();
  IsPumping = false;
  if (Log.role() == LastRole)
    return;
  RaftRole Previous = std::exchange(LastRole, Log.role());
  if (RoleChangeHandler)
    RoleChangeHandler(Previous);
}

void Replica::drainOutput() {
  while (Log.hasOutput() && !StoreError) {
    RaftOutput Output = Log.takeOutput();
    if (Output.needsSync())
      StoreError = Store.write(Output);
    if (StoreError)
      return;
    Log.onPersisted(Log.lastIndex());
    for (const RaftMessage &Message : Output.Messages)
      Transport.send(Message, addressOf(Message.To));
    applyCommitted(Output);
  }
}

void Replica::applyCommitted(const RaftOutput &Output) {
  if (Output.HasInstalledSnapshot) {
    StoreError = State.restore(Output.InstalledSnapshot.Data);
    if (StoreError)
      return;
    LastApplied = Output.InstalledSnapshot.Index;
    BytesSinceSnapshot = 0;
  }
  LogIndex Index = Output.FirstCommittedIndex;
  for (const LogEntry &Entry : Output.CommittedEntries) {
    LastApplied = Index;
    BytesSinceSnapshot += Entry.Payload.size();
    if (Entry.Kind == LogEntryKind::Command)
      State.apply(Index, Entry.Payload);
    auto It = PendingProposals.find(Index++);
    if (It == PendingProposals.end())
      continue;
    PendingProposal Proposal = std::move(It->second);
    PendingProposals.erase(It);
    Proposal.OnDone(Proposal.AtTerm == Entry.AtTerm ? ProposalOutcome::Committed
                                                    : ProposalOutcome::Unknown);
  }
}

void Replica::abandonPendingProposals() {
  std::map<LogIndex, PendingProposal> Abandoned =
      std::exchange(PendingProposals, {});
  for (auto &[Index, Proposal] : Abandoned)
    Proposal.OnDone(ProposalOutcome::Unknown);
}

void Replica::compactIfNeeded() {
  if (StoreError || BytesSinceSnapshot < Options.BytesPerSnapshot ||
      LastApplied < Log.firstIndex())
    return;
  BytesSinceSnapshot = 0;
  Snapshot Base = Log.compact(LastApplied, State.snapshot());
  StoreError = Store.compact(Base);
  if (CompactionHandler && !StoreError)
    CompactionHandler(Base.Index, Base.Data.size());
}

bool Replica::isLeader() const { return Log.holdsLease() && !StoreError; }

std::string Replica::leaderAddress() const {
  if (Log.role() == RaftRole::Leader)
    return Self.Address;
  return addressOf(Log.leader());
}

std::string Replica::addressOf(DiskId Disk) const {
  const Membership &Members = Log.membership();
  for (const auto *List : {&Members.Voters, &Members.Learners})
    for (const Member &Item : *List)
      if (Item.Disk == Disk)
        return Item.Address;
  return {};
}

void Replica::handleJoinRequest(const Member &Candidate) {
  Changer.handleJoinRequest(Candidate);
}

void Replica::requestToJoin() {
  const Membership &Members = Log.membership();
  bool IsMember = Members.isVoter(Self.Disk) || Members.isLearner(Self.Disk);
  // A member that was replaced while it was offline is not notified, so a disk
  // without a known leader asks again. The leader ignores requests of present
  // members.
  if (IsMember && Log.leader() != NoDisk)
    return;
  Transport.sendJoinRequest(Self, {});
}

void Replica::changeMembership() {
  std::optional<PlannedMembershipChange> Begun =
      Changer.beginNextChange(isLeader());
  if (Begun && MembershipChangeHandler)
    MembershipChangeHandler(*Begun);
}

} // namespace mimosashunt
