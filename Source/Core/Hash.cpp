// Implements the hash with the header-only build of xxHash.

#include "Core/Hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mimosashunt {

uint64_t hashBytes(std::string_view Bytes, uint64_t Seed) {
  return XXH64(Bytes.data(), Bytes.size(), Seed);
}

} // namespace mimosashunt
