// Bytes of Raft messages between the control VMs of the job path.

#ifndef MIMOSASHUNT_AGREEMENT_RAFTCODEC_H
#define MIMOSASHUNT_AGREEMENT_RAFTCODEC_H

#include "Core/RaftTypes.h"

#include <string>
#include <vector>

namespace mimosashunt {

std::string encodeRaftMessages(const std::vector<RaftMessage> &Messages);

/// Returns false for bytes that hold no such list.
bool decodeRaftMessages(const std::string &Bytes,
                        std::vector<RaftMessage> &Result);

std::string encodeMembers(const std::vector<Member> &Members);
bool decodeMembers(const std::string &Bytes, std::vector<Member> &Result);

} // namespace mimosashunt

#endif
