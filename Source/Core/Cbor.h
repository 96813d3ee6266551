// Writes and reads CBOR (RFC 8949) without a tree in between. The writer gives
// the bytes that Json::to_cbor() gives for the same values. The reader takes
// what either of them writes: definite lengths, no tags, no half-precision
// numbers.

#ifndef MIMOSASHUNT_CORE_CBOR_H
#define MIMOSASHUNT_CORE_CBOR_H

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
        return head(Major::Negative, static_cast<uint64_t>(-1 - Value));
    head(Major::Unsigned, static_cast<uint64_t>(Value));
  }
  /// As single precision if that loses nothing.
  void floating(double Value);
  void boolean(bool Value) { simple(Value ? TrueByte : FalseByte); }
  void null() { simple(NullByte); }
  void text(std::string_view Value) {
    head(Major::Text, Value.size());
    Out.append(Value);
  }
  void bytes(std::string_view Value) {
    head(Major::Bytes, Value.size());
    Out.append(Value);
  }
  /// Begins an array; its \p Size elements follow.
  void array(size_t Size) { head(Major::Array, Size); }
  /// Begins a map; its \p Size pairs of a text and a value follow.
  void map(size_t Size) { head(Major::Map, Size); }

private:
  friend class CborReader;

  enum class Major : uint8_t { Unsigned, Negative, Bytes, Text, Array, Map };
  static constexpr int MajorShift = 5;
  static constexpr uint8_t FalseByte = 0xf4;
  static constexpr uint8_t TrueByte = 0xf5;
  static constexpr uint8_t NullByte = 0xf6;
  static constexpr uint8_t HalfByte = 0xf9;
  static constexpr uint8_t SingleByte = 0xfa;
  static constexpr uint8_t DoubleByte = 0xfb;
  /// Arguments below this are part of the first byte.
  static constexpr uint8_t FirstLongArgument = 24;

  void simple(uint8_t Byte) { Out.push_back(static_cast<char>(Byte)); }
  void head(Major Type, uint64_t Argument) {
    auto First = static_cast<uint8_t>(static_cast<uint8_t>(Type) << MajorShift);
    if (Argument < FirstLongArgument)
      simple(static_cast<uint8_t>(First | Argument));
    else
      longHead(First, Argument);
  }
  void longHead(uint8_t First, uint64_t Argument);
  /// Appends the lowest \p Size bytes, the most significant one first.
  void bigEndian(uint64_t Value, size_t Size);

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
    auto [Type, Argument] = head();
    if (Type == Major::Unsigned && std::in_range<T>(Argument))
      return static_cast<T>(Argument);
    if constexpr (std::is_signed_v<T>)
      if (Type == Major::Negative &&
          Argument <= static_cast<uint64_t>(std::numeric_limits<T>::max()))
        return static_cast<T>(-1 - static_cast<int64_t>(Argument));
    throw CborError("no number in range");
  }
  double floating();
  bool boolean();
  /// Skips a null. Returns false if the next value is something else.
  bool skipNull();
  std::string_view text() { return content(Major::Text); }
  std::string_view bytes() { return content(Major::Bytes); }
  /// Returns the number of elements that follow.
  size_t array() { return count(Major::Array); }
  /// Returns the number of pairs that follow.
  size_t map() { return count(Major::Map); }
  /// Skips one value with all that it contains.
  void skip();
  bool isAtEnd() const { return Rest.empty(); }

private:
  using Major = CborWriter::Major;
  struct Head {
    Major Type;
    uint64_t Argument;
  };

  Head head() {
    uint8_t First = byte();
    auto Type = static_cast<uint8_t>(First >> CborWriter::MajorShift);
    auto Short =
        static_cast<uint8_t>(First & ((1U << CborWriter::MajorShift) - 1));
    if (Type > static_cast<uint8_t>(Major::Map))
      throw CborError("no number, text, array or map");
    return {static_cast<Major>(Type), Short < CborWriter::FirstLongArgument
                                          ? Short
                                          : longArgument(Short)};
  }
  uint8_t byte() {
    if (Rest.empty())
      throw CborError("incomplete value");
    auto Result = static_cast<uint8_t>(Rest.front());
    Rest.remove_prefix(1);
    return Result;
  }
  std::string_view content(Major Wanted);
  size_t count(Major Wanted);
  uint64_t longArgument(uint8_t Short);
  uint64_t bigEndian(size_t Size);
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
