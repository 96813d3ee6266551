#include "Core/Cbor.h"

#include <bit>
#include <cmath>

namespace mimosashunt {

namespace {

constexpr int BitsPerByte = 8;

/// Sizes of long arguments by what the first byte holds.
size_t argumentSize(uint8_t Short) {
  constexpr uint8_t One = 24;
  constexpr uint8_t Eight = 27;
  if (Short < One || Short > Eight)
    throw CborError("indefinite or reserved length");
  return size_t(1) << (Short - One);
}

bool isExactAsSingle(double Value) {
  return std::abs(Value) <= std::numeric_limits<float>::max() &&
         static_cast<double>(static_cast<float>(Value)) == Value;
}

} // namespace

void CborWriter::bigEndian(uint64_t Value, size_t Size) {
  for (size_t I = Size; I-- > 0;)
    simple(static_cast<uint8_t>(Value >> (BitsPerByte * I)));
}

void CborWriter::longHead(uint8_t First, uint64_t Argument) {
  uint8_t SizeCode = 0;
  if (Argument > std::numeric_limits<uint32_t>::max())
    SizeCode = 3;
  else if (Argument > std::numeric_limits<uint16_t>::max())
    SizeCode = 2;
  else if (Argument > std::numeric_limits<uint8_t>::max())
    SizeCode = 1;
  simple(static_cast<uint8_t>(First | (FirstLongArgument + SizeCode)));
  bigEndian(Argument, size_t(1) << SizeCode);
}

void CborWriter::floating(double Value) {
  if (!std::isfinite(Value)) {
    constexpr uint64_t HalfNan = 0x7e00;
    constexpr uint64_t HalfInfinity = 0x7c00;
    constexpr uint64_t HalfSign = 0x8000;
    uint64_t Half =
        std::isnan(Value) ? HalfNan : HalfInfinity | (Value < 0 ? HalfSign : 0);
    simple(HalfByte);
    return bigEndian(Half, sizeof(uint16_t));
  }
  if (isExactAsSingle(Value)) {
    simple(SingleByte);
    return bigEndian(std::bit_cast<uint32_t>(static_cast<float>(Value)),
                     sizeof(uint32_t));
  }
  simple(DoubleByte);
  bigEndian(std::bit_cast<uint64_t>(Value), sizeof(uint64_t));
}

uint64_t CborReader::bigEndian(size_t Size) {
  if (Rest.size() < Size)
    throw CborError("incomplete value");
  uint64_t Result = 0;
  for (size_t I = 0; I < Size; ++I)
    Result = (Result << BitsPerByte) | static_cast<uint8_t>(Rest[I]);
  Rest.remove_prefix(Size);
  return Result;
}

uint64_t CborReader::longArgument(uint8_t Short) {
  return bigEndian(argumentSize(Short));
}

std::string_view CborReader::content(Major Wanted) {
  auto [Type, Size] = head();
  if (Type != Wanted)
    throw CborError("value of another kind");
  if (Size > Rest.size())
    throw CborError("incomplete text");
  std::string_view Result = Rest.substr(0, Size);
  Rest.remove_prefix(Size);
  return Result;
}

size_t CborReader::count(Major Wanted) {
  auto [Type, Size] = head();
  if (Type != Wanted)
    throw CborError("value of another kind");
  // Each element takes at least a byte, which bounds what a caller reserves.
  if (Size > Rest.size())
    throw CborError("incomplete array or map");
  return Size;
}

double CborReader::floating() {
  uint8_t First = byte();
  if (First == CborWriter::SingleByte)
    return std::bit_cast<float>(
        static_cast<uint32_t>(bigEndian(sizeof(uint32_t))));
  if (First == CborWriter::DoubleByte)
    return std::bit_cast<double>(bigEndian(sizeof(uint64_t)));
  throw CborError("no floating-point number");
}

bool CborReader::boolean() {
  uint8_t First = byte();
  if (First != CborWriter::FalseByte && First != CborWriter::TrueByte)
    throw CborError("no boolean");
  return First == CborWriter::TrueByte;
}

bool CborReader::skipNull() {
  if (Rest.empty() ||
      static_cast<uint8_t>(Rest.front()) != CborWriter::NullByte)
    return false;
  Rest.remove_prefix(1);
  return true;
}

void CborReader::skip() { skipNested(0); }

void CborReader::skipNested(int Depth) {
  // More than any message has; bounds the stack that a malformed one takes.
  constexpr int MaxDepth = 64;
  if (Depth > MaxDepth)
    throw CborError("nested too deeply");
  if (Rest.empty())
    throw CborError("incomplete value");
  auto First = static_cast<uint8_t>(Rest.front());
  if (First >> CborWriter::MajorShift > static_cast<uint8_t>(Major::Map)) {
    byte();
    if (First == CborWriter::HalfByte)
      bigEndian(sizeof(uint16_t));
    else if (First == CborWriter::SingleByte)
      bigEndian(sizeof(uint32_t));
    else if (First == CborWriter::DoubleByte)
      bigEndian(sizeof(uint64_t));
    else if (First != CborWriter::FalseByte && First != CborWriter::TrueByte &&
             First != CborWriter::NullByte)
      throw CborError("unknown kind of value");
    return;
  }
  auto [Type, Argument] = head();
  if (Type == Major::Unsigned || Type == Major::Negative)
    return;
  if (Argument > Rest.size())
    throw CborError("incomplete value");
  if (Type == Major::Bytes || Type == Major::Text) {
    Rest.remove_prefix(Argument);
    return;
  }
  size_t Values = Type == Major::Map ? 2 * Argument : Argument;
  for (size_t I = 0; I < Values; ++I)
    skipNested(Depth + 1);
}

} // namespace mimosashunt
