#include "Codec/Cbor.h"

#include <array>
#include <cbor/encoding.h>
#include <cbor/streaming.h>
#include <cmath>

namespace mimosashunt {

namespace {

/// The longest item without its content: a first byte and eight more.
constexpr size_t MaxHeadSize = 9;

/// Appends what one of libcbor's functions encodes.
template <class Encoder, class... Values>
void append(std::string &Out, Encoder Encode, Values... Value) {
  std::array<unsigned char, MaxHeadSize> Head;
  size_t Size = Encode(Value..., Head.data(), Head.size());
  Out.append(reinterpret_cast<const char *>(Head.data()), Size);
}

bool isExactAsSingle(double Value) {
  return std::abs(Value) <= std::numeric_limits<float>::max() &&
         static_cast<double>(static_cast<float>(Value)) == Value;
}

} // namespace

void CborWriter::unsignedNumber(uint64_t Value) {
  append(Out, cbor_encode_uint, Value);
}

void CborWriter::negativeNumber(uint64_t Argument) {
  append(Out, cbor_encode_negint, Argument);
}

void CborWriter::floating(double Value) {
  if (!std::isfinite(Value))
    append(Out, cbor_encode_half, static_cast<float>(Value));
  else if (isExactAsSingle(Value))
    append(Out, cbor_encode_single, static_cast<float>(Value));
  else
    append(Out, cbor_encode_double, Value);
}

void CborWriter::boolean(bool Value) { append(Out, cbor_encode_bool, Value); }

void CborWriter::null() { append(Out, cbor_encode_null); }

void CborWriter::text(std::string_view Value) {
  append(Out, cbor_encode_string_start, Value.size());
  Out.append(Value);
}

void CborWriter::bytes(std::string_view Value) {
  append(Out, cbor_encode_bytestring_start, Value.size());
  Out.append(Value);
}

void CborWriter::array(size_t Size) {
  append(Out, cbor_encode_array_start, Size);
}

void CborWriter::map(size_t Size) { append(Out, cbor_encode_map_start, Size); }

/// Functions that libcbor calls with what it decoded. Each sets the Item that
/// is passed to cbor_stream_decode() as its context.
struct CborCallbacks {
  using Item = CborReader::Item;
  using ItemKind = CborReader::ItemKind;

  template <ItemKind Kind, class T>
  static void onArgument(void *Result, T Argument) {
    auto &Into = *static_cast<Item *>(Result);
    Into.Kind = Kind;
    Into.Argument = Argument;
  }
  template <ItemKind Kind, class T>
  static void onFloating(void *Result, T Value) {
    auto &Into = *static_cast<Item *>(Result);
    Into.Kind = Kind;
    Into.Floating = Value;
  }
  template <ItemKind Kind>
  static void onContent(void *Result, cbor_data Data, size_t Size) {
    auto &Into = *static_cast<Item *>(Result);
    Into.Kind = Kind;
    Into.Content = {reinterpret_cast<const char *>(Data), Size};
  }
  template <ItemKind Kind> static void onSimple(void *Result) {
    static_cast<Item *>(Result)->Kind = Kind;
  }

  static const cbor_callbacks Table;
};

const cbor_callbacks CborCallbacks::Table = {
    .uint8 = onArgument<ItemKind::Unsigned>,
    .uint16 = onArgument<ItemKind::Unsigned>,
    .uint32 = onArgument<ItemKind::Unsigned>,
    .uint64 = onArgument<ItemKind::Unsigned>,
    .negint64 = onArgument<ItemKind::Negative>,
    .negint32 = onArgument<ItemKind::Negative>,
    .negint16 = onArgument<ItemKind::Negative>,
    .negint8 = onArgument<ItemKind::Negative>,
    .byte_string_start = onSimple<ItemKind::Unsupported>,
    .byte_string = onContent<ItemKind::Bytes>,
    .string = onContent<ItemKind::Text>,
    .string_start = onSimple<ItemKind::Unsupported>,
    .indef_array_start = onSimple<ItemKind::Unsupported>,
    .array_start = onArgument<ItemKind::Array>,
    .indef_map_start = onSimple<ItemKind::Unsupported>,
    .map_start = onArgument<ItemKind::Map>,
    .tag = onArgument<ItemKind::Unsupported>,
    .float2 = onFloating<ItemKind::Half>,
    .float4 = onFloating<ItemKind::Floating>,
    .float8 = onFloating<ItemKind::Floating>,
    .undefined = onSimple<ItemKind::Unsupported>,
    .null = onSimple<ItemKind::Null>,
    .boolean = onArgument<ItemKind::Boolean>,
    .indef_break = onSimple<ItemKind::Unsupported>,
};

CborReader::Item CborReader::take() {
  Item Result;
  cbor_decoder_result Decoded =
      cbor_stream_decode(reinterpret_cast<cbor_data>(Rest.data()), Rest.size(),
                         &CborCallbacks::Table, &Result);
  if (Decoded.status == CBOR_DECODER_NEDATA)
    throw CborError("incomplete value");
  if (Decoded.status != CBOR_DECODER_FINISHED ||
      Result.Kind == ItemKind::Unsupported)
    throw CborError("unknown kind of value");
  Rest.remove_prefix(Decoded.read);
  // Each element takes at least a byte, which bounds what a caller reserves.
  if ((Result.Kind == ItemKind::Array || Result.Kind == ItemKind::Map) &&
      Result.Argument > Rest.size())
    throw CborError("incomplete array or map");
  return Result;
}

CborReader::Item CborReader::take(ItemKind Wanted) {
  Item Result = take();
  if (Result.Kind != Wanted)
    throw CborError("value of another kind");
  return Result;
}

double CborReader::floating() { return take(ItemKind::Floating).Floating; }

bool CborReader::boolean() { return take(ItemKind::Boolean).Argument != 0; }

bool CborReader::skipNull() {
  CborReader Ahead = *this;
  if (Rest.empty() || Ahead.take().Kind != ItemKind::Null)
    return false;
  *this = Ahead;
  return true;
}

std::string_view CborReader::text() { return take(ItemKind::Text).Content; }

std::string_view CborReader::bytes() { return take(ItemKind::Bytes).Content; }

size_t CborReader::array() { return take(ItemKind::Array).Argument; }

size_t CborReader::map() { return take(ItemKind::Map).Argument; }

void CborReader::skip() { skipNested(0); }

std::string_view CborReader::encoded() {
  std::string_view Before = Rest;
  skip();
  return Before.substr(0, Before.size() - Rest.size());
}

void CborReader::skipNested(int Depth) {
  // More than any message has; bounds the stack that a malformed one takes.
  constexpr int MaxDepth = 64;
  if (Depth > MaxDepth)
    throw CborError("nested too deeply");
  Item Next = take();
  size_t Values = 0;
  if (Next.Kind == ItemKind::Array)
    Values = Next.Argument;
  else if (Next.Kind == ItemKind::Map)
    Values = 2 * Next.Argument;
  for (size_t I = 0; I < Values; ++I)
    skipNested(Depth + 1);
}

} // namespace mimosashunt
