// Hashing of names, for placement and for telling actions apart; not for
// secrets.

#ifndef MIMOSASHUNT_CORE_HASH_H
#define MIMOSASHUNT_CORE_HASH_H

#include <cstdint>
#include <string_view>

namespace mimosashunt {

uint64_t hashBytes(std::string_view Bytes, uint64_t Seed = 0);

} // namespace mimosashunt

#endif
