// Compresses long texts that go to many entry VMs, whose links are slow.

#ifndef MIMOSASHUNT_FLEET_PACKING_H
#define MIMOSASHUNT_FLEET_PACKING_H

#include "Core/JsonFields.h"

#include <cstdint>
#include <string>

namespace mimosashunt {

struct PackedText {
  std::string Bytes;
  uint64_t Size = 0; // Of the text, in bytes.
  bool operator==(const PackedText &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("bytes", Self.Bytes);
    Field("size", Self.Size);
  }
};

PackedText pack(const std::string &Text);

/// Returns false for bytes that are no packed text of that size, or of more
/// than 64 MiB.
bool unpack(const PackedText &Packed, std::string &Text);

} // namespace mimosashunt

#endif
