// Writes and reads CBOR (RFC 8949) without a tree in between. The writer gives
// the bytes that Json::to_cbor() gives for the same values. The reader takes
// definite lengths and no tags. It refuses half precision, which the writer
// uses only for infinities and NaN. Both use libcbor's functions for single
// items.

#ifndef MIMOSASHUNT_CODEC_CBOR_H
#define MIMOSASHUNT_CODEC_CBOR_H

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace mimosashunt {

/// Appends values to a string.
class CborWriter {
public:
  explicit CborWriter(std::string &Out) : Out(Out) {}

  template <std::integral T> void number(T Value) {
    if constexpr (std::is_signed_v<T>)
      if (Value < 0)
        return negativeNumber(static_cast<uint64_t>(-1 - Value));
    unsignedNumber(static_cast<uint64_t>(Value));
  }
  /// As single precision if that loses nothing.
  void floating(double Value);
  void boolean(bool Value);
  void null();
  void text(std::string_view Value);
  void bytes(std::string_view Value);
  /// Begins an array; its \p Size elements follow.
  void array(size_t Size);
  /// Begins a map; its \p Size pairs of a text and a value follow.
  void map(size_t Size);

private:
  void unsignedNumber(uint64_t Value);
  /// Appends -1 - \p Argument.
  void negativeNumber(uint64_t Argument);

  std::string &Out;
};

/// Thrown by CborReader on what it cannot read.
class CborError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Reads values one after another. Each function throws CborError, and its
/// position is unspecified then, if the next value is of another kind, is out
/// of range or is incomplete. The bytes must outlive the reader.
class CborReader {
public:
  explicit CborReader(std::string_view Bytes) : Rest(Bytes) {}

  template <std::integral T> T number() {
    Item Next = take();
    if (Next.Kind == ItemKind::Unsigned && std::in_range<T>(Next.Argument))
      return static_cast<T>(Next.Argument);
    if constexpr (std::is_signed_v<T>)
      if (Next.Kind == ItemKind::Negative &&
          Next.Argument <= static_cast<uint64_t>(std::numeric_limits<T>::max()))
        return static_cast<T>(-1 - static_cast<int64_t>(Next.Argument));
    throw CborError("no number in range");
  }
  double floating();
  bool boolean();
  /// Skips a null. Returns false if the next value is something else.
  bool skipNull();
  std::string_view text();
  std::string_view bytes();
  /// Returns the number of elements that follow.
  size_t array();
  /// Returns the number of pairs that follow.
  size_t map();
  /// Skips one value with all that it contains.
  void skip();
  /// Skips one value and returns its bytes.
  std::string_view encoded();
  bool isAtEnd() const { return Rest.empty(); }

private:
  friend struct CborCallbacks;

  enum class ItemKind : uint8_t {
    Unsigned,
    Negative,
    Bytes,
    Text,
    Array,
    Map,
    Floating,
    Half,
    Boolean,
    Null,
    /// Tags, indefinite lengths, breaks and undefined values.
    Unsupported
  };
  /// A whole value, or the beginning of an array or a map.
  struct Item {
    ItemKind Kind = ItemKind::Unsupported;
    /// A number, -1 minus a negative number, a boolean, or the size of an array
    /// or a map.
    uint64_t Argument = 0;
    double Floating = 0;
    /// A text or bytes.
    std::string_view Content;
  };

  Item take();
  /// Throws if the next item is of another kind.
  Item take(ItemKind Wanted);
  void skipNested(int Depth);

  std::string_view Rest;
};

/// Reads the elements of one array in order. Elements after the last one that
/// is asked for are skipped by finish().
class CborArrayReader {
public:
  explicit CborArrayReader(CborReader &In) : In(In), Left(In.array()) {}

  CborReader &next() {
    if (Left == 0)
      throw CborError("array is too short");
    --Left;
    return In;
  }
  template <class T> T number() { return next().number<T>(); }
  std::string text() { return std::string(next().text()); }
  /// Returns false at the end, where the array of an earlier version may be.
  bool hasNext() const { return Left > 0; }
  void finish() {
    for (; Left > 0; --Left)
      In.skip();
  }

private:
  CborReader &In;
  size_t Left;
};

} // namespace mimosashunt

#endif
