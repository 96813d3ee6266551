#include "Rpc/RpcCodec.h"

#include <stdexcept>

namespace mimosashunt {

namespace {

capnp::Data::Reader toData(const std::string &Bytes) {
  return {reinterpret_cast<const kj::byte *>(Bytes.data()), Bytes.size()};
}

std::string toString(capnp::Data::Reader Bytes) {
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

std::string toString(capnp::Text::Reader Text) {
  return {Text.cStr(), Text.size()};
}

unsigned toCount(size_t Size) { return static_cast<unsigned>(Size); }

template <class List, class Value, class Write>
void writeList(List Out, const std::vector<Value> &Values, Write WriteElement) {
  for (size_t I = 0; I < Values.size(); ++I)
    WriteElement(Values[I], Out[toCount(I)]);
}

template <class Value, class List, class Read>
std::vector<Value> readList(List In, Read ReadElement) {
  std::vector<Value> Result;
  Result.reserve(In.size());
  for (auto Element : In)
    Result.push_back(ReadElement(Element));
  return Result;
}

int64_t toMicros(Instant Time) { return Time.time_since_epoch().count(); }
Instant toInstant(int64_t Micros) { return Instant(Duration(Micros)); }

void writeMembership(const Membership &Value, rpc::Membership::Builder Out) {
  writeList(Out.initVoters(toCount(Value.Voters.size())), Value.Voters,
            writeMember);
  writeList(Out.initLearners(toCount(Value.Learners.size())), Value.Learners,
            writeMember);
}

Membership readMembership(rpc::Membership::Reader In) {
  return {readList<Member>(In.getVoters(), readMember),
          readList<Member>(In.getLearners(), readMember)};
}

struct RaftBodyWriter {
  rpc::RaftMessage::Builder Out;

  void operator()(const VoteRequest &Body) {
    auto Group = Out.initVoteRequest();
    Group.setLastIndex(Body.LastIndex);
    Group.setLastTerm(Body.LastTerm);
    Group.setPreVote(Body.PreVote);
  }
  void operator()(const VoteReply &Body) {
    auto Group = Out.initVoteReply();
    Group.setGranted(Body.Granted);
    Group.setPreVote(Body.PreVote);
  }
  void operator()(const AppendRequest &Body) {
    auto Group = Out.initAppendRequest();
    Group.setPreviousIndex(Body.PreviousIndex);
    Group.setPreviousTerm(Body.PreviousTerm);
    Group.setCommitted(Body.CommitIndex);
    Group.setSentAt(toMicros(Body.SentAt));
    writeList(Group.initEntries(toCount(Body.Entries.size())), Body.Entries,
              writeLogEntry);
  }
  void operator()(const AppendReply &Body) {
    auto Group = Out.initAppendReply();
    Group.setSuccess(Body.Success);
    Group.setPrevious(Body.PreviousIndex);
    Group.setMatch(Body.MatchIndex);
    Group.setSentAt(toMicros(Body.SentAt));
  }
  void operator()(const SnapshotRequest &Body) {
    auto Group = Out.initSnapshotRequest();
    writeSnapshot(Body.Content, Group.initWhole());
    Group.setSentAt(toMicros(Body.SentAt));
  }
};

void writeLoad(const ServiceLoad &Value, rpc::ServiceLoad::Builder Out) {
  Out.setService(Value.Service);
  Out.setSlots(Value.Slots);
  Out.setRunning(Value.Running);
  Out.setWaiting(Value.Waiting);
}

ServiceLoad readLoad(rpc::ServiceLoad::Reader In) {
  return {toString(In.getService()), In.getSlots(), In.getRunning(),
          In.getWaiting()};
}

void writeUsage(const TeamUsage &Value, rpc::TeamUsage::Builder Out) {
  Out.setTeam(Value.Team);
  Out.setRunning(Value.Running);
  Out.setWaiting(Value.Waiting);
  Out.setSliceVersion(Value.SliceVersion);
  Out.setKeep(Value.Retained);
  Out.setReleases(Value.Releasing);
}

TeamUsage readUsage(rpc::TeamUsage::Reader In) {
  return {toString(In.getTeam()), In.getRunning(), In.getWaiting(),
          In.getSliceVersion(),   In.getKeep(),    In.getReleases()};
}

void writeBackend(const BackendReport &Value, rpc::BackendReport::Builder Out) {
  Out.setName(Value.Name);
  Out.setService(Value.Service);
  Out.setVm(Value.Vm);
  Out.setState(static_cast<uint8_t>(Value.State));
  Out.setSlots(Value.Slots);
  Out.setRunning(Value.Running);
}

BackendReport readBackend(rpc::BackendReport::Reader In) {
  if (In.getState() > static_cast<uint8_t>(BackendState::Ejected))
    throw std::invalid_argument("unknown backend server state");
  return {toString(In.getName()), toString(In.getService()),
          toString(In.getVm()),   static_cast<BackendState>(In.getState()),
          In.getSlots(),          In.getRunning()};
}

void writeGrant(const SliceGrant &Value, rpc::SliceGrant::Builder Out) {
  Out.setTeam(Value.Team);
  Out.setCount(Value.Count);
  Out.setVersion(Value.Version);
  Out.setWanted(Value.Target);
}

SliceGrant readGrant(rpc::SliceGrant::Reader In) {
  return {toString(In.getTeam()), In.getCount(), In.getVersion(),
          In.getWanted()};
}

void writePeer(const EntryPeer &Value, rpc::EntryPeer::Builder Out) {
  Out.setVm(Value.Vm);
  Out.setDataCentre(Value.DataCentre);
  Out.setPeerAddress(Value.PeerAddress);
  Out.setAgeMillis(Value.AgeMillis);
  writeList(Out.initServices(toCount(Value.Services.size())), Value.Services,
            writeLoad);
}

EntryPeer readPeer(rpc::EntryPeer::Reader In) {
  return {toString(In.getVm()), toString(In.getDataCentre()),
          toString(In.getPeerAddress()), In.getAgeMillis(),
          readList<ServiceLoad>(In.getServices(), readLoad)};
}

} // namespace

void writeMember(const Member &Value, rpc::Member::Builder Out) {
  Out.setDisk(Value.Disk);
  Out.setVm(Value.Vm);
  Out.setAddress(Value.Address);
}

Member readMember(rpc::Member::Reader In) {
  return {In.getDisk(), toString(In.getVm()), toString(In.getAddress())};
}

void writeSnapshot(const Snapshot &Value, rpc::Snapshot::Builder Out) {
  Out.setIndex(Value.Index);
  Out.setTerm(Value.AtTerm);
  writeMembership(Value.Members, Out.initMembers());
  Out.setData(toData(Value.Data));
}

Snapshot readSnapshot(rpc::Snapshot::Reader In) {
  return {In.getIndex(), In.getTerm(), readMembership(In.getMembers()),
          toString(In.getData())};
}

void writeLogEntry(const LogEntry &Value, rpc::LogEntry::Builder Out) {
  Out.setTerm(Value.AtTerm);
  Out.setKind(static_cast<uint8_t>(Value.Kind));
  Out.setPayload(toData(Value.Payload));
  if (Value.Kind == LogEntryKind::Membership)
    writeMembership(Value.Members, Out.initMembers());
}

LogEntry readLogEntry(rpc::LogEntry::Reader In) {
  if (In.getKind() > static_cast<uint8_t>(LogEntryKind::Membership))
    throw std::invalid_argument("unknown kind of log entry");
  return {In.getTerm(), static_cast<LogEntryKind>(In.getKind()),
          toString(In.getPayload()), readMembership(In.getMembers())};
}

void writeRaftMessage(const RaftMessage &Value, rpc::RaftMessage::Builder Out) {
  Out.setFrom(Value.From);
  Out.setTo(Value.To);
  Out.setTerm(Value.AtTerm);
  std::visit(RaftBodyWriter{Out}, Value.Body);
}

RaftMessage readRaftMessage(rpc::RaftMessage::Reader In) {
  RaftMessage Result{In.getFrom(), In.getTo(), In.getTerm(), VoteReply{}};
  switch (In.which()) {
  case rpc::RaftMessage::VOTE_REQUEST: {
    auto Group = In.getVoteRequest();
    Result.Body = VoteRequest{Group.getLastIndex(), Group.getLastTerm(),
                              Group.getPreVote()};
    return Result;
  }
  case rpc::RaftMessage::VOTE_REPLY: {
    auto Group = In.getVoteReply();
    Result.Body = VoteReply{Group.getGranted(), Group.getPreVote()};
    return Result;
  }
  case rpc::RaftMessage::APPEND_REQUEST: {
    auto Group = In.getAppendRequest();
    Result.Body =
        AppendRequest{Group.getPreviousIndex(), Group.getPreviousTerm(),
                      readList<LogEntry>(Group.getEntries(), readLogEntry),
                      Group.getCommitted(), toInstant(Group.getSentAt())};
    return Result;
  }
  case rpc::RaftMessage::APPEND_REPLY: {
    auto Group = In.getAppendReply();
    Result.Body = AppendReply{Group.getSuccess(), Group.getPrevious(),
                              Group.getMatch(), toInstant(Group.getSentAt())};
    return Result;
  }
  case rpc::RaftMessage::SNAPSHOT_REQUEST: {
    auto Group = In.getSnapshotRequest();
    Result.Body = SnapshotRequest{readSnapshot(Group.getWhole()),
                                  toInstant(Group.getSentAt())};
    return Result;
  }
  }
  throw std::invalid_argument("unknown message");
}

void writeReport(const EntryReport &Value, rpc::EntryReport::Builder Out) {
  Out.setVm(Value.Run.Vm);
  Out.setIncarnation(Value.Run.Incarnation);
  Out.setDataCentre(Value.DataCentre);
  Out.setPeerAddress(Value.PeerAddress);
  Out.setInForce(Value.ActiveRevision);
  Out.setTraceParent(Value.TraceParent);
  Out.setKeptEpoch(Value.SettledEpoch);
  Out.setStopping(Value.Stopping);
  writeList(Out.initTeams(toCount(Value.Teams.size())), Value.Teams,
            writeUsage);
  writeList(Out.initBackends(toCount(Value.Backends.size())), Value.Backends,
            writeBackend);
  writeList(Out.initServices(toCount(Value.Services.size())), Value.Services,
            writeLoad);
}

EntryReport readReport(rpc::EntryReport::Reader In) {
  EntryReport Result;
  Result.Run = {toString(In.getVm()), In.getIncarnation()};
  Result.DataCentre = toString(In.getDataCentre());
  Result.PeerAddress = toString(In.getPeerAddress());
  Result.ActiveRevision = In.getInForce();
  Result.TraceParent = toString(In.getTraceParent());
  Result.SettledEpoch = In.getKeptEpoch();
  Result.Stopping = In.getStopping();
  Result.Teams = readList<TeamUsage>(In.getTeams(), readUsage);
  Result.Backends = readList<BackendReport>(In.getBackends(), readBackend);
  Result.Services = readList<ServiceLoad>(In.getServices(), readLoad);
  return Result;
}

void writeReply(const EntryReply &Value, rpc::EntryReply::Builder Out) {
  Out.setStatus(static_cast<uint8_t>(Value.Status));
  Out.setLeaderAddress(Value.LeaderAddress);
  Out.setLeaseMillis(Value.LeaseMillis);
  if (Value.Configuration) {
    std::vector<uint8_t> Bytes = Json::to_cbor(Json(*Value.Configuration));
    Out.setConfiguration({Bytes.data(), Bytes.size()});
  }
  writeList(Out.initSlices(toCount(Value.Slices.size())), Value.Slices,
            writeGrant);
  writeList(Out.initPeers(toCount(Value.Peers.size())), Value.Peers, writePeer);
}

EntryReply readReply(rpc::EntryReply::Reader In) {
  EntryReply Result;
  if (In.getStatus() > static_cast<uint8_t>(SyncStatus::Pending))
    throw std::invalid_argument("unknown status");
  Result.Status = static_cast<SyncStatus>(In.getStatus());
  Result.LeaderAddress = toString(In.getLeaderAddress());
  Result.LeaseMillis = In.getLeaseMillis();
  if (In.getConfiguration().size() > 0) {
    Json Decoded = readCbor(toString(In.getConfiguration()));
    Result.Configuration = Decoded.get<EntryConfiguration>();
  }
  Result.Slices = readList<SliceGrant>(In.getSlices(), readGrant);
  Result.Peers = readList<EntryPeer>(In.getPeers(), readPeer);
  return Result;
}

} // namespace mimosashunt
