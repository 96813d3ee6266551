// Compresses long texts that are sent to many entry VMs over slow links.

#ifndef MIMOSASHUNT_FLEET_COMPRESSION_H
#define MIMOSASHUNT_FLEET_COMPRESSION_H

#include "Core/JsonFields.h"

#include <cstdint>
#include <string>

namespace mimosashunt {

/// A text compressed by zlib.
struct CompressedText {
  std::string Bytes;
  uint64_t Size = 0; // Of the uncompressed text, in bytes.
  bool operator==(const CompressedText &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("bytes", Self.Bytes);
    Field("size", Self.Size);
  }
};

/// Compresses \p Text at the fastest level.
CompressedText compressText(const std::string &Text);

/// Returns false if the bytes are not a compressed text of the given size, or
/// if that size exceeds 64 MiB.
bool decompressText(const CompressedText &Compressed, std::string &Text);

} // namespace mimosashunt

#endif
