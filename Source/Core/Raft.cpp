#include "Core/Raft.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

bool contains(const std::vector<Member> &List, DiskId Disk) {
  return std::any_of(List.begin(), List.end(),
                     [&](const Member &M) { return M.Disk == Disk; });
}

void eraseDisk(std::vector<Member> &List, DiskId Disk) {
  std::erase_if(List, [&](const Member &M) { return M.Disk == Disk; });
}

} // namespace

bool Membership::isVoter(DiskId Disk) const { return contains(Voters, Disk); }
bool Membership::isLearner(DiskId Disk) const {
  return contains(Learners, Disk);
}

Raft::Raft(DiskId Self, DurableLog Durable, RaftOptions Options,
           TimerService &Timers, uint64_t Seed)
    : Self(Self), Options(Options), Timers(Timers), Random(Seed),
      State(Durable.State), Base(std::move(Durable.Base)),
      Log(std::move(Durable.Entries)), Committed(Base.Index),
      Persisted(Base.Index + Log.size()), HandedOut(Base.Index),
      LeaderHeardAt(Timers.now()) {
  refreshMembership();
  armElection();
}

Raft::~Raft() {
  Timers.cancel(ElectionTimer);
  Timers.cancel(HeartbeatTimer);
}

bool Raft::bootstrap(const Member &Founder) {
  if (!bootstrapGroup({Founder}))
    return false;
  startElection(false);
  return true;
}

bool Raft::bootstrapGroup(const std::vector<Member> &Founders) {
  if (lastIndex() != 0 || State.CurrentTerm != 0 || !contains(Founders, Self))
    return false;
  LogEntry Entry;
  Entry.AtTerm = 1;
  Entry.Kind = EntryKind::Membership;
  Entry.Members.Voters = Founders;
  State.CurrentTerm = 1;
  Output.StateChanged = true;
  append(std::move(Entry));
  return true;
}

Term Raft::termAt(LogIndex Index) const {
  if (Index == Base.Index)
    return Base.AtTerm;
  return entryAt(Index).AtTerm;
}

const LogEntry &Raft::entryAt(LogIndex Index) const {
  return Log[Index - Base.Index - 1];
}

void Raft::refreshMembership() {
  Members = Base.Members;
  MembershipIndex = Base.Index;
  for (LogIndex I = lastIndex(); I > Base.Index; --I) {
    if (entryAt(I).Kind != EntryKind::Membership)
      continue;
    Members = entryAt(I).Members;
    MembershipIndex = I;
    break;
  }
  if (Role == RaftRole::Learner && Members.isVoter(Self))
    Role = RaftRole::Follower;
  else if (Role == RaftRole::Follower && !Members.isVoter(Self))
    Role = RaftRole::Learner;
}

void Raft::append(LogEntry Entry) {
  bool ChangesMembers = Entry.Kind == EntryKind::Membership;
  Log.push_back(Entry);
  if (Output.AppendedEntries.empty())
    Output.FirstAppendedIndex = lastIndex();
  Output.AppendedEntries.push_back(std::move(Entry));
  if (ChangesMembers)
    refreshMembership();
}

void Raft::send(DiskId To, RaftBody Body) {
  sendAt(State.CurrentTerm, To, std::move(Body));
}

void Raft::sendAt(Term AtTerm, DiskId To, RaftBody Body) {
  Output.Messages.push_back({Self, To, AtTerm, std::move(Body)});
}

void Raft::armElection() {
  Timers.cancel(ElectionTimer);
  auto Base = Options.ElectionTimeout.count();
  std::uniform_int_distribution<Duration::rep> Extra(0, Base);
  Instant Due = Timers.now() + Duration(Base + Extra(Random));
  ElectionTimer = Timers.scheduleAt(Due, [this] { onElectionTimeout(); });
}

void Raft::onElectionTimeout() {
  armElection();
  if (Role == RaftRole::Leader || !Members.isVoter(Self))
    return;
  startElection(/*PreVote=*/true);
}

void Raft::becomeFollower(Term NewTerm, DiskId NewLeader) {
  if (NewTerm > State.CurrentTerm) {
    State = {NewTerm, NoDisk};
    Output.StateChanged = true;
  }
  if (Role == RaftRole::Leader)
    Timers.cancel(HeartbeatTimer);
  Role = Members.isVoter(Self) ? RaftRole::Follower : RaftRole::Learner;
  Leader = NewLeader;
  Votes.clear();
  Peers.clear();
}

void Raft::startElection(bool PreVote) {
  Role = PreVote ? RaftRole::PreCandidate : RaftRole::Candidate;
  Leader = NoDisk;
  Votes = {Self};
  Term Asked = State.CurrentTerm + 1;
  if (!PreVote) {
    State = {Asked, Self};
    Output.StateChanged = true;
    armElection();
  }
  if (quorumOf(Votes)) {
    if (PreVote)
      startElection(false);
    else
      becomeLeader();
    return;
  }
  VoteRequest Request{lastIndex(), termAt(lastIndex()), PreVote};
  for (const Member &Voter : Members.Voters)
    if (Voter.Disk != Self)
      sendAt(Asked, Voter.Disk, Request);
}

bool Raft::quorumOf(const std::set<DiskId> &Granted) const {
  size_t Count = 0;
  for (const Member &Voter : Members.Voters)
    Count += Granted.count(Voter.Disk);
  return Count >= quorumSize();
}

void Raft::becomeLeader() {
  Role = RaftRole::Leader;
  Leader = Self;
  LeaderSince = Timers.now();
  Peers.clear();
  LogEntry Start;
  Start.AtTerm = State.CurrentTerm;
  append(std::move(Start));
  TermStart = lastIndex();
  Timers.cancel(HeartbeatTimer);
  HeartbeatTimer = Timers.scheduleEvery(Options.HeartbeatInterval,
                                        [this] { onHeartbeat(); });
  broadcast(/*Repeat=*/false);
}

void Raft::onHeartbeat() {
  if (Role != RaftRole::Leader)
    return;
  checkQuorum();
  if (Role == RaftRole::Leader)
    broadcast(/*Repeat=*/true);
}

void Raft::checkQuorum() {
  Instant Oldest = Timers.now() - 2 * Options.ElectionTimeout;
  if (LeaderSince > Oldest)
    return;
  std::set<DiskId> Heard = {Self};
  for (const auto &[Disk, Peer] : Peers)
    if (Peer.HeardAt && *Peer.HeardAt >= Oldest)
      Heard.insert(Disk);
  if (!quorumOf(Heard))
    becomeFollower(State.CurrentTerm, NoDisk);
}

void Raft::broadcast(bool Repeat) {
  for (const Member &Voter : Members.Voters)
    if (Voter.Disk != Self)
      sendAppend(Voter.Disk, Repeat);
  for (const Member &Learner : Members.Learners)
    sendAppend(Learner.Disk, Repeat);
}

void Raft::sendAppend(DiskId To, bool Repeat) {
  auto [Found, IsNew] = Peers.try_emplace(To);
  Progress &Peer = Found->second;
  if (IsNew)
    Peer.Next = lastIndex() + 1;
  if (Peer.Next <= Base.Index) {
    sendSnapshot(To, Peer);
    return;
  }
  if (Peer.Probing && Peer.ProbeSent && !Repeat)
    return;
  Peer.ProbeSent = Peer.Probing;
  AppendRequest Request;
  Request.PreviousIndex = Peer.Next - 1;
  Request.PreviousTerm = termAt(Request.PreviousIndex);
  Request.CommitIndex = Committed;
  Request.SentAt = Timers.now();
  size_t Bytes = 0;
  for (LogIndex I = Peer.Next; I <= lastIndex(); ++I) {
    if (Request.Entries.size() >= Options.MaxEntriesPerMessage ||
        Bytes >= Options.MaxBytesPerMessage)
      break;
    Bytes += entryAt(I).Payload.size();
    Request.Entries.push_back(entryAt(I));
  }
  // Sent entries are taken as received until an answer says otherwise, so
  // that each heartbeat does not repeat them.
  if (!Peer.Probing)
    Peer.Next += Request.Entries.size();
  send(To, std::move(Request));
}

void Raft::sendSnapshot(DiskId To, Progress &Peer) {
  Instant Now = Timers.now();
  // A large snapshot is not repeated before it had time to arrive.
  if (Peer.SnapshotSentAt &&
      Now - *Peer.SnapshotSentAt < 2 * Options.ElectionTimeout)
    return;
  Peer.SnapshotSentAt = Now;
  send(To, SnapshotRequest{Base, Now});
}

void Raft::receive(const RaftMessage &Message) {
  if (Message.To != Self)
    return;
  const auto *Vote = std::get_if<VoteRequest>(&Message.Body);
  const auto *Reply = std::get_if<VoteReply>(&Message.Body);
  bool ForPreVote =
      (Vote && Vote->PreVote) || (Reply && Reply->PreVote && Reply->Granted);
  // A request from a member that lost contact must not unseat a leader that
  // the others still hear; this keeps the leader's lease sound, too.
  if (Vote && leaderHeardRecently())
    return;
  if (Message.AtTerm > State.CurrentTerm && !ForPreVote) {
    bool FromLeader = std::holds_alternative<AppendRequest>(Message.Body) ||
                      std::holds_alternative<SnapshotRequest>(Message.Body);
    becomeFollower(Message.AtTerm, FromLeader ? Message.From : NoDisk);
  }
  std::visit([&](const auto &Body) { on(Message, Body); }, Message.Body);
}

bool Raft::leaderHeardRecently() const {
  if (Role == RaftRole::Leader)
    return true;
  return Timers.now() - LeaderHeardAt < Options.ElectionTimeout;
}

bool Raft::logUpToDate(LogIndex LastIndex, Term LastTerm) const {
  Term OwnTerm = termAt(lastIndex());
  if (LastTerm != OwnTerm)
    return LastTerm > OwnTerm;
  return LastIndex >= lastIndex();
}

void Raft::on(const RaftMessage &Message, const VoteRequest &Request) {
  // The candidate counts only disks that its log names as voters. A disk is
  // promoted once it holds the log, and a replaced one has another identity,
  // so an empty disk's answer here is never counted.
  bool UpToDate = logUpToDate(Request.LastIndex, Request.LastTerm);
  if (Request.PreVote) {
    bool Granted = UpToDate && Message.AtTerm > State.CurrentTerm;
    Term Answered = Granted ? Message.AtTerm : State.CurrentTerm;
    sendAt(Answered, Message.From, VoteReply{Granted, true});
    return;
  }
  bool Free = State.VotedFor == NoDisk || State.VotedFor == Message.From;
  bool Granted = Message.AtTerm == State.CurrentTerm && Free && UpToDate;
  if (Granted) {
    State.VotedFor = Message.From;
    Output.StateChanged = true;
    armElection();
  }
  send(Message.From, VoteReply{Granted, false});
}

void Raft::on(const RaftMessage &Message, const VoteReply &Reply) {
  if (!Reply.Granted)
    return;
  bool Expected = Reply.PreVote ? Role == RaftRole::PreCandidate &&
                                      Message.AtTerm == State.CurrentTerm + 1
                                : Role == RaftRole::Candidate &&
                                      Message.AtTerm == State.CurrentTerm;
  if (!Expected)
    return;
  Votes.insert(Message.From);
  if (!quorumOf(Votes))
    return;
  if (Reply.PreVote)
    startElection(false);
  else
    becomeLeader();
}

void Raft::on(const RaftMessage &Message, const AppendRequest &Request) {
  if (Message.AtTerm < State.CurrentTerm) {
    // The answer's term tells a deposed leader to step down.
    send(Message.From,
         AppendReply{false, Request.PreviousIndex, 0, Request.SentAt});
    return;
  }
  if (Role != RaftRole::Follower && Role != RaftRole::Learner)
    becomeFollower(Message.AtTerm, Message.From);
  Leader = Message.From;
  LeaderHeardAt = Timers.now();
  armElection();
  AppendReply Reply{false, Request.PreviousIndex, 0, Request.SentAt};
  if (Request.PreviousIndex < Base.Index) {
    // Everything up to the snapshot is committed and matches.
    Reply.Success = true;
    Reply.MatchIndex = Base.Index;
  } else if (Request.PreviousIndex > lastIndex()) {
    Reply.MatchIndex = lastIndex();
  } else if (termAt(Request.PreviousIndex) != Request.PreviousTerm) {
    Reply.MatchIndex = std::max(Committed, Request.PreviousIndex - 1);
  } else {
    acceptEntries(Request);
    Reply.Success = true;
    Reply.MatchIndex = Request.PreviousIndex + Request.Entries.size();
    LogIndex Known = std::min(Request.CommitIndex, Reply.MatchIndex);
    Committed = std::max(Committed, Known);
  }
  send(Message.From, Reply);
}

void Raft::acceptEntries(const AppendRequest &Request) {
  for (size_t I = 0; I < Request.Entries.size(); ++I) {
    LogIndex Index = Request.PreviousIndex + 1 + I;
    const LogEntry &Entry = Request.Entries[I];
    if (Index <= lastIndex()) {
      if (termAt(Index) == Entry.AtTerm)
        continue;
      // Entries after a mismatch were never committed.
      Log.resize(Index - Base.Index - 1);
      if (!Output.AppendedEntries.empty() && Output.FirstAppendedIndex < Index)
        Output.AppendedEntries.resize(Index - Output.FirstAppendedIndex);
      else
        Output.AppendedEntries.clear();
      Persisted = std::min(Persisted, Index - 1);
      refreshMembership();
    }
    append(Entry);
  }
}

void Raft::noteAnswer(Progress &Peer, Instant SentAt) {
  Peer.HeardAt = Timers.now();
  if (!Peer.AckedSentAt || *Peer.AckedSentAt < SentAt)
    Peer.AckedSentAt = SentAt;
}

void Raft::noteRefusal(DiskId From, Progress &Peer, const AppendReply &Reply) {
  // A late refusal answers an earlier message. Acting on each one would send
  // the same entries again for every message that was ever under way.
  bool Late = Peer.Probing ? Reply.PreviousIndex + 1 != Peer.Next
                           : Reply.PreviousIndex <= Peer.Match;
  if (Late)
    return;
  LogIndex Tried = Peer.Next;
  Peer.Probing = true;
  Peer.Next = std::min(Reply.PreviousIndex, Reply.MatchIndex + 1);
  Peer.Next = std::max(Peer.Next, Peer.Match + 1);
  // Without progress the next heartbeat asks again, not an endless exchange.
  if (Peer.Next < Tried)
    sendAppend(From, /*Repeat=*/true);
}

void Raft::on(const RaftMessage &Message, const AppendReply &Reply) {
  if (Role != RaftRole::Leader || Message.AtTerm != State.CurrentTerm)
    return;
  auto Found = Peers.find(Message.From);
  if (Found == Peers.end())
    return;
  Progress &Peer = Found->second;
  noteAnswer(Peer, Reply.SentAt);
  if (!Reply.Success)
    return noteRefusal(Message.From, Peer, Reply);
  if (Reply.MatchIndex > lastIndex())
    return;
  Peer.SnapshotSentAt.reset();
  Peer.Probing = false;
  Peer.Match = std::max(Peer.Match, Reply.MatchIndex);
  Peer.Next = std::max(Peer.Next, Peer.Match + 1);
  advanceCommit();
  if (Role == RaftRole::Leader && Peer.Next <= lastIndex())
    sendAppend(Message.From, /*Repeat=*/false);
}

void Raft::on(const RaftMessage &Message, const SnapshotRequest &Request) {
  if (Message.AtTerm < State.CurrentTerm)
    return;
  if (Role != RaftRole::Follower && Role != RaftRole::Learner)
    becomeFollower(Message.AtTerm, Message.From);
  Leader = Message.From;
  LeaderHeardAt = Timers.now();
  armElection();
  const Snapshot &Whole = Request.Content;
  bool HoldsIt = Whole.Index <= lastIndex() && Whole.Index > Base.Index &&
                 termAt(Whole.Index) == Whole.AtTerm;
  if (HoldsIt) {
    // A late snapshot must not cost the entries after it, which this member
    // may have acknowledged.
    Committed = std::max(Committed, Whole.Index);
  } else if (Whole.Index > Committed) {
    Log.clear();
    Output.AppendedEntries.clear();
    Output.CommittedEntries.clear();
    Base = Whole;
    Committed = HandedOut = Persisted = Whole.Index;
    Output.HasInstalledSnapshot = true;
    Output.InstalledSnapshot = Whole;
    refreshMembership();
  }
  send(Message.From, AppendReply{true, 0, Committed, Request.SentAt});
}

void Raft::advanceCommit() {
  if (Role != RaftRole::Leader)
    return;
  std::vector<LogIndex> Matches;
  for (const Member &Voter : Members.Voters) {
    auto Found = Peers.find(Voter.Disk);
    LogIndex Match = Found == Peers.end() ? 0 : Found->second.Match;
    Matches.push_back(Voter.Disk == Self ? Persisted : Match);
  }
  if (Matches.empty())
    return;
  std::sort(Matches.rbegin(), Matches.rend());
  LogIndex Reached = Matches[quorumSize() - 1];
  // Only an entry of the own term commits by counting.
  if (Reached <= Committed || termAt(Reached) != State.CurrentTerm)
    return;
  Committed = Reached;
  if (!Members.isVoter(Self) && MembershipIndex <= Committed)
    becomeFollower(State.CurrentTerm, NoDisk);
  else
    broadcast(/*Repeat=*/false);
}

void Raft::onPersisted(LogIndex Index) {
  Persisted = std::max(Persisted, std::min(Index, lastIndex()));
  advanceCommit();
}

ProposeResult Raft::propose(std::string Command, LogIndex &Index) {
  std::vector<std::string> Commands;
  Commands.push_back(std::move(Command));
  return proposeBatch(std::move(Commands), Index);
}

ProposeResult Raft::proposeBatch(std::vector<std::string> Commands,
                                 LogIndex &First) {
  if (Role != RaftRole::Leader)
    return ProposeResult::NotLeader;
  First = lastIndex() + 1;
  for (std::string &Command : Commands) {
    LogEntry Entry;
    Entry.AtTerm = State.CurrentTerm;
    Entry.Kind = EntryKind::Command;
    Entry.Payload = std::move(Command);
    append(std::move(Entry));
  }
  broadcast(/*Repeat=*/false);
  return ProposeResult::Accepted;
}

bool Raft::changePending() const {
  return MembershipIndex > Committed || Committed < TermStart;
}

ProposeResult Raft::proposeMembership(Membership New) {
  if (Role != RaftRole::Leader)
    return ProposeResult::NotLeader;
  if (changePending())
    return ProposeResult::ChangePending;
  LogEntry Entry;
  Entry.AtTerm = State.CurrentTerm;
  Entry.Kind = EntryKind::Membership;
  Entry.Members = std::move(New);
  append(std::move(Entry));
  broadcast(/*Repeat=*/false);
  return ProposeResult::Accepted;
}

ProposeResult Raft::addLearner(const Member &New) {
  if (New.Disk == NoDisk || Members.isVoter(New.Disk) ||
      Members.isLearner(New.Disk))
    return ProposeResult::InvalidChange;
  Membership Next = Members;
  Next.Learners.push_back(New);
  return proposeMembership(std::move(Next));
}

ProposeResult Raft::promoteLearner(DiskId Learner) {
  if (!Members.isLearner(Learner) || !isCaughtUp(Learner))
    return ProposeResult::InvalidChange;
  Membership Next = Members;
  for (const Member &M : Members.Learners)
    if (M.Disk == Learner)
      Next.Voters.push_back(M);
  eraseDisk(Next.Learners, Learner);
  return proposeMembership(std::move(Next));
}

ProposeResult Raft::removeMember(DiskId Disk) {
  bool Known = Members.isVoter(Disk) || Members.isLearner(Disk);
  bool LastVoter = Members.isVoter(Disk) && Members.Voters.size() == 1;
  if (!Known || LastVoter)
    return ProposeResult::InvalidChange;
  Membership Next = Members;
  eraseDisk(Next.Voters, Disk);
  eraseDisk(Next.Learners, Disk);
  return proposeMembership(std::move(Next));
}

bool Raft::hasOutput() const {
  return Output.needsSync() || !Output.Messages.empty() ||
         HandedOut < Committed;
}

RaftOutput Raft::takeOutput() {
  RaftOutput Taken = std::exchange(Output, {});
  Taken.State = State;
  Taken.FirstCommittedIndex = HandedOut + 1;
  for (LogIndex I = HandedOut + 1; I <= Committed; ++I)
    Taken.CommittedEntries.push_back(entryAt(I));
  HandedOut = Committed;
  return Taken;
}

Snapshot Raft::compact(LogIndex Index, std::string Data) {
  if (Index <= Base.Index || Index > HandedOut)
    return Base;
  Snapshot Next;
  Next.Index = Index;
  Next.AtTerm = termAt(Index);
  Next.Members = Base.Members;
  for (LogIndex I = Base.Index + 1; I <= Index; ++I)
    if (entryAt(I).Kind == EntryKind::Membership)
      Next.Members = entryAt(I).Members;
  Next.Data = std::move(Data);
  Log.erase(Log.begin(),
            Log.begin() + static_cast<ptrdiff_t>(Index - Base.Index));
  Base = std::move(Next);
  return Base;
}

bool Raft::holdsLease() const {
  if (Role != RaftRole::Leader || Committed < TermStart)
    return false;
  std::vector<Instant> Acked;
  for (const Member &Voter : Members.Voters) {
    if (Voter.Disk == Self) {
      Acked.push_back(Timers.now());
      continue;
    }
    auto Found = Peers.find(Voter.Disk);
    if (Found != Peers.end() && Found->second.AckedSentAt)
      Acked.push_back(*Found->second.AckedSentAt);
  }
  if (Acked.size() < quorumSize())
    return false;
  std::sort(Acked.rbegin(), Acked.rend());
  Instant Since = Acked[quorumSize() - 1];
  Duration Lease = Options.ElectionTimeout * Options.LeasePercent / 100;
  return Timers.now() - Since < Lease;
}

bool Raft::isCaughtUp(DiskId Learner) const {
  auto Found = Peers.find(Learner);
  return Found != Peers.end() && Found->second.Match > 0 &&
         Found->second.Match >= Committed;
}

std::optional<Instant> Raft::lastReplyTime(DiskId Disk) const {
  auto Found = Peers.find(Disk);
  if (Found == Peers.end())
    return std::nullopt;
  return Found->second.HeardAt;
}

} // namespace mimosashunt
