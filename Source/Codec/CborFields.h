// Writes and reads described types (see JsonFields.h) as CBOR without a tree in
// between. Fields are written in the order in which a type describes them, and
// only that order is read; the caller decodes what cannot be read with
// Json::from_cbor(), which takes any order.

#ifndef MIMOSASHUNT_CODEC_CBORFIELDS_H
#define MIMOSASHUNT_CODEC_CBORFIELDS_H

#include "Codec/Cbor.h"
#include "Core/JsonFields.h"

#include <map>
#include <set>
#include <string>
#include <type_traits>
#include <vector>

namespace mimosashunt {

namespace cbor_fields {

/// Counts the fields of a value.
struct Counter {
  size_t &Count;
  template <class T> void operator()(const char *, const T &) const { ++Count; }
  template <class T> void list(const char *, const T &Value) const {
    Count += Value.empty() ? 0 : 1;
  }
  template <class T> void number(const char *, T Value) const {
    Count += Value != 0 ? 1 : 0;
  }
  void flag(const char *, bool Value) const { Count += Value ? 1 : 0; }
};

inline void writeValue(CborWriter &Out, bool Value) { Out.boolean(Value); }
inline void writeValue(CborWriter &Out, const std::string &Value) {
  Out.text(Value);
}
inline void writeValue(CborWriter &Out, double Value) { Out.floating(Value); }
template <class T>
requires std::is_integral_v<T> || std::is_enum_v<T>
void writeValue(CborWriter &Out, T Value) {
  if constexpr (std::is_enum_v<T>)
    Out.number(static_cast<std::underlying_type_t<T>>(Value));
  else
    Out.number(Value);
}
template <class T>
void writeValue(CborWriter &Out, const std::map<std::string, T> &Value);
template <class T>
void writeValue(CborWriter &Out, const std::vector<T> &Value);
template <class T> void writeValue(CborWriter &Out, const std::set<T> &Value);
template <Described T> void writeValue(CborWriter &Out, const T &Value);

/// Writes the fields of a value as pairs of a map.
struct Writer {
  CborWriter &Out;
  template <class T> void operator()(const char *Key, const T &Value) const {
    Out.text(Key);
    writeValue(Out, Value);
  }
  template <class T> void list(const char *Key, const T &Value) const {
    if (!Value.empty())
      (*this)(Key, Value);
  }
  template <class T> void number(const char *Key, T Value) const {
    if (Value != 0)
      (*this)(Key, Value);
  }
  void flag(const char *Key, bool Value) const {
    if (Value)
      (*this)(Key, Value);
  }
};

template <class T>
void writeValue(CborWriter &Out, const std::map<std::string, T> &Value) {
  Out.map(Value.size());
  for (const auto &[Key, Item] : Value) {
    Out.text(Key);
    writeValue(Out, Item);
  }
}

template <class T>
void writeValue(CborWriter &Out, const std::vector<T> &Value) {
  Out.array(Value.size());
  for (const auto &Item : Value)
    writeValue(Out, Item);
}

template <class T> void writeValue(CborWriter &Out, const std::set<T> &Value) {
  Out.array(Value.size());
  for (const T &Item : Value)
    writeValue(Out, Item);
}

/// Writes a map of the fields, preceded by \p Kind unless it is null.
template <Described T>
void writeFields(CborWriter &Out, const T &Value, const char *Kind) {
  size_t Count = Kind == nullptr ? 0 : 1;
  T::describe(Value, Counter{Count});
  Out.map(Count);
  if (Kind != nullptr)
    Writer{Out}("kind", std::string(Kind));
  T::describe(Value, Writer{Out});
}

template <Described T> void writeValue(CborWriter &Out, const T &Value) {
  writeFields(Out, Value, nullptr);
}

inline void readValue(CborReader &In, bool &Value) { Value = In.boolean(); }
inline void readValue(CborReader &In, std::string &Value) { Value = In.text(); }
inline void readValue(CborReader &In, double &Value) { Value = In.floating(); }
template <class T>
requires std::is_integral_v<T> || std::is_enum_v<T>
void readValue(CborReader &In, T &Value) {
  if constexpr (std::is_enum_v<T>)
    Value = static_cast<T>(In.number<std::underlying_type_t<T>>());
  else
    Value = In.number<T>();
}
template <class T>
void readValue(CborReader &In, std::map<std::string, T> &Value);
template <class T> void readValue(CborReader &In, std::vector<T> &Value);
template <class T> void readValue(CborReader &In, std::set<T> &Value);
template <Described T> void readValue(CborReader &In, T &Value);

/// Reads the pairs of a map as fields. An optional field that is not the next
/// one is left as it is.
struct Reader {
  CborReader &In;
  size_t &PairsLeft;

  template <class T> void operator()(const char *Key, T &Value) const {
    if (!takeKey(Key))
      throw CborError("another field was expected");
    readValue(In, Value);
  }
  template <class T> void list(const char *Key, T &Value) const {
    if (takeKey(Key))
      readValue(In, Value);
  }
  template <class T> void number(const char *Key, T &Value) const {
    Value = 0;
    if (takeKey(Key))
      readValue(In, Value);
  }
  void flag(const char *Key, bool &Value) const {
    Value = false;
    if (takeKey(Key))
      readValue(In, Value);
  }

private:
  bool takeKey(const char *Key) const {
    if (PairsLeft == 0)
      return false;
    CborReader Ahead = In;
    if (Ahead.text() != Key)
      return false;
    In = Ahead;
    --PairsLeft;
    return true;
  }
};

template <class T>
void readValue(CborReader &In, std::map<std::string, T> &Value) {
  for (size_t Left = In.map(); Left > 0; --Left) {
    std::string Key(In.text());
    readValue(In, Value[Key]);
  }
}

template <class T> void readValue(CborReader &In, std::vector<T> &Value) {
  for (size_t Left = In.array(); Left > 0; --Left)
    readValue(In, Value.emplace_back());
}

template <class T> void readValue(CborReader &In, std::set<T> &Value) {
  for (size_t Left = In.array(); Left > 0; --Left) {
    T Item{};
    readValue(In, Item);
    Value.insert(std::move(Item));
  }
}

/// Reads \p PairsLeft pairs into a value. Throws if a pair is left over.
template <Described T>
void readFields(CborReader &In, size_t PairsLeft, T &Value) {
  T::describe(Value, Reader{In, PairsLeft});
  if (PairsLeft != 0)
    throw CborError("unexpected field");
}

template <Described T> void readValue(CborReader &In, T &Value) {
  readFields(In, In.map(), Value);
}

/// Reads the alternative of \p Kind into \p Result.
template <class Variant, size_t I = 0>
void readKind(CborReader &In, std::string_view Kind, size_t PairsLeft,
              Variant &Result) {
  if constexpr (I < std::variant_size_v<Variant>) {
    using Held = std::variant_alternative_t<I, Variant>;
    if (Kind == Held::Kind)
      return readFields(In, PairsLeft, Result.template emplace<I>());
    return readKind<Variant, I + 1>(In, Kind, PairsLeft, Result);
  } else {
    throw CborError("unknown kind");
  }
}

} // namespace cbor_fields

/// Writes a described value. Json::from_cbor() reads it as the object that
/// Json(Value) is.
template <Described T> std::string fieldsToCbor(const T &Value) {
  std::string Bytes;
  CborWriter Out(Bytes);
  cbor_fields::writeValue(Out, Value);
  return Bytes;
}

/// Writes the alternative that a variant holds, with its Kind, like
/// kindToJson().
template <class... Ts>
std::string kindToCbor(const std::variant<Ts...> &Value) {
  std::string Bytes;
  CborWriter Out(Bytes);
  std::visit(
      [&Out](const auto &Held) {
        cbor_fields::writeFields(Out, Held, std::decay_t<decltype(Held)>::Kind);
      },
      Value);
  return Bytes;
}

/// Reads what fieldsToCbor() wrote. Returns false, with an unspecified result,
/// for anything else, which may still be valid in another order.
template <Described T> bool fieldsFromCbor(std::string_view Bytes, T &Result) {
  try {
    CborReader In(Bytes);
    Result = {};
    cbor_fields::readValue(In, Result);
    return In.isAtEnd();
  } catch (const CborError &) {
    return false;
  }
}

/// Reads what kindToCbor() wrote. Returns false, with an unspecified result,
/// for anything else, which may still be valid in another order.
template <class Variant>
bool kindFromCbor(std::string_view Bytes, Variant &Result) {
  try {
    CborReader In(Bytes);
    size_t Pairs = In.map();
    if (Pairs == 0 || In.text() != "kind")
      return false;
    std::string_view Kind = In.text();
    cbor_fields::readKind(In, Kind, Pairs - 1, Result);
    return In.isAtEnd();
  } catch (const CborError &) {
    return false;
  }
}

} // namespace mimosashunt

#endif
