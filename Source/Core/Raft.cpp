// Implements Raft as described in Raft.h. The functions only change memory and
// queue output; the caller writes, syncs and sends it.

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

const char *nameOf(RaftRole Role) {
  switch (Role) {
  case RaftRole::Learner:
    return "learner";
  case RaftRole::Follower:
    return "follower";
  case RaftRole::PreCandidate:
    return "pre_candidate";
  case RaftRole::Candidate:
    return "candidate";
  case RaftRole::Leader:
    return "leader";
  }
  return "unknown";
}

bool Membership::isVoter(DiskId Disk) const { return contains(Voters, Disk); }
bool Membership::isLearner(DiskId Disk) const {
  return contains(Learners, Disk);
}

Raft::Raft(DiskId Self, DurableLog Durable, RaftOptions Options,
           TimerService &Timers, uint64_t Seed)
    : Self(Self), Options(Options), Timers(Timers), Random(Seed),
      State(Durable.State), Base(std::move(Durable.Base)),
      Log(std::move(Durable.Entries)), CommitIndex(Base.Index),
      PersistedIndex(Base.Index + Log.size()), LastDelivered(Base.Index),
      LastLeaderMessageAt(Timers.now()) {
  refreshMembership();
  restartElectionTimer();
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
  Entry.Kind = LogEntryKind::Membership;
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
    if (entryAt(I).Kind != LogEntryKind::Membership)
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
  bool ChangesMembers = Entry.Kind == LogEntryKind::Membership;
  Log.push_back(Entry);
  if (Output.AppendedEntries.empty())
    Output.FirstAppendedIndex = lastIndex();
  Output.AppendedEntries.push_back(std::move(Entry));
  if (ChangesMembers)
    refreshMembership();
}

void Raft::send(DiskId To, RaftBody Body) {
  sendInTerm(State.CurrentTerm, To, std::move(Body));
}

void Raft::sendInTerm(Term AtTerm, DiskId To, RaftBody Body) {
  Output.Messages.push_back({Self, To, AtTerm, std::move(Body)});
}

void Raft::restartElectionTimer() {
  Timers.cancel(ElectionTimer);
  auto Minimum = Options.ElectionTimeout.count();
  std::uniform_int_distribution<Duration::rep> Extra(0, Minimum);
  Instant Due = Timers.now() + Duration(Minimum + Extra(Random));
  ElectionTimer = Timers.scheduleAt(Due, [this] { onElectionTimeout(); });
}

void Raft::onElectionTimeout() {
  restartElectionTimer();
  if (Role == RaftRole::Leader)
    return;
  // A member that hears from no leader may have been removed without a notice.
  if (!Members.isVoter(Self)) {
    Leader = NoDisk;
    return;
  }
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
  Term ElectionTerm = State.CurrentTerm + 1;
  if (!PreVote) {
    State = {ElectionTerm, Self};
    Output.StateChanged = true;
    restartElectionTimer();
  }
  if (isQuorum(Votes)) {
    if (PreVote)
      startElection(false);
    else
      becomeLeader();
    return;
  }
  VoteRequest Request{lastIndex(), termAt(lastIndex()), PreVote};
  for (const Member &Voter : Members.Voters)
    if (Voter.Disk != Self)
      sendInTerm(ElectionTerm, Voter.Disk, Request);
}

bool Raft::isQuorum(const std::set<DiskId> &Granted) const {
  size_t Count = 0;
  for (const Member &Voter : Members.Voters)
    Count += Granted.count(Voter.Disk);
  return Count >= quorumSize();
}

void Raft::becomeLeader() {
  Role = RaftRole::Leader;
  Leader = Self;
  LeaderSince = Timers.now();
  SilentVoters.clear();
  Peers.clear();
  LogEntry Noop;
  Noop.AtTerm = State.CurrentTerm;
  append(std::move(Noop));
  FirstOwnIndex = lastIndex();
  Timers.cancel(HeartbeatTimer);
  HeartbeatTimer = Timers.scheduleEvery(Options.HeartbeatInterval,
                                        [this] { onHeartbeat(); });
  broadcastAppend(/*Repeat=*/false);
}

void Raft::onHeartbeat() {
  if (Role != RaftRole::Leader)
    return;
  checkQuorum();
  if (Role == RaftRole::Leader)
    broadcastAppend(/*Repeat=*/true);
}

void Raft::checkQuorum() {
  Instant HeardSince = Timers.now() - 2 * Options.ElectionTimeout;
  if (LeaderSince > HeardSince)
    return;
  std::set<DiskId> Heard = {Self};
  for (const auto &[Disk, Peer] : Peers)
    if (Peer.LastReplyAt && *Peer.LastReplyAt >= HeardSince)
      Heard.insert(Disk);
  if (isQuorum(Heard))
    return;
  for (const Member &Voter : Members.Voters)
    if (!Heard.contains(Voter.Disk))
      SilentVoters.push_back(Voter);
  becomeFollower(State.CurrentTerm, NoDisk);
}

void Raft::broadcastAppend(bool Repeat) {
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
    Peer.NextIndex = lastIndex() + 1;
  if (Peer.NextIndex <= Base.Index) {
    sendSnapshot(To, Peer);
    return;
  }
  if (Peer.IsProbing && Peer.IsProbeInFlight && !Repeat)
    return;
  Peer.IsProbeInFlight = Peer.IsProbing;
  AppendRequest Request;
  Request.PreviousIndex = Peer.NextIndex - 1;
  Request.PreviousTerm = termAt(Request.PreviousIndex);
  Request.CommitIndex = CommitIndex;
  Request.SentAt = Timers.now();
  size_t Bytes = 0;
  for (LogIndex I = Peer.NextIndex; I <= lastIndex(); ++I) {
    if (Request.Entries.size() >= Options.MaxEntriesPerMessage ||
        Bytes >= Options.MaxBytesPerMessage)
      break;
    Bytes += entryAt(I).Payload.size();
    Request.Entries.push_back(entryAt(I));
  }
  // Sent entries count as received until a reply says otherwise, so that
  // heartbeats do not repeat them.
  if (!Peer.IsProbing)
    Peer.NextIndex += Request.Entries.size();
  send(To, std::move(Request));
}

void Raft::sendSnapshot(DiskId To, Progress &Peer) {
  Instant Now = Timers.now();
  // Do not resend a snapshot, which may be large, before it had time to arrive.
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
  // A vote request from a member that lost contact must not depose a leader
  // that others still hear from. The leader lease depends on this, too.
  if (Vote && hasRecentLeader())
    return;
  if (Message.AtTerm > State.CurrentTerm && !ForPreVote) {
    bool FromLeader = std::holds_alternative<AppendRequest>(Message.Body) ||
                      std::holds_alternative<SnapshotRequest>(Message.Body);
    becomeFollower(Message.AtTerm, FromLeader ? Message.From : NoDisk);
  }
  std::visit([&](const auto &Body) { handle(Message, Body); }, Message.Body);
}

bool Raft::hasRecentLeader() const {
  if (Role == RaftRole::Leader)
    return true;
  return Timers.now() - LastLeaderMessageAt < Options.ElectionTimeout;
}

bool Raft::isLogUpToDate(LogIndex LastIndex, Term LastTerm) const {
  Term OwnTerm = termAt(lastIndex());
  if (LastTerm != OwnTerm)
    return LastTerm > OwnTerm;
  return LastIndex >= lastIndex();
}

void Raft::handle(const RaftMessage &Message, const VoteRequest &Request) {
  // This member may be one with an empty disk. Its reply is never counted,
  // because the candidate counts only disks that its log lists as voters: a
  // disk becomes a voter only once it holds the log, and a replaced disk has a
  // new identity.
  bool UpToDate = isLogUpToDate(Request.LastIndex, Request.LastTerm);
  if (Request.PreVote) {
    bool Granted = UpToDate && Message.AtTerm > State.CurrentTerm;
    Term ReplyTerm = Granted ? Message.AtTerm : State.CurrentTerm;
    sendInTerm(ReplyTerm, Message.From, VoteReply{Granted, true});
    return;
  }
  bool CanVoteFor = State.VotedFor == NoDisk || State.VotedFor == Message.From;
  bool Granted = Message.AtTerm == State.CurrentTerm && CanVoteFor && UpToDate;
  if (Granted) {
    State.VotedFor = Message.From;
    Output.StateChanged = true;
    restartElectionTimer();
  }
  send(Message.From, VoteReply{Granted, false});
}

void Raft::handle(const RaftMessage &Message, const VoteReply &Reply) {
  if (!Reply.Granted)
    return;
  bool IsExpected = Reply.PreVote ? Role == RaftRole::PreCandidate &&
                                        Message.AtTerm == State.CurrentTerm + 1
                                  : Role == RaftRole::Candidate &&
                                        Message.AtTerm == State.CurrentTerm;
  if (!IsExpected)
    return;
  Votes.insert(Message.From);
  if (!isQuorum(Votes))
    return;
  if (Reply.PreVote)
    startElection(false);
  else
    becomeLeader();
}

void Raft::handle(const RaftMessage &Message, const AppendRequest &Request) {
  if (Message.AtTerm < State.CurrentTerm) {
    // The term of the reply makes a deposed leader step down.
    send(Message.From,
         AppendReply{false, Request.PreviousIndex, 0, Request.SentAt});
    return;
  }
  if (Role != RaftRole::Follower && Role != RaftRole::Learner)
    becomeFollower(Message.AtTerm, Message.From);
  Leader = Message.From;
  LastLeaderMessageAt = Timers.now();
  restartElectionTimer();
  AppendReply Reply{false, Request.PreviousIndex, 0, Request.SentAt};
  if (Request.PreviousIndex < Base.Index) {
    // Everything up to the snapshot is committed, so it matches.
    Reply.Success = true;
    Reply.MatchIndex = Base.Index;
  } else if (Request.PreviousIndex > lastIndex()) {
    Reply.MatchIndex = lastIndex();
  } else if (termAt(Request.PreviousIndex) != Request.PreviousTerm) {
    Reply.MatchIndex = std::max(CommitIndex, Request.PreviousIndex - 1);
  } else {
    appendEntries(Request);
    Reply.Success = true;
    Reply.MatchIndex = Request.PreviousIndex + Request.Entries.size();
    LogIndex KnownCommitted = std::min(Request.CommitIndex, Reply.MatchIndex);
    CommitIndex = std::max(CommitIndex, KnownCommitted);
  }
  send(Message.From, Reply);
}

void Raft::appendEntries(const AppendRequest &Request) {
  for (size_t I = 0; I < Request.Entries.size(); ++I) {
    LogIndex Index = Request.PreviousIndex + 1 + I;
    const LogEntry &Entry = Request.Entries[I];
    if (Index <= lastIndex()) {
      if (termAt(Index) == Entry.AtTerm)
        continue;
      // Entries from a mismatch on were never committed.
      Log.resize(Index - Base.Index - 1);
      if (!Output.AppendedEntries.empty() && Output.FirstAppendedIndex < Index)
        Output.AppendedEntries.resize(Index - Output.FirstAppendedIndex);
      else
        Output.AppendedEntries.clear();
      PersistedIndex = std::min(PersistedIndex, Index - 1);
      refreshMembership();
    }
    append(Entry);
  }
}

void Raft::recordReply(Progress &Peer, Instant SentAt) {
  Peer.LastReplyAt = Timers.now();
  // The lease must not outlast what was sent, whatever a reply states.
  if (SentAt > Timers.now())
    return;
  if (!Peer.AckedRequestSentAt || *Peer.AckedRequestSentAt < SentAt)
    Peer.AckedRequestSentAt = SentAt;
}

void Raft::handleRejection(DiskId From, Progress &Peer,
                           const AppendReply &Reply) {
  // A stale rejection answers an earlier request. Acting on it would resend the
  // same entries for every request that was in flight.
  bool IsStale = Peer.IsProbing ? Reply.PreviousIndex + 1 != Peer.NextIndex
                                : Reply.PreviousIndex <= Peer.MatchIndex;
  if (IsStale)
    return;
  LogIndex PreviousNextIndex = Peer.NextIndex;
  Peer.IsProbing = true;
  Peer.NextIndex = std::min(Reply.PreviousIndex, Reply.MatchIndex + 1);
  Peer.NextIndex =
      std::clamp(Peer.NextIndex, Peer.MatchIndex + 1, lastIndex() + 1);
  // If this brought no progress, leave the next probe to the heartbeat;
  // otherwise requests and rejections could alternate without end.
  if (Peer.NextIndex < PreviousNextIndex)
    sendAppend(From, /*Repeat=*/true);
}

void Raft::handle(const RaftMessage &Message, const AppendReply &Reply) {
  if (Role != RaftRole::Leader || Message.AtTerm != State.CurrentTerm)
    return;
  auto Found = Peers.find(Message.From);
  if (Found == Peers.end())
    return;
  Progress &Peer = Found->second;
  recordReply(Peer, Reply.SentAt);
  if (!Reply.Success)
    return handleRejection(Message.From, Peer, Reply);
  if (Reply.MatchIndex > lastIndex())
    return;
  Peer.SnapshotSentAt.reset();
  Peer.IsProbing = false;
  Peer.MatchIndex = std::max(Peer.MatchIndex, Reply.MatchIndex);
  Peer.NextIndex = std::max(Peer.NextIndex, Peer.MatchIndex + 1);
  advanceCommitIndex();
  if (Role == RaftRole::Leader && Peer.NextIndex <= lastIndex())
    sendAppend(Message.From, /*Repeat=*/false);
}

void Raft::handle(const RaftMessage &Message, const SnapshotRequest &Request) {
  if (Message.AtTerm < State.CurrentTerm)
    return;
  if (Role != RaftRole::Follower && Role != RaftRole::Learner)
    becomeFollower(Message.AtTerm, Message.From);
  Leader = Message.From;
  LastLeaderMessageAt = Timers.now();
  restartElectionTimer();
  const Snapshot &Received = Request.Content;
  bool HasMatchingEntry = Received.Index <= lastIndex() &&
                          Received.Index > Base.Index &&
                          termAt(Received.Index) == Received.AtTerm;
  if (HasMatchingEntry) {
    // A delayed snapshot must not discard the entries after it, which this
    // member may have acknowledged.
    CommitIndex = std::max(CommitIndex, Received.Index);
  } else if (Received.Index > CommitIndex) {
    Log.clear();
    Output.AppendedEntries.clear();
    Output.CommittedEntries.clear();
    Base = Received;
    CommitIndex = LastDelivered = PersistedIndex = Received.Index;
    Output.HasInstalledSnapshot = true;
    Output.InstalledSnapshot = Received;
    refreshMembership();
  }
  send(Message.From, AppendReply{true, 0, CommitIndex, Request.SentAt});
}

void Raft::advanceCommitIndex() {
  if (Role != RaftRole::Leader)
    return;
  std::vector<LogIndex> Matches;
  for (const Member &Voter : Members.Voters) {
    auto Found = Peers.find(Voter.Disk);
    LogIndex Match = Found == Peers.end() ? 0 : Found->second.MatchIndex;
    Matches.push_back(Voter.Disk == Self ? PersistedIndex : Match);
  }
  if (Matches.empty())
    return;
  std::sort(Matches.rbegin(), Matches.rend());
  LogIndex QuorumIndex = Matches[quorumSize() - 1];
  // Entries of earlier terms are committed only through an entry of the
  // leader's own term (Raft, section 5.4.2).
  if (QuorumIndex <= CommitIndex || termAt(QuorumIndex) != State.CurrentTerm)
    return;
  CommitIndex = QuorumIndex;
  if (!Members.isVoter(Self) && MembershipIndex <= CommitIndex)
    becomeFollower(State.CurrentTerm, NoDisk);
  else
    broadcastAppend(/*Repeat=*/false);
}

void Raft::onPersisted(LogIndex Index) {
  PersistedIndex = std::max(PersistedIndex, std::min(Index, lastIndex()));
  advanceCommitIndex();
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
    Entry.Kind = LogEntryKind::Command;
    Entry.Payload = std::move(Command);
    append(std::move(Entry));
  }
  broadcastAppend(/*Repeat=*/false);
  return ProposeResult::Accepted;
}

bool Raft::isChangePending() const {
  return MembershipIndex > CommitIndex || CommitIndex < FirstOwnIndex;
}

ProposeResult Raft::proposeMembership(Membership New) {
  if (Role != RaftRole::Leader)
    return ProposeResult::NotLeader;
  if (isChangePending())
    return ProposeResult::ChangePending;
  LogEntry Entry;
  Entry.AtTerm = State.CurrentTerm;
  Entry.Kind = LogEntryKind::Membership;
  Entry.Members = std::move(New);
  append(std::move(Entry));
  // A member that is added again begins anew.
  std::erase_if(Peers, [this](const auto &Peer) {
    return !Members.isVoter(Peer.first) && !Members.isLearner(Peer.first);
  });
  broadcastAppend(/*Repeat=*/false);
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
  bool IsMember = Members.isVoter(Disk) || Members.isLearner(Disk);
  bool IsLastVoter = Members.isVoter(Disk) && Members.Voters.size() == 1;
  if (!IsMember || IsLastVoter)
    return ProposeResult::InvalidChange;
  Membership Next = Members;
  eraseDisk(Next.Voters, Disk);
  eraseDisk(Next.Learners, Disk);
  return proposeMembership(std::move(Next));
}

bool Raft::hasOutput() const {
  return Output.needsSync() || !Output.Messages.empty() ||
         LastDelivered < CommitIndex;
}

RaftOutput Raft::takeOutput() {
  RaftOutput Result = std::exchange(Output, {});
  Result.State = State;
  Result.FirstCommittedIndex = LastDelivered + 1;
  for (LogIndex I = LastDelivered + 1; I <= CommitIndex; ++I)
    Result.CommittedEntries.push_back(entryAt(I));
  LastDelivered = CommitIndex;
  return Result;
}

Snapshot Raft::compact(LogIndex Index, std::string Data) {
  if (Index <= Base.Index || Index > LastDelivered)
    return Base;
  Snapshot Next;
  Next.Index = Index;
  Next.AtTerm = termAt(Index);
  Next.Members = Base.Members;
  for (LogIndex I = Base.Index + 1; I <= Index; ++I)
    if (entryAt(I).Kind == LogEntryKind::Membership)
      Next.Members = entryAt(I).Members;
  Next.Data = std::move(Data);
  Log.erase(Log.begin(),
            Log.begin() + static_cast<ptrdiff_t>(Index - Base.Index));
  Base = std::move(Next);
  return Base;
}

bool Raft::holdsLease() const {
  if (Role != RaftRole::Leader || CommitIndex < FirstOwnIndex)
    return false;
  std::vector<Instant> Acked;
  for (const Member &Voter : Members.Voters) {
    if (Voter.Disk == Self) {
      Acked.push_back(Timers.now());
      continue;
    }
    auto Found = Peers.find(Voter.Disk);
    if (Found != Peers.end() && Found->second.AckedRequestSentAt)
      Acked.push_back(*Found->second.AckedRequestSentAt);
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
  return Found != Peers.end() && Found->second.MatchIndex > 0 &&
         Found->second.MatchIndex >= CommitIndex;
}

std::optional<Instant> Raft::lastReplyTime(DiskId Disk) const {
  auto Found = Peers.find(Disk);
  if (Found == Peers.end())
    return std::nullopt;
  return Found->second.LastReplyAt;
}

} // namespace mimosashunt
