# Remote calls between the control VMs, and from entry VMs to them.
@0xd2b6a3f1c94e7a05;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mimosashunt::rpc");

struct Member {
  disk @0 :UInt64;
  vm @1 :Text;
  address @2 :Text;
}

struct Membership {
  voters @0 :List(Member);
  learners @1 :List(Member);
}

struct LogEntry {
  term @0 :UInt64;
  kind @1 :UInt8;
  payload @2 :Data;
  members @3 :Membership;
}

struct Snapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  members @2 :Membership;
  data @3 :Data;
}

struct RaftMessage {
  from @0 :UInt64;
  to @1 :UInt64;
  term @2 :UInt64;
  union {
    voteRequest :group {
      lastIndex @3 :UInt64;
      lastTerm @4 :UInt64;
      preVote @5 :Bool;
    }
    voteReply :group {
      granted @6 :Bool;
      preVote @7 :Bool;
    }
    appendRequest :group {
      previousIndex @8 :UInt64;
      previousTerm @9 :UInt64;
      entries @10 :List(LogEntry);
      committed @11 :UInt64;
      sentAt @12 :Int64;
    }
    appendReply :group {
      success @13 :Bool;
      match @14 :UInt64;
      sentAt @15 :Int64;
      previous @18 :UInt64;
    }
    snapshotRequest :group {
      whole @16 :Snapshot;
      sentAt @17 :Int64;
    }
  }
}

struct TeamUsage {
  team @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  sliceVersion @3 :UInt64;
  keep @4 :UInt32;
  releases @5 :Bool;
}

struct BackendReport {
  name @0 :Text;
  service @1 :Text;
  vm @2 :Text;
  state @3 :UInt8;
  slots @4 :UInt32;
  running @5 :UInt32;
}

struct ServiceLoad {
  service @0 :Text;
  slots @1 :UInt32;
  running @2 :UInt32;
  waiting @3 :UInt32;
}

struct EntryReport {
  vm @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  peerAddress @3 :Text;
  inForce @4 :UInt64;
  teams @5 :List(TeamUsage);
  backends @6 :List(BackendReport);
  services @7 :List(ServiceLoad);
  traceParent @8 :Text;
  keptEpoch @9 :UInt64;
  stopping @10 :Bool;
}

struct SliceGrant {
  team @0 :Text;
  count @1 :UInt32;
  version @2 :UInt64;
  wanted @3 :UInt32;
}

struct EntryPeer {
  vm @0 :Text;
  dataCentre @1 :Text;
  peerAddress @2 :Text;
  ageMillis @3 :UInt32;
  services @4 :List(ServiceLoad);
}

struct EntryReply {
  status @0 :UInt8;
  leaderAddress @1 :Text;
  leaseMillis @2 :UInt32;
  configuration @3 :Data;  # CBOR; empty if unchanged.
  slices @4 :List(SliceGrant);
  peers @5 :List(EntryPeer);
}

interface Control {
  raft @0 (message :RaftMessage, traceParent :Text) -> ();
  join @1 (member :Member, traceParent :Text) -> ();
  sync @2 (report :EntryReport) -> (reply :EntryReply);
}
