// Non-cryptographic 64-bit hash, used to place names and to compare actions.
// Not for secrets.

#ifndef MIMOSASHUNT_CORE_HASH_H
#define MIMOSASHUNT_CORE_HASH_H

#include <cstdint>
#include <string_view>

namespace mimosashunt {

/// Returns the XXH64 hash of Bytes. The result is the same on every machine.
uint64_t hashBytes(std::string_view Bytes, uint64_t Seed = 0);

} // namespace mimosashunt

#endif
