#include "Fleet/Compression.h"

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

CompressedText compressText(const std::string &Text) {
  CompressedText Result;
  Result.Size = Text.size();
  uLongf Length = compressBound(Text.size());
  Result.Bytes.resize(Length);
  // The fastest level, because compression blocks the leader's event loop. With
  // a buffer of compressBound() bytes the call cannot fail.
  compress2(bytesOf(Result.Bytes), &Length, bytesOf(Text), Text.size(),
            Z_BEST_SPEED);
  Result.Bytes.resize(Length);
  return Result;
}

bool decompressText(const CompressedText &Compressed, std::string &Text) {
  if (Compressed.Size > MaxTextBytes)
    return false;
  Text.assign(Compressed.Size, '\0');
  uLongf Length = Compressed.Size;
  int Status = uncompress(bytesOf(Text), &Length, bytesOf(Compressed.Bytes),
                          Compressed.Bytes.size());
  return Status == Z_OK && Length == Compressed.Size;
}

} // namespace mimosashunt
