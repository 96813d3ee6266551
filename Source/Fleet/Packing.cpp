#include "Fleet/Packing.h"

#include <zlib.h>

namespace mimosashunt {

namespace {

constexpr uint64_t MaxTextBytes = 64 << 20;

const Bytef *bytesOf(const std::string &Text) {
  return reinterpret_cast<const Bytef *>(Text.data());
}

Bytef *bytesOf(std::string &Text) {
  return reinterpret_cast<Bytef *>(Text.data());
}

} // namespace

PackedText pack(const std::string &Text) {
  PackedText Result;
  Result.Size = Text.size();
  uLongf Length = compressBound(Text.size());
  Result.Bytes.resize(Length);
  // The fastest level: texts are packed on the leader, in the way of its work.
  // With a buffer of compressBound() bytes this cannot fail.
  compress2(bytesOf(Result.Bytes), &Length, bytesOf(Text), Text.size(),
            Z_BEST_SPEED);
  Result.Bytes.resize(Length);
  return Result;
}

bool unpack(const PackedText &Packed, std::string &Text) {
  if (Packed.Size > MaxTextBytes)
    return false;
  Text.assign(Packed.Size, '\0');
  uLongf Length = Packed.Size;
  int Status = uncompress(bytesOf(Text), &Length, bytesOf(Packed.Bytes),
                          Packed.Bytes.size());
  return Status == Z_OK && Length == Packed.Size;
}

} // namespace mimosashunt
