// Random numbers, digests and bearer keys.

#ifndef MIMOSASHUNT_DAEMON_SECRETS_H
#define MIMOSASHUNT_DAEMON_SECRETS_H

#include <cstdint>
#include <string>

namespace mimosashunt {

/// Returns the SHA-256 of \p Text in lower-case hexadecimal.
std::string sha256Hex(const std::string &Text);

/// Returns \p Bytes random bytes in lower-case hexadecimal.
std::string randomHex(size_t Bytes);

/// Returns a random number that is not zero. Like randomHex() it aborts the
/// process if the system provides no randomness.
uint64_t randomNumber();

/// Returns the key of an "Authorization: Bearer KEY" value, or an empty string
/// if it has none.
std::string bearerKey(const std::string &Authorization);

} // namespace mimosashunt

#endif
