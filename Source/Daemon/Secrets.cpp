#include "Daemon/Secrets.h"

#include <array>
#include <cstdlib>
#include <cstring>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <vector>

namespace mimosashunt {

namespace {

std::string toHex(const unsigned char *Bytes, size_t Size) {
  static const char Digits[] = "0123456789abcdef";
  std::string Result;
  Result.reserve(2 * Size);
  for (size_t I = 0; I < Size; ++I) {
    Result += Digits[Bytes[I] >> 4];
    Result += Digits[Bytes[I] & 0xF];
  }
  return Result;
}

void fillRandom(unsigned char *Bytes, size_t Size) {
  // Secrets and identities would be predictable without randomness, so the
  // process must not go on.
  if (RAND_bytes(Bytes, static_cast<int>(Size)) != 1)
    std::abort();
}

} // namespace

std::string sha256Hex(const std::string &Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Size = 0;
  EVP_Digest(Text.data(), Text.size(), Digest.data(), &Size, EVP_sha256(),
             nullptr);
  return toHex(Digest.data(), Size);
}

std::string randomHex(size_t Bytes) {
  std::vector<unsigned char> Random(Bytes);
  fillRandom(Random.data(), Random.size());
  return toHex(Random.data(), Random.size());
}

uint64_t randomNumber() {
  uint64_t Number = 0;
  while (Number == 0)
    fillRandom(reinterpret_cast<unsigned char *>(&Number), sizeof(Number));
  return Number;
}

std::string bearerKey(const std::string &Authorization) {
  static const std::string Prefix = "Bearer ";
  if (Authorization.rfind(Prefix, 0) != 0)
    return {};
  return Authorization.substr(Prefix.size());
}

} // namespace mimosashunt
