// Converts between the core's types and their Cap'n Proto messages. Read
// functions throw kj::Exception or std::exception if a message is invalid.

#ifndef MIMOSASHUNT_RPC_RPCCODEC_H
#define MIMOSASHUNT_RPC_RPCCODEC_H

#include "Core/RaftTypes.h"
#include "Core/SyncTypes.h"
#include "Rpc/Control.capnp.h"

namespace mimosashunt {

void writeMember(const Member &Value, rpc::Member::Builder Out);
Member readMember(rpc::Member::Reader In);

void writeSnapshot(const Snapshot &Value, rpc::Snapshot::Builder Out);
Snapshot readSnapshot(rpc::Snapshot::Reader In);

void writeLogEntry(const LogEntry &Value, rpc::LogEntry::Builder Out);
LogEntry readLogEntry(rpc::LogEntry::Reader In);

void writeRaftMessage(const RaftMessage &Value, rpc::RaftMessage::Builder Out);
RaftMessage readRaftMessage(rpc::RaftMessage::Reader In);

/// Reports and replies of the synchronisation between an entry VM and the
/// leading control VM.
void writeReport(const EntryReport &Value, rpc::EntryReport::Builder Out);
EntryReport readReport(rpc::EntryReport::Reader In);

void writeReply(const EntryReply &Value, rpc::EntryReply::Builder Out);
EntryReply readReply(rpc::EntryReply::Reader In);

} // namespace mimosashunt

#endif
