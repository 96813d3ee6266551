#include "Agreement/Replica.h"

#include <algorithm>
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
      Log(Self.Disk, Durable, Options.Raft, Timers, Seed), LastRole(Log.role()),
      LeadsSince(Timers.now()) {
  if (Durable.Base.Index > 0) {
    State.restore(Durable.Base.Data);
    LastApplied = Durable.Base.Index;
  }
  JoinTimer =
      Timers.scheduleEvery(Options.JoinInterval, [this] { askToJoin(); });
  PlanTimer = Timers.scheduleEvery(Options.MembershipPlanInterval,
                                   [this] { planMembership(); });
}

Replica::~Replica() {
  Timers.cancel(JoinTimer);
  Timers.cancel(PlanTimer);
}

bool Replica::bootstrapGroup(const std::vector<Member> &Founders) {
  bool Founded = Log.bootstrapGroup(Founders);
  pump();
  return Founded;
}

void Replica::receive(const RaftMessage &Message) {
  if (StoreError)
    return;
  Log.receive(Message);
}

void Replica::propose(std::string Command, ProposalCallback Finished) {
  Queued.push_back({std::move(Command), std::move(Finished)});
}

void Replica::proposeQueued() {
  if (Queued.empty())
    return;
  std::vector<Proposal> Batch = std::exchange(Queued, {});
  std::vector<std::string> Commands;
  Commands.reserve(Batch.size());
  for (Proposal &Item : Batch)
    Commands.push_back(std::move(Item.Command));
  LogIndex Index = 0;
  Term AtTerm = Log.term();
  bool Taken = !StoreError && Log.proposeBatch(std::move(Commands), Index) ==
                                  ProposeResult::Accepted;
  for (Proposal &Item : Batch) {
    if (Taken)
      Pending.emplace(Index++, Waiting{AtTerm, std::move(Item.Finished)});
    else
      Item.Finished(ProposalOutcome::NotLeader);
  }
}

void Replica::pump() {
  // Answers to proposals may call back in; one pass at a time.
  if (Pumping)
    return;
  Pumping = true;
  proposeQueued();
  drainOutput();
  if (Log.role() != RaftRole::Leader)
    failPending();
  compactIfLong();
  Pumping = false;
  if (Log.role() == LastRole)
    return;
  LastRole = Log.role();
  LeadsSince = Timers.now();
  if (RoleChanged)
    RoleChanged();
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
    State.restore(Output.InstalledSnapshot.Data);
    LastApplied = Output.InstalledSnapshot.Index;
    BytesSinceSnapshot = 0;
  }
  LogIndex Index = Output.FirstCommittedIndex;
  for (const LogEntry &Entry : Output.CommittedEntries) {
    LastApplied = Index;
    BytesSinceSnapshot += Entry.Payload.size();
    if (Entry.Kind == LogEntryKind::Command)
      State.apply(Index, Entry.Payload);
    auto Found = Pending.find(Index++);
    if (Found == Pending.end())
      continue;
    Waiting Held = std::move(Found->second);
    Pending.erase(Found);
    Held.Finished(Held.AtTerm == Entry.AtTerm ? ProposalOutcome::Committed
                                              : ProposalOutcome::Unknown);
  }
}

void Replica::failPending() {
  std::map<LogIndex, Waiting> Lost = std::exchange(Pending, {});
  for (auto &[Index, Held] : Lost)
    Held.Finished(ProposalOutcome::Unknown);
}

void Replica::compactIfLong() {
  if (StoreError || BytesSinceSnapshot < Options.BytesPerSnapshot ||
      LastApplied < Log.firstIndex())
    return;
  BytesSinceSnapshot = 0;
  StoreError = Store.compact(Log.compact(LastApplied, State.snapshot()));
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

size_t Replica::wantedVoters() const {
  const Membership &Members = Log.membership();
  size_t All = Members.Voters.size() + Members.Learners.size();
  size_t Odd = All % 2 == 1 ? All : All - 1;
  return std::min(Odd, Options.MaxVoters);
}

void Replica::handleJoinRequest(const Member &New) {
  if (New.Disk != NoDisk)
    JoinRequests[New.Address] = New;
}

void Replica::askToJoin() {
  const Membership &Members = Log.membership();
  bool Member = Members.isVoter(Self.Disk) || Members.isLearner(Self.Disk);
  // A member that was replaced while it was away is not told so by anybody;
  // whoever leads ignores those that are members still.
  if (Member && Log.leader() != NoDisk)
    return;
  Transport.sendJoinRequest(Self, {});
}

bool Replica::replaceSilentVoter(const Member &Learner) {
  const Membership Members = Log.membership();
  for (const Member &Voter : Members.Voters) {
    if (Voter.Disk == Self.Disk)
      continue;
    // The same VM with another disk has lost the earlier one for good.
    bool Replaced = Voter.Address == Learner.Address;
    std::optional<Instant> Heard = Log.lastReplyTime(Voter.Disk);
    Instant Since = std::max(LeadsSince, Heard.value_or(LeadsSince));
    bool Silent = Timers.now() - Since > Options.VoterReplacementTimeout;
    if (!Replaced && !Silent)
      continue;
    return Log.removeMember(Voter.Disk) == ProposeResult::Accepted;
  }
  return false;
}

void Replica::planMembership() {
  if (!isLeader())
    return;
  const Membership Members = Log.membership();
  for (const Member &Learner : Members.Learners) {
    if (!Log.isCaughtUp(Learner.Disk))
      continue;
    bool Wanted = Members.Voters.size() < wantedVoters();
    if (Wanted && Log.promoteLearner(Learner.Disk) == ProposeResult::Accepted)
      return;
    if (replaceSilentVoter(Learner))
      return;
  }
  // A learner whose VM came back with another disk is no member any more.
  for (const Member &Learner : Members.Learners) {
    auto Newer = JoinRequests.find(Learner.Address);
    bool Stale =
        Newer != JoinRequests.end() && Newer->second.Disk != Learner.Disk;
    if (Stale && Log.removeMember(Learner.Disk) == ProposeResult::Accepted)
      return;
  }
  for (const auto &[Address, Item] : JoinRequests)
    if (!Members.isVoter(Item.Disk) && !Members.isLearner(Item.Disk) &&
        Log.addLearner(Item) == ProposeResult::Accepted)
      return;
}

} // namespace mimosashunt
