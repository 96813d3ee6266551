// CBOR encoding of the Raft messages and member lists that the control VMs of
// the job path exchange.

#ifndef MIMOSASHUNT_AGREEMENT_RAFTCODEC_H
#define MIMOSASHUNT_AGREEMENT_RAFTCODEC_H

#include "Core/RaftTypes.h"

#include <string>
#include <vector>

namespace mimosashunt {

/// Encodes a list of messages.
std::string encodeRaftMessages(const std::vector<RaftMessage> &Messages);

/// Returns false, with \p Result empty, if \p Bytes is not an encoded list of
/// messages.
bool decodeRaftMessages(const std::string &Bytes,
                        std::vector<RaftMessage> &Result);

/// Encodes a list of members.
std::string encodeMembers(const std::vector<Member> &Members);
/// Returns false if \p Bytes is not an encoded list of members.
bool decodeMembers(const std::string &Bytes, std::vector<Member> &Result);

} // namespace mimosashunt

#endif
